"""Benchmarks of the settings tree: edits, snapshots and memory."""

from trefoilspool.bench import Bench, measure_memory, measure_time
from trefoilspool.fold import Edit, Fold, encode_edit
from trefoilspool.platform import LogRecord

__all__ = ['EditFold', 'SnapshotBytes', 'TreeMemory']

NODES_PER_WORKSPACE = 11


def make_records(workspaces: int) -> list[LogRecord]:
    """Return a record for each workspace: an edit that creates its nodes."""
    records = []
    for number in range(workspaces):
        changes = {
            f'/ws{number}/assistant/tier{node}/kind': {
                'rank': 1,
                'timeout_s': 20,
                'output_tokens': 200,
            }
            for node in range(NODES_PER_WORKSPACE)
        }
        edit = Edit(f'edit-{number}', number - 1, 'operator', changes)
        records.append(LogRecord(number, encode_edit(edit)))
    return records


def fold_records(records: list[LogRecord]) -> Fold:
    """Return the fold that results from log records."""
    fold = Fold()
    for record in records:
        fold.apply(record)
    return fold


class EditFold(Bench):
    """CPU time to apply an edit by the size of the tree."""

    name = 'edit-fold'
    role = 'settings'
    size_unit = 'workspaces'
    unit = 'microseconds an edit'
    sizes = (100, 500, 1000, 2700)
    # 4.2% of a core at an edit every 8.8 s.
    bound = 370_000

    def measure(self, size: int) -> float:
        """Return the CPU time to fold an edit and publish the tree."""
        fold = fold_records(make_records(size))
        change = {'/ws1': {'weight': 3}}

        def apply_edit() -> None:
            body = encode_edit(Edit('one', fold.next_offset, 'x', change))
            # An edit whose id has a verdict would be ignored.
            fold.verdicts.pop('one', None)
            fold.apply(LogRecord(fold.next_offset, body))
            fold.tree().kind('ws1', 'kind')

        return measure_time(apply_edit)


class SnapshotBytes(Bench):
    """Bytes of a snapshot by the size of the tree."""

    name = 'snapshot-bytes'
    role = 'settings'
    size_unit = 'workspaces'
    unit = 'bytes'
    sizes = (100, 500, 1000, 2700)

    def measure(self, size: int) -> float:
        """Return the bytes of a snapshot."""
        return float(len(fold_records(make_records(size)).snapshot()))


class TreeMemory(Bench):
    """Memory of the fold and its tree by the size of the tree."""

    name = 'tree-memory'
    role = 'settings'
    size_unit = 'workspaces'
    unit = 'bytes'
    sizes = (100, 500, 1000, 2700)
    bound = 256_000_000

    def measure(self, size: int) -> float:
        """Return the bytes of a fold and its tree."""
        records = make_records(size)

        def build() -> object:
            fold = fold_records(records)
            tree = fold.tree()
            return fold, tree, tree.all_kinds()

        return measure_memory(build)
