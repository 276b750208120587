"""How old the endpoint records are that a host holds for current."""

import socket
import threading
import time
from collections.abc import Iterator

import pytest
from cluster import free_port
from gatewaycluster import GatewayCluster, RunningHost, wait_for

from trefoilspool import clock
from trefoilspool.datagramsocket import DatagramSocket
from trefoilspool.endpointview import STALE_S, EndpointsRead
from trefoilspool.peers import HostInfo
from trefoilspool.replica import Position
from trefoilspool.store import Page

PEER = HostInfo('h2', '10.0.0.2', 1)
LONG_PAUSE_S = 30.0
SOON_S = 0.5


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
        wait_for(lambda: sync.view.current_at > before, 'a read that took long')
        assert sync.view.is_stale()
