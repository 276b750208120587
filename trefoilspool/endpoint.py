"""The abstract interface to endpoints."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

__all__ = [
    'CacheNews',
    'Endpoint',
    'EndpointRequest',
    'EndpointStream',
    'Load',
    'Token',
]


class EndpointRequest(NamedTuple):
    """One attempt of a request at an endpoint."""

    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]
    attempt: str
    resume_at: int


class Token(NamedTuple):
    """One event of a stream; ``place`` counts tokens from 0."""

    place: int
    payload: str


class Load(NamedTuple):
    """An endpoint's report of itself."""

    running: int
    waiting: int
    leaving: bool


class CacheNews(NamedTuple):
    """Prefixes that an endpoint dropped since an event number."""

    dropped: tuple[int, ...]
    last: int
    gap: bool


class EndpointStream(ABC):
    """An open answer, owned by the thread that reads it."""

    status: int
    attempt: str
    cached_tokens: int
    not_run: bool
    resumed_at: int
    content_type: str

    @abstractmethod
    def body(self) -> bytes:
        """Return the whole body of a plain answer."""

    @abstractmethod
    def tokens(self) -> Iterator[Token]:
        """Yield the events; ends after the last.

        Raises
        ------
        StreamCutError
            The stream ended before its last event.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection, which cancels an answer in progress."""


class Endpoint(ABC):
    """A model engine or plain service."""

    @abstractmethod
    def open(
        self,
        request: EndpointRequest,
        timeout_s: float,
        connected: 'Callable[[Callable[[], None]], None]',
    ) -> EndpointStream:
        """Send a request and read the answer's head.

        Parameters
        ----------
        request : EndpointRequest
            What to send.
        timeout_s : float
            Seconds without a byte after which a read fails.
        connected : callable
            Called before anything is sent, with a function that ends a
            blocked read from another thread.

        Raises
        ------
        ConnectFailedError
            Nothing was sent.
        SendFailedError
            The request may have reached the endpoint.
        """

    @abstractmethod
    def load(self) -> Load:
        """Read the endpoint's report."""

    @abstractmethod
    def cache_news(self, after: int) -> CacheNews:
        """Read the cache events after a number."""
