"""Hosts that start while the store is away get the endpoints from peers."""

from collections.abc import Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost, wait_for


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    made.add_endpoint()
    made.add_endpoint()
    for _ in range(2):
        made.add_host()
    wait_for(lambda: made.call(made.hosts[0]).status == 200, 'a response')
    yield made
    made.close()


def serves(cluster: GatewayCluster, running: RunningHost) -> None:
    wait_for(lambda: cluster.call(running).status == 200, 'a host to serve')


class TestStoreAway:
    @pytest.mark.parametrize('how', ('silent', 'reset', 503))
    def test_host_that_starts_serves(
        self, cluster: GatewayCluster, how: str | int
    ) -> None:
        with cluster.store.failing(how):
            serves(cluster, cluster.add_host())

    def test_all_hosts_are_restarted_in_turn(
        self, cluster: GatewayCluster
    ) -> None:
        with cluster.store.failing('silent'):
            for running in list(cluster.hosts):
                running.stop()
                serves(cluster, cluster.restart_host(running))

    def test_leaving_endpoint_stays_out(self, cluster: GatewayCluster) -> None:
        leaving = cluster.endpoints[0]
        cluster.store.put(
            'keyed.servers',
            leaving.name,
            leaving.record('engines', state='draining'),
        )
        other = cluster.endpoints[1].name
        wait_for(
            lambda: all(
                set(host.host.mesh.scheduler.available_endpoints) == {other}
                for host in cluster.hosts
            ),
            'the endpoint to leave',
        )
        with cluster.store.failing('silent'):
            started = cluster.add_host()
            serves(cluster, started)
            ran = len(leaving.runs)
            for _ in range(10):
                assert cluster.call(started).status == 200
            assert len(leaving.runs) == ran
