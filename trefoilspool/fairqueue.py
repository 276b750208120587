"""A queue with weighted fair shares by workspace, then earliest deadline."""

import heapq
from typing import NamedTuple

from trefoilspool.events import Ask, RequestKey

__all__ = ['FairQueue', 'ask_cost']

PREFILL_WEIGHT = 0.05  # tokens of decode work that a prompt token equals


class Waiting(NamedTuple):
    """An ask in its workspace's heap; compares by deadline, then arrival."""

    deadline: float
    order: int
    ask: Ask


def ask_cost(ask: Ask) -> float:
    """Return a request's work in decode tokens."""
    return ask.output_tokens + ask.prompt_tokens * PREFILL_WEIGHT


class FairQueue:
    """Start-time fair queueing over workspaces.

    The workspace with the smallest virtual start time goes first; serving a
    request advances it by cost over weight. All steps are O(log n).
    """

    def __init__(self) -> None:
        self.live: dict[RequestKey, Ask] = {}
        self.heaps: dict[str, list[Waiting]] = {}
        self.tags: dict[str, float] = {}
        self.order: list[tuple[float, str]] = []
        self.virtual = 0.0
        self.arrivals = 0

    def __len__(self) -> int:
        return len(self.live)

    def push(self, ask: Ask) -> None:
        """Add an ask; a request that already waits is ignored."""
        if ask.request in self.live:
            return
        self.live[ask.request] = ask
        self.arrivals += 1
        heap = self.heaps.get(ask.workspace)
        if heap is None:
            heap = []
            self.heaps[ask.workspace] = heap
            tag = max(self.virtual, self.tags.get(ask.workspace, 0))
            self.tags[ask.workspace] = tag
            heapq.heappush(self.order, (tag, ask.workspace))
        heapq.heappush(heap, Waiting(ask.deadline, self.arrivals, ask))

    def remove(self, request: RequestKey) -> Ask | None:
        """Take out a request wherever it stands; charge nothing."""
        return self.live.pop(request, None)

    def heads(self, limit: int) -> list[Ask]:
        """Return the next asks of up to ``limit`` workspaces, in order."""
        found: list[tuple[float, str]] = []
        asks: list[Ask] = []
        while self.order and len(asks) < limit:
            entry = heapq.heappop(self.order)
            ask = self.head(*entry)
            if ask is not None:
                found.append(entry)
                asks.append(ask)
        for kept in found:
            heapq.heappush(self.order, kept)
        return asks

    def head(self, tag: float, workspace: str) -> Ask | None:
        """Return a workspace's first ask, None if the entry is stale."""
        if workspace not in self.heaps or tag != self.tags[workspace]:
            return None
        return self.clean_head(workspace)

    def take(self, ask: Ask) -> None:
        """Remove a head that was granted and charge its workspace."""
        del self.live[ask.request]
        tag = self.tags[ask.workspace]
        self.virtual = max(self.virtual, tag)
        served = tag + ask_cost(ask) / ask.weight
        self.tags[ask.workspace] = served
        if self.clean_head(ask.workspace) is not None:
            heapq.heappush(self.order, (served, ask.workspace))

    def clean_head(self, workspace: str) -> Ask | None:
        """Drop withdrawn asks; return the workspace's first live ask."""
        heap = self.heaps[workspace]
        while heap:
            ask = heap[0].ask
            if self.live.get(ask.request) is ask:
                return ask
            heapq.heappop(heap)
        del self.heaps[workspace]
        return None
