"""Where an endpoint's response ends: unframed, cut, endless, malformed."""

import io
import itertools
import socket
import time
from collections.abc import Callable, Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost, wait_for
from platformendpoint import SERVER_STAMP, PlatformEndpoint, ServedRequest
from storecalls import READ_HEADER, StoreTopic, decode_records

from trefoilspool.errors import (
    LogOutageError,
    StreamCutError,
)
from trefoilspool.eventstream import split_events
from trefoilspool.peertopics import peer_page
from trefoilspool.readpace import PieceBudget, ReadPace
from trefoilspool.responsebounds import (
    ByteBudget,
    ReceiveLimits,
    collect_body,
)
from trefoilspool.slotacquisition import SlotAcquirer
from trefoilspool.slotmessages import AttemptEnding

Behaviour = Callable[[ServedRequest], None]

DEADLINE_MS = '2000'
ANSWER_DUE_S = 2.6  # the deadline and half a second
# More than sound responses have and than the buffers of both sockets hold.
MAX_TAKEN_BYTES = 48_000_000
# An endless sender waits here for the end of its connection, so that a host
# that takes everything does not fill this process.
SENT_BYTES = 64_000_000
PIECE = b'x' * 65_536
HUGE = 9 * 10**12


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    yield made
    made.close()


@pytest.fixture
def endings(monkeypatch: pytest.MonkeyPatch) -> list[AttemptEnding]:
    """Return the endings of the attempts, in their order."""
    seen: list[AttemptEnding] = []
    release = SlotAcquirer.release

    def record(
        acquirer: SlotAcquirer,
        slot: object,
        ending: AttemptEnding,
        times: object,
        **changes: object,
    ) -> None:
        seen.append(ending)
        release(acquirer, slot, ending, times, **changes)  # type: ignore[arg-type]

    monkeypatch.setattr(SlotAcquirer, 'release', record)
    return seen


def host_with(
    cluster: GatewayCluster, endpoints: int, behaviour: Behaviour
) -> RunningHost:
    for _ in range(endpoints):
        cluster.add_endpoint().behaviour = behaviour
    running = cluster.add_host()
    cluster.wait_for_endpoints(running, endpoints)
    return running


def once(behaviour: Behaviour) -> Behaviour:
    """Return a behaviour that is sound after its first request."""
    left = [behaviour]

    def behave(served: ServedRequest) -> None:
        if left:
            left.pop()(served)
        elif 'chat' in served.request.line:
            served.stream()
        else:
            served.respond()

    return behave


def head(served: ServedRequest, *lines: str) -> None:
    served.head(200, f'Server-Stamp: {SERVER_STAMP}', *lines)


def event(number: int) -> bytes:
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def numbers(body: bytes) -> list[int]:
    return [
        int(part.split(b'\n')[0].removeprefix(b'id: '))
        for part in body.split(b'\n\n')
        if part
    ]


def part_of_body(served: ServedRequest) -> None:
    """Send part of an unframed body, then nothing."""
    head(served)
    served.sock.sendall(b'part')
    served.client_disconnected()
    served.close()


def part_of_stream(served: ServedRequest) -> None:
    """Send two events of an unframed stream, then nothing."""
    head(served)
    served.sock.sendall(event(0) + event(1))
    served.client_disconnected()
    served.close()


class TestConnectionEndedByThisHost:
    """The end of a connection that this host aborts is no end of a body."""

    def test_body_at_the_deadline(self, cluster: GatewayCluster) -> None:
        running = host_with(cluster, 1, part_of_body)
        response = cluster.call(running, '/book/1', Deadline_Ms='700')
        assert response.status == 504
        assert b'part' not in response.body

    def test_stream_at_the_deadline(
        self, cluster: GatewayCluster, endings: list[AttemptEnding]
    ) -> None:
        running = host_with(cluster, 1, part_of_stream)
        response = cluster.call(running, '/talk/1', Deadline_Ms='700')
        assert (response.status, response.complete) == (200, False)
        assert numbers(response.body) == [0, 1]
        assert endings == [AttemptEnding.cancelled]

    @pytest.mark.parametrize(
        ('path', 'behaviour'),
        [('/talk/1', part_of_stream), ('/book/1', part_of_body)],
    )
    def test_caller_disconnects(
        self,
        cluster: GatewayCluster,
        endings: list[AttemptEnding],
        path: str,
        behaviour: Behaviour,
    ) -> None:
        running = host_with(cluster, 1, behaviour)
        caller = socket.create_connection((running.address, running.port))
        caller.sendall(
            f'POST {path} HTTP/1.1\r\nHost: shop.example\r\n'
            'Request-Id: q1\r\nAuthorization: Bearer key-of-acme\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )
        wait_for(lambda: cluster.endpoints[0].runs, 'the request to run')
        time.sleep(0.2)
        caller.close()
        wait_for(lambda: endings, 'the end of the attempt')
        assert endings == [AttemptEnding.cancelled]


def unframed(*pieces: bytes) -> Behaviour:
    """Return a behaviour that sends a body and closes the connection."""

    def behave(served: ServedRequest) -> None:
        head(served)
        for piece in pieces:
            served.sock.sendall(piece)
        served.close()

    return behave


def unframed_of_old_version(served: ServedRequest) -> None:
    """Send a body after a head of HTTP/1.0."""
    served.sock.sendall(
        f'HTTP/1.0 200 OK\r\nRequest-Id: {served.request.request_id}\r\n'
        f'Server-Stamp: {SERVER_STAMP}\r\n\r\n{"done" * 9}'.encode()
    )
    served.close()


def unframed_refusal(served: ServedRequest) -> None:
    """Refuse a request without a length."""
    served.head(503, 'Not-Executed: 1')
    served.sock.sendall(b'full')
    served.close()


def cut_in_event(served: ServedRequest) -> None:
    """End an unframed stream inside its third event; go on when resumed."""
    head(served)
    first = int(served.request.headers.get('last-event-id', -1)) + 1
    if first:
        served.sock.sendall(b''.join(event(n) for n in range(first, 5)))
    else:
        served.sock.sendall(event(0) + event(1) + event(2)[:-1])
    served.close()


def reset_after_events(served: ServedRequest) -> None:
    """Reset an unframed stream between two events."""
    head(served)
    served.sock.sendall(event(0) + event(1))
    time.sleep(0.2)
    served.reset()


class TestUnframedResponses:
    """Responses with neither a length nor chunks end with their connection."""

    @pytest.mark.parametrize(
        ('path', 'body'),
        [('/look/1', b'done' * 9), ('/talk/1', b''.join(map(event, range(5))))],
    )
    def test_whole(
        self, cluster: GatewayCluster, path: str, body: bytes
    ) -> None:
        running = host_with(cluster, 1, unframed(body[:30], body[30:]))
        response = cluster.call(running, path)
        assert response[:1] + response[2:] == (200, body, True)
        assert len(cluster.endpoints[0].runs) == 1

    def test_old_version(self, cluster: GatewayCluster) -> None:
        running = host_with(cluster, 1, unframed_of_old_version)
        response = cluster.call(running)
        assert (response.status, response.body) == (200, b'done' * 9)

    def test_stream_cut_inside_an_event(self, cluster: GatewayCluster) -> None:
        running = host_with(cluster, 1, cut_in_event)
        response = cluster.call(running, '/talk/1')
        assert not response.complete
        assert numbers(response.body) == [0, 1]

    def test_cut_stream_is_resumed(self, cluster: GatewayCluster) -> None:
        running = host_with(cluster, 2, cut_in_event)
        response = cluster.call(running, '/chat/1')
        assert response.complete
        assert numbers(response.body) == [0, 1, 2, 3, 4]

    def test_stream_is_reset(self, cluster: GatewayCluster) -> None:
        running = host_with(cluster, 1, reset_after_events)
        response = cluster.call(running, '/talk/1')
        assert not response.complete
        assert numbers(response.body) == [0, 1]

    def test_refusal(self, cluster: GatewayCluster) -> None:
        running = host_with(cluster, 2, once(unframed_refusal))
        assert cluster.call(running).status == 200
        assert cluster.call(running, '/book/1').status == 200

    @pytest.mark.parametrize('path', ['/look/1', '/talk/1'])
    @pytest.mark.parametrize('status', [204, 304])
    def test_status_without_body(
        self, cluster: GatewayCluster, path: str, status: int
    ) -> None:
        def behave(served: ServedRequest) -> None:
            served.head(status, f'Server-Stamp: {SERVER_STAMP}')

        running = host_with(cluster, 1, behave)
        response = cluster.call(running, path)
        assert response[:1] + response[2:] == (status, b'', True)

    @pytest.mark.parametrize('path', ['/look/1', '/talk/1'])
    def test_head_method(self, cluster: GatewayCluster, path: str) -> None:
        def behave(served: ServedRequest) -> None:
            head(served, 'Content-Length: 5')

        running = host_with(cluster, 1, behave)
        with socket.create_connection((running.address, running.port)) as sock:
            sock.settimeout(ANSWER_DUE_S)
            sock.sendall(
                f'HEAD {path} HTTP/1.1\r\nHost: shop.example\r\n'
                'Request-Id: q1\r\nAuthorization: Bearer key-of-acme\r\n'
                'Connection: close\r\n\r\n'.encode()
            )
            received = b''.join(iter(lambda: sock.recv(4096), b''))
        assert received.startswith(b'HTTP/1.1 200 ')
        assert received.endswith(b'\r\n\r\n')
        assert received.count(b'\r\n\r\n') == 1

    @pytest.mark.parametrize('sent', [0.4, 0.7, 0.99])
    def test_cut_inside_the_head(
        self, cluster: GatewayCluster, sent: float
    ) -> None:
        def behave(served: ServedRequest) -> None:
            text = (
                f'HTTP/1.1 200 OK\r\nRequest-Id: {served.request.request_id}'
                f'\r\nServer-Stamp: {SERVER_STAMP}\r\n'
                'Content-Type: text/plain\r\nContent-Length: 10\r\n\r\n'
            )
            served.sock.sendall(text[: int(len(text) * sent)].encode())
            served.close()

        running = host_with(cluster, 1, behave)
        assert cluster.call(running, '/book/1').status == 502

    def test_cut_inside_a_chunk_size(self, cluster: GatewayCluster) -> None:
        def behave(served: ServedRequest) -> None:
            served.start_stream()
            served.event(0)
            served.sock.sendall(b'0')  # of 0015
            served.close()

        running = host_with(cluster, 1, behave)
        assert not cluster.call(running, '/talk/1').complete


class EndlessSender:
    """A behaviour that sends without end, once; sound before and after.

    Parameters
    ----------
    start : bytes
        Sent first, after the head if ``lines`` are given.
    piece : bytes
        Sent again and again.
    lines : sequence of str or None
        Header lines of the response's head, None for no head.
    pause_s : float
        Seconds between pieces.
    status : int
        Status of the head.
    """

    def __init__(
        self,
        start: bytes,
        piece: bytes,
        lines: tuple[str, ...] | None = None,
        pause_s: float = 0,
        status: int = 200,
    ) -> None:
        self.start = start
        self.piece = piece
        self.lines = lines
        self.pause_s = pause_s
        self.status = status
        self.taken_bytes = 0
        self.is_closed = False

    def __call__(self, served: ServedRequest) -> None:
        if self.lines is not None:
            served.head(
                self.status, f'Server-Stamp: {SERVER_STAMP}', *self.lines
            )
        try:
            self.send(served)
        except OSError:
            self.is_closed = True
        served.close()

    def send(self, served: ServedRequest) -> None:
        served.sock.sendall(self.start)
        while self.taken_bytes < SENT_BYTES:
            self.taken_bytes += served.sock.send(self.piece)
            time.sleep(self.pause_s)
        self.is_closed = served.client_disconnected()


ENDLESS_HEADS = {
    'line': lambda: EndlessSender(b'HTTP/1.1 200 ', PIECE),
    'garbage': lambda: EndlessSender(b'', bytes(range(1, 255)) * 256),
    'header': lambda: EndlessSender(b'HTTP/1.1 200 OK\r\nX: ', PIECE),
    'headers': lambda: EndlessSender(b'HTTP/1.1 200 OK\r\n', b'X: y\r\n' * 99),
    'continues': lambda: EndlessSender(
        b'', b'HTTP/1.1 100 Continue\r\n%s\r\n' % (b'X: y\r\n' * 99)
    ),
    'slow line': lambda: EndlessSender(b'HTTP/1.1 200 ', b'x', None, 0.1),
    'slow headers': lambda: EndlessSender(
        b'HTTP/1.1 200 OK\r\n', b'X: y\r\n', None, 0.1
    ),
    'slow continues': lambda: EndlessSender(
        b'', b'HTTP/1.1 100 Continue\r\n\r\n', None, 0.1
    ),
}
CHUNKED = ('Transfer-Encoding: chunked',)
ENDLESS_BODIES = {
    'unframed': lambda: EndlessSender(b'', PIECE, ()),
    'length': lambda: EndlessSender(b'', PIECE, (f'Content-Length: {HUGE}',)),
    'chunks': lambda: EndlessSender(b'', b'10000\r\n%s\r\n' % PIECE, CHUNKED),
    'small chunks': lambda: EndlessSender(b'', b'1\r\nx\r\n' * 9999, CHUNKED),
    'chunk': lambda: EndlessSender(b'fffffffffff\r\n', PIECE, CHUNKED),
    'chunk size': lambda: EndlessSender(b'', b'1' * 65_536, CHUNKED),
    'trailers': lambda: EndlessSender(b'0\r\n', b'X: y\r\n' * 999, CHUNKED),
    'slow': lambda: EndlessSender(b'', b'x', (), 0.1),
    'slow chunk size': lambda: EndlessSender(b'', b'1', CHUNKED, 0.1),
    'slow trailers': lambda: EndlessSender(b'0\r\n', b'X: y\r\n', CHUNKED, 0.1),
}


class TestEndlessBytes:
    """Bytes that do not end take neither the host's memory nor its threads."""

    @pytest.mark.parametrize('path', ['/look/1', '/chat/1'])
    @pytest.mark.parametrize('kind', ENDLESS_HEADS)
    def test_head(
        self,
        cluster: GatewayCluster,
        endings: list[AttemptEnding],
        path: str,
        kind: str,
    ) -> None:
        sender = ENDLESS_HEADS[kind]()
        running = host_with(cluster, 2, once(sender))
        response = cluster.call(running, path, Deadline_Ms=DEADLINE_MS)
        assert (response.status, response.complete) == (200, True)
        assert endings == [AttemptEnding.broken, AttemptEnding.completed]
        self.check(sender)

    @pytest.mark.parametrize('path', ['/look/1', '/chat/1'])
    @pytest.mark.parametrize('kind', ENDLESS_BODIES)
    def test_body(
        self,
        cluster: GatewayCluster,
        endings: list[AttemptEnding],
        path: str,
        kind: str,
    ) -> None:
        sender = ENDLESS_BODIES[kind]()
        running = host_with(cluster, 2, once(sender))
        response = cluster.call(running, path, Deadline_Ms=DEADLINE_MS)
        assert (response.status, response.complete) == (200, True)
        assert endings == [AttemptEnding.broken, AttemptEnding.completed]
        self.check(sender)

    @pytest.mark.parametrize('kind', ENDLESS_HEADS | ENDLESS_BODIES)
    def test_request_that_may_run_once(
        self,
        cluster: GatewayCluster,
        kind: str,
    ) -> None:
        sender = (ENDLESS_HEADS | ENDLESS_BODIES)[kind]()
        running = host_with(cluster, 2, once(sender))
        started = time.monotonic()
        response = cluster.call(running, '/book/1', Deadline_Ms=DEADLINE_MS)
        assert response.status in {502, 504}
        assert time.monotonic() - started < ANSWER_DUE_S
        self.check(sender)

    @pytest.mark.parametrize(
        'piece',
        [PIECE, b'id: 0\ndata: %s\n\n' % PIECE[:9000]],
    )
    def test_stream_after_events(
        self, cluster: GatewayCluster, piece: bytes
    ) -> None:
        """Neither an endless event nor repeated events stop a resumption."""
        sender = EndlessSender(event(0) + event(1), piece, ())
        running = host_with(cluster, 2, once(sender))
        response = cluster.call(running, '/chat/1', Deadline_Ms='4000')
        assert response.complete
        assert numbers(response.body) == [0, 1, 2, 3, 4]
        self.check(sender)

    @pytest.mark.parametrize(('piece', 'pause_s'), [(PIECE, 0), (b'x', 0.1)])
    @pytest.mark.parametrize(
        'lines', [(), CHUNKED, (f'Content-Length: {HUGE}',)]
    )
    def test_refusal(
        self,
        cluster: GatewayCluster,
        endings: list[AttemptEnding],
        piece: bytes,
        pause_s: float,
        lines: tuple[str, ...],
    ) -> None:
        """The request did not run, so it may be sent to another endpoint."""
        sender = EndlessSender(
            b'fffffffffff\r\n' if lines == CHUNKED else b'',
            piece,
            ('Not-Executed: 1', *lines),
            pause_s,
            503,
        )
        running = host_with(cluster, 2, once(sender))
        started = time.monotonic()
        response = cluster.call(running, '/look/1', Deadline_Ms=DEADLINE_MS)
        assert time.monotonic() - started < 1
        assert response.status == 200
        ending = AttemptEnding.refused if pause_s else AttemptEnding.broken
        assert endings == [ending, AttemptEnding.completed]
        self.check(sender)

    @pytest.mark.parametrize('length', [HUGE, HUGE**2])
    def test_stray_response(self, cluster: GatewayCluster, length: int) -> None:
        start = (
            b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\n'
            b'Content-Length: %d\r\n\r\n' % length
        )
        sender = EndlessSender(start, PIECE)
        running = host_with(cluster, 2, once(sender))
        response = cluster.call(running, '/look/1', Deadline_Ms=DEADLINE_MS)
        assert response.status == 200
        self.check(sender)

    def check(self, sender: EndlessSender) -> None:
        wait_for(lambda: sender.is_closed, 'the connection to be closed')
        assert sender.taken_bytes < MAX_TAKEN_BYTES


class TestSoundSizes:
    """Responses of sound sizes pass."""

    def test_body(self, cluster: GatewayCluster) -> None:
        body = b'piece by piece\n' * 300_000

        def behave(served: ServedRequest) -> None:
            served.respond(200, body)

        running = host_with(cluster, 1, behave)
        assert cluster.call(running).body == body

    def test_events(self, cluster: GatewayCluster) -> None:
        body = b''.join(
            b'id: %d\ndata: %s\n\n' % (number, b'x' * 500_000)
            for number in range(3)
        )

        def behave(served: ServedRequest) -> None:
            served.start_stream()
            served.chunk(body)
            served.end_stream()

        running = host_with(cluster, 1, behave)
        response = cluster.call(running, '/talk/1')
        assert (response.complete, response.body) == (True, body)

    def test_head(self, cluster: GatewayCluster) -> None:
        def behave(served: ServedRequest) -> None:
            served.extra_headers = (f'X: {"y" * 8000}', f'Z: {"y" * 8000}')
            served.respond()

        running = host_with(cluster, 1, behave)
        assert cluster.call(running).status == 200

    @pytest.mark.parametrize('path', ['/look/1', '/talk/1'])
    def test_interim_heads(self, cluster: GatewayCluster, path: str) -> None:
        def behave(served: ServedRequest) -> None:
            served.sock.sendall(
                b'HTTP/1.1 100 Continue\r\n\r\n'
                b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'
            )
            if 'talk' in path:
                served.stream()
            else:
                served.respond()

        running = host_with(cluster, 1, behave)
        assert cluster.call(running, path).status == 200


MALFORMED_HEADS = {
    'folded length': ('200 OK', 'Content-Length: 4\r\n 5'),
    'control character': ('200 OK', 'X: a\0b', 'Content-Length: 4'),
    'name': ('200 OK', 'X"(y: a', 'Content-Length: 4'),
    'no colon': ('200 OK', 'some text', 'Content-Length: 4'),
    'space before the colon': ('200 OK', 'Content-Length : 4'),
    'lengths differ': ('200 OK', 'Content-Length: 4', 'Content-Length: 2'),
    'lengths in a list': ('200 OK', 'Content-Length: 4, 2'),
    'negative length': ('200 OK', 'Content-Length: -4'),
    'signed length': ('200 OK', 'Content-Length: +4'),
    'no number': ('200 OK', 'Content-Length: four'),
    'length and chunks': (
        '200 OK',
        'Content-Length: 4',
        'Transfer-Encoding: chunked',
    ),
    'other coding': (
        '200 OK',
        'Content-Length: 4',
        'Transfer-Encoding: gzip, chunked',
    ),
    '999': ('999 Odd', 'Content-Length: 4'),
    '099': ('099 Odd', 'Content-Length: 4'),
    '600': ('600 Odd', 'Content-Length: 4'),
    '101': ('101 Switching Protocols', 'Content-Length: 4'),
    'no status': ('OK', 'Content-Length: 4'),
}
RELAYED_HEADS = {
    'bytes beyond ASCII': ('200 OK', 'X: \xe9\xff', 'Content-Length: 4'),
    'same length twice': ('200 OK', 'Content-Length: 4', 'Content-Length: 4'),
    'hop-by-hop': (
        '200 OK',
        'Connection: X-Hop',
        'X-Hop: 1',
        'Trailers: X',
        'Te: X',
        'Upgrade: X',
        'Proxy-Connection: close',
        'Content-Length: 4',
    ),
    'empty name in a value': ('200 OK', 'X:', 'Content-Length: 4'),
}


def raw_head(lines: tuple[str, ...]) -> Behaviour:
    """Return a behaviour that sends a head as given and four bytes."""

    def behave(served: ServedRequest) -> None:
        first, *rest = lines
        text = '\r\n'.join(
            (
                f'HTTP/1.1 {first}',
                f'Request-Id: {served.request.request_id}',
                f'Server-Stamp: {SERVER_STAMP}',
                *rest,
            )
        )
        served.sock.sendall(f'{text}\r\n\r\ndone'.encode('latin-1'))

    return behave


class TestHeads:
    """A malformed head is no response; a sound one is relayed."""

    @pytest.mark.parametrize('path', ['/book/1', '/talk/1'])
    @pytest.mark.parametrize('kind', MALFORMED_HEADS)
    def test_malformed(
        self,
        cluster: GatewayCluster,
        endings: list[AttemptEnding],
        path: str,
        kind: str,
    ) -> None:
        running = host_with(cluster, 1, raw_head(MALFORMED_HEADS[kind]))
        response = cluster.call(running, path, Deadline_Ms=DEADLINE_MS)
        assert response.status == 502
        assert response.headers['content-type'] == 'application/problem+json'
        assert endings == [AttemptEnding.broken]

    @pytest.mark.parametrize('kind', RELAYED_HEADS)
    def test_relayed(self, cluster: GatewayCluster, kind: str) -> None:
        running = host_with(cluster, 1, raw_head(RELAYED_HEADS[kind]))
        response = cluster.call(running, '/book/1', Deadline_Ms=DEADLINE_MS)
        assert (response.status, response.body) == (200, b'done')
        assert not {'x-hop', 'trailers', 'te'} & set(response.headers)


def new_pace() -> ReadPace:
    return ReadPace(ReceiveLimits(), PieceBudget())


class TestSplitEvents:
    @pytest.mark.parametrize('size', [1, 2, 3, 7, 50, 1000])
    def test_chunks_of_any_size(self, size: int) -> None:
        events = [event(0), b'\n\n', b'a\nb\n\n', b'\na\n\n']
        stream = b''.join(events)
        reader = io.BytesIO(stream)
        chunks = iter(lambda: reader.read(size), b'')
        assert list(split_events(chunks, ByteBudget(0), new_pace())) == events

    def test_end_inside_an_event(self) -> None:
        with pytest.raises(StreamCutError):
            cut = iter((event(0)[:-1],))
            list(split_events(cut, ByteBudget(0), new_pace()))

    def test_time_is_linear(self) -> None:
        """A long event in small chunks takes no longer than several short."""
        chunks = iter([b'x' * 16] * 100_000)
        started = time.monotonic()
        with pytest.raises(StreamCutError):
            list(split_events(chunks, ByteBudget(9_000_000), new_pace()))
        assert time.monotonic() - started < ANSWER_DUE_S


class TestHeldBytes:
    """All long responses share one budget; short ones need none."""

    def chunks(self, budget: ByteBudget) -> Iterator[bytes]:
        before = budget.free
        for _ in range(20):
            yield PIECE
        assert budget.free < before

    def test_body(self) -> None:
        budget = ByteBudget(4_000_000)
        assert collect_body(self.chunks(budget), budget) == PIECE * 20
        assert budget.free == 4_000_000

    def test_event(self) -> None:
        budget = ByteBudget(4_000_000)
        chunks = itertools.chain(self.chunks(budget), (b'\n\n', PIECE))
        stream = split_events(chunks, budget, new_pace())
        assert len(next(stream)) == 20 * len(PIECE) + 2
        with pytest.raises(StreamCutError):
            next(stream)
        assert budget.free == 4_000_000

    def test_budget_is_used_up(self) -> None:
        budget = ByteBudget(1_000_000)
        with pytest.raises(StreamCutError):
            collect_body(self.chunks(budget), budget)
        with pytest.raises(StreamCutError):
            list(split_events(self.chunks(budget), budget, new_pace()))
        assert collect_body(iter((PIECE,)), ByteBudget(0)) == PIECE
        assert budget.free == 1_000_000


class TestPagesWithoutEnd:
    """Neither the store nor a peer takes a host's memory or its time."""

    @pytest.fixture
    def source(self) -> Iterator[PlatformEndpoint]:
        made = PlatformEndpoint('store')
        yield made
        made.close()

    @pytest.mark.parametrize(
        'kind', ['unframed', 'length', 'chunks', 'trailers']
    )
    @pytest.mark.parametrize('reader', ['store', 'peer'])
    def test_body(
        self, source: PlatformEndpoint, reader: str, kind: str
    ) -> None:
        sender = ENDLESS_BODIES[kind]()
        source.behaviour = sender
        self.check(source, reader, sender)

    @pytest.mark.parametrize('kind', ['line', 'header', 'continues'])
    @pytest.mark.parametrize('reader', ['store', 'peer'])
    def test_head(
        self, source: PlatformEndpoint, reader: str, kind: str
    ) -> None:
        sender = ENDLESS_HEADS[kind]()
        source.behaviour = sender
        self.check(source, reader, sender)

    @pytest.mark.parametrize('cut', [1, 3, 5, 8])
    def test_cut_record_is_read_again(self, cut: int) -> None:
        record = b'\0\0\0\5\1kxyz'
        body = READ_HEADER.pack(2, 0) + record * 2
        assert len(decode_records(body, 0)) == 2
        assert len(decode_records(body[:-cut], 0)) == 1

    def check(
        self, source: PlatformEndpoint, reader: str, sender: EndlessSender
    ) -> None:
        address, _, port = source.address.partition(':')
        with pytest.raises(LogOutageError):
            if reader == 'store':
                StoreTopic(source.address, 'keyed.op').read_latest()
            else:
                peer_page(address, int(port), '/endpoints')
        wait_for(lambda: sender.is_closed, 'the connection to be closed')
        assert sender.taken_bytes < MAX_TAKEN_BYTES
