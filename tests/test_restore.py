"""A store that is restored from a backup some seconds old."""

import json
import threading
from collections.abc import Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost, route, wait_for
from platformstore import PlatformStore
from storecalls import StoreTopic

from trefoilspool.departures import RESTORED_RECORD_S
from trefoilspool.discovery import DiscoveryTask
from trefoilspool.errors import StoreRestoredError
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.peertopics import decode_changes, encode_changes
from trefoilspool.replica import Replica
from trefoilspool.replication import PollInterval, StoreReplicationTask
from trefoilspool.store import KeyedRecord, Page

TOPIC = 'keyed.servers'


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    yield made
    made.close()


@pytest.fixture
def store() -> Iterator[PlatformStore]:
    made = PlatformStore()
    yield made
    made.close()


def record(key: str, offset: int, content: bytes = b'{}') -> KeyedRecord:
    return KeyedRecord(key, content, offset)


def first_era_replica() -> tuple[Replica, list[KeyedRecord]]:
    """Return a replica of era 1 with keys a and b at offsets 4 and 5, and its changes."""
    changes: list[KeyedRecord] = []
    replica = Replica(changes.extend)
    page = Page((record('a', 4), record('b', 5)), 6, complete=True, era=1)
    replica.apply(page)
    changes.clear()
    return replica, changes


class TestReplica:
    def test_new_era_replaces_records_at_lower_offsets(self) -> None:
        replica, _ = first_era_replica()
        replica.apply(
            Page((record('a', 2, b'new'), record('b', 1)), 3, True, era=2)
        )
        assert replica.records['a'].content == b'new'
        assert replica.position() == (2, 3)

    def test_key_missing_from_the_new_era_is_deleted(self) -> None:
        replica, changes = first_era_replica()
        replica.apply(Page((record('a', 2),), 3, complete=True, era=2))
        assert changes[-1] == KeyedRecord('b', b'', 2)

    def test_incomplete_page_does_not_start_an_era(self) -> None:
        replica, changes = first_era_replica()
        replica.apply(Page((record('a', 6),), 7, complete=False, era=2))
        assert replica.position() == (1, 6)
        assert not changes

    def test_late_page_of_an_earlier_era_is_ignored(self) -> None:
        replica, changes = first_era_replica()
        replica.apply(Page((record('c', 9),), 10, complete=True, era=0))
        assert replica.position() == (1, 6)
        assert not changes

    def test_peer_of_another_era_gets_all_records(self) -> None:
        replica, _ = first_era_replica()
        peer = Replica(lambda records: None)
        peer.apply(Page((record('z', 90),), 91, complete=True, era=0))
        peer.apply(decode_changes(encode_changes(replica, '0.91')))
        assert peer.position() == (1, 6)
        assert [key for key, at in peer.records.items() if at.content] == [
            'a',
            'b',
        ]

    def test_peer_that_read_before_a_deletion_gets_all_records(self) -> None:
        """The replica cannot know what was deleted before its first page."""
        peer, _ = first_era_replica()
        replica = Replica(lambda records: None)
        replica.apply(Page((record('b', 5),), 8, complete=True, era=1))
        assert replica.changed_to() > peer.position()
        peer.apply(decode_changes(encode_changes(replica, '1.6')))
        assert not peer.records['a'].content

    def test_peer_of_an_earlier_era_changes_nothing(self) -> None:
        replica, changes = first_era_replica()
        peer = Replica(lambda records: None)
        peer.apply(Page((record('z', 90),), 91, complete=True, era=0))
        replica.apply(decode_changes(encode_changes(peer, '1.6')))
        assert replica.position() == (1, 6)
        assert not changes

    def test_second_restore_during_the_first(self) -> None:
        replica, _ = first_era_replica()
        replica.apply(Page((), 0, complete=True, era=2))
        replica.apply(Page((record('c', 0),), 1, complete=True, era=3))
        assert replica.changes_from(0, 2).records == (record('c', 0),)


class TestStoreTopic:
    def test_read_from_an_earlier_era_is_refused(
        self, store: PlatformStore
    ) -> None:
        for number in range(3):
            store.put(TOPIC, 'a', {'n': number})
        store.restore({TOPIC: 1})
        store.put(TOPIC, 'a', {'n': 9})
        topic = StoreTopic(store.address, TOPIC)
        # Offset 1 exists again, with another record.
        with pytest.raises(StoreRestoredError):
            topic.read_from(1, 0, era=0)
        with pytest.raises(StoreRestoredError):
            topic.read_from(3, 0, era=0)
        assert topic.read_latest().era == 1
        assert topic.read_from(1, 0, era=1).end == 2

    def test_pages_of_two_eras_are_not_joined(
        self, store: PlatformStore, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        for number in range(5):
            store.put(TOPIC, f'k{number}', {'n': number})
        topic = StoreTopic(store.address, TOPIC)
        send_request = topic.send_request

        def restore_after(path: str, timeout_s: float) -> object:
            answer = send_request(path, timeout_s)
            store.restore({TOPIC: 4})
            return answer

        monkeypatch.setattr(topic, 'send_request', restore_after)
        with pytest.raises(StoreRestoredError):
            topic.read_latest()


class TestTasks:
    def test_replica_follows_two_restores(self, store: PlatformStore) -> None:
        replica = Replica(lambda records: None)
        stopping = threading.Event()
        restores: list[int] = []
        task = StoreReplicationTask(
            TOPIC,
            StoreTopic(store.address, TOPIC),
            replica,
            PollInterval(0.2, 0.01),
            stopping,
            on_restored=lambda: restores.append(replica.era),
        )
        runner = threading.Thread(target=task.run, daemon=True)
        runner.start()
        for number in range(6):
            store.put(TOPIC, 'a', {'n': number})
        wait_for(lambda: replica.end == 6, 'the first records')
        for era in (1, 2):
            store.restore({TOPIC: 3 - era})
            wait_for(lambda at=era: replica.era == at, 'the new era')
            store.put(TOPIC, 'a', {'era': era})
            expected = b'{"era": %d}' % era
            wait_for(
                lambda content=expected: (
                    replica.records['a'].content == content
                ),
                'the record written again',
            )
        stopping.set()
        runner.join()
        assert restores == [1, 2]

    def test_host_registers_again(self, store: PlatformStore) -> None:
        topic = StoreTopic(store.address, 'keyed.hosts')
        peers = PeerRegistry(HostInfo('h1', '10.0.0.1', 1))
        stopping = threading.Event()
        task = DiscoveryTask(topic, peers, stopping)
        runner = threading.Thread(target=task.run, daemon=True)
        runner.start()
        hosts = store.topic('keyed.hosts')
        wait_for(lambda: 'h1' in hosts.newest(), 'the registration')
        store.restore({})
        assert 'h1' not in hosts.newest()
        task.on_store_restored()
        wait_for(lambda: 'h1' in hosts.newest(), 'the second registration')
        stopping.set()


class TestHosts:
    def host_whose_version_is_undone(
        self, cluster: GatewayCluster
    ) -> RunningHost:
        """Return a host with version 7, which a restore has undone."""
        cluster.add_endpoint()
        running = cluster.add_host()
        backup = cluster.store.backup()
        cluster.configure(7, routeTable=[route('new', 'idempotent')])
        wait_for(lambda: running.host.gateway.version == 7, 'version 7')
        cluster.store.restore(backup)
        return running

    def test_configuration_does_not_go_back(
        self, cluster: GatewayCluster
    ) -> None:
        running = self.host_whose_version_is_undone(cluster)
        wait_for(
            lambda: running.host.settings_sync.replica.era == 1, 'the new era'
        )
        assert cluster.call(running, '/new/1').status == 200
        assert cluster.call(running, '/look/1').status == 404
        cluster.configure(8, routeTable=[route('next', 'idempotent')])
        wait_for(lambda: running.host.gateway.version == 8, 'version 8')

    def test_host_that_starts_gets_the_version_in_force_from_a_peer(
        self, cluster: GatewayCluster
    ) -> None:
        self.host_whose_version_is_undone(cluster)
        started = cluster.add_host()
        wait_for(lambda: started.host.gateway.version == 7, 'version 7')

    def test_endpoint_that_left_does_not_return(
        self, cluster: GatewayCluster
    ) -> None:
        left, _ = cluster.add_endpoint(), cluster.add_endpoint()
        running = cluster.add_host()
        cluster.wait_for_endpoints(running, 2)
        backup = cluster.store.backup()
        cluster.store.put('keyed.servers', left.name, b'')
        cluster.wait_for_endpoints(running, 1)
        cluster.store.restore(backup)
        wait_for(
            lambda: running.host.endpoint_sync.view.replica.era == 1,
            'the new era',
        )
        assert running.host.directory.get(left.name) is None
        # The endpoint was alive after all: it renews its record.
        cluster.register(left, sequence=9)
        cluster.wait_for_endpoints(running, 2)

    def test_leaving_is_not_undone(self, cluster: GatewayCluster) -> None:
        leaving, _ = cluster.add_endpoint(), cluster.add_endpoint()
        running = cluster.add_host()
        cluster.wait_for_endpoints(running, 2)
        backup = cluster.store.backup()
        cluster.register(leaving, state='draining')
        cluster.wait_for_endpoints(running, 1)
        cluster.store.restore(backup)
        wait_for(
            lambda: running.host.endpoint_sync.view.replica.era == 1,
            'the new era',
        )
        assert running.host.directory.get(leaving.name) is None

    def test_endpoint_missing_from_the_backup_may_register_again(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        running = cluster.add_host()
        backup = cluster.store.backup()
        late, lost = cluster.add_endpoint(), cluster.add_endpoint()
        cluster.wait_for_endpoints(running, 3)
        cluster.store.restore(backup)
        wait_for(
            lambda: running.host.endpoint_sync.view.replica.era == 1,
            'the new era',
        )
        assert running.host.directory.get(late.name)
        cluster.register(late)
        cluster.wait_for_endpoints(running, 2)
        assert running.host.directory.get(late.name)
        assert running.host.directory.get(lost.name) is None

    def test_host_that_the_store_refuses_learns_the_era_from_a_reader(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint()
        hosts = [cluster.add_host() for _ in range(5)]
        wait_for_peers(hosts)
        refused = next(
            running.host
            for running in hosts
            if not running.host.mesh.peers.is_preferred_home(3)
        )
        refused.endpoint_sync.store_task.source.connection.port = 1
        refused.endpoint_sync.store_task.source.connection.close()
        backup = cluster.store.backup()
        cluster.add_endpoint()
        cluster.store.restore(backup)
        cluster.register(cluster.endpoints[1], capacity=9)
        wait_for(
            lambda: (
                refused.endpoint_sync.view.replica.era == 1
                and 9 in {spec.slots for spec in refused.directory.published}
            ),
            'the new era at the refused host',
        )


def wait_for_peers(hosts: list[RunningHost]) -> None:
    for running in hosts:
        wait_for(
            lambda peers=running.host.mesh.peers: (
                sum(map(peers.is_responsive, peers.hosts)) == len(hosts)
            ),
            'heartbeats between all hosts',
        )


class TestHeldBack:
    def test_restored_record_is_believed_once_it_has_stood(
        self, cluster: GatewayCluster
    ) -> None:
        endpoint = cluster.add_endpoint()
        directory = cluster.add_host().host.directory
        directory.on_deletion(endpoint.name, 1e6)
        restored = [
            KeyedRecord(endpoint.name, dump(endpoint.record('engines')), 0)
        ]
        directory.on_records(restored, 1e6, restored=True)
        directory.tick(1e6 + RESTORED_RECORD_S - 0.1)
        assert directory.get(endpoint.name) is None
        directory.tick(1e6 + RESTORED_RECORD_S)
        assert directory.get(endpoint.name)

    def test_record_that_nobody_has_read_since_is_not_believed(
        self, cluster: GatewayCluster
    ) -> None:
        """The host stood still, or is cut off from the store."""
        endpoint = cluster.add_endpoint()
        directory = cluster.add_host().host.directory
        directory.on_deletion(endpoint.name, 1e6)
        restored = [
            KeyedRecord(endpoint.name, dump(endpoint.record('engines')), 0)
        ]
        directory.on_records(restored, 1e6, restored=True)
        late = 1e6 + 2 * RESTORED_RECORD_S
        directory.tick(late, 1e6 + RESTORED_RECORD_S - 0.1)
        assert directory.get(endpoint.name) is None
        directory.tick(late + 1, late)
        assert directory.get(endpoint.name)

    def test_later_run_is_not_held_back(self, cluster: GatewayCluster) -> None:
        endpoint = cluster.add_endpoint()
        directory = cluster.add_host().host.directory
        directory.on_deletion(endpoint.name, 1e6)
        later = endpoint.record('engines', born=2)
        directory.on_records(
            [KeyedRecord(endpoint.name, dump(later), 0)], 1e6, restored=True
        )
        assert directory.get(endpoint.name)

    def test_displaced_endpoint_stays_so(self, cluster: GatewayCluster) -> None:
        endpoint = cluster.add_endpoint()
        directory = cluster.add_host().host.directory
        directory.on_displaced(endpoint.name)
        same = KeyedRecord(endpoint.name, dump(endpoint.record('engines')), 0)
        directory.on_records([same], 1e6, restored=True)
        assert directory.get(endpoint.name) is None


def dump(content: object) -> bytes:
    return json.dumps(content).encode()
