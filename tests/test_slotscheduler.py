"""The slot scheduler: grants, queueing, limits and log events."""

import pytest

from trefoilspool.queueing.minimumshares import MinimumShares
from trefoilspool.queueing.waitprediction import QUEUE_TIMEOUT_S
from trefoilspool.routing import Workspace
from trefoilspool.slotmessages import (
    AttemptEnding,
    EndpointSpec,
    Granted,
    HeldSlot,
    Queued,
    RefusalReason,
    Refused,
    SlotDecision,
    SlotKey,
    SlotRelease,
    SlotRequest,
)
from trefoilspool.slotscheduler import HOLD_TIMEOUT_S, SlotScheduler

SERVICE = 'engines'


def endpoint_spec(name: str, slots: int = 2, **changes: object) -> EndpointSpec:
    made = EndpointSpec(name, SERVICE, 'z1', slots, 1, 7)
    return made._replace(**changes)


def ask(number: int, **changes: object) -> SlotRequest:
    made = SlotRequest(
        key=SlotKey('h1', number),
        service=SERVICE,
        workspace='w',
        rank=1,
        prompt_tokens=1000,
        output_tokens=100,
        first_byte_due=0.4,
        deadline=10,
        arrived_at=0,
        avoid=(),
        attempt=1,
        prompt_prefixes=(),
        streams=True,
        charge=0,
        data_centre='z1',
        repeatable=True,
    )
    return made._replace(**changes)


def slot_release(
    number: int,
    endpoint: str,
    ending: AttemptEnding = AttemptEnding.completed,
) -> SlotRelease:
    return SlotRelease(SlotKey('h1', number), ending, endpoint, 0.1, 0, 0, 1000)


@pytest.fixture
def scheduler() -> SlotScheduler:
    made = SlotScheduler()
    made.on_available_endpoints([endpoint_spec('a'), endpoint_spec('b')], 0)
    return made


def decision_types(scheduler: SlotScheduler) -> list[type]:
    return [type(decision) for decision in scheduler.take_decisions()]


class TestSlots:
    def test_no_endpoint_gets_more_than_its_slots(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(5):
            scheduler.on_ask(ask(number), 0)
        assert decision_types(scheduler) == [Granted] * 4 + [Queued]
        held = [
            len(endpoint.reservations)
            for endpoint in scheduler.available_endpoints.values()
        ]
        assert held == [2, 2]

    def test_released_slot_is_granted_to_a_waiting_request(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(5):
            scheduler.on_ask(ask(number), 0)
        granted = scheduler.take_decisions()[0]
        assert isinstance(granted, Granted)
        scheduler.on_release(slot_release(0, granted.endpoint), 0.1)
        assert scheduler.take_decisions() == [
            Granted(SlotKey('h1', 4), granted.endpoint, started_ms=1),
        ]

    def test_higher_priority_goes_first(self, scheduler: SlotScheduler) -> None:
        for number in range(4):
            scheduler.on_ask(ask(number), 0)
        scheduler.on_ask(ask(8, rank=2), 0)
        scheduler.on_ask(ask(9, rank=0), 0.1)
        granted = scheduler.take_decisions()[0]
        assert isinstance(granted, Granted)
        scheduler.on_release(slot_release(0, granted.endpoint), 0.2)
        assert scheduler.take_decisions()[0].key.number == 9

    def test_repeated_ask_gets_the_same_slot(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_ask(ask(1), 0)
        scheduler.on_ask(ask(1), 0.1)
        first, second = scheduler.take_decisions()
        assert first == second
        assert len(scheduler.reservations) == 1

    def test_endpoint_with_a_prefill_backlog_is_not_chosen(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_ask(ask(1, prompt_tokens=50_000), 0)
        scheduler.on_ask(ask(2), 0)
        first, second = scheduler.take_decisions()
        assert isinstance(first, Granted)
        assert isinstance(second, Granted)
        assert first.endpoint != second.endpoint

    def test_avoided_endpoints_are_not_chosen(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_ask(ask(1, avoid=('a',)), 0)
        scheduler.on_ask(ask(2, avoid=('a', 'b')), 0)
        first, second = scheduler.take_decisions()
        assert first == Granted(SlotKey('h1', 1), 'b', started_ms=1)
        assert isinstance(second, Refused)
        assert second.reason is RefusalReason.no_endpoint

    def test_request_waits_while_no_endpoint_is_known(self) -> None:
        scheduler = SlotScheduler()
        scheduler.on_ask(ask(1), 0)
        assert decision_types(scheduler) == [Queued]
        scheduler.on_available_endpoints([endpoint_spec('a')], 0.1)
        assert scheduler.take_decisions() == [
            Granted(SlotKey('h1', 1), 'a', started_ms=1)
        ]

    def test_removed_endpoint_gets_no_requests(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_available_endpoints([endpoint_spec('b')], 0)
        for number in range(3):
            scheduler.on_ask(ask(number), 0)
        decisions = scheduler.take_decisions()
        granted = [grant for grant in decisions if isinstance(grant, Granted)]
        assert {grant.endpoint for grant in granted} == {'b'}

    def test_failing_endpoint_is_ejected_and_probed(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(3):
            scheduler.on_release(
                slot_release(number, 'a', AttemptEnding.broken), 0
            )
        for number in range(10, 12):
            scheduler.on_ask(ask(number), 0)
        assert {grant.endpoint for grant in scheduler.take_decisions()} == {'b'}  # type: ignore[union-attr]
        scheduler.on_ask(ask(12, arrived_at=5), 5)
        assert scheduler.take_decisions() == [
            Granted(SlotKey('h1', 12), 'a', started_ms=1)
        ]

    def test_service_that_fails_as_a_whole_is_still_used(
        self, scheduler: SlotScheduler
    ) -> None:
        for name in ('a', 'b'):
            for number in range(3):
                scheduler.on_release(
                    slot_release(number, name, AttemptEnding.failed), 0
                )
        for number in range(10, 14):
            scheduler.on_ask(ask(number), 0)
        assert decision_types(scheduler) == [Granted] * 4


class TestDataCentres:
    def scheduler_with(self, *data_centres: str) -> SlotScheduler:
        scheduler = SlotScheduler()
        endpoints = [
            endpoint_spec(f'e-{data_centre}', data_centre=data_centre)
            for data_centre in data_centres
        ]
        scheduler.on_available_endpoints(endpoints, 0)
        return scheduler

    def test_endpoint_of_the_same_data_centre_goes_first(self) -> None:
        scheduler = self.scheduler_with('z1', 'z2', 'z3')
        for number, data_centre in enumerate(('z3', 'z1', 'z2')):
            scheduler.on_ask(ask(number, data_centre=data_centre), 0)
        endpoints = [grant.endpoint for grant in scheduler.take_decisions()]  # type: ignore[union-attr]
        assert endpoints == ['e-z3', 'e-z1', 'e-z2']

    def test_busy_endpoint_of_the_same_data_centre_is_not_chosen(self) -> None:
        scheduler = self.scheduler_with('z1', 'z2')
        scheduler.on_ask(ask(1, prompt_tokens=10_000), 0)
        scheduler.on_ask(ask(2), 0)
        endpoints = [grant.endpoint for grant in scheduler.take_decisions()]  # type: ignore[union-attr]
        assert endpoints == ['e-z1', 'e-z2']


class TestBurst:
    """More requests than slots: some can be on time, not all."""

    def test_request_that_can_be_on_time_goes_before_a_late_one(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(4):
            scheduler.on_ask(ask(number), 0)
        scheduler.on_ask(ask(5, first_byte_due=0.2), 0)
        scheduler.on_ask(ask(6, first_byte_due=0.9, arrived_at=0.5), 0.5)
        scheduler.take_decisions()
        scheduler.on_release(slot_release(0, 'a'), 0.6)
        assert scheduler.take_decisions()[0].key.number == 6

    def test_late_request_is_served_when_no_other_waits(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(4):
            scheduler.on_ask(ask(number), 0)
        scheduler.on_ask(ask(5, first_byte_due=0.2), 0)
        scheduler.take_decisions()
        scheduler.on_release(slot_release(0, 'a'), 0.6)
        assert scheduler.take_decisions()[0].key.number == 5

    def test_long_response_waits_for_an_endpoint_that_finishes_in_time(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.available_endpoints['a'].slowness = 4
        for number in range(2):
            scheduler.on_ask(ask(number, avoid=('a',)), 0)
        scheduler.on_ask(ask(5, output_tokens=1000), 0)
        scheduler.on_ask(ask(6, output_tokens=10), 0)
        decisions = {
            decision.key.number: decision
            for decision in scheduler.take_decisions()
        }
        assert isinstance(decisions[5], Queued)
        assert decisions[6] == Granted(SlotKey('h1', 6), 'a', started_ms=1)

    def test_near_deadline_shortens_the_queue_timeout(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(4):
            scheduler.on_ask(ask(number), 0)
        scheduler.on_ask(ask(5, deadline=1), 0)
        scheduler.take_decisions()
        scheduler.tick(0.3)
        assert not scheduler.take_decisions()
        scheduler.tick(0.4)
        assert isinstance(scheduler.take_decisions()[0], Refused)


class TestOverload:
    """Overload that lasts longer than callers wait."""

    def overload(self, scheduler: SlotScheduler) -> None:
        for number in range(4):
            scheduler.on_ask(ask(number), 0)
        for number in range(10, 30):
            scheduler.on_ask(ask(number), 0)
        assert len(scheduler.waiting.queues[SERVICE]) < 20
        scheduler.take_decisions()

    def test_request_that_would_time_out_is_refused_at_once(
        self, scheduler: SlotScheduler
    ) -> None:
        self.overload(scheduler)
        scheduler.on_ask(ask(50), 0)
        refused = scheduler.take_decisions()[0]
        assert isinstance(refused, Refused)
        assert refused.reason is RefusalReason.crowded

    def test_retry_after_is_the_queue_drain_time_within_the_deadline(
        self, scheduler: SlotScheduler
    ) -> None:
        self.overload(scheduler)
        scheduler.on_ask(ask(50, deadline=30), 0)
        scheduler.on_ask(ask(51, deadline=1.5), 0)
        first, second = scheduler.take_decisions()
        assert isinstance(first, Refused)
        assert isinstance(second, Refused)
        assert 0.9 < first.retry_after <= 10
        assert second.retry_after <= 0.5

    def test_higher_priority_still_waits(
        self, scheduler: SlotScheduler
    ) -> None:
        self.overload(scheduler)
        scheduler.on_ask(ask(50, rank=0), 0)
        assert decision_types(scheduler) == [Queued]


class TestMinimumShares:
    """Sustained overload by requests of high priority."""

    step_s = 0.05
    rounds = 200

    def run_overload(self, scheduler: SlotScheduler) -> dict[int, float]:
        """Request twice the free slots; return the granted share by rank."""
        requested = {0: 0, 5: 0}
        granted = {0: 0, 5: 0}
        ranks = {}
        running: list[Granted] = []
        for step in range(self.rounds):
            now = step * self.step_s
            for grant in running:
                scheduler.on_release(
                    slot_release(grant.key.number, grant.endpoint), now
                )
            for offset in range(8):
                rank = 5 if offset < 2 else 0
                number = step * 10 + offset
                ranks[number] = rank
                requested[rank] += 1
                scheduler.on_ask(
                    ask(
                        number,
                        rank=rank,
                        arrived_at=now,
                        first_byte_due=now,
                        deadline=now + 2,
                    ),
                    now,
                )
            scheduler.tick(now)
            running = [
                grant
                for grant in scheduler.take_decisions()
                if isinstance(grant, Granted)
            ]
            for grant in running:
                granted[ranks[grant.key.number]] += 1
            scheduler.on_held_slots(
                'h1',
                [
                    HeldSlot(grant.key, SERVICE, grant.endpoint, 1, 1, 0)
                    for grant in running
                ],
                now,
            )
        return {rank: granted[rank] / requested[rank] for rank in requested}

    def test_lowest_rank_gets_a_quarter_of_the_overall_share(
        self, scheduler: SlotScheduler
    ) -> None:
        shares = self.run_overload(scheduler)
        overall = (shares[0] * 6 + shares[5] * 2) / 8
        assert shares[5] >= overall / 4

    def test_higher_priority_still_gets_a_larger_share(
        self, scheduler: SlotScheduler
    ) -> None:
        shares = self.run_overload(scheduler)
        assert shares[0] > shares[5]

    def test_rank_with_few_requests_is_not_underserved(self) -> None:
        minimum_shares = MinimumShares()
        for _ in range(100):
            minimum_shares.on_ask(0, 0)
            minimum_shares.on_grant(0, 0)
        minimum_shares.on_ask(5, 0)
        assert not minimum_shares.underserved(0)


class TestWaiting:
    def test_queue_timeout_sets_retry_after(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(5):
            scheduler.on_ask(ask(number), 0)
        scheduler.take_decisions()
        scheduler.on_held_slots(
            'h1',
            [
                HeldSlot(key, SERVICE, reservation.endpoint, 1, 1, 0)
                for key, reservation in scheduler.reservations.items()
            ],
            QUEUE_TIMEOUT_S,
        )
        scheduler.tick(QUEUE_TIMEOUT_S)
        refused = scheduler.take_decisions()[0]
        assert isinstance(refused, Refused)
        assert refused.retry_after > 0

    def test_withdrawn_request_gets_no_slot(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(5):
            scheduler.on_ask(ask(number), 0)
        scheduler.on_release(slot_release(4, '', AttemptEnding.unused), 0)
        scheduler.take_decisions()
        scheduler.on_release(slot_release(0, 'a'), 0)
        assert not scheduler.take_decisions()


class TestHeldSlots:
    def test_slots_granted_by_another_home_host_are_counted(
        self, scheduler: SlotScheduler
    ) -> None:
        held = [
            HeldSlot(SlotKey('h2', number), SERVICE, 'a', 10, 10, 1)
            for number in range(2)
        ]
        scheduler.on_held_slots('h2', held, 0)
        scheduler.on_ask(ask(1), 0)
        scheduler.on_ask(ask(2), 0)
        assert {grant.endpoint for grant in scheduler.take_decisions()} == {'b'}  # type: ignore[union-attr]

    def test_slot_is_reclaimed_after_a_lost_release(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_ask(ask(1), 0)
        scheduler.on_held_slots('h1', [], HOLD_TIMEOUT_S + 0.1)
        assert not scheduler.reservations

    def test_grant_in_transit_is_kept(self, scheduler: SlotScheduler) -> None:
        scheduler.on_ask(ask(1), 0)
        scheduler.on_held_slots('h1', [], 0.1)
        assert len(scheduler.reservations) == 1

    def test_slots_of_a_lost_entry_host_are_freed(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_ask(ask(1), 0)
        scheduler.on_held_slots('h1', [], 0)
        scheduler.tick(HOLD_TIMEOUT_S + 0.1)
        assert not scheduler.reservations


class TestStandingStill:
    """What a home host may conclude after it stood still."""

    def test_slots_are_kept_until_entry_hosts_can_have_reported(
        self, scheduler: SlotScheduler
    ) -> None:
        granted = HeldSlot(SlotKey('h2', 1), SERVICE, 'a', 100, 10, 0)
        scheduler.on_held_slots('h2', [granted], 0)
        woke_at = 2 * HOLD_TIMEOUT_S
        scheduler.on_stood_still(0, woke_at)
        scheduler.tick(woke_at)
        assert len(scheduler.reservations) == 1
        scheduler.tick(woke_at + HOLD_TIMEOUT_S + 0.1)
        assert not len(scheduler.reservations)

    def test_host_whose_reports_are_handled_late_is_not_lost(
        self, scheduler: SlotScheduler
    ) -> None:
        """A home host with too much to do hears all, but late."""
        held = HeldSlot(SlotKey('h2', 1), SERVICE, 'a', 100, 10, 0)
        scheduler.on_held_slots('h2', [held], 10, 10 - 2 * HOLD_TIMEOUT_S)
        scheduler.tick(10.1)
        assert len(scheduler.reservations) == 1

    def test_limit_is_not_earned_meanwhile(
        self, scheduler: SlotScheduler
    ) -> None:
        """Another home host has granted it."""
        limits = {'w': Workspace('w', frozenset(), None, 100, 1000, True, 0)}
        scheduler.rate_limits.on_workspaces(limits, 0)
        scheduler.on_ask(ask(1, charge=500), 0)
        scheduler.on_stood_still(0, 9)
        assert dict(scheduler.rate_limits.levels(9)) == {'w': 0}
        assert dict(scheduler.rate_limits.levels(10)) == {'w': 100}


class TestLimits:
    limited = Workspace('w', frozenset(), None, 1000, 2000, True, 200)

    def test_home_hosts_of_a_starting_fleet_share_a_limit(self) -> None:
        """All hosts start at once, and each is home host for itself."""
        homes = [SlotScheduler() for _ in range(8)]
        for home in homes:
            home.on_available_endpoints([endpoint_spec('a', 10**6)], 0)
            home.rate_limits.on_workspaces({'w': self.limited}, 0)
            home.rate_limits.on_share(1 / len(homes), 0)
        granted = 0
        for step in range(200):
            for home in homes:
                home.on_ask(ask(step, charge=100), step / 100)
                granted += decision_types(home).count(Granted)
        limit = self.limited.rate * 2 + self.limited.burst
        assert limit / 2 <= granted * 100 <= limit

    def test_whole_limit_is_granted_once_all_are_heard(
        self, scheduler: SlotScheduler
    ) -> None:
        limits = scheduler.rate_limits
        limits.on_workspaces({'w': self.limited}, 0)
        limits.on_share(0.1, 0)
        assert limits.bucket('w', 0).rate == self.limited.rate / 10  # type: ignore[union-attr]
        limits.on_share(1, 1)
        assert limits.bucket('w', 1).rate == self.limited.rate  # type: ignore[union-attr]

    def test_limit_holds_over_all_hosts(self, scheduler: SlotScheduler) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        for number in range(3):
            key = SlotKey(f'h{number}', number)
            scheduler.on_ask(ask(number, key=key, charge=800), 0)
        decisions = scheduler.take_decisions()
        assert [type(decision) for decision in decisions] == [
            Granted,
            Granted,
            Refused,
        ]
        refused = decisions[2]
        assert isinstance(refused, Refused)
        assert refused.reason is RefusalReason.over_limit
        assert refused.retry_after == pytest.approx(0.6)

    def test_large_request_is_admitted_like_a_small_one(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=5000), 0)
        scheduler.on_ask(ask(2, charge=100), 3)
        scheduler.on_ask(ask(3, charge=100, arrived_at=5), 5)
        assert decision_types(scheduler) == [Granted, Refused, Granted]

    def test_small_request_is_admitted_at_a_small_deficit(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=2500), 0)
        scheduler.on_ask(ask(2, charge=20), 0)
        scheduler.on_ask(ask(3, charge=21), 0)
        assert decision_types(scheduler) == [Granted, Granted, Refused]

    def test_small_request_is_refused_at_a_large_deficit(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=3000), 0)
        scheduler.on_ask(ask(2, charge=20), 0)
        assert decision_types(scheduler) == [Granted, Refused]

    def test_retry_is_charged_again(self, scheduler: SlotScheduler) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=900), 0)
        scheduler.on_release(slot_release(1, 'a', AttemptEnding.broken), 0)
        scheduler.on_ask(ask(2, charge=900, attempt=2), 0)
        scheduler.on_ask(ask(3, charge=100), 0)
        assert decision_types(scheduler) == [Granted, Granted, Refused]

    def test_refused_attempt_is_refunded(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=1000), 0)
        scheduler.on_release(slot_release(1, 'a', AttemptEnding.refused), 0)
        scheduler.on_ask(ask(2, charge=10), 0)
        assert decision_types(scheduler) == [Granted, Granted]

    def test_attempt_placed_elsewhere_is_refunded(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=1000), 0)
        # The grant was lost, so the entry host chose an endpoint itself.
        held = HeldSlot(SlotKey('h1', 1), SERVICE, 'b', 10, 10, 0)
        scheduler.on_held_slots('h1', [held], 0)
        scheduler.on_release(slot_release(1, 'b', AttemptEnding.refused), 0)
        scheduler.on_ask(ask(2, charge=100), 0)
        assert decision_types(scheduler) == [Granted, Granted]

    def test_new_home_host_adopts_the_level_of_the_old_one(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.rate_limits.on_level('w', -500, 0)
        scheduler.on_ask(ask(1, charge=100), 0)
        assert decision_types(scheduler) == [Refused]

    def test_withdrawn_request_is_refunded(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        for number in range(4):
            scheduler.on_ask(ask(number), 0)
        scheduler.on_ask(ask(5, charge=2000), 0)
        scheduler.on_release(slot_release(5, '', AttemptEnding.unused), 0)
        scheduler.take_decisions()
        scheduler.on_release(slot_release(0, 'a'), 0)
        scheduler.on_release(slot_release(1, 'b'), 0)
        scheduler.on_ask(ask(6, charge=2000), 0)
        assert decision_types(scheduler) == [Granted]

    def test_lowered_limit_applies_at_once(
        self, scheduler: SlotScheduler
    ) -> None:
        limits = scheduler.rate_limits
        limits.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=100), 0)
        lower = self.limited._replace(rate=10, burst=20)
        limits.on_workspaces({'w': lower}, 0)
        scheduler.on_ask(ask(2, charge=30), 0)
        scheduler.on_ask(ask(3, charge=20), 0)
        assert decision_types(scheduler) == [Granted, Granted, Refused]

    def test_retries_stay_within_the_budget(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_available_endpoints([endpoint_spec('a', 1000)], 0)
        for number in range(200):
            scheduler.on_ask(ask(number, attempt=2), 0)
        types = decision_types(scheduler)
        assert types.count(Granted) == 60
        scheduler.on_ask(ask(900, attempt=2, arrived_at=11), 11)
        assert decision_types(scheduler) == [Granted]


class TestEvents:
    """Log events of the scheduler."""

    def test_refusal_event_states_its_causes(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(60):
            scheduler.on_ask(ask(number), 0)
        event = scheduler.take_events()[0]
        assert event.event == 'place_refused'
        assert event.fields['reason'] == 'crowded'
        assert event.fields['ahead'] == len(scheduler.waiting.queues[SERVICE])
        assert not scheduler.take_events()

    def test_ejection_is_logged_once(self, scheduler: SlotScheduler) -> None:
        for number in range(5):
            scheduler.on_release(
                slot_release(number, 'a', AttemptEnding.broken), 0
            )
        scheduler.on_release(slot_release(9, 'a'), 0)
        changes = [
            (event.fields['before'], event.fields['after'])
            for event in scheduler.take_events()
        ]
        assert changes == [('trusted', 'ejected'), ('ejected', 'trusted')]


# Of the rule; later ones have to be few.
MAX_CRASHES = 5


class TestCrashingPart:
    """One part of the prompts ends each endpoint that answers on it."""

    names = ('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h')

    def prompt(self, second: str, number: int) -> tuple[str, ...]:
        return ('kind', f'kind/{second}', f'kind/{second}/{number}')

    def outcome(
        self, scheduler: SlotScheduler, number: int, second: str
    ) -> SlotDecision:
        """Ask at the time that the number gives, in tenths of seconds."""
        now = number / 10
        request = ask(
            number,
            arrived_at=now,
            deadline=now + 9,
            prompt_prefixes=self.prompt(second, number),
        )
        scheduler.on_ask(request, now)
        return scheduler.take_decisions()[-1]

    def crash_endpoints(self, scheduler: SlotScheduler) -> None:
        """Let requests with the part end endpoints, beside sound ones.

        One of either comes every two seconds; those that have waited end
        endpoints as well.
        """
        left = [endpoint_spec(name) for name in self.names]
        scheduler.on_available_endpoints(left, 0)
        for number in range(0, 130, 10):
            is_sound = not number % 20
            scheduler.tick(number / 10)
            granted = [
                decision
                for decision in scheduler.take_decisions()
                if isinstance(decision, Granted)
            ]
            asked = self.outcome(
                scheduler, number, f'sound{number}' if is_sound else 'bad'
            )
            if isinstance(asked, Granted):
                granted.append(asked)
            assert isinstance(asked, Granted) or not is_sound
            for key, endpoint, *_ in granted:
                is_bad = key.number % 20
                ending = AttemptEnding.completed
                if is_bad:
                    ending = AttemptEnding.broken
                    left = [spec for spec in left if spec.name != endpoint]
                scheduler.on_release(
                    slot_release(key.number, endpoint, ending),
                    number / 10 + 0.1,
                )
            scheduler.on_available_endpoints(left, number / 10 + 0.4)
        assert len(left) >= len(self.names) - MAX_CRASHES

    def test_part_under_which_endpoints_ended_gets_no_more(self) -> None:
        scheduler = SlotScheduler()
        self.crash_endpoints(scheduler)
        refused = self.outcome(scheduler, 130, 'bad')
        assert isinstance(refused, Refused)
        assert refused.reason is RefusalReason.quarantined

    def test_sound_requests_of_the_same_first_part_go_on(self) -> None:
        scheduler = SlotScheduler()
        self.crash_endpoints(scheduler)
        assert isinstance(self.outcome(scheduler, 130, 'sound'), Granted)
