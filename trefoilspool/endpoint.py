"""The abstract interface to endpoints."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

__all__ = [
    'CacheUpdate',
    'Endpoint',
    'EndpointRequest',
    'EndpointStream',
    'Load',
    'Token',
]


class EndpointRequest(NamedTuple):
    """One attempt of a request at an endpoint.

    Attributes
    ----------
    attempt : str
        Id of the attempt.
    resume_at : int
        Number of the first token to send, counted from 0.
    """

    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]
    attempt: str
    resume_at: int


class Token(NamedTuple):
    """One event of a stream; ``position`` is its number, counted from 0."""

    position: int
    payload: str


class Load(NamedTuple):
    """An endpoint's load report.

    Attributes
    ----------
    running, waiting : int
        Number of requests in progress and of requests queued there.
    leaving : bool
        Whether the endpoint is shutting down.
    """

    running: int
    waiting: int
    leaving: bool


class CacheUpdate(NamedTuple):
    """Cache events of an endpoint after a given event number.

    Attributes
    ----------
    dropped : tuple of int
        Hashes of the prefixes that the endpoint has evicted.
    last : int
        Number of the last event covered.
    gap : bool
        Whether events in between are missing.
    """

    dropped: tuple[int, ...]
    last: int
    gap: bool


class EndpointStream(ABC):
    """An open response, owned by the thread that reads it.

    Attributes
    ----------
    attempt : str
        Id of the attempt that the response belongs to; empty if not given.
    cached_tokens : int
        Prompt tokens that the endpoint took from its cache.
    not_run : bool
        Whether the endpoint states that it has not run the request.
    resumed_at : int
        Number of the first token that it sends, 0 if it does not resume.
    """

    status: int
    attempt: str
    cached_tokens: int
    not_run: bool
    resumed_at: int
    content_type: str

    @abstractmethod
    def body(self) -> bytes:
        """Return the whole body of a response that is not streamed."""

    @abstractmethod
    def tokens(self) -> Iterator[Token]:
        """Yield the events up to the last one.

        Raises
        ------
        StreamCutError
            The stream ended before its last event.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection, which cancels a response in progress."""


class Endpoint(ABC):
    """A model engine or another service."""

    @abstractmethod
    def open(
        self,
        request: EndpointRequest,
        timeout_s: float,
        connected: 'Callable[[Callable[[], None]], None]',
    ) -> EndpointStream:
        """Send a request and read the head of the response.

        Parameters
        ----------
        request : EndpointRequest
            Request to send.
        timeout_s : float
            Seconds without a byte after which a read fails.
        connected : callable
            Called before anything is sent, with a function that another
            thread may call to end a blocked read.

        Raises
        ------
        ConnectFailedError
            The connection could not be made; nothing was sent.
        SendFailedError
            The request may have reached the endpoint.
        """

    @abstractmethod
    def load(self) -> Load:
        """Read the endpoint's load report."""

    @abstractmethod
    def cache_update(self, after: int) -> CacheUpdate:
        """Read the cache events after an event number."""
