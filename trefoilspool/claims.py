"""The task that claims keys through the log service."""

import random
import time
from concurrent.futures import Executor, Future
from enum import Enum, auto
from typing import NamedTuple

import logbook
from returns.result import Failure, Result, Success

from trefoilspool.errors import (
    ClaimsUnavailableError,
    LogError,
    LogLostAnswerError,
    TrimmedError,
)
from trefoilspool.ledger import Claim, ClaimBatch, Holder, Ledger
from trefoilspool.platform import LogPage, LogRecord, LogService
from trefoilspool.task import Task

__all__ = ['ClaimKey', 'ClaimResult', 'ClaimTask', 'ReleaseKey', 'STREAM']

STREAM = 'claims'
TICK_S = 0.02
POLL_S = 0.25
CLAIM_ID_BITS = 53
READ_LIMIT = 2000
MAX_BATCH = 500
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0
JITTER = 0.5
SLOW_APPEND_S = 3.0  # an append that takes longer counts as an outage

logger = logbook.Logger('claims')

ClaimResult = Result[Claim, ClaimsUnavailableError | Holder]


class ClaimKey(NamedTuple):
    """Ask for a key; the future gets the claim or who holds it."""

    key: str
    future: 'Future[ClaimResult]'


class ReleaseKey(NamedTuple):
    """Free a key whose request did not run."""

    claim: Claim


class Appended(NamedTuple):
    """An append ended; ``offset`` is None when its result is unknown."""

    offset: int | None
    failure: LogError | None


class ReadEnded(NamedTuple):
    """A read of the stream ended."""

    page: LogPage | None
    failure: LogError | None


class BatchState(Enum):
    """What is known of the batch in flight."""

    idle = auto()
    appending = auto()
    reading = auto()


class ClaimTask(Task):
    """Claims with group commit: one append in flight.

    Parameters
    ----------
    log : LogService
        Where claims are appended.
    host, incarnation : str, int
        Who claims.
    executor : Executor
        Runs the blocking calls.
    rate : float
        Appends a second that this host may make.
    max_batch : int
        The most claims that share an append.
    """

    def __init__(
        self,
        log: LogService,
        host: str,
        incarnation: int,
        executor: Executor,
        rate: float = 10,
        max_batch: int = MAX_BATCH,
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
        self.next_append = 0.0
        self.append_started = 0.0
        self.read_started = -POLL_S
        self.held: set[Claim] = set()
        self.caught_up = False
        self.outage_since: float | None = None
        self.random = random.Random(incarnation)
        self.appends = 0

    def handle(self, message: object) -> None:
        """Handle a claim, a release or the end of a call."""
        if isinstance(message, ClaimKey):
            self.on_claim(message)
        elif isinstance(message, ReleaseKey):
            self.on_release(message.claim)
        elif isinstance(message, Appended):
            self.on_appended(message)
        elif isinstance(message, ReadEnded):
            self.on_read(message)

    def batch_end(self) -> None:
        """Start an append when one is due."""
        self.start_append()

    def tick(self) -> None:
        """Poll the stream, and give up on a log that is too slow."""
        slow = time.monotonic() - self.append_started > SLOW_APPEND_S
        if self.state is not BatchState.idle and slow:
            self.fail_waiting()
        self.start_append()
        if time.monotonic() - self.read_started >= POLL_S:
            self.start_read()

    def on_claim(self, message: ClaimKey) -> None:
        """Queue a claim, or answer at once from what is known."""
        holder = self.ledger.holders.get(message.key)
        if holder is not None and not holder.released:
            answer(message.future, Failure(holder))
        elif self.outage_since is not None or not self.caught_up:
            answer(message.future, Failure(self.unavailable()))
        else:
            claim = Claim(message.key, self.random.getrandbits(CLAIM_ID_BITS))
            self.waiting[claim] = message.future

    def on_release(self, claim: Claim) -> None:
        """Queue a release; it is kept until the log has it."""
        self.held.discard(claim)
        self.releases.append(claim)

    def unavailable(self) -> ClaimsUnavailableError:
        """Return a refusal whose wait grows with the outage's age."""
        started = self.outage_since or time.monotonic()
        age = time.monotonic() - started
        wait = min(max(age, MIN_RETRY_S), MAX_RETRY_S)
        wait *= 1 + JITTER * self.random.random()
        return ClaimsUnavailableError(
            'the log service is out, so the key cannot be claimed',
            wait,
        )

    def start_append(self) -> None:
        """Append all that waits, if no append is in flight."""
        work = self.waiting or self.releases
        now = time.monotonic()
        if not work or self.state is not BatchState.idle:
            return
        if not self.caught_up or now < self.next_append:
            return
        self.batch = ClaimBatch(
            self.host,
            self.incarnation,
            tuple(self.waiting)[: self.max_batch],
            tuple(self.releases)[: self.max_batch],
        )
        self.state = BatchState.appending
        self.append_ended = False
        self.next_append = now + self.spacing_s
        self.append_started = now
        self.appends += 1
        self.executor.submit(self.append, self.batch.encode())

    def append(self, body: str) -> None:
        """Append on an executor thread and post the end."""
        try:
            self.post(Appended(self.log.append(STREAM, body), None))
        except LogError as error:
            self.post(Appended(None, error))

    def on_appended(self, message: Appended) -> None:
        """Read the batch back unless it surely was not appended."""
        self.append_ended = True
        self.state = BatchState.reading
        if isinstance(message.failure, LogLostAnswerError):
            logger.warning('append answer lost: {}', message.failure)
        elif message.failure is not None:
            self.outage_since = self.outage_since or time.monotonic()
            self.fail_waiting()
            self.state = BatchState.idle
            return
        self.start_read()

    def start_read(self) -> None:
        """Read on from what is folded, if no read is running."""
        if not self.read_running:
            self.read_running = True
            self.read_started = time.monotonic()
            self.executor.submit(self.read, self.ledger.next)

    def read(self, start: int) -> None:
        """Read on an executor thread and post the end."""
        try:
            page = self.log.read(STREAM, start, READ_LIMIT)
        except TrimmedError as error:
            page = LogPage(error.first, error.first + 1, ())
        except LogError as error:
            self.post(ReadEnded(None, error))
            return
        self.post(ReadEnded(page, None))

    def on_read(self, message: ReadEnded) -> None:
        """Fold a page, then settle the batch if the page shows it."""
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
        at_tail = self.ledger.next >= page.end
        self.caught_up = self.caught_up or at_tail
        if not at_tail:
            self.start_read()
        elif self.state is BatchState.reading:
            # The batch is not in the log although all was read: its append
            # may still be in flight, so the same claims are sent again.
            self.state = BatchState.idle

    def trim(self, first: int) -> None:
        """Forget claims that the log no longer holds."""
        if self.ledger.trim(first):
            holders = self.ledger.holders
            self.held = {one for one in self.held if one.key in holders}

    def fold(self, record: LogRecord) -> None:
        """Fold a record; settle the claims of a batch of our own."""
        batch = self.ledger.apply(record)
        if batch is None:
            return
        if (batch.host, batch.incarnation) != (self.host, self.incarnation):
            return
        for claim in batch.claims:
            self.settle(claim)
        self.releases = [
            queued for queued in self.releases if queued not in batch.releases
        ]
        if self.append_ended:
            self.state = BatchState.idle

    def settle(self, claim: Claim) -> None:
        """Tell a claim's request whether it holds the key."""
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
            # Nobody waits for this claim any more, so the key is freed.
            self.releases.append(claim)

    def fail_waiting(self) -> None:
        """Answer all waiting claims at once."""
        waiting = self.waiting
        self.waiting = {}
        for future in waiting.values():
            answer(future, Failure(self.unavailable()))


def answer(future: 'Future[ClaimResult]', found: ClaimResult) -> None:
    """Set a result unless the request has given up."""
    if future.set_running_or_notify_cancel():
        future.set_result(found)
