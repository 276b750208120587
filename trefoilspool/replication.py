"""Tasks that keep replicas up to date."""

import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import logbook

from trefoilspool.errors import LogOutageError, TrimmedError
from trefoilspool.replica import Replica
from trefoilspool.store import KeyedSource

__all__ = ['PeerReplicationTask', 'PollInterval', 'StoreReplicationTask']

RETRY_S = 0.3
PEER_POLL_S = 0.2
READER_CHECK_S = 0.1  # between calls of should_read

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


def always_true() -> bool:
    """Return true."""
    return True


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
    ) -> None:
        self.topic = topic
        self.source = source
        self.replica = replica
        self.poll_interval = poll_interval
        self.stopping = stopping
        self.should_read = should_read
        self.on_read = on_read
        self.outage_began_at: float | None = None
        self.outage_ended_at = 0.0
        self.needs_full_read = True

    def run(self) -> None:
        """Read until stopped."""
        while not self.stopping.is_set():
            if self.replica.end >= 0 and not self.should_read():
                self.stopping.wait(READER_CHECK_S)
                continue
            pause = self.poll_interval.pause_s
            try:
                self.read()
            except TrimmedError as error:
                logger.info(
                    'records_trimmed',
                    extra={'topic': self.topic, 'first': error.first},
                )
                self.needs_full_read = True
                pause = 0
            except LogOutageError as error:
                self.on_outage(error)
                pause = RETRY_S * (1 + random.random())
            except Exception:
                logger.exception('follow_failed', extra={'topic': self.topic})
                pause = RETRY_S
            self.stopping.wait(pause)

    def read(self) -> None:
        """Read once; the whole topic at first and after a trimmed read."""
        if self.needs_full_read or self.replica.end < 0:
            page = self.source.read_latest()
        else:
            page = self.source.read_from(
                self.replica.end,
                self.poll_interval.wait_s,
            )
        self.on_store_available()
        self.replica.apply(page)
        self.needs_full_read = False
        self.on_read()

    def on_store_available(self) -> None:
        """Record the end of an outage, if there was one."""
        if self.outage_began_at is not None:
            now = time.monotonic()
            logger.info(
                'store_regained',
                extra={
                    'topic': self.topic,
                    'away_s': now - self.outage_began_at,
                },
            )
            self.outage_ended_at = now
            self.outage_began_at = None

    def on_outage(self, error: LogOutageError) -> None:
        """Record the start of an outage, unless one is in progress."""
        if self.outage_began_at is None:
            self.outage_began_at = time.monotonic()
            logger.warning(
                'store_lost',
                extra={'topic': self.topic, 'error': str(error)},
            )


class PeerReplicationTask:
    """Reads from peers the records that this host lacks.

    Parameters
    ----------
    topic : str
        Name of the topic in log lines.
    find_source : callable
        Returns the source of a peer that has read beyond an offset, None if
        there is no such peer.
    replica : Replica
        Replica to which the records are applied.
    stopping : threading.Event
        Ends the task when set.
    min_polls_behind : int
        Number of consecutive polls that must find a peer ahead before it is
        read.
    on_read : callable
        Called after each read.
    """

    def __init__(
        self,
        topic: str,
        find_source: Callable[[int], KeyedSource | None],
        replica: Replica,
        stopping: threading.Event,
        min_polls_behind: int = 2,
        on_read: Callable[[], None] = no_op,
    ) -> None:
        self.topic = topic
        self.find_source = find_source
        self.replica = replica
        self.stopping = stopping
        self.min_polls_behind = min_polls_behind
        self.on_read = on_read

    def run(self) -> None:
        """Read until stopped."""
        polls_behind = 0
        while not self.stopping.wait(PEER_POLL_S):
            source = self.find_source(self.replica.end)
            polls_behind = polls_behind + 1 if source else 0
            # Waits for min_polls_behind polls, as the store usually delivers
            # the same records a moment later.
            if source is None or polls_behind < self.min_polls_behind:
                continue
            try:
                self.replica.apply(
                    source.read_from(max(self.replica.end, 0), 0),
                )
                self.on_read()
            except LogOutageError as error:
                logger.info(
                    'peer_not_read',
                    extra={'topic': self.topic, 'error': str(error)},
                )
