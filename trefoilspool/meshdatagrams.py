"""The datagrams that a host sends."""

import math
from collections.abc import Iterable

from trefoilspool.crashevidence import CrashReport
from trefoilspool.departures import EndpointRun
from trefoilspool.peers import HostInfo
from trefoilspool.replica import Position
from trefoilspool.slotmessages import SlotRelease, SlotRequest
from trefoilspool.slotscheduler import SlotScheduler
from trefoilspool.wire import endpointreports
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes

__all__ = [
    'digest',
    'endpoints_read_datagram',
    'host_info_datagram',
    'host_list',
    'leaving_datagram',
    'levels_to_wire',
    'message_datagram',
]


def host_info_datagram(own: HostInfo) -> ttypes.Datagram:
    """Return a datagram with the state of this host only."""
    return ttypes.Datagram(wire.host_info_to_wire(own))


def message_datagram(
    own: HostInfo, message: object, now: float
) -> ttypes.Datagram:
    """Return a datagram with a message of the slot client."""
    datagram = host_info_datagram(own)
    if isinstance(message, SlotRequest):
        datagram.asks = [wire.ask_to_wire(message, now)]
    elif isinstance(message, SlotRelease):
        datagram.ends = [wire.slot_release_to_wire(message)]
    elif isinstance(message, CrashReport):
        datagram.crashes = [endpointreports.crash_report_to_wire(message)]
    return datagram


def leaving_datagram(
    own: HostInfo, runs: Iterable[EndpointRun]
) -> ttypes.Datagram:
    """Return a datagram with endpoints' runs that are leaving."""
    datagram = host_info_datagram(own)
    datagram.leaving = list(map(wire.endpoint_run_to_wire, runs))
    return datagram


def host_list(own: HostInfo, hosts: Iterable[HostInfo]) -> ttypes.Datagram:
    """Return a datagram with a list of hosts."""
    datagram = host_info_datagram(own)
    datagram.hosts = list(map(wire.host_info_to_wire, hosts))
    return datagram


def endpoints_read_datagram(
    own: HostInfo, changed_to: Position, age_s: float
) -> ttypes.Datagram:
    """Return a datagram of a host that has read the endpoint records.

    Parameters
    ----------
    own : HostInfo
        The host.
    changed_to : Position
        Position after the latest change.
    age_s : float
        Seconds since the read was asked for.
    """
    datagram = host_info_datagram(own)
    position = wire.position_to_wire(changed_to)
    position.age_ms = math.ceil(age_s * wire.MS_PER_S)
    datagram.endpoints_read = position
    return datagram


def levels_to_wire(
    levels: Iterable[tuple[str, int]],
) -> list[ttypes.Level]:
    """Build the Thrift structs of token bucket levels."""
    return [ttypes.Level(name, tokens) for name, tokens in levels]


def digest(scheduler: SlotScheduler, now: float) -> ttypes.Digest:
    """Return the counts of held slots and the token bucket levels."""
    return ttypes.Digest(
        [
            ttypes.Load(
                name,
                len(load.reservations),
                not load.reliability.accepts_requests(now),
            )
            for name, load in scheduler.available_endpoints.items()
        ],
        levels_to_wire(scheduler.rate_limits.levels(now)),
    )
