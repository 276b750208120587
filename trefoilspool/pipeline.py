"""The way of a request through the filters."""

import itertools
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

import logbook
from returns.result import Failure, Success

from trefoilspool.attempts import Attempts
from trefoilspool.errors import MayHaveRunError, NotReadyError
from trefoilspool.events import ATTEMPT_NUMBERS
from trefoilspool.filter import (
    Answer,
    Arrival,
    ClaimedJob,
    Final,
    Job,
)
from trefoilspool.filters.authenticate import Authenticate
from trefoilspool.filters.claim import ClaimFilter
from trefoilspool.filters.classify import Classify
from trefoilspool.filters.relay import Relay
from trefoilspool.filters.settle import Settle
from trefoilspool.hostgate import HostGate

__all__ = ['Filters', 'Pipeline']

TIME_RANGE_S = 1 << 22  # 48 days, after which numbers start again
NUMBERS_A_SECOND = 1 << 12

logger = logbook.Logger('pipeline')
RETRY_S = 1.0


class Filters(NamedTuple):
    """The filters of a request, in order."""

    authenticate: Authenticate
    classify: Classify
    claim: ClaimFilter
    attempts: Attempts
    relay: Relay
    settle: Settle


class Pipeline:
    """Passes requests through the filters and counts the open ones.

    Parameters
    ----------
    host : str
        This host's name, which starts every request id.
    filters : Filters
        The steps.
    ready : callable
        Tells whether this host takes requests.
    gate : HostGate
        Limits the open requests.
    """

    def __init__(
        self,
        host: str,
        filters: Filters,
        ready: Callable[[], bool],
        gate: HostGate,
    ) -> None:
        self.host = host
        self.filters = filters
        self.ready = ready
        self.gate = gate
        self.lock = threading.Lock()
        self.numbers = itertools.count(first_number())
        self.open = 0

    def handle(
        self,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        gone: Callable[[], bool],
        method: str = 'POST',
        query: str = '',
    ) -> Answer:
        """Return the answer to a request; it runs while chunks are taken."""
        number = next(self.numbers) * ATTEMPT_NUMBERS
        arrival = Arrival(
            number,
            f'{self.host}-{number // ATTEMPT_NUMBERS:x}',
            path,
            headers,
            body,
            time.monotonic(),
            gone,
            method,
            query,
        )
        with self.lock:
            self.open += 1
        try:
            return self.run(arrival)
        except Exception:
            logger.exception('request {} failed', arrival.request_id)
            return self.end(
                arrival,
                None,
                None,
                MayHaveRunError(
                    'an internal error; the result is unknown',
                ),
            )

    def run(self, arrival: Arrival) -> Answer:
        """Apply the filters and settle whatever comes out."""
        filters = self.filters
        if not self.ready():
            return self.end(
                arrival,
                None,
                None,
                NotReadyError(
                    f'host {self.host} is not ready',
                    RETRY_S,
                ),
            )
        known = filters.authenticate.apply(arrival).bind(
            filters.classify.apply,
        )
        if not isinstance(known, Success):
            return self.end(arrival, None, None, known.failure())
        job = known.unwrap()
        full = self.gate.enter(job)
        if full is not None:
            return self.end(arrival, job, None, full)
        held = filters.claim.apply(job)
        if not isinstance(held, Success):
            return self.end(arrival, job, None, held.failure())
        claimed = held.unwrap()
        found = filters.attempts.apply(claimed).bind(filters.relay.apply)
        if isinstance(found, Failure):
            return self.end(arrival, job, claimed, found.failure())
        return self.end(arrival, job, claimed, found.unwrap())

    def end(
        self,
        arrival: Arrival,
        job: Job | None,
        claimed: ClaimedJob | None,
        final: Final,
    ) -> Answer:
        """Settle, and count the request as closed after its last chunk."""
        answer = self.filters.settle.finish(arrival, job, claimed, final)
        return answer._replace(chunks=self.counted(answer, arrival.number))

    def counted(self, answer: Answer, number: int) -> Iterator[bytes]:
        """Yield the chunks, then count the request as closed."""
        try:
            yield from answer.chunks
        finally:
            self.gate.leave(number)
            with self.lock:
                self.open -= 1


def first_number() -> int:
    """Return the number of a process's first request.

    Numbers start from the time, so that a restarted host does not use those
    of its former self again, and are short on the wire.
    """
    return int(time.time()) % TIME_RANGE_S * NUMBERS_A_SECOND
