"""A host's copy of a keyed topic, fed by the store and by peers."""

import threading
from collections.abc import Callable

from trefoilspool.store import KeyedRecord, Page

__all__ = ['Replica']


def content_of(record: KeyedRecord) -> object:
    """Return a record's bytes as what it says."""
    return record.content


class Replica:
    """The newest records; they never go back to older ones.

    Parameters
    ----------
    changed : callable
        Called with the records that are new, in order.
    meaning : callable
        Returns what a record says; a record that says the same as the one
        before is not passed on to peers.

    Attributes
    ----------
    end : int
        The copy accounts for all records before this offset; -1 at first.
    changed_end : int
        The offset after the newest record that said something else.
    """

    def __init__(
        self,
        changed: Callable[[tuple[KeyedRecord, ...]], None],
        meaning: Callable[[KeyedRecord], object] = content_of,
    ) -> None:
        self.changed = changed
        self.meaning = meaning
        self.lock = threading.Lock()
        self.records: dict[str, KeyedRecord] = {}
        self.meanings: dict[str, object] = {}
        self.changed_at: dict[str, int] = {}
        self.end = -1
        self.changed_end = 0

    def apply(self, page: Page) -> None:
        """Take the records of a page that are newer than those known."""
        with self.lock:
            fresh = [
                record
                for record in page.records
                if record.offset > self.offset(record.key)
            ]
            if page.whole and page.end >= self.end:
                fresh += self.dropped(page)
            for record in fresh:
                self.take(record)
            self.end = max(self.end, page.end)
            if fresh:
                self.changed(tuple(fresh))

    def take(self, record: KeyedRecord) -> None:
        """Keep a record, and note whether it says something else."""
        meaning = self.meaning(record)
        known = record.key in self.records
        if not known or meaning != self.meanings[record.key]:
            self.changed_at[record.key] = record.offset
            self.changed_end = max(self.changed_end, record.offset + 1)
        self.records[record.key] = record
        self.meanings[record.key] = meaning

    def offset(self, key: str) -> int:
        """Return the offset of a key's newest record, -1 if there is none."""
        known = self.records.get(key)
        return -1 if known is None else known.offset

    def dropped(self, page: Page) -> list[KeyedRecord]:
        """Return drops of the keys that a whole page no longer has.

        They count as the newest that the page accounts for, so that peers
        which have read less learn of them.
        """
        listed = {record.key for record in page.records}
        return [
            KeyedRecord(key, b'', max(record.offset, page.end - 1))
            for key, record in self.records.items()
            if key not in listed and record.content
        ]

    def after(self, end: int) -> Page:
        """Return what has changed from an offset on, drops included."""
        with self.lock:
            records = tuple(
                record
                for record in self.records.values()
                if self.changed_at[record.key] >= end
            )
            return Page(records, self.end, whole=False)
