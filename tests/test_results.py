"""The store of results by key."""

import pytest

from trefoilspool import results


class TestResultStore:
    def test_result_in_progress_does_not_block_eviction(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(results, 'MAX_RESULTS', 3)
        store = results.ResultStore()
        assert store.begin('slow')
        for number in range(9):
            store.finish(f'k{number}', 200, 'completed', b'')
        assert len(store.results) == 3
        assert store.get('slow').state is results.ResultState.in_progress
        assert store.get('k8').state is results.ResultState.finished
