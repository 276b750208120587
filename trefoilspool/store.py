"""Abstract interfaces to keyed topics of the platform's durable store."""

from abc import ABC, abstractmethod
from typing import NamedTuple

__all__ = [
    'ConditionalTopic',
    'KeyedRecord',
    'KeyedSource',
    'KeyedTopic',
    'Page',
]


class KeyedRecord(NamedTuple):
    """A record of a key; empty content deletes the key."""

    key: str
    content: bytes
    offset: int


class Page(NamedTuple):
    """Records of a topic, in the order in which the source lists them.

    Attributes
    ----------
    end : int
        Offset after the latest record that the page covers.
    complete : bool
        Whether the page lists every key, so that a key that it does not list
        has been deleted.
    era : int
        Number of times that the store has been restored from a backup, which
        takes offsets back. Offsets are comparable only within an era.
    has_more : bool
        Whether the source had further records after ``end``.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    complete: bool
    era: int = 0
    has_more: bool = False


class KeyedSource(ABC):
    """A source from which the records of a topic are read."""

    @abstractmethod
    def read_latest(self) -> Page:
        """Read the latest record of each key.

        Raises
        ------
        LogOutageError
            The source did not respond.
        StoreRestoredError
            The store was restored during the read.
        """

    @abstractmethod
    def read_from(self, start: int, wait_s: float, era: int = 0) -> Page:
        """Read the records from an offset on.

        Parameters
        ----------
        start : int
            Offset of the first record to read.
        wait_s : float
            Seconds to wait for a record if there is none yet.
        era : int
            Era of the offset.

        Raises
        ------
        LogOutageError
            The source did not respond.
        StoreRestoredError
            The store is in another era; call `read_latest` instead.
        TrimmedError
            Some of these records have been trimmed; call `read_latest` instead.
        """

    def interrupt(self) -> None:
        """End a read that waits, which then fails; usable from any thread."""


class KeyedTopic(KeyedSource):
    """A topic to which this system may write."""

    @abstractmethod
    def put(self, key: str, content: bytes) -> None:
        """Append a record, which becomes the latest of its key.

        Repeating the call with the same content is safe.

        Raises
        ------
        LogOutageError
            The record may not have been written.
        """


class ConditionalTopic(KeyedTopic):
    """A topic whose writes may depend on what has been read."""

    @abstractmethod
    def put_at(self, key: str, content: bytes, end: int) -> bool:
        """Append a record only if the topic still ends where it was read.

        Parameters
        ----------
        key : str
            The record's key.
        content : bytes
            The record's content.
        end : int
            Offset after the last record that was read.

        Returns
        -------
        bool
            Whether the record was written; False if the topic has grown.

        Raises
        ------
        LogOutageError
            The record may not have been written.
        """
