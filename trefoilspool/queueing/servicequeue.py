"""Queue of a service's requests that wait for a slot."""

import itertools
from collections.abc import Callable, Iterator

from sortedcontainers import SortedKeyList

from trefoilspool.slotmessages import SlotKey, SlotRequest

__all__ = ['ServiceQueue']

MIN_FIRST_BYTE_S = 0.05  # shortest time from the grant to the first byte
MAX_CANDIDATES = 12
NO_RANKS: frozenset[int] = frozenset()


def due_order(ask: SlotRequest) -> tuple[float, SlotKey]:
    """Return the sort key of a request within its rank."""
    return ask.first_byte_due, ask.key


class ServiceQueue:
    """A service's waiting requests, in the order in which they get slots.

    The order is by rank. Within a rank, the requests whose first byte can no
    longer be on time come last: in a burst not all requests can be on time, and
    serving the oldest first would make all of them late.
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
            asks = SortedKeyList(key=due_order)
            self.ranks[ask.rank] = asks
        asks.add(ask)
        self.count += 1

    def remove(self, ask: SlotRequest) -> None:
        """Remove a request."""
        self.ranks[ask.rank].remove(ask)
        self.count -= 1

    def ahead(
        self,
        ask: SlotRequest,
        now: float,
        preferred: frozenset[int] = NO_RANKS,
    ) -> int:
        """Count the requests that get a slot before a new one.

        Parameters
        ----------
        ask : SlotRequest
            The new request.
        now : float
            The present time in seconds.
        preferred : frozenset of int
            Ranks that go before all others.
        """
        total = 0
        own = rank_order(ask.rank, preferred)
        for rank, asks in self.ranks.items():
            if rank_order(rank, preferred) < own:
                total += len(asks)
            elif rank == ask.rank:
                on_time = asks.bisect_key_left((now + MIN_FIRST_BYTE_S,))
                total += max(0, asks.bisect_key_left(due_order(ask)) - on_time)
        return total

    def candidates(
        self,
        now: float,
        preferred: frozenset[int] = NO_RANKS,
        held_back: Callable[[SlotRequest, float], bool] | None = None,
    ) -> list[SlotRequest]:
        """Return the first requests in order, at most ``MAX_CANDIDATES``.

        Parameters
        ----------
        now : float
            The present time in seconds.
        preferred : frozenset of int
            Ranks that go first.
        held_back : callable, optional
            Whether a request may not get a slot yet, at the present time.
        """
        ordered = self.ordered(now, preferred)
        if held_back is not None:
            ordered = (ask for ask in ordered if not held_back(ask, now))
        return list(itertools.islice(ordered, MAX_CANDIDATES))

    def ordered(
        self,
        now: float,
        preferred: frozenset[int],
    ) -> Iterator[SlotRequest]:
        """Yield all requests in the order in which they get slots."""
        for _, rank in sorted(
            (rank_order(key, preferred), key) for key in self.ranks
        ):
            asks = self.ranks[rank]
            on_time = asks.bisect_key_left((now + MIN_FIRST_BYTE_S,))
            yield from asks[on_time:]
            yield from asks[:on_time]


def rank_order(rank: int, preferred: frozenset[int]) -> tuple[bool, int]:
    """Return the sort key of a rank; preferred ranks come first."""
    return rank not in preferred, rank
