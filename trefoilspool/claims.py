"""Exclusive claims of idempotency keys through the log service."""

import random
import time
from concurrent.futures import Executor, Future
from enum import Enum, auto
from typing import NamedTuple

import logbook
from returns.result import Failure, Result, Success

from trefoilspool.errors import (
    LogError,
    LogLostAnswerError,
    TrimmedError,
)
from trefoilspool.ledger import Claim, ClaimBatch, Holder, Ledger
from trefoilspool.platform import LogPage, LogRecord, LogService
from trefoilspool.problems import ClaimsUnavailableError
from trefoilspool.task import Task

__all__ = ['ClaimKey', 'ClaimResult', 'ClaimTask', 'ReleaseKey', 'STREAM']

STREAM = 'claims'
TICK_S = 0.02
POLL_S = 0.25
CLAIM_ID_BITS = 53
READ_LIMIT_RECORDS = 2000
MAX_BATCH_CLAIMS = 500
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0
JITTER_RATIO = 0.5
APPEND_TIMEOUT_S = 3.0  # waiting claims fail if an append takes longer

logger = logbook.Logger('claims')

ClaimResult = Result[Claim, ClaimsUnavailableError | Holder]


class ClaimKey(NamedTuple):
    """Claim a key; the future resolves to the claim or the key's holder."""

    key: str
    future: 'Future[ClaimResult]'


class ReleaseKey(NamedTuple):
    """Release the key of a request that did not run."""

    claim: Claim


class AppendEnded(NamedTuple):
    """End of an append; ``offset`` is None if it failed or got no response."""

    offset: int | None
    failure: LogError | None


class ReadEnded(NamedTuple):
    """End of a read of the stream; ``page`` is None if it failed."""

    page: LogPage | None
    failure: LogError | None


class BatchState(Enum):
    """Progress of the batch in flight."""

    idle = auto()
    appending = auto()
    reading = auto()


class ClaimTask(Task):
    """Claims keys by group commit; at most one append call is in progress.

    Parameters
    ----------
    log : LogService
        Log that holds the claim stream.
    host, incarnation : str, int
        Owner that the claims are recorded under.
    executor : Executor
        Runs the blocking calls of the log service.
    rate : float
        Maximum number of appends per second of this host.
    max_batch : int
        Maximum number of claims, and of releases, in one append.

    Attributes
    ----------
    held : set of Claim
        Claims won by this incarnation and passed to their requests, until
        released or trimmed.
    """

    def __init__(
        self,
        log: LogService,
        host: str,
        incarnation: int,
        executor: Executor,
        rate: float = 10,
        max_batch: int = MAX_BATCH_CLAIMS,
    ) -> None:
        super().__init__(TICK_S)
        self.log = log
        self.host = host
        self.incarnation = incarnation
        self.executor = executor
        self.spacing_s = 1 / rate
        self.max_batch = max_batch
        self.ledger = Ledger()
        self.waiting: dict[Claim, Future[ClaimResult]] = {}
        self.releases: list[Claim] = []
        self.batch: ClaimBatch | None = None
        self.state = BatchState.idle
        self.read_running = False
        self.append_ended = False
        self.next_append_at = 0.0
        self.append_started_at = 0.0
        self.read_started_at = -POLL_S
        self.held: set[Claim] = set()
        self.caught_up = False
        self.outage_since: float | None = None
        self.random = random.Random(incarnation)
        self.appends = 0

    def handle(self, message: object) -> None:
        """Handle a claim, a release or the end of a call to the log."""
        if isinstance(message, ClaimKey):
            self.on_claim(message)
        elif isinstance(message, ReleaseKey):
            self.on_release(message.claim)
        elif isinstance(message, AppendEnded):
            self.on_append_ended(message)
        elif isinstance(message, ReadEnded):
            self.on_read_ended(message)

    def batch_end(self) -> None:
        """Start an append if one is due."""
        self.start_append()

    def tick(self) -> None:
        """Poll the stream, and fail waiting claims if an append timed out."""
        slow = time.monotonic() - self.append_started_at > APPEND_TIMEOUT_S
        if self.state is not BatchState.idle and slow:
            self.fail_waiting()
        self.start_append()
        if time.monotonic() - self.read_started_at >= POLL_S:
            self.start_read()

    def on_claim(self, message: ClaimKey) -> None:
        """Queue a claim, or fail it at once if it cannot succeed now."""
        holder = self.ledger.holders.get(message.key)
        if holder is not None and not holder.released:
            resolve(message.future, Failure(holder))
        elif self.outage_since is not None or not self.caught_up:
            resolve(message.future, Failure(self.unavailable()))
        else:
            claim = Claim(message.key, self.random.getrandbits(CLAIM_ID_BITS))
            self.waiting[claim] = message.future

    def on_release(self, claim: Claim) -> None:
        """Queue a release; it stays queued until the log contains it."""
        self.held.discard(claim)
        self.releases.append(claim)

    def unavailable(self) -> ClaimsUnavailableError:
        """Return a refusal whose retry delay grows with the outage."""
        started = self.outage_since or time.monotonic()
        age = time.monotonic() - started
        wait = min(max(age, MIN_RETRY_S), MAX_RETRY_S)
        wait *= 1 + JITTER_RATIO * self.random.random()
        return ClaimsUnavailableError(
            'the log service is unavailable, so the key cannot be claimed',
            wait,
        )

    def start_append(self) -> None:
        """Append waiting claims and releases if no append is in flight."""
        work = self.waiting or self.releases
        now = time.monotonic()
        if not work or self.state is not BatchState.idle:
            return
        if not self.caught_up or now < self.next_append_at:
            return
        self.batch = ClaimBatch(
            self.host,
            self.incarnation,
            tuple(self.waiting)[: self.max_batch],
            tuple(self.releases)[: self.max_batch],
        )
        self.state = BatchState.appending
        self.append_ended = False
        self.next_append_at = now + self.spacing_s
        self.append_started_at = now
        self.appends += 1
        self.executor.submit(self.append, self.batch.encode())

    def append(self, body: str) -> None:
        """Append on an executor thread and post the result."""
        try:
            self.post(AppendEnded(self.log.append(STREAM, body), None))
        except LogError as error:
            self.post(AppendEnded(None, error))

    def on_append_ended(self, message: AppendEnded) -> None:
        """Read the batch back unless its append is known to have failed."""
        self.append_ended = True
        self.state = BatchState.reading
        if isinstance(message.failure, LogLostAnswerError):
            logger.warning(
                'append got no response, reading the stream back: {}',
                message.failure,
            )
        elif message.failure is not None:
            self.outage_since = self.outage_since or time.monotonic()
            self.fail_waiting()
            self.state = BatchState.idle
            return
        self.start_read()

    def start_read(self) -> None:
        """Read on from the first unfolded record if no read is running."""
        if not self.read_running:
            self.read_running = True
            self.read_started_at = time.monotonic()
            self.executor.submit(self.read, self.ledger.next_offset)

    def read(self, start: int) -> None:
        """Read on an executor thread and post the result."""
        try:
            page = self.log.read(STREAM, start, READ_LIMIT_RECORDS)
        except TrimmedError as error:
            # An empty page that ends after its start: it trims the ledger, and
            # the read then continues at ``first``.
            page = LogPage(error.first, error.first + 1, ())
        except LogError as error:
            self.post(ReadEnded(None, error))
            return
        self.post(ReadEnded(page, None))

    def on_read_ended(self, message: ReadEnded) -> None:
        """Fold a page and settle the claims of the batch that it contains."""
        self.read_running = False
        page = message.page
        if page is None:
            self.outage_since = self.outage_since or time.monotonic()
            self.fail_waiting()
            return
        self.outage_since = None
        self.trim(page.first)
        for record in page.records:
            self.fold(record)
        at_end = self.ledger.next_offset >= page.end
        self.caught_up = self.caught_up or at_end
        if not at_end:
            self.start_read()
        elif self.state is BatchState.reading:
            # The read reached the end of the stream without finding the batch:
            # its append was lost or is delayed. The same claims are appended
            # again. If both take effect, the second finds the key held, or
            # ``settle`` releases it again.
            self.state = BatchState.idle

    def trim(self, first: int) -> None:
        """Drop claims whose records the log has trimmed."""
        if self.ledger.trim(first):
            holders = self.ledger.holders
            self.held = {claim for claim in self.held if claim.key in holders}

    def fold(self, record: LogRecord) -> None:
        """Fold a record; settle its claims if this incarnation wrote it."""
        batch = self.ledger.apply(record)
        if batch is None:
            return
        if (batch.host, batch.incarnation) != (self.host, self.incarnation):
            return
        for claim in batch.claims:
            self.settle(claim)
        self.releases = [
            release
            for release in self.releases
            if release not in batch.releases
        ]
        if self.append_ended:
            self.state = BatchState.idle

    def settle(self, claim: Claim) -> None:
        """Resolve a claim's future to the claim or to the key's holder."""
        holder = self.ledger.holders[claim.key]
        won = not holder.released and (
            (holder.host, holder.incarnation, holder.claim_id)
            == (self.host, self.incarnation, claim.claim_id)
        )
        future = self.waiting.pop(claim, None)
        if future is not None and future.set_running_or_notify_cancel():
            if won:
                self.held.add(claim)
            future.set_result(Success(claim) if won else Failure(holder))
        elif won and claim not in self.held:
            # No request waits for this claim any more, so its key is released.
            self.releases.append(claim)

    def fail_waiting(self) -> None:
        """Fail all waiting claims as unavailable."""
        waiting = self.waiting
        self.waiting = {}
        for future in waiting.values():
            resolve(future, Failure(self.unavailable()))


def resolve(future: 'Future[ClaimResult]', result: ClaimResult) -> None:
    """Set a future's result unless the request has cancelled it."""
    if future.set_running_or_notify_cancel():
        future.set_result(result)
