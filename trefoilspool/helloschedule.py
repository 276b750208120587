"""How often a host asks silent hosts whether they are here."""

__all__ = ['HelloSchedule']

YOUNG_S = 3.0  # all hosts may start within 0.3 s, and be lost together
YOUNG_PERIOD_S = 0.08
YOUNG_PERIOD_A_HOST_S = 0.002  # keeps the sum over all hosts bounded
PERIOD_S = 0.5


class HelloSchedule:
    """Says when the next hellos are due.

    A host that has just started takes itself for the home until it has heard
    others, so it asks often at first.
    """

    def __init__(self) -> None:
        self.started: float | None = None
        self.next_at = 0.0

    def due(self, now: float, hosts: int) -> bool:
        """Tell whether to say hello now; then that counts as done.

        Parameters
        ----------
        now : float
            The present time in seconds.
        hosts : int
            How many hosts are known.
        """
        if self.started is None:
            self.started = now
        if now < self.next_at:
            return False
        self.next_at = now + self.period_s(now - self.started, hosts)
        return True

    def period_s(self, age_s: float, hosts: int) -> float:
        """Return the seconds between hellos of a host of some age."""
        if age_s >= YOUNG_S:
            return PERIOD_S
        young = YOUNG_PERIOD_S + YOUNG_PERIOD_A_HOST_S * hosts
        return min(PERIOD_S, young)
