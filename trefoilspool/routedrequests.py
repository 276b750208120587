"""A request that is served, and what its attempts bring."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from trefoilspool.dialect import Call
from trefoilspool.exchange import RawAnswer
from trefoilspool.routing import Route
from trefoilspool.slotmessages import PlaceKey, SendEnding

__all__ = ['Fault', 'Opened', 'Order', 'Place']


class Order(NamedTuple):
    """A request with all that decides how it is served."""

    call: Call
    route: Route
    service: str
    workspace: str
    rank: int
    charge: int
    arrived: float
    deadline: float
    gone: Callable[[], bool]
    version: int


class Place(NamedTuple):
    """A granted place."""

    key: PlaceKey
    endpoint: str


class Opened(NamedTuple):
    """An answer that has begun.

    Attributes
    ----------
    body : bytes
        The whole body, or a stream's first event.
    rest : iterator or None
        The stream's further events.
    """

    place: Place
    raw: RawAnswer
    body: bytes
    rest: Iterator[bytes] | None
    sent_at: float


class Fault(NamedTuple):
    """An attempt that brought no answer.

    Attributes
    ----------
    may_have_run : bool
        Whether the endpoint may have run the request.
    answer : Opened or None
        An endpoint's own failure, which may be passed on.
    """

    ending: SendEnding
    may_have_run: bool
    detail: str
    answer: Opened | None = None
