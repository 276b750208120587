"""Requests and answers, and how callers and endpoints spell them."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

__all__ = ['AnswerHead', 'CallerRequest', 'Dialect', 'OutboundRequest']


class CallerRequest(NamedTuple):
    """A caller's request, decoded.

    Attributes
    ----------
    request_id : str
        The caller's id of this attempt.
    target : str
        Path and query as they came.
    passed : tuple
        Headers that endpoints get as they came.
    left_s : float
        Seconds that the caller waits.
    parts : tuple of str
        The prompt's parts, in order.
    expected_tokens : int
        The caller's estimate of the answer's length; 0 if none.
    resume_after : int
        The last event that the caller has; -1 if none.
    """

    request_id: str
    method: str
    target: str
    authority: str
    path: str
    passed: tuple[tuple[str, str], ...]
    body: bytes
    token: str
    left_s: float
    prompt_tokens: int
    output_tokens: int
    parts: tuple[str, ...]
    expected_tokens: int
    resume_after: int


class OutboundRequest(NamedTuple):
    """One attempt of a call at an endpoint."""

    call: CallerRequest
    endpoint: str
    workspace: str
    left_s: float
    resume_after: int


class AnswerHead(NamedTuple):
    """What the head of an endpoint's answer says.

    Attributes
    ----------
    proven : bool
        Whether the endpoint vouches for the answer.
    not_run : bool
        Whether it says that it has not run the request.
    other : bool
        Whether another endpoint has the address.
    encoded : bool
        Whether the body is not as the endpoint made it.
    closes : bool
        Whether the connection ends with the answer.
    idle_s : float
        How long the endpoint keeps an idle connection; 0 if unknown.
    """

    status: int
    request_id: str
    proven: bool
    not_run: bool
    other: bool
    encoded: bool
    closes: bool
    idle_s: float
    headers: tuple[tuple[str, str], ...]


class Dialect(ABC):
    """How callers and endpoints spell requests and answers."""

    @abstractmethod
    def read_call(self, environ: Mapping[str, object]) -> CallerRequest:
        """Return a caller's request.

        Raises
        ------
        Problem
            It is malformed.
        """

    @abstractmethod
    def send_headers(self, send: OutboundRequest) -> dict[str, str]:
        """Return the headers that an endpoint gets."""

    @abstractmethod
    def read_head(
        self,
        status: int,
        headers: list[tuple[str, str]],
    ) -> AnswerHead:
        """Return the head of an endpoint's answer."""

    @abstractmethod
    def event_number(self, event: bytes) -> int | None:
        """Return a stream event's number, None if it has none."""
