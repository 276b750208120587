"""Messages into the desk, which gives out places, and its verdicts."""

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    'AttemptEnding',
    'DecisionEvent',
    'EndpointSpec',
    'Granted',
    'HeldSlot',
    'Queued',
    'RefusalReason',
    'Refused',
    'SlotDecision',
    'SlotKey',
    'SlotRelease',
    'SlotRequest',
]


class SlotKey(NamedTuple):
    """An attempt of a request: its entry host and its number there."""

    entry: str
    number: int


class AttemptEnding(IntEnum):
    """How a granted place was used."""

    completed = 0
    unused = 1  # nothing was sent, for a reason of the caller's
    refused = 2  # the endpoint said that it did not run the request
    unreachable = 3  # nothing was sent, since there was no connection
    failed = 4  # the endpoint's answer was an error of its own
    broken = 5  # no answer, or one that was cut or spoilt
    cancelled = 6  # ended by the caller or by this system
    silent = 7  # the endpoint took the request and sent nothing
    gone = 8  # the endpoint leaves or is another one


class RefusalReason(IntEnum):
    """Why no place is given."""

    crowded = 0
    over_limit = 1
    no_endpoint = 2
    budget = 3
    hopeless = 4


class SlotRequest(NamedTuple):
    """A request that wants a place at an endpoint.

    Attributes
    ----------
    rank : int
        Importance; 0 goes first.
    aim, deadline : float
        When the answer is late and when it is worthless, in seconds on the
        desk's clock.
    asked : float
        When the request came to its entry host, on the desk's clock.
    parts : tuple of str
        The prompt's parts; an endpoint that has read the same first parts
        need not read them again.
    charge : int
        What counts towards the workspace's limit.
    """

    key: SlotKey
    service: str
    workspace: str
    rank: int
    prompt_tokens: int
    output_tokens: int
    aim: float
    deadline: float
    asked: float
    avoid: tuple[str, ...]
    attempt: int
    parts: tuple[str, ...]
    streams: bool
    charge: int
    data_centre: str
    repeatable: bool


class HeldSlot(NamedTuple):
    """A place that an entry host says it uses."""

    key: SlotKey
    service: str
    endpoint: str
    prompt_tokens: int
    output_tokens: int
    age_s: float


class SlotRelease(NamedTuple):
    """A place is free again.

    Attributes
    ----------
    first_s : float
        Seconds from the dispatch to the first byte; 0 if there was none.
    events : int
        Events of a stream that came.
    decode_s : float
        Seconds from the first event to the last.
    """

    key: SlotKey
    ending: AttemptEnding
    endpoint: str
    first_s: float
    events: int
    decode_s: float
    prompt_tokens: int


class EndpointSpec(NamedTuple):
    """An endpoint as the directory has it.

    Attributes
    ----------
    slots : int
        Requests that it works on at once.
    started : int
        Changes when the endpoint starts anew.
    event_tokens : int
        Tokens in one event of its streams; 0 for a plain service.
    """

    name: str
    service: str
    data_centre: str
    slots: int
    started: int
    event_tokens: int


class Granted(NamedTuple):
    """The request may go to the endpoint."""

    key: SlotKey
    endpoint: str


class Queued(NamedTuple):
    """The request waits for a place."""

    key: SlotKey


class Refused(NamedTuple):
    """The request gets no place; when to come back, in seconds."""

    key: SlotKey
    reason: RefusalReason
    retry_after: float


SlotDecision = Granted | Queued | Refused


class DecisionEvent(NamedTuple):
    """A decision of the desk for the log, with what decided it."""

    event: str
    facts: Mapping[str, object]
