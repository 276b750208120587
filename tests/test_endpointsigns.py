"""What endpoints say of themselves in responses: leaving, and quiet periods."""

import threading
import time
from collections.abc import Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost, wait_for
from headers import quiet_s
from platformendpoint import PlatformEndpoint, ServedRequest

from trefoilspool.quietperiods import MAX_QUIET_S, QuietPeriods

LEAVING = ('Server-Leaving: 1',)
CALLS = 6


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    yield made
    made.close()


def pair(
    cluster: GatewayCluster,
) -> tuple[PlatformEndpoint, PlatformEndpoint, RunningHost]:
    """Return two endpoints and a host that knows both."""
    first, second = cluster.add_endpoint(), cluster.add_endpoint()
    running = cluster.add_host()
    cluster.wait_for_endpoints(running, 2)
    return first, second, running


def call_until(
    cluster: GatewayCluster,
    running: RunningHost,
    endpoint: PlatformEndpoint,
    path: str = '/look/1',
) -> None:
    """Call until the endpoint has received one more request."""
    before = len(endpoint.requests)
    wait_for(
        lambda: cluster.call(running, path) and len(endpoint.requests) > before,
        'a request at the endpoint',
    )


class TestLeaving:
    @pytest.mark.parametrize('path', ['/look/1', '/book/1', '/chat/1'])
    @pytest.mark.parametrize('status', [200, 500, 503])
    def test_no_request_follows_a_leaving_response(
        self, cluster: GatewayCluster, path: str, status: int
    ) -> None:
        leaving, _, running = pair(cluster)
        for endpoint in cluster.endpoints:
            endpoint.behaviour = ServedRequest.stream
        if status != 200 or path != '/chat/1':
            leaving.behaviour = lambda served: served.respond(status)
        leaving.extra_headers = LEAVING
        call_until(cluster, running, leaving, path)
        received = len(leaving.requests)
        for _ in range(CALLS):
            cluster.call(running, path)
        assert len(leaving.requests) == received

    def test_record_of_the_same_run_does_not_undo_it(
        self, cluster: GatewayCluster
    ) -> None:
        leaving, _, running = pair(cluster)
        leaving.extra_headers = LEAVING
        call_until(cluster, running, leaving)
        leaving.extra_headers = ()
        offset = cluster.store.put(
            'keyed.servers',
            leaving.name,
            leaving.record('engines', capacity=7, sequence=2),
        )
        wait_for(
            lambda: running.host.endpoint_sync.view.replica.end > offset,
            'the record',
        )
        assert running.host.directory.get(leaving.name) is None

    def test_later_run_is_available(self, cluster: GatewayCluster) -> None:
        leaving, _, running = pair(cluster)
        leaving.extra_headers = LEAVING
        call_until(cluster, running, leaving)
        leaving.extra_headers = ()
        cluster.register(leaving, born=2)
        cluster.wait_for_endpoints(running, 2)

    def test_other_hosts_are_told(self, cluster: GatewayCluster) -> None:
        leaving, _ = cluster.add_endpoint(), cluster.add_endpoint()
        hosts = [cluster.add_host() for _ in range(3)]
        for running in hosts:
            wait_for(
                lambda peers=running.host.mesh.peers: (
                    sum(map(peers.is_responsive, peers.hosts)) == len(hosts)
                ),
                'heartbeats between all hosts',
            )
        leaving.extra_headers = LEAVING
        home = hosts[0].host.mesh.peers.home()
        assert home is not None
        entry = next(
            running for running in hosts if running.host.options.name != home[0]
        )
        call_until(cluster, entry, leaving)
        for running in hosts:
            wait_for(
                lambda told=running.host: (
                    told.directory.get(leaving.name) is None
                ),
                'the endpoint to be left by all',
            )

    def test_waiting_request_goes_elsewhere(
        self, cluster: GatewayCluster
    ) -> None:
        """A slot may be granted before the response that says leaving."""
        leaving, staying, running = pair(cluster)
        run = running.host.directory.endpoints[leaving.name].run
        client = running.host.mesh.client
        acquire = client.acquire

        def leave_first(*arguments: object) -> object:
            decision = acquire(*arguments)  # type: ignore[arg-type]
            running.host.directory.on_leaving_run(run, 0, 'test')
            return decision

        client.acquire = leave_first  # type: ignore[method-assign]
        for _ in range(CALLS):
            assert cluster.call(running, '/book/1').status == 200
        assert not leaving.requests
        assert len(staying.requests) == CALLS


class TestQuiet:
    @pytest.mark.parametrize('path', ['/look/1', '/book/1', '/chat/1'])
    def test_no_request_reaches_a_quiet_endpoint(
        self, cluster: GatewayCluster, path: str
    ) -> None:
        quiet, other, running = pair(cluster)
        other.behaviour = ServedRequest.stream
        quiet.behaviour = lambda served: served.refuse_for('60')
        call_until(cluster, running, quiet, path)
        received = len(quiet.requests)
        for _ in range(CALLS):
            cluster.call(running, path)
        assert len(quiet.requests) == received

    def test_requests_return_after_the_period(
        self, cluster: GatewayCluster
    ) -> None:
        quiet = cluster.add_endpoint()
        running = cluster.add_host()
        quiet.behaviour = lambda served: served.refuse_for('0.4')
        assert cluster.call(running).status == 503
        quiet.behaviour = ServedRequest.respond
        wait_for(
            lambda: cluster.call(running).status == 200,
            'a request after the period',
        )

    def test_slot_granted_before_the_period_is_not_used(
        self, cluster: GatewayCluster
    ) -> None:
        quiet, other, running = pair(cluster)
        client = running.host.mesh.client
        acquire = client.acquire

        def ask_first(*arguments: object) -> object:
            decision = acquire(*arguments)  # type: ignore[arg-type]
            running.host.quiet_periods.on_request(
                quiet.name, 60, time.monotonic()
            )
            return decision

        client.acquire = ask_first  # type: ignore[method-assign]
        for _ in range(CALLS):
            assert cluster.call(running, '/book/1').status == 200
        assert not quiet.requests

    def test_callers_learn_when_the_first_period_ends(
        self, cluster: GatewayCluster
    ) -> None:
        for seconds in (50, 30):
            cluster.add_endpoint().behaviour = lambda served, left=seconds: (
                served.refuse_for(str(left))
            )
        running = cluster.add_host()
        cluster.wait_for_endpoints(running, 2)
        for endpoint in cluster.endpoints:
            call_until(cluster, running, endpoint, '/book/1')
        received = sum(len(each.requests) for each in cluster.endpoints)
        response = cluster.call(running, '/book/1')
        assert response.status == 503
        assert 20 < float(response.headers['retry-after']) <= 30
        assert received == sum(len(each.requests) for each in cluster.endpoints)

    def test_concurrent_requests_leave_a_quiet_endpoint(
        self, cluster: GatewayCluster
    ) -> None:
        quiet, _, running = pair(cluster)
        quiet.behaviour = lambda served: served.refuse_for('60')
        call_until(cluster, running, quiet)
        received = len(quiet.requests)
        callers = [
            threading.Thread(target=cluster.call, args=(running,))
            for _ in range(CALLS)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        assert len(quiet.requests) == received


class TestQuietValues:
    @pytest.mark.parametrize(
        ('text', 'seconds'),
        [('2', 2), ('0.75', 0.75), (' 3 ', 3), ('86400', 86400)],
    )
    def test_seconds(self, text: str, seconds: float) -> None:
        assert quiet_s(503, text) == seconds

    @pytest.mark.parametrize(
        'text',
        ['', '-3', 'soon', 'nan', 'inf', '1e9', '1_0', '²', '0x10', '+1']
        + ['Wed, 21 Oct 2026 07:28:00 GMT', '9' * 400],
    )
    def test_other_values_are_ignored(self, text: str) -> None:
        assert quiet_s(503, text) == 0

    def test_other_status_asks_for_no_quiet(self) -> None:
        assert quiet_s(429, '3') == 0

    def test_days_are_bounded(self) -> None:
        quiet = QuietPeriods()
        quiet.on_request('e', 86400, now=5)
        assert quiet.remaining_s('e', 5) == MAX_QUIET_S

    def test_shorter_period_does_not_end_a_longer_one(self) -> None:
        quiet = QuietPeriods()
        quiet.on_request('e', 9, now=0)
        quiet.on_request('e', 1, now=1)
        assert quiet.remaining_s('e', 3) == 6
        quiet.forget_ended(8)
        assert quiet.quiet(['e', 'f'], 8) == {'e': 1}
        quiet.forget_ended(9)
        assert not quiet.until
