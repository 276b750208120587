"""The filter that claims the key of a once-only request."""

import time
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from returns.result import Failure, Result, Success

from trefoilspool.claims import ClaimKey, ClaimResult, ClaimTask
from trefoilspool.errors import (
    ClaimHeldError,
    ClaimsUnavailableError,
    DeadlineError,
    MayHaveRunError,
    OverloadedError,
    Problem,
    TicketError,
)
from trefoilspool.filter import Answer, ClaimedJob, Filter, Final, Job
from trefoilspool.forward import Forwarder
from trefoilspool.ledger import Claim, Holder, key_hash
from trefoilspool.membership import View
from trefoilspool.queries import AskHolder, QueryTask
from trefoilspool.results import ResultState, ResultStore, StoredResult
from trefoilspool.telemetry import log_decision
from trefoilspool.tickets import Ticket, TicketBook

__all__ = ['ClaimFilter', 'boot_time']

RETRY_S = 1.0
QUERY_WAIT_S = 2.0


def boot_time() -> float:
    """Return seconds on a clock that runs on while the host sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ClaimFilter(Filter[Job, ClaimedJob]):
    """Makes sure that a key is used at most once.

    Parameters
    ----------
    claims : ClaimTask
        Claims callers' own keys in the log.
    tickets : TicketBook
        Knows this host's tickets.
    results : ResultStore
        Results of this host, by key hash.
    queries : QueryTask
        Asks other hosts for their results.
    view : callable
        Returns the membership view, or None before the first.
    """

    def __init__(
        self,
        claims: ClaimTask,
        tickets: TicketBook,
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

    def apply(self, message: Job) -> Result[ClaimedJob, Final]:
        """Return the claimed job, or what became of the key's first use."""
        key = message.arrival.headers.get('idempotency-key', '')
        if not key or not message.once:
            return Success(ClaimedJob(message, None, '', boot_time()))
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
    ) -> Result[ClaimedJob, Final]:
        """Use a ticket here, or pass the request to the host that may."""
        if ticket.workspace != job.workspace:
            raise TicketError('the ticket belongs to another workspace')
        if not self.tickets.issued_here(ticket):
            return self.forward(job, ticket)
        used = not self.tickets.use(ticket)
        stored = self.results.get(ticket.unique)
        may_run = not used or stored.state is ResultState.not_run
        if not (may_run and self.results.begin(ticket.unique)):
            stored = self.results.get(ticket.unique)
            return Failure(answer_duplicate(stored))
        claimed = ClaimedJob(job, None, ticket.unique, boot_time())
        return Success(claimed)

    def forward(self, job: Job, ticket: Ticket) -> Result[ClaimedJob, Final]:
        """Send the request to the ticket's host if it still lives."""
        view = self.view()
        entry = view.hosts.get(ticket.host) if view else None
        known = view.incarnations.get(ticket.host) if view else None
        if entry is None or known != ticket.incarnation:
            return Failure(
                MayHaveRunError(
                    f'host {ticket.host}, which issued the ticket, is gone',
                )
            )
        log_decision('forward', job.arrival.request_id, to=ticket.host)
        return Failure(self.forwarder.forward(job, entry))

    def claim(self, job: Job, key: str) -> Result[ClaimedJob, Final]:
        """Claim a caller's own key in the log."""
        hashed = key_hash(job.workspace, key)
        claimed_at = boot_time()
        future: Future[ClaimResult] = Future()
        self.claims.post(ClaimKey(hashed, future))
        left = max(0, job.ask.deadline - time.monotonic())
        try:
            found = future.result(left)
        except FutureTimeoutError:
            # A claim that cannot be cancelled any more has a result.
            if future.cancel():
                return Failure(
                    DeadlineError(
                        'the key could not be claimed in time',
                        RETRY_S,
                    )
                )
            found = future.result()
        if isinstance(found, Success):
            return self.accept(job, found.unwrap(), claimed_at)
        return Failure(self.answer_held(hashed, found.failure()))

    def accept(
        self,
        job: Job,
        claim: Claim,
        claimed_at: float,
    ) -> Result[ClaimedJob, Final]:
        """Go on with a claim that holds the key."""
        self.results.begin(claim.key)
        log_decision('claim', job.arrival.request_id, key=claim.key)
        return Success(ClaimedJob(job, claim, claim.key, claimed_at))

    def answer_held(
        self,
        key: str,
        found: Holder | ClaimsUnavailableError,
    ) -> Final:
        """Return what a caller is told whose key could not be claimed."""
        if isinstance(found, ClaimsUnavailableError):
            return found
        me = (self.claims.host, self.claims.incarnation)
        if (found.host, found.incarnation) == me:
            return answer_duplicate(self.results.get(key))
        view = self.view()
        known = view.incarnations.get(found.host) if view else None
        if known != found.incarnation:
            return MayHaveRunError(
                f'host {found.host}, which holds the key, is gone',
            )
        future: Future[StoredResult | None] = Future()
        self.queries.post(AskHolder(found.host, key, future))
        stored = future.result(QUERY_WAIT_S)
        if stored is None:
            return MayHaveRunError(
                f'host {found.host}, which holds the key, is silent',
            )
        return answer_duplicate(stored)


def answer_duplicate(stored: StoredResult) -> Final:
    """Return the answer to a request whose key was used before."""
    if stored.state is ResultState.finished:
        headers = (
            ('Content-Type', 'application/json'),
            ('X-Request-Outcome', stored.outcome),
            ('X-Request-Replayed', 'true'),
        )
        return Answer(stored.status, headers, iter((stored.body,)))
    return DUPLICATES[stored.state]()


DUPLICATES: Mapping[ResultState, Callable[[], Problem]] = {
    ResultState.unknown: lambda: MayHaveRunError(
        'the key was used before, and its result is not known here',
    ),
    ResultState.in_progress: lambda: ClaimHeldError(
        'the first request with this key is in progress',
        RETRY_S,
    ),
    ResultState.not_run: lambda: OverloadedError(
        'the first request with this key did not run; its key is being freed',
        RETRY_S,
    ),
}
