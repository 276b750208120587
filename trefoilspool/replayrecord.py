"""What a replay measures."""

from collections import Counter
from typing import NamedTuple

from trefoilspool.trace import RequestEvent

__all__ = ['GrantSeen', 'ReplayRecord', 'Served']


class Served(NamedTuple):
    """What became of one request; times are seconds, NaN-free."""

    request: RequestEvent
    outcome: str
    first_token_s: float
    gap_s: float
    attempts: int


class GrantSeen(NamedTuple):
    """A permit that the cell gave."""

    at: float
    endpoint: str
    tier: int


class ReplayRecord:
    """All that a replay measured."""

    def __init__(self) -> None:
        self.served: list[Served] = []
        self.grants: list[GrantSeen] = []
        self.waste: Counter[str] = Counter()
        self.prefill = 0
        self.dispatched = 0
        self.asked = 0
        self.inversions = 0
        self.revoked = 0
