"""Prompt parts that an entry host saw served, for a new home host."""

import threading
from collections.abc import Iterable
from typing import NamedTuple

from trefoilspool.fingerprint import is_fingerprint
from trefoilspool.servedrequests import ServedRequests

__all__ = ['ServedLog', 'ServedPart', 'ServedReport']

MAX_REPORTED = 96  # parts in one report


class ServedPart(NamedTuple):
    """A part, and how long ago its last served request was sent."""

    part: str
    age_s: float


class ServedReport(NamedTuple):
    """What an entry host saw served of late.

    Attributes
    ----------
    parts : tuple of ServedPart
        The parts that were served last.
    covered_s : float
        Seconds for which no other part was served there.
    """

    parts: tuple[ServedPart, ...]
    covered_s: float


class ServedLog:
    """The parts that this host saw served; usable from any thread.

    Whole requests are left out: most come once, and a report could not hold
    them.

    Parameters
    ----------
    now : float
        Since when it is kept, in seconds.
    """

    def __init__(self, now: float) -> None:
        self.lock = threading.Lock()
        self.since = now
        self.served = ServedRequests()

    def add(self, parts: Iterable[str], sent_at: float) -> None:
        """Note that a request with these parts was served."""
        shared = tuple(part for part in parts if not is_fingerprint(part))
        with self.lock:
            self.served.add(shared, '', sent_at)

    def report(self, now: float) -> ServedReport:
        """Return what was served last."""
        with self.lock:
            newest = list(self.served.by_part.items())[-MAX_REPORTED:]
            is_whole = len(newest) == len(self.served.by_part)
        covered_from = self.since
        if not is_whole:
            covered_from = max(covered_from, newest[0][1])
        parts = tuple(ServedPart(part, now - at) for part, at in newest)
        return ServedReport(parts, now - covered_from)
