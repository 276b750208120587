"""Orders, announcements and reports of roll-outs."""

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

from trefoilspool.replica import Position

__all__ = [
    'Announcement',
    'Measure',
    'Phase',
    'RolloutOrder',
    'RolloutReport',
    'RolloutStatus',
    'RowKey',
    'State',
    'Tally',
    'TargetUse',
    'VersionRule',
    'is_of_order',
    'is_same_order',
]


class RolloutOrder(NamedTuple):
    """An operator's order to move a service's traffic to a version.

    Attributes
    ----------
    position : Position
        Era and offset of the order's record; later orders have later ones.
    """

    service: str
    target: str
    duration_s: float
    position: Position


def is_same_order(one: RolloutOrder, other: RolloutOrder) -> bool:
    """Return whether two records hold the same order.

    After a restore of the store an order is written again at another offset.
    """
    same_place = one.position.offset == other.position.offset
    if one.position.era == other.position.era and not same_place:
        return False
    return one[:3] == other[:3]


class Phase(IntEnum):
    """How far a roll-out is; `reverted` and `completed` are final."""

    held = 0  # the target gets nothing: no host has decided yet
    canary = 1  # a small share tests the target
    expanding = 2  # the share grows
    draining = 3  # all new requests go to the target
    completed = 4
    reverted = 5


FINAL_PHASES = frozenset((Phase.completed, Phase.reverted))


class State(IntEnum):
    """What the operator is told of a roll-out."""

    in_progress = 0
    completed = 1
    reverted = 2


class RolloutStatus(NamedTuple):
    """The status of an order, as it is stored.

    Attributes
    ----------
    position : Position
        Era and offset of the order's record.
    started_ms : int
        Unix milliseconds at which the first host took the order up.
    """

    service: str
    target: str
    state: State
    position: Position
    started_ms: int


def is_of_order(status: RolloutStatus, order: RolloutOrder) -> bool:
    """Return whether a status is of an order, also after a restore."""
    if (status.service, status.target) != (order.service, order.target):
        return False
    same_era = status.position.era == order.position.era
    return not same_era or status.position == order.position


class Announcement(NamedTuple):
    """What the home host tells of a roll-out.

    Attributes
    ----------
    share : float
        Share of the service's requests that the target may get.
    is_stored : bool
        Whether the status in the store says the same; it then holds over
        whatever another home host tells.
    """

    order: RolloutOrder
    phase: Phase
    share: float
    is_stored: bool = False


class TargetUse(IntEnum):
    """Whether a request may run at the target version of a roll-out."""

    avoided = 0  # unless the service has no other endpoint
    preferred = 1
    required = 2  # unless the service has no endpoint of the target
    forbidden = 3


class VersionRule(NamedTuple):
    """The rule for one request of a service with a roll-out.

    Attributes
    ----------
    target : str
        The version that is rolled out.
    share : float
        Share of the service's requests that the target gets at present.
    """

    target: str
    use: TargetUse
    share: float


class Measure(IntEnum):
    """What is compared between versions; each is a count of bad responses."""

    failure = 0
    first_byte = 1
    pace = 2


class RowKey(NamedTuple):
    """Identifies a row of a report.

    Attributes
    ----------
    route : str
        Name of the route.
    group : int
        Group of the target's endpoints; `OTHERS` for all other versions.
    """

    route: str
    group: int


class Tally(NamedTuple):
    """Counts of the responses of one route at one group of endpoints.

    Attributes
    ----------
    requests, failures : int
        Responses, and those of them that were failures.
    first_bytes, paces : mapping
        Number of responses by bucket of the time to the first byte, and of
        the time between two events; see `evidence.bucket`.
    """

    requests: int
    failures: int
    first_bytes: Mapping[int, int]
    paces: Mapping[int, int]


class RolloutReport(NamedTuple):
    """What an entry host has seen of an order since it learned of it.

    Attributes
    ----------
    phase : Phase
        The phase that the host acts on.
    sent : int
        Attempts sent to the service.
    exposed : int
        Those of them that were sent to the target.
    open_others : int
        Attempts that are open at other versions.
    rows : mapping
        Counts of responses by route and group.
    """

    order: RolloutOrder
    phase: Phase
    sent: int
    exposed: int
    open_others: int
    rows: Mapping[RowKey, Tally]
