"""The abstract interface to keyed records that outlast every host."""

from abc import ABC, abstractmethod
from typing import NamedTuple

__all__ = ['KeyedRecord', 'KeyedSource', 'KeyedTopic', 'Page']


class KeyedRecord(NamedTuple):
    """The newest content of a key; an empty one drops the key."""

    key: str
    content: bytes
    offset: int


class Page(NamedTuple):
    """Records in order of their offsets.

    Attributes
    ----------
    end : int
        The offset after the newest record that the page accounts for.
    whole : bool
        Whether keys that the page does not hold are gone.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    whole: bool


class KeyedSource(ABC):
    """Where a topic's records are read from."""

    @abstractmethod
    def newest(self) -> Page:
        """Read the newest record of each key.

        Raises
        ------
        LogOutageError
            The source did not answer.
        """

    @abstractmethod
    def after(self, end: int, wait_s: float) -> Page:
        """Read the records from an offset; wait for one if there is none.

        Raises
        ------
        LogOutageError
            The source did not answer.
        TrimmedError
            Some of these records are gone; read the newest.
        """


class KeyedTopic(KeyedSource):
    """A topic that this system may write to."""

    @abstractmethod
    def put(self, key: str, content: bytes) -> None:
        """Write the newest content of a key; a repeat does no harm.

        Raises
        ------
        LogOutageError
            It may not have been written.
        """
