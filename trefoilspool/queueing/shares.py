"""Which ranks of a service, and which sizes of a rank, get too few slots."""

from collections import defaultdict
from typing import NamedTuple

from trefoilspool.queueing.minimumshares import MinimumShares
from trefoilspool.queueing.order import Lane

__all__ = ['NOTHING_PREFERRED', 'Preferred', 'ServiceShares']


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
    """The shares of the slots of one service."""

    def __init__(self) -> None:
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
        return Preferred(
            self.ranks.underserved(now),
            frozenset(
                Lane(rank, size)
                for rank, shares in self.sizes.items()
                if len(shares.counts_by_class) > 1
                for size in shares.underserved(now)
            ),
        )
