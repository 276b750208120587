"""The fault soak: its ledger, a short run and regression seeds."""

import pathlib

import pytest
from soak import soak
from soakfaults import FIRST_SEED_WITH_ALL
from soakledger import (
    Arrival,
    FaultSpan,
    Ledger,
    Run,
    SentRequest,
    Sign,
    stream_body,
)

SOAK_S = 6

# Seeds that once violated a guarantee, with the cause.
REGRESSIONS = {
    4: 'SIGHUP ended a host that was still importing: no handler was set yet',
    7: 'same cause as seed 4',
}


def sent_request(**changes: object) -> SentRequest:
    request = SentRequest(
        'q1', 'book', '/book/q1', 'h1', 1, 2, 200, True, b'q1'
    )
    return request._replace(**changes)


def run(**changes: object) -> Run:
    default = Run('q1', 'i-1', 1.5, 'POST /book/q1 HTTP/1.1', 'acme', False)
    return default._replace(**changes)


@pytest.fixture
def ledger() -> Ledger:
    ledger = Ledger()
    ledger.on_sent(sent_request())
    ledger.on_run(run())
    return ledger


class TestLedger:
    """Each check of the ledger reports its violation."""

    def violation_code(self, ledger: Ledger) -> str:
        violations = ledger.check()
        assert len(violations) == 1
        return violations[0].partition(':')[0]

    def test_correct_response_has_no_violation(self, ledger: Ledger) -> None:
        assert not ledger.check()

    def test_second_run_of_non_idempotent_request(self, ledger: Ledger) -> None:
        ledger.on_run(run(endpoint='i-2'))
        assert self.violation_code(ledger) == 'TWICE'

    def test_run_of_refused_request(self, ledger: Ledger) -> None:
        ledger.on_sent(sent_request(status=503, body=b''))
        assert self.violation_code(ledger) == 'REFUSED'

    def test_response_of_another_request(self, ledger: Ledger) -> None:
        ledger.on_sent(sent_request(body=b'q2'))
        assert self.violation_code(ledger) == 'MIXED'

    def test_run_of_unsent_request(self, ledger: Ledger) -> None:
        ledger.on_run(run(request_id='q9'))
        assert self.violation_code(ledger) == 'UNASKED'

    def test_incomplete_stream(self, ledger: Ledger) -> None:
        body = stream_body('q1')
        ledger.on_sent(
            sent_request(kind='talk', path='/book/q1', body=body[:-20])
        )
        assert self.violation_code(ledger) == 'ORDER'

    def test_request_aborted_by_graceful_stop(self, ledger: Ledger) -> None:
        ledger.on_sent(sent_request(status=0, body=b''))
        ledger.on_span(FaultSpan('term h1', 1, 3))
        assert self.violation_code(ledger) == 'LOST'
        ledger.on_span(FaultSpan('pause h1', 1, 3))
        assert not ledger.check()

    def test_new_run_on_leaving_endpoint(self, ledger: Ledger) -> None:
        ledger.leaving['i-1'] = -1
        assert self.violation_code(ledger) == 'DRAIN'


class TestSigns:
    def ledger_of(self, quiet_s: float, *late: float) -> Ledger:
        made = Ledger()
        made.on_sent(sent_request())
        made.on_run(run())
        made.on_sign(Sign('q1', 'i-1', 2, quiet_s))
        for number, at in enumerate(late):
            name = f'r{number}'
            made.on_sent(sent_request(request_id=name, started=at, status=503))
            made.on_arrival(Arrival(name, 'i-1', at))
        return made

    def test_request_after_the_word_that_it_leaves(self) -> None:
        made = self.ledger_of(0, 4.1)
        assert 'SIGN' in made.check()[0]
        made.on_span(FaultSpan('kill h1', 3, 3.1))
        assert not made.check()

    def test_requests_within_a_quiet_period(self) -> None:
        assert not self.ledger_of(2, 2.6, 2.7, 4.5).check()
        assert 'SIGN' in self.ledger_of(2, 2.6, 2.7, 2.8).check()[0]


@pytest.mark.alone
class TestSoak:
    def test_short_run_has_no_violations(self, tmp_path: pathlib.Path) -> None:
        result = soak(3, SOAK_S, tmp_path)
        assert not result.violations
        assert result.statuses[200] > 0

    def test_short_run_with_restores_and_signs(
        self, tmp_path: pathlib.Path
    ) -> None:
        result = soak(FIRST_SEED_WITH_ALL, SOAK_S, tmp_path)
        assert not result.violations
        assert result.statuses[200] > 0

    @pytest.mark.parametrize('seed', REGRESSIONS)
    def test_regression_seed(self, seed: int, tmp_path: pathlib.Path) -> None:
        assert not soak(seed, SOAK_S * 2, tmp_path).violations
