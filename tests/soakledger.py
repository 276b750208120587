"""What callers sent and saw, what endpoints ran, and the promises on both."""

import itertools
import threading
from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

EVENTS = 6
NOT_RUN = frozenset((408, 421, 429, 503))
MOST_RUNS = {'chat': 2, 'talk': 1, 'look': 2, 'book': 1}
STREAMS = frozenset(('chat', 'talk'))
WORKSPACE = 'acme'
LEAVING_BOUND_S = 2.0


class Sent(NamedTuple):
    """A request with what its caller saw; status 0 is no answer."""

    request_id: str
    kind: str
    path: str
    host: str
    at: float
    ended: float
    status: int
    whole: bool
    body: bytes


class Run(NamedTuple):
    """A request that an endpoint began to work on."""

    request_id: str
    endpoint: str
    at: float
    line: str
    workspace: str
    has_key: bool


class Span(NamedTuple):
    """When a fault was in force."""

    name: str
    began: float
    ended: float


class Ledger:
    """All that was seen; safe to use from any thread."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.sent: dict[str, Sent] = {}
        self.runs: defaultdict[str, list[Run]] = defaultdict(list)
        self.spans: list[Span] = []
        self.leaving: dict[str, float] = {}
        self.broken: list[str] = []

    def on_sent(self, sent: Sent) -> None:
        with self.lock:
            self.sent[sent.request_id] = sent

    def on_run(self, run: Run) -> None:
        with self.lock:
            self.runs[run.request_id].append(run)

    def on_span(self, span: Span) -> None:
        with self.lock:
            self.spans.append(span)

    def on_broken(self, promise: str) -> None:
        with self.lock:
            self.broken.append(promise)

    def calm(self, began: float, ended: float, *but: str) -> bool:
        """Tell whether no fault but some was in force in a time."""
        return not any(
            one.began < ended and one.ended > began
            for one in self.spans
            if one.name not in but
        )

    def check(self) -> list[str]:
        """Return the promises that were broken."""
        found = list(self.broken)
        found.extend(self.check_stops())
        found.extend(self.check_leaving())
        for request_id, runs in list(self.runs.items()):
            found.extend(check_runs(self.sent.get(request_id), runs))
        for sent in self.sent.values():
            found.extend(check_answer(sent, len(self.runs[sent.request_id])))
        return found

    def check_stops(self) -> Iterator[str]:
        """A graceful stop cuts off no request in progress."""
        cut = [
            sent
            for sent in self.sent.values()
            if not sent.status and self.runs[sent.request_id]
        ]
        for sent, span in itertools.product(cut, self.spans):
            if span.name != f'term {sent.host}':
                continue
            since = span.began - LEAVING_BOUND_S
            calm = self.calm(since, span.ended, span.name, 'config', 'hup')
            if calm and span.began < sent.ended < span.ended:
                yield f'LOST: {sent} ran and was cut off by {span}'

    def check_leaving(self) -> Iterator[str]:
        """A leaving endpoint receives no new work after a few seconds."""
        for runs in self.runs.values():
            for run in runs:
                since = self.leaving.get(run.endpoint)
                if since is None or run.at < since + LEAVING_BOUND_S:
                    continue
                if self.calm(since, run.at, 'config', 'hup', 'leave'):
                    yield f'DRAIN: {run} came {run.at - since:.1f} s late'


def check_runs(sent: Sent | None, runs: list[Run]) -> Iterator[str]:
    """Each run is of a request that was sent, as often as it may be."""
    if sent is None:
        yield f'UNASKED: {runs[0]} was not sent'
        return
    if len(runs) > MOST_RUNS[sent.kind]:
        yield f'TWICE: {sent} ran as {runs}'
    for run in runs:
        if run.line != f'POST {sent.path} HTTP/1.1':
            yield f'UNASKED: {run} differs from {sent}'
        if run.workspace != WORKSPACE or run.has_key:
            yield f'UNASKED: {run} has the wrong workspace, or the key'


def check_answer(sent: Sent, runs: int) -> Iterator[str]:
    """Each answer is the whole of its own, and true."""
    if sent.status in NOT_RUN and runs:
        yield f'REFUSED: {sent} ran {runs} times'
    if sent.status != 200:
        return
    if not runs:
        yield f'MIXED: {sent} ran nowhere'
    if not sent.whole:
        return
    if sent.kind not in STREAMS:
        if sent.body != sent.request_id.encode():
            yield f'MIXED: {sent} has another body'
    elif sent.body != stream_body(sent.request_id):
        yield f'ORDER: {sent} is not the whole stream'


def event_of(request_id: str, number: int) -> bytes:
    """Return one event of a request's stream."""
    return b'id: %d\ndata: %s\n\n' % (number, request_id.encode())


def stream_body(request_id: str) -> bytes:
    """Return a request's whole stream."""
    return b''.join(event_of(request_id, one) for one in range(EVENTS))
