"""Notices that a loop, and so probably its process, has stood still."""

import logbook

__all__ = ['MIN_STALL_S', 'StallWatch']

# Shorter ones are usual on a busy machine.
MIN_STALL_S = 0.5

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
