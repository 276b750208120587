"""The crashes that an entry host reports to the home host, and how long."""

import threading
from collections import deque
from typing import NamedTuple

from trefoilspool.crashevidence import CrashReport
from trefoilspool.departures import EndpointRun

__all__ = ['CrashReports']

REPEAT_S = 2.0
RETENTION_S = 60.0
MAX_REPORTS = 32  # a datagram holds them all
MAX_PARTS = 16  # of one request: the first ones and the last


class TimedReport(NamedTuple):
    """A report, and when its attempt ended, in seconds."""

    report: CrashReport
    ended_at: float


class CrashReports:
    """Attempts of one host that ended with their endpoint.

    Usable from any thread. Heartbeats repeat a report for ``REPEAT_S``, as
    datagrams may be lost. A new home host gets those of ``RETENTION_S``.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.reports: deque[TimedReport] = deque(maxlen=MAX_REPORTS)

    def add(
        self, run: EndpointRun, parts: tuple[str, ...], number: int, now: float
    ) -> CrashReport:
        """Add and return the report of an attempt that has just ended.

        Parameters
        ----------
        run : EndpointRun
            The endpoint's run.
        parts : tuple of str
            Ids of what the endpoint may have ended under, the widest first.
        number : int
            Number of the attempt at this host.
        now : float
            The present time in seconds.
        """
        if len(parts) > MAX_PARTS:
            parts = (*parts[: MAX_PARTS - 1], parts[-1])
        report = CrashReport(run, parts, number, 0)
        with self.lock:
            self.reports.append(TimedReport(report, now))
        return report

    def confirm(self, number: int, now: float) -> CrashReport | None:
        """Note that an attempt's endpoint is down; return the report, if kept.

        Parameters
        ----------
        number : int
            Number of the attempt at this host.
        now : float
            The present time in seconds.
        """
        with self.lock:
            for place, timed in enumerate(self.reports):
                if timed.report.number == number:
                    report = timed.report._replace(is_down=True)
                    self.reports[place] = timed._replace(report=report)
                    return report._replace(age_s=now - timed.ended_at)
        return None

    def current(self, now: float, *, home_is_new: bool) -> list[CrashReport]:
        """Return the reports that a heartbeat repeats."""
        if not self.reports:
            return []
        longest_s = RETENTION_S if home_is_new else REPEAT_S
        with self.lock:
            return [
                timed.report._replace(age_s=now - timed.ended_at)
                for timed in self.reports
                if now - timed.ended_at < longest_s
            ]
