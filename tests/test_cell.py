"""Scheduling core: invariants over random events, and single rules."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilspool import events
from trefoilspool.cell import Cell
from trefoilspool.granter import PERMIT_LIFETIME_S
from trefoilspool.membership import home_of
from trefoilspool.preemption import PREEMPT_AFTER_S

RESUMABLE = events.VictimClass.resumable


def make_ask(number: int, **changes: object) -> events.Ask:
    ask = events.Ask(
        events.RequestKey('h', number),
        'cell',
        'w',
        'k',
        1,
        1,
        100.0,
        100,
        100,
        RESUMABLE,
        interactive=True,
    )
    return ask._replace(**changes)  # type: ignore[arg-type]


def make_cell(endpoints: int = 1, slots: int = 2) -> Cell:
    cell = Cell()
    for number in range(endpoints):
        cell.handle(events.EndpointSeen(f'e{number}', 1, slots, True), 0)
    return cell


def release(number: int, ending: events.Ending) -> events.Release:
    return events.Release(
        events.RequestKey('h', number),
        ending,
        0.1,
        100,
        0,
        50,
        1.0,
    )


NUMBERS = st.integers(0, 15)
STEPS = st.one_of(
    st.tuples(
        st.just('ask'),
        NUMBERS,
        st.integers(0, 3),
        st.integers(1, 30),
        st.sampled_from(list(events.VictimClass)),
    ),
    st.tuples(st.just('release'), NUMBERS, st.sampled_from(events.Ending)),
    st.tuples(st.just('withdraw'), NUMBERS),
    st.tuples(st.just('pace'), st.integers(0, 2), st.integers(0, 400)),
    st.tuples(st.just('seen'), st.integers(0, 2), st.booleans()),
    st.tuples(st.just('wait'), st.floats(0, 3)),
)


class Driver:
    """Feeds events to a cell as entry hosts do, and checks each decision."""

    def __init__(self) -> None:
        self.cell = make_cell(endpoints=3)
        self.now = 0.0
        self.asked: set[events.RequestKey] = set()
        self.waiting: set[events.RequestKey] = set()
        self.granted: dict[events.RequestKey, str] = {}
        self.usable = {'e0': True, 'e1': True, 'e2': True}
        self.tiers: dict[events.RequestKey, int] = {}

    def feed(self, event: events.Event) -> None:
        for decision in self.cell.handle(event, self.now):
            getattr(self, f'on_{type(decision).__name__.lower()}')(decision)
        for name, endpoint in self.cell.state.endpoints.items():
            held = [key for key, where in self.granted.items() if where == name]
            assert len(endpoint.permits) == len(held)
            assert len(held) <= endpoint.rates.slots

    def on_grant(self, grant: events.Grant) -> None:
        self.waiting.remove(grant.request)
        assert self.usable[grant.endpoint]
        assert grant.expiry == self.cell.state.now + PERMIT_LIFETIME_S
        self.granted[grant.request] = grant.endpoint

    def on_refuse(self, refusal: events.Refuse) -> None:
        self.waiting.remove(refusal.request)
        assert refusal.retry_after > 0
        if refusal.reason is events.Reason.shed:
            assert not self.cell.state.running_below(refusal.tier)

    def on_revoke(self, revoke: events.Revoke) -> None:
        assert self.granted[revoke.request] == revoke.endpoint
        assert self.tiers[revoke.request] > self.tiers[revoke.cause]

    def do_ask(
        self,
        number: int,
        tier: int,
        left: int,
        victim: events.VictimClass,
    ) -> None:
        key = events.RequestKey('h', number)
        if key in self.asked:
            return
        self.asked.add(key)
        self.waiting.add(key)
        self.tiers[key] = tier
        self.feed(
            make_ask(
                number,
                tier=tier,
                deadline=self.now + left,
                victim=victim,
                workspace=f'w{number % 3}',
            )
        )

    def do_release(self, number: int, ending: events.Ending) -> None:
        if self.granted.pop(events.RequestKey('h', number), None):
            self.feed(release(number, ending))

    def do_withdraw(self, number: int) -> None:
        key = events.RequestKey('h', number)
        self.waiting.discard(key)
        self.granted.pop(key, None)
        self.feed(events.Withdraw(key))

    def do_pace(self, endpoint: int, tokens: int) -> None:
        self.feed(events.Pace(f'e{endpoint}', 2, tokens, 0.5))

    def do_seen(self, endpoint: int, usable: bool) -> None:
        self.usable[f'e{endpoint}'] = usable
        self.feed(events.EndpointSeen(f'e{endpoint}', 1, 2, usable))

    def do_wait(self, seconds: float) -> None:
        self.now += seconds
        self.feed(events.Tick())


class TestInvariants:
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.lists(STEPS, max_size=60))
    def test_each_ask_ends_once(
        self,
        steps: list[tuple[object, ...]],
    ) -> None:
        driver = Driver()
        for name, *arguments in steps:
            getattr(driver, f'do_{name}')(*arguments)
        for key in list(driver.granted):
            driver.do_release(key.number, events.Ending.completed)
        driver.do_wait(200)
        assert not driver.waiting
        assert not driver.cell.latest_starts or not driver.cell.state.asked_at

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(STEPS, max_size=40))
    def test_same_events_same_decisions(
        self,
        steps: list[tuple[object, ...]],
    ) -> None:
        traces = []
        for _ in range(2):
            driver = Driver()
            for name, *arguments in steps:
                getattr(driver, f'do_{name}')(*arguments)
            traces.append((dict(driver.granted), sorted(driver.waiting)))
        assert traces[0] == traces[1]


class TestTiers:
    def test_higher_tier_goes_first(self) -> None:
        cell = make_cell(slots=1)
        cell.handle(make_ask(0, tier=0), 0)
        cell.handle(make_ask(1, tier=3), 0)
        cell.handle(make_ask(2, tier=0), 0)
        found = cell.handle(release(0, events.Ending.completed), 0.1)
        assert [decision.request.number for decision in found] == [2]

    def test_lower_tier_is_revoked_before_higher_is_shed(self) -> None:
        cell = make_cell(slots=1)
        cell.handle(make_ask(0, tier=3), 0)
        cell.handle(make_ask(1, tier=0), 1)
        found = cell.handle(events.Tick(), 1.01 + PREEMPT_AFTER_S)
        assert isinstance(found[0], events.Revoke)
        found = cell.handle(release(0, events.Ending.cancelled), 2)
        assert isinstance(found[0], events.Grant)

    def test_service_calls_are_never_revoked(self) -> None:
        cell = make_cell(slots=1)
        service = events.VictimClass.service
        cell.handle(make_ask(0, tier=3, victim=service), 0)
        cell.handle(make_ask(1, tier=0), 1)
        assert not cell.handle(events.Tick(), 5)

    def test_cheapest_victim_is_revoked_first(self) -> None:
        cell = make_cell(slots=2)
        once = events.VictimClass.once_model
        cell.handle(make_ask(0, tier=3, victim=once), 0)
        cell.handle(make_ask(1, tier=3), 0)
        cell.handle(make_ask(2, tier=0), 1)
        found = cell.handle(events.Tick(), 1.01 + PREEMPT_AFTER_S)
        assert found[0].request.number == 1


class TestHome:
    def test_new_home_grants_after_collecting_held_permits(self) -> None:
        cell = make_cell(slots=1)
        cell.handle(events.Collect(1.0), 0)
        assert not cell.handle(make_ask(0), 0.5)
        cell.handle(events.Held(make_ask(1), 'e0'), 0.6)
        assert not cell.handle(events.Tick(), 1.5)
        found = cell.handle(release(1, events.Ending.completed), 2)
        assert [decision.request.number for decision in found] == [0]

    def test_permits_of_lost_entry_are_freed(self) -> None:
        cell = make_cell(slots=1)
        cell.handle(make_ask(0), 0)
        other = events.RequestKey('other', 1)
        cell.handle(make_ask(1, request=other), 0)
        found = cell.handle(events.EntryGone('h'), 1)
        assert [decision.request for decision in found] == [other]

    def test_only_cells_of_lost_host_change_home(self) -> None:
        hosts = [f'h{number}' for number in range(14)]
        cells = [f'cell{number}' for number in range(200)]
        before = {cell: home_of(cell, hosts) for cell in cells}
        for cell in cells:
            after = home_of(cell, hosts[1:])
            assert after == before[cell] or before[cell] == 'h0'


class TestLostFrames:
    def test_roll_frees_permit_after_lost_release(self) -> None:
        cell = make_cell(slots=1)
        cell.handle(make_ask(0), 0)
        cell.handle(make_ask(1), 0)
        roll = events.Roll('h', frozenset((1,)))
        assert not cell.handle(roll, 1)
        found = cell.handle(roll, 3)
        assert [decision.request.number for decision in found] == [1]

    def test_roll_removes_ask_after_lost_withdrawal(self) -> None:
        cell = make_cell(slots=1)
        cell.handle(make_ask(0), 0)
        cell.handle(make_ask(1), 0)
        cell.handle(events.Roll('h', frozenset((0,))), 3)
        assert not cell.state.asked_at

    def test_roll_does_not_affect_other_entries(self) -> None:
        cell = make_cell(slots=1)
        cell.handle(make_ask(0), 0)
        cell.handle(events.Roll('other', frozenset()), 9)
        assert len(cell.state.permits) == 1

    def test_grant_is_repeated_for_repeated_ask(self) -> None:
        cell = make_cell(slots=1)
        first = cell.handle(make_ask(0), 0)
        again = cell.handle(make_ask(0), 1)
        assert isinstance(again[0], events.Grant)
        assert again[0].endpoint == first[0].endpoint
        assert len(cell.state.permits) == 1

    def test_unacknowledged_revocation_is_repeated(self) -> None:
        cell = make_cell(slots=1)
        cell.handle(make_ask(0, tier=3), 0)
        cell.handle(make_ask(1, tier=0), 1)
        first = cell.handle(events.Tick(), 1.5)
        again = cell.handle(events.Tick(), 3)
        assert isinstance(first[0], events.Revoke)
        assert first == again
