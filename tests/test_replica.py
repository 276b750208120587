"""Tests of replicas of the store's topics and of their replication."""

import socket
import threading
import time
from collections.abc import Iterator

import pytest
from gatewaycluster import wait_for
from platformstore import PlatformStore
from storecalls import RESPONSE_TIMEOUT_S, StoreTopic

from trefoilspool.discovery import DiscoveryTask
from trefoilspool.errors import (
    LogOutageError,
    TrimmedError,
)
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.peertopics import decode_changes, encode_changes
from trefoilspool.replica import Replica
from trefoilspool.replication import (
    PeerFetchTask,
    PollInterval,
    StoreReplicationTask,
)
from trefoilspool.store import KeyedRecord, Page
from trefoilspool.storeconnection import MAX_IDLE_S

TOPIC = 'keyed.servers'
CONTENT = b'{"x": 1}'


def record(key: str, offset: int, content: bytes = CONTENT) -> KeyedRecord:
    return KeyedRecord(key, content, offset)


@pytest.fixture
def store() -> Iterator[PlatformStore]:
    store = PlatformStore()
    yield store
    store.close()


class Changes:
    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []

    def __call__(self, records: tuple[KeyedRecord, ...]) -> None:
        self.records += records

    @property
    def keys(self) -> list[str]:
        return [record.key for record in self.records]


class TestReplica:
    def test_older_record_of_a_key_is_ignored(self) -> None:
        changes = Changes()
        replica = Replica(changes)
        replica.apply(Page((record('a', 5),), 6, complete=False))
        replica.apply(Page((record('a', 3, b'old'),), 6, complete=False))
        assert changes.keys == ['a']
        assert replica.records['a'].content == CONTENT

    def test_complete_page_deletes_the_keys_it_lacks(self) -> None:
        changes = Changes()
        replica = Replica(changes)
        replica.apply(Page((record('a', 0), record('b', 1)), 2, complete=True))
        replica.apply(Page((record('b', 1),), 3, complete=True))
        # A peer that has read up to offset 2 must receive the deletion.
        assert changes.records[-1] == KeyedRecord('a', b'', 2)
        assert replica.changes_from(2).records == (KeyedRecord('a', b'', 2),)

    def test_stale_complete_page_deletes_nothing(self) -> None:
        changes = Changes()
        replica = Replica(changes)
        replica.apply(Page((record('a', 4),), 5, complete=True))
        replica.apply(Page((), 3, complete=True))
        assert changes.keys == ['a']

    def test_changes_survive_encoding_for_a_peer(self) -> None:
        replica = Replica(Changes())
        replica.apply(Page((record('a', 4), record('b', 7, b'')), 8, False))
        page = decode_changes(encode_changes(replica, '0.5'))
        assert page == Page((record('b', 7, b''),), 8, complete=False)


class FailingChanges(Changes):
    """Fails as often as ``failures`` says."""

    def __init__(self, failures: int = 1) -> None:
        super().__init__()
        self.failures = failures

    def __call__(self, records: tuple[KeyedRecord, ...]) -> None:
        if self.failures:
            self.failures -= 1
            raise RuntimeError('the records were not taken')
        super().__call__(records)


class TestUntakenPage:
    """The replica's user fails, so the page is still to be taken."""

    def test_page_is_taken_when_it_is_read_again(self) -> None:
        changes = FailingChanges()
        replica = Replica(changes)
        page = Page((record('a', 0), record('b', 1)), 2, complete=False)
        with pytest.raises(RuntimeError):
            replica.apply(page)
        assert replica.end == -1
        assert not replica.records
        replica.apply(page)
        assert changes.keys == ['a', 'b']
        assert replica.position() == (0, 2)

    def test_page_of_a_new_era_is_taken_when_it_is_read_again(self) -> None:
        changes = FailingChanges(failures=0)
        replica = Replica(changes)
        replica.apply(Page((record('a', 4), record('b', 6)), 7, complete=True))
        changes.failures = 1
        page = Page((record('a', 2, b'new'),), 3, complete=True, era=1)
        with pytest.raises(RuntimeError):
            replica.apply(page)
        assert replica.position() == (0, 7)
        assert replica.changes_from(7) == Page((), 7, complete=False)
        replica.apply(page)
        assert replica.position() == (1, 3)
        assert changes.records[-2:] == [
            record('a', 2, b'new'),
            KeyedRecord('b', b'', 2),
        ]

    def test_comparison_that_fails_changes_nothing(self) -> None:
        def fail(latest: KeyedRecord) -> object:
            if latest.key == 'b':
                raise RuntimeError('no value')
            return latest.content

        replica = Replica(Changes(), fail)
        with pytest.raises(RuntimeError):
            replica.apply(Page((record('a', 0), record('b', 1)), 2, True))
        assert not replica.records


class TestComparisonValue:
    """Endpoints renew their records every second; peers need only changes."""

    @pytest.fixture
    def replica(self) -> Replica:
        replica = Replica(Changes(), lambda latest: latest.content[:1])
        replica.apply(Page((record('a', 4, b'x1'),), 5, complete=False))
        return replica

    def test_record_with_an_equal_comparison_value_is_not_a_change(
        self, replica: Replica
    ) -> None:
        replica.apply(Page((record('a', 7, b'x2'),), 8, complete=False))
        assert replica.changed_end == 5
        assert replica.changes_from(5) == Page((), 8, complete=False)

    def test_record_with_a_new_comparison_value_is_a_change(
        self, replica: Replica
    ) -> None:
        replica.apply(Page((record('a', 7, b'y1'),), 8, complete=False))
        replica.apply(Page((record('a', 9, b'y2'),), 10, complete=False))
        assert replica.changed_end == 8
        assert replica.changes_from(5).records == (record('a', 9, b'y2'),)

    def test_deletion_is_a_change(self, replica: Replica) -> None:
        replica.apply(Page((record('a', 7, b''),), 8, complete=False))
        assert replica.changes_from(5).records == (record('a', 7, b''),)


class TestStoreTopic:
    def test_read_latest_reads_all_pages(self, store: PlatformStore) -> None:
        for number in range(8):
            store.put(TOPIC, f'k{number}', {'n': number})
        page = StoreTopic(store.address, TOPIC).read_latest()
        assert len(page.records) == 8
        assert (page.end, page.complete) == (8, True)

    def test_read_waits_for_a_record(self, store: PlatformStore) -> None:
        topic = StoreTopic(store.address, TOPIC)
        threading.Timer(0.05, store.put, (TOPIC, 'a', {'n': 1})).start()
        page = topic.read_from(0, 5)
        assert [latest.key for latest in page.records] == ['a']
        assert page.end == 1

    def test_deleted_key_is_an_empty_record(self, store: PlatformStore) -> None:
        store.put(TOPIC, 'a', b'')
        page = StoreTopic(store.address, TOPIC).read_from(0, 0)
        assert page.records == (KeyedRecord('a', b'', 0),)

    def test_read_of_trimmed_records_raises_trimmed_error(
        self, store: PlatformStore
    ) -> None:
        store.put(TOPIC, 'a', {'n': 1})
        store.trim(TOPIC)
        with pytest.raises(TrimmedError):
            StoreTopic(store.address, TOPIC).read_from(0, 0)

    @pytest.mark.parametrize('fault', [503, 429, 'reset'])
    def test_refused_read_is_an_outage(
        self, store: PlatformStore, fault: int | str
    ) -> None:
        topic = StoreTopic(store.address, TOPIC)
        with store.failing(fault), pytest.raises(LogOutageError):
            topic.read_from(0, 0)
        assert topic.read_from(0, 0).end == 0

    def test_idle_connection_that_went_silent_is_not_used(
        self, store: PlatformStore
    ) -> None:
        topic = StoreTopic(store.address, TOPIC)
        topic.read_latest()
        silent = socket.create_server(('127.0.0.1', 0))
        topic.connection.sock.close()
        topic.connection.sock = socket.create_connection(silent.getsockname())
        topic.connection.used_at -= MAX_IDLE_S
        started = time.monotonic()
        assert topic.read_latest().end == 0
        assert time.monotonic() - started < RESPONSE_TIMEOUT_S
        silent.close()

    def test_silent_store_is_an_outage_within_two_seconds(
        self, store: PlatformStore
    ) -> None:
        topic = StoreTopic(store.address, TOPIC)
        started = time.monotonic()
        with store.failing('silent'), pytest.raises(LogOutageError):
            topic.read_latest()
        assert time.monotonic() - started < 2


class TestWriting:
    def test_written_record_is_read(self, store: PlatformStore) -> None:
        topic = StoreTopic(store.address, TOPIC)
        topic.put('h1', b'card')
        assert topic.read_latest().records == (KeyedRecord('h1', b'card', 0),)

    @pytest.mark.parametrize('fault', [409, 412, 429, 503, 507, 'lost'])
    def test_write_that_may_have_failed_is_an_outage(
        self, store: PlatformStore, fault: int | str
    ) -> None:
        topic = StoreTopic(store.address, TOPIC)
        with store.failing(fault), pytest.raises(LogOutageError):
            topic.put('h1', b'card')

    def test_write_with_a_lost_response_is_repeated(
        self, store: PlatformStore
    ) -> None:
        peers = PeerRegistry(HostInfo('h1', '10.0.0.1', 1))
        topic = StoreTopic(store.address, TOPIC)
        task = DiscoveryTask(topic, peers, threading.Event())
        with store.failing('lost'), pytest.raises(LogOutageError):
            task.step()
        store.put(TOPIC, 'broken', b'\xff')
        task.step()
        assert [latest.key for latest in topic.read_latest().records] == [
            'broken',
            'h1',
        ]
        assert set(peers.hosts) == {'h1'}


class TestStoreReplicationTask:
    @pytest.fixture
    def replicated(
        self, store: PlatformStore
    ) -> Iterator[tuple[PlatformStore, Replica, StoreReplicationTask]]:
        replica = Replica(Changes())
        stopping = threading.Event()
        task = StoreReplicationTask(
            TOPIC,
            StoreTopic(store.address, TOPIC),
            replica,
            PollInterval(0.2, 0.01),
            stopping,
        )
        runner = threading.Thread(target=task.run, daemon=True)
        runner.start()
        yield store, replica, task
        stopping.set()
        runner.join()

    def test_whole_topic_is_read_after_records_were_trimmed(
        self, replicated: tuple[PlatformStore, Replica, StoreReplicationTask]
    ) -> None:
        store, replica, _ = replicated
        store.put(TOPIC, 'a', {'n': 1})
        wait_for(lambda: 'a' in replica.records, 'the first record')
        with store.failing(503):
            store.put(TOPIC, 'a', b'')
            store.put(TOPIC, 'b', {'n': 2})
            store.trim(TOPIC)
        wait_for(lambda: 'b' in replica.records, 'the second record')
        assert not replica.records['a'].content

    def test_end_of_an_outage_is_recorded(
        self, replicated: tuple[PlatformStore, Replica, StoreReplicationTask]
    ) -> None:
        store, _, task = replicated
        with store.failing(503):
            wait_for(lambda: task.outage_began_at, 'the outage')
        wait_for(lambda: task.outage_began_at is None, 'its end')
        assert time.monotonic() - task.outage_ended_at < 5


class TestPeerFetchTask:
    """All hosts hear of a change at once, and read the peer that told it."""

    def fetch_times(self, spread_s: float) -> list[float]:
        times: list[float] = []
        tasks = [
            PeerFetchTask(
                TOPIC,
                lambda: lambda: times.append(time.monotonic()),
                threading.Event(),
                min_polls_behind=1,
                spread_s=spread_s,
            )
            for _ in range(40)
        ]
        threads = [threading.Thread(target=task.step) for task in tasks]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return sorted(times)

    def test_fetches_of_many_hosts_are_spread(self) -> None:
        times = self.fetch_times(spread_s=0.6)
        assert len(times) == 40
        # Half of them take far less than this if all start at once.
        assert times[30] - times[10] > 0.1
