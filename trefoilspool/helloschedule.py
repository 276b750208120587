"""The schedule of hellos, which request heartbeats from other hosts."""

__all__ = ['HelloSchedule']

# After a common failure, all hosts may restart within 0.3 s of each other.
STARTUP_S = 3.0
STARTUP_PERIOD_S = 0.08
STARTUP_PERIOD_PER_HOST_S = 0.002  # bounds the rate over all hosts
PERIOD_S = 0.5


class HelloSchedule:
    """Decides when the next hellos are due.

    A host that has just started considers itself the home host until it has
    received heartbeats from others. Several home hosts would each apply the
    limits for all hosts, so a host sends hellos often at first.
    """

    def __init__(self) -> None:
        self.started_at: float | None = None
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
        if self.started_at is None:
            self.started_at = now
        if now < self.next_at:
            return False
        self.next_at = now + self.period_s(now - self.started_at, hosts)
        return True

    def is_starting(self, now: float) -> bool:
        """Return whether this host has started less than ``STARTUP_S`` ago."""
        started_at = now if self.started_at is None else self.started_at
        return now - started_at < STARTUP_S

    def period_s(self, age_s: float, hosts: int) -> float:
        """Return the seconds between hellos, ``age_s`` after the start."""
        if age_s >= STARTUP_S:
            return PERIOD_S
        startup_s = STARTUP_PERIOD_S + STARTUP_PERIOD_PER_HOST_S * hosts
        return min(PERIOD_S, startup_s)
