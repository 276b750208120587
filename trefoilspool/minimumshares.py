"""The least that each rank gets of a service, whatever the others want."""

import math
from collections.abc import Iterable

__all__ = ['MinimumShares']

HALF_LIFE_S = 4.0
FLOOR = 0.35  # of the rate at which requests of all ranks get places
MIN_ASKS = 8.0  # fewer say little of a rate


class Tally:
    """Requests of one rank, the older the less they count."""

    def __init__(self) -> None:
        self.asks = 0.0
        self.grants = 0.0
        self.at = 0.0

    def fade(self, now: float) -> None:
        """Let what was counted fade."""
        kept = math.exp2((self.at - now) / HALF_LIFE_S)
        self.asks *= kept
        self.grants *= kept
        self.at = now


class MinimumShares:
    """Tells which ranks of a service get too few places.

    Ranks are strict, so that a crowd of important requests could leave the
    lowest rank with nothing for as long as it lasts.
    """

    def __init__(self) -> None:
        self.tallies: dict[int, Tally] = {}

    def on_ask(self, rank: int, now: float) -> None:
        """Count a request that wants a place."""
        self.tally(rank, now).asks += 1

    def on_grant(self, rank: int, now: float) -> None:
        """Count a request that got a place."""
        self.tally(rank, now).grants += 1

    def tally(self, rank: int, now: float) -> Tally:
        """Return the present counts of a rank."""
        tally = self.tallies.setdefault(rank, Tally())
        tally.fade(now)
        return tally

    def below(self, now: float) -> frozenset[int]:
        """Return the ranks that get places too seldom."""
        tallies = {rank: self.tally(rank, now) for rank in self.tallies}
        least = FLOOR * common_rate(tallies.values())
        return frozenset(
            rank
            for rank, tally in tallies.items()
            if tally.asks >= MIN_ASKS and tally.grants < least * tally.asks
        )


def common_rate(tallies: Iterable[Tally]) -> float:
    """Return the share of all requests that got places."""
    counted = list(tallies)
    asks = sum(tally.asks for tally in counted)
    grants = sum(tally.grants for tally in counted)
    return grants / asks if asks else 0
