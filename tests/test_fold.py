"""Settings fold: conflicting edits, lost responses, snapshots and trims."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilspool import operator as operator_module
from trefoilspool.errors import (
    LogLostAnswerError,
    LogOutageError,
    SettingsConflictError,
    SettingsError,
    TrimmedError,
)
from trefoilspool.fold import Edit, Fold, encode_edit
from trefoilspool.operator import Operator
from trefoilspool.platform import LogPage, LogRecord
from trefoilspool.platforms.memory import MemoryLog
from trefoilspool.schema import check_path, check_value
from trefoilspool.settingstask import STREAM, catch_up
from trefoilspool.tree import Tree

PATH = '/shop/assistant/urgent/proposal'


class LosingLog(MemoryLog):
    """Log that appends, but loses the response to the first append."""

    def __init__(self) -> None:
        super().__init__()
        self.losses = 1

    def append(self, stream: str, body: str) -> int:
        offset = super().append(stream, body)
        if self.losses:
            self.losses -= 1
            raise LogLostAnswerError('lost')
        return offset


class UnreadableLog(MemoryLog):
    """Log that appends, but answers neither appends nor reads."""

    def append(self, stream: str, body: str) -> int:
        super().append(stream, body)
        raise LogLostAnswerError('lost')

    def read(self, stream: str, start: int, limit: int) -> LogPage:
        if self.streams:
            raise LogOutageError('away')
        return super().read(stream, start, limit)


class TestRaces:
    def test_edit_that_may_have_been_appended_is_not_called_lost(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(operator_module, 'SETTLE_TIMEOUT_S', 0.3)
        operator = Operator(UnreadableLog())
        with pytest.raises(LogLostAnswerError, match='may have been appended'):
            operator.publish({PATH: {'timeout_s': 5}}, 'a')

    def test_first_edit_of_a_key_wins(self) -> None:
        log = MemoryLog()
        first, second = Operator(log), Operator(log)
        base = first.tree().version
        first.publish({PATH: {'timeout_s': 5}}, 'a', base)
        with pytest.raises(SettingsConflictError, match='timeout_s'):
            second.publish({PATH: {'timeout_s': 9}}, 'b', base)
        assert second.tree().settings(PATH).timeout_s == 5

    def test_edits_of_two_keys_are_both_accepted(self) -> None:
        log = MemoryLog()
        first, second = Operator(log), Operator(log)
        base = first.tree().version
        first.publish({PATH: {'timeout_s': 5}}, 'a', base)
        second.publish({'/shop': {'weight': 9}}, 'b', base)
        tree = first.tree()
        assert tree.settings(PATH).timeout_s == 5
        assert tree.settings(PATH).weight == 9

    def test_lost_response_is_one_edit(self) -> None:
        log = LosingLog()
        operator = Operator(log)
        verdict = operator.publish({PATH: {'timeout_s': 5}}, 'a')
        assert verdict.accepted
        assert len(operator.history()) == 1

    def test_bad_value_changes_nothing(self) -> None:
        log = MemoryLog()
        with pytest.raises(SettingsError, match='/shop: weight'):
            Operator(log).publish({'/shop': {'weight': 0}})
        assert not log.streams


EDITS = st.lists(
    st.tuples(
        st.sampled_from(['/', '/a', '/b']),
        st.sampled_from(['weight', 'rank']),
        st.integers(0, 3),
        st.integers(-1, 12),
        st.integers(0, 5),
    ),
    max_size=12,
)


class TestFold:
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(EDITS, st.integers(0, 12))
    def test_snapshot_equals_the_full_fold(
        self,
        edits: list[tuple[str, str, int, int, int]],
        cut: int,
    ) -> None:
        records = [
            LogRecord(
                offset,
                encode_edit(
                    Edit(f'e{edit_id}', base, 'x', {path: {key: setting}}),
                ),
            )
            for offset, (path, key, setting, base, edit_id) in enumerate(edits)
        ]
        full, partial = Fold(), Fold()
        for record in records:
            full.apply(record)
        for record in records[:cut]:
            partial.apply(record)
        restored = Fold()
        restored.apply(LogRecord(len(records), partial.snapshot()))
        restored.next_offset = partial.next_offset
        for record in records[cut:]:
            restored.apply(record)
        assert restored.nodes == full.nodes
        assert restored.verdicts == full.verdicts

    def test_repeated_record_is_ignored(self) -> None:
        fold = Fold()
        old = LogRecord(0, encode_edit(Edit('1', -1, 'x', {'/': {'rank': 1}})))
        new = LogRecord(1, encode_edit(Edit('2', 0, 'x', {'/': {'rank': 2}})))
        for record in (old, new, old):
            fold.apply(record)
        assert fold.tree().settings('/').rank == 2

    def test_snapshot_behind_the_fold_is_ignored(self) -> None:
        log = MemoryLog()
        operator = Operator(log)
        operator.publish({'/': {'rank': 1}}, 'x')
        stale = operator.fold.snapshot()
        operator.publish({'/': {'rank': 2}}, 'x')
        log.append(STREAM, stale)
        assert operator.tree().settings('/').rank == 2


class TestTrim:
    def fill(self, log: MemoryLog, count: int) -> None:
        operator = Operator(log)
        for number in range(count):
            operator.publish({'/': {'weight': number + 1}}, 'x')

    def test_new_host_starts_from_a_snapshot(self) -> None:
        log = MemoryLog(retention=5)
        self.fill(log, 4)
        fold = Fold()
        catch_up(log, fold)
        log.append(STREAM, fold.snapshot())
        operator = Operator(log)
        operator.fold = fold
        for number in range(3):
            operator.publish({'/': {'weight': 100 + number}}, 'x')
        restored = Fold()
        catch_up(log, restored)
        assert restored.tree().settings('/').weight == 102
        assert restored.next_offset == fold.next_offset

    def test_trim_without_snapshot_is_an_error(self) -> None:
        log = MemoryLog(retention=1000)
        self.fill(log, 6)
        log.retention = 2
        log.append(STREAM, encode_edit(Edit('z', 5, 'x', {})))
        with pytest.raises(TrimmedError):
            catch_up(log, Fold())


class TestTree:
    def test_inherits_and_explains(self) -> None:
        tree = Tree(
            {
                '/': {'timeout_s': 9},
                '/shop': {'weight': 3},
                PATH: {'rank': 0},
            }
        )
        assert tree.settings(PATH).timeout_s == 9
        assert tree.explain(PATH)['weight'] == (3, '/shop')

    def test_unusable_value_falls_back_to_the_parent(self) -> None:
        tree = Tree({'/': {'rank': 1}, '/shop': {'rank': 99, 'new_key': 1}})
        assert tree.settings('/shop').rank == 1

    @pytest.mark.parametrize('path', ['', 'shop', '//', '/a/b/c/d/e'])
    def test_bad_path(self, path: str) -> None:
        with pytest.raises(SettingsError):
            check_path(path)

    def test_error_names_path_value_and_range(self) -> None:
        with pytest.raises(SettingsError) as caught:
            check_value('/shop', 'rank', 7)
        assert '/shop: rank = 7' in str(caught.value)
        assert 'less than 4' in str(caught.value)


class TestLateSnapshot:
    """An edit may come between what a snapshot covers and its own record."""

    def test_edit_before_the_snapshot_is_not_skipped(self) -> None:
        log = MemoryLog()
        operator = Operator(log)
        operator.publish({PATH: {'timeout_s': 5}}, 'a')
        snapshot = operator.fold.snapshot()
        operator.publish({PATH: {'timeout_s': 9}}, 'a')
        log.append(STREAM, snapshot)
        del log.streams[STREAM][:2]
        with pytest.raises(TrimmedError):
            catch_up(log, Fold())

    def test_another_snapshot_is_due(self) -> None:
        log = MemoryLog()
        operator = Operator(log)
        operator.publish({PATH: {'timeout_s': 5}}, 'a')
        snapshot = operator.fold.snapshot()
        operator.publish({PATH: {'timeout_s': 9}}, 'a')
        log.append(STREAM, snapshot)
        fold = Fold()
        catch_up(log, fold)
        assert fold.snapshot_offset == -1
        assert fold.next_offset == 3
