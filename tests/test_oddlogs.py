"""Odd records and answers of the log service, and odd rosters."""

import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from oddvalues import json_values

from trefoilspool.errors import LogLostAnswerError, LogOutageError
from trefoilspool.fold import Edit, Fold, encode_edit
from trefoilspool.ledger import Claim, ClaimBatch, Ledger
from trefoilspool.platform import LogRecord
from trefoilspool.platforms.http import HttpLog, HttpRosterService

DEEP = '[' * 100_000
EDIT = Edit('e1', 0, 'ops', {'/firm': {'tier': 2}})
BATCH = ClaimBatch('h1', 1, (Claim('k1', 1),), ())
ODD_BODIES = ('', '{', '[]', '7', 'null', DEEP, '{"edit": 3}', '[1, 2, 3, 4]')


class TestClaims:
    @pytest.mark.parametrize('body', ODD_BODIES)
    def test_claim_after_an_odd_record_holds_its_key(self, body: str) -> None:
        ledger = Ledger()
        assert ledger.apply(LogRecord(0, body)) is None
        ledger.apply(LogRecord(1, BATCH.encode()))
        assert ledger.holders['k1'].host == 'h1'

    @given(json_values)
    def test_odd_values(self, odd: object) -> None:
        ledger = Ledger()
        ledger.apply(LogRecord(0, json.dumps(odd)))
        ledger.apply(LogRecord(1, json.dumps(['h2', 2, [odd], []])))
        ledger.apply(LogRecord(2, json.dumps(['h2', odd, [['k2', 1]], []])))
        ledger.apply(LogRecord(3, BATCH.encode()))
        assert ledger.next_offset == 4
        assert ledger.holders['k1'].host == 'h1'


class TestSettings:
    @pytest.mark.parametrize('body', ODD_BODIES)
    def test_edit_after_an_odd_record_is_folded(self, body: str) -> None:
        fold = Fold()
        fold.apply(LogRecord(0, body))
        fold.apply(LogRecord(1, encode_edit(EDIT)))
        assert fold.nodes == {'/firm': {'tier': 2}}

    @given(st.sampled_from(EDIT._fields), json_values)
    def test_odd_field_of_an_edit(self, field: str, odd: object) -> None:
        fold = Fold()
        odd_edit = {**EDIT._asdict(), 'edit': 'e0', field: odd}
        fold.apply(LogRecord(0, json.dumps(odd_edit)))
        fold.apply(LogRecord(1, encode_edit(EDIT._replace(base=1))))
        assert fold.next_offset == 2
        assert fold.nodes['/firm']['tier'] == 2
        fold.snapshot().encode()

    @given(
        st.sampled_from(('next', 'nodes', 'changed', 'verdicts')), json_values
    )
    def test_odd_field_of_a_snapshot(self, field: str, odd: object) -> None:
        sound = Fold()
        sound.apply(LogRecord(0, encode_edit(EDIT)))
        state = json.loads(sound.snapshot())['snapshot']
        fold = Fold()
        body = json.dumps({'snapshot': {**state, field: odd}})
        fold.apply(LogRecord(0, body))
        fold.apply(LogRecord(1, encode_edit(EDIT._replace(edit='e2', base=1))))
        assert fold.next_offset >= 1
        fold.snapshot().encode()


class TestAnswers:
    @pytest.fixture
    def answer(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> Callable[[int, Any], None]:
        def answer_with(status: int, content: Any) -> None:
            monkeypatch.setattr(
                f'{HttpLog.__module__}.send_request',
                lambda *_: (status, content),
            )

        return answer_with

    @pytest.mark.parametrize('body', ODD_BODIES)
    def test_odd_page_is_an_outage(
        self, answer: Callable[[int, Any], None], body: str
    ) -> None:
        answer(200, body.encode())
        with pytest.raises(LogOutageError):
            HttpLog('http://log').read('s', 0)
        with pytest.raises(LogOutageError):
            HttpRosterService('http://roster').fetch()

    @pytest.mark.parametrize('body', ODD_BODIES)
    def test_odd_answer_to_an_append_proves_nothing(
        self, answer: Callable[[int, Any], None], body: str
    ) -> None:
        answer(201, body.encode())
        with pytest.raises(LogLostAnswerError):
            HttpLog('http://log').append('s', 'x')

    def test_odd_trim_is_an_outage(
        self, answer: Callable[[int, Any], None]
    ) -> None:
        answer(410, b'{"first": "x"}')
        with pytest.raises(LogOutageError):
            HttpLog('http://log').read('s', 0)
