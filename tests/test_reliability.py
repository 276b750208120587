"""Endpoints that fail a part of their requests, or all of them."""

import pytest
from test_slotscheduler import ask, scheduler, slot_release

from trefoilspool.reliability import (
    HALF_LIFE_S,
    MAX_CONSECUTIVE_FAILURES,
    PROBE_INTERVAL_S,
    Reliability,
    ReliabilityState,
)
from trefoilspool.slotmessages import AttemptEnding, Granted
from trefoilspool.slotscheduler import SlotScheduler

__all__ = ['scheduler']

STEP_S = 0.05
FIRST_NUMBER = 1000
MAX_USUAL_COST_S = 0.12


def record_partial_failures(
    scheduler: SlotScheduler, name: str, count: int
) -> float:
    """Release slots of an endpoint; two of five requests have failed.

    Returns the time after the last release, in seconds.
    """
    now = 0.0
    for number in range(count):
        failed = number % 5 in {1, 3}
        ending = AttemptEnding.failed if failed else AttemptEnding.completed
        scheduler.on_release(
            slot_release(FIRST_NUMBER + number, name, ending), now
        )
        now += STEP_S
    return now


def grant_requests(
    scheduler: SlotScheduler, count: int, now: float, **changes: object
) -> list[str]:
    """Return the endpoints that get new requests, which all complete."""
    names = []
    for number in range(count):
        scheduler.on_ask(
            ask(number, arrived_at=now, deadline=now + 9, **changes), now
        )
        for decision in scheduler.take_decisions():
            if isinstance(decision, Granted):
                names.append(decision.endpoint)
                scheduler.on_release(
                    slot_release(decision.key.number, decision.endpoint), now
                )
    return names


class TestPartialFailures:
    """Partial failures, as in incident inc-6a05 of laagrivarav-prod."""

    def test_at_most_once_requests_avoid_a_partly_failing_endpoint(
        self, scheduler: SlotScheduler
    ) -> None:
        now = record_partial_failures(scheduler, 'a', 30)
        endpoints = grant_requests(scheduler, 20, now, repeatable=False)
        assert endpoints.count('a') == 0

    def test_partly_failing_endpoint_is_used_if_no_other_is_free(
        self, scheduler: SlotScheduler
    ) -> None:
        """Excluding the endpoint left a third of the callers without a slot."""
        now = record_partial_failures(scheduler, 'a', 30)
        for number in range(4):
            scheduler.on_ask(ask(number, arrived_at=now, repeatable=False), now)
        endpoints = [
            decision.endpoint
            for decision in scheduler.take_decisions()
            if isinstance(decision, Granted)
        ]
        assert sorted(endpoints) == ['a', 'a', 'b', 'b']

    def test_repeatable_request_prefers_failures_to_a_long_backlog(
        self, scheduler: SlotScheduler
    ) -> None:
        now = record_partial_failures(scheduler, 'a', 30)
        failure_cost_s = scheduler.available_endpoints['a'].reliability.cost_s(
            now, repeatable=True
        )
        scheduler.available_endpoints['b'].prefill_free_at = (
            now + failure_cost_s + STEP_S
        )
        assert grant_requests(scheduler, 1, now) == ['a']
        assert grant_requests(scheduler, 1, now, repeatable=False) == ['b']

    def test_slow_failure_costs_more_than_a_quick_one(self) -> None:
        quick, slow = Reliability(), Reliability()
        quick.observe(failed=True, sent_at=0, now=0)
        slow.observe(failed=True, sent_at=-1, now=0)
        cost = quick.cost_s(0, repeatable=True)
        assert slow.cost_s(0, repeatable=True) > cost

    def test_failure_share_decays(self, scheduler: SlotScheduler) -> None:
        now = record_partial_failures(scheduler, 'a', 30) + 10 * HALF_LIFE_S
        scheduler.available_endpoints['b'].prefill_free_at = now + STEP_S
        assert grant_requests(scheduler, 1, now, repeatable=False) == ['a']

    def test_usual_errors_cost_little(self) -> None:
        """One look-up in seven fails in normal operation."""
        reliability = Reliability()
        for number in range(500):
            reliability.observe(failed=number % 7 == 0, sent_at=0, now=0)
            assert reliability.cost_s(0, repeatable=True) < MAX_USUAL_COST_S
            assert reliability.state is ReliabilityState.trusted


class TestEjection:
    @pytest.fixture
    def ejected(self) -> Reliability:
        made = Reliability()
        for _ in range(MAX_CONSECUTIVE_FAILURES):
            made.observe(failed=True, sent_at=1, now=1)
        assert made.state is ReliabilityState.ejected
        return made

    def test_probes_run_one_at_a_time(self, ejected: Reliability) -> None:
        now = 1 + PROBE_INTERVAL_S
        assert not ejected.accepts_requests(now - STEP_S)
        assert ejected.accepts_requests(now)
        ejected.on_grant(now)
        assert not ejected.accepts_requests(now + STEP_S)

    def test_success_ends_the_ejection(self, ejected: Reliability) -> None:
        ejected.observe(failed=False, sent_at=1, now=1 + STEP_S)
        assert ejected.state is ReliabilityState.trusted

    def test_failed_probe_starts_another_interval(
        self, ejected: Reliability
    ) -> None:
        now = 1 + PROBE_INTERVAL_S
        assert ejected.accepts_requests(now)
        ejected.observe(failed=True, sent_at=now, now=now)
        assert not ejected.accepts_requests(now + STEP_S)
        assert ejected.accepts_requests(now + PROBE_INTERVAL_S)

    def test_at_most_once_request_probes_only_after_a_further_interval(
        self, ejected: Reliability
    ) -> None:
        now = 1 + PROBE_INTERVAL_S
        assert ejected.accepts_requests(now)
        assert not ejected.accepts_requests(now, repeatable=False)
        later = now + PROBE_INTERVAL_S
        assert ejected.accepts_requests(later, repeatable=False)
