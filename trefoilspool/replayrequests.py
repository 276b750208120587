"""Requests of a replay that have no final outcome yet."""

from trefoilspool.events import NUMBERS_PER_REQUEST
from trefoilspool.trace import RequestEvent

__all__ = ['LiveRequest']


class LiveRequest:
    """A request without a final outcome.

    Parameters
    ----------
    request : RequestEvent
        The arrival in the trace.
    at : float
        Time at which the caller asks, in seconds.

    Attributes
    ----------
    number : int
        Number of the current attempt.
    attempts, asks : int
        Dispatches to an engine, and permits asked for.
    relayed_tokens : int
        Output tokens of all attempts; a resumed attempt starts after them.
    covered_tokens : int
        Most prompt tokens that an attempt had cached or computed.
    computed_tokens : int
        Prompt tokens computed by attempts that were cancelled or broken.
    waste_cause : str
        Cause that prefill repeated by the next attempt is counted under.
    endpoint : str
        Engine of the current attempt, empty until it is dispatched.
    avoid : tuple of str
        Engines that the next attempt should not use.
    storm_retries : int
        How often the caller has asked again after a refusal.
    """

    def __init__(self, request: RequestEvent, at: float) -> None:
        self.request = request
        self.arrived = at
        self.deadline = at + request.timeout_s
        self.number = request.number * NUMBERS_PER_REQUEST
        self.attempts = 0
        self.asks = 0
        self.relayed_tokens = 0
        self.covered_tokens = 0
        self.computed_tokens = 0
        self.waste_cause = 'discarded'
        self.first_token_at = 0.0
        self.endpoint = ''
        self.avoid: tuple[str, ...] = ()
        self.storm_retries = 0
