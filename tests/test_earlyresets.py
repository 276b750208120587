"""Connections that endpoints reset while a request is being written."""

import socket
import struct
from collections.abc import Callable, Iterator

import pytest
from earlyendpoint import (
    EarlyAnswer,
    EarlyEndpoint,
    close_unread,
    end_and_reset,
    end_in_order,
    reset_at_once,
    reset_later,
)
from gatewaycluster import CallerResponse, GatewayCluster
from headers import PlatformDialect
from platformendpoint import ServedRequest
from test_relays import RelayWorld

from trefoilspool import clock
from trefoilspool.connections import ConnectionPool, EndpointConnection
from trefoilspool.endpointresponse import EndpointResponse
from trefoilspool.errors import StreamCutError
from trefoilspool.paths.relayedsocket import RelayedSocket
from trefoilspool.readwait import ReadWait, give_up

UPLOAD = b'u' * 4_000_000
PART = b'p' * 3000
EVENTS = b''.join(b'id: %d\ndata: piece\n\n' % number for number in range(3))
STREAM = 'Content-Type: text/event-stream'
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
Ending = Callable[[ServedRequest], None]
RESETS: dict[str, Ending] = {
    'at once': reset_at_once,
    'later': reset_later,
    'unread bytes': close_unread,
}
# Answers of which only the end of the connection ends the body.
UNSIZED = {
    'part of a body': EarlyAnswer((), PART, reset_at_once),
    'head alone': EarlyAnswer((), b'', reset_at_once),
    'events': EarlyAnswer((STREAM,), EVENTS, reset_at_once),
}
WHOLE = {
    'length': EarlyAnswer(
        (f'Content-Length: {len(PART)}',), PART, close_unread
    ),
    'chunks': EarlyAnswer(
        ('Transfer-Encoding: chunked',),
        b'%x\r\n%s\r\n0\r\n\r\n' % (len(PART), PART),
        close_unread,
    ),
    'end in order': EarlyAnswer((), PART, end_in_order),
    'end and reset together': EarlyAnswer((), PART, end_and_reset),
}


class EarlyWorld(GatewayCluster):
    endpoint_class = EarlyEndpoint


class EarlyRelayWorld(RelayWorld):
    endpoint_class = EarlyEndpoint


@pytest.fixture(params=['own connection', 'relayed'])
def cluster(request: pytest.FixtureRequest) -> Iterator[GatewayCluster]:
    """Yield a cluster whose first host has one endpoint.

    The host may have to ask another one to relay its connections.
    """
    if request.param == 'relayed':
        made: GatewayCluster = EarlyRelayWorld()
        made.start()
    else:
        made = EarlyWorld()
        made.add_endpoint()
        made.wait_for_endpoints(made.add_host(), 1)
    yield made
    made.close()


def upload(
    cluster: GatewayCluster, path: str, answer: EarlyAnswer
) -> CallerResponse:
    """Return what the caller of a long upload gets."""
    cluster.endpoints[0].answer = answer
    return cluster.call(cluster.hosts[0], path, body=UPLOAD)


class TestUpload:
    # MIXED: callers got a part of a body, or of a stream, as a whole one.
    @pytest.mark.parametrize('ending', RESETS)
    @pytest.mark.parametrize('form', UNSIZED)
    @pytest.mark.parametrize('path', ['/look/1', '/book/1', '/talk/1'])
    def test_reset_is_no_end_of_a_body(
        self, cluster: GatewayCluster, path: str, form: str, ending: str
    ) -> None:
        answer = UNSIZED[form]._replace(end=RESETS[ending])
        seen = upload(cluster, path, answer)
        assert not (seen.status == 200 and seen.complete)

    @pytest.mark.parametrize('form', WHOLE)
    @pytest.mark.parametrize('path', ['/look/1', '/book/1'])
    def test_whole_answer_is_delivered(
        self, cluster: GatewayCluster, path: str, form: str
    ) -> None:
        seen = upload(cluster, path, WHOLE[form])
        assert (seen.status, seen.body, seen.complete) == (200, PART, True)

    def test_whole_stream_is_delivered(self, cluster: GatewayCluster) -> None:
        answer = EarlyAnswer((STREAM,), EVENTS, end_in_order)
        seen = upload(cluster, '/talk/1', answer)
        assert (seen.status, seen.body, seen.complete) == (200, EVENTS, True)


class TestLookAhead:
    """A look at whether bytes have come may get the error of a reset."""

    @pytest.mark.parametrize('is_reset', [True, False])
    def test_reset_that_was_met_is_remembered(self, is_reset: bool) -> None:
        with socket.create_server(('127.0.0.1', 0)) as listener:
            response = open_response(listener, is_reset=is_reset)
            chunks = response.chunks()
            assert next(chunks) == b'part'
            assert response.connection.wait_readable(2)
            assert not response.connection.has_bytes()
            if is_reset:
                with pytest.raises(StreamCutError):
                    next(chunks)
            else:
                assert not list(chunks)


class TestRelayed:
    def test_only_the_relay_tells_of_an_end(self) -> None:
        connection = EndpointConnection('127.0.0.1', 1)
        near, relay = socket.socketpair()
        with near, relay:
            connection.tcp_socket = RelayedSocket(near)
            connection.note_failure(ConnectionResetError())
            assert not connection.is_reset


def open_response(
    listener: socket.socket, *, is_reset: bool
) -> EndpointResponse:
    """Return a response without a length whose connection has ended."""
    connection = EndpointConnection(*listener.getsockname())
    connection.open_with(
        lambda: socket.create_connection(listener.getsockname())
    )
    connection.request('GET', '/')
    peer = listener.accept()[0]
    peer.recv(1000)
    peer.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
    connection.limits.start_head(clock.now() + 2)
    received = connection.getresponse()
    if is_reset:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.close()
    return EndpointResponse(
        ConnectionPool(),
        connection,
        received,
        PlatformDialect().decode_response_head(200, []),
        ReadWait(connection, clock.now() + 2, give_up),
    )
