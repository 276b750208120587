"""Which ranks of a service, and which sizes of a rank, get too few slots."""

import math
from collections import defaultdict
from typing import NamedTuple

from trefoilspool.queueing.minimumshares import MinimumShares
from trefoilspool.queueing.order import Lane

__all__ = ['NOTHING_PREFERRED', 'Preferred', 'ServiceShares']


# Shares change over seconds; a decision a millisecond later needs no new ones.
LANES_KEPT_S = 0.02


class Preferred(NamedTuple):
    """What goes before others until it has its minimum share.

    Attributes
    ----------
    ranks : frozenset of int
        Ranks that go before all others.
    lanes : frozenset of Lane
        Lanes that go before others of their rank.
    """

    ranks: frozenset[int] = frozenset()
    lanes: frozenset[Lane] = frozenset()


NOTHING_PREFERRED = Preferred()


class ServiceShares:
    """The shares of the slots of one service.

    Attributes
    ----------
    lanes : frozenset of Lane
        Lanes below their minimum share.
    lanes_at : float
        When these were computed, in seconds.
    """

    def __init__(self) -> None:
        self.lanes: frozenset[Lane] = frozenset()
        self.lanes_at = -math.inf
        self.ranks = MinimumShares()
        self.sizes: defaultdict[int, MinimumShares] = defaultdict(MinimumShares)

    def on_ask(self, lane: Lane, now: float) -> None:
        """Count a slot request."""
        self.ranks.on_ask(lane.rank, now)
        self.sizes[lane.rank].on_ask(lane.size, now)

    def on_grant(self, lane: Lane, now: float) -> None:
        """Count a granted slot."""
        self.ranks.on_grant(lane.rank, now)
        self.sizes[lane.rank].on_grant(lane.size, now)

    def refused_share(self, lane: Lane, now: float) -> float:
        """Return which share of a lane's requests have got no slot of late."""
        counts = self.sizes[lane.rank].counts(lane.size, now)
        if not counts.asks:
            return 0
        return min(max(1 - counts.grants / counts.asks, 0), 1)

    def underserved(self, now: float) -> Preferred:
        """Return what has less than its minimum share."""
        if now - self.lanes_at >= LANES_KEPT_S:
            self.lanes = self.underserved_lanes(now)
            self.lanes_at = now
        return Preferred(self.ranks.underserved(now), self.lanes)

    def underserved_lanes(self, now: float) -> frozenset[Lane]:
        """Return the lanes with less than their share of their rank."""
        return frozenset(
            Lane(rank, size)
            for rank, shares in self.sizes.items()
            if len(shares.counts_by_class) > 1
            for size in shares.underserved(now)
        )
