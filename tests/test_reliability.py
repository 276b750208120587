"""Endpoints that fail a part of their requests, or all of them."""

import pytest
from test_slotscheduler import ask, ended, scheduler

from trefoilspool.reliability import (
    FAILURES_IN_A_ROW,
    HALF_LIFE_S,
    PAUSE_S,
    Reliability,
    ReliabilityState,
)
from trefoilspool.slotmessages import AttemptEnding, Granted
from trefoilspool.slotscheduler import SlotScheduler

__all__ = ['scheduler']

STEP_S = 0.05
FIRST = 1000
USUAL_COST_S = 0.12


def fail_in_part(scheduler: SlotScheduler, name: str, rounds: int) -> float:
    """End requests at an endpoint, two of five of which fail."""
    now = 0.0
    for number in range(rounds):
        failed = number % 5 in {1, 3}
        ending = AttemptEnding.failed if failed else AttemptEnding.completed
        scheduler.on_ended(ended(FIRST + number, name, ending), now)
        now += STEP_S
    return now


def granted(
    scheduler: SlotScheduler, count: int, now: float, **changes: object
) -> list[str]:
    """Return the endpoints that get new requests, which all end well."""
    names = []
    for number in range(count):
        scheduler.on_ask(
            ask(number, asked=now, deadline=now + 9, **changes), now
        )
        for one in scheduler.take_decisions():
            if isinstance(one, Granted):
                names.append(one.endpoint)
                scheduler.on_ended(ended(one.key.number, one.endpoint), now)
    return names


class TestPartFailures:
    """Seen in incident inc-6a05 of laagrivarav-prod."""

    def test_endpoint_that_fails_two_of_five_gets_less(
        self, scheduler: SlotScheduler
    ) -> None:
        now = fail_in_part(scheduler, 'a', 30)
        found = granted(scheduler, 20, now, repeatable=False)
        assert found.count('a') == 0

    def test_it_is_used_where_nothing_else_is_free(
        self, scheduler: SlotScheduler
    ) -> None:
        """Passing it over left a third of the callers without a place."""
        now = fail_in_part(scheduler, 'a', 30)
        for number in range(4):
            scheduler.on_ask(ask(number, asked=now, repeatable=False), now)
        found = [
            one.endpoint
            for one in scheduler.take_decisions()
            if isinstance(one, Granted)
        ]
        assert sorted(found) == ['a', 'a', 'b', 'b']

    def test_long_backlog_elsewhere_is_worse_for_what_may_be_repeated(
        self, scheduler: SlotScheduler
    ) -> None:
        now = fail_in_part(scheduler, 'a', 30)
        backlog = scheduler.available_endpoints['a'].reliability.cost_s(
            now, repeatable=True
        )
        scheduler.available_endpoints['b'].prefill_free_at = (
            now + backlog + STEP_S
        )
        assert granted(scheduler, 1, now) == ['a']
        assert granted(scheduler, 1, now, repeatable=False) == ['b']

    def test_failure_that_takes_long_costs_more(self) -> None:
        quick, slow = Reliability(), Reliability()
        quick.observe(failed=True, sent=0, now=0)
        slow.observe(failed=True, sent=-1, now=0)
        cost = quick.cost_s(0, repeatable=True)
        assert slow.cost_s(0, repeatable=True) > cost

    def test_it_is_forgiven_in_time(self, scheduler: SlotScheduler) -> None:
        now = fail_in_part(scheduler, 'a', 30) + 10 * HALF_LIFE_S
        scheduler.available_endpoints['b'].prefill_free_at = now + STEP_S
        assert granted(scheduler, 1, now, repeatable=False) == ['a']

    def test_usual_errors_cost_little(self) -> None:
        """One look-up in seven fails on a calm day."""
        reliability = Reliability()
        for number in range(500):
            reliability.observe(failed=number % 7 == 0, sent=0, now=0)
            assert reliability.cost_s(0, repeatable=True) < USUAL_COST_S
            assert reliability.state is ReliabilityState.trusted


class TestDeadEndpoint:
    @pytest.fixture
    def ejected(self) -> Reliability:
        made = Reliability()
        for _ in range(FAILURES_IN_A_ROW):
            made.observe(failed=True, sent=1, now=1)
        assert made.state is ReliabilityState.ejected
        return made

    def test_one_request_at_a_time_is_tried(self, ejected: Reliability) -> None:
        now = 1 + PAUSE_S
        assert not ejected.takes_work(now - STEP_S)
        assert ejected.takes_work(now)
        ejected.on_granted(now)
        assert not ejected.takes_work(now + STEP_S)

    def test_good_answer_ends_it(self, ejected: Reliability) -> None:
        ejected.observe(failed=False, sent=1, now=1 + STEP_S)
        assert ejected.state is ReliabilityState.trusted

    def test_failure_of_a_trial_begins_another_pause(
        self, ejected: Reliability
    ) -> None:
        now = 1 + PAUSE_S
        assert ejected.takes_work(now)
        ejected.observe(failed=True, sent=now, now=now)
        assert not ejected.takes_work(now + STEP_S)
        assert ejected.takes_work(now + PAUSE_S)

    def test_once_only_work_probes_where_nothing_else_does(
        self, ejected: Reliability
    ) -> None:
        now = 1 + PAUSE_S
        assert ejected.takes_work(now)
        assert not ejected.takes_work(now, repeatable=False)
        later = now + PAUSE_S
        assert ejected.takes_work(later, repeatable=False)
