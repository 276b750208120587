"""The base class of request filters and the messages between them."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Mapping
from typing import Generic, NamedTuple, TypeVar

from returns.result import Result

from trefoilspool import events
from trefoilspool.endpoint import EndpointStream
from trefoilspool.errors import Problem
from trefoilspool.ledger import Claim
from trefoilspool.outcome import Outcome
from trefoilspool.permit import Permit
from trefoilspool.tree import KindPlace, Tree

__all__ = [
    'Answer',
    'Arrival',
    'Caller',
    'ClaimedJob',
    'Filter',
    'Final',
    'Job',
    'OpenAnswer',
    'PermittedJob',
    'Progress',
]

MessageT = TypeVar('MessageT')
NextT = TypeVar('NextT')


class Arrival(NamedTuple):
    """A request as it came in.

    Attributes
    ----------
    headers : mapping
        Values by lower-case name.
    query : str
        What stood behind the path's question mark.
    gone : callable
        Tells whether the caller has hung up.
    """

    number: int
    request_id: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    arrived: float
    gone: Callable[[], bool]
    method: str = 'POST'
    query: str = ''

    @property
    def target(self) -> str:
        """Return the path with its query."""
        return f'{self.path}?{self.query}' if self.query else self.path


class Caller(NamedTuple):
    """An arrival with its workspace."""

    arrival: Arrival
    workspace: str
    tree: Tree


class Progress:
    """What has happened to a request; owned by the request's thread.

    Attributes
    ----------
    sent_attempts : int
        Attempts of which a byte may have reached an endpoint.
    result_unknown : bool
        Whether an attempt ended without us knowing how.
    relayed : int
        Tokens that the caller has.
    shed : bool
        Whether the request has to end for one of a higher tier.
    """

    def __init__(self) -> None:
        self.sent_attempts = 0
        self.result_unknown = False
        self.attempts = 0
        self.relayed = 0
        self.first_token_s = 0.0
        self.outcome: Outcome | None = None
        self.endpoint = ''
        self.shed = False
        self.permit: Permit | None = None

    @property
    def sent(self) -> bool:
        """Tell whether a byte may have reached an endpoint."""
        return self.sent_attempts > 0

    def shed_now(self) -> None:
        """End the request; the one method that other threads may call."""
        self.shed = True
        permit = self.permit
        if permit is not None:
            permit.revoke()


class Job(NamedTuple):
    """A request whose kind, tier and deadline are known."""

    arrival: Arrival
    workspace: str
    place: KindPlace
    ask: events.Ask
    body: Mapping[str, object]
    streams: bool
    once: bool
    progress: Progress


class ClaimedJob(NamedTuple):
    """A job that may be dispatched as far as its key is concerned."""

    job: Job
    claim: Claim | None
    ticket: str
    claimed_at: float


class OpenAnswer(NamedTuple):
    """An endpoint's answer whose head has been read."""

    claimed: ClaimedJob
    permit: Permit
    stream: EndpointStream


class PermittedJob(NamedTuple):
    """A claimed job with the right to go to one endpoint."""

    claimed: ClaimedJob
    permit: Permit


class Answer(NamedTuple):
    """What the caller gets; ``chunks`` ends the request when exhausted."""

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: Iterator[bytes]


Final = Problem | Answer


class Filter(ABC, Generic[MessageT, NextT]):
    """One step of a request's way."""

    @abstractmethod
    def apply(self, message: MessageT) -> 'Result[NextT, Final]':
        """Return the next step's message or the caller's final answer."""
