"""In-process stand-in for the platform's store, with fault injection."""

import base64
import json
import socket
import struct
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PAGE_RECORDS = 3  # small, so that tests read several pages


class Topic:
    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.first = 0

    @property
    def end(self) -> int:
        return len(self.records)

    def newest(self) -> dict[str, tuple[int, bytes]]:
        latest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, content) in enumerate(self.records):
            latest.pop(key, None)
            if content:
                latest[key] = (offset, content)
        return latest


class StoreServer(ThreadingHTTPServer):
    store: 'PlatformStore'
    request_queue_size = 256

    def handle_error(self, request: object, client_address: object) -> None:
        """Write nothing: tests kill callers while a call is in progress."""


class Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    server: StoreServer

    def setup(self) -> None:
        super().setup()
        self.opened_at = time.monotonic()
        self.server.store.connections.add(self.connection)

    def finish(self) -> None:
        self.server.store.connections.discard(self.connection)
        super().finish()

    def do_GET(self) -> None:
        self.server.store.get(self)

    def do_POST(self) -> None:
        self.server.store.append(self)

    def log_message(self, *arguments: object) -> None:
        """Write nothing."""


class PlatformStore:
    """Keyed topics.

    ``fault`` is a status to respond with, ``silent`` (no response), ``reset``
    (connection closed before the response) or ``lost`` (a write takes effect,
    but gets no response); 0 is no fault. ``silent_before`` is a time: connections
    opened before get no further response. ``spoiled_reads`` is the number of
    reads that are still to return records cut in half. ``delay_s`` is how long
    each response takes. ``wakes_at_restore`` is whether a read that waits is
    answered when the store is restored. ``copy_after_s`` is when each answer is
    written once more; 0 for never.
    """

    def __init__(self, address: str = '127.0.0.1') -> None:
        self.topics: dict[str, Topic] = {}
        self.changed = threading.Condition()
        self.fault: int | str = 0
        self.calls = 0
        self.era = 0
        self.connections: set[socket.socket] = set()
        self.silent_before = 0.0
        self.spoiled_reads = 0
        self.delay_s = 0.0
        self.wakes_at_restore = True
        self.copy_after_s = 0.0
        self.server = StoreServer((address, 0), Handler)
        self.server.store = self
        self.server.daemon_threads = True
        port = self.server.server_address[1]
        self.address = f'{address}:{port}'
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, content: object) -> int:
        """Append a record; a dict is written as JSON."""
        body = content if isinstance(content, bytes) else dump(content)
        with self.changed:
            self.topic(topic).records.append((key, body))
            self.changed.notify_all()
            return self.topic(topic).end - 1

    def trim(self, topic: str) -> None:
        """Drop the history; the latest record of each key is kept."""
        with self.changed:
            self.topic(topic).first = self.topic(topic).end

    def backup(self) -> dict[str, int]:
        """Return the ends of all topics, to which a restore goes back."""
        with self.changed:
            return {name: topic.end for name, topic in self.topics.items()}

    def restore(self, backup: dict[str, int]) -> None:
        """Drop what was written since a backup and start a new era."""
        with self.changed:
            self.era += 1
            for name, topic in self.topics.items():
                del topic.records[backup.get(name, 0) :]
                topic.first = min(topic.first, topic.end)
            self.changed.notify_all()

    def silence_connections(self) -> float:
        """Answer nothing more on the open connections; return when."""
        self.silent_before = time.monotonic()
        return self.silent_before

    def served_content(self, content: bytes) -> bytes:
        """Return a record's content as a read shows it."""
        if not content or self.spoiled_reads <= 0:
            return content
        self.spoiled_reads -= 1
        return content[: len(content) // 2]

    def get(self, handler: BaseHTTPRequestHandler) -> None:
        self.calls += 1
        time.sleep(self.delay_s)
        parts = urlsplit(handler.path)
        query = {
            name: values[0] for name, values in parse_qs(parts.query).items()
        }
        if self.fault == 'silent':
            time.sleep(3)
            handler.close_connection = True
            return
        if self.fault == 'reset':
            handler.close_connection = True
            return
        if self.fault:
            self.send(handler, int(self.fault), b'{}')
            return
        reads = {'/-/log-newest': self.newest, '/-/log-read': self.read}
        reads[parts.path](handler, query)

    def append(self, handler: BaseHTTPRequestHandler) -> None:
        """Append the record in the body of a request.

        The body has the record's length in 4 bytes, the key's length in one
        byte, the key and the content.
        """
        query = parse_qs(urlsplit(handler.path).query)
        body = handler.rfile.read(int(handler.headers['Content-Length']))
        if isinstance(self.fault, int) and self.fault:
            self.send(handler, self.fault, b'{}')
            return
        key_end = 5 + body[4]
        with self.changed:
            end = self.topic(query['topic'][0]).end
            if int(query.get('at', [end])[0]) != end:
                self.send(handler, 412, json.dumps({'end': end}).encode())
                return
            offset = self.put(
                query['topic'][0], body[5:key_end].decode(), body[key_end:]
            )
        if self.fault == 'lost':
            # The record is written, but the writer gets no response.
            handler.close_connection = True
            return
        self.send(handler, 200, json.dumps({'offset': offset}).encode())

    def newest(
        self,
        handler: BaseHTTPRequestHandler,
        query: dict[str, str],
    ) -> None:
        with self.changed:
            topic = self.topic(query['topic'])
            newest = sorted(topic.newest().items())
            after = query.get('after', '')
            rest = [item for item in newest if item[0] > after]
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(
                        self.served_content(content)
                    ).decode(),
                    'offset': offset,
                }
                for key, (offset, content) in rest[:PAGE_RECORDS]
            ]
            page = {
                'items': items,
                'more': len(rest) > PAGE_RECORDS,
                'end': topic.end,
            }
        self.send(handler, 200, json.dumps(page).encode())

    def read(
        self,
        handler: BaseHTTPRequestHandler,
        query: dict[str, str],
    ) -> None:
        start = int(query['from'])
        wait_s = int(query.get('waitMs', 0)) / 1000
        with self.changed:
            topic = self.topic(query['topic'])
            era = self.era
            self.changed.wait_for(
                lambda: (
                    topic.end > start
                    or (self.wakes_at_restore and self.era > era)
                ),
                wait_s,
            )
            if start < topic.first or start > topic.end:
                body = json.dumps({'first': topic.first}).encode()
                status = 410
            else:
                status = 200
                body = struct.pack('>QQ', topic.end, topic.first)
                for key, content in topic.records[start:]:
                    shown = self.served_content(content)
                    record = bytes([len(key)]) + key.encode() + shown
                    body += struct.pack('>I', len(record)) + record
        self.send(handler, status, body)

    def send(
        self, handler: BaseHTTPRequestHandler, status: int, body: bytes
    ) -> None:
        opened_at = getattr(handler, 'opened_at', time.monotonic())
        if opened_at < self.silent_before:
            return
        handler.send_response(status)
        handler.send_header('Content-Length', str(len(body)))
        handler.send_header('Store-Era', str(self.era))
        handler.end_headers()
        handler.wfile.write(body)
        if self.copy_after_s:
            threading.Timer(
                self.copy_after_s,
                lambda: self.write_copy(handler, status, body),
            ).start()

    def write_copy(
        self, handler: BaseHTTPRequestHandler, status: int, body: bytes
    ) -> None:
        """Write an answer once more, with no other meanwhile."""
        with suppress(OSError):
            handler.connection.sendall(
                b'HTTP/1.1 %d Copy\r\nContent-Length: %d\r\n\r\n%b'
                % (status, len(body), body)
            )

    @contextmanager
    def failing(self, fault: int | str) -> Iterator[None]:
        self.fault = fault
        try:
            yield
        finally:
            self.fault = 0

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()
        # The tasks of hosts that are stopped would wait on them for a while.
        for connection in list(self.connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


def dump(content: object) -> bytes:
    return json.dumps(content).encode() if content else b''
