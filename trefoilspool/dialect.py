"""Requests and responses, and the interface that encodes and decodes them."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

__all__ = ['CallerRequest', 'Dialect', 'OutboundRequest', 'ResponseHead']


class CallerRequest(NamedTuple):
    """A decoded request of a caller.

    Attributes
    ----------
    request_id : str
        The id that the caller gave this attempt.
    target : str
        Path and query as received.
    forwarded_headers : tuple of (str, str)
        Names and values of the headers that are forwarded unchanged.
    token : str
        The caller's API key.
    remaining_s : float
        Seconds that the caller waits for the response.
    prompt_tokens, output_tokens : int
        Length of the prompt and limit of the output; 0 if not given.
    prompt_prefixes : tuple of str
        Ids of the prompt's prefixes, shortest first.
    expected_tokens : int
        The caller's estimate of the output's length; 0 if not given.
    resume_after : int
        Number of the last event that the caller has; -1 if none.
    resumes : str
        The id of the attempt that brought the caller the first event of the
        stream that it takes up; empty if it does not name one.
    """

    request_id: str
    method: str
    target: str
    authority: str
    path: str
    forwarded_headers: tuple[tuple[str, str], ...]
    body: bytes
    token: str
    remaining_s: float
    prompt_tokens: int
    output_tokens: int
    prompt_prefixes: tuple[str, ...]
    expected_tokens: int
    resume_after: int
    resumes: str = ''

    @property
    def is_resumption(self) -> bool:
        """Return whether the caller has events of the stream already."""
        return self.resume_after >= 0 or bool(self.resumes)


class OutboundRequest(NamedTuple):
    """One attempt of a caller's request at an endpoint.

    Attributes
    ----------
    remaining_s : float
        Seconds until the deadline.
    resume_after : int
        Number of the last event that the caller has; -1 if none.
    sent_at : float
        When it is sent, in monotonic seconds.
    """

    caller_request: CallerRequest
    endpoint: str
    workspace: str
    remaining_s: float
    resume_after: int
    sent_at: float = 0.0


class ResponseHead(NamedTuple):
    """Decoded status line and headers of an endpoint's response.

    Attributes
    ----------
    request_id : str
        Id of the request that the response belongs to; empty if not given.
    is_stamped : bool
        Whether the head proves that the endpoint produced the response.
    not_run : bool
        Whether the endpoint reports that it did not run the request.
    is_other_endpoint : bool
        Whether another endpoint now has the address.
    encoded : bool
        Whether the body was encoded after the endpoint produced it.
    closes_connection : bool
        Whether the endpoint closes the connection after the response.
    idle_s : float
        How long the endpoint keeps an idle connection; 0 if not given.
    is_leaving : bool
        Whether the endpoint reports that it is shutting down.
    quiet_s : float
        Seconds for which the endpoint wants no requests from this host; 0 if
        it does not say so.
    names_limit : bool
        Whether the endpoint says how many requests a second it takes.
    limit_per_s : float or None
        That number, over all hosts; None without a readable one.
    is_brittle : bool
        Whether the endpoint says how many requests it can turn away.
    refusals_per_s : float or None
        That number, in a second; None without a readable one.
    headers : tuple of (str, str)
        Names and values that are relayed to the caller.
    media_type : str
        Media type of the body, without parameters; empty if not given.
    """

    status: int
    request_id: str
    is_stamped: bool
    not_run: bool
    is_other_endpoint: bool
    encoded: bool
    closes_connection: bool
    idle_s: float
    is_leaving: bool
    quiet_s: float
    names_limit: bool
    limit_per_s: float | None
    headers: tuple[tuple[str, str], ...]
    media_type: str = ''
    is_brittle: bool = False
    refusals_per_s: float | None = None


class Dialect(ABC):
    """Codec for the requests and responses of a platform."""

    @abstractmethod
    def request_id(self, environ: Mapping[str, object]) -> str:
        """Return the id of a caller's request, empty if it has none."""

    @abstractmethod
    def decode_request(self, environ: Mapping[str, object]) -> CallerRequest:
        """Decode a caller's request from its WSGI environment.

        Raises
        ------
        Problem
            When a header is malformed.
        """

    @abstractmethod
    def request_headers(self, outbound: OutboundRequest) -> dict[str, str]:
        """Return the headers of a request to an endpoint."""

    @abstractmethod
    def decode_response_head(
        self,
        status: int,
        headers: list[tuple[str, str]],
    ) -> ResponseHead:
        """Decode the head of an endpoint's response."""

    @abstractmethod
    def event_number(self, event: bytes) -> int | None:
        """Return the number of a stream's event, None if it has none."""
