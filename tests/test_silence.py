"""Endpoints that fall silent for a while and go on."""

import errno
import io
import socket
import threading
import time
from collections.abc import Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost, wait_for
from platformendpoint import ServedRequest

from trefoilspool import clock
from trefoilspool.responsebounds import LimitedReader, ReceiveLimits
from trefoilspool.tcptimeouts import bound_silence

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

    def test_replacement_is_lost_with_the_silent_endpoint(
        self, cluster: GatewayCluster
    ) -> None:
        taken = threading.Event()

        def end(served: ServedRequest) -> None:
            served.start_stream()
            served.event(0)
            assert taken.wait(4)
            time.sleep(0.05)
            served.reset()

        def take(served: ServedRequest) -> None:
            taken.set()
            time.sleep(0.2)
            served.stream()

        running = host_with(cluster, 2)
        behaviours = iter((end, take))
        for endpoint in cluster.endpoints:
            endpoint.behaviour = lambda served: next(behaviours)(served)
        response = cluster.call(running, '/chat/1')
        assert response.complete
        assert numbers(response.body) == [0, 1, 2, 3, 4]

    def test_head_that_drips_keeps_both_endpoints_busy(
        self, cluster: GatewayCluster
    ) -> None:
        closed_at: list[float] = []
        taken_at: list[float] = []

        def stay_silent(served: ServedRequest) -> None:
            served.start_stream()
            served.event(0)
            assert served.client_disconnected(within_s=4)
            closed_at.append(time.monotonic())

        def drip(served: ServedRequest) -> None:
            taken_at.append(time.monotonic())
            served.sock.sendall(b'HTTP/1.1 103 Early Hints\r\n\r\n')
            time.sleep(0.8)
            served.stream()

        running = host_with(cluster, 2)
        behaviours = iter((stay_silent, drip))
        for endpoint in cluster.endpoints:
            endpoint.behaviour = lambda served: next(behaviours)(served)
        response = cluster.call(running, '/chat/1')
        assert response.complete
        wait_for(lambda: closed_at, 'the silent attempt to be closed')
        assert closed_at[0] - taken_at[0] < 0.4


class TestSuspendedHost:
    """A host that stood still past the deadline asks for no more slots."""

    def test_deadline_that_passes_unnoticed_keeps_a_thread(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        running = host_with(cluster, 1)
        cluster.endpoints[0].behaviour = lambda served: time.sleep(5)
        asked: list[object] = []
        client = running.host.mesh.client
        acquire = client.acquire

        def count(ask: object, disconnected: object) -> object:
            asked.append(ask)
            return acquire(ask, disconnected)  # type: ignore[arg-type]

        monkeypatch.setattr(client, 'acquire', count)
        real_now = clock.now
        started = real_now()

        def suspended_now() -> float:
            now = real_now()
            return now + 3 if now > started + 0.5 else now

        monkeypatch.setattr(clock, 'now', suspended_now)
        began = time.monotonic()
        response = cluster.call(running, '/look/1', Deadline_Ms='2000')
        assert response.status == 504
        assert time.monotonic() - began < 2.5
        assert len(asked) < 10


class DeadSocket:
    def makefile(self, mode: str, buffering: int) -> io.BytesIO:
        return io.BytesIO()

    def gettimeout(self) -> float:
        return 1

    def settimeout(self, timeout_s: float) -> None:
        """Take the timeout."""

    def recv_into(self, buffer: object, size: int) -> int:
        raise TimeoutError(errno.ETIMEDOUT, 'timed out')


class TestDeadConnection:
    def test_timeout_of_the_connection_ends_no_body(self) -> None:
        """Its error is a TimeoutError like that of a read."""
        reader = LimitedReader(DeadSocket(), ReceiveLimits())  # type: ignore[arg-type]
        with pytest.raises(TimeoutError):
            reader.read(1)


class TestTcpTimeouts:
    def test_silence_of_a_second_ends_no_connection(self) -> None:
        """While it is set, TCP_USER_TIMEOUT also ends keep-alive probes."""
        with socket.socket() as connected:
            bound_silence(connected)
            timeout_ms = connected.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
        assert timeout_ms > SILENCE_S * 1000
