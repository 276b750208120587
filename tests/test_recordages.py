"""How old the endpoint records are that a host holds for current."""

import socket
import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

import pytest
from cluster import free_port
from gatewaycluster import GatewayCluster, RunningHost, wait_for

from trefoilspool import clock
from trefoilspool.datagramsocket import DatagramSocket
from trefoilspool.endpointview import STALE_S, EndpointsRead
from trefoilspool.peers import HostInfo
from trefoilspool.replica import Position, Replica
from trefoilspool.replication import (
    MIN_PAUSE_S,
    PollInterval,
    StoreReplicationTask,
)
from trefoilspool.store import KeyedSource, Page

PEER = HostInfo('h2', '10.0.0.2', 1)
LONG_PAUSE_S = 30.0
SOON_S = 0.5


def ignore(records: object) -> None:
    """Do nothing."""


class CountingSource(KeyedSource):
    """Has no records, and counts how often it is read."""

    def __init__(self, read_s: float) -> None:
        self.read_s = read_s
        self.reads = 0

    def read_latest(self) -> Page:
        self.reads += 1
        time.sleep(self.read_s)
        return Page((), 0, complete=True)

    def read_from(self, start: int, wait_s: float, era: int = 0) -> Page:
        return self.read_latest()


class RunningTask(NamedTuple):
    task: StoreReplicationTask
    source: CountingSource
    ended: list[float]


@pytest.fixture
def running() -> Iterator[RunningTask]:
    """A task whose host is no reader, after its first read."""
    source = CountingSource(0.02)
    stopping = threading.Event()
    ended: list[float] = []
    task = StoreReplicationTask(
        'records',
        source,
        Replica(ignore),
        PollInterval(0, LONG_PAUSE_S),
        stopping,
        should_read=bool,
        on_read=lambda: ended.append(task.read_began_at),
    )
    runner = threading.Thread(target=task.run, daemon=True)
    runner.start()
    wait_for(lambda: ended, 'the first read')
    yield RunningTask(task, source, ended)
    stopping.set()
    task.read_soon()
    runner.join()


class TestReadSoon:
    def test_pause_ends(self, running: RunningTask) -> None:
        began_at = clock.now()
        running.task.read_soon()
        wait_for(lambda: running.ended[-1] >= began_at, 'a read')
        assert clock.now() - began_at < SOON_S

    def test_read_that_has_begun_does_not_count(
        self, running: RunningTask
    ) -> None:
        running.task.read_soon()
        wait_for(lambda: running.source.reads == 2, 'a read to begin')
        began_at = clock.now()
        running.task.read_soon()
        wait_for(lambda: running.ended[-1] >= began_at, 'another read')

    def test_many_callers_share_reads(self, running: RunningTask) -> None:
        until = clock.now() + SOON_S
        while clock.now() < until:
            running.task.read_soon()
            time.sleep(0.001)
        assert running.source.reads <= SOON_S / 0.05 + 2


class TestWaitingDatagram:
    def test_arrived_after_the_socket_was_last_empty(self) -> None:
        port = free_port()
        receiver = DatagramSocket('127.0.0.1', port)
        before = clock.now()
        receiver.receive(0)
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for body in (b'a', b'b'):
            sender.sendto(body, ('127.0.0.1', port))
        time.sleep(0.3)
        for body in (b'a', b'b'):
            assert receiver.receive(1)[0] == body
            assert before <= receiver.emptied_at < clock.now() - 0.25
        receiver.receive(0)
        assert receiver.emptied_at > clock.now() - 0.25
        receiver.close()
        sender.close()


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    yield made
    made.close()


def position_of(running: RunningHost) -> Position:
    return running.host.endpoint_sync.view.replica.position()


class TestAgeOfRecords:
    def running_host(self, cluster: GatewayCluster) -> RunningHost:
        cluster.add_endpoint(version='v1')
        return cluster.add_host()

    def test_notice_counts_from_when_its_sender_asked(
        self, cluster: GatewayCluster
    ) -> None:
        running = self.running_host(cluster)
        view = running.host.endpoint_sync.view
        heard_at = view.current_at + 1
        read = EndpointsRead(PEER, position_of(running), heard_at, 0.4)
        assert view.confirms(read)
        assert read.asked_at == pytest.approx(heard_at - 0.4)
        assert not view.confirms(read._replace(age_s=1.1))

    def test_notice_that_waited_does_not_count_as_new(
        self, cluster: GatewayCluster
    ) -> None:
        running = self.running_host(cluster)
        sync = running.host.endpoint_sync
        cluster.store.fault = 503
        wait_for(sync.view.is_stale, 'old records')
        # As after a stand-still: the socket was last empty before it.
        sync.mesh.socket.emptied_at = clock.now() - 2 * STALE_S
        heard_at = sync.mesh.socket.emptied_at
        sync.mesh.endpoints_read = EndpointsRead(
            PEER, position_of(running), heard_at
        )
        assert sync.find_newer() is None
        assert sync.view.is_stale()

    def test_answer_that_waited_does_not_count_as_new(
        self, cluster: GatewayCluster
    ) -> None:
        running = self.running_host(cluster)
        sync = running.host.endpoint_sync
        source = sync.store_task.source
        read_from = source.read_from
        held = threading.Event()

        def read_and_stand_still(
            start: int, wait_s: float, era: int = 0
        ) -> Page:
            page = read_from(start, wait_s, era)
            held.wait(2 * STALE_S)
            return page

        source.read_from = read_and_stand_still
        before = clock.now()
        wait_for(lambda: sync.view.read_at > before, 'a read that took long')
        assert sync.view.is_stale()


class TestReadsOfAllHosts:
    @pytest.mark.parametrize('hosts', [1, 13, 195, 670])
    def test_rate_of_the_fleet_is_bounded(
        self, cluster: GatewayCluster, hosts: int
    ) -> None:
        """A storm of streams taken up must not use up the store's rate."""
        running = cluster.add_host()
        peers = running.host.mesh.peers
        others = [
            HostInfo(f'p{number}', f'10.0.0.{number}', 1)
            for number in range(1, hosts)
        ]
        peers.on_reported(others, clock.now())
        pause_s = running.host.endpoint_sync.min_pause_s()
        assert hosts / pause_s <= 1000
        assert pause_s >= MIN_PAUSE_S


class TestAnnouncement:
    """Peers hear of the usual reads, not of those between them."""

    def test_wanted_read_is_not_announced(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint(version='v1')
        running = cluster.add_host()
        sync = running.host.endpoint_sync
        announced = []
        sync.mesh.broadcasts.send_endpoints_read = lambda *read: (
            announced.append(read)
        )
        sync.store_task.should_read = bool
        time.sleep(SOON_S)
        announced.clear()
        sync.announced_at = 0
        assert sync.confirm(clock.now())
        time.sleep(SOON_S)
        assert not announced


class TestConfirmation:
    def test_store_is_asked_after_the_question(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint(version='v1')
        running = cluster.add_host()
        sync = running.host.endpoint_sync
        for _ in range(3):
            since = clock.now()
            assert sync.confirm(since)
            assert sync.view.read_at >= since
            assert clock.now() - since < SOON_S

    def test_store_that_is_away_is_not_waited_for(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint(version='v1')
        sync = cluster.add_host().host.endpoint_sync
        cluster.store.fault = 503
        wait_for(
            lambda: sync.store_task.outage_began_at is not None, 'the outage'
        )
        since = clock.now()
        assert not sync.confirm(since)
        assert clock.now() - since < 0.1

    def test_silent_store_is_waited_for_briefly(
        self, cluster: GatewayCluster
    ) -> None:
        cluster.add_endpoint(version='v1')
        sync = cluster.add_host().host.endpoint_sync
        cluster.store.fault = 'silent'
        since = clock.now()
        assert not sync.confirm(since)
        assert clock.now() - since < 2 * SOON_S
