"""Orders in which the waiting requests of one rank get slots."""

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

from trefoilspool.slotmessages import SlotRequest

__all__ = [
    'LEAST_FIRST_BYTE_S',
    'ORDERS',
    'DueOrder',
    'Lane',
    'QueueOrder',
    'ShortestOrder',
    'Turn',
    'is_late',
]

# Shortest time from the grant to the first byte.
LEAST_FIRST_BYTE_S = 0.05

# Of an endpoint of usual speed, to tell long requests from short ones.
SECONDS_PER_PROMPT_TOKEN = 1e-5
SECONDS_PER_OUTPUT_TOKEN = 0.004
# Requests that hold a slot for less are alike; each further class is of
# requests that hold it up to twice as long.
SHORTEST_S = 0.25
LONGEST_CLASS = 6


class Lane(NamedTuple):
    """Requests that are alike for the order.

    Attributes
    ----------
    rank : int
        Their rank; 0 is the highest.
    size : int
        Class of the time for which they hold a slot; 0 is the shortest.
    """

    rank: int
    size: int


class Turn(NamedTuple):
    """When a request gets a slot: requests with a lesser turn go before.

    Attributes
    ----------
    is_late : bool
        Whether its first byte can no longer be on time.
    """

    rank: int
    is_late: bool
    size: int


def is_late(ask: SlotRequest, now: float) -> bool:
    """Return whether a request's first byte can no longer be on time."""
    return ask.first_byte_due < now + LEAST_FIRST_BYTE_S


class QueueOrder(ABC):
    """An order of the requests of one rank.

    Ranks go before each other whatever the order, and requests that can still
    be on time before those that cannot.
    """

    @abstractmethod
    def size(self, ask: SlotRequest) -> int:
        """Return the class of the time for which a request holds a slot."""

    def lane(self, ask: SlotRequest) -> Lane:
        """Return the lane of a request."""
        return Lane(ask.rank, self.size(ask))

    def turn(self, ask: SlotRequest, now: float) -> Turn:
        """Return when a request gets a slot."""
        return Turn(ask.rank, is_late(ask, now), self.size(ask))

    @abstractmethod
    def refuses_early(self, ask: SlotRequest) -> bool:
        """Return whether a request that others leave no room is refused early.

        Otherwise it waits until its timeout.
        """


class DueOrder(QueueOrder):
    """The request whose first byte is due first goes first."""

    def size(self, ask: SlotRequest) -> int:
        """Return the same class for all."""
        return 0

    def refuses_early(self, ask: SlotRequest) -> bool:
        """Return that all that may get a slot wait for it."""
        return False


class ShortestOrder(QueueOrder):
    """Requests that hold a slot for a short time go first.

    The lengths of responses differ a hundredfold, so that a few long ones fill
    most slots. Where there is not room for all, this serves the most callers.
    """

    def size(self, ask: SlotRequest) -> int:
        """Return the binary logarithm of the expected time, as a class."""
        seconds = (
            ask.prompt_tokens * SECONDS_PER_PROMPT_TOKEN
            + ask.output_tokens * SECONDS_PER_OUTPUT_TOKEN
        )
        if seconds <= SHORTEST_S:
            return 0
        return min(math.ceil(math.log2(seconds / SHORTEST_S)), LONGEST_CLASS)

    def refuses_early(self, ask: SlotRequest) -> bool:
        """Return whether others may be known to be shorter.

        Nothing is known of the lengths of plain requests.
        """
        return ask.output_tokens > 0


ORDERS: Mapping[str, QueueOrder] = {
    'due': DueOrder(),
    'shortest': ShortestOrder(),
}
