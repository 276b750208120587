"""Crowds of callers that do not behave, against a host as a process.

The limits are lowered in the settings, so that a small crowd shows what a large
one does. Checked is what does not depend on the machine's speed: that the process
lives, that its memory and descriptors stay within those of its machine, and that
an ordinary request is answered afterwards.
"""

import contextlib
import itertools
import json
import pathlib
import socket
import time
from collections.abc import Callable, Iterator

import pytest
from gatewaycluster import AUTHORITY, KEY, configuration, wait_for
from platformendpoint import ServedRequest
from test_platform_process import HostProcess

pytestmark = pytest.mark.alone

MEMORY_MB = 96  # of the machine, as its settings say
MAX_FDS = 400  # of the process; 200 of them are for files
RESERVED_FDS = 200
MAX_BODY_BYTES = 1_048_576
MAX_HEADER_BYTES = 16_384
BODIES = 80  # together 80 MB
IDLE = 260
PIPELINES = 12
PIPELINED = 4000
READERS = 60
ANSWER_BYTES = 1_000_000
SETTLE_S = 0.3
SLOW_ANSWER_S = 2
SEND_TIMEOUT_S = 0.3
KB_PER_MB = 1024
ROUTED, UNROUTED, READY = 'route', 'no route', 'ready'
PLACES = (ROUTED, UNROUTED, READY)
PATHS = {ROUTED: '/look/1', UNROUTED: '/nowhere/1', READY: '/-/readyz'}


class CrowdedHost(HostProcess):
    """A host process with little memory and few descriptors."""

    def settings(self, **changes: str) -> dict[str, str]:
        self.store.put(
            'keyed.op',
            'config',
            configuration(
                limits={
                    'maxHeaderBytes': MAX_HEADER_BYTES,
                    'maxBodyBytes': MAX_BODY_BYTES,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                }
            ),
        )
        return super().settings(
            MEMORY_MB=str(MEMORY_MB), MAX_FDS=str(MAX_FDS), **changes
        )

    def memory_mb(self) -> float:
        """Return the most memory that was resident at once."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(row for row in status.splitlines() if 'VmHWM' in row)
        return int(line.split()[1]) / KB_PER_MB

    def descriptors(self) -> int:
        return len(list(pathlib.Path(f'/proc/{self.process.pid}/fd').iterdir()))

    def check(self) -> None:
        """Check that the process lives within its machine and serves."""
        assert self.process.poll() is None
        assert self.memory_mb() < MEMORY_MB
        assert self.descriptors() <= MAX_FDS - RESERVED_FDS
        numbers = itertools.count()
        wait_for(lambda: self.is_served(next(numbers)), 'an ordinary request')
        assert self.process.poll() is None

    def is_served(self, number: int) -> bool:
        """Return whether an ordinary request is answered."""
        with contextlib.suppress(OSError):
            return self.call(f'ordinary-{number}') == 200
        return False


@pytest.fixture
def host(tmp_path: pathlib.Path) -> Iterator[CrowdedHost]:
    made = CrowdedHost(tmp_path)
    wait_for(made.is_ready, 'the host to be ready')
    yield made
    made.close()


class Crowd:
    """Connections of callers to one place of a host."""

    def __init__(self, host: CrowdedHost, place: str) -> None:
        self.host = host
        self.place = place
        self.sockets: list[socket.socket] = []

    def head(self, *lines: str, method: str = 'POST', query: str = '') -> bytes:
        return '\r\n'.join(
            (
                f'{method} {PATHS[self.place]}{query} HTTP/1.1',
                f'Host: {AUTHORITY}',
                f'Authorization: Bearer {KEY}',
                f'Request-Id: crowd-{len(self.sockets)}',
                'Deadline-Ms: 60000',
                *lines,
                '',
                '',
            )
        ).encode()

    def connect(self) -> socket.socket:
        port = self.host.ready if self.place == READY else self.host.port
        sock = socket.create_connection(('127.0.0.1', port), 5)
        sock.settimeout(SEND_TIMEOUT_S)
        self.sockets.append(sock)
        return sock

    def send(self, *pieces: bytes) -> None:
        """Send on a new connection as much as the host takes."""
        with contextlib.suppress(OSError):
            sock = self.connect()
            for piece in pieces:
                sock.sendall(piece)

    def close(self) -> None:
        for sock in self.sockets:
            sock.close()


def one_piece(crowd: Crowd) -> None:
    body = b'x' * (MAX_BODY_BYTES - 1)
    for _ in range(BODIES):
        crowd.send(crowd.head(f'Content-Length: {MAX_BODY_BYTES}'), body)


def strangers(crowd: Crowd) -> None:
    """Send bodies without a key beside ones with a key."""
    body = b'x' * (MAX_BODY_BYTES - 1)
    for number in range(BODIES):
        head = crowd.head(f'Content-Length: {MAX_BODY_BYTES}')
        if number % 2:
            head = head.replace(KEY.encode(), b'not-a-key')
        crowd.send(head, body)


def whole_bodies(crowd: Crowd) -> None:
    size = MAX_BODY_BYTES // 4
    for _ in range(READERS):
        crowd.send(crowd.head(f'Content-Length: {size}'), b'x' * size)


def small_pieces(crowd: Crowd) -> None:
    """Send to all in turn, so that all grow together."""
    head = crowd.head(f'Content-Length: {MAX_BODY_BYTES}')
    for _ in range(BODIES):
        crowd.send(head)
    piece = b'x' * 32_768
    for _ in range(MAX_BODY_BYTES // len(piece) - 1):
        for sock in crowd.sockets:
            with contextlib.suppress(OSError):
                sock.sendall(piece)


def chunks(crowd: Crowd) -> None:
    chunk = b'8000\r\n%b\r\n' % (b'x' * 0x8000)
    whole = MAX_BODY_BYTES // 0x8000 - 1
    for _ in range(BODIES):
        crowd.send(
            crowd.head('Transfer-Encoding: chunked'), chunk * whole, b'7fff'
        )


def far_over_the_limit(crowd: Crowd) -> None:
    for _ in range(BODIES // 2):
        crowd.send(crowd.head('Content-Length: 500000000'), b'x' * 2_000_000)
        crowd.send(
            crowd.head('Transfer-Encoding: chunked'),
            (b'8000\r\n%b\r\n' % (b'x' * 0x8000)) * 64,
        )
        crowd.send(
            crowd.head('Content-Length: 500000000', 'Expect: 100-continue')
        )


def short_fields(crowd: Crowd) -> None:
    """Send legal sizes that are made of very many parts."""
    names = json.dumps({f'k{number}': 0 for number in range(60_000)}).encode()
    nested = b'[' * 100_000
    fields = [f'a{number}: 1' for number in range(200)]
    parts = ','.join(f'{number:x}:1' for number in range(1500))
    query = '&'.join(f'a{number}=1' for number in range(1200))
    for _ in range(BODIES // 4):
        for body in (names, nested):
            crowd.send(crowd.head(f'Content-Length: {len(body)}'), body)
        crowd.send(crowd.head('Content-Length: 0', *fields))
        crowd.send(crowd.head('Content-Length: 0', f'Prefix-Hash: {parts}'))
        crowd.send(crowd.head('Content-Length: 0', query=f'?{query}'))


def sent_ahead(crowd: Crowd) -> None:
    """Send many requests on each connection and read no answer."""
    for _ in range(PIPELINES):
        crowd.send(crowd.head(method='GET') * PIPELINED)


def silent(crowd: Crowd) -> None:
    for _ in range(IDLE):
        crowd.send()


def half_a_head(crowd: Crowd) -> None:
    for _ in range(IDLE):
        crowd.send(crowd.head()[:-20])


def slow_heads(crowd: Crowd) -> None:
    """Send heads that nearly fill the limit a piece at a time."""
    head = crowd.head(f'X: {"y" * (MAX_HEADER_BYTES - 400)}')
    pieces = [head[at : at + 2048] for at in range(0, len(head) - 2048, 2048)]
    for _ in range(IDLE // 2):
        crowd.send(pieces[0])
    for piece in pieces[1:]:
        for sock in crowd.sockets:
            with contextlib.suppress(OSError):
                sock.sendall(piece)


def half_closed(crowd: Crowd) -> None:
    for _ in range(IDLE):
        crowd.send(crowd.head(f'Content-Length: {MAX_BODY_BYTES}'), b'x')
        with contextlib.suppress(OSError):
            crowd.sockets[-1].shutdown(socket.SHUT_WR)


def reset(crowd: Crowd) -> None:
    for _ in range(IDLE):
        crowd.send(crowd.head(f'Content-Length: {MAX_BODY_BYTES}'), b'x')
        crowd.sockets[-1].setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
        )
        crowd.sockets[-1].close()


CROWDS: tuple[Callable[[Crowd], None], ...] = (
    one_piece,
    strangers,
    small_pieces,
    chunks,
    far_over_the_limit,
    short_fields,
    sent_ahead,
    silent,
    half_a_head,
    slow_heads,
    half_closed,
    reset,
)


class TestCrowds:
    @pytest.mark.parametrize('place', PLACES)
    @pytest.mark.parametrize('send', CROWDS)
    def test_host_lives_and_serves(
        self,
        host: CrowdedHost,
        send: Callable[[Crowd], None],
        place: str,
    ) -> None:
        crowd = Crowd(host, place)
        try:
            send(crowd)
            time.sleep(SETTLE_S)
            host.check()
        finally:
            crowd.close()


class TestUnreadAnswers:
    """Callers ask for long answers and do not read them."""

    @pytest.mark.parametrize('streams', (False, True))
    def test_host_lives_and_serves(
        self, host: CrowdedHost, *, streams: bool
    ) -> None:
        host.endpoint.behaviour = long_stream if streams else long_body
        host.store.put(
            'keyed.servers',
            'i-1',
            host.endpoint.record('engines', capacity=READERS),
        )
        crowd = Crowd(host, ROUTED)
        path = b'/talk/1' if streams else b'/look/1'
        head = crowd.head('Content-Length: 0').replace(b'/look/1', path)
        try:
            for _ in range(READERS):
                crowd.send(head)
            time.sleep(SETTLE_S * 5)
            host.endpoint.behaviour = ServedRequest.respond
            host.check()
        finally:
            crowd.close()


class TestSlowEndpoint:
    """An endpoint answers slowly while a crowd sends whole and half bodies."""

    def test_host_lives_and_serves(self, host: CrowdedHost) -> None:
        host.endpoint.behaviour = slow_answer
        crowd = Crowd(host, ROUTED)
        try:
            whole_bodies(crowd)
            one_piece(crowd)
            host.endpoint.behaviour = ServedRequest.respond
            host.check()
        finally:
            crowd.close()


class TestSingleRequest:
    """A single request inside the limits is served in calm."""

    @pytest.mark.parametrize('size', (0, MAX_BODY_BYTES - 1, MAX_BODY_BYTES))
    def test_body_of_legal_size(self, host: CrowdedHost, size: int) -> None:
        crowd = Crowd(host, ROUTED)
        sock = crowd.connect()
        sock.settimeout(10)
        sock.sendall(crowd.head(f'Content-Length: {size}'))
        sock.sendall(b'x' * size)
        assert sock.recv(4096).startswith(b'HTTP/1.1 200 ')
        crowd.close()


def long_body(served: ServedRequest) -> None:
    served.respond(body=b'x' * ANSWER_BYTES)


def slow_answer(served: ServedRequest) -> None:
    time.sleep(SLOW_ANSWER_S)
    served.respond()


def long_stream(served: ServedRequest) -> None:
    served.start_stream()
    for number in range(ANSWER_BYTES // 8192):
        served.chunk(b'id: %d\ndata: %b\n\n' % (number, b'x' * 8150))
    served.end_stream()
