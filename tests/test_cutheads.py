"""Endpoints that stop in the head of a response, or in its framing."""

import http.client
import socket
import threading
from collections.abc import Callable, Iterator

import pytest
from gatewaycluster import CallerResponse, GatewayCluster, RunningHost
from platformendpoint import ServedRequest

from trefoilspool.boundedconnection import BoundedConnection, receive

NAME = 'q-cut'
OWN = 'Request-Id: {name}\r\nServer-Stamp: stamp.1\r\n'
OK = f'HTTP/1.1 200 OK\r\n{OWN}'
BODY = b'id: 0\ndata: x\n\n'
SIZED = f'{OK}Content-Length: 15\r\n\r\n'
# What is sent before the body, by the response's form.
HEADS = {
    'length': SIZED,
    'length-0': f'{OK}Content-Length: 0\r\n\r\n',
    'chunked': f'{OK}Transfer-Encoding: chunked\r\n\r\n',
    'to-the-end': f'{OK}Content-Type: text/event-stream\r\n\r\n',
    'interim': f'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{SIZED}',
    'line-feeds': SIZED.replace('\r\n', '\n'),
    'no-content': f'HTTP/1.1 204 No Content\r\n{OWN}\r\n',
}
# The body in chunks, before a trailer; it is whole once its last chunk is.
CHUNKS = 'f\r\nid: 0\ndata: x\n\n\r\n0\r\n'
TRAILER = 'X-Sum: 1\r\n\r\n'
ENDS: dict[str, Callable[[ServedRequest], None]] = {
    'close': ServedRequest.close,
    'reset': ServedRequest.reset,
}


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    yield made
    made.close()


class CutResponses:
    """An endpoint that sends the first bytes of a text and ends there."""

    def __init__(self, cluster: GatewayCluster, text: str, end: str) -> None:
        self.text = text
        self.end = ENDS[end]
        self.sent = 0
        self.cluster = cluster
        cluster.add_endpoint().behaviour = self.respond
        self.running: RunningHost = cluster.add_host()

    def respond(self, served: ServedRequest) -> None:
        if served.request.line.startswith('GET /look/whole'):
            served.respond()
            return
        text = self.text.format(name=served.request.request_id)
        served.sock.sendall(text.encode()[: self.sent])
        self.end(served)

    def call(self, path: str, sent: int) -> CallerResponse:
        """Return what a caller gets if so many bytes are sent."""
        self.sent = sent
        # A kept connection, so that requests that may be repeated use it.
        self.cluster.call(self.running, '/look/whole', 'GET')
        return self.cluster.call(
            self.running, path, body=b'%d' % sent, Request_Id=NAME
        )


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('form', HEADS)
class TestHeads:
    """MIXED, ORDER: no answer that ends in its head passes as a whole one."""

    @pytest.mark.parametrize('path', ['/book/1', '/look/1', '/talk/1'])
    def test_cut_after_each_byte(
        self, cluster: GatewayCluster, form: str, end: str, path: str
    ) -> None:
        cut = CutResponses(cluster, HEADS[form], end)
        statuses = {
            sent: cut.call(path, sent).status
            for sent in range(len(HEADS[form].format(name=NAME)))
        }
        # It was sent: 503 would say that it never ran.
        assert set(statuses.values()) == {502}


class TestTrailers:
    def test_cut_within_a_chunk_or_a_trailer(
        self, cluster: GatewayCluster
    ) -> None:
        head = HEADS['chunked'].format(name=NAME)
        cut = CutResponses(
            cluster, f'{HEADS["chunked"]}{CHUNKS}{TRAILER}', 'close'
        )
        whole = len(head) + len(CHUNKS)
        for sent in range(len(head), whole):
            assert cut.call('/book/1', sent).status == 502
        for sent in range(whole, whole + len(TRAILER)):
            response = cut.call('/book/1', sent)
            assert (response.status, response.body) == (200, BODY)


class TestPages:
    """What the store and other hosts answer is read by the same bounds."""

    @pytest.mark.parametrize('form', HEADS)
    def test_cut_head(self, form: str) -> None:
        head = HEADS[form].format(name=NAME).encode()
        with socket.create_server(('127.0.0.1', 0)) as listener:
            threading.Thread(
                target=send_cut, args=(listener, head), daemon=True
            ).start()
            for _ in head:
                connection = BoundedConnection(*listener.getsockname())
                connection.request('GET', '/')
                with pytest.raises((OSError, http.client.HTTPException)):
                    receive(connection, 1)
                connection.close()


def send_cut(listener: socket.socket, head: bytes) -> None:
    """Answer each connection with one byte more of a head."""
    for sent, _ in enumerate(head):
        sock = listener.accept()[0]
        with sock:
            sock.recv(1000)
            sock.sendall(head[:sent])
