"""The tasks that keep a replica up to date."""

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
PEER_PAUSE_S = 0.2
DUE_PAUSE_S = 0.1  # between looks whether this host reads

logger = logbook.Logger('follow')


class PollInterval(NamedTuple):
    """How often the store is read.

    Attributes
    ----------
    wait_s : float
        How long a read waits for a record.
    pause_s : float
        Pause between reads.
    """

    wait_s: float
    pause_s: float


def always() -> bool:
    """Return true."""
    return True


def nothing() -> None:
    """Do nothing."""


class StoreReplicationTask:
    """Reads a topic from the store, for as long as the host runs.

    Parameters
    ----------
    topic : str
        Name of the topic in log lines.
    source : KeyedSource
        The store.
    replica : Replica
        Takes what is read.
    pace : PollInterval
        How often to read.
    stopping : threading.Event
        Ends the task.
    due : callable
        Tells whether this host reads now; another may read for it.
    done : callable
        Called after each read.
    """

    def __init__(
        self,
        topic: str,
        source: KeyedSource,
        replica: Replica,
        pace: PollInterval,
        stopping: threading.Event,
        due: Callable[[], bool] = always,
        done: Callable[[], None] = nothing,
    ) -> None:
        self.topic = topic
        self.source = source
        self.replica = replica
        self.pace = pace
        self.stopping = stopping
        self.due = due
        self.done = done
        self.lost_at: float | None = None
        self.regained_at = 0.0
        self.trimmed = True

    def run(self) -> None:
        """Read until stopped."""
        while not self.stopping.is_set():
            if self.replica.end >= 0 and not self.due():
                self.stopping.wait(DUE_PAUSE_S)
                continue
            pause = self.pace.pause_s
            try:
                self.read()
            except TrimmedError as error:
                logger.info(
                    'records_trimmed',
                    extra={'topic': self.topic, 'first': error.first},
                )
                self.trimmed = True
                pause = 0
            except LogOutageError as error:
                self.on_outage(error)
                pause = RETRY_S * (1 + random.random())
            except Exception:
                logger.exception('follow_failed', extra={'topic': self.topic})
                pause = RETRY_S
            self.stopping.wait(pause)

    def read(self) -> None:
        """Read once; the whole topic at first and after a gap."""
        if self.trimmed or self.replica.end < 0:
            page = self.source.newest()
        else:
            page = self.source.after(self.replica.end, self.pace.wait_s)
        self.on_answer()
        self.replica.apply(page)
        self.trimmed = False
        self.done()

    def on_answer(self) -> None:
        """Note that the store answers."""
        if self.lost_at is not None:
            now = time.monotonic()
            logger.info(
                'store_regained',
                extra={'topic': self.topic, 'away_s': now - self.lost_at},
            )
            self.regained_at = now
            self.lost_at = None

    def on_outage(self, error: LogOutageError) -> None:
        """Note that the store does not answer."""
        if self.lost_at is None:
            self.lost_at = time.monotonic()
            logger.warning(
                'store_lost',
                extra={'topic': self.topic, 'error': str(error)},
            )


class PeerReplicationTask:
    """Reads what peers have and this host lacks.

    Parameters
    ----------
    topic : str
        Name of the topic in log lines.
    ahead : callable
        Returns the source of a peer that has read further than an offset.
    replica : Replica
        Takes what is read.
    stopping : threading.Event
        Ends the task.
    looks : int
        How many looks in a row find a peer ahead before it is read.
    done : callable
        Called after each read.
    """

    def __init__(
        self,
        topic: str,
        ahead: Callable[[int], KeyedSource | None],
        replica: Replica,
        stopping: threading.Event,
        looks: int = 2,
        done: Callable[[], None] = nothing,
    ) -> None:
        self.topic = topic
        self.ahead = ahead
        self.replica = replica
        self.stopping = stopping
        self.looks = looks
        self.done = done

    def run(self) -> None:
        """Read until stopped."""
        behind_since = 0
        while not self.stopping.wait(PEER_PAUSE_S):
            source = self.ahead(self.replica.end)
            behind_since = behind_since + 1 if source else 0
            # The store usually delivers the same records a moment later.
            if source is None or behind_since < self.looks:
                continue
            try:
                self.replica.apply(source.after(max(self.replica.end, 0), 0))
                self.done()
            except LogOutageError as error:
                logger.info(
                    'peer_not_read',
                    extra={'topic': self.topic, 'error': str(error)},
                )
