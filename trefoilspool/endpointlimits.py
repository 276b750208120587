"""How many requests a second endpoints say that they take from all hosts."""

import threading
from collections.abc import Iterable
from typing import NamedTuple

import logbook

from trefoilspool.departures import EndpointRun
from trefoilspool.dialect import ResponseHead

__all__ = ['EndpointLimits', 'LimitReport']

# A limit of which nothing was heard for so long is forgotten. An endpoint with
# a limit gets a request within seconds while any come.
RETENTION_S = 300.0
# How long the end of a limit is remembered, so that an older report does not
# bring it back.
ENDED_RETENTION_S = 60.0
MAX_RUNS = 512
NEVER = float('-inf')

logger = logbook.Logger('limits')


class LimitReport(NamedTuple):
    """What a host knows of the limit of an endpoint's run.

    Attributes
    ----------
    per_s : float or None
        Requests a second over all hosts; None if the endpoint takes any number
        again.
    age_s : float
        Seconds since the endpoint said so; at the end of a limit, since the
        request was sent whose response no longer named one.
    """

    run: EndpointRun
    per_s: float | None
    age_s: float


class KnownLimit(NamedTuple):
    """The limit of a run.

    Attributes
    ----------
    per_s : float or None
        As in `LimitReport`.
    at : float
        When the endpoint said so, in seconds.
    is_own : bool
        Whether it said so to this host.
    """

    per_s: float | None
    at: float
    is_own: bool


UNKNOWN = KnownLimit(None, NEVER, is_own=False)


class EndpointLimits:
    """Limits as this host knows them; usable from any thread.

    Attributes
    ----------
    by_run : dict
        What is known, by run; a later run has no limit until it names one.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.by_run: dict[EndpointRun, KnownLimit] = {}

    def per_s(self, run: EndpointRun) -> float | None:
        """Return the requests a second that a run takes, None for any."""
        return self.by_run.get(run, UNKNOWN).per_s

    def on_head(
        self,
        run: EndpointRun,
        head: ResponseHead,
        sent_at: float,
        now: float,
    ) -> bool:
        """Note what the head of a response says; return whether it is new.

        A value that cannot be read changes nothing.

        Parameters
        ----------
        run : EndpointRun
            The run that responded.
        head : ResponseHead
            The head of its response.
        sent_at, now : float
            When the request was sent, and the present time, in seconds.
        """
        if head.limit_per_s is not None:
            known = KnownLimit(head.limit_per_s, now, is_own=True)
            return self.adopt(run, known, 'response')
        if head.names_limit or self.per_s(run) is None:
            return False
        # Other responses may not be the endpoint's own.
        if head.is_stamped or head.not_run:
            known = KnownLimit(None, sent_at, is_own=True)
            return self.adopt(run, known, 'response')
        return False

    def merge(
        self, reports: Iterable[LimitReport], source: str, now: float
    ) -> bool:
        """Adopt what another host reports; return whether any of it is new."""
        return any(
            [
                self.adopt(
                    report.run,
                    KnownLimit(report.per_s, now - report.age_s, is_own=False),
                    source,
                )
                for report in reports
            ]
        )

    def adopt(self, run: EndpointRun, limit: KnownLimit, source: str) -> bool:
        """Replace what is known of a run unless it is newer.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        with self.lock:
            known = self.by_run.get(run, UNKNOWN)
            if limit.at <= known.at:
                return False
            self.by_run[run] = limit
            self.drop_oldest()
        if limit.per_s == known.per_s:
            return False
        logger.info(
            'endpoint_limit',
            extra={
                'endpoint': run.name,
                'run': run.started_ms,
                'per_s': limit.per_s,
                'before_per_s': known.per_s,
                'source': source,
            },
        )
        return True

    def drop_oldest(self) -> None:
        """Drop the oldest above ``MAX_RUNS``; the caller holds the lock."""
        if len(self.by_run) > MAX_RUNS:
            oldest = min(self.by_run, key=lambda run: self.by_run[run].at)
            self.by_run.pop(oldest)

    def reports(self, now: float) -> list[LimitReport]:
        """Return all that is known."""
        return [
            LimitReport(run, limit.per_s, now - limit.at)
            for run, limit in list(self.by_run.items())
        ]

    def own_reports(
        self, now: float, max_age_s: float = RETENTION_S
    ) -> list[LimitReport]:
        """Return what endpoints have said to this host, if it still holds."""
        return [
            LimitReport(run, limit.per_s, now - limit.at)
            for run, limit in list(self.by_run.items())
            if limit.is_own and now - limit.at < max_age_s
        ]

    def tick(self, now: float) -> None:
        """Forget limits of which nothing was heard for long."""
        if not self.by_run:
            return
        with self.lock:
            self.by_run = {
                run: limit
                for run, limit in self.by_run.items()
                if now - limit.at < retention_s(limit)
            }


def retention_s(limit: KnownLimit) -> float:
    """Return for how long a limit, or the end of one, is remembered."""
    return ENDED_RETENTION_S if limit.per_s is None else RETENTION_S
