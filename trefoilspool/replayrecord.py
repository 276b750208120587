"""Measurements of a replay."""

from collections import Counter
from typing import NamedTuple

from trefoilspool.trace import RequestEvent

__all__ = ['GrantRecord', 'ReplayRecord', 'RequestOutcome']


class RequestOutcome(NamedTuple):
    """Outcome of a request.

    Attributes
    ----------
    outcome : str
        ``completed``, ``refused``, ``late``, ``interrupted`` or
        ``may_have_run``.
    first_token_s, gap_s : float
        Seconds to the first token and mean seconds between tokens, 0 (never
        NaN) if there was no token.
    attempts : int
        Dispatches to an engine.
    """

    request: RequestEvent
    outcome: str
    first_token_s: float
    gap_s: float
    attempts: int


class GrantRecord(NamedTuple):
    """A permit that the cell granted at ``at`` seconds."""

    at: float
    endpoint: str
    tier: int


class ReplayRecord:
    """All measurements of a replay.

    Attributes
    ----------
    waste : Counter of str
        Prompt tokens whose computation was wasted, by cause.
    prefill_tokens : int
        Prompt tokens that were not cached when their request was dispatched.
    asked : int
        Requests of callers, including repeats after a refusal.
    inversions : int
        Requests shed while a request of lower priority was running.
    """

    def __init__(self) -> None:
        self.outcomes: list[RequestOutcome] = []
        self.grants: list[GrantRecord] = []
        self.waste: Counter[str] = Counter()
        self.prefill_tokens = 0
        self.dispatched = 0
        self.asked = 0
        self.inversions = 0
        self.revoked = 0
