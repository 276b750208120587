"""Events into the scheduling core and decisions out of it.

Times are seconds on one monotonic clock, tokens are counts.
"""

from enum import IntEnum
from typing import NamedTuple

__all__ = [
    'ATTEMPT_NUMBERS',
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


ATTEMPT_NUMBERS = 64


class VictimClass(IntEnum):
    """How a running request may be cancelled; low values go first."""

    resumable = 0
    idempotent = 1
    once_model = 2
    service = 3


class Ending(IntEnum):
    """How a permit ended."""

    completed = 0
    refused = 1
    failed = 2
    cancelled = 3
    broken = 4


class Reason(IntEnum):
    """Why a request was refused."""

    shed = 0
    deadline = 1
    no_endpoint = 2


class RequestKey(NamedTuple):
    """An attempt's number at its entry host.

    A request has ``ATTEMPT_NUMBERS`` numbers in a row, one an attempt.
    """

    entry: str
    number: int

    @property
    def request_id(self) -> str:
        """Return the id that callers and logs see."""
        return f'{self.entry}-{self.number // ATTEMPT_NUMBERS:x}'


class Ask(NamedTuple):
    """A request that waits for a permit."""

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
    """A permit that an entry host still holds from another home."""

    ask: Ask
    endpoint: str


class Withdraw(NamedTuple):
    """The entry no longer wants or needs a permit."""

    request: RequestKey


class Release(NamedTuple):
    """A permit ended; the timings are zero where they were not seen."""

    request: RequestKey
    ending: Ending
    first_token: float
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    decode: float


class Pace(NamedTuple):
    """Tokens that one entry host saw from an endpoint in an interval."""

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
    """Prefixes that an endpoint dropped; a gap drops all that is known."""

    endpoint: str
    dropped: tuple[int, ...]
    gap: bool


class EndpointSeen(NamedTuple):
    """An endpoint as the membership view has it now."""

    endpoint: str
    generation: int
    slots: int
    usable: bool


class EntryGone(NamedTuple):
    """An entry host is gone with everything it asked for."""

    entry: str


class Roll(NamedTuple):
    """All requests that an entry host holds or waits for at this home.

    Frames can be lost with a connection; what an entry no longer lists is
    freed.
    """

    entry: str
    numbers: frozenset[int]


class Collect(NamedTuple):
    """The cell has a new home; grant nothing before ``until``."""

    until: float


class Tick(NamedTuple):
    """Time has passed."""


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
    """A permit; ``losers`` are the other candidates with their scores."""

    request: RequestKey
    tier: int
    endpoint: str
    expiry: float
    score: float
    losers: tuple[tuple[str, float], ...]


class Refuse(NamedTuple):
    """A final refusal, with when to come back in seconds."""

    request: RequestKey
    tier: int
    reason: Reason
    retry_after: float


class Revoke(NamedTuple):
    """An order to stop using a permit, for the sake of ``cause``."""

    request: RequestKey
    endpoint: str
    cause: RequestKey


Decision = Grant | Refuse | Revoke
