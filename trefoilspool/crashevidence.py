"""Which prompt parts endpoints end under.

A part is blamed for the runs of endpoints that ended under requests with it,
unless a quarantined part explains them or requests with it are served.
"""

from collections import OrderedDict, defaultdict, deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from trefoilspool.departures import EndpointRun
from trefoilspool.quarantine import Quarantine

__all__ = ['CrashEvidence', 'CrashReport', 'Culprit']

RETENTION_S = 60.0
# Longest time between an attempt's end and the sign that its run has ended; the
# record of an endpoint lapses after some seconds.
CONFIRMATION_S = 5.0
# Attempts that break within this time of each other show that a run has ended.
SIMULTANEOUS_S = 0.3
MIN_RUNS = 3
SUSPECT_RUNS = 2
# A part that was served so recently before its first crash, or may have been,
# needs one run more, and a sign that endpoints serve other requests; as do
# several parts with the same runs.
RECENTLY_SERVED_S = 10.0
MIN_OTHERS_SERVED = 3
# Crashes this far apart are not of one cause that ends many endpoints at once.
MOMENT_S = 0.5
MIN_MOMENTS = 4
# A part is no culprit if requests with it were served this many times less than
# endpoints ended, or more.
CRASHES_PER_SERVED = 3
MAX_REPORTS = 2048
MAX_RUNS = 512
MAX_PARTS = 4096
MAX_SIGNS = 12  # of the end of a run
ANY_PART = ''
MAX_SERVED_TIMES = 64  # of a part


class CrashReport(NamedTuple):
    """An attempt that ended with its endpoint before it could be answered.

    At most the very start of an answer had arrived.

    Attributes
    ----------
    parts : tuple of str
        Ids of the prompt's parts, all but the last.
    number : int
        Number of the attempt at its entry host.
    age_s : float
        Seconds since the attempt ended.
    """

    run: EndpointRun
    parts: tuple[str, ...]
    number: int
    age_s: float


class BrokenAttempt(NamedTuple):
    """A reported attempt, and when it ended in seconds."""

    run: EndpointRun
    parts: tuple[str, ...]
    ended_at: float


class RunSigns(NamedTuple):
    """What is known of the end of a run; times in seconds.

    Attributes
    ----------
    ended_at : tuple of float
        When signs showed that it has ended, oldest first.
    broken_at : float
        When the last attempt there broke; minus infinity without one.
    collapsed_at : float
        When attempts last broke there at the same time, which only suggests
        its end; minus infinity if they have not.
    broken_attempt : tuple of str and int
        Entry host and number of the last attempt that broke.
    """

    ended_at: tuple[float, ...] = ()
    broken_at: float = float('-inf')
    collapsed_at: float = float('-inf')
    broken_attempt: tuple[str, int] = ('', 0)

    def is_end(self, at: float) -> bool:
        """Return whether the run ended with an attempt that ended then."""
        return abs(self.collapsed_at - at) <= SIMULTANEOUS_S or any(
            abs(ended_at - at) <= CONFIRMATION_S for ended_at in self.ended_at
        )


class Culprit(NamedTuple):
    """A part under which endpoints end.

    Attributes
    ----------
    runs : frozenset of EndpointRun
        Runs that ended under it and that nothing else explains.
    first_at : float
        When the first of them ended, in seconds.
    moments : int
        Number of times at which runs ended.
    served, served_before : int
        Requests with the part that were served, sent since then and before.
    others_served : int
        Requests without it that were served, sent since then.
    is_recent : bool
        Whether one with it was served shortly before, or may have been.
    """

    part: str
    runs: frozenset[EndpointRun]
    first_at: float
    moments: int
    served: int
    served_before: int
    others_served: int
    is_recent: bool

    @property
    def is_proven(self) -> bool:
        """Return whether the runs suffice for a quarantine."""
        if self.served * CRASHES_PER_SERVED >= len(self.runs):
            return False
        if self.is_recent:
            return self.is_told_apart
        return len(self.runs) >= MIN_RUNS

    @property
    def is_told_apart(self) -> bool:
        """Return whether sound parts would show by now that they are."""
        return len(self.runs) > MIN_RUNS and (
            self.others_served >= MIN_OTHERS_SERVED
            or self.moments >= MIN_MOMENTS
        )

    @property
    def is_suspect(self) -> bool:
        """Return whether requests with the part should go one by one."""
        return (
            len(self.runs) >= SUSPECT_RUNS + self.is_recent and not self.served
        )

    @property
    def order(self) -> tuple[bool, int, int, int]:
        """Return a key that is lowest for the likeliest cause."""
        return (
            self.served_before > 0,
            -len(self.runs),
            self.served,
            self.served_before,
        )


class CrashEvidence:
    """Reports of attempts that ended with their endpoints.

    Parameters
    ----------
    quarantine : Quarantine
        Parts that explain the runs that ended under them.

    Attributes
    ----------
    attempts : dict
        Reported attempts by entry host and number, oldest first.
    runs : dict
        Signs of the ends of runs, by run.
    served_times : dict
        When requests with a part were sent that were served, by part.
    known_since : float
        Since when served requests are known here, in seconds.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine
        self.attempts: OrderedDict[tuple[str, int], BrokenAttempt] = (
            OrderedDict()
        )
        self.runs: OrderedDict[EndpointRun, RunSigns] = OrderedDict()
        self.served_times: OrderedDict[str, deque[float]] = OrderedDict()
        self.known_since = float('inf')

    def on_report(self, entry: str, report: CrashReport, now: float) -> None:
        """Take a report; repeated ones change nothing."""
        key = (entry, report.number)
        if report.age_s > RETENTION_S or key in self.attempts:
            return
        ended_at = now - report.age_s
        self.attempts[key] = BrokenAttempt(report.run, report.parts, ended_at)
        self.on_broken(report.run, key, ended_at)
        if len(self.attempts) > MAX_REPORTS:
            self.attempts.popitem(last=False)

    def on_broken(
        self, run: EndpointRun, attempt: tuple[str, int], at: float
    ) -> None:
        """Note an attempt that broke at a run, whether reported or not."""
        signs = self.runs.get(run, RunSigns())
        if signs.broken_attempt == attempt:
            return
        is_collapse = abs(signs.broken_at - at) <= SIMULTANEOUS_S
        self.set_signs(
            run,
            signs._replace(
                broken_at=at,
                broken_attempt=attempt,
                collapsed_at=at if is_collapse else signs.collapsed_at,
            ),
        )

    def on_run_ended(self, run: EndpointRun, now: float) -> None:
        """Note a sign that a run has ended."""
        signs = self.runs.get(run, RunSigns())
        if signs.ended_at and now - signs.ended_at[-1] <= CONFIRMATION_S:
            return
        ended_at = (*signs.ended_at[-MAX_SIGNS:], now)
        self.set_signs(run, signs._replace(ended_at=ended_at))

    def on_run_alive(self, run: EndpointRun, since: float) -> None:
        """Note that a run has answered a request that was sent at a time.

        Attempts that broke there together before did not end it.
        """
        signs = self.runs.get(run)
        if signs is not None and signs.collapsed_at < since:
            self.runs[run] = signs._replace(collapsed_at=float('-inf'))

    def set_signs(self, run: EndpointRun, signs: RunSigns) -> None:
        """Replace the signs of a run."""
        self.runs[run] = signs
        if len(self.runs) > MAX_RUNS:
            self.runs.popitem(last=False)

    def on_served(self, parts: tuple[str, ...], sent_at: float) -> None:
        """Note that a request with these parts was served."""
        for part in (ANY_PART, *parts):
            times = self.served_times.get(part)
            if times is None:
                times = deque(maxlen=MAX_SERVED_TIMES)
                self.served_times[part] = times
            times.append(sent_at)
            self.served_times.move_to_end(part)
        while len(self.served_times) > MAX_PARTS:
            self.served_times.popitem(last=False)

    def forget_old(self, now: float) -> None:
        """Forget what is older than ``RETENTION_S``."""
        before = now - RETENTION_S
        while self.attempts:
            key, attempt = next(iter(self.attempts.items()))
            if attempt.ended_at >= before:
                break
            self.attempts.pop(key)
        while self.served_times:
            part, times = next(iter(self.served_times.items()))
            if max(times) >= before:
                break
            self.served_times.pop(part)

    def culprits(self, now: float) -> list[Culprit]:
        """Return the parts to quarantine now, likeliest first."""
        crashes = self.unexplained(now)
        found: list[Culprit] = []
        while crashes:
            convicted = likeliest(
                [self.culprit(part, runs) for part, runs in crashes.items()]
            )
            if not convicted:
                break
            found.extend(convicted)
            crashes = without_runs(crashes, convicted[0].runs)
        return found

    def suspects(self, now: float) -> list[Culprit]:
        """Return the parts of which one request at a time gets an endpoint."""
        judged = (
            self.culprit(part, runs)
            for part, runs in self.unexplained(now).items()
        )
        return [culprit for culprit in judged if culprit.is_suspect]

    def unexplained(self, now: float) -> dict[str, dict[EndpointRun, float]]:
        """Return when runs ended under each part that nothing explains.

        Returns
        -------
        dict
            Seconds by run, by part.
        """
        crashes: defaultdict[str, dict[EndpointRun, float]] = defaultdict(dict)
        explained = set()
        for attempt in self.attempts.values():
            if now - attempt.ended_at > RETENTION_S:
                continue
            if not self.runs.get(attempt.run, RunSigns()).is_end(
                attempt.ended_at
            ):
                continue
            for part in attempt.parts:
                crashes[part].setdefault(attempt.run, attempt.ended_at)
                if self.explains(part, attempt.ended_at):
                    explained.add(attempt.run)
        return without_runs(crashes, explained)

    def explains(self, part: str, at: float) -> bool:
        """Return whether a part's quarantine explains a crash at a time.

        One that was lifted explains the crashes before.
        """
        since = self.quarantine.since(part)
        if since is None:
            return False
        return part in self.quarantine.active_parts or at < since

    def culprit(self, part: str, runs: Mapping[EndpointRun, float]) -> Culprit:
        """Return what speaks for and against a part."""
        first_at = min(runs.values())
        times = self.served_times.get(part, ())
        before = [at for at in times if at < first_at]
        served = len(times) - len(before)
        any_served = sum(
            at >= first_at for at in self.served_times.get(ANY_PART, ())
        )
        last_at = max(before, default=self.known_since)
        return Culprit(
            part,
            frozenset(runs),
            first_at,
            count_moments(runs.values()),
            served,
            len(before),
            any_served - served,
            first_at - last_at <= RECENTLY_SERVED_S,
        )


def likeliest(culprits: list[Culprit]) -> list[Culprit]:
    """Return the likeliest proven culprit, or all with the same runs.

    These need one run more, and those that were served least are taken.
    """
    proven = sorted(
        (culprit for culprit in culprits if culprit.is_proven),
        key=lambda culprit: culprit.order,
    )
    if not proven:
        return []
    first = proven[0]
    tied = [
        culprit
        for culprit in proven
        if culprit.runs == first.runs and culprit.order == first.order
    ]
    if len(tied) > 1 and not first.is_told_apart:
        return []
    return tied


def count_moments(times: Iterable[float]) -> int:
    """Return the number of times that are ``MOMENT_S`` apart."""
    moments = 0
    last_at = float('-inf')
    for at in sorted(times):
        if at - last_at >= MOMENT_S:
            moments += 1
            last_at = at
    return moments


def without_runs(
    crashes: Mapping[str, dict[EndpointRun, float]],
    explained: frozenset[EndpointRun] | set[EndpointRun],
) -> dict[str, dict[EndpointRun, float]]:
    """Return the crashes of each part without those of some runs."""
    left = {
        part: {run: at for run, at in runs.items() if run not in explained}
        for part, runs in crashes.items()
    }
    return {part: runs for part, runs in left.items() if runs}
