"""Which endpoints this host reaches, by itself or through others."""

import threading
from collections.abc import Iterable
from typing import NamedTuple

import logbook

from trefoilspool.departures import EndpointRun
from trefoilspool.errors import ConnectFailedError

__all__ = ['BrokenPath', 'PathTable']

# An endpoint that no way led to is not tried again for so long.
UNREACHABLE_S = 0.3
# What was reached so recently shows that this host's network works.
REACHED_S = 1.0

logger = logbook.Logger('paths')


class BrokenPath(NamedTuple):
    """A path on which this host's own connections fail.

    Attributes
    ----------
    since, checked_at : float
        When a connection failed first and last, in seconds.
    """

    since: float
    checked_at: float


class FailedRun(NamedTuple):
    """A run to which no way led.

    Attributes
    ----------
    until : float
        Time until which it is not tried again, in seconds.
    error : ConnectFailedError
        What tells whether it is at fault.
    """

    until: float
    error: ConnectFailedError


class ReachedRun(NamedTuple):
    """A run that this host has reached, and when, in seconds."""

    run: EndpointRun
    at: float


NEVER_REACHED = ReachedRun(EndpointRun('', 0), float('-inf'))


class PathTable:
    """What this host knows of its paths to endpoints; thread-safe.

    Only broken paths are kept, so that the table is empty on a sound host.

    Attributes
    ----------
    broken : dict
        Broken paths by the endpoint's run.
    failures : dict
        The runs that are not tried again for a while, by run.
    newest, newest_other : ReachedRun
        The run that was reached last, and the last one besides it.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.broken: dict[EndpointRun, BrokenPath] = {}
        self.failures: dict[EndpointRun, FailedRun] = {}
        self.newest = NEVER_REACHED
        self.newest_other = NEVER_REACHED

    def is_broken(self, run: EndpointRun) -> bool:
        """Return whether this host's own connections to a run fail."""
        return run in self.broken

    def on_reached(self, run: EndpointRun, now: float) -> None:
        """Note that a connection of this host's own to a run was made."""
        self.on_heard(run, now)
        with self.lock:
            self.failures.pop(run, None)
            path = self.broken.pop(run, None)
        if path is not None:
            logger.info(
                'path_works',
                extra={
                    'endpoint': run.name,
                    'broken_s': round(now - path.since, 3),
                },
            )

    def on_heard(self, run: EndpointRun, now: float) -> None:
        """Note that a run was heard, perhaps on a connection of before."""
        with self.lock:
            if run != self.newest.run:
                self.newest_other = self.newest
            self.newest = ReachedRun(run, now)

    def on_broken(self, run: EndpointRun, detail: str, now: float) -> None:
        """Note that this host's path to a run is broken.

        Parameters
        ----------
        run : EndpointRun
            The endpoint's run.
        detail : str
            What shows it.
        now : float
            The present time in seconds.
        """
        with self.lock:
            known = self.broken.get(run)
            since = known.since if known else now
            self.broken[run] = BrokenPath(since, now)
        if known is None:
            logger.info(
                'path_broken',
                extra={'endpoint': run.name, 'detail': detail},
            )

    def on_failed(
        self, run: EndpointRun, error: ConnectFailedError, now: float
    ) -> None:
        """Note that no way led to a run.

        Parameters
        ----------
        run : EndpointRun
            The endpoint's run.
        error : ConnectFailedError
            What tells whether it is at fault.
        now : float
            The present time in seconds.
        """
        with self.lock:
            self.failures[run] = FailedRun(now + UNREACHABLE_S, error)

    def on_relayed(self, run: EndpointRun) -> None:
        """Note that another host leads to a run."""
        with self.lock:
            self.failures.pop(run, None)

    def recent_failure(
        self, run: EndpointRun, now: float
    ) -> ConnectFailedError | None:
        """Return why a run is not tried, None if it is."""
        failed = self.failures.get(run)
        return failed.error if failed and now < failed.until else None

    def unreachable(
        self, runs: Iterable[EndpointRun], now: float
    ) -> dict[str, float]:
        """Return the runs that are not tried, by name, with the seconds left.

        Parameters
        ----------
        runs : iterable of EndpointRun
            The runs that are asked for.
        now : float
            The present time in seconds.
        """
        if not self.failures:
            return {}
        failures = self.failures
        return {
            run.name: failures[run].until - now
            for run in runs
            if self.recent_failure(run, now)
        }

    def reaches_other(self, run: EndpointRun, now: float) -> bool:
        """Return whether this host has just reached another run by itself."""
        with self.lock:
            other = self.newest_other if run == self.newest.run else self.newest
        return now - other.at < REACHED_S

    def forget(self, runs: frozenset[EndpointRun], now: float) -> None:
        """Drop what is known of other runs than these, and what is over."""
        with self.lock:
            self.broken = {
                run: path for run, path in self.broken.items() if run in runs
            }
            self.failures = {
                run: failed
                for run, failed in self.failures.items()
                if failed.until > now
            }
