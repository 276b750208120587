"""Requests that come while a host is stopped as planned."""

import http.client
import threading
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

import pytest
from gatewaycluster import AUTHORITY, KEY, WAIT_S, GatewayCluster, RunningHost
from platformendpoint import ServedRequest

from trefoilspool.draining import await_open_requests

STEP_S = 0.1
STEPS = 71  # the last begins just before open requests are ended
WORK_S = 12.0  # longer than the grace
# Requests that were sent by then may be cut at the end of the grace, which
# takes eight seconds.
LAST_TAKEN_S = 3.0
SLOW_END_S = 0.45


class Outcome(NamedTuple):
    """What a caller got for a request that it sent in the grace.

    Attributes
    ----------
    sent_s : float
        When it was sent, in seconds since the stop began.
    status : int
        Status of a whole response, 0 for a connection that was closed.
    """

    request_id: str
    sent_s: float
    status: int


class StoppedHost:
    """A host that is stopped while callers hold connections to it."""

    def __init__(self, cluster: GatewayCluster) -> None:
        self.endpoint = cluster.add_endpoint(capacity=200)
        self.endpoint.behaviour = self.respond
        self.running: RunningHost = cluster.add_host()
        self.stopped_at = 0.0
        self.stopping = threading.Event()
        self.outcomes: list[Outcome] = []

    def respond(self, served: ServedRequest) -> None:
        """Stream until a moment of the grace, or work past its end."""
        line = served.request.line
        if line.startswith('POST /book'):
            served.client_disconnected(WORK_S)
            served.close()
            return
        served.start_stream()
        served.event(0)
        self.stopping.wait()
        ends_at = self.stopped_at + float(line.split('/')[2].split()[0])
        time.sleep(max(0, ends_at - time.monotonic()))
        served.end_stream()

    def call_late(self, sent_s: float, route: str) -> None:
        """Read a stream to its end in the grace, then send a request."""
        connection = http.client.HTTPConnection(
            self.running.address, self.running.port, timeout=WAIT_S
        )
        name = f'{route}-{sent_s:.1f}'
        self.send(connection, f'/talk/{sent_s:.1f}', f'first-{name}')
        connection.getresponse().read()
        self.call(connection, name)

    def call_anew(self, sent_s: float, route: str) -> None:
        """Send a request on a new connection in the grace."""
        self.stopping.wait()
        time.sleep(max(0, self.stopped_at + sent_s - time.monotonic()))
        connection = http.client.HTTPConnection(
            self.running.address, self.running.port, timeout=WAIT_S
        )
        self.call(connection, f'{route}-new-{sent_s:.1f}')

    def call(self, connection: http.client.HTTPConnection, name: str) -> None:
        """Send a request that may run once, and note what came of it."""
        sent_at = time.monotonic()
        try:
            self.send(connection, '/book/1', name)
            response = connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            status = 0
        connection.close()
        self.outcomes.append(Outcome(name, sent_at - self.stopped_at, status))

    def send(
        self, connection: http.client.HTTPConnection, path: str, name: str
    ) -> None:
        headers = {
            'Host': AUTHORITY,
            'Request-Id': name,
            'Deadline-Ms': '15000',
            'Authorization': f'Bearer {KEY}',
        }
        connection.request('POST', path, b'', headers)

    def stop(self) -> None:
        self.stopped_at = time.monotonic()
        self.stopping.set()
        self.running.host.drain(self.running.server)
        # The process ends after it.
        self.running.stop()


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    }
    made.configure(2, limits=limits, routeTable=list(routes()))
    yield made
    made.close()


def routes() -> Iterator[dict[str, object]]:
    for name, kind in (('talk', 'streaming'), ('book', 'non_idempotent')):
        yield {
            'name': f'r-{name}',
            'authority': AUTHORITY,
            'pathPrefix': f'/{name}/',
            'routeType': kind,
            'timeoutMs': 15000,
            'targetLatencyMs': 300,
            'priority': 1,
            'backend': 'engines',
            'maxAttempts': 1,
            'anonymous': False,
            'streamResume': False,
        }


class TestRequestsInTheGrace:
    """LOST: none is passed on late, and none is left without an answer."""

    def test_request_at_each_tenth_of_a_second(
        self, cluster: GatewayCluster
    ) -> None:
        host = StoppedHost(cluster)
        moments = [STEP_S * step for step in range(1, STEPS)]
        callers = [
            threading.Thread(target=call, args=(moment, 'book'))
            for moment in moments
            for call in (host.call_late, host.call_anew)
        ]
        for caller in callers:
            caller.start()
        while len(host.endpoint.requests) < len(moments):
            time.sleep(STEP_S)
        host.stop()
        for caller in callers:
            caller.join()
        assert len(host.outcomes) == len(callers)
        assert {outcome.status for outcome in host.outcomes} <= {0, 502, 503}
        passed_on = set(host.endpoint.runs)
        late = [
            outcome
            for outcome in host.outcomes
            if outcome.request_id in passed_on and outcome.sent_s > LAST_TAKEN_S
        ]
        unanswered = [
            outcome
            for outcome in host.outcomes
            if outcome.request_id in passed_on and not outcome.status
        ]
        lying = [
            outcome
            for outcome in host.outcomes
            if outcome.request_id in passed_on and outcome.status == 503
        ]
        assert (late, unanswered, lying) == ([], [], [])


class SlowlyEnded:
    """A host's parts whose last request ends late once it is to be ended."""

    def __init__(self) -> None:
        self.closed = False
        self.ended_at = 0.0

    @property
    def ending(self) -> bool:
        return bool(self.ended_at)

    @ending.setter
    def ending(self, is_ending: bool) -> None:
        if is_ending and not self.ended_at:
            self.ended_at = time.monotonic()

    @property
    def open_count(self) -> int:
        return not self.ending or time.monotonic() < self.ended_at + SLOW_END_S

    def close_idle(self) -> int:
        return 0

    def has_requests(self) -> bool:
        return False


class TestEndOfTheGrace:
    def test_answers_of_ended_requests_are_waited_for(self) -> None:
        """On a busy host they take some tenths of a second."""
        parts: Any = SlowlyEnded()
        await_open_requests(parts, parts, parts)
        assert not parts.open_count
