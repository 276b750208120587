"""Notices that a loop, and so probably its process, has stood still."""

import math

import logbook

__all__ = ['LONGEST_STEP_S', 'MIN_STALL_S', 'StallWatch', 'heard_at']

# Shorter ones are usual on a busy machine.
MIN_STALL_S = 0.5
# No wait for a datagram lasts as long, so that a host which has not found its
# buffer empty, or made its next step, for longer was held up. With the longest
# heartbeat period, below HOLD_TIMEOUT_S.
LONGEST_STEP_S = 0.6
# In this time after a stall what waited in the buffer has been handled.
DRAIN_S = 2.0

logger = logbook.Logger('mesh')


class StallWatch:
    """Compares when a loop was to go on with when it did.

    Each call passes the time in seconds.

    Attributes
    ----------
    due_at : float
        When the next call was expected at the latest.
    """

    def __init__(self, now: float) -> None:
        self.due_at = now

    def on_wait(self, now: float, timeout_s: float) -> None:
        """Note that the loop begins to wait, at most for ``timeout_s``."""
        self.check(now)
        self.due_at = now + timeout_s

    def on_wake(self, now: float) -> None:
        """Note that the loop goes on."""
        self.check(now)
        self.due_at = now

    def check(self, now: float) -> None:
        """Log a stall if the loop goes on much later than expected."""
        stalled_s = now - self.due_at
        if stalled_s >= MIN_STALL_S:
            logger.warning('stood_still', extra={'for_s': round(stalled_s, 3)})


def heard_at(emptied_at: float, now: float, woke_at: float = math.inf) -> float:
    """Return from when a datagram counts that is handled now, in seconds.

    After a stall it may have waited since the buffer was last empty. Otherwise it
    has arrived just now: a busy host may never find its buffer empty, though
    nothing waits there for long.

    Parameters
    ----------
    emptied_at : float
        When the buffer was last found empty, in seconds.
    now : float
        The present time in seconds.
    woke_at : float, optional
        When this host last woke from a stall, in seconds; by default it may
        have been at any time.
    """
    may_have_waited = (
        emptied_at < woke_at and now - emptied_at >= LONGEST_STEP_S
    )
    is_drained = now - woke_at >= DRAIN_S
    return emptied_at if may_have_waited and not is_drained else now
