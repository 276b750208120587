"""Abstract interfaces to the services that the platform gives."""

from abc import ABC, abstractmethod
from typing import NamedTuple

__all__ = [
    'EndpointEntry',
    'HostEntry',
    'HostList',
    'LogPage',
    'LogRecord',
    'LogService',
    'Roster',
]


class LogRecord(NamedTuple):
    """One record of a stream."""

    offset: int
    body: str


class LogPage(NamedTuple):
    """Records in order; ``first`` and ``end`` bound what the stream holds."""

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
            Nothing was sent.
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
            The service did not answer.
        TrimmedError
            ``start`` is older than the first record kept.
        """


class HostEntry(NamedTuple):
    """A host as the platform lists it."""

    name: str
    data_centre: str
    address: str
    http_port: int
    peer_port: int
    state: str


class EndpointEntry(NamedTuple):
    """An endpoint as the platform lists it."""

    name: str
    data_centre: str
    url: str
    cell: str
    generation: int
    slots: int
    state: str
    checks_fencing: bool


class Roster(NamedTuple):
    """One reading of the lagging list."""

    hosts: tuple[HostEntry, ...]
    endpoints: tuple[EndpointEntry, ...]


class HostList(ABC):
    """The platform's lagging list of hosts and endpoints."""

    @abstractmethod
    def fetch(self) -> Roster:
        """Read the list.

        Raises
        ------
        LogOutageError
            The platform did not answer.
        """
