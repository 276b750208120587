"""The request pipeline: applies the filters in order."""

import itertools
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

import logbook
from returns.result import Failure, Success

from trefoilspool.attempts import Attempts
from trefoilspool.events import NUMBERS_PER_REQUEST
from trefoilspool.filter import (
    Arrival,
    ClaimedJob,
    FinalResponse,
    Job,
    Response,
)
from trefoilspool.filters.authenticate import Authenticate
from trefoilspool.filters.claim import ClaimFilter
from trefoilspool.filters.classify import Classify
from trefoilspool.filters.relay import Relay
from trefoilspool.filters.settle import Settle
from trefoilspool.openrequests import OpenRequests
from trefoilspool.problems import (
    MayHaveRunError,
    NotReadyError,
)

__all__ = ['Filters', 'Pipeline']

TIME_RANGE_S = 1 << 22  # 48 days, after which start numbers repeat
# At a higher mean request rate, a restarted host could reuse numbers.
NUMBERS_PER_S = 1 << 12

logger = logbook.Logger('pipeline')
RETRY_AFTER_S = 1.0


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
        This host's name, the prefix of every request id.
    filters : Filters
        The steps.
    ready : callable
        Returns whether this host accepts requests.
    open_requests : OpenRequests
        Limits the open requests.
    """

    def __init__(
        self,
        host: str,
        filters: Filters,
        ready: Callable[[], bool],
        open_requests: OpenRequests,
    ) -> None:
        self.host = host
        self.filters = filters
        self.ready = ready
        self.open_requests = open_requests
        self.lock = threading.Lock()
        self.request_numbers = itertools.count(first_request_number())
        self.open_count = 0

    def handle(
        self,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        client_disconnected: Callable[[], bool],
        method: str = 'POST',
        query: str = '',
    ) -> Response:
        """Return the response to a request.

        A streamed response is still being relayed while its chunks are
        consumed.
        """
        number = next(self.request_numbers) * NUMBERS_PER_REQUEST
        arrival = Arrival(
            number,
            f'{self.host}-{number // NUMBERS_PER_REQUEST:x}',
            path,
            headers,
            body,
            time.monotonic(),
            client_disconnected,
            method,
            query,
        )
        with self.lock:
            self.open_count += 1
        try:
            return self.run(arrival)
        except Exception:
            logger.exception('request {} failed', arrival.request_id)
            return self.finish(
                arrival,
                None,
                None,
                MayHaveRunError(
                    'internal error; the result of the request is unknown',
                ),
            )

    def run(self, arrival: Arrival) -> Response:
        """Apply the filters and settle the result."""
        filters = self.filters
        if not self.ready():
            return self.finish(
                arrival,
                None,
                None,
                NotReadyError(
                    f'host {self.host} is not ready',
                    RETRY_AFTER_S,
                ),
            )
        classified = filters.authenticate.apply(arrival).bind(
            filters.classify.apply,
        )
        if not isinstance(classified, Success):
            return self.finish(arrival, None, None, classified.failure())
        job = classified.unwrap()
        refusal = self.open_requests.admit(job)
        if refusal is not None:
            return self.finish(arrival, job, None, refusal)
        claim_result = filters.claim.apply(job)
        if not isinstance(claim_result, Success):
            return self.finish(arrival, job, None, claim_result.failure())
        claimed = claim_result.unwrap()
        return self.finish(arrival, job, claimed, self.relay(claimed))

    def relay(self, claimed: ClaimedJob) -> FinalResponse:
        """Return the response to a request with a claim, or its problem."""
        filters = self.filters
        try:
            relayed = filters.attempts.apply(claimed).bind(filters.relay.apply)
        except Exception:
            logger.exception(
                'request {} failed', claimed.job.arrival.request_id
            )
            # The key must not stay in progress.
            claimed.job.progress.result_unknown = True
            return MayHaveRunError(
                'internal error; the result of the request is unknown',
            )
        final: FinalResponse = (
            relayed.failure()
            if isinstance(relayed, Failure)
            else relayed.unwrap()
        )
        return final

    def finish(
        self,
        arrival: Arrival,
        job: Job | None,
        claimed: ClaimedJob | None,
        final: FinalResponse,
    ) -> Response:
        """Settle, and count the request as closed after its last chunk."""
        response = self.filters.settle.finish(arrival, job, claimed, final)
        return response._replace(
            chunks=self.chunks_until_closed(response, arrival.number),
        )

    def chunks_until_closed(
        self,
        response: Response,
        number: int,
    ) -> Iterator[bytes]:
        """Yield the chunks, then count the request as closed."""
        try:
            yield from response.chunks
        finally:
            self.open_requests.remove(number)
            with self.lock:
                self.open_count -= 1


def first_request_number() -> int:
    """Return the number of a process's first request.

    Numbers start from the wall clock, so that a restarted host does not reuse
    those of its previous incarnation. The time is taken modulo
    ``TIME_RANGE_S``, which keeps the numbers short on the wire.
    """
    return int(time.time()) % TIME_RANGE_S * NUMBERS_PER_S
