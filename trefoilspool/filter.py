"""The base class of request filters and the messages between them."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Mapping
from typing import Generic, NamedTuple, TypeVar

from returns.result import Result

from trefoilspool import events
from trefoilspool.endpoint import EndpointStream
from trefoilspool.ledger import Claim
from trefoilspool.outcome import Outcome
from trefoilspool.permit import Permit
from trefoilspool.problems import Problem
from trefoilspool.tree import KindPlace, Tree

__all__ = [
    'Arrival',
    'Caller',
    'ClaimedJob',
    'Filter',
    'FinalResponse',
    'Job',
    'OpenResponse',
    'PermittedJob',
    'Progress',
    'Response',
]

MessageT = TypeVar('MessageT')
NextT = TypeVar('NextT')


class Arrival(NamedTuple):
    """A request as received, before any filter.

    Attributes
    ----------
    number : int
        Number of the request on this host; its attempts use the numbers that
        follow.
    headers : mapping
        Values by lower-case name.
    arrived_at : float
        Monotonic seconds.
    client_disconnected : callable
        Returns whether the caller has closed its connection.
    query : str
        Query string, without the question mark.
    """

    number: int
    request_id: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    arrived_at: float
    client_disconnected: Callable[[], bool]
    method: str = 'POST'
    query: str = ''

    @property
    def target(self) -> str:
        """Return the path with its query."""
        return f'{self.path}?{self.query}' if self.query else self.path


class Caller(NamedTuple):
    """An authenticated request: an arrival with its workspace."""

    arrival: Arrival
    workspace: str
    tree: Tree


class Progress:
    """State of a request; owned by the request's thread.

    Attributes
    ----------
    sent_attempts : int
        Attempts of which a byte may have reached an endpoint.
    result_unknown : bool
        Whether an attempt ended without a known result.
    attempts : int
        Attempts started, also those that could not connect.
    relayed_tokens : int
        Tokens passed on to the caller.
    first_token_s : float
        Seconds from arrival to the first token, 0 before it.
    endpoint : str
        Endpoint of the last attempt, empty before the first one.
    shed : bool
        Whether the request was shed for one of a higher tier.
    """

    def __init__(self) -> None:
        self.sent_attempts = 0
        self.result_unknown = False
        self.attempts = 0
        self.relayed_tokens = 0
        self.first_token_s = 0.0
        self.outcome: Outcome | None = None
        self.endpoint = ''
        self.shed = False
        self.permit: Permit | None = None

    @property
    def sent(self) -> bool:
        """Return whether a byte may have reached an endpoint."""
        return self.sent_attempts > 0

    def shed_now(self) -> None:
        """End the request; the only method that other threads may call."""
        self.shed = True
        permit = self.permit
        if permit is not None:
            permit.revoke()


class Job(NamedTuple):
    """A classified request, with its kind, tier and deadline.

    Attributes
    ----------
    streams : bool
        Whether the caller asked for server-sent events.
    at_most_once : bool
        Whether the kind is not idempotent. No further attempt may follow one
        that may have run.
    """

    arrival: Arrival
    workspace: str
    place: KindPlace
    ask: events.Ask
    body: Mapping[str, object]
    streams: bool
    at_most_once: bool
    progress: Progress


class ClaimedJob(NamedTuple):
    """A job whose idempotency key, if any, is claimed.

    Attributes
    ----------
    claim : Claim or None
        The logged claim; None without a key or with a ticket.
    result_key : str
        Key in the result store, empty without an idempotency key.
    claimed_at : float
        Seconds on the clock of ``time_since_boot``.
    """

    job: Job
    claim: Claim | None
    result_key: str
    claimed_at: float


class OpenResponse(NamedTuple):
    """An endpoint's response whose head has been read."""

    claimed: ClaimedJob
    permit: Permit
    stream: EndpointStream


class PermittedJob(NamedTuple):
    """A claimed job with a permit for one endpoint."""

    claimed: ClaimedJob
    permit: Permit


class Response(NamedTuple):
    """The response to the caller.

    Attributes
    ----------
    chunks : iterator of bytes
        The body; the request ends when it is exhausted.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: Iterator[bytes]


FinalResponse = Problem | Response


class Filter(ABC, Generic[MessageT, NextT]):
    """One step of the request pipeline."""

    @abstractmethod
    def apply(self, message: MessageT) -> 'Result[NextT, FinalResponse]':
        """Return the next step's message or the final response."""
