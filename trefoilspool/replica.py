"""A host's replica of a keyed topic, updated from the store and from peers."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from trefoilspool.store import KeyedRecord, Page

__all__ = ['NO_ERA', 'Position', 'Replica']

NO_ERA = -1  # before the first page


def record_content(record: KeyedRecord) -> object:
    """Return a record's content, the default comparison value."""
    return record.content


def ignore_skip(position: 'Position') -> None:
    """Do nothing, as only the latest records count."""


class Position(NamedTuple):
    """How far a topic has been read; a later position compares greater.

    Attributes
    ----------
    era : int
        Number of times that the store has been restored from a backup.
    offset : int
        Offset after the latest record that was read.
    """

    era: int
    offset: int


class ReplicaState(NamedTuple):
    """What a page changes in a replica; the fields are attributes there."""

    records: dict[str, KeyedRecord]
    comparison_values: dict[str, object]
    change_offsets: dict[str, int]
    era: int
    first_end: int
    end: int
    changed_end: int


class Replica:
    """The latest record of each key; an older record never replaces a newer.

    A restored store may lack records that this replica has, and reuses their
    offsets. So the first page of a new era must be complete: it replaces all
    records, and pages of earlier eras are ignored from then on.

    Parameters
    ----------
    on_change : callable
        Called with the new records in the order of the page, deletions last.
    comparison_value : callable
        Returns the value by which two records of a key are compared. A record
        whose value equals that of its predecessor does not count as a change,
        so it is not sent to peers that have read the predecessor.
    on_skip : callable
        Called with the position after a page before the page is stored, if it
        may lack records that this replica lacks too: only the latest of each
        key, or those of an era of which the latest is not known.

    Attributes
    ----------
    era : int
        Era of the records; `NO_ERA` until the first page is applied.
    first_end : int
        End of the first page of the era. What changed before it in this era
        is not known.
    end : int
        The replica covers all records before this offset; -1 until the first
        page is applied.
    changed_end : int
        Offset after the latest record whose comparison value differed from
        that of its predecessor.
    """

    def __init__(
        self,
        on_change: Callable[[tuple[KeyedRecord, ...]], None],
        comparison_value: Callable[[KeyedRecord], object] = record_content,
        on_skip: Callable[[Position], None] = ignore_skip,
    ) -> None:
        self.on_change = on_change
        self.comparison_value = comparison_value
        self.on_skip = on_skip
        self.lock = threading.Lock()
        self.records: dict[str, KeyedRecord] = {}
        self.comparison_values: dict[str, object] = {}
        self.change_offsets: dict[str, int] = {}
        self.era = NO_ERA
        self.first_end = 0
        self.end = -1
        self.changed_end = 0

    def apply(self, page: Page, *, is_compacted: bool = False) -> None:
        """Store the records of a page that are newer than the stored ones.

        If ``on_change`` fails, nothing is stored, so that the same records are
        new when they are read again.

        Parameters
        ----------
        page : Page
            The page.
        is_compacted : bool
            Whether it has only the latest record of each key, as pages of peers
            and complete ones have.
        """
        with self.lock:
            if page.era < self.era:
                return
            if page.era > self.era and self.era != NO_ERA and not page.complete:
                return
            if is_compacted or page.complete:
                self.note_skip(page)
            before = self.state()
            try:
                self.store_page(page)
            except Exception:
                self.restore(before)
                raise

    def note_skip(self, page: Page) -> None:
        """Call ``on_skip`` if a compacted page goes beyond this replica."""
        # Earlier records of a key that is listed will not be stored any more.
        latest = max((record.offset for record in page.records), default=-1)
        position = Position(page.era, max(page.end, latest + 1))
        if position > self.position():
            self.on_skip(position)

    def store_page(self, page: Page) -> None:
        """Store what is newer in a page and call ``on_change`` with it."""
        if page.era > self.era:
            self.start_era(page)
        newer = [
            record
            for record in page.records
            if record.offset > self.latest_offset(record.key)
        ]
        if page.complete and page.end >= self.end:
            newer += self.deletions(page)
        if newer:
            # The tables of before are kept until these are taken.
            self.records = dict(self.records)
            self.comparison_values = dict(self.comparison_values)
            self.change_offsets = dict(self.change_offsets)
        for record in newer:
            self.store(record)
        self.end = max(self.end, page.end)
        if newer:
            self.on_change(tuple(newer))

    def state(self) -> ReplicaState:
        """Return all that a page changes."""
        return ReplicaState(
            *(getattr(self, name) for name in ReplicaState._fields)
        )

    def restore(self, state: ReplicaState) -> None:
        """Go back to an earlier state."""
        for name, earlier in state._asdict().items():
            setattr(self, name, earlier)

    def start_era(self, page: Page) -> None:
        """Void the offsets of the stored records; their content stays."""
        self.era = page.era
        self.first_end = page.end if page.complete else 0
        self.end = -1
        # Peers that have read less of the era may lack any of the records.
        self.changed_end = page.end if page.complete else 0
        self.records = {
            key: record._replace(offset=-1)
            for key, record in self.records.items()
            if record.content
        }
        self.change_offsets = dict.fromkeys(self.records, max(0, page.end - 1))

    def store(self, record: KeyedRecord) -> None:
        """Store a record and note whether its comparison value changed."""
        value = self.comparison_value(record)
        exists = record.key in self.records
        if not exists or value != self.comparison_values[record.key]:
            self.change_offsets[record.key] = record.offset
            self.changed_end = max(self.changed_end, record.offset + 1)
        self.records[record.key] = record
        self.comparison_values[record.key] = value

    def forget(self, key: str) -> None:
        """Forget a key's record, so that the next one counts as newer."""
        with self.lock:
            self.records.pop(key, None)
            self.comparison_values.pop(key, None)
            self.change_offsets.pop(key, None)

    def latest_offset(self, key: str) -> int:
        """Return the offset of a key's latest record, -1 if there is none."""
        record = self.records.get(key)
        return -1 if record is None else record.offset

    def deletions(self, page: Page) -> list[KeyedRecord]:
        """Return deletions of the stored keys that a complete page lacks.

        Each gets the offset of the last record that the page covers, so that
        peers that have read less receive the deletion.
        """
        listed = {record.key for record in page.records}
        return [
            KeyedRecord(key, b'', max(record.offset, page.end - 1, 0))
            for key, record in self.records.items()
            if key not in listed and record.content
        ]

    def position(self) -> Position:
        """Return how far the topic has been read."""
        return Position(self.era, self.end)

    def taken_position(self) -> Position:
        """Return up to where ``on_change`` has returned for all records."""
        with self.lock:
            return self.position()

    def changed_to(self) -> Position:
        """Return the position after the latest change."""
        return Position(self.era, self.changed_end)

    def changes_from(self, start: int, era: int = 0) -> Page:
        """Return the changes from an offset on, including deletions.

        The page is complete if the offset belongs to another era, or if the
        changes after it are not all known.
        """
        with self.lock:
            complete = era != self.era or start < self.first_end
            records = tuple(
                record
                for record in self.records.values()
                if complete or self.change_offsets[record.key] >= start
            )
            return Page(records, self.end, complete, self.era)
