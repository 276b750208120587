"""Rate at which the slots of each service are granted."""

from collections import deque

__all__ = ['GrantRates']

WINDOW_S = 1.0
MIN_GRANTS_PER_S = 5.0  # lower bound, for too few grants to measure


class GrantRates:
    """Times of the slots granted within ``WINDOW_S``, by service."""

    def __init__(self) -> None:
        self.grant_times: dict[str, deque[float]] = {}

    def record(self, service: str, now: float) -> None:
        """Count a granted slot."""
        self.grant_times.setdefault(service, deque()).append(now)

    def grants_per_s(self, service: str, now: float) -> float:
        """Return the grants per second at a service, with a lower bound."""
        times = self.grant_times.get(service)
        if not times:
            return MIN_GRANTS_PER_S
        while times and times[0] < now - WINDOW_S:
            times.popleft()
        return max(MIN_GRANTS_PER_S, len(times) / WINDOW_S)
