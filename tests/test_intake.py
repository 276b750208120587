"""The room for callers' connections and bytes, and its time limits."""

import http.client
import pathlib
import socket
import threading
import time
from collections.abc import Iterator

import pytest
from cluster import free_port

from trefoilspool.callerchannel import Application
from trefoilspool.httpserver import HttpServer
from trefoilspool.intake.room import (
    Activity,
    ConnectionLoad,
    Room,
    connections_to_end,
    loads_to_end,
    room_of_machine,
)

MB = 1_000_000
LONGEST_BODY = 4_194_304
# The least and the usual machines of the deployments: megabytes, descriptors.
MACHINES = ((152, 1535), (222, 1535), (552, 8192), (0, 0))


def load(activity: Activity, held: int = 0, at: float = 0) -> ConnectionLoad:
    return ConnectionLoad(activity, held, at)


class TestMachine:
    @pytest.mark.parametrize(('memory_mb', 'descriptors'), MACHINES)
    def test_room_serves_clients_inside_the_limits(
        self, memory_mb: int, descriptors: int
    ) -> None:
        room = room_of_machine(memory_mb, descriptors)
        assert room.held_bytes > 4 * LONGEST_BODY
        assert room.response_bytes >= 2 * LONGEST_BODY
        assert room.connections >= 800
        assert room.page_connections >= 60

    def test_room_stays_within_the_machine(self) -> None:
        for memory_mb, descriptors in MACHINES[:-1]:
            room = room_of_machine(memory_mb, descriptors)
            assert 64 * MB + 2 * room.held_bytes < memory_mb * MB
            sockets = room.connections + 3 * room.page_connections + 280
            assert sockets <= descriptors - 200


class TestMemory:
    def test_nothing_ends_within_the_limit(self) -> None:
        loads = [('a', load(Activity.body, MB)), ('b', load(Activity.idle))]
        assert not loads_to_end(loads, MB)

    def test_without_progress_for_longest_ends_first(self) -> None:
        loads = [
            ('new', load(Activity.body, MB, 9)),
            ('stuck', load(Activity.body, MB, 1)),
            ('unread', load(Activity.answer, MB, 2)),
        ]
        assert loads_to_end(loads, 2 * MB) == ['stuck']
        assert loads_to_end(loads, MB) == ['stuck', 'unread']

    def test_running_and_small_requests_stay(self) -> None:
        loads = [
            ('running', load(Activity.busy, 3 * MB)),
            ('small', load(Activity.body, 1000)),
        ]
        assert not loads_to_end(loads, MB)


class TestConnections:
    def test_idle_before_sending_before_unread(self) -> None:
        loads = [
            ('unread', load(Activity.answer, at=1)),
            ('sends', load(Activity.body, at=2)),
            ('head', load(Activity.head, at=3)),
            ('busy', load(Activity.busy, at=0)),
            ('rested', load(Activity.idle, at=4)),
            ('idle', load(Activity.idle, at=5)),
        ]
        order = ['rested', 'idle', 'head', 'sends', 'unread']
        for count in range(len(order) + 1):
            assert connections_to_end(loads, 6 - count) == order[:count]
        assert connections_to_end(loads, 0) == order


class Echo(Application):
    """Answers each request with the length of its body."""

    def __call__(self, environ, start_response):  # type: ignore[no-untyped-def]
        body = environ['wsgi.input'].read()
        answer = str(len(body)).encode()
        start_response('200 OK', [('Content-Length', str(len(answer)))])
        return [answer]

    def request_id(self, environ) -> str:  # type: ignore[no-untyped-def]
        return ''


class Server:
    """A server with a small room."""

    def __init__(self, room: Room) -> None:
        self.port = free_port()
        address = f'127.0.0.1:{self.port}'
        self.http = HttpServer(Echo(), (address,), room)
        threading.Thread(target=self.http.run, daemon=True).start()

    def connect(self, *pieces: bytes) -> socket.socket:
        sock = socket.create_connection(('127.0.0.1', self.port), 10)
        for piece in pieces:
            sock.sendall(piece)
        return sock


def answer(sock: socket.socket) -> http.client.HTTPResponse:
    """Return the next response on a connection, read whole."""
    response = http.client.HTTPResponse(sock)
    response.begin()
    response.read()
    return response


def post(length: int) -> bytes:
    return b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n' % length


@pytest.fixture
def server() -> Iterator[Server]:
    made = Server(Room(MB, MB, 4, 4))
    yield made
    made.http.close()


class TestServer:
    def test_body_that_stops_is_refused_once_room_is_needed(
        self, server: Server
    ) -> None:
        stuck = server.connect(post(MB), b'x' * (MB - 200_000))
        time.sleep(0.2)
        sound = server.connect(post(600_000), b'x' * 600_000)
        assert answer(sound).status == 200
        refusal = answer(stuck)
        assert refusal.status == 503
        assert float(refusal.headers['Retry-After']) > 0

    def test_idle_connection_makes_room(self, server: Server) -> None:
        idle = [server.connect() for _ in range(5)]
        answered = server.connect(post(0))
        assert answer(answered).status == 200
        assert idle[0].recv(1) == b''

    def test_slow_head_is_answered(self, server: Server) -> None:
        server.http.keeper.header_timeout_s = 0.01
        slow = server.connect(post(0)[:20])
        time.sleep(1.2)
        server.http.keeper.end_overdue()
        assert answer(slow).status == 408

    def test_inactive_connection_is_closed(self, server: Server) -> None:
        server.http.keeper.idle_timeout_s = 0.01
        idle = server.connect(post(0))
        assert answer(idle).status == 200
        time.sleep(1.2)
        server.http.keeper.end_overdue()
        assert idle.recv(1) == b''

    def test_within_the_limits_nothing_ends(self, server: Server) -> None:
        server.http.keeper.header_timeout_s = 3
        server.http.keeper.idle_timeout_s = 3
        resting = server.connect(post(0))
        assert answer(resting).status == 200
        server.http.keeper.end_overdue()
        resting.sendall(post(0))
        assert answer(resting).status == 200


class TestDocs:
    def test_limits_have_a_line(self) -> None:
        page = pathlib.Path('docs/operators/callers.md').read_text()
        for name in ('--memory-mb', '--max-fds', 'headerTimeoutMs'):
            assert name in page
