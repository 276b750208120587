"""The fault soak: a short run, and seeds that once broke a promise."""

import pathlib

import pytest
from soak import soak
from soakledger import Ledger, Run, Sent, Span, stream_body

SECONDS = 6

# Each seed that ever broke a promise, with its cause.
REGRESSIONS = {
    4: 'a reload ended a host that was still being imported',
    7: 'as 4',
}


def sent(**changes: object) -> Sent:
    made = Sent('q1', 'book', '/book/q1', 'h1', 1, 2, 200, True, b'q1')
    return made._replace(**changes)


def run(**changes: object) -> Run:
    made = Run('q1', 'i-1', 1.5, 'POST /book/q1 HTTP/1.1', 'acme', False)
    return made._replace(**changes)


@pytest.fixture
def ledger() -> Ledger:
    made = Ledger()
    made.on_sent(sent())
    made.on_run(run())
    return made


class TestLedger:
    """What the soak takes for a broken promise."""

    def broken(self, ledger: Ledger) -> str:
        found = ledger.check()
        assert len(found) == 1
        return found[0].partition(':')[0]

    def test_good_answer_breaks_none(self, ledger: Ledger) -> None:
        assert not ledger.check()

    def test_second_run_of_once_only_work(self, ledger: Ledger) -> None:
        ledger.on_run(run(endpoint='i-2'))
        assert self.broken(ledger) == 'TWICE'

    def test_run_of_what_was_refused(self, ledger: Ledger) -> None:
        ledger.on_sent(sent(status=503, body=b''))
        assert self.broken(ledger) == 'REFUSED'

    def test_answer_of_another(self, ledger: Ledger) -> None:
        ledger.on_sent(sent(body=b'q2'))
        assert self.broken(ledger) == 'MIXED'

    def test_run_that_nobody_asked_for(self, ledger: Ledger) -> None:
        ledger.on_run(run(request_id='q9'))
        assert self.broken(ledger) == 'UNASKED'

    def test_stream_with_a_gap(self, ledger: Ledger) -> None:
        whole = stream_body('q1')
        ledger.on_sent(sent(kind='talk', path='/book/q1', body=whole[:-20]))
        assert self.broken(ledger) == 'ORDER'

    def test_request_that_a_graceful_stop_cut_off(self, ledger: Ledger) -> None:
        ledger.on_sent(sent(status=0, body=b''))
        ledger.on_span(Span('term h1', 1, 3))
        assert self.broken(ledger) == 'LOST'
        ledger.on_span(Span('pause h1', 1, 3))
        assert not ledger.check()

    def test_work_that_came_to_a_leaving_endpoint(self, ledger: Ledger) -> None:
        ledger.leaving['i-1'] = -1
        assert self.broken(ledger) == 'DRAIN'


@pytest.mark.alone
class TestSoak:
    def test_short_run_keeps_the_promises(self, tmp_path: pathlib.Path) -> None:
        found = soak(3, SECONDS, tmp_path)
        assert not found.broken
        assert found.statuses[200] > 0

    @pytest.mark.parametrize('seed', REGRESSIONS)
    def test_seed_that_broke_a_promise(
        self, seed: int, tmp_path: pathlib.Path
    ) -> None:
        assert not soak(seed, SECONDS * 2, tmp_path).broken
