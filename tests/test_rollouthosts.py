"""Roll-outs on real hosts, one failure at a time."""

import contextlib
import itertools
import json
import threading
import time
from collections.abc import Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost, wait_for
from platformendpoint import PlatformEndpoint, ServedRequest

CALLERS = 6
DURATION_S = 10
SERVERS = 3
SLOW_S = 0.15
FREEZE_S = 4


def fail(served: ServedRequest) -> None:
    served.respond(500, b'broken')


def slow_on_a_route(served: ServedRequest) -> None:
    """Respond several times slower than the old version, on one route."""
    if '/book/' in served.request.line:
        time.sleep(SLOW_S)
    served.respond()


class RolloutWorld:
    """Endpoints of an old and a new version, hosts, and callers."""

    def __init__(self) -> None:
        self.cluster = GatewayCluster()
        self.old = [self.add('v1') for _ in range(SERVERS)]
        self.hosts = [self.cluster.add_host() for _ in range(3)]
        self.stopping = threading.Event()
        self.statuses: list[int] = []
        self.new: list[PlatformEndpoint] = []
        self.paths = itertools.cycle(('/look/1',))

    def add(self, version: str) -> PlatformEndpoint:
        return self.cluster.add_endpoint(version=version, capacity=20)

    def start(self, **order: object) -> None:
        """Give the order, then start the new version and callers."""
        self.order(**order)
        self.new = [self.add('v2') for _ in range(SERVERS)]
        for number in range(CALLERS):
            threading.Thread(
                target=self.call, args=(number,), daemon=True
            ).start()

    def order(self, **changes: object) -> None:
        content = {
            'backend': 'engines',
            'target': 'v2',
            'durationS': DURATION_S,
            **changes,
        }
        self.cluster.store.put('keyed.op', 'rollout/engines', content)

    def call(self, number: int) -> None:
        while not self.stopping.is_set():
            running = self.hosts[number % len(self.hosts)]
            path = next(self.paths)
            with contextlib.suppress(OSError):
                response = self.cluster.call(running, path)
                self.statuses.append(response.status)
            self.stopping.wait(0.004)

    @property
    def status(self) -> dict[str, object]:
        topic = self.cluster.store.topic('keyed.status')
        newest = topic.newest().get('rollout/engines')
        return json.loads(newest[1]) if newest else {}

    def wait_for_state(self, state: str) -> None:
        wait_for(lambda: self.status.get('state') == state, state)
        assert self.status['target'] == 'v2'

    def runs(self, endpoints: list[PlatformEndpoint]) -> int:
        return sum(len(endpoint.runs) for endpoint in endpoints)

    def home(self) -> RunningHost:
        return next(
            running
            for running in self.hosts
            if running.host.mesh.peers.is_home()
        )

    def freeze_home(self) -> None:
        """Stop all that the home host decides for a while."""
        self.home().host.mesh.call_soon(lambda now: time.sleep(FREEZE_S))

    def check_reverted(self) -> None:
        """Check that nothing more is sent to the new version."""
        wait_for(
            lambda: all(
                running.host.mesh.client.rollouts.phase('engines').name
                == 'reverted'
                for running in self.hosts
            ),
            'all hosts',
        )
        sent = self.runs(self.new)
        served = len(self.statuses)
        wait_for(lambda: len(self.statuses) > served + 50, 'requests')
        assert self.runs(self.new) <= sent + CALLERS

    def close(self) -> None:
        self.stopping.set()
        self.cluster.close()


@pytest.fixture
def world() -> Iterator[RolloutWorld]:
    made = RolloutWorld()
    yield made
    made.close()


class TestGoodVersion:
    def test_is_completed(self, world: RolloutWorld) -> None:
        world.start()
        wait_for(lambda: world.status.get('state') == 'in_progress', 'status')
        world.wait_for_state('completed')
        # The old endpoints are stopped at once.
        before = world.runs(world.old)
        for endpoint in world.old:
            endpoint.crash()
        done = len(world.statuses)
        wait_for(lambda: len(world.statuses) > done + 50, 'requests')
        assert world.runs(world.old) == before
        assert set(world.statuses) == {200}

    def test_one_bad_endpoint_reverts_nothing(
        self, world: RolloutWorld
    ) -> None:
        world.start()
        world.new[0].behaviour = fail
        world.wait_for_state('completed')

    def test_home_is_lost(self, world: RolloutWorld) -> None:
        world.start(durationS=10)
        wait_for(lambda: world.runs(world.new) > 3, 'a test')
        lost = world.home()
        world.hosts.remove(lost)
        lost.stop()
        world.wait_for_state('completed')

    def test_home_is_frozen(self, world: RolloutWorld) -> None:
        """It wakes with decisions that another host has gone beyond."""
        world.start(durationS=15)
        wait_for(lambda: world.runs(world.new) > 3, 'a test')
        world.freeze_home()
        world.wait_for_state('completed')

    def test_home_hears_no_other(self, world: RolloutWorld) -> None:
        """Two hosts decide for a while; the store holds one final state."""
        world.start(durationS=12)
        wait_for(lambda: world.runs(world.new) > 3, 'a test')
        world.home().cut_datagrams()
        wait_for(lambda: world.status.get('state') != 'in_progress', 'end')
        ended = world.status['state']
        served = len(world.statuses)
        wait_for(lambda: len(world.statuses) > served + 50, 'requests')
        assert world.status['state'] == ended
        assert set(world.statuses) <= {200, 503}

    def test_store_loses_the_end(self, world: RolloutWorld) -> None:
        """The store is restored from before the end, which is stored again."""
        world.start()
        wait_for(lambda: world.status, 'status')
        backup = world.cluster.store.backup()
        world.wait_for_state('completed')
        world.cluster.store.restore(backup)
        assert world.status['state'] == 'in_progress'
        world.wait_for_state('completed')

    def test_second_order_replaces_the_first(self, world: RolloutWorld) -> None:
        world.start(target='v9', durationS=30)
        wait_for(lambda: world.status.get('target') == 'v9', 'status')
        assert not world.runs(world.new) or world.status
        world.order()
        world.wait_for_state('completed')

    def test_all_hosts_are_replaced(self, world: RolloutWorld) -> None:
        world.start(durationS=12)
        wait_for(lambda: world.runs(world.new) > 3, 'a test')
        for running in world.hosts:
            running.stop()
        world.hosts = [
            world.cluster.restart_host(running) for running in world.hosts
        ]
        world.wait_for_state('completed')

    def test_hosts_that_start_later_know_the_end(
        self, world: RolloutWorld
    ) -> None:
        world.start()
        world.wait_for_state('completed')
        running = world.cluster.add_host()
        wait_for(
            lambda: (
                running.host.mesh.client.rollouts.phase('engines').name
                == 'completed'
            ),
            'the end',
        )


class TestBadVersion:
    def test_is_reverted(self, world: RolloutWorld) -> None:
        world.start()
        for endpoint in world.new:
            endpoint.behaviour = fail
        world.wait_for_state('reverted')
        world.check_reverted()

    def test_home_is_frozen(self, world: RolloutWorld) -> None:
        world.start(durationS=20)
        wait_for(lambda: world.runs(world.new) > 3, 'a test')
        world.freeze_home()
        for endpoint in world.new:
            endpoint.behaviour = fail
        world.wait_for_state('reverted')
        world.check_reverted()

    def test_store_is_silent(self, world: RolloutWorld) -> None:
        world.start(durationS=20)
        wait_for(lambda: world.runs(world.new) > 3, 'a test')
        with world.cluster.store.failing('silent'):
            for endpoint in world.new:
                endpoint.behaviour = fail
            world.check_reverted()
        world.wait_for_state('reverted')

    def test_host_that_hears_no_other(self, world: RolloutWorld) -> None:
        world.start()
        for endpoint in world.new:
            endpoint.behaviour = fail
        wait_for(lambda: world.status, 'status')
        world.hosts[-1].cut_datagrams()
        world.wait_for_state('reverted')
        world.check_reverted()

    def test_slow_on_one_route(self, world: RolloutWorld) -> None:
        world.paths = itertools.cycle(('/look/1', '/book/1', '/look/1'))
        world.start(durationS=20)
        for endpoint in world.new:
            endpoint.behaviour = slow_on_a_route
        world.wait_for_state('reverted')
        world.check_reverted()


class TestOddOrder:
    def test_costs_nothing_else(self, world: RolloutWorld) -> None:
        world.order(durationS='soon')
        world.cluster.configure(2)
        wait_for(
            lambda: all(
                running.host.gateway.version == 2 for running in world.hosts
            ),
            'the version',
        )
        assert not world.status
        assert world.cluster.call(world.hosts[0], '/look/1').status == 200
