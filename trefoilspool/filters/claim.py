"""The filter that claims the idempotency key of an at-most-once request."""

import time
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from returns.result import Failure, Result, Success

from trefoilspool.claims import ClaimKey, ClaimResult, ClaimTask
from trefoilspool.filter import ClaimedJob, Filter, FinalResponse, Job, Response
from trefoilspool.forward import Forwarder
from trefoilspool.ledger import Claim, Holder, key_hash
from trefoilspool.membership import View
from trefoilspool.problems import (
    ClaimHeldError,
    ClaimsUnavailableError,
    DeadlineError,
    MayHaveRunError,
    OverloadedError,
    Problem,
    TicketError,
)
from trefoilspool.queries import QueryHolder, QueryTask
from trefoilspool.results import ResultState, ResultStore, StoredResult
from trefoilspool.telemetry import log_decision
from trefoilspool.tickets import Ticket, TicketRegistry

__all__ = ['ClaimFilter', 'time_since_boot']

RETRY_AFTER_S = 1.0
# Above queries.QUERY_TIMEOUT_S, after which the future gets None.
QUERY_TIMEOUT_S = 2.0


def time_since_boot() -> float:
    """Return seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ClaimFilter(Filter[Job, ClaimedJob]):
    """Ensures that a key is used at most once.

    Parameters
    ----------
    claims : ClaimTask
        Claims keys chosen by callers in the log.
    tickets : TicketRegistry
        Verifies tickets and marks this host's tickets as used.
    results : ResultStore
        Results of this host, by result key.
    queries : QueryTask
        Queries other hosts for their results.
    view : callable
        Returns the membership view, or None before the first.
    """

    def __init__(
        self,
        claims: ClaimTask,
        tickets: TicketRegistry,
        results: ResultStore,
        queries: QueryTask,
        view: Callable[[], View | None],
    ) -> None:
        self.claims = claims
        self.tickets = tickets
        self.results = results
        self.queries = queries
        self.view = view
        self.forwarder = Forwarder()

    def apply(self, message: Job) -> Result[ClaimedJob, FinalResponse]:
        """Return the claimed job, or the result of the key's first use."""
        key = message.arrival.headers.get('idempotency-key', '')
        if not key or not message.at_most_once:
            return Success(ClaimedJob(message, None, '', time_since_boot()))
        try:
            ticket = self.tickets.read(key)
            if ticket is None:
                return self.claim(message, key)
            return self.use_ticket(message, ticket)
        except TicketError as problem:
            return Failure(problem)

    def use_ticket(
        self,
        job: Job,
        ticket: Ticket,
    ) -> Result[ClaimedJob, FinalResponse]:
        """Use a ticket issued here, or forward the request to its issuer."""
        if ticket.workspace != job.workspace:
            raise TicketError(
                f'the ticket belongs to another workspace than {job.workspace}'
            )
        if not self.tickets.issued_here(ticket):
            return self.forward(job, ticket)
        used = not self.tickets.redeem(ticket)
        stored = self.results.get(ticket.ticket_id)
        may_run = not used or stored.state is ResultState.not_run
        if not (may_run and self.results.begin(ticket.ticket_id)):
            stored = self.results.get(ticket.ticket_id)
            return Failure(duplicate_response(stored))
        claimed = ClaimedJob(job, None, ticket.ticket_id, time_since_boot())
        return Success(claimed)

    def forward(
        self, job: Job, ticket: Ticket
    ) -> Result[ClaimedJob, FinalResponse]:
        """Forward the request to the incarnation that issued the ticket."""
        view = self.view()
        issuer = view.hosts.get(ticket.host) if view else None
        incarnation = view.incarnations.get(ticket.host) if view else None
        if issuer is None or incarnation != ticket.incarnation:
            return Failure(
                MayHaveRunError(
                    f'host {ticket.host}, which issued the ticket, has left '
                    f'or restarted',
                )
            )
        log_decision('forward', job.arrival.request_id, to=ticket.host)
        return Failure(self.forwarder.forward(job, issuer))

    def claim(self, job: Job, key: str) -> Result[ClaimedJob, FinalResponse]:
        """Claim a key chosen by the caller in the log."""
        hashed_key = key_hash(job.workspace, key)
        claimed_at = time_since_boot()
        future: Future[ClaimResult] = Future()
        self.claims.post(ClaimKey(hashed_key, future))
        remaining_s = max(0, job.ask.deadline - time.monotonic())
        try:
            result = future.result(remaining_s)
        except FutureTimeoutError:
            # A future that can no longer be cancelled is about to be set.
            if future.cancel():
                return Failure(
                    DeadlineError(
                        f'the key was not claimed within the {remaining_s:.1f}'
                        f' s left before the deadline',
                        RETRY_AFTER_S,
                    )
                )
            result = future.result()
        if isinstance(result, Success):
            return self.accept_claim(job, result.unwrap(), claimed_at)
        return Failure(self.conflict_response(hashed_key, result.failure()))

    def accept_claim(
        self,
        job: Job,
        claim: Claim,
        claimed_at: float,
    ) -> Result[ClaimedJob, FinalResponse]:
        """Mark the key as in progress and return the claimed job."""
        self.results.begin(claim.key)
        log_decision('claim', job.arrival.request_id, key=claim.key)
        return Success(ClaimedJob(job, claim, claim.key, claimed_at))

    def conflict_response(
        self,
        key: str,
        conflict: Holder | ClaimsUnavailableError,
    ) -> FinalResponse:
        """Return the response to a request whose key was not claimed."""
        if isinstance(conflict, ClaimsUnavailableError):
            return conflict
        this_host = (self.claims.host, self.claims.incarnation)
        if (conflict.host, conflict.incarnation) == this_host:
            return duplicate_response(self.results.get(key))
        view = self.view()
        incarnation = view.incarnations.get(conflict.host) if view else None
        if incarnation != conflict.incarnation:
            return MayHaveRunError(
                f'host {conflict.host}, which holds the key, has left or '
                f'restarted',
            )
        future: Future[StoredResult | None] = Future()
        self.queries.post(QueryHolder(conflict.host, key, future))
        stored = future.result(QUERY_TIMEOUT_S)
        if stored is None:
            return MayHaveRunError(
                f'host {conflict.host}, which holds the key, did not answer '
                f'the query for its result',
            )
        return duplicate_response(stored)


def duplicate_response(stored: StoredResult) -> FinalResponse:
    """Return the response to a request whose key was used before."""
    if stored.state is ResultState.finished:
        headers = (
            ('Content-Type', 'application/json'),
            ('X-Request-Outcome', stored.outcome),
            ('X-Request-Replayed', 'true'),
        )
        return Response(stored.status, headers, iter((stored.body,)))
    return DUPLICATE_PROBLEMS[stored.state]()


DUPLICATE_PROBLEMS: Mapping[ResultState, Callable[[], Problem]] = {
    ResultState.unknown: lambda: MayHaveRunError(
        'the key was used before, and its result is not known',
    ),
    ResultState.in_progress: lambda: ClaimHeldError(
        'the first request with this key is in progress',
        RETRY_AFTER_S,
    ),
    ResultState.not_run: lambda: OverloadedError(
        'the first request with this key did not run; its claim is being '
        'released',
        RETRY_AFTER_S,
    ),
}
