"""What follows the events of a stream that has begun and broken off."""

from collections.abc import Callable, Iterator

import pytest
from gatewaycluster import CallerResponse, GatewayCluster, RunningHost
from platformendpoint import SERVER_STAMP, ServedRequest
from test_truth import events, hosts_with, released_numbers, wait_for

STAMP = f'Server-Stamp: {SERVER_STAMP}'
EVENT_STREAM = 'Content-Type: text/event-stream'
JSON = 'Content-Type: application/json'
Behaviour = Callable[[ServedRequest], None]


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    yield made
    made.close()


def answer(status: int, *lines: str, body: bytes = b'') -> Behaviour:
    """Return a behaviour that sends a head and a body as they are."""

    def behave(served: ServedRequest) -> None:
        served.head(status, *lines)
        served.sock.sendall(body)

    return behave


def then_close(behaviour: Behaviour) -> Behaviour:
    def behave(served: ServedRequest) -> None:
        behaviour(served)
        served.close()

    return behave


def interim_then_error(served: ServedRequest) -> None:
    served.sock.sendall(b'HTTP/1.1 103 Early Hints\r\n\r\n')
    served.respond(500, b'error text')


def error_head_in_a_chunk(served: ServedRequest) -> None:
    served.start_stream()
    served.chunk(b'HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\n')
    served.end_stream()


def error_as_an_event(served: ServedRequest) -> None:
    served.start_stream()
    served.chunk(b'HTTP/1.1 500 Error\n\n')
    served.end_stream()


def two_events(served: ServedRequest) -> None:
    """Send an event and a part of the next one."""
    served.start_stream()
    served.event(0)
    served.chunk(b'id: 1\ndata: pie')
    served.reset()


def one_event(served: ServedRequest) -> None:
    served.start_stream()
    served.event(0)
    served.reset()


NO_STREAMS: dict[str, Behaviour] = {
    '204': answer(204, STAMP),
    '204-event-stream': answer(204, STAMP, EVENT_STREAM),
    '200-empty': answer(200, STAMP, 'Content-Length: 0'),
    '200-empty-json': answer(200, STAMP, JSON, 'Content-Length: 0'),
    '200-json': answer(200, STAMP, JSON, 'Content-Length: 2', body=b'{}'),
    '200-json-as-event': answer(
        200, STAMP, JSON, 'Content-Length: 6', body=b'{}\n\n{}'
    ),
    '200-events-as-json': answer(
        200, STAMP, JSON, 'Content-Length: 9', body=b'data: x\n\n'
    ),
    '202-events': answer(
        202, STAMP, EVENT_STREAM, 'Content-Length: 9', body=b'data: x\n\n'
    ),
    '206-part': answer(
        206, STAMP, EVENT_STREAM, 'Content-Length: 9', body=b'data: x\n\n'
    ),
    '302': answer(302, STAMP, 'Location: /', 'Content-Length: 0'),
    '404': answer(404, STAMP, 'Content-Length: 2', body=b'no'),
    '500': answer(500, STAMP, 'Content-Length: 2', body=b'no'),
    '500-unsized': then_close(answer(500, STAMP, body=b'error text')),
    '500-without-stamp': answer(500, 'Content-Length: 2', body=b'no'),
    '503-not-run': answer(503, 'Not-Executed: 1', 'Content-Length: 0'),
    '503-ran': answer(503, STAMP, 'Content-Length: 0'),
    'unsized-empty': then_close(answer(200, STAMP, EVENT_STREAM)),
    'interim-then-error': interim_then_error,
    'error-head-in-a-chunk': error_head_in_a_chunk,
    'error-as-an-event': error_as_an_event,
    'no-http': lambda served: served.sock.sendall(b'id: 1\ndata: x\n\n'),
    'closed': ServedRequest.close,
}


def cut_then(begin: Behaviour, resumption: Behaviour) -> Behaviour:
    def behave(served: ServedRequest) -> None:
        if 'last-event-id' in served.request.headers:
            resumption(served)
        else:
            begin(served)

    return behave


def call_with(
    cluster: GatewayCluster, begin: Behaviour, resumption: Behaviour
) -> tuple[RunningHost, CallerResponse]:
    """Return a host before two such endpoints, and a caller's response."""
    running = hosts_with(cluster, 2)
    for endpoint in cluster.endpoints:
        endpoint.behaviour = cut_then(begin, resumption)  # type: ignore[assignment]
    return running, cluster.call(running, '/chat/1')


class TestResumption:
    @pytest.mark.parametrize('name', NO_STREAMS)
    @pytest.mark.parametrize('begin', [one_event, two_events])
    def test_only_events_follow_events(
        self, cluster: GatewayCluster, begin: Behaviour, name: str
    ) -> None:
        _, response = call_with(cluster, begin, NO_STREAMS[name])
        assert response.body == b'id: 0\ndata: piece 0\n\n'
        assert not response.complete

    def test_half_an_event_is_not_relayed_before_the_next_run(
        self, cluster: GatewayCluster
    ) -> None:
        _, response = call_with(cluster, two_events, ServedRequest.stream)
        assert response.complete
        assert events(response.body) == [0, 1, 2, 3, 4]

    def test_events_that_were_the_last_ones_end_the_stream(
        self, cluster: GatewayCluster
    ) -> None:
        """The stream broke off after its last event, before its end."""
        nothing_left = answer(200, STAMP, EVENT_STREAM, 'Content-Length: 0')
        _, response = call_with(cluster, one_event, nothing_left)
        assert response.complete
        assert events(response.body) == [0]

    def test_slots_of_both_attempts_are_released(
        self, cluster: GatewayCluster
    ) -> None:
        running = hosts_with(cluster, 2)
        for endpoint in cluster.endpoints:
            endpoint.behaviour = cut_then(one_event, NO_STREAMS['204'])  # type: ignore[assignment]
        released = released_numbers(running)
        cluster.call(running, '/chat/1')
        wait_for(lambda: len(set(released)) == 2, 'both slots to be released')


class TestOwnErrors:
    def test_no_own_error_follows_the_events(
        self, cluster: GatewayCluster
    ) -> None:
        """No endpoint is left for what goes on."""
        running = hosts_with(cluster, 1)
        endpoint = cluster.endpoints[0]

        def cut_and_leave(served: ServedRequest) -> None:
            served.start_stream()
            served.event(0)
            endpoint.listener.close()
            served.reset()

        endpoint.behaviour = cut_and_leave  # type: ignore[assignment]
        response = cluster.call(running, '/chat/1')
        assert response.body == b'id: 0\ndata: piece 0\n\n'
        assert not response.complete

    def test_deadline_within_a_stream_is_a_cut(
        self, cluster: GatewayCluster
    ) -> None:
        running = hosts_with(cluster, 1)

        def stall(served: ServedRequest) -> None:
            served.start_stream()
            served.event(0)
            served.client_disconnected(within_s=5)

        cluster.endpoints[0].behaviour = stall  # type: ignore[assignment]
        response = cluster.call(running, '/chat/1', Deadline_Ms='600')
        assert response.body == b'id: 0\ndata: piece 0\n\n'
        assert not response.complete


class TestTakeUpAtAnotherHost:
    """The caller's connection broke; it goes on at another host."""

    @pytest.mark.parametrize('name', ['204', '200-json', '404', '500'])
    def test_answer_is_that_of_the_endpoint_and_no_stream(
        self, cluster: GatewayCluster, name: str
    ) -> None:
        running = hosts_with(cluster, 1)
        other = cluster.add_host()
        cluster.wait_for_endpoints(other, 1)
        endpoint = cluster.endpoints[0]
        endpoint.behaviour = cut_then(one_event, NO_STREAMS[name])  # type: ignore[assignment]
        begun = cluster.call(running, '/chat/1', Request_Id='begun')
        assert not begun.complete
        taken_up = cluster.call(
            other, '/chat/1', Last_Event_Id='0', Resumes='begun'
        )
        assert taken_up.status != 200 or not events(taken_up.body)
        assert b'piece' not in taken_up.body

    def test_own_error_is_a_response_of_its_own(
        self, cluster: GatewayCluster
    ) -> None:
        running = hosts_with(cluster, 1)
        taken_up = cluster.call(
            running, '/chat/1', Last_Event_Id='0', Resumes='unknown'
        )
        assert taken_up.status == 503
        assert taken_up.complete
