"""Minimum share of a service's slots for each rank, to prevent starvation."""

import math
from collections.abc import Iterable

__all__ = ['MinimumShares']

HALF_LIFE_S = 4.0
MIN_RELATIVE_SHARE = 0.35  # of the service's grant share over all ranks
MIN_REQUESTS = 8.0  # fewer are too small a sample


class DecayingCounts:
    """Requests and grants of one rank, with exponential decay."""

    def __init__(self) -> None:
        self.asks = 0.0
        self.grants = 0.0
        self.updated_at = 0.0

    def decay(self, now: float) -> None:
        """Apply the decay since the last call."""
        factor = math.exp2((self.updated_at - now) / HALF_LIFE_S)
        self.asks *= factor
        self.grants *= factor
        self.updated_at = now


class MinimumShares:
    """Detects the ranks of a service that get too few slots.

    Grants follow strict priority: without a minimum, sustained overload by
    requests of high priority would leave the lowest rank without any slot.
    """

    def __init__(self) -> None:
        self.counts_by_class: dict[int, DecayingCounts] = {}

    def on_ask(self, rank: int, now: float) -> None:
        """Count a slot request."""
        self.counts(rank, now).asks += 1

    def on_grant(self, rank: int, now: float) -> None:
        """Count a granted slot."""
        self.counts(rank, now).grants += 1

    def counts(self, rank: int, now: float) -> DecayingCounts:
        """Return the present counts of a rank."""
        counts = self.counts_by_class.get(rank)
        if counts is None:
            counts = DecayingCounts()
            self.counts_by_class[rank] = counts
        counts.decay(now)
        return counts

    def underserved(self, now: float) -> frozenset[int]:
        """Return the ranks whose share of grants is below the minimum."""
        present = {
            rank: self.counts(rank, now) for rank in self.counts_by_class
        }
        min_share = MIN_RELATIVE_SHARE * overall_grant_share(present.values())
        return frozenset(
            rank
            for rank, counts in present.items()
            if counts.asks >= MIN_REQUESTS
            and counts.grants < min_share * counts.asks
        )


def overall_grant_share(counts_of_ranks: Iterable[DecayingCounts]) -> float:
    """Return the share of requests that got slots, over the given ranks."""
    counted = list(counts_of_ranks)
    asks = sum(counts.asks for counts in counted)
    grants = sum(counts.grants for counts in counted)
    return grants / asks if asks else 0
