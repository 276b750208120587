"""Fold of the log's edit and snapshot records into the settings tree.

The fold uses only paths, keys and offsets, never the schema. Hosts of
different versions therefore fold the same records to the same tree.
"""

import json
from collections.abc import Mapping
from typing import NamedTuple

import logbook

from trefoilspool.errors import BadRecordError
from trefoilspool.jsonfields import Fields, parse_object
from trefoilspool.platform import LogRecord
from trefoilspool.tree import Tree

__all__ = ['Edit', 'Fold', 'HistoryEntry', 'encode_edit', 'is_snapshot']

RECORD = 'settings'
VERDICT_TYPES = [int, str, str, bool, str]
MAX_VERDICTS = 20_000  # edits remembered, to ignore repeated appends

logger = logbook.Logger('settings')


class Edit(NamedTuple):
    """New values by path and key; None removes a key.

    Attributes
    ----------
    edit : str
        Unique id of the edit.
    base : int
        Last offset that the edit takes into account.
    """

    edit: str
    base: int
    author: str
    changes: Mapping[str, Mapping[str, object]]


class HistoryEntry(NamedTuple):
    """Whether one edit was accepted.

    Attributes
    ----------
    conflict : str
        Path and key, separated by a space, that changed after the edit's
        base; empty if the edit was accepted.
    """

    offset: int
    edit: str
    author: str
    accepted: bool
    conflict: str


def encode_edit(edit: Edit) -> str:
    """Return an edit as the body of a log record."""
    return json.dumps(edit._asdict(), sort_keys=True)


class Fold:
    """Settings and edit history after a prefix of the settings stream."""

    def __init__(self) -> None:
        self.next_offset = 0
        self.nodes: dict[str, dict[str, object]] = {}
        self.changed_at: dict[str, int] = {}
        self.verdicts: dict[str, HistoryEntry] = {}
        self.snapshot_offset = -1

    def apply(self, record: LogRecord) -> None:
        """Fold the next record; one that was folded before is ignored.

        A malformed one is passed over, on all hosts alike.
        """
        try:
            body = parse_object(RECORD, record.body.encode())
            self.apply_body(record.offset, body)
        except BadRecordError as error:
            logger.warning(
                'settings_record_unreadable',
                extra={'offset': record.offset, 'error': str(error)},
            )
        # Records between those that a snapshot covers and its own may be edits.
        if record.offset == self.next_offset:
            self.next_offset = record.offset + 1

    def apply_body(self, offset: int, body: Fields) -> None:
        """Apply the snapshot or the edit of a record.

        Raises
        ------
        BadRecordError
            It is malformed.
        """
        if 'snapshot' in body.source:
            self.apply_snapshot(offset, body.source['snapshot'])
        elif 'edit' in body.source and offset >= self.next_offset:
            edit = decode_edit(body)
            if edit.edit not in self.verdicts:
                self.apply_edit(offset, edit)

    def apply_edit(self, offset: int, edit: Edit) -> None:
        """Accept an edit unless a key it sets has changed since its base."""
        conflict = next(
            (
                qualified_key
                for qualified_key in qualified_keys(edit)
                if self.changed_at.get(qualified_key, -1) > edit.base
            ),
            '',
        )
        if not conflict:
            self.accept(offset, edit)
        self.verdicts[edit.edit] = HistoryEntry(
            offset,
            edit.edit,
            edit.author,
            not conflict,
            conflict,
        )
        while len(self.verdicts) > MAX_VERDICTS:
            del self.verdicts[next(iter(self.verdicts))]

    def accept(self, offset: int, edit: Edit) -> None:
        """Apply an accepted edit's changes."""
        for path, changes in edit.changes.items():
            # Published trees share the nodes, so a node is copied, not changed.
            node = dict(self.nodes.get(path, {}))
            self.nodes[path] = node
            for key, setting in changes.items():
                self.changed_at[f'{path} {key}'] = offset
                if setting is None:
                    node.pop(key, None)
                else:
                    node[key] = setting

    def snapshot(self) -> str:
        """Return the body of a record that replaces all records folded."""
        state = {
            'next': self.next_offset,
            'nodes': self.nodes,
            'changed': self.changed_at,
            'verdicts': list(self.verdicts.values()),
        }
        return json.dumps({'snapshot': state}, sort_keys=True)

    def apply_snapshot(self, offset: int, source: object) -> None:
        """Replace the state by a snapshot that covers more records.

        A snapshot that was appended after records that it does not cover does
        not count as the last one, so that another is written.

        Raises
        ------
        BadRecordError
            It is malformed.
        """
        state = Fields(RECORD, source)
        covered = state.integer('next')
        nodes = decode_nodes(state, 'nodes')
        changed = decode_changed(state)
        verdicts = decode_verdicts(state)
        if covered >= offset:
            self.snapshot_offset = max(self.snapshot_offset, offset)
        if covered <= self.next_offset:
            return
        self.next_offset = covered
        self.nodes = nodes
        self.changed_at = changed
        self.verdicts = verdicts

    def tree(self) -> Tree:
        """Return the tree after the last record folded."""
        return Tree(dict(self.nodes), self.next_offset - 1)


def qualified_keys(edit: Edit) -> list[str]:
    """Return path and key, separated by a space, of all that an edit sets."""
    return [
        f'{path} {key}'
        for path, changes in edit.changes.items()
        for key in changes
    ]


def decode_edit(body: Fields) -> Edit:
    """Decode an edit.

    Raises
    ------
    BadRecordError
        It is malformed.
    """
    return Edit(
        body.string('edit'),
        whole(body, body.required('base')),
        body.text('author'),
        decode_nodes(body, 'changes'),
    )


def whole(fields: Fields, value: object) -> int:
    """Return a whole number.

    Raises
    ------
    BadRecordError
        It is none.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise BadRecordError(fields.record, '', value, 'a whole number')
    return value


def decode_nodes(fields: Fields, field: str) -> dict[str, dict[str, object]]:
    """Decode values by path and key.

    Raises
    ------
    BadRecordError
        They are malformed.
    """
    rows = Fields(fields.record, fields.required(field)).source
    return {
        path: dict(Fields(path, node).source) for path, node in rows.items()
    }


def decode_changed(state: Fields) -> dict[str, int]:
    """Decode when keys were changed, as offsets.

    Raises
    ------
    BadRecordError
        They are malformed.
    """
    rows = Fields(RECORD, state.required('changed')).source
    return {key: whole(state, offset) for key, offset in rows.items()}


def decode_verdicts(state: Fields) -> dict[str, HistoryEntry]:
    """Decode the edits that were accepted or not, by their ids.

    Raises
    ------
    BadRecordError
        They are malformed.
    """
    rows = state.required('verdicts')
    if not isinstance(rows, list):
        raise BadRecordError(RECORD, 'verdicts', rows, 'a list')
    entries = [decode_verdict(row) for row in rows]
    return {entry.edit: entry for entry in entries}


def decode_verdict(row: object) -> HistoryEntry:
    """Decode whether an edit was accepted.

    Raises
    ------
    BadRecordError
        It is malformed.
    """
    if not isinstance(row, list) or list(map(type, row)) != VERDICT_TYPES:
        raise BadRecordError(RECORD, 'verdicts', row, 'five values')
    return HistoryEntry(*row)


def is_snapshot(record: LogRecord) -> bool:
    """Return whether a record holds a snapshot."""
    try:
        return 'snapshot' in parse_object(RECORD, record.body.encode()).source
    except BadRecordError:
        # It is logged when it is folded.
        return False
