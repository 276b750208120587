"""Hosts that reach no endpoint, while their peers and callers reach them."""

import itertools
from collections.abc import Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost, wait_for
from pathcuts import HANG, RESET, PathCut
from platformendpoint import ServedRequest

HOSTS = 3
ENDPOINTS = 3
CALLS = 6
PATHS = ('/look/1', '/book/1', '/chat/1')
# Which hosts are cut off, by whether each is the home host.
CUTS = {
    'none': lambda is_home, rank: False,
    'one': lambda is_home, rank: rank == 1,
    'home': lambda is_home, rank: is_home,
    'all-but-one': lambda is_home, rank: rank != 1,
    'all-but-home': lambda is_home, rank: not is_home,
}


class CutCluster(GatewayCluster):
    """Three hosts that know each other, before three endpoints."""

    def start(self) -> None:
        for _ in range(ENDPOINTS):
            self.add_endpoint().behaviour = respond
        for _ in range(HOSTS):
            self.add_host()
        for running in self.hosts:
            wait_for(
                lambda running=running: self.is_settled(running),
                'one home host',
            )
            self.wait_for_endpoints(running, ENDPOINTS)

    def is_settled(self, running: RunningHost) -> bool:
        known = running.host.mesh.peers.hosts
        names = {home_name(other) for other in self.hosts}
        return len(known) == HOSTS and len(names) == 1

    @property
    def home_name(self) -> str:
        return home_name(self.hosts[0])

    def in_order(self) -> list[RunningHost]:
        """Return the hosts, the home host first."""
        return sorted(
            self.hosts,
            key=lambda running: running.options.name != self.home_name,
        )

    def cut(self, which: str, how: str) -> list[PathCut]:
        return [
            PathCut(running, self.endpoints, how)
            for rank, running in enumerate(self.in_order())
            if CUTS[which](not rank, rank)
        ]

    def served(self, running: RunningHost, path: str) -> int:
        """Return how many calls are served, one after the other."""
        return sum(self.call(running, path).status == 200 for _ in range(CALLS))

    def ejected(self) -> list[str]:
        return [
            endpoint.spec.name
            for running in self.hosts
            for endpoint in (
                running.host.mesh.scheduler.available_endpoints.values()
            )
            if endpoint.reliability.state.name != 'trusted'
        ]

    def held(self) -> int:
        return sum(len(running.host.mesh.client.held) for running in self.hosts)

    def runs(self) -> list[str]:
        return list(
            itertools.chain.from_iterable(
                endpoint.runs for endpoint in self.endpoints
            )
        )


def home_name(running: RunningHost) -> str:
    home = running.host.mesh.peers.home()
    assert home is not None
    return home.name


def respond(served: ServedRequest) -> None:
    """Respond as the route's kind of request wants it."""
    if served.request.line.split()[1].startswith('/chat'):
        served.stream()
    else:
        served.respond()


@pytest.fixture
def cluster() -> Iterator[CutCluster]:
    made = CutCluster()
    made.start()
    yield made
    made.close()


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('how', [HANG, RESET])
@pytest.mark.parametrize('which', CUTS)
class TestHostsCutOff:
    """RECOVER: such hosts serve as the others do, and harm none of them."""

    def test_all_hosts_serve(
        self, cluster: CutCluster, which: str, how: str, path: str
    ) -> None:
        cluster.cut(which, how)
        served = [cluster.served(running, path) for running in cluster.hosts]
        assert served == [CALLS] * HOSTS
        assert len(cluster.runs()) == CALLS * HOSTS
        assert not cluster.ejected()
        wait_for(lambda: not cluster.held(), 'free slots')
