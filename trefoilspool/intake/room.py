"""The room of a host for its callers' connections and bytes; pure.

Load pattern: crowds whose requests are legal one by one: bodies that stop short
of their end, heads that never end, connections that say nothing, answers that
nobody reads. A connection yields only when the room is used up, so that in calm
a single caller may take any time and any legal size.
"""

from collections.abc import Hashable, Iterable
from enum import IntEnum
from typing import NamedTuple, TypeVar

__all__ = [
    'Activity',
    'ConnectionLoad',
    'Room',
    'connections_to_end',
    'loads_to_end',
    'room_of_machine',
]

BYTES_PER_MB = 1_000_000
# Memory of the process itself, with its threads.
PROCESS_MB = 64
# What is held is copied on its way: received, joined, sent.
COPIES = 3
MIN_ROOM_MB = 8
MAX_RESPONSE_BYTES = 16_777_216
MIN_RESPONSE_BYTES = 8_388_608  # the longest response
# Where the machine's memory is not known.
DEFAULT_ROOM_MB = 256
# Descriptors of the process that are for files.
FILE_DESCRIPTORS = 200
# Sockets for endpoints, other hosts and the store.
OWN_SOCKETS = 280
MAX_CONNECTIONS = 1000
CALLERS_SHARE = 3  # of the sockets at least one in so many is for callers
PAGE_LISTENERS = 3  # for readiness checks, other hosts and metrics
PAGES_SHARE = 20  # of the sockets one in so many is for each of them
MAX_PAGE_CONNECTIONS = 100
# A connection that holds less never yields for the sake of memory.
SMALL_BYTES = 16_384

Key = TypeVar('Key', bound=Hashable)


class Activity(IntEnum):
    """What a connection is at; those with a lower value yield first."""

    idle = 0
    head = 1  # part of a head has arrived
    body = 2  # part of a body has arrived
    answer = 3  # an answer waits to be read
    busy = 4  # a request waits or runs


class ConnectionLoad(NamedTuple):
    """What a connection holds.

    Attributes
    ----------
    held_bytes : int
        Bytes of requests and answers.
    active_at : float
        When bytes last came or went, in seconds.
    """

    activity: Activity
    held_bytes: int
    active_at: float


class Room(NamedTuple):
    """What a host may hold for its callers.

    Attributes
    ----------
    held_bytes : int
        Bytes of requests and answers of all connections.
    response_bytes : int
        Bytes of endpoints' long responses that are being received.
    connections : int
        Connections of callers.
    page_connections : int
        Connections of each of the other listeners.
    """

    held_bytes: int
    response_bytes: int
    connections: int
    page_connections: int


def room_of_machine(memory_mb: float, descriptors: int) -> Room:
    """Return the room on a machine.

    Parameters
    ----------
    memory_mb : float
        Memory of the process, in megabytes; 0 if unknown.
    descriptors : int
        Descriptors of the process; 0 if unknown.
    """
    room_mb = float(DEFAULT_ROOM_MB)
    if memory_mb:
        room_mb = max(MIN_ROOM_MB, (memory_mb - PROCESS_MB) / COPIES)
    held_bytes = int(room_mb * BYTES_PER_MB)
    return Room(
        held_bytes,
        min(MAX_RESPONSE_BYTES, max(MIN_RESPONSE_BYTES, held_bytes)),
        *connections_of_machine(descriptors),
    )


def connections_of_machine(descriptors: int) -> tuple[int, int]:
    """Return how many connections of callers and of pages may be open.

    Parameters
    ----------
    descriptors : int
        Descriptors of the process; 0 if unknown.
    """
    if not descriptors:
        return MAX_CONNECTIONS, MAX_PAGE_CONNECTIONS
    sockets = max(0, descriptors - FILE_DESCRIPTORS)
    pages = min(MAX_PAGE_CONNECTIONS, sockets // PAGES_SHARE)
    left = sockets - OWN_SOCKETS - pages * PAGE_LISTENERS
    connections = max(left, sockets // CALLERS_SHARE)
    return min(MAX_CONNECTIONS, connections), pages


def loads_to_end(
    loads: Iterable[tuple[Key, ConnectionLoad]], limit_bytes: int
) -> list[Key]:
    """Return the connections to end so that the others fit into the memory.

    Those that have made no progress for longest yield first, whatever they are
    at; a request that runs does not yield.

    Parameters
    ----------
    loads : iterable
        All connections with their loads.
    limit_bytes : int
        Bytes that may be held.
    """
    known = list(loads)
    excess = sum(load.held_bytes for _, load in known) - limit_bytes
    yielding = sorted(
        (
            (load.active_at, place, load.held_bytes)
            for place, (_, load) in enumerate(known)
            if load.activity is not Activity.busy
            and load.held_bytes >= SMALL_BYTES
        ),
    )
    ended = []
    for _, place, held_bytes in yielding:
        if excess <= 0:
            break
        excess -= held_bytes
        ended.append(known[place][0])
    return ended


def connections_to_end(
    loads: Iterable[tuple[Key, ConnectionLoad]], limit: int
) -> list[Key]:
    """Return the connections to end so that no more than a limit are open.

    Idle ones yield first, then those that send, then those that do not read;
    of each those that have made no progress for longest.

    Parameters
    ----------
    loads : iterable
        All connections with their loads.
    limit : int
        Connections that may be open.
    """
    known = list(loads)
    excess = max(0, len(known) - limit)
    yielding = sorted(
        (load.activity, load.active_at, place)
        for place, (_, load) in enumerate(known)
        if load.activity is not Activity.busy
    )
    return [known[place][0] for _, _, place in yielding[:excess]]
