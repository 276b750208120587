"""In-process stand-in for an endpoint of the platform, on raw sockets."""

import contextlib
import socket
import struct
import threading
import time
from typing import BinaryIO, NamedTuple

SERVER_STAMP = 'stamp.1'


class ReceivedRequest(NamedTuple):
    """A received request."""

    line: str
    headers: dict[str, str]
    body: bytes

    def with_body(self, reader: BinaryIO) -> 'ReceivedRequest':
        length = int(self.headers.get('content-length', 0))
        return self._replace(body=reader.read(length))

    @property
    def request_id(self) -> str:
        return self.headers.get('request-id', '')


class ServedRequest:
    """One request and the ways in which a behaviour may respond to it."""

    def __init__(
        self, sock: socket.socket, request: ReceivedRequest, name: str
    ) -> None:
        self.sock = sock
        self.request = request
        self.name = name
        self.open = True
        self.extra_headers: tuple[str, ...] = ()

    def head(self, status: int, *lines: str) -> None:
        text = '\r\n'.join(
            (
                f'HTTP/1.1 {status} Status',
                f'Request-Id: {self.request.request_id}',
                f'Instance-Id: {self.name}',
                *self.extra_headers,
                *lines,
            )
        )
        self.sock.sendall(f'{text}\r\n\r\n'.encode())

    def respond(self, status: int = 200, body: bytes = b'done') -> None:
        self.head(
            status,
            f'Server-Stamp: {SERVER_STAMP}',
            f'Content-Length: {len(body)}',
        )
        self.sock.sendall(body)

    def refuse(self, status: int = 503) -> None:
        self.head(status, 'Not-Executed: 1', 'Content-Length: 0')

    def refuse_for(self, retry_after: str) -> None:
        """Refuse this request and all others for some seconds."""
        self.extra_headers += (f'Retry-After: {retry_after}',)
        self.refuse()

    def start_stream(self) -> None:
        self.head(
            200,
            f'Server-Stamp: {SERVER_STAMP}',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        )

    def start_unsized(self) -> None:
        """Start a stream that ends with its connection."""
        self.head(
            200,
            f'Server-Stamp: {SERVER_STAMP}',
            'Content-Type: text/event-stream',
        )

    def chunk(self, body: bytes) -> None:
        self.sock.sendall(b'%x\r\n%s\r\n' % (len(body), body))

    def event(self, number: int) -> None:
        self.chunk(b'id: %d\ndata: piece %d\n\n' % (number, number))

    def end_stream(self) -> None:
        self.sock.sendall(b'0\r\n\r\n')

    def stream(self, events: int = 5) -> None:
        first = int(self.request.headers.get('last-event-id', -1)) + 1
        self.start_stream()
        for number in range(first, events):
            self.event(number)
        self.end_stream()

    def reset(self) -> None:
        """Close the connection with a reset."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.close()

    def close(self) -> None:
        self.open = False
        self.sock.close()

    def client_disconnected(self, within_s: float = 5) -> bool:
        """Return whether the peer closes the connection in time."""
        self.sock.settimeout(within_s)
        try:
            return self.sock.recv(1) == b''
        except TimeoutError:
            return False
        except OSError:
            return True


class PlatformEndpoint:
    """Calls ``behaviour`` for each request and records the requests.

    With ``responds_before_body`` it responds before it reads the body.
    """

    def __init__(self, name: str, address: str = '127.0.0.1') -> None:
        self.name = name
        self.behaviour = ServedRequest.respond
        # Lines that are in the head of each response.
        self.extra_headers: tuple[str, ...] = ()
        self.responds_before_body = False
        self.requests: list[ReceivedRequest] = []
        self.runs: list[str] = []
        self.connections = 0
        self.open_sockets: set[socket.socket] = set()
        self.host = address
        self.port = 0
        self.listen()
        self.address = f'{address}:{self.port}'

    def listen(self) -> None:
        """Accept connections, after a crash on the port of before."""
        self.listener = self.create_listener()
        self.port = self.listener.getsockname()[1]
        threading.Thread(
            target=self.accept, args=(self.listener,), daemon=True
        ).start()

    def create_listener(self) -> socket.socket:
        """Return a listener at the endpoint's address."""
        return socket.create_server((self.host, self.port))

    def crash(self) -> None:
        """Close the listener and all connections."""
        for sock in (self.listener, *list(self.open_sockets)):
            # A mere close would leave it open while a thread waits on it.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def record(self, service: str, **changes: object) -> dict[str, object]:
        """Return the endpoint's registration record."""
        return {
            'backend': service,
            'address': self.address,
            'zone': 'z1',
            'version': 'v1',
            'capacity': 4,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': 1,
            **changes,
        }

    def accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while listener.fileno() >= 0:
                sock, _ = listener.accept()
                self.open_sockets.add(sock)
                self.connections += 1
                threading.Thread(
                    target=self.serve,
                    args=(sock,),
                    daemon=True,
                ).start()

    def serve(self, sock: socket.socket) -> None:
        """Serve a connection; release it unless a behaviour keeps it."""
        if self.serve_requests(sock):
            self.open_sockets.discard(sock)
            sock.close()

    def serve_requests(self, sock: socket.socket) -> bool:
        """Serve requests; return whether the peer ended the connection."""
        with contextlib.suppress(OSError):
            reader = sock.makefile('rb')
            for request in iter(lambda: read_request(reader), None):
                served = ServedRequest(sock, request, self.name)
                served.extra_headers = self.extra_headers
                if not self.responds_before_body:
                    request = request.with_body(reader)
                    served.request = request
                self.requests.append(request)
                expected = request.headers.get('expect-instance', self.name)
                if expected == self.name:
                    self.runs.append(request.request_id)
                    self.behaviour(served)
                else:
                    served.refuse(421)
                if self.responds_before_body:
                    self.requests[-1] = request.with_body(reader)
                if not served.open:
                    return False
        return True

    def close(self) -> None:
        self.listener.close()


def read_request(reader: BinaryIO) -> ReceivedRequest | None:
    """Read the head of a request; return None at the end of the stream."""
    line = reader.readline().decode('latin-1').strip()
    if not line:
        return None
    headers = {}
    for header in iter(lambda: reader.readline().strip(), b''):
        name, _, text = header.decode('latin-1').partition(':')
        headers[name.lower()] = text.strip()
    return ReceivedRequest(line, headers, b'')


def slow(seconds: float) -> object:
    """Return a behaviour that responds after a delay."""

    def behave(served: ServedRequest) -> None:
        time.sleep(seconds)
        served.respond()

    return behave
