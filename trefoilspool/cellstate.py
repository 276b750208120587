"""State of one cell: endpoints, permits and waiting requests."""

import math
from collections import Counter
from typing import NamedTuple

from trefoilspool import events
from trefoilspool.fairqueue import FairQueue
from trefoilspool.health import Health
from trefoilspool.learning import AnswerLengths, EndpointRates, RunningPeaks
from trefoilspool.prefix import PrefixIndex

__all__ = [
    'SAFETY_FACTOR',
    'TIERS',
    'CellState',
    'EndpointState',
    'PermitRecord',
    'Revocation',
]

TIERS = 4
LONG_ANSWER_FACTOR = 2.0
SAFETY_FACTOR = 1.25  # on predicted times, when compared with a deadline
SERVICE_CALL_TIME_S = 0.001
MIN_TOKEN_TIMES_TTL_S = 0.1


class PermitRecord(NamedTuple):
    """A permit that was granted and has not ended."""

    ask: events.Ask
    endpoint: str
    granted: float
    cached_tokens: int


class Revocation(NamedTuple):
    """The request that a permit is revoked for, and when it was last sent."""

    cause: events.RequestKey
    sent_at: float


class EndpointState:
    """State of one endpoint of the cell."""

    def __init__(self, seen: events.EndpointSeen) -> None:
        self.name = seen.endpoint
        self.generation = seen.generation
        self.usable = seen.usable
        self.rates = EndpointRates(seen.slots)
        self.health = Health()
        self.permits: dict[events.RequestKey, PermitRecord] = {}
        self.reported = 0

    @property
    def free_permits(self) -> int:
        """Return how many more permits may be granted.

        Negative if more are held than the limit allows.
        """
        return math.floor(self.rates.limit) - len(self.permits)


class CellState:
    """State that the parts of a cell share.

    Attributes
    ----------
    running : Counter
        Permits by tier.
    revocations : dict
        Permits whose revocation has not been acknowledged.
    asked_at : dict
        Waiting requests with the time of their arrival in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.endpoints: dict[str, EndpointState] = {}
        self.queues = [FairQueue() for _ in range(TIERS)]
        self.permits: dict[events.RequestKey, PermitRecord] = {}
        self.running: Counter[int] = Counter()
        self.revocations: dict[events.RequestKey, Revocation] = {}
        self.asked_at: dict[events.RequestKey, float] = {}
        self.answer_lengths = AnswerLengths()
        self.prefixes = PrefixIndex()
        self.peaks = RunningPeaks(TIERS)
        self.free_permits = 0
        self.min_token_times = (0.0, 0.0)
        self.min_token_times_expiry = -math.inf

    def usable_endpoints(self) -> list[EndpointState]:
        """Return the endpoints that may get new requests."""
        return [
            endpoint for endpoint in self.endpoints.values() if endpoint.usable
        ]

    def count_free_permits(self) -> None:
        """Recount the permits that are free at usable endpoints."""
        self.free_permits = sum(
            max(0, endpoint.free_permits)
            for endpoint in self.usable_endpoints()
        )

    def add_permit(self, ask: events.Ask, endpoint: str, cached: int) -> None:
        """Record a granted permit."""
        permit = PermitRecord(ask, endpoint, self.now, cached)
        self.permits[ask.request] = permit
        self.running[ask.tier] += 1
        self.free_permits -= 1
        self.peaks.observe(ask.tier, self.running, self.now)
        if endpoint in self.endpoints:
            self.endpoints[endpoint].permits[ask.request] = permit

    def remove_permit(self, request: events.RequestKey) -> PermitRecord | None:
        """Remove and return a permit, None if there is none."""
        permit = self.permits.pop(request, None)
        self.revocations.pop(request, None)
        if permit is None:
            return None
        self.running[permit.ask.tier] -= 1
        endpoint = self.endpoints.get(permit.endpoint)
        if endpoint is not None:
            endpoint.permits.pop(request, None)
            self.free_permits += endpoint.usable and endpoint.free_permits > 0
        return permit

    def has_request(self, request: events.RequestKey) -> bool:
        """Return whether a request waits or holds a permit."""
        return request in self.asked_at or request in self.permits

    def drop_waiting(self, request: events.RequestKey) -> None:
        """Remove a request from its queue."""
        self.asked_at.pop(request, None)
        for queue in self.queues:
            queue.remove(request)

    def min_finish_time(self, ask: events.Ask) -> float:
        """Estimate the shortest time to finish at any endpoint, in seconds.

        Token times are cached for ``MIN_TOKEN_TIMES_TTL_S`` and cached
        prefixes are ignored, so that the cost of the estimate does not grow
        with the number of endpoints.
        """
        if ask.victim is events.VictimClass.service:
            return SERVICE_CALL_TIME_S
        if self.now >= self.min_token_times_expiry:
            self.min_token_times_expiry = self.now + MIN_TOKEN_TIMES_TTL_S
            self.min_token_times = min_token_times(
                self.usable_endpoints(),
            )
        prefill, gap = self.min_token_times
        return ask.prompt_tokens * prefill + (1 + ask.output_tokens) * gap

    def finish_time(self, ask: events.Ask, endpoint: EndpointState) -> float:
        """Return the predicted seconds until the response is complete."""
        if ask.victim is events.VictimClass.service:
            return SERVICE_CALL_TIME_S
        cached = self.prefixes.cached_tokens(endpoint.name, ask.prefix_hashes)
        finish = endpoint.rates.predict(ask, cached).finish
        factor = endpoint.health.time_factor
        # An ejected endpoint is kept out by Cell.open_to, not by its times.
        return finish if math.isinf(factor) else finish * factor

    def meets_deadline(self, ask: events.Ask, finish: float) -> bool:
        """Return whether a predicted time fits within the deadline.

        A safety factor applies. While any lower-tier permit is held, the
        request could preempt it instead of taking a slow endpoint, so the
        larger ``LONG_ANSWER_FACTOR`` applies, which leaves time for a response
        of twice the predicted length.
        """
        factor = (
            LONG_ANSWER_FACTOR
            if self.any_running_below(ask.tier)
            else SAFETY_FACTOR
        )
        return finish * factor <= ask.deadline - self.now

    def running_below(self, tier: int) -> int:
        """Count the lower-tier permits that are not being revoked."""
        if not self.any_running_below(tier):
            return 0
        return sum(
            permit.ask.tier > tier and request not in self.revocations
            for request, permit in self.permits.items()
        )

    def any_running_below(self, tier: int) -> bool:
        """Return whether any lower-tier permit is held."""
        return any(self.running[lower] for lower in range(tier + 1, TIERS))


def min_token_times(endpoints: list[EndpointState]) -> tuple[float, float]:
    """Return the shortest seconds per prompt token and per output token."""
    prefill = min(
        (
            endpoint.rates.confidence / endpoint.rates.prefill
            for endpoint in endpoints
        ),
        default=0,
    )
    gap = min(
        (
            endpoint.rates.confidence * endpoint.rates.gap
            for endpoint in endpoints
        ),
        default=0,
    )
    return prefill, gap
