"""Signs that a run of an endpoint's process has ended."""

from collections.abc import Iterable
from typing import NamedTuple

from trefoilspool.culprits import NEVER

__all__ = [
    'CONFIRMATION_S',
    'NO_SIGNS',
    'SIMULTANEOUS_S',
    'Outage',
    'RunSigns',
    'first_breaks',
    'with_refusal',
    'with_sign',
]

# Longest time between an attempt's end and the sign that its run has ended; the
# record of an endpoint lapses after some seconds.
CONFIRMATION_S = 5.0
# Attempts that break within this time of each other show that a run has ended.
SIMULTANEOUS_S = 0.3
MAX_SIGNS = 12  # of the end of a run
# Refused connections that are so close belong to one outage.
OUTAGE_GAP_S = 1.0


class Outage(NamedTuple):
    """When an endpoint first and last refused connections; in seconds."""

    first_at: float
    last_at: float

    def is_near(self, at: float) -> bool:
        """Return whether a connection that is refused then belongs to it."""
        return self.first_at - OUTAGE_GAP_S <= at <= self.last_at + OUTAGE_GAP_S


class RunSigns(NamedTuple):
    """What is known of the end of a run; times in seconds.

    Attributes
    ----------
    ended_at : tuple of float
        When signs showed that it has ended, oldest first.
    outages : tuple of Outage
        When it refused connections, oldest first. Its process had ended then,
        even if one with the same record responds later: without the store no
        host hears of a restart.
    broken_at : float
        When the last attempt there broke; minus infinity without one.
    collapsed_at : float
        When attempts last broke there at the same time, which only suggests
        its end; minus infinity if they have not.
    broken_attempt : tuple of str and int
        Entry host and number of the last attempt that broke.
    """

    ended_at: tuple[float, ...] = ()
    outages: tuple[Outage, ...] = ()
    broken_at: float = NEVER
    collapsed_at: float = NEVER
    broken_attempt: tuple[str, int] = ('', 0)

    def is_end(self, at: float) -> bool:
        """Return whether the run ended with an attempt that ended then."""
        return (
            abs(self.collapsed_at - at) <= SIMULTANEOUS_S
            or any(
                abs(sign_at - at) <= CONFIRMATION_S for sign_at in self.ended_at
            )
            or self.was_down(at - CONFIRMATION_S, at + CONFIRMATION_S)
        )

    def was_down(self, start: float, end: float) -> bool:
        """Return whether it refused connections between two times."""
        return any(
            outage.first_at <= end and outage.last_at >= start
            for outage in self.outages
        )


NO_SIGNS = RunSigns()


def first_breaks(
    signs: RunSigns, broken_at: Iterable[float]
) -> dict[float, float]:
    """Tell the processes apart that ran under one record.

    Parameters
    ----------
    signs : RunSigns
        Signs of the record's run.
    broken_at : iterable of float
        When attempts there broke, in seconds.

    Returns
    -------
    dict
        When the first attempt at the same process broke, by each of the times.
    """
    firsts: dict[float, float] = {}
    first_at = NEVER
    for at in sorted(broken_at):
        is_later = at - first_at > SIMULTANEOUS_S
        # A refusal at the end of this one is not from before it.
        until = at - SIMULTANEOUS_S
        if is_later and (first_at == NEVER or signs.was_down(first_at, until)):
            first_at = at
        firsts[at] = first_at
    return firsts


def with_refusal(outages: tuple[Outage, ...], at: float) -> tuple[Outage, ...]:
    """Return the outages with one more refused connection, oldest first."""
    near = {outage for outage in outages if outage.is_near(at)}
    merged = Outage(
        min((at, *(first_at for first_at, _ in near))),
        max((at, *(last_at for _, last_at in near))),
    )
    others = set(outages) - near
    return tuple(sorted((*others, merged)))[-MAX_SIGNS:]


def with_sign(times: tuple[float, ...], now: float) -> tuple[float, ...]:
    """Return the times of signs with one more, unless the last is recent."""
    if times and now - times[-1] <= CONFIRMATION_S:
        return times
    return (*times[-MAX_SIGNS:], now)
