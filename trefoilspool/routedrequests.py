"""Routed requests and the results of their attempts."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from trefoilspool.departures import EndpointRun
from trefoilspool.dialect import CallerRequest
from trefoilspool.endpointresponse import EndpointResponse
from trefoilspool.routing import RepeatPolicy, Route
from trefoilspool.slotmessages import (
    AttemptEnding,
    SlotKey,
    blamable_parts,
)
from trefoilspool.streamorigins import stream_key

__all__ = ['AttemptFailure', 'RoutedRequest', 'Slot', 'StartedResponse']


class RoutedRequest(NamedTuple):
    """A request with its route, service and workspace.

    Attributes
    ----------
    rank : int
        Priority class; 0 is the highest.
    charge : int
        Charge against the workspace's rate limit, in tokens or requests.
    arrived_at, deadline : float
        Monotonic seconds.
    client_disconnected : callable
        Returns whether the caller has closed its connection.
    version : int
        Version of the configuration that routed the request.
    fingerprint : str
        Id of requests with the same path, caller and body.
    queued_s : float
        Seconds for which the request waited for a thread.
    """

    caller_request: CallerRequest
    route: Route
    service: str
    workspace: str
    rank: int
    charge: int
    arrived_at: float
    deadline: float
    client_disconnected: Callable[[], bool]
    version: int
    fingerprint: str
    queued_s: float = 0

    @property
    def stream(self) -> int:
        """Return the key of the stream, by the attempt that began it."""
        request = self.caller_request
        return stream_key(self.workspace, request.resumes or request.request_id)

    @property
    def may_be_taken_up(self) -> bool:
        """Return whether its caller may take up the stream at another host."""
        route = self.route
        return route.streams and route.repeats is RepeatPolicy.resumed

    @property
    def parts(self) -> tuple[str, ...]:
        """Return what endpoints may end under; see `blamable_parts`."""
        return blamable_parts(
            self.caller_request.prompt_prefixes, self.fingerprint
        )


class Slot(NamedTuple):
    """A granted slot: the right to send one attempt to the endpoint.

    Attributes
    ----------
    granted_at : float
        When this host got the grant, in seconds.
    started_ms : int
        Unix milliseconds of the start of the endpoint's run; 0 if unknown.
    is_probe : bool
        Whether the attempt tests a quarantined prompt part.
    software : str
        Version of the endpoint's software; empty if unknown.
    """

    key: SlotKey
    endpoint: str
    granted_at: float
    started_ms: int = 0
    is_probe: bool = False
    software: str = ''

    @property
    def run(self) -> EndpointRun:
        """Return the endpoint's run."""
        return EndpointRun(self.endpoint, self.started_ms)


class StartedResponse(NamedTuple):
    """A response of which the head and the first bytes have been read.

    Attributes
    ----------
    body : bytes
        The whole body, or the first event of a stream.
    rest : iterator of bytes or None
        The further events of a stream; None for a whole body.
    """

    slot: Slot
    response: EndpointResponse
    body: bytes
    rest: Iterator[bytes] | None


class AttemptFailure(NamedTuple):
    """An attempt without a usable response.

    Attributes
    ----------
    may_have_run : bool
        Whether the endpoint may have run the request.
    response : StartedResponse or None
        The endpoint's own error response, which may be relayed.
    is_down : bool
        Whether the endpoint refused a connection: its process has ended.
    """

    ending: AttemptEnding
    may_have_run: bool
    detail: str
    response: StartedResponse | None = None
    is_down: bool = False
