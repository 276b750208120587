"""Bytes of endpoints that are older than the request they are read for."""

import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost
from headers import PlatformDialect
from platformendpoint import PlatformEndpoint, ServedRequest
from platformstore import PlatformStore
from storecalls import StoreTopic

from trefoilspool.connections import (
    MAX_REQUESTS,
    ConnectionPool,
    EndpointConnection,
)
from trefoilspool.errors import LogOutageError

PATHS = ('/look/1', '/chat/1', '/book/1')
NOT_RUN = {429, 503, 408, 421}
REFUSAL = (
    b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nServer-Stamp: x\r\n'
    b'%bContent-Length: 0\r\n\r\n'
)


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    made.add_endpoint()
    yield made
    made.close()


class Endpoint:
    """Repeats its refusal on a connection that carries an id again."""

    def __init__(self, endpoint: PlatformEndpoint, refusals: int = 1) -> None:
        self.refusals = refusals
        self.refused: set[tuple[socket.socket, str]] = set()
        self.ran: list[str] = []
        self.lock = threading.Lock()
        endpoint.behaviour = self.serve  # type: ignore[assignment]

    def serve(self, served: ServedRequest) -> None:
        key = (served.sock, served.request.request_id)
        with self.lock:
            if key not in self.refused and self.refusals:
                self.refusals -= 1
                self.refused.add(key)
                served.refuse()
                return
        if key in self.refused:
            served.refuse()
        self.ran.append(served.request.request_id)
        if '/chat/' in served.request.line:
            served.stream()
        else:
            served.respond()


class TestRefusalOnceMore:
    @pytest.mark.parametrize('path', PATHS)
    def test_repeated_request_that_runs_is_not_said_not_to_have_run(
        self, cluster: GatewayCluster, path: str
    ) -> None:
        running = cluster.add_host()
        # Own further attempts are refused as well.
        endpoint = Endpoint(cluster.endpoints[0], refusals=1)
        for _ in range(4):
            response = cluster.call(running, path, Request_Id='same')
            if endpoint.ran:
                break
            assert response.status in NOT_RUN
        assert endpoint.ran == ['same']
        assert response.status not in NOT_RUN

    def test_attempts_of_one_request_get_connections_of_their_own(
        self, cluster: GatewayCluster
    ) -> None:
        running = cluster.add_host()
        cluster.call(running, '/look/1', Request_Id='before')
        endpoint = Endpoint(cluster.endpoints[0], refusals=1)
        response = cluster.call(running, '/look/1', Request_Id='same')
        assert (response.status in NOT_RUN) == (not endpoint.ran)

    def test_other_requests_use_the_kept_connection(
        self, cluster: GatewayCluster
    ) -> None:
        running = cluster.add_host()
        for number in range(6):
            cluster.call(running, '/look/1', Request_Id=f'id{number}')
        assert cluster.endpoints[0].connections == 1


class GreetingEndpoint(PlatformEndpoint):
    """Writes bytes on each connection before it reads a request."""

    greeting = b''

    def serve(self, sock: socket.socket) -> None:
        sock.sendall(self.greeting)
        super().serve(sock)


def greeted(cluster: GatewayCluster, greeting: bytes) -> RunningHost:
    """Return a host before an endpoint that writes a greeting."""
    endpoint = GreetingEndpoint('i-greeting')
    endpoint.greeting = greeting
    cluster.endpoints.append(endpoint)
    cluster.register(endpoint)
    cluster.store.put('keyed.servers', cluster.endpoints[0].name, b'')
    return cluster.add_host()


class TestGreeting:
    """A new connection has bytes before the request is sent."""

    @pytest.mark.parametrize('path', PATHS)
    @pytest.mark.parametrize('header', [b'', b'Request-Id: other\r\n'])
    def test_refusal_is_not_that_of_the_request(
        self, cluster: GatewayCluster, path: str, header: bytes
    ) -> None:
        running = greeted(cluster, REFUSAL % header)
        response = cluster.call(running, path, Request_Id='mine')
        ran = 'mine' in cluster.endpoints[-1].runs
        assert not (ran and response.status in NOT_RUN)

    def test_success_is_not_that_of_the_request(
        self, cluster: GatewayCluster
    ) -> None:
        running = greeted(
            cluster,
            b'HTTP/1.1 200 OK\r\nServer-Stamp: x\r\n'
            b'Content-Length: 5\r\n\r\nolder',
        )
        response = cluster.call(running, '/look/1', Request_Id='mine')
        assert response.body != b'older'

    def test_refusal_of_a_request_without_an_id_proves_nothing(
        self, cluster: GatewayCluster
    ) -> None:
        running = greeted(cluster, REFUSAL % b'')
        response = cluster.call(running, '/book/1', Request_Id='')
        ran = cluster.endpoints[-1].runs
        assert not (ran and response.status in NOT_RUN)


class TestSeveralIds:
    dialect = PlatformDialect()

    def test_response_with_two_ids_belongs_to_no_request(self) -> None:
        headers = [('Request-Id', 'older'), ('request-id', 'mine')]
        head = self.dialect.decode_response_head(503, headers)
        assert head.request_id not in {'older', 'mine'}

    def test_id_that_is_repeated_is_one_id(self) -> None:
        headers = [('Request-Id', 'mine'), ('request-id', 'mine')]
        head = self.dialect.decode_response_head(503, headers)
        assert head.request_id == 'mine'


class TestPool:
    @pytest.fixture
    def connect(self) -> Iterator[Callable[[], EndpointConnection]]:
        with socket.create_server(('127.0.0.1', 0)) as listener:
            port = listener.getsockname()[1]
            opened: list[EndpointConnection] = []

            def make() -> EndpointConnection:
                connection = EndpointConnection('127.0.0.1', port)
                connection.connect()
                opened.append(connection)
                return connection

            yield make
            for connection in opened:
                connection.close()

    def test_connection_that_carried_the_id_is_left_for_others(
        self, connect: Callable[[], EndpointConnection]
    ) -> None:
        pool = ConnectionPool()
        kept = connect()
        kept.carried.add('same')
        pool.release(kept)
        new = pool.acquire(kept.host, kept.port, 3, 'same')
        assert new is not kept
        assert pool.acquire(kept.host, kept.port, 3, 'other') is kept

    def test_connection_is_closed_after_some_requests(
        self, connect: Callable[[], EndpointConnection]
    ) -> None:
        pool = ConnectionPool()
        kept = connect()
        kept.carried.update(map(str, range(MAX_REQUESTS)))
        pool.release(kept)
        assert kept.sock is None


class TestStore:
    """The store's answers bear no ids."""

    def test_copy_of_an_answer_is_not_taken_for_the_next_one(self) -> None:
        store = PlatformStore()
        store.copy_after_s = 0.1
        topic = StoreTopic(store.address, 'own')
        topic.put('a', b'1')
        time.sleep(0.3)
        store.fault = 503
        with pytest.raises(LogOutageError):
            topic.put('a', b'2')
        topic.connection.close()
        store.close()
