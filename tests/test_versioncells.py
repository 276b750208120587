"""How versions come into force, for pairs of a way and a fault.

The cells of the table in docs/incidents/config-2026-12.md that had no test. The
ways are a read that waits (W), a peer (P), a first read (F) and a store that is
restored from a backup (R).
"""

import contextlib
import itertools
import threading
import time
from collections.abc import Callable, Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost, route
from platformstore import PlatformStore
from test_versionways import (
    CONFIG_BOUND_S,
    CONTACT_S,
    HOSTS,
    NEW_VERSION,
    add_hosts,
    assert_in_force,
    lose_every_third,
    put_new,
    start_host,
    turn_away,
)

SLOW_S = 0.2
# A lost segment of TCP is sent again after so long, at first.
RETRANSMISSION_S = 0.25
FROZEN_S = 2.0
MANY_ROUTES = 3000


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    made.add_endpoint()
    yield made
    made.close()


@pytest.fixture
def other_store() -> Iterator[PlatformStore]:
    made = PlatformStore()
    yield made
    made.close()


class Loss:
    """Delays every second answer of a store as a lost segment does."""

    def __init__(self, store: PlatformStore) -> None:
        self.get = store.get
        self.numbers = itertools.count()
        store.get = self.serve  # type: ignore[method-assign]

    def serve(self, handler: object) -> None:
        if next(self.numbers) % 2:
            time.sleep(RETRANSMISSION_S)
        self.get(handler)  # type: ignore[arg-type]


class Freeze:
    """Lets what moves a host's versions stand still for a while."""

    def __init__(self, running: RunningHost) -> None:
        self.thawed = threading.Event()
        self.thawed.set()
        mesh = running.host.mesh
        topic = running.host.settings_sync.store_task.source
        mesh.step = self.paused(mesh.step)  # type: ignore[method-assign]
        topic.exchange = self.paused(topic.exchange)  # type: ignore[attr-defined]

    def paused(self, call: Callable[..., object]) -> Callable[..., object]:
        def wait_and_call(*arguments: object) -> object:
            self.thawed.wait()
            result = call(*arguments)
            self.thawed.wait()
            return result

        return wait_and_call

    @contextlib.contextmanager
    def frozen(self) -> Iterator[None]:
        self.thawed.clear()
        time.sleep(FROZEN_S / 2)
        yield
        time.sleep(FROZEN_S / 2)
        self.thawed.set()


def put_many_routes(cluster: GatewayCluster) -> float:
    """Publish a version with many routes; return when it is due."""
    routes = [route(f'n{n}', 'idempotent') for n in range(MANY_ROUTES)]
    cluster.configure(NEW_VERSION, routeTable=routes)
    return time.monotonic() + CONFIG_BOUND_S


def put_in_succession(cluster: GatewayCluster) -> float:
    """Publish versions one after the other; return when the last is due."""
    for version in range(5, NEW_VERSION):
        cluster.configure(version)
        time.sleep(0.05)
    return put_new(cluster)


class TestWaitingRead:
    def test_lossy_links(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, HOSTS)
        Loss(cluster.store)
        for running in hosts:
            lose_every_third(running)
        assert_in_force(hosts, put_new(cluster))

    def test_frozen_host(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, 2)
        freeze = Freeze(hosts[0])
        with freeze.frozen():
            due = put_new(cluster)
            assert_in_force([hosts[1]], due)
        assert_in_force(hosts, time.monotonic() + CONTACT_S)


class TestPeer:
    """The store turns a host away, which reads the version from a peer."""

    @pytest.fixture
    def hosts(
        self, cluster: GatewayCluster, other_store: PlatformStore
    ) -> list[RunningHost]:
        made = add_hosts(cluster, HOSTS)
        turn_away(made[-1], other_store, 'reset')
        return made

    def test_slow_store(
        self, cluster: GatewayCluster, hosts: list[RunningHost]
    ) -> None:
        cluster.store.delay_s = SLOW_S
        assert_in_force(hosts, put_new(cluster))

    def test_versions_in_quick_succession(
        self, cluster: GatewayCluster, hosts: list[RunningHost]
    ) -> None:
        assert_in_force(hosts, put_in_succession(cluster))

    def test_version_with_many_routes(
        self, cluster: GatewayCluster, hosts: list[RunningHost]
    ) -> None:
        assert_in_force(hosts, put_many_routes(cluster))


class TestFirstRead:
    """A host starts."""

    def test_lossy_links(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, 2)
        Loss(cluster.store)
        assert_in_force(hosts, put_new(cluster))
        running = start_host(cluster)
        lose_every_third(running)
        assert_in_force([running], time.monotonic() + CONTACT_S)

    def test_host_frozen_as_it_starts(self, cluster: GatewayCluster) -> None:
        cluster.configure(NEW_VERSION)
        cluster.store.delay_s = SLOW_S
        freeze = Freeze(start_host(cluster))
        with freeze.frozen():
            put_new(cluster, NEW_VERSION + 1)
        thawed_at = time.monotonic()
        assert_in_force(cluster.hosts, thawed_at + CONTACT_S, NEW_VERSION + 1)

    def test_version_with_many_routes(self, cluster: GatewayCluster) -> None:
        put_many_routes(cluster)
        assert_in_force([start_host(cluster)], time.monotonic() + CONTACT_S)


class TestRestoredStore:
    """The store comes back from a backup some seconds old."""

    def restored(
        self, cluster: GatewayCluster, hosts: list[RunningHost]
    ) -> None:
        """Restore the store to before versions that hosts have."""
        backup = cluster.store.backup()
        for version in (2, 3):
            assert_in_force(hosts, put_new(cluster, version), version)
        cluster.store.restore(backup)

    def test_host_that_the_store_turns_away(
        self, cluster: GatewayCluster, other_store: PlatformStore
    ) -> None:
        hosts = add_hosts(cluster, HOSTS)
        turn_away(hosts[-1], other_store, 503)
        self.restored(cluster, hosts)
        assert_in_force(hosts, put_new(cluster))

    def test_slow_store(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, 2)
        cluster.store.delay_s = SLOW_S
        self.restored(cluster, hosts)
        assert_in_force(hosts, put_new(cluster))

    def test_dropped_history(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, 2)
        self.restored(cluster, hosts)
        due = put_new(cluster)
        cluster.store.trim('keyed.op')
        assert_in_force(hosts, due)

    def test_hosts_cut_off_from_each_other(
        self, cluster: GatewayCluster
    ) -> None:
        hosts = add_hosts(cluster, HOSTS)
        for running in hosts:
            running.cut_datagrams()
        cluster.store.wakes_at_restore = False
        self.restored(cluster, hosts)
        restored_at = time.monotonic()
        put_new(cluster)
        assert_in_force(hosts, restored_at + CONTACT_S)

    def test_lossy_links(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, HOSTS)
        Loss(cluster.store)
        for running in hosts:
            lose_every_third(running)
        self.restored(cluster, hosts)
        assert_in_force(hosts, put_new(cluster))

    def test_frozen_host(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, 2)
        freeze = Freeze(hosts[0])
        with freeze.frozen():
            self.restored(cluster, [hosts[1]])
            put_new(cluster)
        assert_in_force(hosts, time.monotonic() + CONTACT_S)

    def test_versions_in_quick_succession(
        self, cluster: GatewayCluster
    ) -> None:
        hosts = add_hosts(cluster, 2)
        self.restored(cluster, hosts)
        assert_in_force(hosts, put_in_succession(cluster))

    def test_version_with_many_routes(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, 2)
        self.restored(cluster, hosts)
        assert_in_force(hosts, put_many_routes(cluster))
