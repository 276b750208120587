"""Which prompt part endpoints end under."""

from typing import NamedTuple

from trefoilspool.departures import EndpointRun

__all__ = ['CrashReport']


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
