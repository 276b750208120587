"""What endpoints say of the load that they take from all hosts."""

import threading
from collections.abc import Iterable
from typing import NamedTuple

import logbook

from trefoilspool.departures import EndpointRun
from trefoilspool.dialect import ResponseHead

__all__ = ['HOME_REFUSALS', 'EndpointLimits', 'LimitReport']

# A limit of which nothing was heard for so long is forgotten. An endpoint with
# a limit gets a request within seconds while any come.
RETENTION_S = 300.0
# How long the end of a limit is remembered, so that an older report does not
# bring it back.
ENDED_RETENTION_S = 60.0
MAX_RUNS = 512
# Part of what a brittle endpoint can turn away that a home host may come to. The
# rest is for hosts that do not reach it.
HOME_REFUSALS = 0.5
NEVER = float('-inf')

logger = logbook.Logger('limits')


class LimitReport(NamedTuple):
    """What a host knows of the limits of an endpoint's run.

    Attributes
    ----------
    per_s : float or None
        Requests a second over all hosts; None if the endpoint takes any number
        again.
    age_s : float
        Seconds since the endpoint said so; at the end of a limit, since the
        request was sent whose response no longer named one.
    refusals_per_s : float or None
        Requests a second that it can turn away, without which it would end;
        None if it is not brittle.
    """

    run: EndpointRun
    per_s: float | None
    age_s: float
    refusals_per_s: float | None = None


class KnownLimit(NamedTuple):
    """The limits of a run.

    Attributes
    ----------
    per_s, refusals_per_s : float or None
        As in `LimitReport`.
    at : float
        When the endpoint said so, in seconds.
    is_own : bool
        Whether it said so to this host.
    """

    per_s: float | None
    at: float
    is_own: bool
    refusals_per_s: float | None = None

    @property
    def is_none(self) -> bool:
        """Return whether the run takes any load."""
        return self.per_s is None and self.refusals_per_s is None


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

    def refusals_per_s(self, run: EndpointRun) -> float | None:
        """Return the requests a second that a run can turn away, None: any."""
        return self.by_run.get(run, UNKNOWN).refusals_per_s

    def alone_per_s(self, run: EndpointRun) -> float | None:
        """Return the requests a second to a run while no home host grants.

        What it can turn away then bounds what is sent, as nobody knows whether
        it has room.
        """
        known = self.by_run.get(run, UNKNOWN)
        bounds = [known.per_s]
        if known.refusals_per_s is not None:
            bounds.append(known.refusals_per_s * (1 - HOME_REFUSALS))
        given = [bound for bound in bounds if bound is not None]
        return min(given, default=None)

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
        known = self.by_run.get(run, UNKNOWN)
        names_any = head.names_limit or head.is_brittle
        if known.is_none and not names_any:
            return False
        # Other responses may not be the endpoint's own, or be older.
        may_end = sent_at > known.at and (head.is_stamped or head.not_run)
        heard = KnownLimit(
            stated(
                head.limit_per_s, known.per_s, head.names_limit or not may_end
            ),
            now if names_any else sent_at,
            is_own=True,
            refusals_per_s=stated(
                head.refusals_per_s,
                known.refusals_per_s,
                head.is_brittle or not may_end,
            ),
        )
        if not names_any and not may_end:
            return False
        return self.adopt(run, heard, 'response')

    def merge(
        self, reports: Iterable[LimitReport], source: str, heard_at: float
    ) -> bool:
        """Adopt what another host reports; return whether any of it is new.

        Parameters
        ----------
        reports : iterable of LimitReport
            The reports, with their ages at ``heard_at``.
        source : str
            Who reports, for the log line.
        heard_at : float
            When they arrived at the earliest, in seconds.
        """
        return any(
            [
                self.adopt(
                    report.run,
                    KnownLimit(
                        report.per_s,
                        heard_at - report.age_s,
                        is_own=False,
                        refusals_per_s=report.refusals_per_s,
                    ),
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
        if limit._replace(at=known.at, is_own=known.is_own) == known:
            return False
        logger.info(
            'endpoint_limit',
            extra={
                'endpoint': run.name,
                'run': run.started_ms,
                'per_s': limit.per_s,
                'before_per_s': known.per_s,
                'refusals_per_s': limit.refusals_per_s,
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
            report_of(run, limit, now)
            for run, limit in list(self.by_run.items())
        ]

    def own_reports(
        self, now: float, max_age_s: float = RETENTION_S
    ) -> list[LimitReport]:
        """Return what endpoints have said to this host, if it still holds."""
        return [
            report_of(run, limit, now)
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
    return ENDED_RETENTION_S if limit.is_none else RETENTION_S


def report_of(run: EndpointRun, limit: KnownLimit, now: float) -> LimitReport:
    """Return what another host is told of a run."""
    return LimitReport(run, limit.per_s, now - limit.at, limit.refusals_per_s)


def stated(
    value: float | None, before: float | None, keeps: bool
) -> float | None:
    """Return what holds after a response.

    Parameters
    ----------
    value : float or None
        What it says, None if nothing that can be read.
    before : float or None
        What has held before.
    keeps : bool
        Whether that still holds if it says nothing that can be read.
    """
    if value is not None:
        return value
    return before if keeps else None
