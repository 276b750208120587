"""Which parts are blamed for the ends of endpoints."""

import pytest

from trefoilspool.crashevidence import (
    MAX_REPORTS,
    RETENTION_S,
    CrashEvidence,
    CrashReport,
)
from trefoilspool.departures import EndpointRun
from trefoilspool.processends import MAX_RUNS
from trefoilspool.quarantine import Quarantine
from trefoilspool.runsigns import (
    CONFIRMATION_S,
    SIMULTANEOUS_S,
    Outage,
    with_refusal,
)

LATER_S = 20.0  # after which served requests are no longer recent


@pytest.fixture
def evidence() -> CrashEvidence:
    made = CrashEvidence(Quarantine())
    made.history.known_since = -100
    return made


def run(number: int) -> EndpointRun:
    return EndpointRun(f'e{number}', number)


def report(
    evidence: CrashEvidence, number: int, *parts: str, age_s: float = 0
) -> None:
    """Report an attempt at the run with the attempt's number."""
    evidence.on_report(
        'h1', CrashReport(run(number), parts, number, age_s), number
    )


def crash(evidence: CrashEvidence, number: int, *parts: str) -> None:
    """Let a run end in the second of its number."""
    report(evidence, number, *parts)
    evidence.ends.on_run_ended(run(number), number + 0.2)


def culprits(evidence: CrashEvidence, now: float) -> list[str]:
    return [culprit.part for culprit in evidence.culprits(now)]


class TestConfirmation:
    def test_run_that_broke_off_answers_is_no_crash(
        self, evidence: CrashEvidence
    ) -> None:
        for number in range(4):
            report(evidence, number, 'bad')
        assert not culprits(evidence, 4)

    def test_run_that_ended_soon_after_is_one(
        self, evidence: CrashEvidence
    ) -> None:
        for number in range(3):
            report(evidence, number, 'bad')
            evidence.ends.on_run_ended(run(number), number + CONFIRMATION_S - 1)
        assert culprits(evidence, 7) == ['bad']

    def test_run_that_ended_much_later_is_none(
        self, evidence: CrashEvidence
    ) -> None:
        for number in range(3):
            report(evidence, number, 'bad')
            evidence.ends.on_run_ended(run(number), number + CONFIRMATION_S + 1)
        assert not culprits(evidence, 9)

    def test_sign_may_come_before_the_report(
        self, evidence: CrashEvidence
    ) -> None:
        for number in range(3):
            evidence.ends.on_run_ended(run(number), number - 0.5)
            report(evidence, number, 'bad', age_s=0.6)
        assert culprits(evidence, 3) == ['bad']

    def test_attempts_that_broke_together_suffice(
        self, evidence: CrashEvidence
    ) -> None:
        for number in range(3):
            report(evidence, number, 'bad')
            evidence.ends.on_broken(run(number), ('h2', number), number + 0.1)
        assert culprits(evidence, 3) == ['bad']

    def test_attempts_that_broke_apart_do_not(
        self, evidence: CrashEvidence
    ) -> None:
        for number in range(3):
            report(evidence, number, 'bad')
            later = number + SIMULTANEOUS_S + 0.1
            evidence.ends.on_broken(run(number), ('h2', number), later)
        assert not culprits(evidence, 3)

    def test_later_answer_shows_that_the_signs_were_wrong(
        self, evidence: CrashEvidence
    ) -> None:
        for number in range(3):
            crash(evidence, number, 'bad')
        evidence.ends.on_run_alive(run(1), 2)
        assert not culprits(evidence, 4)

    def test_later_answer_does_not_undo_a_refused_connection(
        self, evidence: CrashEvidence
    ) -> None:
        """Another process responds, of which no record has come yet."""
        for number in range(3):
            report(evidence, number, 'bad')
            evidence.ends.on_run_ended(run(number), number + 0.2, is_down=True)
            evidence.ends.on_run_alive(run(number), number + 0.6)
        assert culprits(evidence, 4) == ['bad']

    def test_repeated_report_counts_once(self, evidence: CrashEvidence) -> None:
        for number in range(3):
            crash(evidence, 1, 'bad')
            report(evidence, 1, 'bad', age_s=number)
        assert len(evidence.attempts) == 1
        assert not culprits(evidence, 4)


class TestProcesses:
    """Processes that start under the record of one that ended."""

    def crash_again(
        self, evidence: CrashEvidence, at: float, *parts: str
    ) -> None:
        """Let the present process of the first run end."""
        evidence.on_report('h1', CrashReport(run(1), parts, int(at), 0), at)

    def test_one_after_refused_connections_counts_by_itself(
        self, evidence: CrashEvidence
    ) -> None:
        for at in (1, 2, 3):
            self.crash_again(evidence, at, 'bad')
            for delay_s in (0.1, 0.2, 0.3):
                evidence.ends.on_run_ended(run(1), at + delay_s, is_down=True)
        assert culprits(evidence, 4) == ['bad']

    def test_attempts_without_refusals_between_count_once(
        self, evidence: CrashEvidence
    ) -> None:
        for at in (1, 2, 3):
            self.crash_again(evidence, at, 'bad')
        evidence.ends.on_run_ended(run(1), 3.1, is_down=True)
        assert not culprits(evidence, 4)

    def test_repeated_report_tells_that_the_endpoint_is_down(
        self, evidence: CrashEvidence
    ) -> None:
        for at in (1, 2, 3):
            self.crash_again(evidence, at, 'bad')
            evidence.on_report(
                'h1', CrashReport(run(1), ('bad',), at, 0.4, True), at + 0.4
            )
        assert culprits(evidence, 4) == ['bad']

    def test_refusal_at_an_end_is_not_from_before_it(
        self, evidence: CrashEvidence
    ) -> None:
        for at in (1, 2, 3):
            self.crash_again(evidence, at, 'bad')
        evidence.on_report('h1', CrashReport(run(1), (), 3, 0.4, True), 3.4)
        assert not culprits(evidence, 4)

    def test_late_reports_of_an_end_count_once(
        self, evidence: CrashEvidence
    ) -> None:
        self.crash_again(evidence, 1, 'bad')
        evidence.ends.on_run_ended(run(1), 1.02, is_down=True)
        evidence.on_report('h2', CrashReport(run(1), ('bad',), 1, 0), 1.1)
        evidence.on_report('h3', CrashReport(run(1), ('bad',), 1, 0), 1.2)
        assert not culprits(evidence, 2)

    def test_quarantine_explains_only_the_process_that_it_ended(
        self, evidence: CrashEvidence
    ) -> None:
        evidence.quarantine.add('known', 0)
        for at, part in ((1, 'known'), (2, 'bad'), (3, 'bad'), (4, 'bad')):
            self.crash_again(evidence, at, part)
            evidence.ends.on_run_ended(run(1), at + 0.2, is_down=True)
        assert culprits(evidence, 5) == ['bad']


class TestOutages:
    def test_refusals_that_are_close_are_one(self) -> None:
        outages: tuple[Outage, ...] = ()
        for at in (5, 5.8, 9, 4.5, 20, 5.1):
            outages = with_refusal(outages, at)
        assert outages == (Outage(4.5, 5.8), Outage(9, 9), Outage(20, 20))


class TestCulprits:
    def test_served_part_is_none(self, evidence: CrashEvidence) -> None:
        for number in range(6):
            crash(evidence, number, 'shared', f'own{number}')
            evidence.on_served(('shared',), number + 0.5)
        assert not culprits(evidence, 7)

    def test_shared_part_before_the_culprit_is_not_taken(
        self, evidence: CrashEvidence
    ) -> None:
        evidence.on_served(('shared', 'sound'), -1)
        for number in range(3):
            crash(evidence, number, 'shared', 'bad')
        assert culprits(evidence, 3) == ['bad']

    def test_runs_that_a_quarantine_explains_do_not_count(
        self, evidence: CrashEvidence
    ) -> None:
        evidence.quarantine.add('bad', 0)
        for number in range(1, 5):
            crash(evidence, number, 'shared', 'bad')
            report(evidence, number + 10, 'bystander')
        assert not culprits(evidence, 16)

    def test_runs_before_a_quarantine_was_lifted_do_not_count(
        self, evidence: CrashEvidence
    ) -> None:
        for number in range(3):
            crash(evidence, number, 'bad')
        evidence.quarantine.add('bad', 3)
        evidence.quarantine.lift('bad', 30)
        assert not culprits(evidence, 31)
        for number in range(31, 34):
            crash(evidence, number, 'bad')
        assert culprits(evidence, 34) == ['bad']

    def test_bystander_of_the_culprit_is_explained_away(
        self, evidence: CrashEvidence
    ) -> None:
        for number in range(4):
            crash(evidence, number, 'a', 'bad')
            if number:
                bystander = CrashReport(run(number), ('b',), 50 + number, 0)
                evidence.on_report('h2', bystander, number)
        assert culprits(evidence, 4) == ['bad']

    def test_two_culprits_are_both_found(self, evidence: CrashEvidence) -> None:
        evidence.on_served(('shared',), -1)
        for number in range(6):
            crash(evidence, number, 'shared', ('bad', 'worse')[number % 2])
        assert sorted(culprits(evidence, 6)) == ['bad', 'worse']

    def test_recently_served_part_is_judged_later(
        self, evidence: CrashEvidence
    ) -> None:
        evidence.on_served(('bad',), -1)
        for number in range(4):
            crash(evidence, number, 'bad')
        assert not culprits(evidence, 4)
        for step in range(5):
            evidence.on_served(('sound',), 4 + step)
        assert culprits(evidence, 9) == ['bad']

    def test_it_is_judged_once_only_it_is_not_served(
        self, evidence: CrashEvidence
    ) -> None:
        evidence.on_served(('shared', 'bad'), -1)
        for number in range(7):
            report(evidence, number, 'shared', 'bad', age_s=number)
            evidence.ends.on_run_ended(run(number), 0.2)
        assert not culprits(evidence, 7)
        evidence.on_served(('shared',), 7)
        assert culprits(evidence, 8) == ['bad']

    def test_part_that_was_served_long_ago_is_judged_at_once(
        self, evidence: CrashEvidence
    ) -> None:
        evidence.on_served(('bad',), -LATER_S)
        for number in range(3):
            crash(evidence, number, 'bad')
        assert culprits(evidence, 3) == ['bad']

    def test_new_home_host_waits_for_served_requests(
        self, evidence: CrashEvidence
    ) -> None:
        """It has the reports, but saw nothing served of the shared part."""
        evidence.history.known_since = 4
        for number in range(4):
            crash(evidence, number, 'shared', 'bad')
        assert not culprits(evidence, 5)
        for step in range(5):
            evidence.on_served(('shared',), 5 + step)
        assert culprits(evidence, 10) == ['bad']

    def test_rare_part_is_a_bystander_of_many_crashes(
        self, evidence: CrashEvidence
    ) -> None:
        for number in range(45):
            part = 'rare' if number % 20 == 0 else f'own{number}'
            crash(evidence, number, part)
        assert not culprits(evidence, 45)

    def test_old_crashes_are_forgotten(self, evidence: CrashEvidence) -> None:
        for number in range(3):
            crash(evidence, number, 'bad')
        evidence.forget_old(RETENTION_S + 3)
        assert not culprits(evidence, RETENTION_S + 3)
        assert not evidence.attempts


class TestBounds:
    def test_reports_and_runs_are_bounded(
        self, evidence: CrashEvidence
    ) -> None:
        for number in range(MAX_REPORTS * 2):
            crash(evidence, number, f'p{number}')
        assert len(evidence.attempts) == MAX_REPORTS
        assert len(evidence.ends.runs) == MAX_RUNS
