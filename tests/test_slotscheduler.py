"""The pure core that gives out places."""

import pytest

from trefoilspool.minimumshares import MinimumShares
from trefoilspool.routing import Workspace
from trefoilspool.slotmessages import (
    AttemptEnding,
    EndpointSpec,
    Granted,
    HeldSlot,
    Queued,
    RefusalReason,
    Refused,
    SlotKey,
    SlotRelease,
    SlotRequest,
)
from trefoilspool.slotscheduler import (
    HOLD_TIMEOUT_S,
    PATIENCE_S,
    SlotScheduler,
)

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
        aim=0.4,
        deadline=10,
        asked=0,
        avoid=(),
        attempt=1,
        parts=(),
        streams=True,
        charge=0,
        data_centre='z1',
        repeatable=True,
    )
    return made._replace(**changes)


def ended(
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


def kinds(scheduler: SlotScheduler) -> list[type]:
    return [type(one) for one in scheduler.take_decisions()]


class TestPlaces:
    def test_no_endpoint_gets_more_than_its_places(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(5):
            scheduler.on_ask(ask(number), 0)
        assert kinds(scheduler) == [Granted] * 4 + [Queued]
        held = [
            len(one.reservations)
            for one in scheduler.available_endpoints.values()
        ]
        assert held == [2, 2]

    def test_freed_place_goes_to_who_waits(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(5):
            scheduler.on_ask(ask(number), 0)
        granted = scheduler.take_decisions()[0]
        assert isinstance(granted, Granted)
        scheduler.on_ended(ended(0, granted.endpoint), 0.1)
        assert scheduler.take_decisions() == [
            Granted(SlotKey('h1', 4), granted.endpoint),
        ]

    def test_more_important_request_goes_first(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(4):
            scheduler.on_ask(ask(number), 0)
        scheduler.on_ask(ask(8, rank=2), 0)
        scheduler.on_ask(ask(9, rank=0), 0.1)
        granted = scheduler.take_decisions()[0]
        assert isinstance(granted, Granted)
        scheduler.on_ended(ended(0, granted.endpoint), 0.2)
        assert scheduler.take_decisions()[0].key.number == 9

    def test_repeated_ask_gets_the_same_place(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_ask(ask(1), 0)
        scheduler.on_ask(ask(1), 0.1)
        first, second = scheduler.take_decisions()
        assert first == second
        assert len(scheduler.reservations) == 1

    def test_busy_prefill_is_passed_over(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_ask(ask(1, prompt_tokens=50_000), 0)
        scheduler.on_ask(ask(2), 0)
        first, second = scheduler.take_decisions()
        assert isinstance(first, Granted)
        assert isinstance(second, Granted)
        assert first.endpoint != second.endpoint

    def test_endpoints_to_avoid_are_avoided(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_ask(ask(1, avoid=('a',)), 0)
        scheduler.on_ask(ask(2, avoid=('a', 'b')), 0)
        first, second = scheduler.take_decisions()
        assert first == Granted(SlotKey('h1', 1), 'b')
        assert isinstance(second, Refused)
        assert second.reason is RefusalReason.no_endpoint

    def test_request_waits_for_endpoints_that_are_not_known_yet(self) -> None:
        scheduler = SlotScheduler()
        scheduler.on_ask(ask(1), 0)
        assert kinds(scheduler) == [Queued]
        scheduler.on_available_endpoints([endpoint_spec('a')], 0.1)
        assert scheduler.take_decisions() == [Granted(SlotKey('h1', 1), 'a')]

    def test_leaving_endpoint_gets_nothing(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_available_endpoints([endpoint_spec('b')], 0)
        for number in range(3):
            scheduler.on_ask(ask(number), 0)
        decisions = scheduler.take_decisions()
        granted = [one for one in decisions if isinstance(one, Granted)]
        assert {one.endpoint for one in granted} == {'b'}

    def test_failing_endpoint_is_ejected_and_tried_again(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(3):
            scheduler.on_ended(ended(number, 'a', AttemptEnding.broken), 0)
        for number in range(10, 12):
            scheduler.on_ask(ask(number), 0)
        assert {one.endpoint for one in scheduler.take_decisions()} == {'b'}  # type: ignore[union-attr]
        scheduler.on_ask(ask(12, asked=5), 5)
        assert scheduler.take_decisions() == [Granted(SlotKey('h1', 12), 'a')]

    def test_service_that_fails_as_a_whole_is_still_used(
        self, scheduler: SlotScheduler
    ) -> None:
        for name in ('a', 'b'):
            for number in range(3):
                scheduler.on_ended(ended(number, name, AttemptEnding.failed), 0)
        for number in range(10, 14):
            scheduler.on_ask(ask(number), 0)
        assert kinds(scheduler) == [Granted] * 4


class TestDataCentres:
    def desk_of(self, *data_centres: str) -> SlotScheduler:
        scheduler = SlotScheduler()
        endpoints = [
            endpoint_spec(f'e-{one}', data_centre=one) for one in data_centres
        ]
        scheduler.on_available_endpoints(endpoints, 0)
        return scheduler

    def test_endpoint_of_the_same_data_centre_goes_first(self) -> None:
        scheduler = self.desk_of('z1', 'z2', 'z3')
        for number, near in enumerate(('z3', 'z1', 'z2')):
            scheduler.on_ask(ask(number, data_centre=near), 0)
        found = [one.endpoint for one in scheduler.take_decisions()]  # type: ignore[union-attr]
        assert found == ['e-z3', 'e-z1', 'e-z2']

    def test_it_is_passed_over_where_it_is_busy(self) -> None:
        scheduler = self.desk_of('z1', 'z2')
        scheduler.on_ask(ask(1, prompt_tokens=10_000), 0)
        scheduler.on_ask(ask(2), 0)
        found = [one.endpoint for one in scheduler.take_decisions()]  # type: ignore[union-attr]
        assert found == ['e-z1', 'e-z2']


class TestBurst:
    """More requests than places: some can be on time, not all."""

    def test_request_that_can_be_on_time_goes_before_a_late_one(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(4):
            scheduler.on_ask(ask(number), 0)
        scheduler.on_ask(ask(5, aim=0.2), 0)
        scheduler.on_ask(ask(6, aim=0.9, asked=0.5), 0.5)
        scheduler.take_decisions()
        scheduler.on_ended(ended(0, 'a'), 0.6)
        assert scheduler.take_decisions()[0].key.number == 6

    def test_late_request_is_served_when_nobody_else_waits(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(4):
            scheduler.on_ask(ask(number), 0)
        scheduler.on_ask(ask(5, aim=0.2), 0)
        scheduler.take_decisions()
        scheduler.on_ended(ended(0, 'a'), 0.6)
        assert scheduler.take_decisions()[0].key.number == 5

    def test_long_answer_waits_for_an_endpoint_that_can_end_it(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.available_endpoints['a'].slowness = 4
        for number in range(2):
            scheduler.on_ask(ask(number, avoid=('a',)), 0)
        scheduler.on_ask(ask(5, output_tokens=1000), 0)
        scheduler.on_ask(ask(6, output_tokens=10), 0)
        decisions = {one.key.number: one for one in scheduler.take_decisions()}
        assert isinstance(decisions[5], Queued)
        assert decisions[6] == Granted(SlotKey('h1', 6), 'a')

    def test_short_time_ends_a_wait_sooner(
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


class TestCrowd:
    """Far more requests than places, for longer than callers wait."""

    def crowd(self, scheduler: SlotScheduler) -> None:
        for number in range(4):
            scheduler.on_ask(ask(number), 0)
        for number in range(10, 30):
            scheduler.on_ask(ask(number), 0)
        assert len(scheduler.queue(SERVICE)) < 20
        scheduler.take_decisions()

    def test_hopeless_request_is_refused_at_once(
        self, scheduler: SlotScheduler
    ) -> None:
        self.crowd(scheduler)
        scheduler.on_ask(ask(50), 0)
        refused = scheduler.take_decisions()[0]
        assert isinstance(refused, Refused)
        assert refused.reason is RefusalReason.crowded

    def test_caller_is_told_when_the_crowd_is_gone(
        self, scheduler: SlotScheduler
    ) -> None:
        self.crowd(scheduler)
        scheduler.on_ask(ask(50, deadline=30), 0)
        scheduler.on_ask(ask(51, deadline=1.5), 0)
        first, second = scheduler.take_decisions()
        assert isinstance(first, Refused)
        assert isinstance(second, Refused)
        assert 0.9 < first.retry_after <= 10
        assert second.retry_after <= 0.5

    def test_more_important_request_still_waits(
        self, scheduler: SlotScheduler
    ) -> None:
        self.crowd(scheduler)
        scheduler.on_ask(ask(50, rank=0), 0)
        assert kinds(scheduler) == [Queued]


class TestFloor:
    """A crowd of important requests that does not end."""

    step_s = 0.05
    rounds = 200

    def serve_crowd(self, scheduler: SlotScheduler) -> dict[int, float]:
        """Ask for twice what there is; return the share served by rank."""
        asked = {0: 0, 5: 0}
        served = {0: 0, 5: 0}
        ranks = {}
        running: list[Granted] = []
        for turn in range(self.rounds):
            now = turn * self.step_s
            for one in running:
                scheduler.on_ended(ended(one.key.number, one.endpoint), now)
            for place in range(8):
                rank = 5 if place < 2 else 0
                number = turn * 10 + place
                ranks[number] = rank
                asked[rank] += 1
                scheduler.on_ask(
                    ask(
                        number, rank=rank, asked=now, aim=now, deadline=now + 2
                    ),
                    now,
                )
            scheduler.tick(now)
            running = [
                one
                for one in scheduler.take_decisions()
                if isinstance(one, Granted)
            ]
            for one in running:
                served[ranks[one.key.number]] += 1
            scheduler.on_held_slots(
                'h1',
                [
                    HeldSlot(one.key, SERVICE, one.endpoint, 1, 1, 0)
                    for one in running
                ],
                now,
            )
        return {rank: served[rank] / asked[rank] for rank in asked}

    def test_lowest_rank_gets_a_quarter_of_the_common_rate(
        self, scheduler: SlotScheduler
    ) -> None:
        shares = self.serve_crowd(scheduler)
        common = (shares[0] * 6 + shares[5] * 2) / 8
        assert shares[5] >= common / 4

    def test_higher_rank_is_still_served_more(
        self, scheduler: SlotScheduler
    ) -> None:
        shares = self.serve_crowd(scheduler)
        assert shares[0] > shares[5]

    def test_small_share_of_a_rank_that_asks_little_is_no_sign(self) -> None:
        floors = MinimumShares()
        for _ in range(100):
            floors.on_ask(0, 0)
            floors.on_grant(0, 0)
        floors.on_ask(5, 0)
        assert not floors.below(0)


class TestWaiting:
    def test_hopeless_wait_ends_with_a_time_to_come_back(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(5):
            scheduler.on_ask(ask(number), 0)
        scheduler.take_decisions()
        scheduler.on_held_slots(
            'h1',
            [
                HeldSlot(key, SERVICE, one.endpoint, 1, 1, 0)
                for key, one in scheduler.reservations.items()
            ],
            PATIENCE_S,
        )
        scheduler.tick(PATIENCE_S)
        refused = scheduler.take_decisions()[0]
        assert isinstance(refused, Refused)
        assert refused.retry_after > 0

    def test_withdrawn_request_gets_no_place(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(5):
            scheduler.on_ask(ask(number), 0)
        scheduler.on_ended(ended(4, '', AttemptEnding.unused), 0)
        scheduler.take_decisions()
        scheduler.on_ended(ended(0, 'a'), 0)
        assert not scheduler.take_decisions()


class TestRolls:
    def test_places_of_another_home_are_counted(
        self, scheduler: SlotScheduler
    ) -> None:
        held = [
            HeldSlot(SlotKey('h2', number), SERVICE, 'a', 10, 10, 1)
            for number in range(2)
        ]
        scheduler.on_held_slots('h2', held, 0)
        scheduler.on_ask(ask(1), 0)
        scheduler.on_ask(ask(2), 0)
        assert {one.endpoint for one in scheduler.take_decisions()} == {'b'}  # type: ignore[union-attr]

    def test_lost_end_is_made_good(self, scheduler: SlotScheduler) -> None:
        scheduler.on_ask(ask(1), 0)
        scheduler.on_held_slots('h1', [], HOLD_TIMEOUT_S + 0.1)
        assert not scheduler.reservations

    def test_grant_under_way_is_kept(self, scheduler: SlotScheduler) -> None:
        scheduler.on_ask(ask(1), 0)
        scheduler.on_held_slots('h1', [], 0.1)
        assert len(scheduler.reservations) == 1

    def test_lost_entry_frees_its_places(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_ask(ask(1), 0)
        scheduler.on_held_slots('h1', [], 0)
        scheduler.tick(HOLD_TIMEOUT_S + 0.1)
        assert not scheduler.reservations


class TestLimits:
    limited = Workspace('w', frozenset(), None, 1000, 2000, True, 200)

    def test_limit_holds_over_all_hosts(self, scheduler: SlotScheduler) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        for number in range(3):
            key = SlotKey(f'h{number}', number)
            scheduler.on_ask(ask(number, key=key, charge=800), 0)
        decisions = scheduler.take_decisions()
        assert [type(one) for one in decisions] == [Granted, Granted, Refused]
        refused = decisions[2]
        assert isinstance(refused, Refused)
        assert refused.reason is RefusalReason.over_limit
        assert refused.retry_after == pytest.approx(0.6)

    def test_large_request_is_let_through_like_a_small_one(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=5000), 0)
        scheduler.on_ask(ask(2, charge=100), 3)
        scheduler.on_ask(ask(3, charge=100, asked=5), 5)
        assert kinds(scheduler) == [Granted, Refused, Granted]

    def test_small_request_passes_a_small_debt(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=2500), 0)
        scheduler.on_ask(ask(2, charge=20), 0)
        scheduler.on_ask(ask(3, charge=21), 0)
        assert kinds(scheduler) == [Granted, Granted, Refused]

    def test_small_requests_pass_no_large_debt(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=3000), 0)
        scheduler.on_ask(ask(2, charge=20), 0)
        assert kinds(scheduler) == [Granted, Refused]

    def test_repeat_counts_again(self, scheduler: SlotScheduler) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=900), 0)
        scheduler.on_ended(ended(1, 'a', AttemptEnding.broken), 0)
        scheduler.on_ask(ask(2, charge=900, attempt=2), 0)
        scheduler.on_ask(ask(3, charge=100), 0)
        assert kinds(scheduler) == [Granted, Granted, Refused]

    def test_refused_send_counts_for_nothing(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=1000), 0)
        scheduler.on_ended(ended(1, 'a', AttemptEnding.refused), 0)
        scheduler.on_ask(ask(2, charge=10), 0)
        assert kinds(scheduler) == [Granted, Granted]

    def test_new_home_goes_on_at_the_level_of_the_old_one(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        scheduler.rate_limits.on_level('w', -500, 0)
        scheduler.on_ask(ask(1, charge=100), 0)
        assert kinds(scheduler) == [Refused]

    def test_request_that_got_no_place_counts_for_nothing(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.rate_limits.on_workspaces({'w': self.limited}, 0)
        for number in range(4):
            scheduler.on_ask(ask(number), 0)
        scheduler.on_ask(ask(5, charge=2000), 0)
        scheduler.on_ended(ended(5, '', AttemptEnding.unused), 0)
        scheduler.take_decisions()
        scheduler.on_ended(ended(0, 'a'), 0)
        scheduler.on_ended(ended(1, 'b'), 0)
        scheduler.on_ask(ask(6, charge=2000), 0)
        assert kinds(scheduler) == [Granted]

    def test_limit_that_goes_down_binds_at_once(
        self, scheduler: SlotScheduler
    ) -> None:
        allowances = scheduler.rate_limits
        allowances.on_workspaces({'w': self.limited}, 0)
        scheduler.on_ask(ask(1, charge=100), 0)
        lower = self.limited._replace(rate=10, burst=20)
        allowances.on_workspaces({'w': lower}, 0)
        scheduler.on_ask(ask(2, charge=30), 0)
        scheduler.on_ask(ask(3, charge=20), 0)
        assert kinds(scheduler) == [Granted, Granted, Refused]

    def test_repeats_stay_within_the_budget(
        self, scheduler: SlotScheduler
    ) -> None:
        scheduler.on_available_endpoints([endpoint_spec('a', 1000)], 0)
        for number in range(200):
            scheduler.on_ask(ask(number, attempt=2), 0)
        found = kinds(scheduler)
        assert found.count(Granted) == 60
        scheduler.on_ask(ask(900, attempt=2, asked=11), 11)
        assert kinds(scheduler) == [Granted]


class TestNotices:
    """What the desk has logged."""

    def test_refusal_names_what_decided_it(
        self, scheduler: SlotScheduler
    ) -> None:
        for number in range(60):
            scheduler.on_ask(ask(number), 0)
        event = scheduler.take_events()[0]
        assert event.event == 'place_refused'
        assert event.facts['reason'] == 'crowded'
        assert event.facts['ahead'] == len(scheduler.queue(SERVICE))
        assert not scheduler.take_events()

    def test_ejection_is_noted_once(self, scheduler: SlotScheduler) -> None:
        for number in range(5):
            scheduler.on_ended(ended(number, 'a', AttemptEnding.broken), 0)
        scheduler.on_ended(ended(9, 'a'), 0)
        found = [
            (one.facts['before'], one.facts['after'])
            for one in scheduler.take_events()
        ]
        assert found == [('trusted', 'ejected'), ('ejected', 'trusted')]
