"""The order in which waiting requests of a service get places."""

import itertools
from collections.abc import Iterator
from typing import NamedTuple

from sortedcontainers import SortedKeyList

from trefoilspool.slotmessages import SlotKey, SlotRequest

__all__ = ['QueuedRequest', 'ServiceQueue']

FIRST_BYTE_S = 0.05  # least time from a place to the first byte
MAX_CANDIDATES = 12
NONE_FIRST: frozenset[int] = frozenset()


class QueuedRequest(NamedTuple):
    """A request without a place, and when it is refused."""

    ask: SlotRequest
    give_up_at: float


def by_aim(ask: SlotRequest) -> tuple[float, SlotKey]:
    """Return the key that sorts requests of one rank."""
    return ask.aim, ask.key


class ServiceQueue:
    """Waiting requests by rank, then those that can still be on time.

    A burst leaves more requests than can be on time. Serving the oldest first
    would make all of them late; so those whose aim has passed wait behind
    those whose aim has not.
    """

    def __init__(self) -> None:
        self.ranks: dict[int, SortedKeyList[SlotRequest]] = {}
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def add(self, ask: SlotRequest) -> None:
        """Add a request."""
        asks = self.ranks.get(ask.rank)
        if asks is None:
            asks = SortedKeyList(key=by_aim)
            self.ranks[ask.rank] = asks
        asks.add(ask)
        self.count += 1

    def remove(self, ask: SlotRequest) -> None:
        """Take a request out."""
        self.ranks[ask.rank].remove(ask)
        self.count -= 1

    def ahead(
        self,
        ask: SlotRequest,
        now: float,
        first: frozenset[int] = NONE_FIRST,
    ) -> int:
        """Count the requests that get a place before a new one.

        Parameters
        ----------
        ask : SlotRequest
            The new request.
        now : float
            The present time in seconds.
        first : frozenset of int
            Ranks that go before all others.
        """
        found = 0
        own = turn(ask.rank, first)
        for rank, asks in self.ranks.items():
            if turn(rank, first) < own:
                found += len(asks)
            elif rank == ask.rank:
                on_time = asks.bisect_key_left((now + FIRST_BYTE_S,))
                found += max(0, asks.bisect_key_left(by_aim(ask)) - on_time)
        return found

    def candidates(
        self,
        now: float,
        first: frozenset[int] = NONE_FIRST,
    ) -> list[SlotRequest]:
        """Return the requests that are next, in order."""
        return list(itertools.islice(self.ordered(now, first), MAX_CANDIDATES))

    def ordered(
        self,
        now: float,
        first: frozenset[int],
    ) -> Iterator[SlotRequest]:
        """Yield all requests in order."""
        for _, rank in sorted((turn(one, first), one) for one in self.ranks):
            asks = self.ranks[rank]
            on_time = asks.bisect_key_left((now + FIRST_BYTE_S,))
            yield from asks[on_time:]
            yield from asks[:on_time]


def turn(rank: int, first: frozenset[int]) -> tuple[bool, int]:
    """Return the key that sorts ranks."""
    return rank not in first, rank
