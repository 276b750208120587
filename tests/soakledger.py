"""Record what callers saw and what endpoints ran; check the guarantees."""

import itertools
import threading
from collections import defaultdict
from collections.abc import Collection, Iterator
from typing import NamedTuple

STREAM_EVENTS = 6
# Versions of the endpoints' software; one only before FIRST_SEED_WITH_VERSIONS.
VERSIONS = ('v1', 'v2', 'v3')
# Statuses which promise that no endpoint ran the request.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Largest number of runs of a request, by kind.
MAX_RUNS = {'chat': 2, 'talk': 1, 'look': 2, 'book': 1}
STREAM_KINDS = frozenset(('chat', 'talk'))
WORKSPACE = 'acme'
LEAVING_LIMIT_S = 2.0  # a leaving endpoint gets no new requests after this
# An endpoint that asked for quiet may get so many requests of the host after
# this time.
QUIET_SLACK_S = 0.5
QUIET_ALLOWANCE = 2
HOST_START_S = 2.0  # a host may still start so long after its fault has ended
DEADLINE_S = 3.0  # of all requests
CONTACT_S = 3.0  # contactMs of the users' pages
# Spans that are no trouble: planned work, and endpoints that pause.
PLANNED_SPANS = frozenset(('config', 'hup', 'silence'))
# Statuses of a host that promise nothing of the run.
FAILED_STATUSES = frozenset((502, 504))


class SentRequest(NamedTuple):
    """A request as its caller saw it; status 0 means no response."""

    request_id: str
    kind: str
    path: str
    host: str
    started: float
    ended: float
    status: int
    complete: bool
    body: bytes
    # When the last byte had been sent on an open connection; 0 for never.
    whole_at: float = 0
    parts: tuple[str, ...] = ()
    # The attempt whose stream it takes up, and the first event that it lacks.
    resumes: str = ''
    first_event: int = 0
    # Whether its caller ended the connection.
    left: bool = False

    @property
    def stream(self) -> str:
        """The id of the attempt that began the stream."""
        return self.resumes or self.request_id

    @property
    def is_answered(self) -> bool:
        """Whether it ended in a whole answer or a refusal, or by its caller."""
        if self.left:
            return True
        failed = self.status in FAILED_STATUSES
        return bool(self.status) and self.complete and not failed


class Run(NamedTuple):
    """An execution of a request by an endpoint, as the endpoint received it.

    ``line`` is the HTTP request line, ``has_key`` whether the API key of the
    caller was forwarded.
    """

    request_id: str
    endpoint: str
    started: float
    line: str
    workspace: str
    has_key: bool


class FaultSpan(NamedTuple):
    """The time interval in which a fault was active."""

    name: str
    started: float
    ended: float


class Sign(NamedTuple):
    """What an endpoint said of itself in a response.

    ``quiet_s`` is the time for which it wants no requests of that host; 0 if
    it said that it is leaving.
    """

    request_id: str
    endpoint: str
    time: float
    quiet_s: float


class BadPart(NamedTuple):
    """A prompt part that crashes endpoints, and the route that gets it.

    Or one whole request, if ``path`` is not empty; it has no part then.
    """

    part: str
    route: str
    started: float
    path: str = ''

    def matches(self, path: str, parts: Collection[str]) -> bool:
        """Return whether a request crashes endpoints."""
        return path == self.path if self.path else self.part in parts


class LimitSpan(NamedTuple):
    """For how long an endpoint named a limit in all its responses."""

    endpoint: str
    per_s: float
    started: float
    ended: float


class Arrival(NamedTuple):
    """A request as it reached an endpoint, whether it ran or not."""

    request_id: str
    endpoint: str
    time: float


class Ledger:
    """All observations of a run; safe to use from any thread."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.sent: dict[str, SentRequest] = {}
        self.runs: defaultdict[str, list[Run]] = defaultdict(list)
        self.spans: list[FaultSpan] = []
        # Start of leaving on the monotonic clock, by endpoint.
        self.leaving: dict[str, float] = {}
        self.violations: list[str] = []
        self.signs: list[Sign] = []
        self.arrivals: list[Arrival] = []
        self.limits: list[LimitSpan] = []
        # What the responses that named a limit belong to.
        self.namings: list[Arrival] = []
        # Ids of the requests whose answer an endpoint broke off or failed.
        self.broken_off: set[str] = set()
        self.bad_part: BadPart | None = None
        # Times on the monotonic clock.
        self.crashes: list[float] = []

    def on_sent(self, sent: SentRequest) -> None:
        with self.lock:
            self.sent[sent.request_id] = sent

    def on_run(self, run: Run) -> None:
        with self.lock:
            self.runs[run.request_id].append(run)

    def on_sign(self, sign: Sign) -> None:
        with self.lock:
            self.signs.append(sign)

    def on_arrival(self, arrival: Arrival) -> None:
        with self.lock:
            self.arrivals.append(arrival)

    def on_limit(self, span: LimitSpan) -> None:
        with self.lock:
            self.limits.append(span)

    def on_naming(self, naming: Arrival) -> None:
        with self.lock:
            self.namings.append(naming)

    def on_broken_off(self, request_id: str) -> None:
        with self.lock:
            self.broken_off.add(request_id)

    def on_crash(self, time: float) -> None:
        with self.lock:
            self.crashes.append(time)

    def on_span(self, span: FaultSpan) -> None:
        with self.lock:
            self.spans.append(span)

    def on_violation(self, violation: str) -> None:
        with self.lock:
            self.violations.append(violation)

    def no_fault(self, started: float, ended: float, *ignored: str) -> bool:
        """Return whether no fault but planned or ignored ones was active."""
        return not any(
            span.started < ended and span.ended > started
            for span in self.spans
            if span.name not in PLANNED_SPANS and span.name not in ignored
        )

    def is_clear(
        self, names: Collection[str], started: float, ended: float
    ) -> bool:
        """Return whether none of the named faults was active of late."""
        return not any(
            span.name in names
            and span.started < ended
            and span.ended > started - CONTACT_S
            for span in self.spans
        )

    def check(self) -> list[str]:
        """Return all violations of a guarantee."""
        violations = list(self.violations)
        violations.extend(self.check_stops())
        violations.extend(self.check_leaving())
        violations.extend(self.check_signs())
        for request_id, runs in list(self.runs.items()):
            violations.extend(check_runs(self.sent.get(request_id), runs))
        for sent in self.sent.values():
            violations.extend(
                check_response(sent, len(self.runs[sent.request_id]))
            )
        return violations

    def check_stops(self) -> Iterator[str]:
        """Check that a graceful stop aborts no request in progress."""
        aborted = [
            sent
            for sent in self.sent.values()
            if not sent.status and self.runs[sent.request_id]
        ]
        for sent, span in itertools.product(aborted, self.spans):
            if span.name != f'term {sent.host}':
                continue
            since = span.started - LEAVING_LIMIT_S
            no_other_fault = self.no_fault(since, span.ended, span.name)
            if no_other_fault and span.started < sent.ended < span.ended:
                yield f'LOST: {sent} ran and was aborted during {span}'

    def check_leaving(self) -> Iterator[str]:
        """Check that leaving endpoints get no new runs after the limit."""
        for runs in self.runs.values():
            for run in runs:
                since = self.leaving.get(run.endpoint)
                if since is None or run.started < since + LEAVING_LIMIT_S:
                    continue
                if self.no_fault(since, run.started, 'leave'):
                    yield (
                        f'DRAIN: {run} started {run.started - since:.1f} s '
                        'after leaving began'
                    )

    def check_signs(self) -> Iterator[str]:
        """Check that a host keeps to what an endpoint told it."""
        for sign in self.signs:
            sent = self.sent.get(sign.request_id)
            # An incomplete response may not have reached the host.
            if sent is None or not sent.status or not sent.complete:
                continue
            late = self.late_arrivals(sign, sent)
            allowed = QUIET_ALLOWANCE if sign.quiet_s else 0
            if len(late) > allowed and self.host_ran(sent.host, sign, late):
                yield f'SIGN: {late} reached {sign} from {sent.host}'

    def late_arrivals(self, sign: Sign, sent: SentRequest) -> list[Arrival]:
        """Return what the same host sent in spite of a sign."""
        since = sign.time + LEAVING_LIMIT_S
        until = float('inf')
        if sign.quiet_s:
            since = sign.time + QUIET_SLACK_S
            until = sign.time + sign.quiet_s
        return [
            arrival
            for arrival in self.arrivals
            if arrival.endpoint == sign.endpoint
            and since < arrival.time < until
            and self.is_from(sent.host, arrival, sign)
        ]

    def is_from(self, host: str, arrival: Arrival, sign: Sign) -> bool:
        """Return whether a host took a request after a sign."""
        sent = self.sent.get(arrival.request_id)
        return (
            sent is not None
            and sent.host == host
            and (bool(sign.quiet_s) or sent.started > sign.time)
        )

    def host_ran(self, host: str, sign: Sign, late: list[Arrival]) -> bool:
        """Return whether a host was neither restarted nor paused."""
        until = max(arrival.time for arrival in late)
        excuses = {'kill_all', f'kill {host}', f'term {host}', f'pause {host}'}
        return not any(
            span.name in excuses
            and span.started < until
            and span.ended > sign.time - HOST_START_S
            for span in self.spans
        )


def check_runs(sent: SentRequest | None, runs: list[Run]) -> Iterator[str]:
    """Check that a request ran as it was sent, and not too often."""
    if sent is None:
        yield f'UNASKED: {runs[0]} was not sent'
        return
    if len(runs) > MAX_RUNS[sent.kind]:
        yield f'TWICE: {sent} ran more often than allowed: {runs}'
    for run in runs:
        if run.line != f'POST {sent.path} HTTP/1.1':
            yield f'UNASKED: {run} has another request line than {sent}'
        if run.workspace != WORKSPACE or run.has_key:
            yield (
                f'UNASKED: {run} does not have the expected workspace, or has '
                'the API key'
            )


def check_response(sent: SentRequest, runs: int) -> Iterator[str]:
    """Check the status of a response, and its body if it is complete."""
    if sent.status in NOT_RUN_STATUSES and runs:
        yield f'REFUSED: {sent} ran {runs} times'
    if sent.status != 200:
        return
    if not runs:
        yield f'MIXED: {sent} has status 200 but no run'
    if not sent.complete:
        return
    if sent.kind not in STREAM_KINDS:
        if sent.body != sent.request_id.encode():
            yield f'MIXED: {sent} does not have its request id as body'
    elif sent.body not in whole_bodies(sent):
        yield f'ORDER: {sent} does not have the complete stream as body'


def whole_bodies(sent: SentRequest) -> list[bytes]:
    """Return the complete bodies that a stream may have, one by version."""
    return [
        stream_body(sent.stream, version, sent.first_event)
        for version in VERSIONS
    ]


def stream_event(stream: str, version: str, number: int) -> bytes:
    """Return a server-sent event of a stream at a version."""
    return b'id: %d\ndata: %s@%s\n\n' % (
        number,
        stream.encode(),
        version.encode(),
    )


def stream_body(stream: str, version: str, first: int = 0) -> bytes:
    """Return the events of a stream from one on."""
    return b''.join(
        stream_event(stream, version, number)
        for number in range(first, STREAM_EVENTS)
    )
