"""Which requests were served, and since when that is known."""

from typing import NamedTuple

from trefoilspool.fingerprint import is_fingerprint
from trefoilspool.servedreports import ServedReport
from trefoilspool.servedrequests import ServedRequests

__all__ = ['ServedHistory']

# Within this time all entry hosts have sent a heartbeat to a new home host.
SETTLING_S = 0.6
# They report once what they saw served; again if the home host has changed.
SAME_HOME_S = 10.0


class Coverage(NamedTuple):
    """Since when, and when, an entry host told what it saw served; seconds."""

    since: float
    told_at: float


class ServedHistory:
    """The served requests as a home host knows them, also from before it was.

    Attributes
    ----------
    served : ServedRequests
        The requests.
    known_since : float
        Since when served requests are known here, in seconds.
    entries : frozenset of str
        Entry hosts that report to this host.
    coverage : dict
        Since when it is known what each entry host saw served.
    """

    def __init__(self) -> None:
        self.served = ServedRequests()
        self.known_since = float('inf')
        self.entries: frozenset[str] = frozenset()
        self.coverage: dict[str, Coverage] = {}

    def on_report(self, entry: str, report: ServedReport, now: float) -> None:
        """Take what an entry host saw served under an earlier home host."""
        for part, age_s in report.parts:
            self.served.note(part, now - age_s)
        told = Coverage(now - report.covered_s, now)
        before = self.coverage.get(entry, told)
        # A later report is about another time as home host.
        if now - before.told_at < SAME_HOME_S:
            told = told._replace(since=min(before.since, told.since))
        self.coverage[entry] = told

    def known_since_of(self, part: str, now: float) -> float:
        """Return since when it is known whether a part was served, in seconds.

        For prompt parts that is earlier than this host is home host, once all
        entry hosts have told what they saw served.
        """
        is_settled = now - self.known_since >= SETTLING_S
        if is_fingerprint(part) or not (is_settled and self.entries):
            return self.known_since
        nothing = Coverage(self.known_since, now)
        covered_since = max(
            self.coverage.get(entry, nothing).since for entry in self.entries
        )
        return min(self.known_since, covered_since)
