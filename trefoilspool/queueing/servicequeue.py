"""Queue of a service's requests that wait for a slot."""

import itertools
from collections.abc import Callable, Iterator
from typing import NamedTuple

from sortedcontainers import SortedKeyList

from trefoilspool.queueing.order import (
    LEAST_FIRST_BYTE_S,
    Lane,
    QueueOrder,
    is_late,
)
from trefoilspool.queueing.shares import NOTHING_PREFERRED, Preferred
from trefoilspool.slotmessages import SlotKey, SlotRequest

__all__ = ['ServiceQueue']

MAX_CANDIDATES = 12

# Sort key of a part of a lane, with the preference of its rank and size.
PartKey = tuple[bool, int, bool, bool, int]
RANK_KEYS = 2  # of these, the first are of the rank


class LanePart(NamedTuple):
    """The requests of a lane that can be on time, or those that cannot."""

    key: PartKey
    asks: SortedKeyList[SlotRequest]
    start: int
    stop: int


def due_order(ask: SlotRequest) -> tuple[float, SlotKey]:
    """Return the sort key of a request within its lane."""
    return ask.first_byte_due, ask.key


class ServiceQueue:
    """A service's waiting requests, in the order in which they get slots.

    The order is by rank. Within a rank, the requests whose first byte can no
    longer be on time come last: in a burst not all requests can be on time, and
    serving the oldest first would make all of them late.

    Parameters
    ----------
    order : QueueOrder
        The order within a rank.

    Attributes
    ----------
    lanes : dict
        The requests of each lane, by the time at which they are due.
    """

    def __init__(self, order: QueueOrder) -> None:
        self.order = order
        self.lanes: dict[Lane, SortedKeyList[SlotRequest]] = {}
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def add(self, ask: SlotRequest) -> None:
        """Add a request."""
        lane = self.order.lane(ask)
        asks = self.lanes.get(lane)
        if asks is None:
            asks = SortedKeyList(key=due_order)
            self.lanes[lane] = asks
        asks.add(ask)
        self.count += 1

    def remove(self, ask: SlotRequest) -> None:
        """Remove a request."""
        self.lanes[self.order.lane(ask)].remove(ask)
        self.count -= 1

    def ahead(
        self,
        ask: SlotRequest,
        now: float,
        preferred: Preferred = NOTHING_PREFERRED,
    ) -> int:
        """Count the requests that get a slot before a given one.

        Parameters
        ----------
        ask : SlotRequest
            The request; it need not wait.
        now : float
            The present time in seconds.
        preferred : Preferred
            Ranks and sizes that go before others.
        """
        lane = self.order.lane(ask)
        late = is_late(ask, now)
        own = part_key(lane, preferred, late=late)
        if late and not self.order.refuses_early(ask):
            # It waits until its timeout, whoever of its rank goes before.
            return self.of_earlier_ranks(own, now, preferred)
        total = 0
        for part in self.parts(now, preferred):
            if part.key < own:
                total += part.stop - part.start
            elif part.key == own:
                place = part.asks.bisect_key_left(due_order(ask))
                total += max(0, min(place, part.stop) - part.start)
        return total

    def of_earlier_ranks(
        self, own: PartKey, now: float, preferred: Preferred
    ) -> int:
        """Count the requests of ranks that go before that of a part."""
        rank = own[:RANK_KEYS]
        return sum(
            part.stop - part.start
            for part in self.parts(now, preferred)
            if part.key[:RANK_KEYS] < rank
        )

    def candidates(
        self,
        now: float,
        preferred: Preferred = NOTHING_PREFERRED,
        held_back: Callable[[SlotRequest, float], bool] | None = None,
    ) -> list[SlotRequest]:
        """Return the first requests in order, at most ``MAX_CANDIDATES``.

        Parameters
        ----------
        now : float
            The present time in seconds.
        preferred : Preferred
            Ranks and sizes that go before others.
        held_back : callable, optional
            Whether a request may not get a slot yet, at the present time.
        """
        ordered = self.ordered(now, preferred)
        if held_back is not None:
            ordered = (ask for ask in ordered if not held_back(ask, now))
        return list(itertools.islice(ordered, MAX_CANDIDATES))

    def ordered(
        self, now: float, preferred: Preferred
    ) -> Iterator[SlotRequest]:
        """Yield all requests in the order in which they get slots."""
        parts = sorted(self.parts(now, preferred), key=lambda part: part.key)
        for part in parts:
            yield from part.asks.islice(part.start, part.stop)

    def parts(self, now: float, preferred: Preferred) -> Iterator[LanePart]:
        """Yield both parts of each lane in which requests wait."""
        for lane, asks in self.lanes.items():
            if not asks:
                continue
            on_time = asks.bisect_key_left((now + LEAST_FIRST_BYTE_S,))
            yield LanePart(
                part_key(lane, preferred, late=False),
                asks,
                on_time,
                len(asks),
            )
            yield LanePart(
                part_key(lane, preferred, late=True), asks, 0, on_time
            )


def part_key(lane: Lane, preferred: Preferred, *, late: bool) -> PartKey:
    """Return the sort key of a part of a lane."""
    return (
        lane.rank not in preferred.ranks,
        lane.rank,
        late,
        lane not in preferred.lanes,
        lane.size,
    )
