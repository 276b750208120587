"""Each reader of answers, given answers that are broken in each way."""

import http.client
import io
import json
import pathlib
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest
from platformendpoint import read_request
from storecalls import StoreTopic
from test_tools import make_job

import trefoilspool
from trefoilspool.client import KindCall, call_kind
from trefoilspool.endpoint import EndpointRequest
from trefoilspool.endpoints.http import HttpEndpoint
from trefoilspool.errors import (
    EndpointError,
    HostUnreachableError,
    LogError,
    StreamCutError,
)
from trefoilspool.events import VictimClass
from trefoilspool.explaining.askhost import ask_host
from trefoilspool.filter import Response
from trefoilspool.forward import Forwarder
from trefoilspool.peertopics import peer_page
from trefoilspool.platform import HostEntry
from trefoilspool.platforms.http import HttpLog, HttpRosterService
from trefoilspool.problems import MayHaveRunError

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
RECEIVE_BUFFER_BYTES = 8192
UPLOAD = 'u' * 4_000_000
RESET_PAUSE_S = 0.2
LONG_PAUSE_S = 1.0
EVENTS = b'id: 0\ndata: one\n\nid: 1\ndata: two\n\ndata: [DONE]\n\n'


class AnswerSource:
    """Sends one answer to each request, whoever asks.

    Attributes
    ----------
    answer : bytes
        What is sent.
    resets : bool
        Whether it is sent before a request's body has been read, and the
        connection then reset.
    pause_s : float
        Seconds before the connection is closed.
    """

    def __init__(self) -> None:
        self.answer = b''
        self.resets = False
        self.pause_s = 0.0
        self.listener = socket.socket()
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen()
        self.host, self.port = self.listener.getsockname()
        threading.Thread(target=self.run, daemon=True).start()

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    @property
    def url(self) -> str:
        return f'http://{self.address}'

    def run(self) -> None:
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                return
            with sock:
                self.serve(sock)

    def serve(self, sock: socket.socket) -> None:
        """Answer a request; no file of the socket keeps it open."""
        received = b''
        while b'\r\n\r\n' not in received:
            piece = sock.recv(1024)
            assert piece, 'the reader ended within the head of its request'
            received += piece
        head, _, body = received.partition(b'\r\n\r\n')
        request = read_request(io.BytesIO(b'%b\r\n\r\n' % head))
        assert request is not None
        left = int(request.headers.get('content-length', 0)) - len(body)
        while left > 0 and not self.resets:
            piece = sock.recv(65_536)
            assert piece, 'the reader ended within its request'
            left -= len(piece)
        sock.sendall(self.answer)
        time.sleep(self.pause_s)
        if self.resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def close(self) -> None:
        # A mere close would leave it open while the thread waits on it.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


@pytest.fixture
def source() -> Iterator[AnswerSource]:
    made = AnswerSource()
    yield made
    made.close()


def read_store(source: AnswerSource) -> object:
    return StoreTopic(source.address, 'keyed.op').read_latest()


def read_peer(source: AnswerSource) -> object:
    return peer_page(source.host, source.port, '/endpoints')


def append_to_log(source: AnswerSource) -> object:
    return HttpLog(source.url).append('claims', UPLOAD)


def read_roster(source: AnswerSource) -> object:
    return HttpRosterService(source.url).fetch()


def forward(source: AnswerSource) -> object:
    job = make_job(1, 1, VictimClass.resumable)
    job = job._replace(arrival=job.arrival._replace(body=UPLOAD.encode()))
    host = HostEntry('h', 'z', source.host, source.port, 1, 'live')
    response = Forwarder().forward(job, host)
    if not isinstance(response, Response):
        raise response
    return b''.join(response.chunks)


ATTEMPT = EndpointRequest('POST', '/', UPLOAD.encode(), {}, 'a', 0)


def read_endpoint_body(source: AnswerSource) -> object:
    stream = HttpEndpoint(source.url).open(ATTEMPT, 2, lambda _: None)
    try:
        return stream.body()
    finally:
        stream.close()


def read_endpoint_tokens(source: AnswerSource) -> object:
    stream = HttpEndpoint(source.url).open(ATTEMPT, 2, lambda _: None)
    try:
        return list(stream.tokens())
    finally:
        stream.close()


def read_endpoint_load(source: AnswerSource) -> object:
    return HttpEndpoint(source.url).load()


def ask_where(source: AnswerSource) -> object:
    return ask_host(source.address, {'path': '/look/1'})


def call(source: AnswerSource) -> object:
    body = {'prompt': UPLOAD}
    address = (source.host, source.port)
    return call_kind(address, 'token', KindCall('/', '', body))


class Reader(NamedTuple):
    """A reader of answers, and the body of one that it takes.

    Attributes
    ----------
    errors : tuple of type
        What it raises instead of an answer.
    unended : bytes
        A body that does not say by itself that it is whole, if that one does.
    """

    read: Callable[[AnswerSource], object]
    body: bytes
    errors: tuple[type[Exception], ...] = (LogError,)
    status: int = 200
    unended: bytes = b''

    def with_unended_body(self) -> 'Reader':
        return self._replace(body=self.unended or self.body)


def encoded(**fields: object) -> bytes:
    return json.dumps(fields).encode()


LIBRARY_ERRORS = (OSError, http.client.HTTPException)
READERS = {
    'store': Reader(read_store, encoded(items=[], more=False, end=0)),
    'peer': Reader(read_peer, b'page'),
    'log': Reader(append_to_log, encoded(offset=3), status=201),
    'roster': Reader(read_roster, encoded(hosts=[], endpoints=[])),
    'other host': Reader(forward, b'done', (MayHaveRunError,)),
    'body of an endpoint': Reader(
        read_endpoint_body, b'done', (EndpointError,)
    ),
    'tokens of an endpoint': Reader(
        read_endpoint_tokens,
        EVENTS,
        (EndpointError,),
        unended=EVENTS.partition(b'data: [DONE]')[0],
    ),
    'load of an endpoint': Reader(
        read_endpoint_load,
        encoded(running=1, waiting=2, leaving=False),
        (EndpointError,),
    ),
    'explanation': Reader(
        ask_where, encoded(slot='i-1'), (HostUnreachableError,)
    ),
    'client': Reader(call, b'done', LIBRARY_ERRORS),
}


def status_line(reader: Reader) -> bytes:
    return b'HTTP/1.1 %d OK\r\n' % reader.status


def sized(reader: Reader) -> bytes:
    return b'Content-Length: %d\r\n' % len(reader.body)


def plain(reader: Reader) -> bytes:
    head = status_line(reader) + sized(reader)
    return b'%b\r\n%b' % (head, reader.body)


def chunked(reader: Reader, end: bytes) -> bytes:
    head = b'%bTransfer-Encoding: chunked\r\n\r\n' % status_line(reader)
    return b'%b%x\r\n%b%b' % (head, len(reader.body), reader.body, end)


Breaker = Callable[[Reader], bytes]
PLAIN: dict[str, Breaker] = {
    'length': plain,
    'chunks': lambda reader: chunked(reader, b'\r\n0\r\n\r\n'),
    'end of the connection': lambda reader: (
        b'%b\r\n%b' % (status_line(reader), reader.body)
    ),
}
BROKEN_HEADS: dict[str, Breaker] = {
    'status 000': lambda reader: plain(reader).replace(
        b'%d' % reader.status, b'000', 1
    ),
    'status with underscores': lambda reader: plain(reader).replace(
        b'%d' % reader.status, b'%d_%02d' % divmod(reader.status, 100), 1
    ),
    'version': lambda reader: plain(reader).replace(b'1.1', b'1.x', 1),
    'blank in a name': lambda reader: plain(reader).replace(
        b'\r\n', b'\r\nX Y: a\r\n', 1
    ),
    'envelope': lambda reader: plain(reader).replace(
        b'\r\n', b'\r\nFrom x: a\r\n', 1
    ),
    'carriage return in a value': lambda reader: plain(reader).replace(
        b'\r\n', b'\r\nX: a\rY: b\r\n', 1
    ),
    'end within the head': lambda reader: status_line(reader) + sized(reader),
}
BROKEN_ENDS: dict[str, Breaker] = {
    'end within a body': lambda reader: plain(reader)[:-1],
    'end of a chunk': lambda reader: chunked(reader, b'XX0\r\n\r\n'),
    'after the last chunk': lambda reader: chunked(
        reader, b'\r\n0\r\nodd\r\n\r\n'
    ),
    'no last chunk': lambda reader: chunked(reader, b'\r\n'),
}


@pytest.mark.parametrize('name', READERS)
class TestReaders:
    @pytest.mark.parametrize('kind', PLAIN)
    def test_plain_answer_is_taken(
        self, source: AnswerSource, name: str, kind: str
    ) -> None:
        reader = READERS[name]
        source.answer = PLAIN[kind](reader)
        assert reader.read(source) is not None

    # MIXED: an answer that is broken became an answer, or a decision.
    @pytest.mark.parametrize('kind', BROKEN_HEADS)
    def test_broken_head_is_none(
        self, source: AnswerSource, name: str, kind: str
    ) -> None:
        reader = READERS[name]
        source.answer = BROKEN_HEADS[kind](reader)
        with pytest.raises(reader.errors):
            reader.read(source)

    @pytest.mark.parametrize('kind', BROKEN_ENDS)
    def test_broken_end_is_none(
        self, source: AnswerSource, name: str, kind: str
    ) -> None:
        reader = READERS[name].with_unended_body()
        source.answer = BROKEN_ENDS[kind](reader)
        with pytest.raises(reader.errors):
            reader.read(source)

    def test_reset_is_no_end_of_a_body(
        self, source: AnswerSource, name: str
    ) -> None:
        reader = READERS[name].with_unended_body()
        source.answer = PLAIN['end of the connection'](reader)
        source.resets = True
        source.pause_s = RESET_PAUSE_S
        with pytest.raises(reader.errors):
            reader.read(source)


class TestProduct:
    def test_every_connection_keeps_to_the_grammar(self) -> None:
        package = pathlib.Path(trefoilspool.__file__).parent
        lenient = [
            path.name
            for path in package.rglob('*.py')
            if 'http.client.HTTPConnection(' in path.read_text()
        ]
        assert not lenient


class TestAbort:
    # At the deadline of a request the part of a body passed as a whole one.
    @pytest.mark.parametrize('length', [b'', b'Content-Length: 9\r\n'])
    def test_end_by_this_host_is_no_end_of_a_body(
        self, source: AnswerSource, length: bytes
    ) -> None:
        source.answer = b'HTTP/1.1 200 OK\r\n%b\r\npart' % length
        source.pause_s = LONG_PAUSE_S
        aborts: list[Callable[[], None]] = []
        stream = HttpEndpoint(source.url).open(ATTEMPT, 2, aborts.append)
        threading.Timer(RESET_PAUSE_S, aborts[0]).start()
        with pytest.raises(StreamCutError):
            stream.body()
        stream.close()

    def test_whole_body_is_taken_after_it(self, source: AnswerSource) -> None:
        source.answer = plain(READERS['body of an endpoint'])
        aborts: list[Callable[[], None]] = []
        stream = HttpEndpoint(source.url).open(ATTEMPT, 2, aborts.append)
        time.sleep(RESET_PAUSE_S)
        aborts[0]()
        assert stream.body() == b'done'
        stream.close()


class TestEvents:
    # A token that was cut was passed on, and the stream went on after it.
    def test_cut_line_is_no_token(self, source: AnswerSource) -> None:
        source.answer = (
            b'HTTP/1.1 200 OK\r\n\r\nid: 0\ndata: one\n\nid: 1\ndata: t'
        )
        stream = HttpEndpoint(source.url).open(ATTEMPT, 2, lambda _: None)
        tokens = stream.tokens()
        assert next(tokens).payload == 'one'
        with pytest.raises(StreamCutError):
            next(tokens)
        stream.close()
