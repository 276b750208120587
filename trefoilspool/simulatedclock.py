"""Simulated time, which advances from one scheduled call to the next."""

import heapq
from collections.abc import Callable
from typing import NamedTuple

__all__ = ['SimulatedClock']


class ScheduledCall(NamedTuple):
    """A call that is due at a time; ``order`` breaks ties by insertion."""

    when: float
    order: int
    callback: Callable[..., None]
    arguments: tuple[object, ...]


class SimulatedClock:
    """Makes scheduled calls in the order of their times.

    Attributes
    ----------
    now : float
        Simulated time in seconds.
    heap : list of ScheduledCall
        Heap of the calls to make.
    order : int
        Number of calls scheduled so far.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[ScheduledCall] = []
        self.order = 0

    def schedule(
        self,
        when: float,
        callback: Callable[..., None],
        *args: object,
    ) -> None:
        """Schedule a call at a simulated time in seconds."""
        self.order += 1
        heapq.heappush(
            self.heap, ScheduledCall(when, self.order, callback, args)
        )

    def run(self) -> None:
        """Make the calls until none is left."""
        while self.heap:
            call = heapq.heappop(self.heap)
            self.now = call.when
            call.callback(*call.arguments)
