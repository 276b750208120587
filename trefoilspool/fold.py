"""The fold that turns log records into the settings tree.

Every host folds the same records to the same tree, whatever its version:
the fold looks at paths, keys and offsets and never at the schema.
"""

import json
from collections.abc import Mapping
from typing import NamedTuple

from trefoilspool.platform import LogRecord
from trefoilspool.tree import Tree

__all__ = ['Edit', 'Fold', 'HistoryEntry', 'encode_edit']

MAX_VERDICTS = 20_000


class Edit(NamedTuple):
    """Changes by path and key; None removes a key."""

    edit: str
    base: int
    author: str
    changes: Mapping[str, Mapping[str, object]]


class HistoryEntry(NamedTuple):
    """The verdict on one edit."""

    offset: int
    edit: str
    author: str
    accepted: bool
    conflict: str


def encode_edit(edit: Edit) -> str:
    """Return the log record of an edit."""
    return json.dumps(edit._asdict(), sort_keys=True)


class Fold:
    """State after a prefix of the settings stream."""

    def __init__(self) -> None:
        self.next = 0
        self.nodes: dict[str, dict[str, object]] = {}
        self.changed: dict[str, int] = {}
        self.verdicts: dict[str, HistoryEntry] = {}
        self.snapshot_at = -1

    def apply(self, record: LogRecord) -> None:
        """Fold the record at the next offset; older ones are ignored."""
        body = json.loads(record.body)
        if 'snapshot' in body:
            self.apply_snapshot(record.offset, body['snapshot'])
        if record.offset < self.next:
            return
        if 'edit' in body and body['edit'] not in self.verdicts:
            self.apply_edit(record.offset, Edit(**body))
        self.next = record.offset + 1

    def apply_edit(self, offset: int, edit: Edit) -> None:
        """Accept an edit if nothing it touches has changed since its base."""
        conflict = next(
            (
                place
                for place in touched(edit)
                if self.changed.get(place, -1) > edit.base
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
        """Put an edit's changes in force."""
        for path, changes in edit.changes.items():
            # Published trees share the nodes, so that a node is never changed.
            node = dict(self.nodes.get(path, {}))
            self.nodes[path] = node
            for key, setting in changes.items():
                self.changed[f'{path} {key}'] = offset
                if setting is None:
                    node.pop(key, None)
                else:
                    node[key] = setting

    def snapshot(self) -> str:
        """Return a record that covers every offset folded so far."""
        state = {
            'next': self.next,
            'nodes': self.nodes,
            'changed': self.changed,
            'verdicts': list(self.verdicts.values()),
        }
        return json.dumps({'snapshot': state}, sort_keys=True)

    def apply_snapshot(self, offset: int, state: dict[str, object]) -> None:
        """Take over a snapshot that covers more than this fold does."""
        self.snapshot_at = max(self.snapshot_at, offset)
        covered = int(str(state['next']))
        if covered <= self.next:
            return
        self.next = covered
        self.nodes = dict(state['nodes'])  # type: ignore[call-overload]
        self.changed = dict(state['changed'])  # type: ignore[call-overload]
        entries = [
            HistoryEntry(*entry)
            for entry in state['verdicts']  # type: ignore[attr-defined]
        ]
        self.verdicts = {entry.edit: entry for entry in entries}

    def tree(self) -> Tree:
        """Return the tree as of the last record folded."""
        return Tree(dict(self.nodes), self.next - 1)


def touched(edit: Edit) -> list[str]:
    """Return the places that an edit writes."""
    return [
        f'{path} {key}'
        for path, changes in edit.changes.items()
        for key in changes
    ]
