"""Messages to the slot scheduler and its decisions."""

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

from trefoilspool.departures import EndpointRun
from trefoilspool.promptparts import shared_parts
from trefoilspool.rollouts.messages import VersionRule

__all__ = [
    'AttemptEnding',
    'DecisionEvent',
    'EndpointSpec',
    'Granted',
    'HeldSlot',
    'Queued',
    'SERVED_STREAMING_S',
    'UNSENT_ENDINGS',
    'RefusalReason',
    'Refused',
    'SlotDecision',
    'SlotKey',
    'SlotRelease',
    'SlotRequest',
    'blamable_parts',
    'has_streamed',
]

# A request is served once its stream has gone on for so long.
SERVED_STREAMING_S = 0.25


def blamable_parts(
    prompt_prefixes: tuple[str, ...], fingerprint: str
) -> tuple[str, ...]:
    """Return the ids of what endpoints may end under, the widest first.

    These are the parts of the prompt that others may share, all but the last,
    and then the whole request.

    Parameters
    ----------
    prompt_prefixes : tuple of str
        Ids of the prompt's prefixes, shortest first.
    fingerprint : str
        Id of the whole request; empty if unknown.
    """
    parts = shared_parts(prompt_prefixes)
    return (*parts, fingerprint) if fingerprint else parts


class SlotKey(NamedTuple):
    """Identifies an attempt by its entry host and its number there."""

    entry: str
    number: int


class AttemptEnding(IntEnum):
    """How an attempt with a granted slot ended."""

    completed = 0
    unused = 1  # not sent, for a reason on the caller's side
    refused = 2  # the endpoint stated that it did not run the request
    unreachable = 3  # not sent, as no connection could be made
    failed = 4  # the endpoint responded with an error of its own
    broken = 5  # no response, or a truncated or malformed one
    cancelled = 6  # ended by the caller or by this system
    silent = 7  # the endpoint accepted the request and sent nothing
    gone = 8  # the endpoint has left, or another one now has its address
    # The last two say nothing of the endpoint.
    no_path = 9  # not sent, as no path leads from this host to the endpoint
    path_lost = 10  # sent, but this host's path to the endpoint broke


# After these nothing has reached an endpoint.
UNSENT_ENDINGS = frozenset(
    (AttemptEnding.unused, AttemptEnding.unreachable, AttemptEnding.no_path)
)


class RefusalReason(IntEnum):
    """Why no slot is granted."""

    crowded = 0  # would exceed, or has exceeded, its queue timeout
    over_limit = 1  # the rate limit of the workspace is reached
    no_endpoint = 2  # the service has no endpoint that the request may use
    budget = 3  # the retry budget of the service is used up
    hopeless = 4  # the caller has disconnected
    quarantined = 5  # endpoints end under a part of its prompt


class SlotRequest(NamedTuple):
    """The request of an entry host for a slot at an endpoint.

    Attributes
    ----------
    rank : int
        Priority class; 0 is the highest.
    first_byte_due, deadline : float
        Time after which the first byte is late, and time after which the
        response is of no use, in seconds on the scheduler's clock.
    arrived_at : float
        When the entry host received the request, on the scheduler's clock.
    avoid : tuple of str
        Endpoints that may not get the request.
    attempt : int
        Number of the attempt, from 1.
    prompt_prefixes : tuple of str
        Ids of the prompt's prefixes, shortest first; an endpoint need not
        process a prefix again that is in its cache.
    charge : int
        Charge against the workspace's rate limit, in tokens or requests.
    repeatable : bool
        Whether the request may be sent again after a failure.
    fingerprint : str
        Id of requests with the same path, caller and body; empty if unknown.
    software : str or None
        Version at which its stream began, the only one at which it may go on;
        None before a first event.
    version_rule : VersionRule or None
        Whether it may run at the version that is rolled out; None without a
        roll-out.
    """

    key: SlotKey
    service: str
    workspace: str
    rank: int
    prompt_tokens: int
    output_tokens: int
    first_byte_due: float
    deadline: float
    arrived_at: float
    avoid: tuple[str, ...]
    attempt: int
    prompt_prefixes: tuple[str, ...]
    streams: bool
    charge: int
    data_centre: str
    repeatable: bool
    fingerprint: str = ''
    software: str | None = None
    version_rule: VersionRule | None = None

    def allows(self, software: str) -> bool:
        """Return whether an endpoint of a version may get the request."""
        if self.software is None:
            return True
        return bool(software) and software == self.software

    @property
    def parts(self) -> tuple[str, ...]:
        """Return what endpoints may end under; see `blamable_parts`."""
        return blamable_parts(self.prompt_prefixes, self.fingerprint)


class HeldSlot(NamedTuple):
    """A slot that an entry host reports as in use.

    Attributes
    ----------
    streaming_s : float
        Seconds from the first event of its stream to the latest; 0 before.
    """

    key: SlotKey
    service: str
    endpoint: str
    prompt_tokens: int
    output_tokens: int
    age_s: float
    streaming_s: float = 0.0


class SlotRelease(NamedTuple):
    """The release of a slot, with how its attempt ended.

    Attributes
    ----------
    first_s : float
        Seconds from the dispatch to the first byte; 0 if there was none.
    events : int
        Events received of a stream.
    decode_s : float
        Seconds from the first event to the last.
    is_down : bool
        Whether the endpoint refused a connection: its process has ended.
    """

    key: SlotKey
    ending: AttemptEnding
    endpoint: str
    first_s: float
    events: int
    decode_s: float
    prompt_tokens: int
    is_down: bool = False


def has_streamed(release: SlotRelease) -> bool:
    """Return whether an attempt had streamed for some time when it ended.

    After a single event the endpoint may just have been silent.
    """
    return release.events > 1 and release.decode_s > SERVED_STREAMING_S


class EndpointSpec(NamedTuple):
    """Properties of an endpoint, from the directory.

    Attributes
    ----------
    name : str
        Instance name, which is also the key of its record.
    slots : int
        Number of requests that the endpoint processes concurrently.
    started_ms : int
        Unix milliseconds of its start; differs after a restart.
    event_tokens : int
        Tokens in one event of its streams; 0 for a plain service.
    software : str
        Version of its software; see `EndpointRecord.stream_version`.
    """

    name: str
    service: str
    data_centre: str
    slots: int
    started_ms: int
    event_tokens: int
    software: str = ''

    @property
    def run(self) -> EndpointRun:
        """Return the run of the endpoint's process."""
        return EndpointRun(self.name, self.started_ms)


class Granted(NamedTuple):
    """The request may be sent to the endpoint.

    Attributes
    ----------
    is_probe : bool
        Whether it tests a quarantined prompt part.
    is_verified : bool
        Whether the endpoint is known to run the software that its record names:
        one that has just been down may have come back with another.
    started_ms : int or None
        Unix milliseconds of the start of the endpoint's run; None if it is not
        told.
    """

    key: SlotKey
    endpoint: str
    is_probe: bool = False
    is_verified: bool = True
    started_ms: int | None = None

    def names(self, run: EndpointRun) -> bool:
        """Return whether the grant is for a run, as far as it tells."""
        return self.started_ms is None or self.started_ms == run.started_ms


class Queued(NamedTuple):
    """The request waits for a slot."""

    key: SlotKey


class Refused(NamedTuple):
    """The request gets no slot.

    Attributes
    ----------
    retry_after : float
        Seconds after which the caller should retry.
    """

    key: SlotKey
    reason: RefusalReason
    retry_after: float


SlotDecision = Granted | Queued | Refused


class DecisionEvent(NamedTuple):
    """A log event for a decision of the scheduler, with its causes."""

    event: str
    fields: Mapping[str, object]
