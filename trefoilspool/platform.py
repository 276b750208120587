"""Abstract interfaces to the services that the platform provides."""

from abc import ABC, abstractmethod
from typing import NamedTuple

__all__ = [
    'EndpointEntry',
    'HostEntry',
    'LogPage',
    'LogRecord',
    'LogService',
    'Roster',
    'RosterService',
]


class LogRecord(NamedTuple):
    """A record of a stream."""

    offset: int
    body: str


class LogPage(NamedTuple):
    """Records in the order of their offsets.

    Attributes
    ----------
    first : int
        Offset of the first record that the stream still holds.
    end : int
        Offset after the last record of the stream.
    """

    first: int
    end: int
    records: tuple[LogRecord, ...]


class LogService(ABC):
    """Append-only streams with offsets and limited retention."""

    @abstractmethod
    def append(self, stream: str, body: str) -> int:
        """Append a record.

        Returns
        -------
        int
            The record's offset.

        Raises
        ------
        LogOutageError
            The service could not be reached; nothing was sent.
        LogRejectedError
            The service refused the record.
        LogLostAnswerError
            The record may have been appended.
        """

    @abstractmethod
    def read(self, stream: str, start: int, limit: int = 500) -> LogPage:
        """Read up to ``limit`` records from offset ``start``.

        Raises
        ------
        LogOutageError
            The service did not respond.
        TrimmedError
            ``start`` is before the first record that the stream still holds.
        """


class HostEntry(NamedTuple):
    """A host in the roster."""

    name: str
    data_centre: str
    address: str
    http_port: int
    peer_port: int
    state: str


class EndpointEntry(NamedTuple):
    """An endpoint in the roster.

    Attributes
    ----------
    cell : str
        Group of endpoints that can stand in for each other.
    generation : int
        Hardware generation.
    slots : int
        Number of requests that the endpoint processes concurrently.
    checks_fencing : bool
        Whether the endpoint refuses old fencing numbers.
    """

    name: str
    data_centre: str
    url: str
    cell: str
    generation: int
    slots: int
    state: str
    checks_fencing: bool


class Roster(NamedTuple):
    """The platform's lagging list of hosts and endpoints at one time."""

    hosts: tuple[HostEntry, ...]
    endpoints: tuple[EndpointEntry, ...]


class RosterService(ABC):
    """The platform's roster service."""

    @abstractmethod
    def fetch(self) -> Roster:
        """Read the roster.

        Raises
        ------
        LogOutageError
            The platform did not respond.
        """
