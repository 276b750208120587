"""Events that the scheduling core takes, and its decisions.

Points in time are seconds on one monotonic clock, durations are seconds, and
tokens are counts.
"""

from enum import IntEnum
from typing import NamedTuple

__all__ = [
    'Ask',
    'CacheEvent',
    'Collect',
    'Decision',
    'Ending',
    'EndpointSeen',
    'EntryGone',
    'Event',
    'Grant',
    'Held',
    'LoadReport',
    'NUMBERS_PER_REQUEST',
    'Pace',
    'Reason',
    'Refuse',
    'Release',
    'RequestKey',
    'Revoke',
    'Roll',
    'Tick',
    'VictimClass',
    'Withdraw',
]


NUMBERS_PER_REQUEST = 64


class VictimClass(IntEnum):
    """Cost class of cancelling a running request; low values go first.

    Attributes
    ----------
    resumable
        Another attempt can continue the response.
    idempotent
        Another attempt can run the request again.
    once_model
        A model request that must run at most once.
    service
        A service request, which is never revoked.
    """

    resumable = 0
    idempotent = 1
    once_model = 2
    service = 3


class Ending(IntEnum):
    """How the use of a permit ended.

    Attributes
    ----------
    refused
        The endpoint could not be reached, or did not run the request.
    failed
        The endpoint responded with an error status.
    cancelled
        The entry host ended the attempt or did not start it.
    broken
        The endpoint sent no response or an incomplete or invalid one.
    """

    completed = 0
    refused = 1
    failed = 2
    cancelled = 3
    broken = 4


class Reason(IntEnum):
    """Why a request was refused.

    Attributes
    ----------
    shed
        The load leaves too little time before its deadline.
    deadline
        Its time was too short on arrival, whatever the load.
    no_endpoint
        It must avoid every usable endpoint.
    """

    shed = 0
    deadline = 1
    no_endpoint = 2


class RequestKey(NamedTuple):
    """Key of an attempt: its entry host and its number there.

    A request has ``NUMBERS_PER_REQUEST`` consecutive numbers, one per attempt.
    """

    entry: str
    number: int

    @property
    def request_id(self) -> str:
        """Return the request id in responses and logs."""
        return f'{self.entry}-{self.number // NUMBERS_PER_REQUEST:x}'


class Ask(NamedTuple):
    """A request for a permit.

    Attributes
    ----------
    tier : int
        Priority class; 0 is the highest.
    weight : int
        Weight of the workspace in the fair sharing of its tier.
    output_tokens : int
        Maximum length of the response.
    avoid : tuple of str
        Endpoints that must not be granted.
    interactive : bool
        Whether it may preempt after ``PREEMPT_AFTER_S``, regardless of how
        much time is left.
    """

    request: RequestKey
    cell: str
    workspace: str
    kind: str
    tier: int
    weight: int
    deadline: float
    prompt_tokens: int
    output_tokens: int
    victim: VictimClass
    prefix_hashes: tuple[int, ...] = ()
    avoid: tuple[str, ...] = ()
    interactive: bool = False


class Held(NamedTuple):
    """A permit that an entry host already holds.

    Reported after a change of the home host or a pause of the entry host.
    """

    ask: Ask
    endpoint: str


class Withdraw(NamedTuple):
    """The entry host no longer needs the permit it asked for or holds."""

    request: RequestKey


class Release(NamedTuple):
    """The end of a permit; durations that were not measured are zero.

    Attributes
    ----------
    first_token : float
        Seconds from the start of the attempt to its first token.
    decode : float
        Seconds from the first token to the end.
    """

    request: RequestKey
    ending: Ending
    first_token: float
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    decode: float


class Pace(NamedTuple):
    """Tokens that an entry host received from an endpoint in an interval."""

    endpoint: str
    streams: int
    tokens: int
    elapsed: float


class LoadReport(NamedTuple):
    """An endpoint's own count of its requests, ``age`` seconds old."""

    endpoint: str
    running: int
    waiting: int
    age: float


class CacheEvent(NamedTuple):
    """Prefixes that an endpoint evicted; ``gap`` if events are missing.

    All known prefixes of the endpoint are invalid after a gap.
    """

    endpoint: str
    dropped: tuple[int, ...]
    gap: bool


class EndpointSeen(NamedTuple):
    """Present state of an endpoint; ``generation`` is that of its hardware."""

    endpoint: str
    generation: int
    slots: int
    usable: bool


class EntryGone(NamedTuple):
    """An entry host was lost, with its permits and waiting requests."""

    entry: str


class Roll(NamedTuple):
    """All of an entry host's requests that hold or wait for a permit here.

    Frames can be lost with a connection, so the home host drops the requests
    of an entry host that are missing from this list.
    """

    entry: str
    numbers: frozenset[int]


class Collect(NamedTuple):
    """The cell has a new home host; grant nothing before ``until``."""

    until: float


class Tick(NamedTuple):
    """A periodic event that only advances the time."""


Event = (
    Ask
    | Held
    | Withdraw
    | Release
    | Pace
    | LoadReport
    | CacheEvent
    | EndpointSeen
    | EntryGone
    | Roll
    | Collect
    | Tick
)


class Grant(NamedTuple):
    """A granted permit; ``losers`` are the other candidates and scores."""

    request: RequestKey
    tier: int
    endpoint: str
    expiry: float
    score: float
    losers: tuple[tuple[str, float], ...]


class Refuse(NamedTuple):
    """A final refusal; ``retry_after`` is in seconds."""

    request: RequestKey
    tier: int
    reason: Reason
    retry_after: float


class Revoke(NamedTuple):
    """An order to stop using a permit, in favour of request ``cause``."""

    request: RequestKey
    endpoint: str
    cause: RequestKey


Decision = Grant | Refuse | Revoke
