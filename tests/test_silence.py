"""Endpoints that fall silent for a while and go on."""

import threading
import time
from collections.abc import Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost, wait_for
from platformendpoint import ServedRequest

SILENCE_S = 1.4


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    yield made
    made.close()


def host_with(cluster: GatewayCluster, endpoints: int) -> RunningHost:
    for _ in range(endpoints):
        cluster.add_endpoint()
    running = cluster.add_host()
    cluster.wait_for_endpoints(running, endpoints)
    return running


def pause_in_stream(served: ServedRequest) -> None:
    """Stream five events, with a silence after the second."""
    served.start_stream()
    for number in range(5):
        if number == 2:
            time.sleep(SILENCE_S)
        served.event(number)
    served.end_stream()


def pause_before_stream(served: ServedRequest) -> None:
    """Stream five events after a silence."""
    time.sleep(SILENCE_S)
    served.stream()


def pause_before_first_event(served: ServedRequest) -> None:
    """Send the head of a stream, and its events after a silence."""
    served.start_stream()
    time.sleep(SILENCE_S)
    for number in range(5):
        served.event(number)
    served.end_stream()


def pause_before_response(served: ServedRequest) -> None:
    """Respond after a silence."""
    time.sleep(SILENCE_S)
    served.respond()


def numbers(body: bytes) -> list[int]:
    return [
        int(event.split(b'\n')[0].removeprefix(b'id: '))
        for event in body.split(b'\n\n')
        if event
    ]


class TestSilenceWithoutReplacement:
    """No other endpoint has a slot, so the silent one is waited for."""

    @pytest.mark.parametrize(
        'behaviour',
        [pause_in_stream, pause_before_stream, pause_before_first_event],
    )
    def test_silence_cuts_off_a_stream(
        self, cluster: GatewayCluster, behaviour: object
    ) -> None:
        running = host_with(cluster, 1)
        cluster.endpoints[0].behaviour = behaviour
        response = cluster.call(running, '/chat/1')
        assert (response.status, response.complete) == (200, True)
        assert numbers(response.body) == [0, 1, 2, 3, 4]
        assert len(cluster.endpoints[0].runs) == 1

    def test_silence_ends_a_request_in_an_error(
        self, cluster: GatewayCluster
    ) -> None:
        running = host_with(cluster, 1)
        cluster.endpoints[0].behaviour = pause_before_response
        assert cluster.call(running, '/look/1').status == 200
        assert len(cluster.endpoints[0].runs) == 1

    def test_other_endpoint_refuses_the_replacement(
        self, cluster: GatewayCluster
    ) -> None:
        running = host_with(cluster, 2)
        for endpoint in cluster.endpoints:
            endpoint.behaviour = refuse_resumption
        response = cluster.call(running, '/chat/1')
        assert response.complete
        assert numbers(response.body) == [0, 1, 2, 3, 4]


def refuse_resumption(served: ServedRequest) -> None:
    """Refuse a stream that is to be continued; pause in others."""
    if 'last-event-id' in served.request.headers:
        served.refuse()
        return
    pause_in_stream(served)


class TestReplacedSilence:
    """Another endpoint takes the request of the silent one."""

    @pytest.mark.parametrize(
        'behaviour', [pause_in_stream, pause_before_stream]
    )
    def test_both_endpoints_process_a_request(
        self, cluster: GatewayCluster, behaviour: object
    ) -> None:
        closed_at: list[float] = []
        taken_at: list[float] = []

        def stay_silent(served: ServedRequest) -> None:
            if behaviour is pause_in_stream:
                served.start_stream()
                served.event(0)
            assert served.client_disconnected(within_s=4)
            closed_at.append(time.monotonic())

        def take(served: ServedRequest) -> None:
            taken_at.append(time.monotonic())
            time.sleep(0.6)
            served.stream()

        running = host_with(cluster, 2)
        behaviours = iter((stay_silent, take))
        for endpoint in cluster.endpoints:
            endpoint.behaviour = lambda served: next(behaviours)(served)
        response = cluster.call(running, '/chat/1')
        assert response.complete
        assert numbers(response.body) == [0, 1, 2, 3, 4]
        wait_for(lambda: closed_at, 'the silent attempt to be closed')
        assert closed_at[0] - taken_at[0] < 0.4

    def test_endpoint_goes_on_while_its_replacement_waits(
        self, cluster: GatewayCluster
    ) -> None:
        resume = threading.Event()
        dropped: list[bool] = []

        def go_on(served: ServedRequest) -> None:
            served.start_stream()
            served.event(0)
            assert resume.wait(4)
            for number in range(1, 5):
                served.event(number)
            served.end_stream()

        def wait(served: ServedRequest) -> None:
            resume.set()
            dropped.append(served.client_disconnected(within_s=4))

        running = host_with(cluster, 2)
        behaviours = iter((go_on, wait))
        for endpoint in cluster.endpoints:
            endpoint.behaviour = lambda served: next(behaviours)(served)
        response = cluster.call(running, '/chat/1')
        assert response.complete
        assert numbers(response.body) == [0, 1, 2, 3, 4]
        wait_for(lambda: dropped == [True], 'the replacement to be dropped')
        client = running.host.mesh.client
        wait_for(lambda: not client.held, 'all slots to be released')

    def test_endpoint_without_a_listener_takes_nothing(
        self, cluster: GatewayCluster
    ) -> None:
        running = host_with(cluster, 2)

        def pause(served: ServedRequest) -> None:
            for endpoint in cluster.endpoints:
                endpoint.close()
            pause_in_stream(served)

        for endpoint in cluster.endpoints:
            endpoint.behaviour = pause
        response = cluster.call(running, '/chat/1')
        assert response.complete
        assert numbers(response.body) == [0, 1, 2, 3, 4]

    def test_silence_within_a_chunk_cuts_off_a_stream(
        self, cluster: GatewayCluster
    ) -> None:
        def pause_in_chunk(served: ServedRequest) -> None:
            served.start_stream()
            served.event(0)
            served.sock.sendall(b'1')
            time.sleep(SILENCE_S)
            served.sock.sendall(b'c\r\nid: 1\ndata: half of a line\n\n\r\n')
            served.end_stream()

        running = host_with(cluster, 1)
        cluster.endpoints[0].behaviour = pause_in_chunk
        response = cluster.call(running, '/chat/1')
        assert response.complete
        assert numbers(response.body) == [0, 1]
