"""A queue with weighted fair shares by workspace, then earliest deadline."""

import heapq
from typing import NamedTuple

from sortedcontainers import SortedList

from trefoilspool.events import Ask, RequestKey

__all__ = ['FairQueue', 'ask_cost']

PREFILL_WEIGHT = 0.05  # tokens of decode work that a prompt token equals
NEVER = float('inf')


class Waiting(NamedTuple):
    """An ask in its workspace's list, by deadline, then arrival."""

    deadline: float
    order: float
    ask: Ask


class Lane:
    """The asks of one workspace."""

    def __init__(self, weight: int) -> None:
        self.weight = weight
        self.asks: SortedList[Waiting] = SortedList()
        self.work = 0.0


def ask_cost(ask: Ask) -> float:
    """Return a request's work in decode tokens."""
    return ask.output_tokens + ask.prompt_tokens * PREFILL_WEIGHT


class FairQueue:
    """Start-time fair queueing over workspaces.

    The workspace with the smallest virtual start time goes first; serving a
    request advances it by cost over weight. All steps are O(log n).
    """

    def __init__(self) -> None:
        self.live: dict[RequestKey, Waiting] = {}
        self.lanes: dict[str, Lane] = {}
        self.tags: dict[str, float] = {}
        self.order: list[tuple[float, str]] = []
        self.virtual = 0.0
        self.arrivals = 0
        self.work = 0.0
        self.weights = 0

    def __len__(self) -> int:
        return len(self.live)

    def push(self, ask: Ask) -> None:
        """Add an ask; a request that already waits is ignored."""
        if ask.request in self.live:
            return
        self.arrivals += 1
        waiting = Waiting(ask.deadline, self.arrivals, ask)
        self.live[ask.request] = waiting
        lane = self.lanes.get(ask.workspace) or self.open_lane(ask)
        lane.asks.add(waiting)
        lane.work += ask_cost(ask)
        self.work += ask_cost(ask)

    def open_lane(self, ask: Ask) -> Lane:
        """Start to serve a workspace that had nothing waiting."""
        lane = Lane(ask.weight)
        self.lanes[ask.workspace] = lane
        self.weights += ask.weight
        tag = max(self.virtual, self.tags.get(ask.workspace, 0))
        self.tags[ask.workspace] = tag
        heapq.heappush(self.order, (tag, ask.workspace))
        return lane

    def remove(self, request: RequestKey) -> Ask | None:
        """Take out a request wherever it stands; charge nothing."""
        waiting = self.live.pop(request, None)
        if waiting is None:
            return None
        ask = waiting.ask
        lane = self.lanes[ask.workspace]
        lane.asks.remove(waiting)
        lane.work -= ask_cost(ask)
        self.work -= ask_cost(ask)
        if not lane.asks:
            self.weights -= lane.weight
            self.lanes.pop(ask.workspace)
        return ask

    def take(self, ask: Ask) -> None:
        """Remove a request that was granted and charge its workspace."""
        self.remove(ask.request)
        tag = self.tags[ask.workspace]
        self.virtual = max(self.virtual, tag)
        served = tag + ask_cost(ask) / ask.weight
        self.tags[ask.workspace] = served
        if ask.workspace in self.lanes:
            heapq.heappush(self.order, (served, ask.workspace))

    def heads(self, limit: int) -> list[Ask]:
        """Return the next asks of up to ``limit`` workspaces, in order."""
        found: list[tuple[float, str]] = []
        asks: list[Ask] = []
        while self.order and len(asks) < limit:
            entry = heapq.heappop(self.order)
            tag, workspace = entry
            # An entry is stale once its workspace was served or emptied.
            if workspace in self.lanes and tag == self.tags[workspace]:
                found.append(entry)
                asks.append(self.lanes[workspace].asks[0].ask)
        for kept in found:
            heapq.heappush(self.order, kept)
        return asks

    def later(self, ask: Ask, deadline: float) -> Ask | None:
        """Return the workspace's first ask with a deadline after a time."""
        asks = self.lanes[ask.workspace].asks
        place = asks.bisect_left(Waiting(deadline, NEVER, ask))
        return asks[place].ask if place < len(asks) else None

    def newest(self) -> Ask:
        """Return the ask that came last; the queue must not be empty."""
        return next(reversed(self.live.values())).ask

    def work_ahead(self, ask: Ask) -> float:
        """Return the work that is served before a new ask, at most."""
        lane = self.lanes.get(ask.workspace)
        if lane is None:
            return 0
        return min(self.work, lane.work * self.weights / ask.weight)
