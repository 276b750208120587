"""Callers get the truth: whole responses, their own, and what became of them."""

import json
import socket
import threading
import time
from collections.abc import Iterator
from types import SimpleNamespace

import pytest
from gatewaycluster import GatewayCluster, RunningHost, wait_for
from platformendpoint import ServedRequest

from trefoilspool import clock
from trefoilspool.connections import ConnectionPool
from trefoilspool.endpointresponse import EndpointResponse
from trefoilspool.responsebounds import ReceiveLimits
from trefoilspool.slotacquisition import SlotAcquirer
from trefoilspool.slotmessages import Granted, RefusalReason, Refused

SLOW_GAP_S = 0.5
LONG_GAP_S = 1.2
DRIP_S = 0.2


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    yield made
    made.close()


def events(body: bytes) -> list[int]:
    return [
        int(event.split(b'\n')[0].removeprefix(b'id: '))
        for event in body.split(b'\n\n')
        if event
    ]


def hosts_with(cluster: GatewayCluster, endpoints: int) -> RunningHost:
    for _ in range(endpoints):
        cluster.add_endpoint()
    running = cluster.add_host()
    cluster.wait_for_endpoints(running, endpoints)
    return running


def released_numbers(running: RunningHost) -> list[int]:
    """Return the list to which the numbers of released slots are added."""
    released: list[int] = []
    client = running.host.mesh.client
    release = client.release

    def record(message: object) -> None:
        released.append(message.key.number)  # type: ignore[attr-defined]
        release(message)  # type: ignore[arg-type]

    client.release = record  # type: ignore[method-assign]
    return released


class TestResumption:
    @pytest.mark.parametrize('status', [500, 404])
    def test_error_body_does_not_follow_the_events(
        self, cluster: GatewayCluster, status: int
    ) -> None:
        def cut(served: ServedRequest) -> None:
            if 'last-event-id' in served.request.headers:
                served.respond(status, b'id: 9\ndata: error\n\n')
                return
            served.start_stream()
            served.event(0)
            served.reset()

        running = hosts_with(cluster, 2)
        for endpoint in cluster.endpoints:
            endpoint.behaviour = cut
        released = released_numbers(running)
        response = cluster.call(running, '/chat/1')
        assert events(response.body) == [0]
        assert not response.complete
        wait_for(lambda: len(released) == 2, 'both slots to be released')
        assert len(set(released)) == 2

    def test_momentary_refusal_of_a_slot_does_not_end_a_begun_stream(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def cut(served: ServedRequest) -> None:
            if 'last-event-id' in served.request.headers:
                served.stream()
                return
            served.start_stream()
            served.event(0)
            served.reset()

        running = hosts_with(cluster, 2)
        for endpoint in cluster.endpoints:
            endpoint.behaviour = cut
        client = running.host.mesh.client
        acquire = client.acquire
        retries = iter((False, False, True))

        def refuse_retries(ask: object, disconnected: object) -> object:
            if ask.attempt > 1 and not next(retries):  # type: ignore[attr-defined]
                return Refused(ask.key, RefusalReason.crowded, 0.3)  # type: ignore[attr-defined]
            return acquire(ask, disconnected)  # type: ignore[arg-type]

        monkeypatch.setattr(client, 'acquire', refuse_retries)
        response = cluster.call(running, '/chat/1')
        assert response.complete
        assert events(response.body) == [0, 1, 2, 3, 4]


class TestOwnErrors:
    def test_error_of_an_endpoint_is_kept_if_no_retry_is_possible(
        self, cluster: GatewayCluster
    ) -> None:
        running = hosts_with(cluster, 1)
        cluster.endpoints[0].behaviour = lambda served: served.respond(
            500, b'own words'
        )
        response = cluster.call(running, '/look/1')
        assert (response.status, response.body) == (500, b'own words')
        assert response.headers['server-stamp'] == 'stamp.1'


class TestUnknownOutcome:
    def test_answer_tells_which_attempt_may_have_run(
        self, cluster: GatewayCluster
    ) -> None:
        """The last attempt was refused, an earlier one broke off."""
        running = hosts_with(cluster, 2)
        behaviours = iter((ServedRequest.reset, ServedRequest.refuse))
        for endpoint in cluster.endpoints:
            endpoint.behaviour = lambda served: next(behaviours)(served)
        response = cluster.call(running, '/look/1')
        first = next(
            endpoint.name
            for endpoint in cluster.endpoints
            if endpoint.name in str(response.body)
        )
        detail = json.loads(response.body)['detail']
        assert response.status == 502
        assert detail.startswith(f'no response from {first}')
        assert 'not run' in detail


class TestStrayResponses:
    def test_third_response_is_not_taken_unchecked(
        self, cluster: GatewayCluster
    ) -> None:
        stray = (
            b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\n'
            b'Server-Stamp: x\r\nContent-Length: 5\r\n\r\nwrong'
        )

        def strays(served: ServedRequest) -> None:
            served.sock.sendall(stray * 3)

        running = hosts_with(cluster, 1)
        cluster.endpoints[0].behaviour = strays
        assert cluster.call(running, '/book/1').status == 502

    def test_late_copy_without_id_goes_to_no_other_caller(
        self, cluster: GatewayCluster
    ) -> None:
        """The copy arrives once the connection is in use again."""
        first_body = b'for the first caller'

        def copies(served: ServedRequest) -> None:
            if served.request.request_id == 'first':
                served.respond(200, first_body)
                return
            served.sock.sendall(
                b'HTTP/1.1 200 OK\r\nServer-Stamp: x\r\n'
                b'Content-Length: %d\r\n\r\n%s' % (len(first_body), first_body)
            )
            served.respond(200, b'own')

        running = hosts_with(cluster, 1)
        cluster.endpoints[0].behaviour = copies
        cluster.call(running, '/look/1', Request_Id='first')
        second = cluster.call(running, '/look/1', Request_Id='second')
        assert second.body != first_body

    def test_early_copy_goes_to_no_other_caller(
        self, cluster: GatewayCluster
    ) -> None:
        """The copy arrives together with the response itself."""

        def doubled(served: ServedRequest) -> None:
            body = served.request.request_id.encode()
            answer = (
                b'HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nRequest-Id: %s\r\n'
                b'Content-Length: %d\r\n\r\n%s' % (body, len(body), body)
            )
            served.sock.sendall(answer * 2)

        running = hosts_with(cluster, 1)
        cluster.endpoints[0].behaviour = doubled
        for number in range(4):
            name = f'id{number}'
            response = cluster.call(running, '/look/1', Request_Id=name)
            assert response.body == name.encode()


class ResetReader:
    """A reader whose connection was reset after the body."""

    def peek(self, size: int) -> bytes:
        raise ConnectionResetError


class TestResetAfterTheResponse:
    def test_body_counts_and_the_connection_is_closed(self) -> None:
        tcp_socket = socket.socket()
        http_response = SimpleNamespace(fp=ResetReader())
        response = EndpointResponse(
            ConnectionPool(),
            SimpleNamespace(  # type: ignore[arg-type]
                tcp_socket=tcp_socket, limits=ReceiveLimits()
            ),
            http_response,  # type: ignore[arg-type]
            SimpleNamespace(),  # type: ignore[arg-type]
            0,
        )
        assert response.has_extra_bytes()
        tcp_socket.close()


class TestPace:
    def test_slow_stream_that_keeps_its_pace_is_not_cut(
        self, cluster: GatewayCluster
    ) -> None:
        def slow(served: ServedRequest) -> None:
            served.start_stream()
            for number, gap_s in enumerate((0, SLOW_GAP_S, LONG_GAP_S)):
                time.sleep(gap_s)
                served.event(number)
            served.end_stream()

        running = hosts_with(cluster, 2)
        for endpoint in cluster.endpoints:
            endpoint.behaviour = slow
        response = cluster.call(running, '/chat/1')
        assert response.complete
        assert sum(len(endpoint.runs) for endpoint in cluster.endpoints) == 1

    @pytest.mark.parametrize('whole_events', [0, 1])
    def test_stream_that_only_drips_is_resumed_elsewhere(
        self, cluster: GatewayCluster, whole_events: int
    ) -> None:
        ended = threading.Event()

        def drip(served: ServedRequest) -> None:
            served.start_stream()
            for number in range(whole_events):
                served.event(number)
            while not ended.wait(DRIP_S):
                served.chunk(b'x')

        running = hosts_with(cluster, 2)
        served_by = iter((drip, ServedRequest.stream))
        for endpoint in cluster.endpoints:
            endpoint.behaviour = lambda served: next(served_by)(served)
        started = time.monotonic()
        response = cluster.call(running, '/chat/1')
        ended.set()
        assert events(response.body) == [0, 1, 2, 3, 4]
        assert time.monotonic() - started < 3


class TestPlannedStop:
    def test_drain_waits_for_requests_that_no_thread_has_taken_yet(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        running = hosts_with(cluster, 1)
        pool = running.server.worker_pool
        delayed = threading.Event()
        was_read = threading.Event()
        add_task = pool.add_task

        def add_later(task: object) -> None:
            was_read.set()
            threading.Thread(
                target=lambda: (delayed.wait(6), add_task(task)), daemon=True
            ).start()

        monkeypatch.setattr(pool, 'add_task', add_later)
        responses = []
        caller = threading.Thread(
            target=lambda: responses.append(cluster.call(running, '/book/1')),
        )
        caller.start()
        # A connection of which nothing was read may be closed.
        assert was_read.wait(5)
        drain = threading.Thread(
            target=running.host.drain, args=(running.server,)
        )
        drain.start()
        drain.join(4)
        assert drain.is_alive()
        delayed.set()
        caller.join()
        assert responses[0].complete
        drain.join(2)
        assert not drain.is_alive()


class TestSuspension:
    def test_slot_that_was_granted_long_ago_is_not_used(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        running = hosts_with(cluster, 1)
        attempts: list[float] = []

        def suspended(*arguments: object) -> object:
            slot = acquire(*arguments)
            if not attempts:
                slot = slot._replace(granted_at=slot.granted_at - 5)
            attempts.append(slot.granted_at)
            return slot

        acquire = SlotAcquirer.acquire
        monkeypatch.setattr(SlotAcquirer, 'acquire', suspended)
        assert cluster.call(running, '/book/1').status == 503
        assert not cluster.endpoints[0].runs

    def test_time_of_a_suspension_counts_against_the_deadline(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        running = hosts_with(cluster, 1)
        suspended_s = 0.0
        real_now = clock.now

        def acquire_and_suspend(*arguments: object) -> object:
            nonlocal suspended_s
            slot = acquire(*arguments)
            suspended_s += 60
            return slot

        monkeypatch.setattr(clock, 'now', lambda: real_now() + suspended_s)
        acquire = SlotAcquirer.acquire
        monkeypatch.setattr(SlotAcquirer, 'acquire', acquire_and_suspend)
        assert cluster.call(running, '/book/1').status == 503
        assert not cluster.endpoints[0].runs


class TestTwoHomes:
    def test_grants_of_two_homes_send_one_request(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """While homes change, both may grant a slot to the same request."""
        running = hosts_with(cluster, 2)
        client = running.host.mesh.client
        on_decision = client.on_decision

        def twice(address: str, decision: object) -> None:
            on_decision(address, decision)  # type: ignore[arg-type]
            if isinstance(decision, Granted):
                other = next(
                    name
                    for name in running.host.directory.names('engines')
                    if name != decision.endpoint
                )
                on_decision(address, decision._replace(endpoint=other))

        monkeypatch.setattr(client, 'on_decision', twice)
        for _ in range(5):
            assert cluster.call(running, '/book/1').status == 200
        assert sum(len(each.runs) for each in cluster.endpoints) == 5
