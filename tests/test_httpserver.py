"""The HTTP server's connections while a host stops."""

import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest
from cluster import free_port
from gatewaycluster import wait_for
from waitress import wasyncore

from trefoilspool.httpserver import HttpServer

REQUEST = b'GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n'


def respond(environ: Any, start_response: Any) -> list[bytes]:
    start_response('200 OK', [('Content-Length', '4')])
    return [b'done']


class TestCloseIdle:
    @pytest.fixture
    def server(self) -> Iterator[HttpServer]:
        made = HttpServer(respond, (f'127.0.0.1:{free_port()}',))
        yield made
        made.close()

    def connect(self, server: HttpServer) -> socket.socket:
        """Return a connection that the server has accepted, but not read."""
        sock = socket.create_connection(server.server.socket.getsockname())
        sock.settimeout(5)
        sock.sendall(REQUEST)
        wasyncore.poll(1, server.sockets)
        assert len(list(server.channels())) == 1
        return sock

    def test_request_that_waits_unread(self, server: HttpServer) -> None:
        with self.connect(server) as sock:
            server.close_idle()
            threading.Thread(target=server.run, daemon=True).start()
            assert sock.recv(99).startswith(b'HTTP/1.1 200')

    def test_idle_connection(self, server: HttpServer) -> None:
        with self.connect(server) as sock:
            threading.Thread(target=server.run, daemon=True).start()
            response = b''
            while not response.endswith(b'done'):
                response += sock.recv(99)
            wait_for(server.close_idle, 'an idle connection')
            assert sock.recv(99) == b''
