"""Topics whose latest records are listed page by page."""

import http.client
import reprlib
from abc import abstractmethod
from typing import NamedTuple

import logbook

from trefoilspool.errors import MalformedAnswerError, StoreRestoredError
from trefoilspool.store import ConditionalTopic, KeyedRecord, Page
from trefoilspool.storeconnection import StoreConnection

__all__ = ['ListedTopic', 'Listing']

MAX_KEY_BYTES = 255

logger = logbook.Logger('follow')


class Listing(NamedTuple):
    """A page of the latest records.

    Attributes
    ----------
    next_after : str
        Key after which the next page begins, empty after the last page.
    """

    records: list[KeyedRecord]
    end: int
    next_after: str


class ListedTopic(ConditionalTopic):
    """A topic that lists the latest record of each key in pages.

    Parameters
    ----------
    address : str
        The store's IP address and port.
    """

    def __init__(self, address: str) -> None:
        self.connection = StoreConnection(address)

    def exchange(
        self, path: str, timeout_s: float, body: bytes | None
    ) -> tuple[http.client.HTTPResponse, bytes]:
        """Send a request, a POST if there is a body; read the response."""
        return self.connection.exchange(path, timeout_s, body)

    def interrupt(self) -> None:
        """End a read that waits, which then fails."""
        self.connection.interrupt()

    @abstractmethod
    def read_keys(self, after: str) -> tuple[Listing, int]:
        """Return a page of the latest records after a key, and its era."""

    def read_latest(self) -> Page:
        """Read the latest record of each key."""
        records: dict[str, KeyedRecord] = {}
        listing, era = self.read_keys('')
        # The pages are not a consistent snapshot: records written meanwhile
        # have offsets from the first page's end on, and are read again from
        # there.
        end = listing.end
        followed: set[str] = set()
        while True:
            records.update(
                (record.key, record)
                for record in listing.records
                if is_key(record.key)
            )
            after = listing.next_after
            if not after:
                return Page(tuple(records.values()), end, True, era)
            if after in followed:
                raise MalformedAnswerError(f'two pages end at key {after!r}')
            followed.add(after)
            listing, page_era = self.read_keys(after)
            if page_era != era:
                raise StoreRestoredError(page_era)


def is_key(key: str) -> bool:
    """Return whether hosts can tell each other a key."""
    try:
        length = len(key.encode())
    except UnicodeEncodeError:
        length = 0
    if 0 < length <= MAX_KEY_BYTES:
        return True
    logger.warning('key_unreadable', extra={'key': reprlib.repr(key)})
    return False
