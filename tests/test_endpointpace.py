"""The pace of endpoints that have just started or recovered."""

import itertools

import pytest
from test_slotscheduler import ask, endpoint_spec

from trefoilspool.limits.endpointpace import (
    FIRST_PACE,
    EndpointPace,
    PaceSign,
    pace_sign,
)
from trefoilspool.slotmessages import (
    AttemptEnding,
    Granted,
    HeldSlot,
    SlotKey,
    SlotRelease,
    SlotRequest,
)
from trefoilspool.slotscheduler import SlotScheduler


def release(
    number: int,
    endpoint: str,
    first_s: float = 0.1,
    ending: AttemptEnding = AttemptEnding.completed,
    **changes: bool,
) -> SlotRelease:
    return SlotRelease(
        SlotKey('h1', number), ending, endpoint, first_s, 0, 0, 1000, **changes
    )


class PacedWorld:
    """One busy endpoint, and one that starts beside it."""

    def __init__(self, *, finds_pace: bool = True) -> None:
        self.scheduler = SlotScheduler()
        self.scheduler.pool.finds_pace = finds_pace
        self.busy = endpoint_spec('a')._replace(slots=12)
        self.fresh = endpoint_spec('b')._replace(slots=8)
        self.scheduler.on_available_endpoints([self.busy], 0)
        self.numbers = itertools.count()
        self.grant(2)
        self.scheduler.on_available_endpoints([self.busy, self.fresh], 1)

    def request(self) -> SlotRequest:
        return ask(next(self.numbers))

    def grant(self, count: int) -> list[Granted]:
        for _ in range(count):
            self.scheduler.on_ask(self.request(), 1)
        decisions = self.scheduler.take_decisions()
        assert all(isinstance(decision, Granted) for decision in decisions)
        return [made for made in decisions if isinstance(made, Granted)]

    def held(self) -> int:
        return len(self.scheduler.available_endpoints['b'].reservations)

    @property
    def pace(self) -> EndpointPace:
        return self.scheduler.available_endpoints['b'].pace


class TestStartedEndpoint:
    def test_is_not_flooded(self) -> None:
        world = PacedWorld()
        world.grant(8)
        assert world.held() == FIRST_PACE

    def test_without_the_pace_it_is(self) -> None:
        world = PacedWorld(finds_pace=False)
        world.grant(8)
        assert world.held() > FIRST_PACE + 2

    def test_prompt_answers_end_the_pace(self) -> None:
        world = PacedWorld()
        for _ in range(8):
            for granted in world.grant(3):
                ended = release(granted.key.number, granted.endpoint)
                world.scheduler.on_release(ended, 1.1)
        assert not world.pace.is_finding

    def test_log_tells_when_it_begins_and_ends(self) -> None:
        world = PacedWorld()
        told = []
        for step in range(8):
            world.scheduler.tick(1 + step / 100)
            told += world.scheduler.take_events()
            for granted in world.grant(3):
                ended = release(granted.key.number, granted.endpoint)
                world.scheduler.on_release(ended, 1.1)
        assert [event.event for event in told] == ['endpoint_pace'] * 2
        assert [event.fields['finding'] for event in told] == [True, False]

    def test_beginning_of_a_stream_is_an_answer(self) -> None:
        world = PacedWorld()
        granted = next(made for made in world.grant(2) if made.endpoint == 'b')
        held = HeldSlot(granted.key, 'engines', 'b', 1, 1, 0.2, 0.1)
        for _ in range(3):
            world.scheduler.on_held_slots('h1', [held], 1.2)
        assert world.pace.limit == FIRST_PACE + 1

    def test_slow_answers_keep_it_low(self) -> None:
        world = PacedWorld()
        for granted in world.grant(4):
            ended = release(granted.key.number, granted.endpoint, 3.0)
            world.scheduler.on_release(ended, 4)
        assert world.pace.limit == 1

    def test_nothing_is_refused_for_the_pace(self) -> None:
        world = PacedWorld()
        world.grant(18)
        assert world.held() == world.fresh.slots

    def test_recovered_endpoint_begins_anew(self) -> None:
        world = PacedWorld()
        world.pace.limit = world.fresh.slots
        granted = next(made for made in world.grant(4) if made.endpoint == 'b')
        ended = release(
            granted.key.number,
            'b',
            0,
            AttemptEnding.unreachable,
            is_down=True,
        )
        world.scheduler.on_release(ended, 1.1)
        assert world.pace.limit == FIRST_PACE

    def test_start_of_all_endpoints_is_no_reason(self) -> None:
        scheduler = SlotScheduler()
        scheduler.on_available_endpoints([endpoint_spec('a')], 0)
        load = scheduler.available_endpoints['a']
        assert not load.pace.is_finding


class TestPace:
    @pytest.mark.parametrize(
        ('sign', 'limit'),
        ((PaceSign.prompt, 5), (PaceSign.slow, 2), (PaceSign.refused, 2)),
    )
    def test_steps(self, sign: PaceSign, limit: int) -> None:
        pace = EndpointPace(8)
        pace.limit = 4
        pace.on_sign(sign)
        assert pace.limit == limit

    def test_signs(self) -> None:
        assert pace_sign(0.3, 0.1) is PaceSign.prompt
        assert pace_sign(0.5, 0.1) is PaceSign.slow
