"""A weighted fair queue over workspaces, by deadline within each."""

import heapq
from typing import NamedTuple

from sortedcontainers import SortedList

from trefoilspool.events import Ask, RequestKey

__all__ = ['FairQueue', 'ask_cost']

PROMPT_TOKEN_COST = 0.05  # in decode tokens
AFTER_ALL_ARRIVALS = float('inf')


class QueuedAsk(NamedTuple):
    """An ask in its workspace's flow, sorted by deadline, then arrival."""

    deadline: float
    arrival: float
    ask: Ask


class Flow:
    """The waiting asks of one workspace."""

    def __init__(self, weight: int) -> None:
        self.weight = weight
        self.asks: SortedList[QueuedAsk] = SortedList()
        self.queued_cost = 0.0


def ask_cost(ask: Ask) -> float:
    """Return the cost of a request in decode tokens."""
    return ask.output_tokens + ask.prompt_tokens * PROMPT_TOKEN_COST


class FairQueue:
    """Start-time fair queueing over workspaces.

    The workspace with the smallest virtual start time is served first; each
    request advances its start time by cost over weight. Adding, removing and
    taking a request are O(log n).
    """

    def __init__(self) -> None:
        self.queued: dict[RequestKey, QueuedAsk] = {}
        self.flows: dict[str, Flow] = {}
        self.start_tags: dict[str, float] = {}
        self.tag_heap: list[tuple[float, str]] = []
        self.virtual_time = 0.0
        self.arrivals = 0
        self.queued_cost = 0.0
        self.active_weight = 0

    def __len__(self) -> int:
        return len(self.queued)

    def push(self, ask: Ask) -> None:
        """Add an ask, unless the request is already queued."""
        if ask.request in self.queued:
            return
        self.arrivals += 1
        queued_ask = QueuedAsk(ask.deadline, self.arrivals, ask)
        self.queued[ask.request] = queued_ask
        flow = self.flows.get(ask.workspace) or self.add_flow(ask)
        flow.asks.add(queued_ask)
        flow.queued_cost += ask_cost(ask)
        self.queued_cost += ask_cost(ask)

    def add_flow(self, ask: Ask) -> Flow:
        """Add the flow of a workspace that had no asks queued."""
        flow = Flow(ask.weight)
        self.flows[ask.workspace] = flow
        self.active_weight += ask.weight
        tag = max(self.virtual_time, self.start_tags.get(ask.workspace, 0))
        self.start_tags[ask.workspace] = tag
        heapq.heappush(self.tag_heap, (tag, ask.workspace))
        return flow

    def remove(self, request: RequestKey) -> Ask | None:
        """Remove and return a request without charging its workspace."""
        queued_ask = self.queued.pop(request, None)
        if queued_ask is None:
            return None
        ask = queued_ask.ask
        flow = self.flows[ask.workspace]
        flow.asks.remove(queued_ask)
        flow.queued_cost -= ask_cost(ask)
        self.queued_cost -= ask_cost(ask)
        if not flow.asks:
            self.active_weight -= flow.weight
            self.flows.pop(ask.workspace)
        return ask

    def take(self, ask: Ask) -> None:
        """Remove a granted request and charge its workspace."""
        self.remove(ask.request)
        tag = self.start_tags[ask.workspace]
        self.virtual_time = max(self.virtual_time, tag)
        finish_tag = tag + ask_cost(ask) / ask.weight
        self.start_tags[ask.workspace] = finish_tag
        if ask.workspace in self.flows:
            heapq.heappush(self.tag_heap, (finish_tag, ask.workspace))

    def heads(self, limit: int) -> list[Ask]:
        """Return the next asks of up to ``limit`` workspaces, in order."""
        valid: list[tuple[float, str]] = []
        asks: list[Ask] = []
        while self.tag_heap and len(asks) < limit:
            entry = heapq.heappop(self.tag_heap)
            tag, workspace = entry
            # An entry is stale if its workspace has no asks or has another
            # start tag.
            if workspace in self.flows and tag == self.start_tags[workspace]:
                valid.append(entry)
                asks.append(self.flows[workspace].asks[0].ask)
        for kept in valid:
            heapq.heappush(self.tag_heap, kept)
        return asks

    def first_after(self, ask: Ask, deadline: float) -> Ask | None:
        """Return the workspace's first ask with a later deadline, if any."""
        asks = self.flows[ask.workspace].asks
        index = asks.bisect_left(QueuedAsk(deadline, AFTER_ALL_ARRIVALS, ask))
        return asks[index].ask if index < len(asks) else None

    def newest(self) -> Ask:
        """Return the ask that arrived last; the queue must not be empty."""
        return next(reversed(self.queued.values())).ask

    def cost_ahead(self, ask: Ask) -> float:
        """Estimate the cost to be served before a new ask.

        The estimate is 0 for a workspace with nothing queued, whose start tag
        is taken to be near the virtual time.
        """
        flow = self.flows.get(ask.workspace)
        if flow is None:
            return 0
        return min(
            self.queued_cost, flow.queued_cost * self.active_weight / ask.weight
        )
