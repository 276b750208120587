"""How many places of each service become free in a second."""

from collections import deque

__all__ = ['GrantRates']

SPAN_S = 1.0
FLOOR = 5.0  # places a second, while too few were given to tell


class GrantRates:
    """Counts the places that were given in the last second."""

    def __init__(self) -> None:
        self.times: dict[str, deque[float]] = {}

    def count(self, service: str, now: float) -> None:
        """Count a place that was given."""
        self.times.setdefault(service, deque()).append(now)

    def of(self, service: str, now: float) -> float:
        """Return the places a second of a service."""
        times = self.times.get(service)
        if not times:
            return FLOOR
        while times and times[0] < now - SPAN_S:
            times.popleft()
        return max(FLOOR, len(times) / SPAN_S)
