"""Which streams that began at a host its peers are to be told of, and when.

A host that stops without a word takes what it alone knows with it. So peers are
told of a stream while nothing is wrong, if it stays open for a while.
"""

import math
from collections.abc import Collection
from enum import Enum, auto
from typing import NamedTuple

from trefoilspool.ratelimits import TokenBucket
from trefoilspool.streamorigins import MAX_STREAMS, StreamOrigin
from trefoilspool.versionhistory import MEMORY_S

__all__ = [
    'MAX_BURST',
    'TELL_AFTER_S',
    'TOLD_PER_S',
    'BegunStream',
    'OriginTelling',
    'StreamGroup',
    'TellingTime',
]

TELL_AFTER_S = 0.5  # what ends well before costs nothing
TOLD_PER_S = 8.0  # streams
MAX_BURST = 16.0  # streams


class TellingTime(Enum):
    """When peers are told of a stream.

    ``at_once``: before its first event is relayed. ``ahead``: while its version
    is in no doubt. ``late``: when it may be.
    """

    at_once = auto()
    ahead = auto()
    late = auto()


class StreamGroup(NamedTuple):
    """The streams of one service on one route, by their names."""

    service: str
    route: str


class BegunStream(NamedTuple):
    """A stream that began here, of which peers have not been told.

    Attributes
    ----------
    route : str
        Name of its route.
    at : float
        When its first event was relayed, in seconds.
    """

    origin: StreamOrigin
    route: str
    at: float

    @property
    def group(self) -> StreamGroup:
        """Return the streams to which it belongs."""
        return StreamGroup(self.origin.service, self.route)


class OriginTelling:
    """The streams of which peers are yet to be told.

    Pure: each call passes the time in seconds.

    Parameters
    ----------
    now : float
        The present time in seconds.

    Attributes
    ----------
    young : dict
        Streams that began within ``TELL_AFTER_S``, in that order.
    due : dict
        Streams that wait for the budget, in the order in which they began; at
        most ``MAX_STREAMS``.
    bucket : TokenBucket
        The budget; a token is a stream.
    untold : int
        Streams that were due and ended before the budget had room; see
        `take_untold`.
    """

    def __init__(self, now: float) -> None:
        self.young: dict[int, BegunStream] = {}
        self.due: dict[int, BegunStream] = {}
        self.bucket = TokenBucket(TOLD_PER_S, MAX_BURST, now)
        self.untold = 0

    def add(self, begun: BegunStream) -> None:
        """Add a stream; one that is known already keeps its time."""
        self.advance(begun.at)
        stream = begun.origin.stream
        if stream not in self.due:
            self.young.setdefault(stream, begun)

    def on_completed(self, stream: int) -> None:
        """Forget a stream that its caller has whole."""
        self.young.pop(stream, None)
        if self.due.pop(stream, None) is not None:
            self.untold += 1

    def advance(self, now: float) -> None:
        """Move streams that have become due, and drop the oldest."""
        while self.young:
            stream, begun = next(iter(self.young.items()))
            if now < begun.at + TELL_AFTER_S:
                break
            self.due[stream] = self.young.pop(stream)
        while self.due:
            stream, begun = next(iter(self.due.items()))
            if now - begun.at <= MEMORY_S and len(self.due) <= MAX_STREAMS:
                break
            self.on_completed(stream)

    def take_due(self, now: float) -> list[StreamOrigin]:
        """Return the streams that peers are to be told of now.

        The latest goes first, as it may break for the longest time to come.
        """
        self.advance(now)
        self.bucket.refill(now)
        taken: list[StreamOrigin] = []
        while self.due and self.bucket.level >= 1:
            self.bucket.level -= 1
            taken.append(self.due.popitem()[1].origin)
        return taken

    def next_at(self, now: float) -> float:
        """Return when `take_due` next has a stream; infinite without one."""
        if self.due:
            return now + max(0, 1 - self.bucket.level) / self.bucket.rate
        oldest = next(iter(self.young.values()), None)
        return math.inf if oldest is None else oldest.at + TELL_AFTER_S

    def groups(self) -> set[StreamGroup]:
        """Return the services and routes of all streams."""
        streams = (*self.due.values(), *self.young.values())
        return {begun.group for begun in streams}

    def take_of(self, groups: Collection[StreamGroup]) -> list[StreamOrigin]:
        """Return all streams of some services and routes, due or not."""
        taken: list[StreamOrigin] = []
        for waiting in (self.due, self.young):
            found = [
                begun for begun in waiting.values() if begun.group in groups
            ]
            for begun in found:
                taken.append(waiting.pop(begun.origin.stream).origin)
        return taken

    def take_untold(self) -> int:
        """Return the count of untold streams since the last call."""
        count = self.untold
        self.untold = 0
        return count
