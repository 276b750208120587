"""Signs that a run of an endpoint's process has ended."""

from typing import NamedTuple

from trefoilspool.culprits import NEVER

__all__ = [
    'CONFIRMATION_S',
    'NO_SIGNS',
    'SIMULTANEOUS_S',
    'RunSigns',
    'with_sign',
]

# Longest time between an attempt's end and the sign that its run has ended; the
# record of an endpoint lapses after some seconds.
CONFIRMATION_S = 5.0
# Attempts that break within this time of each other show that a run has ended.
SIMULTANEOUS_S = 0.3
MAX_SIGNS = 12  # of the end of a run


class RunSigns(NamedTuple):
    """What is known of the end of a run; times in seconds.

    Attributes
    ----------
    ended_at : tuple of float
        When signs showed that it has ended, oldest first.
    down_at : tuple of float
        When it refused a connection, oldest first. Its process had ended then,
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
    down_at: tuple[float, ...] = ()
    broken_at: float = NEVER
    collapsed_at: float = NEVER
    broken_attempt: tuple[str, int] = ('', 0)

    def is_end(self, at: float) -> bool:
        """Return whether the run ended with an attempt that ended then."""
        return abs(self.collapsed_at - at) <= SIMULTANEOUS_S or any(
            abs(sign_at - at) <= CONFIRMATION_S
            for sign_at in self.ended_at + self.down_at
        )


NO_SIGNS = RunSigns()


def with_sign(times: tuple[float, ...], now: float) -> tuple[float, ...]:
    """Return the times of signs with one more, unless the last is recent."""
    if times and now - times[-1] <= CONFIRMATION_S:
        return times
    return (*times[-MAX_SIGNS:], now)
