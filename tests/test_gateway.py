"""Whole requests through a gateway host, before stand-ins."""

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
from platformendpoint import Conversation

from trefoilspool.gatewayhost import ENDPOINTS_READERS

CONFIG_BOUND_S = 2.0
LEAVING_BOUND_S = 2.0
GONE_BOUND_S = 0.5
RECOVER_BOUND_S = 12.0


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


class TestAnswers:
    def test_plain_answer_is_the_endpoints(
        self, cluster: GatewayCluster
    ) -> None:
        endpoint = cluster.add_endpoint()
        reply = cluster.call(cluster.add_host(), body=b'hello')
        assert (reply.status, reply.body) == (200, b'done')
        assert reply.headers['server-stamp'] == 'stamp.1'
        seen = endpoint.seen[0]
        assert (seen.line, seen.body) == ('POST /look/1 HTTP/1.1', b'hello')

    def test_headers_of_the_system_are_its_own(
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
        headers = endpoint.seen[0].headers
        assert headers['tenant'] == 'acme'
        assert headers['expect-instance'] == endpoint.name
        assert headers['model'] == 'm'
        assert int(headers['deadline-ms']) <= 4000
        hidden = {'hold', 'pin-ms', 'kv-from', 'kv-backup', 'kv-fetch'}
        assert not (hidden | {'authorization'}) & set(headers)

    def test_stream_is_whole_and_in_order(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint().behaviour = Conversation.stream
        reply = cluster.call(cluster.add_host(), '/chat/1')
        assert reply.whole
        assert events(reply.body) == [0, 1, 2, 3, 4]

    def test_own_failure_of_an_endpoint_is_passed_on(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint().behaviour = lambda one: one.whole(500, b'no')
        reply = cluster.call(cluster.add_host(), '/book/1')
        assert (reply.status, reply.body) == (500, b'no')
        assert reply.headers['server-stamp'] == 'stamp.1'

    def test_encoded_answer_is_not_the_endpoints(
        self, cluster: GatewayCluster
    ) -> None:
        def encoded(one: Conversation) -> None:
            one.head(
                200,
                'Server-Stamp: s',
                'Content-Encoding: gzip',
                'Content-Length: 1',
            )
            one.sock.sendall(b'x')

        cluster.add_endpoint().behaviour = encoded
        reply = cluster.call(cluster.add_host(), '/book/1')
        assert reply.status == 502

    def test_stray_answer_belongs_to_nobody(
        self, cluster: GatewayCluster
    ) -> None:
        def with_stray(one: Conversation) -> None:
            one.sock.sendall(
                b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\n'
                b'Server-Stamp: x\r\nContent-Length: 5\r\n\r\nwrong'
            )
            one.whole(200, b'right')

        cluster.add_endpoint().behaviour = with_stray
        running = cluster.add_host()
        assert cluster.call(running, '/book/1').body == b'right'

    def test_late_second_answer_spoils_no_later_one(
        self, cluster: GatewayCluster
    ) -> None:
        def twice(one: Conversation) -> None:
            one.whole(200, one.seen.request_id.encode())
            one.whole(200, b'again')

        cluster.add_endpoint().behaviour = twice
        running = cluster.add_host()
        bodies = [
            cluster.call(running, '/book/1', Request_Id=f'id{one}').body
            for one in range(3)
        ]
        assert bodies == [b'id0', b'id1', b'id2']

    def test_answer_without_a_length_ends_with_its_connection(
        self, cluster: GatewayCluster
    ) -> None:
        def unframed(one: Conversation) -> None:
            one.head(200, 'Server-Stamp: s', 'Connection: close')
            one.sock.sendall(b'all of it')
            one.close()

        cluster.add_endpoint().behaviour = unframed
        reply = cluster.call(cluster.add_host(), '/book/1')
        assert (reply.status, reply.body) == (200, b'all of it')

    def test_answer_without_a_length_that_is_reset_is_not_whole(
        self, cluster: GatewayCluster
    ) -> None:
        def unframed(one: Conversation) -> None:
            one.head(200, 'Server-Stamp: s', 'Connection: close')
            one.sock.sendall(b'a part')
            time.sleep(0.05)
            one.reset()

        cluster.add_endpoint().behaviour = unframed
        reply = cluster.call(cluster.add_host(), '/book/1')
        assert reply.status == 502

    @pytest.mark.parametrize('early', [False, True])
    def test_endpoint_gets_all_of_a_long_body(
        self, cluster: GatewayCluster, early: bool
    ) -> None:
        endpoint = cluster.add_endpoint()
        endpoint.answers_early = early
        running = cluster.add_host()
        body = b'x' * 2_000_000
        for _ in range(2):
            assert cluster.call(running, '/look/1', body=body).status == 200
        wait_for(
            lambda: [one.body for one in endpoint.seen] == [body] * 2,
            'both bodies',
        )


class TestSmuggling:
    """A request inside another one must reach no endpoint."""

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
            answers = b''.join(iter(lambda: sock.recv(4096), b''))
        # The connection ends, so that no later request can be misread.
        assert answers.count(b'HTTP/1.') == 1
        assert 'hidden' not in endpoint.runs


class TestTruth:
    def test_not_run_says_when_to_come_back(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint().behaviour = Conversation.refuse
        reply = cluster.call(cluster.add_host(), '/book/1')
        assert reply.status == 503
        assert 0 < float(reply.headers['retry-after']) < 4 / 3

    def test_once_only_work_is_never_sent_again(
        self, cluster: GatewayCluster
    ) -> None:
        endpoints = [cluster.add_endpoint(), cluster.add_endpoint()]
        for endpoint in endpoints:
            endpoint.behaviour = Conversation.reset
        reply = cluster.call(cluster.add_host(), '/book/1')
        assert reply.status == 502
        assert sum(len(endpoint.runs) for endpoint in endpoints) == 1

    def test_repeatable_work_goes_to_another_endpoint(
        self, cluster: GatewayCluster
    ) -> None:
        bad, good = cluster.add_endpoint(), cluster.add_endpoint()
        bad.behaviour = Conversation.reset
        running = cluster.add_host()
        cluster.knows_endpoints(running, 2)
        for _ in range(4):
            assert cluster.call(running, '/look/1').status == 200
        assert good.runs

    def test_most_attempts_bound_the_endpoints(
        self, cluster: GatewayCluster
    ) -> None:
        for _ in range(4):
            cluster.add_endpoint().behaviour = Conversation.reset
        running = cluster.add_host()
        cluster.knows_endpoints(running, 4)
        assert cluster.call(running, '/look/1').status == 502
        assert sum(len(one.runs) for one in cluster.endpoints) == 2

    def test_another_endpoint_at_the_address_runs_nothing(
        self, cluster: GatewayCluster
    ) -> None:
        endpoint = cluster.add_endpoint()
        endpoint.name = 'i-new'
        reply = cluster.call(cluster.add_host(), '/book/1')
        assert reply.status == 503
        assert not endpoint.runs

    @pytest.mark.alone
    def test_answer_in_time_or_a_timeout(self, cluster: GatewayCluster) -> None:
        cluster.add_endpoint().behaviour = Conversation.caller_left
        running = cluster.add_host()
        started = time.monotonic()
        reply = cluster.call(running, '/book/1', Deadline_Ms='700')
        assert reply.status == 504
        assert time.monotonic() - started < 0.7 + 0.5

    @pytest.mark.alone
    def test_caller_that_left_frees_its_endpoint(
        self, cluster: GatewayCluster
    ) -> None:
        left: list[float] = []

        def endless(one: Conversation) -> None:
            one.start_stream()
            one.event(0)
            if one.caller_left():
                left.append(time.monotonic())

        cluster.add_endpoint().behaviour = endless
        running = cluster.add_host()
        with cluster.calling(running, '/talk/1') as response:
            assert response.status == 200
        closed = time.monotonic()
        wait_for(lambda: left, 'the endpoint to be freed')
        assert left[0] - closed < GONE_BOUND_S


class TestStreams:
    def test_cut_stream_goes_on_elsewhere(
        self, cluster: GatewayCluster
    ) -> None:
        def cut_once(one: Conversation) -> None:
            if 'last-event-id' in one.seen.headers:
                one.stream()
                return
            one.start_stream()
            one.event(0)
            one.event(1)
            one.chunk(b'id: 2\ndata: tor')
            one.reset()

        for _ in range(2):
            cluster.add_endpoint().behaviour = cut_once
        running = cluster.add_host()
        cluster.knows_endpoints(running, 2)
        reply = cluster.call(running, '/chat/1')
        assert reply.whole
        assert events(reply.body) == [0, 1, 2, 3, 4]

    def test_cut_stream_that_may_not_go_on_is_not_whole(
        self, cluster: GatewayCluster
    ) -> None:
        def cut(one: Conversation) -> None:
            one.start_stream()
            one.event(0)
            one.reset()

        for _ in range(2):
            cluster.add_endpoint().behaviour = cut
        running = cluster.add_host()
        cluster.knows_endpoints(running, 2)
        assert not cluster.call(running, '/talk/1').whole
        assert sum(len(one.runs) for one in cluster.endpoints) == 1


class TestConfiguration:
    def test_host_without_configuration_promises_nothing_ran(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.store.topics.clear()
        running = cluster.add_host()
        reply = cluster.call(running)
        assert reply.status == 503
        assert not running.host.is_ready()

    def test_unknown_route_and_key(self, cluster: GatewayCluster) -> None:
        cluster.add_endpoint()
        running = cluster.add_host()
        assert cluster.call(running, '/none/1').status == 404
        reply = cluster.call(running, Authorization='Bearer none')
        assert reply.status == 401

    def test_revoked_key_is_refused_on_an_open_connection(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        running = cluster.add_host()
        assert cluster.call(running).status == 200
        cluster.configure(2, tenants=[{'name': 'acme', 'apiKeys': ['new']}])
        changed = time.monotonic()
        wait_for(
            lambda: cluster.call(running).status == 401,
            'the key to be refused',
        )
        assert time.monotonic() - changed < CONFIG_BOUND_S

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
            lambda: running.host.settings.end > offset,
            'the old version to be read',
        )
        assert cluster.call(running, '/new/1').status == 200
        assert cluster.call(running, '/look/1').status == 404

    def test_unreadable_configuration_leaves_the_last_one(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        running = cluster.add_host()
        offset = cluster.store.put('keyed.op', 'config', b'{"version": ')
        wait_for(
            lambda: running.host.settings.end > offset,
            'the record to be read',
        )
        assert cluster.call(running).status == 200

    def test_hosts_turned_away_by_the_store_learn_from_peers(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        first, second = cluster.add_host(), cluster.add_host()
        wait_for(
            lambda: (
                second.host.mesh.peers.count() == 2
                and first.host.mesh.peers.count() == 2
            ),
            'the hosts to know each other',
        )
        second.host.settings_task.source.link.host = '127.0.0.1'
        second.host.settings_task.source.link.port = 1
        second.host.settings_task.source.link.close()
        cluster.configure(9, routeTable=[route('new', 'idempotent')])
        changed = time.monotonic()
        wait_for(
            lambda: cluster.call(second, '/new/1').status == 200,
            'the new route at the host without the store',
        )
        assert time.monotonic() - changed < CONFIG_BOUND_S

    def test_requests_go_on_while_the_store_is_away(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        running = cluster.add_host()
        for fault in (503, 429, 'reset'):
            with cluster.store.failing(fault):
                calls = cluster.store.calls
                wait_for(
                    lambda seen=calls: cluster.store.calls > seen + 1,
                    'the store to be asked',
                )
                assert cluster.call(running).status == 200


class TestIntroductions:
    def test_hosts_meet_through_the_store_without_seeds(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.seeds = ''
        cluster.add_endpoint()
        hosts = [cluster.add_host() for _ in range(3)]
        wait_for(
            lambda: len({one.host.mesh.peers.home() for one in hosts}) == 1,
            'one home of all hosts',
        )

    def test_hosts_meet_through_a_seed_without_the_store(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.store.fault = 503
        hosts = [cluster.add_host() for _ in range(3)]
        wait_for(
            lambda: len({one.host.mesh.peers.home() for one in hosts}) == 1,
            'one home of all hosts',
        )

    @pytest.mark.alone
    def test_lost_home_delays_a_request_by_less_than_a_tenth_of_a_second(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        hosts = [cluster.add_host() for _ in range(3)]
        wait_for(
            lambda: len({one.host.mesh.peers.home() for one in hosts}) == 1,
            'one home of all hosts',
        )
        home = hosts[0].host.mesh.peers.home()
        assert home is not None
        lost = next(one for one in hosts if one.options.name == home.name)
        lost.host.mesh.stopping.set()
        wait_for(
            lambda: lost.host.mesh.socket.fileno() < 0, 'the home to be lost'
        )
        other = next(one for one in hosts if one is not lost)
        started = time.monotonic()
        assert cluster.call(other).status == 200
        assert time.monotonic() - started < 0.1


class TestLeavingEndpoints:
    def test_draining_endpoint_gets_no_new_work(
        self, cluster: GatewayCluster
    ) -> None:
        leaving, staying = cluster.add_endpoint(), cluster.add_endpoint()
        running = cluster.add_host()
        cluster.knows_endpoints(running, 2)
        cluster.register(leaving, state='draining', sequence=2)
        changed = time.monotonic()
        cluster.knows_endpoints(running, 1)
        assert time.monotonic() - changed < LEAVING_BOUND_S
        before = len(leaving.runs)
        for _ in range(5):
            assert cluster.call(running).status == 200
        assert len(leaving.runs) == before
        assert len(staying.runs) >= 5

    def test_removed_record_ends_an_endpoint(
        self, cluster: GatewayCluster
    ) -> None:
        leaving = cluster.add_endpoint()
        cluster.add_endpoint()
        running = cluster.add_host()
        cluster.knows_endpoints(running, 2)
        cluster.store.put('keyed.servers', leaving.name, b'')
        cluster.knows_endpoints(running, 1)


class TestLeavingHost:
    def test_request_in_progress_is_finished(
        self, cluster: GatewayCluster
    ) -> None:
        go_on = threading.Event()

        def waiting(one: Conversation) -> None:
            go_on.wait(5)
            one.stream()

        cluster.add_endpoint().behaviour = waiting
        running = cluster.add_host()
        replies = []
        caller = threading.Thread(
            target=lambda: replies.append(cluster.call(running, '/talk/1')),
        )
        caller.start()
        wait_for(lambda: running.host.gateway.open, 'the request')
        drain = threading.Thread(
            target=running.host.drain, args=(running.listening,)
        )
        drain.start()
        wait_for(lambda: not running.host.is_ready(), 'the host to leave')
        go_on.set()
        caller.join()
        assert replies[0].whole
        assert events(replies[0].body) == [0, 1, 2, 3, 4]
        drain.join()

    def test_idle_connections_are_closed(self, cluster: GatewayCluster) -> None:
        cluster.add_endpoint()
        running = cluster.add_host()
        with cluster.calling(running, '/look/1') as response:
            response.read()
            wait_for(
                lambda: len(list(running.listening.channels())) == 1,
                'a kept connection',
            )
            closed = wait_for(running.listening.close_idle, 'it to be idle')
            assert closed == 1
            wait_for(
                lambda: not list(running.listening.channels()),
                'the connection to be closed',
            )

    def test_late_request_is_refused_as_not_run(
        self, cluster: GatewayCluster
    ) -> None:
        endpoint = cluster.add_endpoint()
        running = cluster.add_host()
        running.host.gateway.draining = True
        running.host.gateway.closed = True
        reply = cluster.call(running, '/book/1')
        assert reply.status == 503
        assert reply.headers['connection'] == 'close'
        assert not endpoint.runs


class TestReaders:
    """A few hosts read the endpoints from the store for all."""

    def cluster_of(self, cluster: GatewayCluster) -> list[RunningHost]:
        cluster.add_endpoint()
        cluster.add_endpoint()
        hosts = [cluster.add_host() for _ in range(5)]
        for running in hosts:
            wait_for(
                lambda peers=running.host.mesh.peers: (
                    sum(map(peers.answers, peers.hosts)) == len(hosts)
                ),
                'all hosts to hear each other',
            )
        return hosts

    def readers(self, hosts: list[RunningHost]) -> list[RunningHost]:
        return [
            running
            for running in hosts
            if running.host.mesh.peers.is_among_first(ENDPOINTS_READERS)
        ]

    def test_others_learn_of_a_leaving_endpoint_in_time(
        self, cluster: GatewayCluster
    ) -> None:
        hosts = self.cluster_of(cluster)
        assert len(self.readers(hosts)) == ENDPOINTS_READERS
        wait_for(
            lambda: (
                not any(
                    one.host.endpoints_due()
                    for one in hosts
                    if one not in self.readers(hosts)
                )
            ),
            'hosts that do not read',
        )
        changed = time.monotonic()
        cluster.register(cluster.endpoints[0], state='draining')
        for running in hosts:
            wait_for(
                lambda one=running: one.host.directory.get('i-1') is None,
                'the host to know',
            )
        assert time.monotonic() - changed < LEAVING_BOUND_S

    def test_host_that_hears_no_reader_reads_for_itself(
        self, cluster: GatewayCluster
    ) -> None:
        hosts = self.cluster_of(cluster)
        readers = self.readers(hosts)
        for running in readers:
            running.host.stopping.set()
        other = next(one for one in hosts if one not in readers)
        wait_for(other.host.endpoints_due, 'a host that reads for itself')
        cluster.register(cluster.endpoints[0], state='draining')
        wait_for(
            lambda: other.host.directory.get('i-1') is None,
            'the host to know',
        )

    def test_outage_that_a_host_saw_ends_when_others_read(
        self, cluster: GatewayCluster
    ) -> None:
        """Else a dropped endpoint would be taken for one that lapsed."""
        hosts = self.cluster_of(cluster)
        readers = self.readers(hosts)
        other = next(one for one in hosts if one not in readers)
        other.host.endpoints_task.lost_at = time.monotonic()
        wait_for(
            lambda: other.host.endpoints_task.lost_at is None,
            'the end of the outage',
        )


class TestRecovery:
    def test_host_that_starts_without_the_store_learns_from_peers(
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
            wait_for(running.is_gone, 'the host to be gone')
        cluster.hosts.clear()
        started = time.monotonic()
        again = [cluster.add_host() for _ in range(3)]
        assert all(cluster.call(one).status == 200 for one in again)
        assert time.monotonic() - started < RECOVER_BOUND_S


class TestSilentEndpoints:
    def failures(self, cluster: GatewayCluster) -> float:
        """Return the share of failures that the desk has seen."""
        scheduler = cluster.hosts[0].host.mesh.scheduler
        return max(
            one.reliability.share
            for one in scheduler.available_endpoints.values()
        )

    def test_silence_until_the_deadline_counts_against_it(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint().behaviour = Conversation.caller_left
        running = cluster.add_host()
        reply = cluster.call(running, '/book/1', Deadline_Ms='1500')
        assert reply.status == 504
        wait_for(lambda: self.failures(cluster) > 0, 'a failure at the desk')

    def test_caller_that_left_soon_says_nothing_of_it(
        self, cluster: GatewayCluster
    ) -> None:
        endpoint = cluster.add_endpoint()
        endpoint.behaviour = Conversation.caller_left
        running = cluster.add_host()
        link = http.client.HTTPConnection(running.address, running.port)
        link.request(
            'POST',
            '/book/1',
            headers={
                'Host': AUTHORITY,
                'Request-Id': 'q',
                'Deadline-Ms': '4000',
                'Authorization': f'Bearer {KEY}',
            },
        )
        wait_for(lambda: endpoint.seen, 'a request')
        link.close()
        scheduler = running.host.mesh.scheduler
        wait_for(
            lambda: not scheduler.reservations, 'a place that is free again'
        )
        assert self.failures(cluster) == 0
