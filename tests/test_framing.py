"""Where an endpoint's response ends."""

import socket
import time
from collections.abc import Callable, Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost, wait_for
from platformendpoint import SERVER_STAMP, ServedRequest

from trefoilspool.slotacquisition import SlotAcquirer
from trefoilspool.slotmessages import AttemptEnding

Behaviour = Callable[[ServedRequest], None]


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
        acquirer: SlotAcquirer, slot: object, ending: AttemptEnding
    ) -> None:
        seen.append(ending)
        release(acquirer, slot, ending)  # type: ignore[arg-type]

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
