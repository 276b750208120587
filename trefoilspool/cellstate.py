"""State of one cell: endpoints, permits and waiting requests."""

import math
from collections import Counter
from typing import NamedTuple

from trefoilspool import events
from trefoilspool.fairqueue import FairQueue
from trefoilspool.health import Health
from trefoilspool.learning import EndpointRates, Lengths, Peaks
from trefoilspool.prefix import PrefixIndex

__all__ = [
    'SAFETY',
    'TIERS',
    'CellState',
    'EndpointState',
    'Permit',
    'Revocation',
]

TIERS = 4
LONG_ANSWER_FACTOR = 2.0
SAFETY = 1.25  # factor on predicted times when a deadline is judged
SERVICE_TIME_S = 0.001
BEST_TERM_S = 0.1


class Permit(NamedTuple):
    """A granted request."""

    ask: events.Ask
    endpoint: str
    granted: float
    cached_tokens: int


class Revocation(NamedTuple):
    """A permit was ordered back for a request at a time."""

    cause: events.RequestKey
    at: float


class EndpointState:
    """State of one endpoint of the cell."""

    def __init__(self, seen: events.EndpointSeen) -> None:
        self.name = seen.endpoint
        self.generation = seen.generation
        self.usable = seen.usable
        self.rates = EndpointRates(seen.slots)
        self.health = Health()
        self.permits: dict[events.RequestKey, Permit] = {}
        self.reported = 0

    @property
    def free(self) -> int:
        """Return the permits that may still be granted."""
        return math.floor(self.rates.limit) - len(self.permits)


class CellState:
    """What the parts of a cell share.

    Attributes
    ----------
    running : Counter
        Permits by tier.
    revoking : dict
        Permits that were ordered back.
    asked_at : dict
        Waiting requests with the seconds at which they came.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.endpoints: dict[str, EndpointState] = {}
        self.queues = [FairQueue() for _ in range(TIERS)]
        self.permits: dict[events.RequestKey, Permit] = {}
        self.running: Counter[int] = Counter()
        self.revoking: dict[events.RequestKey, Revocation] = {}
        self.asked_at: dict[events.RequestKey, float] = {}
        self.lengths = Lengths()
        self.prefixes = PrefixIndex()
        self.peaks = Peaks(TIERS)
        self.free = 0
        self.best = (0.0, 0.0)
        self.best_until = -math.inf

    def usable(self) -> list[EndpointState]:
        """Return the endpoints that may get new work."""
        return [one for one in self.endpoints.values() if one.usable]

    def count_free(self) -> None:
        """Count the places that are free on usable endpoints."""
        self.free = sum(max(0, one.free) for one in self.usable())

    def book(self, ask: events.Ask, endpoint: str, cached: int) -> None:
        """Record a permit."""
        permit = Permit(ask, endpoint, self.now, cached)
        self.permits[ask.request] = permit
        self.running[ask.tier] += 1
        self.free -= 1
        self.peaks.note(ask.tier, self.running, self.now)
        if endpoint in self.endpoints:
            self.endpoints[endpoint].permits[ask.request] = permit

    def unbook(self, request: events.RequestKey) -> Permit | None:
        """Remove a permit."""
        permit = self.permits.pop(request, None)
        self.revoking.pop(request, None)
        if permit is None:
            return None
        self.running[permit.ask.tier] -= 1
        endpoint = self.endpoints.get(permit.endpoint)
        if endpoint is not None:
            endpoint.permits.pop(request, None)
            self.free += endpoint.usable and endpoint.free > 0
        return permit

    def knows(self, request: events.RequestKey) -> bool:
        """Tell whether a request waits or holds a permit."""
        return request in self.asked_at or request in self.permits

    def drop_waiting(self, request: events.RequestKey) -> None:
        """Remove a request from its queue."""
        self.asked_at.pop(request, None)
        for queue in self.queues:
            queue.remove(request)

    def fastest(self, ask: events.Ask) -> float:
        """Return about the shortest predicted time to finish, in seconds.

        Rates are those of the best endpoints a moment ago, and prefixes are
        left out, so that the cost does not grow with the cell.
        """
        if ask.victim is events.VictimClass.service:
            return SERVICE_TIME_S
        if self.now >= self.best_until:
            self.best_until = self.now + BEST_TERM_S
            self.best = best_rates(self.usable())
        prefill, gap = self.best
        return ask.prompt_tokens * prefill + (1 + ask.output_tokens) * gap

    def finish_time(self, ask: events.Ask, endpoint: EndpointState) -> float:
        """Return the predicted seconds until the answer is whole."""
        if ask.victim is events.VictimClass.service:
            return SERVICE_TIME_S
        cached = self.prefixes.cached_tokens(endpoint.name, ask.prefix_hashes)
        finish = endpoint.rates.predict(ask, cached).finish
        factor = endpoint.health.score_factor
        return finish if math.isinf(factor) else finish * factor

    def in_time(self, ask: events.Ask, finish: float) -> bool:
        """Tell whether a predicted time leaves enough until the deadline.

        While lower-tier work could be revoked for a better place, a request
        takes only a place where an answer of twice the length would fit.
        """
        factor = (
            LONG_ANSWER_FACTOR if self.any_running_below(ask.tier) else SAFETY
        )
        return finish * factor <= ask.deadline - self.now

    def running_below(self, tier: int) -> int:
        """Count lower-tier permits that are not being revoked."""
        if not self.any_running_below(tier):
            return 0
        return sum(
            permit.ask.tier > tier and request not in self.revoking
            for request, permit in self.permits.items()
        )

    def any_running_below(self, tier: int) -> bool:
        """Tell whether any lower-tier permit is out."""
        return any(self.running[one] for one in range(tier + 1, TIERS))


def best_rates(endpoints: list[EndpointState]) -> tuple[float, float]:
    """Return the least seconds a prompt token and an answer's token."""
    prefill = min(
        (one.rates.trust / one.rates.prefill for one in endpoints),
        default=0,
    )
    gap = min(
        (one.rates.trust * one.rates.gap for one in endpoints),
        default=0,
    )
    return prefill, gap
