"""Fold of the log's edit and snapshot records into the settings tree.

The fold uses only paths, keys and offsets, never the schema. Hosts of
different versions therefore fold the same records to the same tree.
"""

import json
from collections.abc import Mapping
from typing import NamedTuple

from trefoilspool.platform import LogRecord
from trefoilspool.tree import Tree

__all__ = ['Edit', 'Fold', 'HistoryEntry', 'encode_edit']

MAX_VERDICTS = 20_000  # edits remembered, to ignore repeated appends


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
        """Fold the next record; one that was folded before is ignored."""
        body = json.loads(record.body)
        if 'snapshot' in body:
            self.apply_snapshot(record.offset, body['snapshot'])
            # Records between those that it covers and its own may be edits.
            if record.offset > self.next_offset:
                return
        if record.offset < self.next_offset:
            return
        if 'edit' in body and body['edit'] not in self.verdicts:
            self.apply_edit(record.offset, Edit(**body))
        self.next_offset = record.offset + 1

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

    def apply_snapshot(self, offset: int, state: dict[str, object]) -> None:
        """Replace the state by a snapshot that covers more records.

        A snapshot that was appended after records that it does not cover does
        not count as the last one, so that another is written.
        """
        covered = int(str(state['next']))
        if covered >= offset:
            self.snapshot_offset = max(self.snapshot_offset, offset)
        if covered <= self.next_offset:
            return
        self.next_offset = covered
        self.nodes = dict(state['nodes'])  # type: ignore[call-overload]
        self.changed_at = dict(state['changed'])  # type: ignore[call-overload]
        entries = [
            HistoryEntry(*entry)
            for entry in state['verdicts']  # type: ignore[attr-defined]
        ]
        self.verdicts = {entry.edit: entry for entry in entries}

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
