"""Each way in which a request that a host has read whole could get no answer.

Every test sends bytes to a running host and waits for what the caller gets.
"""

import contextlib
import http.client
import socket
import threading
import time
from collections.abc import Callable, Iterator

import logbook
import pytest
from gatewaycluster import (
    AUTHORITY,
    KEY,
    CallerResponse,
    GatewayCluster,
    RunningHost,
    route,
    wait_for,
)
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from platformendpoint import PlatformEndpoint, ServedRequest, slow
from waitress import buffers
from waitress.task import ThreadedTaskDispatcher

from trefoilspool.draining import MAX_DRAIN_S
from trefoilspool.endpointattempts import EndpointAttempts

LONG_BODY_BYTES = 8_000_000  # waitress keeps one MB in memory
ANSWER_BOUND_S = 3.0  # for a request that no endpoint needs to answer
DISCONNECT_BOUND_S = 0.5
KILL_S = 8.0  # after SIGTERM
EMPTY_BODY = 'Content-Length: 0'


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    yield made
    made.close()


@pytest.fixture
def log() -> Iterator[logbook.TestHandler]:
    handler = logbook.TestHandler(level='INFO')
    with handler.applicationbound():
        yield handler


def lines_about(log: logbook.TestHandler, request: str) -> list[str]:
    return [
        record.message
        for record in list(log.records)
        if record.extra.get('request') == request
    ]


def host_with_endpoint(
    cluster: GatewayCluster,
    behaviour: object = ServedRequest.respond,
) -> tuple[RunningHost, PlatformEndpoint]:
    endpoint = cluster.add_endpoint()
    endpoint.behaviour = behaviour
    running = cluster.add_host()
    cluster.wait_for_endpoints(running, 1)
    return running, endpoint


def head(
    *lines: str,
    path: str = '/look/1',
    request: str = 'q',
    method: str = 'POST',
    version: str = 'HTTP/1.1',
) -> bytes:
    """Return the head of a request that is complete but for its body."""
    text = '\r\n'.join(
        (
            f'{method} {path} {version}',
            f'Host: {AUTHORITY}',
            f'Request-Id: {request}',
            f'Authorization: Bearer {KEY}',
            *lines,
        )
    )
    return f'{text}\r\n\r\n'.encode('latin-1')


def with_body(line: str, body: bytes, **parts: str) -> bytes:
    """Return a head with one more line, and what follows it."""
    return b''.join((head(line, **parts), body))


class RawCaller:
    """A connection to a host on which a test sends bytes of its own."""

    def __init__(self, running: RunningHost) -> None:
        self.sock = socket.create_connection(
            (running.address, running.port), timeout=10
        )

    def send(self, sent: bytes) -> None:
        self.sock.sendall(sent)

    def response(self, method: str = 'POST') -> CallerResponse:
        """Read one response.

        Raises
        ------
        OSError, http.client.HTTPException
            When the connection ends, or nothing comes, before a whole head.
        """
        response = http.client.HTTPResponse(self.sock, method=method)
        response.begin()
        complete = True
        try:
            body = response.read()
        except http.client.IncompleteRead as error:
            body, complete = error.partial, False
        return CallerResponse(
            response.status,
            {name.lower(): text for name, text in response.getheaders()},
            body,
            complete,
        )

    def close(self) -> None:
        self.sock.close()


@contextlib.contextmanager
def caller_of(running: RunningHost) -> Iterator[RawCaller]:
    caller = RawCaller(running)
    try:
        yield caller
    finally:
        caller.close()


def exchange(running: RunningHost, sent: bytes) -> CallerResponse:
    with caller_of(running) as caller:
        caller.send(sent)
        return caller.response()


class TestUnexpectedFailure:
    """An exception that nobody foresaw, between the socket and an attempt."""

    def break_routing(
        self, running: RunningHost, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def find(authority: str, path: str) -> None:
            raise RuntimeError('unforeseen')

        routes = running.host.gateway.configuration.routes
        monkeypatch.setattr(routes, 'find', find)

    def break_serving(
        self, running: RunningHost, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def serve(request: object) -> None:
            raise RuntimeError('unforeseen')

        server = running.host.gateway.request_server
        monkeypatch.setattr(server, 'serve', serve)

    @pytest.mark.parametrize(
        ('broken', 'status', 'outcome'),
        [
            (break_routing, 503, 'not_run'),
            (break_serving, 502, 'may_have_run'),
        ],
    )
    def test_exception_is_answered_and_released(
        self,
        cluster: GatewayCluster,
        log: logbook.TestHandler,
        monkeypatch: pytest.MonkeyPatch,
        broken: Callable[..., None],
        status: int,
        outcome: str,
    ) -> None:
        running, _ = host_with_endpoint(cluster)
        broken(self, running, monkeypatch)
        response = cluster.call(running, Request_Id='q')
        assert response.status == status
        assert f'"outcome": "{outcome}"'.encode() in response.body
        wait_for(lambda: not running.host.gateway.open_count, 'the end')
        assert 'request_failed' in lines_about(log, 'q')

    def test_exception_after_the_send_releases_the_slot(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def start_response(*arguments: object) -> None:
            raise RuntimeError('unforeseen')

        running, _ = host_with_endpoint(cluster)
        monkeypatch.setattr(EndpointAttempts, 'start_response', start_response)
        assert cluster.call(running).status == 502
        assert not running.host.mesh.client.held

    def test_exception_in_a_stream_cuts_it(
        self,
        cluster: GatewayCluster,
        log: logbook.TestHandler,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        running, _ = host_with_endpoint(cluster, ServedRequest.stream)
        self.break_events(running, monkeypatch, after=2)
        response = cluster.call(running, '/talk/1', Request_Id='q')
        assert (response.status, response.complete) == (200, False)
        wait_for(lambda: not running.host.gateway.open_count, 'the end')
        assert 'request_failed' in lines_about(log, 'q')

    def test_exception_before_the_first_event_is_answered(
        self,
        cluster: GatewayCluster,
        log: logbook.TestHandler,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        running, _ = host_with_endpoint(cluster, ServedRequest.stream)
        self.break_events(running, monkeypatch, after=0)
        response = cluster.call(running, '/talk/1', Request_Id='q')
        assert response.status == 502
        wait_for(lambda: not running.host.gateway.open_count, 'the end')
        assert 'request_failed' in lines_about(log, 'q')

    def break_events(
        self,
        running: RunningHost,
        monkeypatch: pytest.MonkeyPatch,
        after: int,
    ) -> None:
        """Let the number of a stream's event raise after some events."""
        dialect = running.host.endpoint_client.dialect
        numbered = dialect.event_number
        seen = []

        def event_number(event: bytes) -> int | None:
            seen.append(event)
            if len(seen) > after:
                raise RuntimeError('unforeseen')
            return numbered(event)

        monkeypatch.setattr(dialect, 'event_number', event_number)


class TestResponseWithoutNewEvents:
    """A resumed stream that is cut before an event that the caller lacks."""

    def test_stream_is_cut_before_anything_is_sent(
        self, cluster: GatewayCluster
    ) -> None:
        def repeat_and_reset(served: ServedRequest) -> None:
            served.start_stream()
            served.event(0)
            time.sleep(0.1)
            served.reset()

        running, _ = host_with_endpoint(cluster, repeat_and_reset)
        # The version that began the stream is then known: there is no other.
        running.run_for_long()
        response = cluster.call(running, '/talk/1', Last_Event_Id='3')
        assert response.status == 502
        assert b'may_have_run' in response.body


class TestOddResponseHeaders:
    """Headers of an endpoint that WSGI does not let pass."""

    @pytest.mark.parametrize(
        'line',
        ['X-Long: one\r\n two', 'Trailers: x', 'X-Odd: caf\xe9'],
    )
    @pytest.mark.parametrize('path', ['/book/1', '/talk/1'])
    def test_response_is_relayed(
        self, cluster: GatewayCluster, line: str, path: str
    ) -> None:
        running, endpoint = host_with_endpoint(cluster, ServedRequest.respond)
        if path == '/talk/1':
            endpoint.behaviour = ServedRequest.stream
        endpoint.extra_headers = (line,)
        response = cluster.call(running, path)
        assert (response.status, response.complete) == (200, True)
        wait_for(lambda: not running.host.gateway.open_count, 'the end')


class TestWorkerThreads:
    """All threads are taken by requests that wait for silent endpoints."""

    @pytest.fixture
    def busy(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> Iterator[RunningHost]:
        monkeypatch.setattr('trefoilspool.workerpool.MAX_WORKERS', 2)
        running, endpoint = host_with_endpoint(cluster, slow(2.5))
        callers = [RawCaller(running) for _ in range(2)]
        for caller in callers:
            caller.send(head('Deadline-Ms: 4000', EMPTY_BODY, path='/book/1'))
        wait_for(lambda: len(endpoint.requests) == 2, 'both requests')
        yield running
        for caller in callers:
            assert caller.response().status == 200
            caller.close()

    def test_request_that_no_thread_takes_is_refused(
        self,
        cluster: GatewayCluster,
        busy: RunningHost,
        log: logbook.TestHandler,
    ) -> None:
        started = time.monotonic()
        response = cluster.call(busy, '/book/1', Request_Id='late')
        assert response.status == 503
        assert time.monotonic() - started < 1
        assert b'"outcome": "not_run"' in response.body
        assert float(response.headers['retry-after']) > 0
        assert 'late' not in cluster.endpoints[0].runs
        assert lines_about(log, 'late') == ['reject']

    def test_pages_do_not_wait_for_a_thread(
        self, cluster: GatewayCluster, busy: RunningHost
    ) -> None:
        address, _, port = busy.options.ready.partition(':')
        started = time.monotonic()
        connection = http.client.HTTPConnection(address, int(port), timeout=5)
        connection.request('GET', '/-/readyz')
        assert connection.getresponse().status == 200
        assert time.monotonic() - started < 0.5
        connection.close()

    def test_wait_for_a_thread_counts_towards_the_deadline(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr('trefoilspool.workerpool.MAX_WORKERS', 1)
        running, endpoint = host_with_endpoint(cluster, slow(0.3))
        callers = [RawCaller(running) for _ in range(2)]
        for caller in callers:
            caller.send(head('Deadline-Ms: 4000', EMPTY_BODY))
        assert [caller.response().status for caller in callers] == [200, 200]
        last = endpoint.requests[-1].headers
        assert int(last['deadline-ms']) <= 3750
        for caller in callers:
            caller.close()

    def test_thread_that_cannot_be_started_loses_no_request(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        running, _ = host_with_endpoint(cluster)
        monkeypatch.setattr(
            ThreadedTaskDispatcher, 'start_new_thread', start_no_thread
        )
        assert cluster.call(running).status == 503
        monkeypatch.undo()
        assert cluster.call(running).status == 200

    def test_request_waits_for_a_thread_that_exists(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        running, _ = host_with_endpoint(cluster, slow(0.2))
        assert cluster.call(running).status == 200
        monkeypatch.setattr(
            ThreadedTaskDispatcher, 'start_new_thread', start_no_thread
        )
        callers = [RawCaller(running) for _ in range(2)]
        for caller in callers:
            caller.send(head('Deadline-Ms: 4000', EMPTY_BODY))
        assert [caller.response().status for caller in callers] == [200, 200]
        for caller in callers:
            caller.close()


def start_no_thread(*arguments: object) -> None:
    raise RuntimeError("can't start new thread")


class TestKeptConnections:
    """Several requests on one connection, and its close."""

    def test_pipelined_requests_are_answered_in_order(
        self, cluster: GatewayCluster
    ) -> None:
        running, _ = host_with_endpoint(cluster)
        with caller_of(running) as caller:
            caller.send(
                b''.join(
                    head(EMPTY_BODY, request=f'q{number}')
                    for number in range(4)
                )
            )
            responses = [caller.response() for _ in range(4)]
        assert [response.status for response in responses] == [200] * 4
        assert [response.headers['request-id'] for response in responses] == [
            'q0',
            'q1',
            'q2',
            'q3',
        ]

    def test_request_behind_a_last_response_is_logged(
        self, cluster: GatewayCluster, log: logbook.TestHandler
    ) -> None:
        """The response says that the connection closes after it."""
        running, endpoint = host_with_endpoint(cluster, ServedRequest.stream)
        with caller_of(running) as caller:
            caller.send(head(EMPTY_BODY, path='/talk/1', request='first'))
            caller.send(head(EMPTY_BODY, path='/book/1', request='second'))
            response = caller.response()
            assert response.complete
            assert response.headers['connection'] == 'close'
            assert caller.sock.recv(1) == b''
        assert 'second' not in endpoint.runs
        wait_for(lambda: 'unanswered' in lines_about(log, 'second'), 'its line')

    def test_idle_connection_is_not_closed_under_a_request(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        running, _ = host_with_endpoint(cluster)
        with caller_of(running) as caller:
            caller.send(head(EMPTY_BODY))
            assert caller.response().status == 200
            wait_for(lambda: not running.server.has_requests(), 'the end')
            channel = next(running.server.channels())
            looping = threading.Event()
            sent = threading.Event()
            readable = channel.readable

            def wait_for_request() -> bool:
                looping.set()
                sent.wait(5)
                return readable()

            monkeypatch.setattr(channel, 'readable', wait_for_request)
            channel.server.pull_trigger()
            assert looping.wait(5)
            caller.send(head(EMPTY_BODY, request='next'))
            running.server.close_idle()
            sent.set()
            assert caller.response().status == 200


class TestEarlyAnswers:
    """Errors that are answered while the caller still sends."""

    @pytest.mark.parametrize(
        ('sent', 'status'),
        [
            (head('Content-Length: 70000000'), 413),
            (head('Content-Length: many'), 400),
            (head('Transfer-Encoding: gzip'), 501),
            (with_body('Transfer-Encoding: chunked', b'no size\r\n'), 400),
        ],
    )
    def test_answer_is_not_destroyed_by_a_reset(
        self, cluster: GatewayCluster, sent: bytes, status: int
    ) -> None:
        running, _ = host_with_endpoint(cluster)
        with caller_of(running) as caller:
            caller.send(sent)
            caller.send(b'x' * 100_000)
            time.sleep(0.2)
            caller.send(b'x' * 100_000)
            time.sleep(0.2)
            response = caller.response()
        assert (response.status, response.complete) == (status, True)

    def test_head_that_is_too_long_is_answered(
        self, cluster: GatewayCluster
    ) -> None:
        running, _ = host_with_endpoint(cluster)
        with caller_of(running) as caller:
            caller.send(with_body(f'X: {"x" * 70_000}', b'x' * 100_000))
            time.sleep(0.2)
            assert caller.response().status == 431

    def test_rejected_head_is_logged(
        self, cluster: GatewayCluster, log: logbook.TestHandler
    ) -> None:
        running, _ = host_with_endpoint(cluster)
        assert exchange(running, head('Content-Length: many')).status == 400
        assert lines_about(log, 'q') == ['reject']

    def test_caller_that_keeps_sending_is_cut_off(
        self, cluster: GatewayCluster
    ) -> None:
        """Reading on after the answer is bounded."""
        running, _ = host_with_endpoint(cluster)
        with caller_of(running) as caller:
            caller.send(head('Content-Length: 70000000'))
            started = time.monotonic()
            with pytest.raises(OSError):
                while time.monotonic() < started + 10:
                    caller.send(b'x' * 1000)
                    time.sleep(0.05)
        assert time.monotonic() - started < 6


class TestHalfClose:
    """A close of the sending side cannot be told from a hang-up."""

    def test_it_cancels_the_request(
        self, cluster: GatewayCluster, log: logbook.TestHandler
    ) -> None:
        freed_at: list[float] = []

        def wait_for_cancel(served: ServedRequest) -> None:
            if served.client_disconnected():
                freed_at.append(time.monotonic())

        running, endpoint = host_with_endpoint(cluster, wait_for_cancel)
        with caller_of(running) as caller:
            caller.send(head(EMPTY_BODY, 'Deadline-Ms: 4000'))
            wait_for(lambda: endpoint.requests, 'the request')
            caller.sock.shutdown(socket.SHUT_WR)
            closed_at = time.monotonic()
            assert caller.sock.recv(1) == b''
            wait_for(lambda: freed_at, 'the cancel')
        assert freed_at[0] - closed_at < DISCONNECT_BOUND_S
        wait_for(lambda: 'settle' in lines_about(log, 'q'), 'its line')

    def test_request_of_a_caller_that_has_gone_is_logged(
        self,
        cluster: GatewayCluster,
        log: logbook.TestHandler,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Its caller leaves while it waits for a thread."""
        monkeypatch.setattr('trefoilspool.workerpool.MAX_WORKERS', 1)
        running, endpoint = host_with_endpoint(cluster, slow(0.4))
        with caller_of(running) as first, caller_of(running) as second:
            first.send(head(EMPTY_BODY))
            wait_for(lambda: endpoint.requests, 'the first request')
            second.send(head(EMPTY_BODY, request='gone'))
            wait_for(lambda: running.server.worker_pool.queue, 'the second')
            second.close()
            assert first.response().status == 200
            wait_for(lambda: 'unanswered' in lines_about(log, 'gone'), 'a line')
        assert 'gone' not in endpoint.runs


# Name of the case, bytes sent, allowed statuses.
ODD_REQUESTS = {
    'chunked body': (
        with_body('Transfer-Encoding: chunked', b'3\r\nabc\r\n0\r\n\r\n'),
        {200},
    ),
    'chunked body with a trailer': (
        with_body(
            'Transfer-Encoding: chunked', b'1;a=b\r\na\r\n0\r\nT: 1\r\n\r\n'
        ),
        {200},
    ),
    'chunked HTTP/1.0': (
        with_body(
            'Transfer-Encoding: chunked',
            b'1\r\na\r\n0\r\n\r\n',
            version='HTTP/1.0',
        ),
        {400},
    ),
    'expect without a body': (head('Expect: 100-continue'), {200}),
    'expect with an empty body': (
        head('Expect: 100-continue', EMPTY_BODY),
        {200},
    ),
    'expect with a bad length': (
        head('Expect: 100-continue', 'Content-Length: x'),
        {400},
    ),
    'unknown expectation': (head('Expect: more', EMPTY_BODY), {200}),
    'HTTP/1.0': (head(EMPTY_BODY, version='HTTP/1.0'), {200}),
    'HTTP/1.0 kept': (
        head(EMPTY_BODY, 'Connection: keep-alive', version='HTTP/1.0'),
        {200},
    ),
    'HTTP/2.0': (head(EMPTY_BODY, version='HTTP/2.0'), {200, 400}),
    'no version': (head(EMPTY_BODY, version='').replace(b' \r', b'\r'), {200}),
    'HEAD': (head(path='/none/1', method='HEAD'), {404}),
    'target in brackets': (head(path='http://[x/look/1'), {400, 404}),
    'absolute target': (head(path=f'http://{AUTHORITY}/look/1'), {200, 404}),
    'target of two slashes': (head(path='//[x/look/1'), {400, 404}),
    'asterisk': (head(path='*'), {400, 404}),
    'target with a control character': (head(path='/look/\x01'), {400}),
    'target with a DEL': (head(path='/look/\x7f'), {400}),
    'target with a tab': (head(path='/look/\t'), {400}),
    'target with raw bytes': (head(path='/look/\xe9'), {400}),
    'two slashes with raw bytes': (head(path='//look/\xe9'), {400, 404}),
    'target of 16 kB': (head(path=f'/look/{"x" * 16_000}'), {200}),
    'target over maxHeaderBytes': (head(path=f'/look/{"x" * 60_000}'), {431}),
    'bad escapes': (head(path='/look/%zz%'), {200}),
    'empty host': (
        head(EMPTY_BODY).replace(f'Host: {AUTHORITY}'.encode(), b'Host:'),
        {404},
    ),
    'no host': (
        head(EMPTY_BODY).replace(f'Host: {AUTHORITY}\r\n'.encode(), b''),
        {404},
    ),
    'two hosts': (head(f'Host: {AUTHORITY}'), {400, 404}),
    'odd host': (head().replace(b'Host: ', b'Host: \xff['), {404}),
    'two ids': (head('Request-Id: r'), {200}),
    # A kept connection's response without an id may be a stray one.
    'no id': (head().replace(b'Request-Id: q\r\n', b''), {200, 400, 502}),
    'odd bytes': (head('X-Odd: \xff\x80\x01'), {200, 400}),
    'odd key': (head().replace(KEY.encode(), b'\xff\xfe'), {401}),
    'two lengths': (head(EMPTY_BODY, EMPTY_BODY), {400}),
    'length with a sign': (with_body('Content-Length: +1', b'a'), {400}),
    'length of 5000 digits': (head(f'Content-Length: {"9" * 5000}'), {400}),
    'folded header': (head('X-A: b', ' c'), {200, 400}),
    'no colon': (head('nothing'), {400}),
    'deadline of 400 digits': (head(f'Deadline-Ms: {"9" * 400}'), {200, 400}),
    'deadline of 5000 digits': (head(f'Deadline-Ms: {"9" * 5000}'), {200, 400}),
    'no time left': (head('Deadline-Ms: 0'), {503}),
    'negative deadline': (head('Deadline-Ms: -5'), {400, 503}),
    'counts of 30 digits': (head(f'Token-Counts: {"9" * 30},1'), {200, 400}),
    'counts of 5000 digits': (head(f'Token-Counts: {"9" * 5000},1'), {400}),
    'negative counts': (head('Token-Counts: -5,-5'), {200, 400}),
    'three counts': (head('Token-Counts: 1,2,3'), {400}),
    'odd hint': (head('Token-Counts: 1,9', 'Length-Hint: \xb2'), {200}),
    'hint of 5000 digits': (
        head('Token-Counts: 1,9', f'Length-Hint: {"9" * 5000}'),
        {200},
    ),
    'odd prefix': (head('Prefix-Hash: ,:,\xff:x,,'), {200, 400}),
    'prefix of 16 kB': (head(f'Prefix-Hash: {"a:1," * 4000}a:1'), {200}),
    'last event of 400 digits': (
        head(f'Last-Event-Id: {"9" * 400}'),
        {200, 400},
    ),
    'negative last event': (head('Last-Event-Id: -7'), {200, 400}),
}


class TestOddRequests:
    """Whole requests in unusual forms."""

    @pytest.fixture(scope='class')
    def running(self) -> Iterator[RunningHost]:
        cluster = GatewayCluster()
        running, _ = host_with_endpoint(cluster)
        yield running
        cluster.close()

    @pytest.mark.parametrize('name', ODD_REQUESTS)
    def test_it_is_answered(self, running: RunningHost, name: str) -> None:
        sent, statuses = ODD_REQUESTS[name]
        started = time.monotonic()
        with caller_of(running) as caller:
            caller.send(sent)
            response = caller.response('HEAD' if name == 'HEAD' else 'POST')
        assert response.status in statuses
        assert time.monotonic() - started < ANSWER_BOUND_S
        wait_for(lambda: not running.host.gateway.open_count, 'the end')

    def test_expected_continue_is_sent(self, running: RunningHost) -> None:
        with caller_of(running) as caller:
            caller.send(head('Expect: 100-continue', 'Content-Length: 3'))
            assert b' 100 ' in caller.sock.recv(100)
            caller.send(b'abc')
            assert caller.response().status == 200

    @settings(
        max_examples=150,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        target=st.text(
            st.characters(max_codepoint=255, blacklist_characters='\n'),
            max_size=12,
        ),
        name=st.sampled_from(
            (
                'Connection',
                'Content-Type',
                'Deadline-Ms',
                'Expect',
                'Last-Event-Id',
                'Length-Hint',
                'Model',
                'Prefix-Hash',
                'Token-Counts',
                'X-Other',
            ),
        ),
        text=st.text(st.characters(max_codepoint=255), max_size=20),
    )
    def test_any_head_is_answered(
        self, running: RunningHost, target: str, name: str, text: str
    ) -> None:
        sent = head(
            f'{name}: {text}',
            'X: y' if name == 'Deadline-Ms' else 'Deadline-Ms: 2000',
            EMPTY_BODY,
            path=f'/look/{target}',
        )
        assert 200 <= exchange(running, sent).status < 600


class TestFullDisk:
    """A body that is not small must not need a file."""

    def test_long_body_is_served(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def no_space(*arguments: object) -> None:
            raise OSError(28, 'No space left on device')

        running, _ = host_with_endpoint(cluster)
        monkeypatch.setattr(buffers.TempfileBasedBuffer, 'newfile', no_space)
        body = b'x' * 2_000_000
        sent = with_body(f'Content-Length: {len(body)}', body)
        assert exchange(running, sent).status == 200

    def test_long_response_is_relayed(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Its caller does not read yet."""

        def no_space(*arguments: object) -> None:
            raise OSError(28, 'No space left on device')

        body = b'x' * LONG_BODY_BYTES
        running, _ = host_with_endpoint(
            cluster, lambda served: served.respond(body=body)
        )
        monkeypatch.setattr(buffers.TempfileBasedBuffer, 'newfile', no_space)
        with caller_of(running) as caller:
            caller.send(head(EMPTY_BODY, 'Deadline-Ms: 4000'))
            time.sleep(0.5)
            response = caller.response()
        assert (response.status, len(response.body)) == (200, len(body))


class TestServerLoop:
    """The thread that reads from all callers."""

    def test_exception_does_not_end_it(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        running, _ = host_with_endpoint(cluster)
        with caller_of(running) as caller:
            caller.send(head(EMPTY_BODY))
            assert caller.response().status == 200
            channel = next(running.server.channels())
            raised = threading.Event()

            def readable() -> bool:
                monkeypatch.undo()
                raised.set()
                raise RuntimeError('unforeseen')

            monkeypatch.setattr(channel, 'readable', readable)
            channel.server.pull_trigger()
            assert raised.wait(5)
            caller.send(head(EMPTY_BODY))
            assert caller.response().status == 200
        assert cluster.call(running).status == 200

    def test_exception_in_a_channel_closes_it(
        self,
        cluster: GatewayCluster,
        log: logbook.TestHandler,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """A caller learns at once that no answer comes."""
        running, endpoint = host_with_endpoint(cluster, slow(0.3))
        with caller_of(running) as caller:
            caller.send(head(EMPTY_BODY))
            wait_for(lambda: endpoint.requests, 'the request')
            channel = next(running.server.channels())

            def fail() -> None:
                raise RuntimeError('unforeseen')

            monkeypatch.setattr(channel.requests[0], 'close', fail)
            assert caller.response().status == 200
            caller.send(head(EMPTY_BODY, request='next'))
            started = time.monotonic()
            with contextlib.suppress(ConnectionError):
                assert caller.sock.recv(1) == b''
            assert time.monotonic() - started < 2
        wait_for(lambda: 'request_failed' in lines_about(log, 'q'), 'its line')


class TestDrain:
    """SIGTERM while requests arrive, wait and run."""

    @contextlib.contextmanager
    def draining(self, running: RunningHost) -> Iterator[threading.Thread]:
        thread = threading.Thread(
            target=running.host.drain, args=(running.server,)
        )
        thread.start()
        wait_for(lambda: running.host.gateway.draining, 'the drain')
        try:
            yield thread
        finally:
            thread.join()

    def test_connection_made_just_before_is_served(
        self, cluster: GatewayCluster
    ) -> None:
        running, _ = host_with_endpoint(cluster)
        with caller_of(running) as caller, self.draining(running):
            time.sleep(0.3)
            caller.send(head(EMPTY_BODY))
            response = caller.response()
        assert response.status == 200
        assert response.headers['connection'] == 'close'

    def test_connection_made_during_the_drain_is_served(
        self, cluster: GatewayCluster
    ) -> None:
        running, _ = host_with_endpoint(cluster)
        with self.draining(running), caller_of(running) as caller:
            time.sleep(0.3)
            caller.send(head(EMPTY_BODY))
            assert caller.response().status == 200

    def test_request_that_waits_for_a_thread_is_answered(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr('trefoilspool.workerpool.MAX_WORKERS', 1)
        running, endpoint = host_with_endpoint(cluster, slow(1))
        with caller_of(running) as first, caller_of(running) as second:
            first.send(head('Deadline-Ms: 4000', path='/book/1'))
            wait_for(lambda: endpoint.requests, 'the first request')
            second.send(head('Deadline-Ms: 4000', path='/book/1'))
            with self.draining(running):
                assert second.response().status == 503
                assert first.response().status == 200

    def test_request_that_still_waits_at_the_end_is_answered(
        self, cluster: GatewayCluster
    ) -> None:
        """Its route allows more time than the drain."""
        cluster.configure(
            2, routeTable=[route('book', 'non_idempotent', timeoutMs=30000)]
        )
        running, endpoint = host_with_endpoint(
            cluster, ServedRequest.client_disconnected
        )
        endpoint.behaviour = lambda served: served.client_disconnected(20)
        wait_for(lambda: running.host.gateway.version == 2, 'version 2')
        with caller_of(running) as caller:
            caller.send(head(EMPTY_BODY, 'Deadline-Ms: 30000', path='/book/1'))
            wait_for(lambda: endpoint.requests, 'the request')
            started = time.monotonic()
            with self.draining(running):
                response = caller.response()
            assert response.status == 502
            assert b'may_have_run' in response.body
            assert time.monotonic() - started < KILL_S
        assert MAX_DRAIN_S < KILL_S

    def test_answer_survives_the_close_of_all_sockets(
        self, cluster: GatewayCluster
    ) -> None:
        """Bytes that nobody reads any more follow the request."""
        running, _ = host_with_endpoint(cluster)
        with contextlib.ExitStack() as stack:
            with self.draining(running):
                time.sleep(2.9)
                caller = stack.enter_context(caller_of(running))
                caller.send(with_body(EMPTY_BODY, b'x' * 100_000))
                time.sleep(0.1)
            running.server.close()
            time.sleep(0.1)
            assert caller.response().status == 503


class TestConfigurationChange:
    """A new version while requests are read, wait and run."""

    MANY_ROUTES = 4000

    def many_routes(self, **changes: object) -> list[dict[str, object]]:
        named = [
            route(f'extra{number}', 'idempotent')
            for number in range(self.MANY_ROUTES)
        ]
        return [route('book', 'non_idempotent', **changes), *named]

    def test_requests_in_flight_are_answered(
        self, cluster: GatewayCluster
    ) -> None:
        """Version after version removes routes and lowers the timeout."""
        running, endpoint = host_with_endpoint(cluster, slow(0.6))
        cluster.register(endpoint, capacity=6, sequence=2)
        responses: list[CallerResponse] = []
        threads = [
            threading.Thread(
                target=lambda path=path: responses.append(
                    cluster.call(running, path)
                )
            )
            for path in ('/look/1', '/book/1') * 8
        ]
        for number, thread in enumerate(threads):
            thread.start()
            time.sleep(0.05)
            if number % 4 == 3:
                cluster.configure(
                    2 + number,
                    routeTable=self.many_routes(timeoutMs=4000 - number * 100),
                )
        for thread in threads:
            thread.join(10)
        assert len(responses) == len(threads)
        assert {response.status for response in responses} <= {200, 404, 503}
        assert all(response.complete for response in responses)
        wait_for(lambda: not running.host.gateway.open_count, 'the end')

    def test_partly_read_request_is_answered(
        self, cluster: GatewayCluster
    ) -> None:
        running, _ = host_with_endpoint(cluster)
        with caller_of(running) as caller:
            caller.send(with_body('Content-Length: 3', b'a', path='/book/1'))
            cluster.configure(2, routeTable=self.many_routes())
            wait_for(lambda: running.host.gateway.version == 2, 'version 2')
            caller.send(b'bc')
            assert caller.response().status == 200
