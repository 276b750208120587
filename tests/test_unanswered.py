"""Each way in which a request that a host has read whole could get no answer.

Every test sends bytes to a running host and waits for what the caller gets.
"""

import contextlib
import http.client
import socket
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
    wait_for,
)
from platformendpoint import PlatformEndpoint, ServedRequest, slow

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
        assert running.host.gateway.open_count == 0
        assert 'request_failed' in lines_about(log, 'q')

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
        assert running.host.gateway.open_count == 0
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
