"""Requests through gateway hosts, with stand-ins of the platform."""

import http.client
import socket
import threading
import time
from collections.abc import Iterator

import pytest
from gatewaycluster import (
    AUTHORITY,
    KEY,
    GatewayCluster,
    RunningHost,
    configuration,
    route,
    wait_for,
)
from platformendpoint import ServedRequest

from trefoilspool.endpointsync import READERS

CONFIG_BOUND_S = 2.0
LEAVING_BOUND_S = 2.0
DISCONNECT_BOUND_S = 0.5
RECOVERY_BOUND_S = 12.0


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


class TestResponses:
    def test_plain_response_is_relayed_unchanged(
        self, cluster: GatewayCluster
    ) -> None:
        endpoint = cluster.add_endpoint()
        response = cluster.call(cluster.add_host(), body=b'hello')
        assert (response.status, response.body) == (200, b'done')
        assert response.headers['server-stamp'] == 'stamp.1'
        request = endpoint.requests[0]
        assert (request.line, request.body) == (
            'POST /look/1 HTTP/1.1',
            b'hello',
        )

    def test_caller_cannot_set_system_headers(
        self, cluster: GatewayCluster
    ) -> None:
        endpoint = cluster.add_endpoint()
        cluster.call(
            cluster.add_host(),
            Tenant='other',
            Hold='x',
            Pin_Ms='9',
            Kv_From='x',
            Kv_Backup='x',
            Kv_Fetch='x',
            Expect_Instance='wrong',
            Model='m',
        )
        headers = endpoint.requests[0].headers
        assert headers['tenant'] == 'acme'
        assert headers['expect-instance'] == endpoint.name
        assert headers['model'] == 'm'
        assert int(headers['deadline-ms']) <= 4000
        hidden = {'hold', 'pin-ms', 'kv-from', 'kv-backup', 'kv-fetch'}
        assert not (hidden | {'authorization'}) & set(headers)

    def test_stream_is_complete_and_in_order(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint().behaviour = ServedRequest.stream
        response = cluster.call(cluster.add_host(), '/chat/1')
        assert response.complete
        assert events(response.body) == [0, 1, 2, 3, 4]

    def test_error_response_of_an_endpoint_is_relayed(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint().behaviour = lambda served: served.respond(
            500, b'no'
        )
        response = cluster.call(cluster.add_host(), '/book/1')
        assert (response.status, response.body) == (500, b'no')
        assert response.headers['server-stamp'] == 'stamp.1'

    def test_encoded_response_is_rejected(
        self, cluster: GatewayCluster
    ) -> None:
        def encoded(served: ServedRequest) -> None:
            served.head(
                200,
                'Server-Stamp: s',
                'Content-Encoding: gzip',
                'Content-Length: 1',
            )
            served.sock.sendall(b'x')

        cluster.add_endpoint().behaviour = encoded
        response = cluster.call(cluster.add_host(), '/book/1')
        assert response.status == 502

    def test_stray_response_is_skipped(self, cluster: GatewayCluster) -> None:
        def with_stray(served: ServedRequest) -> None:
            served.sock.sendall(
                b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\n'
                b'Server-Stamp: x\r\nContent-Length: 5\r\n\r\nwrong'
            )
            served.respond(200, b'right')

        cluster.add_endpoint().behaviour = with_stray
        running = cluster.add_host()
        assert cluster.call(running, '/book/1').body == b'right'

    def test_late_second_response_does_not_affect_later_requests(
        self, cluster: GatewayCluster
    ) -> None:
        def twice(served: ServedRequest) -> None:
            served.respond(200, served.request.request_id.encode())
            served.respond(200, b'again')

        cluster.add_endpoint().behaviour = twice
        running = cluster.add_host()
        bodies = [
            cluster.call(running, '/book/1', Request_Id=f'id{number}').body
            for number in range(3)
        ]
        assert bodies == [b'id0', b'id1', b'id2']

    def test_response_without_a_length_ends_with_its_connection(
        self, cluster: GatewayCluster
    ) -> None:
        def unframed(served: ServedRequest) -> None:
            served.head(200, 'Server-Stamp: s', 'Connection: close')
            served.sock.sendall(b'all of it')
            served.close()

        cluster.add_endpoint().behaviour = unframed
        response = cluster.call(cluster.add_host(), '/book/1')
        assert (response.status, response.body) == (200, b'all of it')

    def test_response_without_a_length_that_is_reset_is_incomplete(
        self, cluster: GatewayCluster
    ) -> None:
        def unframed(served: ServedRequest) -> None:
            served.head(200, 'Server-Stamp: s', 'Connection: close')
            served.sock.sendall(b'a part')
            time.sleep(0.05)
            served.reset()

        cluster.add_endpoint().behaviour = unframed
        response = cluster.call(cluster.add_host(), '/book/1')
        assert response.status == 502

    @pytest.mark.parametrize('early', [False, True])
    def test_endpoint_gets_all_of_a_long_body(
        self, cluster: GatewayCluster, early: bool
    ) -> None:
        endpoint = cluster.add_endpoint()
        endpoint.responds_before_body = early
        running = cluster.add_host()
        body = b'x' * 2_000_000
        for _ in range(2):
            assert cluster.call(running, '/look/1', body=body).status == 200
        wait_for(
            lambda: (
                [request.body for request in endpoint.requests] == [body] * 2
            ),
            'both bodies',
        )


class TestSmuggling:
    """A request hidden in the body of another must not reach an endpoint."""

    @pytest.mark.parametrize(
        'head',
        [
            'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n',
            'Content-Length: 5\r\nContent-Length: 70\r\n',
            'Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n',
            'Transfer-Encoding : chunked\r\nContent-Length: 3\r\n',
            'Content-Length: +5\r\n',
        ],
    )
    def test_hidden_request_does_not_run(
        self, cluster: GatewayCluster, head: str
    ) -> None:
        endpoint = cluster.add_endpoint()
        running = cluster.add_host()
        hidden = (
            f'POST /look/2 HTTP/1.1\r\nHost: {AUTHORITY}\r\n'
            'Request-Id: hidden\r\nContent-Length: 0\r\n'
            f'Authorization: Bearer {KEY}\r\n\r\n'
        )
        with socket.create_connection((running.address, running.port)) as sock:
            sock.sendall(
                f'POST /look/1 HTTP/1.1\r\nHost: {AUTHORITY}\r\n'
                f'Request-Id: outer\r\nAuthorization: Bearer {KEY}\r\n'
                f'{head}\r\n0\r\n\r\n{hidden}'.encode()
            )
            sock.settimeout(5)
            received = b''.join(iter(lambda: sock.recv(4096), b''))
        # The connection is closed, so no later request on it can be misparsed.
        assert received.count(b'HTTP/1.') == 1
        assert 'hidden' not in endpoint.runs


class TestAttempts:
    def test_not_run_response_has_retry_after(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint().behaviour = ServedRequest.refuse
        response = cluster.call(cluster.add_host(), '/book/1')
        assert response.status == 503
        assert 0 < float(response.headers['retry-after']) < 4 / 3

    def test_at_most_once_request_is_never_sent_again(
        self, cluster: GatewayCluster
    ) -> None:
        endpoints = [cluster.add_endpoint(), cluster.add_endpoint()]
        for endpoint in endpoints:
            endpoint.behaviour = ServedRequest.reset
        response = cluster.call(cluster.add_host(), '/book/1')
        assert response.status == 502
        assert sum(len(endpoint.runs) for endpoint in endpoints) == 1

    def test_repeatable_request_is_retried_at_another_endpoint(
        self, cluster: GatewayCluster
    ) -> None:
        bad, good = cluster.add_endpoint(), cluster.add_endpoint()
        bad.behaviour = ServedRequest.reset
        running = cluster.add_host()
        cluster.wait_for_endpoints(running, 2)
        for _ in range(4):
            assert cluster.call(running, '/look/1').status == 200
        assert good.runs

    def test_max_attempts_bounds_the_attempts(
        self, cluster: GatewayCluster
    ) -> None:
        for _ in range(4):
            cluster.add_endpoint().behaviour = ServedRequest.reset
        running = cluster.add_host()
        cluster.wait_for_endpoints(running, 4)
        assert cluster.call(running, '/look/1').status == 502
        assert sum(len(endpoint.runs) for endpoint in cluster.endpoints) == 2

    def test_endpoint_with_another_name_does_not_run_the_request(
        self, cluster: GatewayCluster
    ) -> None:
        endpoint = cluster.add_endpoint()
        endpoint.name = 'i-new'
        response = cluster.call(cluster.add_host(), '/book/1')
        assert response.status == 503
        assert not endpoint.runs

    @pytest.mark.alone
    def test_silent_endpoint_gives_a_timeout_soon_after_the_deadline(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint().behaviour = ServedRequest.client_disconnected
        running = cluster.add_host()
        started = time.monotonic()
        response = cluster.call(running, '/book/1', Deadline_Ms='700')
        assert response.status == 504
        assert time.monotonic() - started < 0.7 + 0.5

    @pytest.mark.alone
    def test_disconnected_caller_frees_its_endpoint(
        self, cluster: GatewayCluster
    ) -> None:
        freed_at: list[float] = []

        def endless(served: ServedRequest) -> None:
            served.start_stream()
            served.event(0)
            if served.client_disconnected():
                freed_at.append(time.monotonic())

        cluster.add_endpoint().behaviour = endless
        running = cluster.add_host()
        with cluster.open_call(running, '/talk/1') as response:
            assert response.status == 200
        closed_at = time.monotonic()
        wait_for(lambda: freed_at, 'the endpoint to be freed')
        assert freed_at[0] - closed_at < DISCONNECT_BOUND_S


class TestStreams:
    def test_cut_stream_is_resumed_at_another_endpoint(
        self, cluster: GatewayCluster
    ) -> None:
        def cut_once(served: ServedRequest) -> None:
            if 'last-event-id' in served.request.headers:
                served.stream()
                return
            served.start_stream()
            served.event(0)
            served.event(1)
            served.chunk(b'id: 2\ndata: tor')
            served.reset()

        for _ in range(2):
            cluster.add_endpoint().behaviour = cut_once
        running = cluster.add_host()
        cluster.wait_for_endpoints(running, 2)
        response = cluster.call(running, '/chat/1')
        assert response.complete
        assert events(response.body) == [0, 1, 2, 3, 4]

    def test_cut_stream_of_an_at_most_once_route_is_incomplete(
        self, cluster: GatewayCluster
    ) -> None:
        def cut(served: ServedRequest) -> None:
            served.start_stream()
            served.event(0)
            served.reset()

        for _ in range(2):
            cluster.add_endpoint().behaviour = cut
        running = cluster.add_host()
        cluster.wait_for_endpoints(running, 2)
        assert not cluster.call(running, '/talk/1').complete
        assert sum(len(endpoint.runs) for endpoint in cluster.endpoints) == 1


class TestConfiguration:
    def test_host_without_configuration_is_not_ready(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.store.topics.clear()
        running = cluster.add_host()
        response = cluster.call(running)
        assert response.status == 503
        assert not running.host.is_ready()

    def test_unknown_route_and_key(self, cluster: GatewayCluster) -> None:
        cluster.add_endpoint()
        running = cluster.add_host()
        assert cluster.call(running, '/none/1').status == 404
        response = cluster.call(running, Authorization='Bearer none')
        assert response.status == 401

    def test_revoked_key_is_refused_on_an_open_connection(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        running = cluster.add_host()
        assert cluster.call(running).status == 200
        cluster.configure(2, tenants=[{'name': 'acme', 'apiKeys': ['new']}])
        changed_at = time.monotonic()
        wait_for(
            lambda: cluster.call(running).status == 401,
            'the key to be refused',
        )
        assert time.monotonic() - changed_at < CONFIG_BOUND_S

    def test_version_never_goes_back(self, cluster: GatewayCluster) -> None:
        cluster.add_endpoint()
        running = cluster.add_host()
        cluster.configure(7, routeTable=[route('new', 'idempotent')])
        wait_for(
            lambda: cluster.call(running, '/new/1').status == 200,
            'version 7',
        )
        offset = cluster.store.put('keyed.op', 'config', configuration(3))
        wait_for(
            lambda: running.host.settings_sync.replica.end > offset,
            'the old version to be read',
        )
        assert cluster.call(running, '/new/1').status == 200
        assert cluster.call(running, '/look/1').status == 404

    def test_invalid_configuration_keeps_the_last_one(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        running = cluster.add_host()
        offset = cluster.store.put('keyed.op', 'config', b'{"version": ')
        wait_for(
            lambda: running.host.settings_sync.replica.end > offset,
            'the record to be read',
        )
        assert cluster.call(running).status == 200

    def test_host_refused_by_the_store_reads_settings_from_a_peer(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        first, second = cluster.add_host(), cluster.add_host()
        wait_for(
            lambda: (
                second.host.mesh.peers.count() == 2
                and first.host.mesh.peers.count() == 2
            ),
            'the hosts to discover each other',
        )
        connection = second.host.settings_sync.store_task.source.connection
        connection.host, connection.port = '127.0.0.1', 1
        connection.close()
        cluster.configure(9, routeTable=[route('new', 'idempotent')])
        changed_at = time.monotonic()
        wait_for(
            lambda: cluster.call(second, '/new/1').status == 200,
            'the new route at the host without the store',
        )
        assert time.monotonic() - changed_at < CONFIG_BOUND_S

    def test_requests_are_served_during_a_store_outage(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        running = cluster.add_host()
        for fault in (503, 429, 'reset'):
            with cluster.store.failing(fault):
                calls = cluster.store.calls
                wait_for(
                    lambda earlier=calls: cluster.store.calls > earlier + 1,
                    'the store to be read',
                )
                assert cluster.call(running).status == 200


class TestDiscovery:
    def test_hosts_discover_each_other_through_the_store(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.seeds = ''
        cluster.add_endpoint()
        hosts = [cluster.add_host() for _ in range(3)]
        wait_for(
            lambda: (
                len({running.host.mesh.peers.home() for running in hosts}) == 1
            ),
            'one home host for all',
        )

    def test_hosts_discover_each_other_through_a_seed(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.store.fault = 503
        hosts = [cluster.add_host() for _ in range(3)]
        wait_for(
            lambda: (
                len({running.host.mesh.peers.home() for running in hosts}) == 1
            ),
            'one home host for all',
        )

    @pytest.mark.alone
    def test_lost_home_delays_a_request_by_less_than_a_tenth_of_a_second(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        hosts = [cluster.add_host() for _ in range(3)]
        wait_for(
            lambda: (
                len({running.host.mesh.peers.home() for running in hosts}) == 1
            ),
            'one home host for all',
        )
        home = hosts[0].host.mesh.peers.home()
        assert home is not None
        lost = next(
            running for running in hosts if running.options.name == home.name
        )
        lost.host.mesh.stopping.set()
        wait_for(
            lambda: lost.host.mesh.socket.fileno() < 0, 'the home host to stop'
        )
        other = next(running for running in hosts if running is not lost)
        started = time.monotonic()
        assert cluster.call(other).status == 200
        assert time.monotonic() - started < 0.1


class TestLeavingEndpoints:
    def test_draining_endpoint_gets_no_new_requests(
        self, cluster: GatewayCluster
    ) -> None:
        leaving, staying = cluster.add_endpoint(), cluster.add_endpoint()
        running = cluster.add_host()
        cluster.wait_for_endpoints(running, 2)
        cluster.register(leaving, state='draining', sequence=2)
        changed_at = time.monotonic()
        cluster.wait_for_endpoints(running, 1)
        assert time.monotonic() - changed_at < LEAVING_BOUND_S
        before = len(leaving.runs)
        for _ in range(5):
            assert cluster.call(running).status == 200
        assert len(leaving.runs) == before
        assert len(staying.runs) >= 5

    def test_deleted_record_removes_the_endpoint(
        self, cluster: GatewayCluster
    ) -> None:
        leaving = cluster.add_endpoint()
        cluster.add_endpoint()
        running = cluster.add_host()
        cluster.wait_for_endpoints(running, 2)
        cluster.store.put('keyed.servers', leaving.name, b'')
        cluster.wait_for_endpoints(running, 1)


class TestLeavingHost:
    def test_request_in_progress_is_finished(
        self, cluster: GatewayCluster
    ) -> None:
        resumed = threading.Event()

        def waiting(served: ServedRequest) -> None:
            resumed.wait(5)
            served.stream()

        cluster.add_endpoint().behaviour = waiting
        running = cluster.add_host()
        responses = []
        caller = threading.Thread(
            target=lambda: responses.append(cluster.call(running, '/talk/1')),
        )
        caller.start()
        wait_for(lambda: running.host.gateway.open_count, 'the request')
        drain = threading.Thread(
            target=running.host.drain, args=(running.server,)
        )
        drain.start()
        wait_for(lambda: not running.host.is_ready(), 'the host to be unready')
        resumed.set()
        caller.join()
        assert responses[0].complete
        assert events(responses[0].body) == [0, 1, 2, 3, 4]
        drain.join()

    def test_idle_connections_are_closed(self, cluster: GatewayCluster) -> None:
        cluster.add_endpoint()
        running = cluster.add_host()
        with cluster.open_call(running, '/look/1') as response:
            response.read()
            wait_for(
                lambda: len(list(running.server.channels())) == 1,
                'a persistent connection',
            )
            closed = wait_for(
                running.server.close_idle, 'the connection to be idle'
            )
            assert closed == 1
            wait_for(
                lambda: not list(running.server.channels()),
                'the connection to be closed',
            )

    def test_request_after_the_drain_is_rejected(
        self, cluster: GatewayCluster
    ) -> None:
        endpoint = cluster.add_endpoint()
        running = cluster.add_host()
        running.host.gateway.draining = True
        running.host.gateway.closed = True
        response = cluster.call(running, '/book/1')
        assert response.status == 503
        assert response.headers['connection'] == 'close'
        assert not endpoint.runs


class TestReaders:
    """A few hosts read the endpoint records from the store for all."""

    def cluster_of(self, cluster: GatewayCluster) -> list[RunningHost]:
        cluster.add_endpoint()
        cluster.add_endpoint()
        hosts = [cluster.add_host() for _ in range(5)]
        for running in hosts:
            wait_for(
                lambda peers=running.host.mesh.peers: (
                    sum(map(peers.is_responsive, peers.hosts)) == len(hosts)
                ),
                'heartbeats between all hosts',
            )
        return hosts

    def readers(self, hosts: list[RunningHost]) -> list[RunningHost]:
        return [
            running
            for running in hosts
            if running.host.mesh.peers.is_preferred_home(READERS)
        ]

    def test_other_hosts_drop_a_leaving_endpoint_in_time(
        self, cluster: GatewayCluster
    ) -> None:
        hosts = self.cluster_of(cluster)
        assert len(self.readers(hosts)) == READERS
        wait_for(
            lambda: (
                not any(
                    other.host.endpoint_sync.should_read()
                    for other in hosts
                    if other not in self.readers(hosts)
                )
            ),
            'hosts that do not read the store',
        )
        changed_at = time.monotonic()
        cluster.register(cluster.endpoints[0], state='draining')
        for running in hosts:
            wait_for(
                lambda waiting=running: (
                    waiting.host.directory.get('i-1') is None
                ),
                'the endpoint to be dropped',
            )
        assert time.monotonic() - changed_at < LEAVING_BOUND_S

    def test_host_reads_the_store_when_all_readers_stop(
        self, cluster: GatewayCluster
    ) -> None:
        hosts = self.cluster_of(cluster)
        readers = self.readers(hosts)
        for running in readers:
            running.host.stopping.set()
        other = next(
            candidate for candidate in hosts if candidate not in readers
        )
        wait_for(
            other.host.endpoint_sync.should_read,
            'a host that reads the store itself',
        )
        cluster.register(cluster.endpoints[0], state='draining')
        wait_for(
            lambda: other.host.directory.get('i-1') is None,
            'the endpoint to be dropped',
        )

    def test_outage_ends_when_other_hosts_read_the_store(
        self, cluster: GatewayCluster
    ) -> None:
        """Guards against a deleted endpoint being kept.

        While a host believes that the store is down, it delays removals, and a
        host that does not read the store would never see the outage end.
        """
        hosts = self.cluster_of(cluster)
        readers = self.readers(hosts)
        other = next(
            candidate for candidate in hosts if candidate not in readers
        )
        other.host.endpoint_sync.store_task.outage_began_at = time.monotonic()
        wait_for(
            lambda: other.host.endpoint_sync.store_task.outage_began_at is None,
            'the end of the outage',
        )


class TestRecovery:
    def test_host_that_starts_without_the_store_reads_from_peers(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        first = cluster.add_host()
        store = cluster.store.address
        cluster.store.address = '127.0.0.1:1'
        second = cluster.add_host()
        cluster.store.address = store
        assert first.host.is_ready()
        assert cluster.call(second).status == 200

    def test_all_hosts_killed_serve_again(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        for _ in range(3):
            cluster.add_host()
        for running in cluster.hosts:
            running.stop()
            wait_for(running.is_stopped, 'the host to stop')
        cluster.hosts.clear()
        started = time.monotonic()
        again = [cluster.add_host() for _ in range(3)]
        assert all(cluster.call(restarted).status == 200 for restarted in again)
        assert time.monotonic() - started < RECOVERY_BOUND_S


class TestSilentEndpoints:
    def max_failure_share(self, cluster: GatewayCluster) -> float:
        """Return the largest failure share that the slot scheduler has."""
        scheduler = cluster.hosts[0].host.mesh.scheduler
        return max(
            endpoint.reliability.last_share
            for endpoint in scheduler.available_endpoints.values()
        )

    def test_silence_until_the_deadline_counts_as_a_failure(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint().behaviour = ServedRequest.client_disconnected
        running = cluster.add_host()
        response = cluster.call(running, '/book/1', Deadline_Ms='1500')
        assert response.status == 504
        wait_for(
            lambda: self.max_failure_share(cluster) > 0,
            'a failure at the slot scheduler',
        )

    def test_early_disconnect_does_not_count_as_a_failure(
        self, cluster: GatewayCluster
    ) -> None:
        endpoint = cluster.add_endpoint()
        endpoint.behaviour = ServedRequest.client_disconnected
        running = cluster.add_host()
        connection = http.client.HTTPConnection(running.address, running.port)
        connection.request(
            'POST',
            '/book/1',
            headers={
                'Host': AUTHORITY,
                'Request-Id': 'q',
                'Deadline-Ms': '4000',
                'Authorization': f'Bearer {KEY}',
            },
        )
        wait_for(lambda: endpoint.requests, 'a request')
        connection.close()
        scheduler = running.host.mesh.scheduler
        wait_for(lambda: not scheduler.reservations, 'the slot to be released')
        assert self.max_failure_share(cluster) == 0
