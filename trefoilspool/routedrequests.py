"""A request that is served, and what its attempts bring."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from trefoilspool.dialect import CallerRequest
from trefoilspool.exchange import RawAnswer
from trefoilspool.routing import Route
from trefoilspool.slotmessages import AttemptEnding, SlotKey

__all__ = ['AttemptFailure', 'OpenedAnswer', 'RoutedRequest', 'Slot']


class RoutedRequest(NamedTuple):
    """A request with all that decides how it is served."""

    call: CallerRequest
    route: Route
    service: str
    workspace: str
    rank: int
    charge: int
    arrived: float
    deadline: float
    gone: Callable[[], bool]
    version: int


class Slot(NamedTuple):
    """A granted place."""

    key: SlotKey
    endpoint: str


class OpenedAnswer(NamedTuple):
    """An answer that has begun.

    Attributes
    ----------
    body : bytes
        The whole body, or a stream's first event.
    rest : iterator or None
        The stream's further events.
    """

    slot: Slot
    raw: RawAnswer
    body: bytes
    rest: Iterator[bytes] | None
    sent_at: float


class AttemptFailure(NamedTuple):
    """An attempt that brought no answer.

    Attributes
    ----------
    may_have_run : bool
        Whether the endpoint may have run the request.
    answer : OpenedAnswer or None
        An endpoint's own failure, which may be passed on.
    """

    ending: AttemptEnding
    may_have_run: bool
    detail: str
    answer: OpenedAnswer | None = None
