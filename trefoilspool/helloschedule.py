"""The schedule of hellos, which ask unresponsive hosts for a heartbeat."""

__all__ = ['HelloSchedule']

STARTUP_S = 3.0  # all hosts may start within 0.3 s, and be lost together
STARTUP_PERIOD_S = 0.08
STARTUP_PERIOD_PER_HOST_S = 0.002  # keeps the sum over all hosts bounded
PERIOD_S = 0.5


class HelloSchedule:
    """Decides when the next hellos are due.

    A host that has just started takes itself for the home host until it has
    received heartbeats from others, so it sends hellos often at first.
    """

    def __init__(self) -> None:
        self.started: float | None = None
        self.next_at = 0.0

    def due(self, now: float, hosts: int) -> bool:
        """Return whether hellos are due; if so, schedule the next ones.

        Parameters
        ----------
        now : float
            The present time in seconds.
        hosts : int
            Number of known hosts.
        """
        if self.started is None:
            self.started = now
        if now < self.next_at:
            return False
        self.next_at = now + self.period_s(now - self.started, hosts)
        return True

    def period_s(self, age_s: float, hosts: int) -> float:
        """Return the seconds between hellos, ``age_s`` after the start."""
        if age_s >= STARTUP_S:
            return PERIOD_S
        startup_s = STARTUP_PERIOD_S + STARTUP_PERIOD_PER_HOST_S * hosts
        return min(PERIOD_S, startup_s)
