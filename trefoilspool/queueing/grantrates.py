"""Rate at which the slots of each service are granted."""

import math
from collections import Counter, deque

from trefoilspool.queueing.order import Turn

__all__ = ['GrantRates']

WINDOW_S = 1.0
MIN_GRANTS_PER_S = 5.0  # lower bound, for too few grants to measure
HELD_GAIN = 0.02  # weight of the newest slot in the average
# Of all grants, at least so many are assumed to be left by those ahead: rates
# say little of a lane that nobody has asked for.
MIN_SHARE_LEFT = 0.1


class ServiceGrants:
    """The slots of one service granted within ``WINDOW_S``.

    Attributes
    ----------
    held_s : float
        Seconds for which a slot is held, on average; 0 if not known.
    empty_at : float
        When nothing waited last, in seconds.
    granted : deque
        Time and turn of each.
    by_turn : Counter
        Number of them by turn.
    """

    def __init__(self) -> None:
        self.granted: deque[tuple[float, Turn]] = deque()
        self.by_turn: Counter[Turn] = Counter()
        self.held_s = 0.0
        self.empty_at = -math.inf

    def add(self, turn: Turn, now: float) -> None:
        """Count a granted slot."""
        self.granted.append((now, turn))
        self.by_turn[turn] += 1

    def expire(self, now: float) -> None:
        """Forget those before the window."""
        while self.granted and self.granted[0][0] < now - WINDOW_S:
            _, turn = self.granted.popleft()
            self.by_turn[turn] -= 1


class GrantRates:
    """The slots granted of late, by service."""

    def __init__(self) -> None:
        self.services: dict[str, ServiceGrants] = {}

    def record(self, service: str, turn: Turn, now: float) -> None:
        """Count a granted slot."""
        self.services.setdefault(service, ServiceGrants()).add(turn, now)

    def grants_per_s(self, service: str, now: float) -> float:
        """Return the grants per second at a service, with a lower bound."""
        grants = self.services.get(service)
        if grants is None:
            return MIN_GRANTS_PER_S
        grants.expire(now)
        return max(MIN_GRANTS_PER_S, len(grants.granted) / WINDOW_S)

    def on_released(self, service: str, held_s: float) -> None:
        """Note for how many seconds a slot was held."""
        grants = self.services.get(service)
        if grants is not None:
            gain = HELD_GAIN if grants.held_s else 1
            grants.held_s += gain * (held_s - grants.held_s)

    def on_empty_queue(self, service: str, now: float) -> None:
        """Note that nothing waits for a slot."""
        grants = self.services.get(service)
        if grants is not None:
            grants.empty_at = now

    def left_per_s(
        self, service: str, slots: int, turn: Turn, now: float
    ) -> float:
        """Return the grants per second that requests ahead of a turn leave.

        A service whose queue was empty could have granted more than it did.

        Parameters
        ----------
        service : str
            Name of the service.
        slots : int
            Number of its slots.
        turn : Turn
            The turn; requests of the same turn count as not ahead.
        now : float
            The present time in seconds.
        """
        all_per_s = self.grants_per_s(service, now)
        grants = self.services.get(service)
        if grants is None:
            return all_per_s
        if grants.held_s and now - grants.empty_at < WINDOW_S:
            all_per_s = max(all_per_s, slots / grants.held_s)
        ahead = sum(
            count for other, count in grants.by_turn.items() if other < turn
        )
        left = all_per_s - ahead / WINDOW_S
        return max(MIN_GRANTS_PER_S, all_per_s * MIN_SHARE_LEFT, left)
