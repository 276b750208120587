"""At which software version streams began.

Versions of a service may serve side by side, and a stream may go on only at the
version that began it. Pure: each call passes the time in seconds.
"""

import math
from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

import xxhash

from trefoilspool.versionhistory import MEMORY_S, ServiceVersion

__all__ = [
    'UNKNOWN',
    'UNKNOWN_VERSION',
    'FoundOrigin',
    'OriginQuery',
    'OriginSource',
    'StreamOrigin',
    'StreamOrigins',
    'stream_key',
]

UNKNOWN = ''  # software that equals none, not even itself
UNKNOWN_VERSION = ServiceVersion('', UNKNOWN)
MAX_STREAMS = 30_000


class OriginSource(IntEnum):
    """How a host knows the version at which a stream began.

    ``recorded``: the host that relayed the first event has told. ``only``: the
    service had no other version since then. ``several``: it had, and there is
    no record. ``unwatched``: this host has not run for so long.
    ``unconfirmed``: the store did not confirm that there was no other; other
    hosts are not told this.
    """

    recorded = 0
    only = 1
    several = 2
    unwatched = 3
    unconfirmed = 4


class StreamOrigin(NamedTuple):
    """What a host knows of the beginning of a stream.

    Attributes
    ----------
    stream : int
        Key of the stream; see `stream_key`.
    service : str
        Service of the endpoint; empty if unknown.
    software : str
        Version of the endpoint's software, or ``UNKNOWN``.
    age_s : float
        Age of the endpoint records from which this follows, in seconds;
        infinite if not known.
    """

    stream: int
    service: str
    software: str
    source: OriginSource = OriginSource.recorded
    age_s: float = math.inf

    @property
    def version(self) -> ServiceVersion:
        """Return the version with its service."""
        return ServiceVersion(self.service, self.software)


class OriginQuery(NamedTuple):
    """A question for the beginning of a stream.

    Attributes
    ----------
    route : str
        Name of the route in the configuration.
    window_s : float
        The stream began at most so many seconds ago.
    """

    stream: int
    route: str
    window_s: float


class FoundOrigin(NamedTuple):
    """What a host has concluded about the beginning of a stream, and why.

    Attributes
    ----------
    version : ServiceVersion
        The version that began it, or ``UNKNOWN_VERSION``.
    source : OriginSource
        What this follows from.
    answers : mapping
        The other hosts that answered, and what each knows.
    asked : int
        Number of hosts that were asked.
    is_confirmed : bool
        Whether the store has confirmed this host's records meanwhile.
    waited_s : float
        Seconds that the search has taken.
    records_age_s : float
        Age of this host's endpoint records, in seconds.
    """

    version: ServiceVersion
    source: OriginSource
    answers: Mapping[str, StreamOrigin]
    asked: int
    is_confirmed: bool
    waited_s: float
    records_age_s: float


class RecordedStream(NamedTuple):
    """A recorded version, and when it was recorded, in seconds."""

    version: ServiceVersion
    at: float


def stream_key(workspace: str, request_id: str) -> int:
    """Return the key of a stream, a hash of 63 bits.

    Parameters
    ----------
    workspace : str
        Name of the workspace; a caller cannot take up streams of others.
    request_id : str
        Id of the attempt that brought the stream's first event.
    """
    digest = xxhash.xxh64_intdigest(f'{workspace}|{request_id}'.encode())
    return digest >> 1


class StreamOrigins:
    """Recorded versions of the streams of the last ``MEMORY_S``.

    Attributes
    ----------
    by_stream : dict
        The versions by stream, those recorded last at the end; at most
        ``MAX_STREAMS``.
    """

    def __init__(self) -> None:
        self.by_stream: dict[int, RecordedStream] = {}

    def record(self, origin: StreamOrigin, now: float) -> None:
        """Record a stream's version; two different ones make it unknown."""
        version = origin.version
        earlier = self.by_stream.pop(origin.stream, None)
        if earlier is not None and earlier.version != version:
            version = UNKNOWN_VERSION
        self.by_stream[origin.stream] = RecordedStream(version, now)
        self.drop_old(now)

    def drop_old(self, now: float) -> None:
        """Drop what is older than ``MEMORY_S``, or too much."""
        while self.by_stream:
            oldest = next(iter(self.by_stream))
            is_old = now - self.by_stream[oldest].at > MEMORY_S
            if not is_old and len(self.by_stream) <= MAX_STREAMS:
                return
            del self.by_stream[oldest]

    def find(self, stream: int, now: float) -> StreamOrigin | None:
        """Return the recorded origin of a stream, None without a record."""
        recorded = self.by_stream.get(stream)
        if recorded is None or now - recorded.at > MEMORY_S:
            return None
        return StreamOrigin(stream, *recorded.version)
