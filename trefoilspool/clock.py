"""The clock by which hosts measure durations and deadlines."""

import time

__all__ = ['now']


def now() -> float:
    """Return seconds on a clock that never jumps.

    Unlike ``time.monotonic``, it also counts the time for which the machine
    was suspended, so that what expired meanwhile is known to have expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
