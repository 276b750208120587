"""A host's copy of a keyed topic, fed by the store and by peers."""

import threading
from collections.abc import Callable

from trefoilspool.store import KeyedRecord, Page

__all__ = ['Replica']


class Replica:
    """The newest records; they never go back to older ones.

    Parameters
    ----------
    changed : callable
        Called with the records that are new, in order.
    """

    def __init__(
        self,
        changed: Callable[[tuple[KeyedRecord, ...]], None],
    ) -> None:
        self.changed = changed
        self.lock = threading.Lock()
        self.records: dict[str, KeyedRecord] = {}
        self.end = -1

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
                self.records[record.key] = record
            self.end = max(self.end, page.end)
            if fresh:
                self.changed(tuple(fresh))

    def offset(self, key: str) -> int:
        """Return the offset of a key's newest record, -1 if there is none."""
        known = self.records.get(key)
        return -1 if known is None else known.offset

    def dropped(self, page: Page) -> list[KeyedRecord]:
        """Return drops of the keys that a whole page no longer has."""
        listed = {record.key for record in page.records}
        return [
            KeyedRecord(key, b'', record.offset)
            for key, record in self.records.items()
            if key not in listed and record.content
        ]

    def after(self, end: int) -> Page:
        """Return the records from an offset on, drops included."""
        with self.lock:
            records = tuple(
                record
                for record in self.records.values()
                if record.offset >= end
            )
            return Page(records, self.end, whole=False)
