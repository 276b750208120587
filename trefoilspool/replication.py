"""Tasks that keep replicas up to date."""

import math
import random
import threading
from collections.abc import Callable
from typing import NamedTuple

import logbook

from trefoilspool import clock
from trefoilspool.errors import (
    LogError,
    LogOutageError,
    StoreRestoredError,
    TrimmedError,
)
from trefoilspool.replica import NO_ERA, Replica
from trefoilspool.store import KeyedSource, Page

__all__ = [
    'MIN_PAUSE_S',
    'PeerFetchTask',
    'PollInterval',
    'StoreReplicationTask',
]

RETRY_S = 0.3
PEER_POLL_S = 0.2
READER_CHECK_S = 0.1  # between calls of should_read
MIN_PAUSE_S = 0.05  # between reads of which some are wanted soon

logger = logbook.Logger('follow')


class PollInterval(NamedTuple):
    """How often the store is read.

    Attributes
    ----------
    wait_s : float
        Seconds that a read waits for a record.
    pause_s : float
        Seconds between reads.
    """

    wait_s: float
    pause_s: float


class StoreRead(NamedTuple):
    """A read of the store.

    Attributes
    ----------
    is_whole : bool
        Whether all records were read, rather than those from an offset on.
    duration_s : float
        Seconds that it has taken, with the wait for a record.
    """

    is_whole: bool
    duration_s: float


def always_true() -> bool:
    """Return true."""
    return True


def no_limit() -> float:
    """Return infinity."""
    return math.inf


def least_pause() -> float:
    """Return ``MIN_PAUSE_S``."""
    return MIN_PAUSE_S


def no_op() -> None:
    """Do nothing."""


class StoreReplicationTask:
    """Reads a topic from the store until the host stops.

    Parameters
    ----------
    topic : str
        Name of the topic in log lines.
    source : KeyedSource
        The store.
    replica : Replica
        Replica to which the records are applied.
    poll_interval : PollInterval
        How often to read.
    stopping : threading.Event
        Ends the task when set.
    should_read : callable
        Returns whether this host reads the store now. The store is read
        regardless until the replica has been filled for the first time.
    on_read : callable
        Called after each read.
    on_restored : callable
        Called after the first read of a new era of the store.

    Attributes
    ----------
    last_read : StoreRead
        The last read that the store has answered.
    read_began_at : float
        When the last read began, in seconds.
    wait_s : float
        How long that read may wait for a record, in seconds.
    reread_at : float
        When all records are read again, in seconds.
    max_wait_s : callable
        Returns how long the next read may wait for a record, in seconds.
    min_pause_s : callable
        Returns the seconds between reads of which some are wanted soon.
    wanted : Event
        Set if a read is wanted before the next one is due.
    is_due : bool
        Whether the last read was due, rather than only wanted.
    has_more : bool
        Whether the store had further records than the last read returned.
    """

    def __init__(
        self,
        topic: str,
        source: KeyedSource,
        replica: Replica,
        poll_interval: PollInterval,
        stopping: threading.Event,
        should_read: Callable[[], bool] = always_true,
        on_read: Callable[[], None] = no_op,
        on_restored: Callable[[], None] = no_op,
    ) -> None:
        self.topic = topic
        self.source = source
        self.replica = replica
        self.poll_interval = poll_interval
        self.stopping = stopping
        self.should_read = should_read
        self.on_read = on_read
        self.on_restored = on_restored
        self.outage_began_at: float | None = None
        self.outage_ended_at = 0.0
        self.needs_full_read = True
        self.last_read = StoreRead(is_whole=True, duration_s=0)
        self.read_began_at = 0.0
        self.wait_s = 0.0
        self.reread_at = math.inf
        self.max_wait_s: Callable[[], float] = no_limit
        self.is_interrupted = False
        self.min_pause_s: Callable[[], float] = least_pause
        self.wanted = threading.Event()
        self.is_due = True
        self.has_more = False

    def interrupt(self) -> None:
        """End a read that waits and read again; usable from any thread."""
        self.is_interrupted = True
        self.source.interrupt()

    def read_soon(self) -> None:
        """Have the store read without delay; usable from any thread.

        A read that has begun before does not count. While the store is away,
        the next read is made when it is due.
        """
        self.wanted.set()

    def run(self) -> None:
        """Read until stopped."""
        while not self.stopping.is_set():
            self.step()

    def step(self) -> None:
        """Read if this is due or wanted, and wait."""
        self.is_due = self.replica.end < 0 or self.should_read()
        if not self.is_due and not self.wanted.is_set():
            self.wanted.wait(READER_CHECK_S)
            return
        self.wanted.clear()
        pause_s = self.try_read()
        if self.outage_began_at is not None:
            self.stopping.wait(pause_s)
            return
        least_s = min(pause_s, self.min_pause_s())
        self.stopping.wait(least_s)
        self.wanted.wait(pause_s - least_s)

    def try_read(self) -> float:
        """Read once; return the seconds until the next read."""
        try:
            self.read()
        except LogError as error:
            return self.on_error(error)
        except Exception:
            logger.exception('follow_failed', extra={'topic': self.topic})
            return RETRY_S
        return self.poll_interval.pause_s

    def on_error(self, error: LogError) -> float:
        """Handle a failed read; return the seconds until the next read."""
        if isinstance(error, TrimmedError):
            logger.info(
                'records_trimmed',
                extra={'topic': self.topic, 'first': error.first},
            )
            self.needs_full_read = True
            return 0
        if isinstance(error, StoreRestoredError):
            self.needs_full_read = True
            # An earlier era is a late response; the next one may be too.
            return 0 if error.era > self.replica.era else RETRY_S
        if self.is_interrupted:
            logger.info('read_interrupted', extra={'topic': self.topic})
            return 0
        # Only the connection may have failed, so the next one is tried at once.
        is_first = self.outage_began_at is None
        self.on_outage(error)
        return 0 if is_first else RETRY_S * (1 + random.random())

    def read(self) -> None:
        """Read once; the whole topic at first and after a trimmed read."""
        self.is_interrupted = False
        self.read_began_at = clock.now()
        reread_in_s = self.reread_at - self.read_began_at
        is_whole = (
            self.needs_full_read or self.replica.end < 0 or reread_in_s <= 0
        )
        if is_whole:
            self.wait_s = 0
            page = self.source.read_latest()
            self.reread_at = math.inf
        else:
            self.wait_s = min(
                self.poll_interval.wait_s, self.max_wait_s(), reread_in_s
            )
            page = self.source.read_from(
                self.replica.end, self.wait_s, self.replica.era
            )
        self.last_read = StoreRead(is_whole, clock.now() - self.read_began_at)
        self.on_store_available()
        if page.era < self.replica.era:
            raise StoreRestoredError(page.era)
        self.apply(page)
        self.needs_full_read = False
        self.has_more = page.has_more
        if page.has_more and page.records:
            self.read_soon()
        self.on_read()

    def apply(self, page: Page) -> None:
        """Apply a page and report a new era of the store."""
        era_before = self.replica.era
        self.replica.apply(page)
        if NO_ERA < era_before < self.replica.era:
            logger.warning(
                'store_restored',
                extra={
                    'topic': self.topic,
                    'era': self.replica.era,
                    'era_before': era_before,
                    'end': self.replica.end,
                },
            )
            self.on_restored()

    def on_store_available(self) -> None:
        """Record the end of an outage, if there was one."""
        if self.outage_began_at is not None:
            now = clock.now()
            logger.info(
                'store_regained',
                extra={
                    'topic': self.topic,
                    'away_s': now - self.outage_began_at,
                },
            )
            self.outage_ended_at = now
            self.outage_began_at = None

    def on_outage(self, error: LogError) -> None:
        """Record the start of an outage, unless one is in progress."""
        if self.outage_began_at is None:
            self.outage_began_at = clock.now()
            logger.warning(
                'store_lost',
                extra={
                    'topic': self.topic,
                    'error': str(error),
                    'waited_s': round(clock.now() - self.read_began_at, 3),
                },
            )


class PeerFetchTask:
    """Fetches from peers what this host lacks.

    Parameters
    ----------
    topic : str
        Name of the topic in log lines.
    find_update : callable
        Returns a function that fetches what a peer is ahead by, None if no
        peer is ahead. The function raises ``LogOutageError`` if the peer
        cannot be read.
    stopping : threading.Event
        Ends the task when set.
    min_polls_behind : int
        Number of consecutive polls that must find a peer ahead before it is
        read.
    spread_s : float
        Longest random delay of a fetch. All hosts hear of a change at once and
        would otherwise read the same peer at once.
    """

    def __init__(
        self,
        topic: str,
        find_update: Callable[[], Callable[[], None] | None],
        stopping: threading.Event,
        min_polls_behind: int = 2,
        spread_s: float = 0,
    ) -> None:
        self.topic = topic
        self.find_update = find_update
        self.stopping = stopping
        self.min_polls_behind = min_polls_behind
        self.spread_s = spread_s
        self.polls_behind = 0

    def run(self) -> None:
        """Fetch until stopped."""
        while not self.stopping.wait(PEER_POLL_S):
            try:
                self.step()
            except LogOutageError as error:
                logger.info(
                    'peer_not_read',
                    extra={'topic': self.topic, 'error': str(error)},
                )
            except Exception:
                logger.exception('follow_failed', extra={'topic': self.topic})

    def step(self) -> None:
        """Fetch if a peer has been ahead for ``min_polls_behind`` polls.

        The store usually delivers the same records a moment later.
        """
        update = self.find_update()
        self.polls_behind = self.polls_behind + 1 if update else 0
        if update is not None and self.polls_behind >= self.min_polls_behind:
            self.stopping.wait(self.spread_s * random.random())
            update()
