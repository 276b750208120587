"""Which prompt parts, or whole requests, endpoints end under.

Here a part is either. It is blamed for the runs of endpoints that ended under
requests with it, unless a quarantined part explains them or requests with it
are served.
"""

import bisect
from collections import OrderedDict, defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from trefoilspool.culprits import (
    MIN_ENDS,
    SUSPECT_ENDS,
    Culprit,
    EndedProcess,
    count_moments,
    explain_away,
    likeliest,
)
from trefoilspool.departures import EndpointRun
from trefoilspool.processends import BrokenAttempt, ProcessEnds
from trefoilspool.quarantine import Quarantine
from trefoilspool.runsigns import CONFIRMATION_S
from trefoilspool.servedhistory import ServedHistory
from trefoilspool.servedreports import ServedReport

__all__ = ['CrashEvidence', 'CrashReport']

RETENTION_S = 60.0
# A part that was served so recently before its first crash, or may have been,
# needs one run more, and time for requests with it to be served.
RECENTLY_SERVED_S = 10.0
# Sound parts have shown that they are, one request at a time, once others that
# were sent at so many times were served; or, if none are, once endpoints have
# ended at so many times and for so long.
MIN_MOMENTS = 5
TRIAL_S = 2.0
# A part with fewer than one in so many of the runs that ended since its first
# one is a bystander of other causes.
MAX_RUNS_PER_OWN = 4
MAX_REPORTS = 512


class CrashReport(NamedTuple):
    """An attempt that ended with its endpoint before it could be answered.

    At most the very start of an answer had arrived.

    Attributes
    ----------
    parts : tuple of str
        Ids of the prompt's parts, all but the last, and of the whole request.
    number : int
        Number of the attempt at its entry host.
    age_s : float
        Seconds since the attempt ended.
    is_down : bool
        Whether the endpoint refused a connection right after it.
    """

    run: EndpointRun
    parts: tuple[str, ...]
    number: int
    age_s: float
    is_down: bool = False


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
    ends : ProcessEnds
        Signs of the ends of runs.
    history : ServedHistory
        The requests that were served.
    services : dict
        Services of endpoints that are available or have ended, by name.
    is_changed : bool
        Whether there are reports that have not been judged.
    blamed : frozenset of str
        Parts that the last judgement found.
    ended : list of float
        When the processes ended that no quarantine explains, oldest first.
    before : dict
        Parts before each in the prompts of reports.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine
        self.attempts: OrderedDict[tuple[str, int], BrokenAttempt] = (
            OrderedDict()
        )
        self.ends = ProcessEnds()
        self.history = ServedHistory()
        self.services: dict[str, str] = {}
        self.is_changed = False
        self.blamed: frozenset[str] = frozenset()
        self.ended: list[float] = []
        self.before: defaultdict[str, set[str]] = defaultdict(set)

    @property
    def has_news(self) -> bool:
        """Return whether there is evidence that has not been judged."""
        return self.is_changed or self.ends.is_changed

    def on_report(self, entry: str, report: CrashReport, now: float) -> None:
        """Take a report; a repeated one may tell that the endpoint is down."""
        if report.age_s > RETENTION_S:
            return
        key = (entry, report.number)
        if key not in self.attempts:
            self.add_attempt(
                key,
                BrokenAttempt(report.run, report.parts, now - report.age_s),
            )
        if report.is_down:
            ended_at = self.attempts[key].ended_at
            self.ends.on_run_ended(report.run, ended_at, is_down=True)

    def add_attempt(self, key: tuple[str, int], attempt: BrokenAttempt) -> None:
        """Add an attempt; the oldest one gives way."""
        if len(self.attempts) >= MAX_REPORTS:
            self.attempts.popitem(last=False)
        self.is_changed = True
        self.attempts[key] = attempt
        self.ends.on_broken(attempt.run, key, attempt.ended_at)

    def on_services(self, services: Mapping[str, str]) -> None:
        """Note the services of the available endpoints, by name."""
        ended = {run.name for run in self.ends.runs}
        known = {
            name: service
            for name, service in self.services.items()
            if name in ended
        }
        self.services = {**known, **services}

    def on_served(
        self, parts: tuple[str, ...], sent_at: float, service: str = ''
    ) -> None:
        """Note that a service has served a request with these parts."""
        self.is_changed |= not self.blamed.isdisjoint(parts)
        self.history.served.add(parts, service, sent_at)

    def on_served_report(
        self, entry: str, report: ServedReport, now: float
    ) -> None:
        """Take what an entry host saw served under an earlier home host."""
        self.history.on_report(entry, report, now)
        self.is_changed = True

    def forget_old(self, now: float) -> None:
        """Forget what is older than ``RETENTION_S``."""
        before = now - RETENTION_S
        while self.attempts:
            key, attempt = next(iter(self.attempts.items()))
            if attempt.ended_at >= before:
                break
            self.attempts.pop(key)
        self.history.served.forget_before(before)

    def judge(self, now: float, unconfirmed_s: float = 0) -> list[Culprit]:
        """Return the parts under which runs ended that nothing explains.

        Parameters
        ----------
        now : float
            The present time in seconds.
        unconfirmed_s : float
            For how long a run counts of which only reports say that it ended.
        """
        self.is_changed = False
        self.ends.is_changed = False
        crashes = self.unexplained(now, unconfirmed_s)
        judged = (
            self.culprit(part, ends, now)
            for part, ends in crashes.items()
            if len(ends) >= SUSPECT_ENDS
        )
        found = [
            culprit
            for culprit in judged
            if culprit.ends and self.is_frequent(culprit)
        ]
        self.blamed = frozenset(culprit.part for culprit in found)
        return found

    def culprits(self, now: float) -> list[Culprit]:
        """Return the parts to quarantine now, likeliest first."""
        found: list[Culprit] = []
        judged = self.judge(now)
        first = likeliest(judged)
        while first is not None:
            found.append(first)
            judged = explain_away(judged, first.ends)
            first = likeliest(judged)
        return found

    def suspects(self, now: float) -> list[Culprit]:
        """Return the parts of which one request at a time gets an endpoint."""
        return [
            culprit
            for culprit in self.judge(now, unconfirmed_s=CONFIRMATION_S)
            if culprit.is_suspect
        ]

    def unexplained(
        self, now: float, unconfirmed_s: float
    ) -> dict[str, dict[EndedProcess, float]]:
        """Return when processes ended under each part that nothing explains.

        Returns
        -------
        dict
            Seconds by process, by part.
        """
        crashes: defaultdict[str, dict[EndedProcess, float]] = defaultdict(dict)
        attempts = self.ends.by_process(
            [
                attempt
                for attempt in self.attempts.values()
                if now - attempt.ended_at < unconfirmed_s
                or self.is_end(attempt, now)
            ]
        )
        explained = {
            process
            for process, attempt in attempts
            if any(
                self.explains(part, attempt.ended_at) for part in attempt.parts
            )
        }
        self.before.clear()
        self.ended = sorted(
            {
                process: attempt.ended_at
                for process, attempt in reversed(attempts)
                if process not in explained
            }.values()
        )
        for process, attempt in attempts:
            if process not in explained:
                for depth, part in enumerate(attempt.parts):
                    crashes[part].setdefault(process, attempt.ended_at)
                    self.before[part].update(attempt.parts[:depth])
        return crashes

    def is_end(self, attempt: BrokenAttempt, now: float) -> bool:
        """Return whether the run of a recent attempt ended with it."""
        is_recent = now - attempt.ended_at <= RETENTION_S
        return is_recent and self.ends.is_end(attempt)

    def explains(self, part: str, at: float) -> bool:
        """Return whether a part's quarantine explains a crash at a time.

        One that was lifted explains the crashes before.
        """
        since = self.quarantine.since(part)
        if since is None:
            return False
        return part in self.quarantine.active_parts or at < since

    def culprit(
        self, part: str, ends: Mapping[EndedProcess, float], now: float
    ) -> Culprit:
        """Return what speaks for and against a part."""
        served_at = self.history.served.last_at(part)
        ends = {process: at for process, at in ends.items() if at > served_at}
        first_at = min(ends.values(), default=now)
        known_at = max(served_at, self.history.known_since_of(part, now))
        is_recent = first_at - known_at <= RECENTLY_SERVED_S
        had_chances = len(ends) > MIN_ENDS * 2 and self.is_only_unserved(
            part, first_at
        )
        if is_recent and len(ends) > MIN_ENDS and not had_chances:
            had_chances = self.had_chances(ends, first_at, now)
        return Culprit(
            part,
            ends,
            served_at,
            is_recent,
            had_chances,
            len(self.before[part]),
        )

    def is_frequent(self, culprit: Culprit) -> bool:
        """Return whether a part was at enough of the processes that ended."""
        first_at = min(culprit.ends.values())
        ended = len(self.ended) - bisect.bisect_left(self.ended, first_at)
        return len(culprit.ends) * MAX_RUNS_PER_OWN >= ended

    def is_only_unserved(self, part: str, since: float) -> bool:
        """Return whether the parts before it were all served since a time."""
        before = self.before[part]
        return bool(before) and all(
            self.history.served.last_at(other) > since for other in before
        )

    def had_chances(
        self, ends: Mapping[EndedProcess, float], first_at: float, now: float
    ) -> bool:
        """Return whether sound requests would have been served by now.

        Only those of the same services count: while all endpoints of a service
        are gone, nothing of it can be served.
        """
        since = max(first_at, self.history.known_since)
        services = {self.services.get(process.run.name, '') for process in ends}
        others = [
            at
            for service in services
            for at in self.history.served.times_since(service, since)
        ]
        return count_moments(others) >= MIN_MOMENTS or (
            count_moments(ends.values()) >= MIN_MOMENTS
            and now - since >= TRIAL_S
        )
