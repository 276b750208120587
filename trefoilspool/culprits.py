"""Parts under which endpoints end, and which of them is the likeliest.

A part is one of a prompt, or stands for a whole request.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from trefoilspool.departures import EndpointRun
from trefoilspool.fingerprint import is_fingerprint

__all__ = [
    'MIN_ENDS',
    'NEVER',
    'SUSPECT_PAUSE_S',
    'SUSPECT_ENDS',
    'Culprit',
    'EndedProcess',
    'count_moments',
    'explain_away',
    'likeliest',
]

MIN_ENDS = 3
SUSPECT_ENDS = 2
# Between the end of a process and the next request with a suspect part; time for
# sound parts to be served, and for endpoints to be back. It doubles with each
# time at which processes ended, but for a part before the likelier cause: there
# a sound request, which shares it, is to be tried first.
SUSPECT_PAUSE_S = 0.5
MAX_SUSPECT_PAUSE_S = 4.0
MOMENT_S = 0.3
# A whole request is blamed once it has ended endpoints again so much later: one
# cause may end many endpoints at once under requests that come often.
MIN_RECURRENCE_S = 1.0
NEVER = float('-inf')


class EndedProcess(NamedTuple):
    """A process that ended; several may have run under one record.

    Attributes
    ----------
    broken_at : float
        When the first attempt there broke, in seconds.
    """

    run: EndpointRun
    broken_at: float


class Culprit(NamedTuple):
    """A part under which endpoints end; times in seconds.

    Attributes
    ----------
    ends : dict
        When processes ended under it that nothing else explains, since a
        request with it was last served.
    served_at : float
        When the last request with the part that was served was sent; minus
        infinity if none is remembered.
    is_recent : bool
        Whether that was shortly before the first of them ended, or may
        have been.
    had_chances : bool
        Whether it would have been served since then if it were sound; asked
        only of one with enough runs that was served recently.
    depth : int
        Number of parts before it in a prompt.
    """

    part: str
    ends: Mapping[EndedProcess, float]
    served_at: float
    is_recent: bool
    had_chances: bool
    depth: int

    @property
    def is_proven(self) -> bool:
        """Return whether the ends suffice for a quarantine."""
        if is_fingerprint(self.part) and not self.has_recurred:
            return False
        if self.is_recent:
            return len(self.ends) > MIN_ENDS and self.had_chances
        return len(self.ends) >= MIN_ENDS

    @property
    def has_recurred(self) -> bool:
        """Return whether they were not all at the same time."""
        times = self.ends.values()
        return max(times) - min(times) >= MIN_RECURRENCE_S

    @property
    def is_suspect(self) -> bool:
        """Return whether requests with the part should go one by one."""
        return len(self.ends) >= SUSPECT_ENDS + self.is_recent

    def held_until(self, suspects: Iterable['Culprit']) -> float:
        """Return until when requests with the part wait, in seconds."""
        pause_s = SUSPECT_PAUSE_S
        if not any(map(self.is_before, suspects)):
            moments = count_moments(self.ends.values())
            doubled_s = SUSPECT_PAUSE_S * float(2 ** (moments - 1))
            pause_s = min(doubled_s, MAX_SUSPECT_PAUSE_S)
        return max(self.ends.values()) + pause_s

    def is_before(self, other: 'Culprit') -> bool:
        """Return whether a later part of the prompts has all its ends."""
        return (
            self.depth < other.depth and self.ends.keys() <= other.ends.keys()
        )

    @property
    def order(self) -> tuple[bool, int, float]:
        """Return a key that is lowest for the likeliest cause."""
        return self.is_recent, -len(self.ends), self.served_at


def likeliest(culprits: list[Culprit]) -> Culprit | None:
    """Return the likeliest culprit, None if it is not proven yet.

    Of parts with nearly as many ends it is the one that comes last in prompts:
    the parts before it are in all its reports. A whole request has to have as
    many: one more of a part in its prompt was under another request.
    """
    proven = [culprit for culprit in culprits if culprit.is_proven]
    if not proven:
        return None
    first = min(proven, key=lambda culprit: culprit.order)
    near = [
        culprit
        for culprit in culprits
        if culprit.is_recent == first.is_recent
        and len(culprit.ends) >= len(first.ends) - slack(culprit.part)
    ]
    deepest = min(near, key=lambda culprit: (-culprit.depth, culprit.order))
    return deepest if deepest.is_proven else None


def slack(part: str) -> int:
    """Return how many ends fewer a likelier part may have."""
    return 0 if is_fingerprint(part) else 1


def explain_away(
    culprits: list[Culprit], explained: Mapping[EndedProcess, float]
) -> list[Culprit]:
    """Return what is left of culprits without the ends of another one."""
    left = []
    for culprit in culprits:
        ends = {
            process: at
            for process, at in culprit.ends.items()
            if process not in explained
        }
        if ends:
            left.append(culprit._replace(ends=ends))
    return left


def count_moments(times: Iterable[float]) -> int:
    """Return the number of times that are ``MOMENT_S`` apart."""
    moments = 0
    last_at = NEVER
    for at in sorted(times):
        if at - last_at >= MOMENT_S:
            moments += 1
            last_at = at
    return moments
