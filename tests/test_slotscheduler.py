"""The pure core that gives out places."""

import pytest

from trefoilspool.minimumshares import Floors
from trefoilspool.routing import Workspace
from trefoilspool.slotmessages import (
    Ended,
    Granted,
    Held,
    PlaceAsk,
    PlaceKey,
    Queued,
    RefusalReason,
    Refused,
    SendEnding,
    Station,
)
from trefoilspool.slotscheduler import (
    HOLD_TIMEOUT_S,
    PATIENCE_S,
    Desk,
)

SERVICE = 'engines'


def station(name: str, places: int = 2, **changes: object) -> Station:
    made = Station(name, SERVICE, 'z1', places, 1, 7)
    return made._replace(**changes)


def ask(number: int, **changes: object) -> PlaceAsk:
    made = PlaceAsk(
        key=PlaceKey('h1', number),
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
    ending: SendEnding = SendEnding.completed,
) -> Ended:
    return Ended(PlaceKey('h1', number), ending, endpoint, 0.1, 0, 0, 1000)


@pytest.fixture
def desk() -> Desk:
    made = Desk()
    made.on_stations([station('a'), station('b')], 0)
    return made


def kinds(desk: Desk) -> list[type]:
    return [type(one) for one in desk.take_verdicts()]


class TestPlaces:
    def test_no_endpoint_gets_more_than_its_places(self, desk: Desk) -> None:
        for number in range(5):
            desk.on_ask(ask(number), 0)
        assert kinds(desk) == [Granted] * 4 + [Queued]
        held = [len(one.bookings) for one in desk.stations.values()]
        assert held == [2, 2]

    def test_freed_place_goes_to_who_waits(self, desk: Desk) -> None:
        for number in range(5):
            desk.on_ask(ask(number), 0)
        granted = desk.take_verdicts()[0]
        assert isinstance(granted, Granted)
        desk.on_ended(ended(0, granted.endpoint), 0.1)
        assert desk.take_verdicts() == [
            Granted(PlaceKey('h1', 4), granted.endpoint),
        ]

    def test_more_important_request_goes_first(self, desk: Desk) -> None:
        for number in range(4):
            desk.on_ask(ask(number), 0)
        desk.on_ask(ask(8, rank=2), 0)
        desk.on_ask(ask(9, rank=0), 0.1)
        granted = desk.take_verdicts()[0]
        assert isinstance(granted, Granted)
        desk.on_ended(ended(0, granted.endpoint), 0.2)
        assert desk.take_verdicts()[0].key.number == 9

    def test_repeated_ask_gets_the_same_place(self, desk: Desk) -> None:
        desk.on_ask(ask(1), 0)
        desk.on_ask(ask(1), 0.1)
        first, second = desk.take_verdicts()
        assert first == second
        assert len(desk.bookings) == 1

    def test_busy_prefill_is_passed_over(self, desk: Desk) -> None:
        desk.on_ask(ask(1, prompt_tokens=50_000), 0)
        desk.on_ask(ask(2), 0)
        first, second = desk.take_verdicts()
        assert isinstance(first, Granted)
        assert isinstance(second, Granted)
        assert first.endpoint != second.endpoint

    def test_endpoints_to_avoid_are_avoided(self, desk: Desk) -> None:
        desk.on_ask(ask(1, avoid=('a',)), 0)
        desk.on_ask(ask(2, avoid=('a', 'b')), 0)
        first, second = desk.take_verdicts()
        assert first == Granted(PlaceKey('h1', 1), 'b')
        assert isinstance(second, Refused)
        assert second.reason is RefusalReason.no_endpoint

    def test_request_waits_for_endpoints_that_are_not_known_yet(self) -> None:
        desk = Desk()
        desk.on_ask(ask(1), 0)
        assert kinds(desk) == [Queued]
        desk.on_stations([station('a')], 0.1)
        assert desk.take_verdicts() == [Granted(PlaceKey('h1', 1), 'a')]

    def test_leaving_endpoint_gets_nothing(self, desk: Desk) -> None:
        desk.on_stations([station('b')], 0)
        for number in range(3):
            desk.on_ask(ask(number), 0)
        verdicts = desk.take_verdicts()
        granted = [one for one in verdicts if isinstance(one, Granted)]
        assert {one.endpoint for one in granted} == {'b'}

    def test_failing_endpoint_is_ejected_and_tried_again(
        self, desk: Desk
    ) -> None:
        for number in range(3):
            desk.on_ended(ended(number, 'a', SendEnding.broken), 0)
        for number in range(10, 12):
            desk.on_ask(ask(number), 0)
        assert {one.endpoint for one in desk.take_verdicts()} == {'b'}  # type: ignore[union-attr]
        desk.on_ask(ask(12, asked=5), 5)
        assert desk.take_verdicts() == [Granted(PlaceKey('h1', 12), 'a')]

    def test_service_that_fails_as_a_whole_is_still_used(
        self, desk: Desk
    ) -> None:
        for name in ('a', 'b'):
            for number in range(3):
                desk.on_ended(ended(number, name, SendEnding.failed), 0)
        for number in range(10, 14):
            desk.on_ask(ask(number), 0)
        assert kinds(desk) == [Granted] * 4


class TestDataCentres:
    def desk_of(self, *data_centres: str) -> Desk:
        desk = Desk()
        stations = [
            station(f'e-{one}', data_centre=one) for one in data_centres
        ]
        desk.on_stations(stations, 0)
        return desk

    def test_endpoint_of_the_same_data_centre_goes_first(self) -> None:
        desk = self.desk_of('z1', 'z2', 'z3')
        for number, near in enumerate(('z3', 'z1', 'z2')):
            desk.on_ask(ask(number, data_centre=near), 0)
        found = [one.endpoint for one in desk.take_verdicts()]  # type: ignore[union-attr]
        assert found == ['e-z3', 'e-z1', 'e-z2']

    def test_it_is_passed_over_where_it_is_busy(self) -> None:
        desk = self.desk_of('z1', 'z2')
        desk.on_ask(ask(1, prompt_tokens=10_000), 0)
        desk.on_ask(ask(2), 0)
        found = [one.endpoint for one in desk.take_verdicts()]  # type: ignore[union-attr]
        assert found == ['e-z1', 'e-z2']


class TestBurst:
    """More requests than places: some can be on time, not all."""

    def test_request_that_can_be_on_time_goes_before_a_late_one(
        self, desk: Desk
    ) -> None:
        for number in range(4):
            desk.on_ask(ask(number), 0)
        desk.on_ask(ask(5, aim=0.2), 0)
        desk.on_ask(ask(6, aim=0.9, asked=0.5), 0.5)
        desk.take_verdicts()
        desk.on_ended(ended(0, 'a'), 0.6)
        assert desk.take_verdicts()[0].key.number == 6

    def test_late_request_is_served_when_nobody_else_waits(
        self, desk: Desk
    ) -> None:
        for number in range(4):
            desk.on_ask(ask(number), 0)
        desk.on_ask(ask(5, aim=0.2), 0)
        desk.take_verdicts()
        desk.on_ended(ended(0, 'a'), 0.6)
        assert desk.take_verdicts()[0].key.number == 5

    def test_long_answer_waits_for_an_endpoint_that_can_end_it(
        self, desk: Desk
    ) -> None:
        desk.stations['a'].slowness = 4
        for number in range(2):
            desk.on_ask(ask(number, avoid=('a',)), 0)
        desk.on_ask(ask(5, output_tokens=1000), 0)
        desk.on_ask(ask(6, output_tokens=10), 0)
        verdicts = {one.key.number: one for one in desk.take_verdicts()}
        assert isinstance(verdicts[5], Queued)
        assert verdicts[6] == Granted(PlaceKey('h1', 6), 'a')

    def test_short_time_ends_a_wait_sooner(self, desk: Desk) -> None:
        for number in range(4):
            desk.on_ask(ask(number), 0)
        desk.on_ask(ask(5, deadline=1), 0)
        desk.take_verdicts()
        desk.tick(0.3)
        assert not desk.take_verdicts()
        desk.tick(0.4)
        assert isinstance(desk.take_verdicts()[0], Refused)


class TestCrowd:
    """Far more requests than places, for longer than callers wait."""

    def crowd(self, desk: Desk) -> None:
        for number in range(4):
            desk.on_ask(ask(number), 0)
        for number in range(10, 30):
            desk.on_ask(ask(number), 0)
        assert len(desk.queue(SERVICE)) < 20
        desk.take_verdicts()

    def test_hopeless_request_is_refused_at_once(self, desk: Desk) -> None:
        self.crowd(desk)
        desk.on_ask(ask(50), 0)
        refused = desk.take_verdicts()[0]
        assert isinstance(refused, Refused)
        assert refused.reason is RefusalReason.crowded

    def test_caller_is_told_when_the_crowd_is_gone(self, desk: Desk) -> None:
        self.crowd(desk)
        desk.on_ask(ask(50, deadline=30), 0)
        desk.on_ask(ask(51, deadline=1.5), 0)
        first, second = desk.take_verdicts()
        assert isinstance(first, Refused)
        assert isinstance(second, Refused)
        assert 0.9 < first.retry_after <= 10
        assert second.retry_after <= 0.5

    def test_more_important_request_still_waits(self, desk: Desk) -> None:
        self.crowd(desk)
        desk.on_ask(ask(50, rank=0), 0)
        assert kinds(desk) == [Queued]


class TestFloor:
    """A crowd of important requests that does not end."""

    step_s = 0.05
    rounds = 200

    def serve_crowd(self, desk: Desk) -> dict[int, float]:
        """Ask for twice what there is; return the share served by rank."""
        asked = {0: 0, 5: 0}
        served = {0: 0, 5: 0}
        ranks = {}
        running: list[Granted] = []
        for turn in range(self.rounds):
            now = turn * self.step_s
            for one in running:
                desk.on_ended(ended(one.key.number, one.endpoint), now)
            for place in range(8):
                rank = 5 if place < 2 else 0
                number = turn * 10 + place
                ranks[number] = rank
                asked[rank] += 1
                desk.on_ask(
                    ask(
                        number, rank=rank, asked=now, aim=now, deadline=now + 2
                    ),
                    now,
                )
            desk.tick(now)
            running = [
                one for one in desk.take_verdicts() if isinstance(one, Granted)
            ]
            for one in running:
                served[ranks[one.key.number]] += 1
            desk.on_roll(
                'h1',
                [
                    Held(one.key, SERVICE, one.endpoint, 1, 1, 0)
                    for one in running
                ],
                now,
            )
        return {rank: served[rank] / asked[rank] for rank in asked}

    def test_lowest_rank_gets_a_quarter_of_the_common_rate(
        self, desk: Desk
    ) -> None:
        shares = self.serve_crowd(desk)
        common = (shares[0] * 6 + shares[5] * 2) / 8
        assert shares[5] >= common / 4

    def test_higher_rank_is_still_served_more(self, desk: Desk) -> None:
        shares = self.serve_crowd(desk)
        assert shares[0] > shares[5]

    def test_small_share_of_a_rank_that_asks_little_is_no_sign(self) -> None:
        floors = Floors()
        for _ in range(100):
            floors.on_ask(0, 0)
            floors.on_grant(0, 0)
        floors.on_ask(5, 0)
        assert not floors.below(0)


class TestWaiting:
    def test_hopeless_wait_ends_with_a_time_to_come_back(
        self, desk: Desk
    ) -> None:
        for number in range(5):
            desk.on_ask(ask(number), 0)
        desk.take_verdicts()
        desk.on_roll(
            'h1',
            [
                Held(key, SERVICE, one.endpoint, 1, 1, 0)
                for key, one in desk.bookings.items()
            ],
            PATIENCE_S,
        )
        desk.tick(PATIENCE_S)
        refused = desk.take_verdicts()[0]
        assert isinstance(refused, Refused)
        assert refused.retry_after > 0

    def test_withdrawn_request_gets_no_place(self, desk: Desk) -> None:
        for number in range(5):
            desk.on_ask(ask(number), 0)
        desk.on_ended(ended(4, '', SendEnding.unused), 0)
        desk.take_verdicts()
        desk.on_ended(ended(0, 'a'), 0)
        assert not desk.take_verdicts()


class TestRolls:
    def test_places_of_another_home_are_counted(self, desk: Desk) -> None:
        held = [
            Held(PlaceKey('h2', number), SERVICE, 'a', 10, 10, 1)
            for number in range(2)
        ]
        desk.on_roll('h2', held, 0)
        desk.on_ask(ask(1), 0)
        desk.on_ask(ask(2), 0)
        assert {one.endpoint for one in desk.take_verdicts()} == {'b'}  # type: ignore[union-attr]

    def test_lost_end_is_made_good(self, desk: Desk) -> None:
        desk.on_ask(ask(1), 0)
        desk.on_roll('h1', [], HOLD_TIMEOUT_S + 0.1)
        assert not desk.bookings

    def test_grant_under_way_is_kept(self, desk: Desk) -> None:
        desk.on_ask(ask(1), 0)
        desk.on_roll('h1', [], 0.1)
        assert len(desk.bookings) == 1

    def test_lost_entry_frees_its_places(self, desk: Desk) -> None:
        desk.on_ask(ask(1), 0)
        desk.on_roll('h1', [], 0)
        desk.tick(HOLD_TIMEOUT_S + 0.1)
        assert not desk.bookings


class TestLimits:
    limited = Workspace('w', frozenset(), None, 1000, 2000, True, 200)

    def test_limit_holds_over_all_hosts(self, desk: Desk) -> None:
        desk.allowances.on_workspaces({'w': self.limited}, 0)
        for number in range(3):
            key = PlaceKey(f'h{number}', number)
            desk.on_ask(ask(number, key=key, charge=800), 0)
        verdicts = desk.take_verdicts()
        assert [type(one) for one in verdicts] == [Granted, Granted, Refused]
        refused = verdicts[2]
        assert isinstance(refused, Refused)
        assert refused.reason is RefusalReason.over_limit
        assert refused.retry_after == pytest.approx(0.6)

    def test_large_request_is_let_through_like_a_small_one(
        self, desk: Desk
    ) -> None:
        desk.allowances.on_workspaces({'w': self.limited}, 0)
        desk.on_ask(ask(1, charge=5000), 0)
        desk.on_ask(ask(2, charge=100), 3)
        desk.on_ask(ask(3, charge=100, asked=5), 5)
        assert kinds(desk) == [Granted, Refused, Granted]

    def test_small_request_passes_a_small_debt(self, desk: Desk) -> None:
        desk.allowances.on_workspaces({'w': self.limited}, 0)
        desk.on_ask(ask(1, charge=2500), 0)
        desk.on_ask(ask(2, charge=20), 0)
        desk.on_ask(ask(3, charge=21), 0)
        assert kinds(desk) == [Granted, Granted, Refused]

    def test_small_requests_pass_no_large_debt(self, desk: Desk) -> None:
        desk.allowances.on_workspaces({'w': self.limited}, 0)
        desk.on_ask(ask(1, charge=3000), 0)
        desk.on_ask(ask(2, charge=20), 0)
        assert kinds(desk) == [Granted, Refused]

    def test_repeat_counts_again(self, desk: Desk) -> None:
        desk.allowances.on_workspaces({'w': self.limited}, 0)
        desk.on_ask(ask(1, charge=900), 0)
        desk.on_ended(ended(1, 'a', SendEnding.broken), 0)
        desk.on_ask(ask(2, charge=900, attempt=2), 0)
        desk.on_ask(ask(3, charge=100), 0)
        assert kinds(desk) == [Granted, Granted, Refused]

    def test_refused_send_counts_for_nothing(self, desk: Desk) -> None:
        desk.allowances.on_workspaces({'w': self.limited}, 0)
        desk.on_ask(ask(1, charge=1000), 0)
        desk.on_ended(ended(1, 'a', SendEnding.refused), 0)
        desk.on_ask(ask(2, charge=10), 0)
        assert kinds(desk) == [Granted, Granted]

    def test_new_home_goes_on_at_the_level_of_the_old_one(
        self, desk: Desk
    ) -> None:
        desk.allowances.on_workspaces({'w': self.limited}, 0)
        desk.allowances.on_level('w', -500, 0)
        desk.on_ask(ask(1, charge=100), 0)
        assert kinds(desk) == [Refused]

    def test_request_that_got_no_place_counts_for_nothing(
        self, desk: Desk
    ) -> None:
        desk.allowances.on_workspaces({'w': self.limited}, 0)
        for number in range(4):
            desk.on_ask(ask(number), 0)
        desk.on_ask(ask(5, charge=2000), 0)
        desk.on_ended(ended(5, '', SendEnding.unused), 0)
        desk.take_verdicts()
        desk.on_ended(ended(0, 'a'), 0)
        desk.on_ended(ended(1, 'b'), 0)
        desk.on_ask(ask(6, charge=2000), 0)
        assert kinds(desk) == [Granted]

    def test_limit_that_goes_down_binds_at_once(self, desk: Desk) -> None:
        allowances = desk.allowances
        allowances.on_workspaces({'w': self.limited}, 0)
        desk.on_ask(ask(1, charge=100), 0)
        lower = self.limited._replace(rate=10, burst=20)
        allowances.on_workspaces({'w': lower}, 0)
        desk.on_ask(ask(2, charge=30), 0)
        desk.on_ask(ask(3, charge=20), 0)
        assert kinds(desk) == [Granted, Granted, Refused]

    def test_repeats_stay_within_the_budget(self, desk: Desk) -> None:
        desk.on_stations([station('a', 1000)], 0)
        for number in range(200):
            desk.on_ask(ask(number, attempt=2), 0)
        found = kinds(desk)
        assert found.count(Granted) == 60
        desk.on_ask(ask(900, attempt=2, asked=11), 11)
        assert kinds(desk) == [Granted]


class TestNotices:
    """What the desk has logged."""

    def test_refusal_names_what_decided_it(self, desk: Desk) -> None:
        for number in range(60):
            desk.on_ask(ask(number), 0)
        notice = desk.take_notices()[0]
        assert notice.event == 'place_refused'
        assert notice.facts['reason'] == 'crowded'
        assert notice.facts['ahead'] == len(desk.queue(SERVICE))
        assert not desk.take_notices()

    def test_ejection_is_noted_once(self, desk: Desk) -> None:
        for number in range(5):
            desk.on_ended(ended(number, 'a', SendEnding.broken), 0)
        desk.on_ended(ended(9, 'a'), 0)
        found = [
            (one.facts['before'], one.facts['after'])
            for one in desk.take_notices()
        ]
        assert found == [('trusted', 'ejected'), ('ejected', 'trusted')]
