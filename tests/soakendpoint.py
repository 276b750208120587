"""Endpoints of a soak; they fail, pause and crash when told to."""

import random
import threading
import time
from collections.abc import Callable

from platformendpoint import SERVER_STAMP, PlatformEndpoint, ServedRequest
from soakledger import (
    STREAM_EVENTS,
    STREAM_KINDS,
    Arrival,
    Ledger,
    Run,
    Sign,
    stream_event,
)
from soakproxy import Proxy

EVENT_PAUSE_S = 0.02
HANG_S = 3.0
MAX_WORK_S = 0.04
QUIET_S = 1.5
UNSIZED_SHARE = 0.25  # of answers without a length
CUT_SHARE = 0.15  # of those
BROKEN_OFF = frozenset(('hang', 'error', 'cut'))


class SoakEndpoint:
    """An endpoint that fails half of its requests while a fault is set.

    ``name`` is its own; an endpoint that starts again under the ``key`` of
    another in the store was ``born`` later.
    """

    def __init__(
        self,
        key: str,
        ledger: Ledger,
        on_crash: Callable[['SoakEndpoint', float], None],
        *,
        varied: bool,
        born: int = 1,
        version: str = 'v1',
    ) -> None:
        self.key = key
        self.born = born
        self.name = key if born == 1 else f'{key}+{born}'
        self.ledger = ledger
        self.on_crash = on_crash
        self.varied = varied
        self.version = version
        self.pause_s = EVENT_PAUSE_S
        self.started_at = time.monotonic()
        self.ended_at = float('inf')
        self.fault = ''
        self.says_leaving = False
        self.limit_per_s = 0.0  # named in all responses; 0 if none is
        self.limit_lock = threading.Lock()
        # Cleared while the endpoint is silent.
        self.awake = threading.Event()
        self.awake.set()
        self.silence_lock = threading.Lock()
        self.crash_lock = threading.Lock()
        self.crashed = False
        self.random = random.Random(self.name)
        self.server = PlatformEndpoint(key)
        self.server.behaviour = self.handle_request  # type: ignore[assignment]
        self.proxy = Proxy(self.server.address)

    def record(self, **changes: object) -> dict[str, object]:
        changes = {
            'address': self.proxy.address,
            'born': self.born,
            'version': self.version,
            **changes,
        }
        return self.server.record('engines', **changes)

    def handle_request(self, served: ServedRequest) -> None:
        """Serve a request, or fail it according to the current fault."""
        fault = self.fault if self.random.random() < 0.5 else ''
        arrival = Arrival(
            served.request.request_id, self.name, time.monotonic()
        )
        self.ledger.on_arrival(arrival)
        if self.limit_per_s:
            served.extra_headers = (f'Server-Limit: {self.limit_per_s}',)
            self.ledger.on_naming(arrival)
        if fault == 'refuse':
            served.refuse()
            return
        if fault == 'quiet':
            self.say(served, QUIET_S)
            served.refuse_for(str(QUIET_S))
            return
        if self.says_leaving:
            served.extra_headers += ('Server-Leaving: 1',)
            self.say(served, 0)
        self.run(served, fault)

    def run(self, served: ServedRequest, fault: str) -> None:
        """Run a request, which may fail or crash the endpoint."""
        request = served.request
        self.ledger.on_run(
            Run(
                request.request_id,
                self.name,
                time.monotonic(),
                request.line,
                request.headers.get('tenant', ''),
                'authorization' in request.headers,
            )
        )
        self.awake.wait()
        if self.must_crash(served):
            self.crash()
            served.close()
            return
        if fault in BROKEN_OFF:
            self.ledger.on_broken_off(request.request_id)
        if fault == 'hang':
            served.client_disconnected(HANG_S)
            served.close()
        elif fault == 'error':
            served.respond(500, request.request_id.encode())
        else:
            time.sleep(self.random.random() * MAX_WORK_S)
            self.respond(served, cut=fault == 'cut')

    def say(self, served: ServedRequest, quiet_s: float) -> None:
        """Note what the response to a request says of this endpoint."""
        request_id = served.request.request_id
        self.ledger.on_sign(
            Sign(request_id, self.name, time.monotonic(), quiet_s)
        )

    def must_crash(self, served: ServedRequest) -> bool:
        """Return whether a request is one that crashes endpoints.

        Half of them crash the endpoint after the head of the response.
        """
        bad = self.ledger.bad_part
        if bad is None:
            return False
        parts = served.request.headers.get('prefix-hash', '').split(',')
        target = served.request.line.split()[1]
        if not bad.matches(target, parts):
            return False
        time.sleep(self.random.random() * MAX_WORK_S)
        if self.random.random() < 0.5:
            served.start_stream()
        return True

    def crash(self) -> None:
        """End at once, with all connections."""
        with self.crash_lock:
            if self.crashed:
                return
            self.crashed = True
        crashed_at = time.monotonic()
        self.ended_at = min(self.ended_at, crashed_at)
        self.proxy.close()
        self.server.close()
        self.on_crash(self, crashed_at)

    def respond_unsized(self, served: ServedRequest) -> None:
        """Respond without a length; the response ends with its connection.

        Some are broken off: streams inside an event, others with a reset.
        """
        is_cut = self.random.random() < CUT_SHARE
        if is_cut:
            self.ledger.on_broken_off(served.request.request_id)
        closes = self.random.choice((('Connection: close',), ()))
        served.head(200, f'Server-Stamp: {SERVER_STAMP}', *closes)
        if served.request.line.split('/')[1] in STREAM_KINDS:
            self.stream_unsized(served, is_cut=is_cut)
            return
        body = served.request.request_id.encode()
        served.sock.sendall(body[: len(body) // 2] if is_cut else body)
        time.sleep(EVENT_PAUSE_S)
        if is_cut:
            served.reset()
        served.close()

    def stream_unsized(self, served: ServedRequest, *, is_cut: bool) -> None:
        """Send the events of a response without a length."""
        stream = stream_of(served)
        first_event = int(served.request.headers.get('last-event-id', -1)) + 1
        for number in range(first_event, STREAM_EVENTS):
            self.awake.wait()
            event = stream_event(stream, self.version, number)
            if is_cut and number >= STREAM_EVENTS // 2:
                served.sock.sendall(event[: self.random.randrange(1, 9)])
                break
            served.sock.sendall(event)
            time.sleep(self.pause_s)
        served.close()

    def respond(self, served: ServedRequest, *, cut: bool) -> None:
        request = served.request
        is_unsized = (
            self.varied and not cut and self.random.random() < UNSIZED_SHARE
        )
        if is_unsized:
            self.respond_unsized(served)
            return
        if request.line.split('/')[1] not in STREAM_KINDS:
            if cut:
                served.head(200, 'Server-Stamp: s', 'Content-Length: 99')
                served.reset()
            else:
                served.respond(200, request.request_id.encode())
            return
        served.start_stream()
        first_event = int(request.headers.get('last-event-id', -1)) + 1
        for number in range(first_event, STREAM_EVENTS):
            if cut and number == STREAM_EVENTS // 2:
                # The start of a chunk of 0x20 bytes.
                served.sock.sendall(b'20\r\nid: 3\nda')
                served.reset()
                return
            self.awake.wait()
            served.chunk(stream_event(stream_of(served), self.version, number))
            time.sleep(self.pause_s)
        served.end_stream()

    def close(self) -> None:
        self.proxy.close()
        self.server.close()


def stream_of(served: ServedRequest) -> str:
    """Return the id of the attempt that began a request's stream."""
    request = served.request
    return request.headers.get('resumes') or request.request_id


__all__ = ['SoakEndpoint']
