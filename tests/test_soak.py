"""The fault soak: its ledger, a short run and regression seeds."""

import pathlib

import pytest
from soak import soak
from soakchecks import all_violations, check_bad_arrivals, check_limits
from soakfaults import FIRST_SEED_WITH_ALL
from soakledger import (
    Arrival,
    BadPart,
    FaultSpan,
    Ledger,
    LimitSpan,
    Run,
    SentRequest,
    Sign,
    stream_body,
)

SOAK_S = 6
SERIES_SEED = 207  # five hosts, planned work and silences
CRASHING_SEED = 202  # five hosts, planned work and a part that crashes
CRASHING_S = 18
LIMITS_SEED = 305  # endpoints name limits beside planned work
VERSIONS_SEED = 701
MISSES_SEED = 1121  # five hosts, none of which restarts by itself
CRASHING_REQUEST_SEED = 309  # one request crashes endpoints

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
        body = stream_body('q1', 'v1')
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


class TestAnswers:
    """A whole request to a sound host ends in an answer."""

    @pytest.fixture
    def cut(self, ledger: Ledger) -> Ledger:
        ledger.on_arrival(Arrival('q1', 'i-1', 1.5))
        ledger.on_sent(sent_request(complete=False, whole_at=1.2))
        return ledger

    def test_request_without_an_answer(self, cut: Ledger) -> None:
        assert 'LOST' in all_violations(cut)[0]
        cut.on_span(FaultSpan('silence', 1, 2))
        cut.on_span(FaultSpan('pause h2', 1, 2))
        assert all_violations(cut)

    @pytest.mark.parametrize('name', ['pause h1', 'crash i-1', 'kill_all'])
    def test_fault_on_the_way(self, cut: Ledger, name: str) -> None:
        cut.on_span(FaultSpan(name, -2, -1.7))
        assert not all_violations(cut)

    def test_fault_on_the_way_to_an_endpoint_that_the_answer_names(
        self, cut: Ledger
    ) -> None:
        """It reached i-1, which turned it away, and was lost before i-2."""
        detail = b'{"detail": "no response from i-2: ConnectionResetError()"}'
        cut.on_sent(sent_request(status=502, body=detail, whole_at=1.2))
        cut.on_span(FaultSpan('link i-3', 1, 2))
        cut.on_span(FaultSpan('crash i-2', 1, 2))
        assert 'LOST' in all_violations(cut)[0]
        cut.on_span(FaultSpan('link i-2', 1, 2))
        assert not all_violations(cut)

    def test_answer_that_the_endpoint_broke_off(self, cut: Ledger) -> None:
        cut.on_broken_off('q1')
        assert not all_violations(cut)

    def test_request_that_crossed_the_close(self) -> None:
        made = Ledger()
        made.on_sent(sent_request(status=0, whole_at=1.85))
        assert not all_violations(made)
        made.on_sent(sent_request(status=0, whole_at=1.75))
        assert 'LOST' in all_violations(made)[0]


class TestCrashingPart:
    """A part that crashes endpoints is held back, sound requests are not."""

    BAD = ('1:1', 'bad:9')

    @pytest.fixture
    def crashed(self) -> Ledger:
        made = Ledger()
        made.bad_part = BadPart('bad:9', 'chat', 10)
        for at in (10, 11, 12, 13, 14):
            made.on_crash(at)
        for number in range(20):
            self.send(made, f'b{number}', 5, status=200)
        return made

    def send(
        self,
        ledger: Ledger,
        name: str,
        at: float,
        status: int,
        parts: tuple[str, ...] = ('1:1',),
    ) -> None:
        body = stream_body(name, 'v1')
        path = f'/chat/{name}'
        ledger.on_sent(
            SentRequest(
                name, 'chat', path, 'h1', at, at, status, True, body, at, parts
            )
        )
        if status == 200:
            line = f'POST {path} HTTP/1.1'
            ledger.on_run(run(request_id=name, line=line))

    @pytest.mark.parametrize(
        ('count', 'at', 'held'), [(4, 16.9, 0), (3, 17.1, 0), (4, 17.1, 1)]
    )
    def test_requests_with_the_part(
        self, crashed: Ledger, count: int, at: float, held: int
    ) -> None:
        for number in range(count):
            self.send(crashed, f'q{number}', at, 503, self.BAD)
            crashed.on_arrival(Arrival(f'q{number}', 'i-1', at))
        violations = all_violations(crashed)
        assert [text[:6] for text in violations] == ['BUDGET'] * held
        crashed.on_span(FaultSpan('pause h1', 15, 16))
        assert not all_violations(crashed)

    @pytest.mark.parametrize(('served', 'lost'), [(9, 1), (10, 0)])
    @pytest.mark.parametrize('crashes', [1, 5])
    def test_sound_requests(
        self, crashed: Ledger, served: int, lost: int, crashes: int
    ) -> None:
        del crashed.crashes[crashes:]
        for number in range(20):
            status = 200 if number < served else 503
            self.send(crashed, f's{number}', 20.5, status)
        violations = all_violations(crashed)
        assert [text[:4] for text in violations] == ['LOST'] * lost


class TestCrashingRequest:
    """One request that crashes endpoints is held back after three crashes."""

    @pytest.mark.parametrize(
        ('count', 'at', 'held'), [(4, 14.9, 0), (3, 15.1, 0), (4, 15.1, 1)]
    )
    def test_repeats(self, count: int, at: float, held: int) -> None:
        made = Ledger()
        made.bad_part = BadPart('', 'look', 10, '/look/bad')
        for crashed_at in (10, 11, 12):
            made.on_crash(crashed_at)
        for number in range(count):
            name = f'q{number}'
            made.on_sent(
                sent_request(
                    request_id=name, path='/look/bad', started=at, status=503
                )
            )
            made.on_arrival(Arrival(name, 'i-1', at))
            # A sound request of the same path does not count.
            made.on_sent(sent_request(request_id=f's{number}', started=at))
            made.on_run(run(request_id=f's{number}'))
            made.on_arrival(Arrival(f's{number}', 'i-1', at))
        codes = [text[:6] for text in check_bad_arrivals(made)]
        assert codes == ['BUDGET'] * held


class TestLimits:
    """An endpoint takes so many from hosts that it has told."""

    def ledger_of(self, count: int, host: str = 'h1') -> Ledger:
        """Return a ledger with as many arrivals within 4 s."""
        made = Ledger()
        made.on_limit(LimitSpan('i-1', 2, 10, 20))
        made.on_sent(sent_request(started=10, ended=10.1))
        made.on_naming(Arrival('q1', 'i-1', 10))
        for number in range(count):
            name = f'r{number}'
            made.on_sent(sent_request(request_id=name, host=host, status=503))
            made.on_arrival(Arrival(name, 'i-1', 12 + number * 3.9 / count))
        return made

    @pytest.mark.parametrize(('count', 'held'), [(17, 0), (18, 1)])
    def test_requests_of_a_told_host(self, count: int, held: int) -> None:
        made = self.ledger_of(count)
        codes = [text[:5] for text in check_limits(made)]
        assert codes == ['LIMIT'] * held
        made.on_span(FaultSpan('pause h1', 11, 12))
        assert not list(check_limits(made))

    def test_requests_of_a_host_that_was_not_told(self) -> None:
        assert not list(check_limits(self.ledger_of(40, 'h2')))


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

    def test_short_run_with_silences_and_series(
        self, tmp_path: pathlib.Path
    ) -> None:
        result = soak(SERIES_SEED, SOAK_S, tmp_path)
        assert not result.violations
        assert result.statuses[200] > 0

    def test_part_that_crashes_endpoints(self, tmp_path: pathlib.Path) -> None:
        assert not soak(CRASHING_SEED, CRASHING_S, tmp_path).violations

    def test_short_run_with_limits(self, tmp_path: pathlib.Path) -> None:
        result = soak(LIMITS_SEED, SOAK_S, tmp_path)
        assert not result.violations
        assert 'name_limit' in result.faults

    def test_request_that_crashes_endpoints(
        self, tmp_path: pathlib.Path
    ) -> None:
        result = soak(CRASHING_REQUEST_SEED, CRASHING_S, tmp_path)
        assert not result.violations
        assert 'crash_by_request' in result.faults

    def test_streams_of_several_versions(self, tmp_path: pathlib.Path) -> None:
        result = soak(VERSIONS_SEED, SOAK_S * 2, tmp_path)
        assert not result.violations
        assert result.shares.taken_up

    def test_versions_that_hosts_miss(self, tmp_path: pathlib.Path) -> None:
        result = soak(MISSES_SEED, 0, tmp_path)
        assert not result.violations
        assert 'miss_versions' in result.faults

    @pytest.mark.parametrize('seed', REGRESSIONS)
    def test_regression_seed(self, seed: int, tmp_path: pathlib.Path) -> None:
        assert not soak(seed, SOAK_S * 2, tmp_path).violations
