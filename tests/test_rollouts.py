"""Roll-outs, decided on drawn traffic without a network."""

import heapq
import itertools
import math
import os
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import pytest

from trefoilspool.replica import Position
from trefoilspool.rollouts.coordinator import Coordinator
from trefoilspool.rollouts.evidence import GROUPS, OTHERS, UsedEndpoint
from trefoilspool.rollouts.gate import RolloutGate
from trefoilspool.rollouts.messages import (
    Phase,
    RolloutOrder,
    RolloutStatus,
    State,
    TargetUse,
)
from trefoilspool.rollouts.progress import ReportSource
from trefoilspool.rollouts.rules import candidate_groups, usable
from trefoilspool.slotmessages import AttemptEnding

DRAWN = int(os.environ.get('TREFOILSPOOL_TEST_ROLLOUTS', '40'))
SHARE = 0.1
TOLERANCE = 50
ROLLBACK_S = 5.0
BAD_ANSWERS = 50
OLD, NEW = 'v1', 'v2'
ROUTES = ('chat', 'look', 'tag')
REPORT_S = 0.4
STEP_S = 0.1


class Endpoint(NamedTuple):
    name: str
    software: str


class Answer(NamedTuple):
    """When an attempt ends, and how."""

    at: float
    number: int
    host: int
    route: str
    endpoint: str
    ending: AttemptEnding
    first_byte_s: float


class Fault(NamedTuple):
    """What is wrong with the new version, or with some endpoints."""

    share: float = 0.0  # of its responses
    factor: float = 0.0  # slower; failures if 0
    since_s: float = 0.0
    load: float = 0.0  # only above this share of the usual load
    routes: tuple[str, ...] = ROUTES
    endpoints: frozenset[str] = frozenset()  # these instead of the version


class World:
    """Hosts and endpoints of a service, and a home host's coordinator."""

    def __init__(self, seed: int, fault: Fault, **changes: float) -> None:
        self.random = random.Random(seed)
        random.seed(seed)
        self.fault = fault
        self.duration_s = changes.get('duration_s') or self.random.choice(
            (12, 20, 30, 60)
        )
        self.per_s = changes.get('per_s') or self.random.choice((100, 200, 300))
        self.hosts = self.random.choice((14, 28, 98))
        servers = self.random.choice((9, 30))
        self.endpoints = [
            Endpoint(f'{software}-{number:02}', software)
            for software in (OLD, NEW)
            for number in range(servers)
        ]
        self.usual_load = self.per_s / servers
        self.order = RolloutOrder(
            'engines', NEW, self.duration_s, Position(0, 3)
        )
        self.gates = [RolloutGate() for _ in range(self.hosts)]
        for gate in self.gates:
            gate.on_order(self.order, 0)
        self.coordinator = Coordinator()
        self.running: list[Answer] = []
        self.numbers = itertools.count()
        self.open: Counter[tuple[int, str]] = Counter()
        self.sent: Counter[str] = Counter()
        self.bad_at: list[float] = []
        self.sent_at: list[float] = []
        self.state = State.in_progress
        self.final_at = math.inf
        self.recent: Counter[str] = Counter()
        self.failing = frozenset[str]()

    def run(self, until_s: float | None = None) -> 'World':
        now = 0.0
        reported = [self.random.random() * REPORT_S for _ in self.gates]
        end = until_s or self.duration_s + 12
        while now < end:
            self.requests(now)
            now += STEP_S
            self.end_requests(now)
            for host, at in enumerate(reported):
                if now >= at:
                    reported[host] = now + REPORT_S
                    self.report(host, now)
            self.decide(now)
        return self

    def requests(self, now: float) -> None:
        self.recent = Counter(
            {name: count * 0.9 for name, count in self.recent.items()}
        )
        for _ in range(self.poisson(self.per_s * STEP_S)):
            self.request(now + self.random.random() * STEP_S)

    def poisson(self, mean: float) -> int:
        limit, count, product = math.exp(-mean), 0, self.random.random()
        while product > limit:
            count += 1
            product *= self.random.random()
        return count

    def request(self, now: float) -> None:
        host = self.random.randrange(self.hosts)
        gate = self.gates[host]
        rule = gate.rule('engines', None, now)
        eligible = usable(rule, self.endpoints)
        groups = candidate_groups(rule, self.endpoints, eligible)
        chosen = min(
            groups[0],
            key=lambda endpoint: (
                self.recent[endpoint.name],
                self.random.random(),
            ),
        )
        gate.on_granted('engines', rule, self.used(chosen))
        self.recent[chosen.name] += 1
        self.open[host, chosen.software] += 1
        self.sent[chosen.software] += now <= self.duration_s
        if chosen.software == NEW:
            self.sent_at.append(now)
        answer = self.answer(host, chosen, now)
        heapq.heappush(self.running, answer)

    def used(self, endpoint: Endpoint) -> UsedEndpoint:
        number = int(endpoint.name.partition('-')[2])
        group = number % GROUPS if endpoint.software == NEW else OTHERS
        return UsedEndpoint(*endpoint, group, 0)

    def answer(self, host: int, endpoint: Endpoint, now: float) -> Answer:
        route = self.random.choice(ROUTES)
        median = 0.05 * (1 + ROUTES.index(route))
        seconds = median * self.random.lognormvariate(0, 0.4)
        ending = AttemptEnding.completed
        if endpoint.name in self.failing:
            ending = AttemptEnding.failed
        elif self.is_bad(endpoint, route, now):
            if self.fault.factor:
                seconds *= self.fault.factor
            else:
                ending = AttemptEnding.failed
            if endpoint.software == NEW:
                self.bad_at.append(now + seconds)
        return Answer(
            now + seconds,
            next(self.numbers),
            host,
            route,
            endpoint.name,
            ending,
            seconds,
        )

    def is_bad(self, endpoint: Endpoint, route: str, now: float) -> bool:
        fault = self.fault
        if fault.endpoints:
            matches = endpoint.name in fault.endpoints
        else:
            matches = endpoint.software == NEW
        # ``recent`` sums up to ten times what comes in a step.
        load = self.recent[endpoint.name] / (self.usual_load + 1e-9)
        is_on = now >= fault.since_s and load >= fault.load
        if not (matches and is_on and route in fault.routes):
            return False
        return self.random.random() < fault.share

    def end_requests(self, now: float) -> None:
        while self.running and self.running[0].at <= now:
            ended = heapq.heappop(self.running)
            software = ended.endpoint.partition('-')[0]
            self.open[ended.host, software] -= 1
            self.gates[ended.host].on_end(
                'engines',
                ended.route,
                ended.endpoint,
                ended.ending,
                ended.first_byte_s,
                None,
                ended.at,
            )

    def report(self, host: int, now: float) -> None:
        for report in self.gates[host].reports(
            lambda service, target: self.open[host, OLD]
        ):
            self.coordinator.on_report(ReportSource(f'h{host}', 1), report, now)

    def decide(self, now: float) -> None:
        names = frozenset(f'h{host}' for host in range(self.hosts))
        self.coordinator.follow(self.gates[0].announcements(), now)
        self.coordinator.tick(names, now)
        due = self.coordinator.due_states(names, now)
        for state in due.values():
            self.store(state, now)
        for decision in self.coordinator.take_decisions():
            for gate in self.gates:
                gate.on_announcement(decision.announcement, 0, now)

    def store(self, state: State, now: float) -> None:
        if state is not State.in_progress:
            self.state = state
            self.final_at = min(self.final_at, now)
            if state is State.completed:
                assert not any(self.open[host, OLD] for host in range(98))
        status = RolloutStatus('engines', NEW, state, self.order.position, 0)
        self.coordinator.on_stored(status, now, now)

    @property
    def phase(self) -> Phase:
        return self.coordinator.rollouts['engines'].phase

    def check_exposure(self) -> None:
        """Check the share, and that nothing is sent after the bad answers."""
        allowed = SHARE * sum(self.sent.values()) + TOLERANCE
        assert self.sent[NEW] <= allowed
        if len(self.bad_at) >= BAD_ANSWERS:
            last = sorted(self.bad_at)[BAD_ANSWERS - 1] + ROLLBACK_S
            assert max(self.sent_at) <= last


BAD = {
    'fails always': Fault(share=0.5),
    'fails seldom': Fault(share=0.05),
    'three times slower': Fault(share=0.5, factor=3),
    'ten times slower': Fault(share=0.5, factor=10),
    'fails after 6 s': Fault(share=0.5, since_s=6),
    'fails under load': Fault(share=0.5, load=0.5),
    'fails on a route': Fault(share=0.5, routes=('tag',)),
    'slow on a route': Fault(share=0.5, factor=10, routes=('chat',)),
}


class TestBadVersion:
    @pytest.mark.parametrize('name', BAD)
    def test_is_reverted(self, name: str) -> None:
        for seed in range(max(1, DRAWN // len(BAD))):
            world = World(seed, BAD[name]).run()
            assert world.state is State.reverted, seed
            world.check_exposure()

    def test_step_after_a_doubt_fits_the_budget(self) -> None:
        """Seed 13 drained to a version that is bad at full load only."""
        world = World(13, BAD['fails under load']).run()
        assert world.state is State.reverted
        world.check_exposure()


class TestGoodVersion:
    @pytest.mark.parametrize(
        'disturb',
        (
            lambda world: Fault(),
            lambda world: Fault(share=0.5, endpoints=frozenset((f'{NEW}-00',))),
            lambda world: Fault(
                share=0.4,
                endpoints=frozenset((f'{NEW}-01', f'{OLD}-01')),
            ),
        ),
        ids=('calm', 'a grey endpoint', 'grey endpoints of both'),
    )
    def test_is_completed_in_time(
        self, disturb: Callable[[World], Fault]
    ) -> None:
        reverted = 0
        drawn = max(4, DRAWN // 4)
        for seed in range(drawn):
            world = World(seed, Fault())
            world.fault = disturb(world)
            world.run()
            reverted += world.state is not State.completed
            if world.state is State.completed:
                assert world.final_at <= world.duration_s
        # One in a hundred may be reverted for another cause.
        assert reverted <= drawn // 100


class TestGate:
    def gate(self, phase: Phase, share: float) -> RolloutGate:
        gate = RolloutGate()
        order = RolloutOrder('engines', NEW, 20, Position(0, 3))
        gate.on_order(order, 0)
        announcement = gate.services['engines'].announcement
        gate.on_announcement(
            announcement._replace(phase=phase, share=share), 0, 0
        )
        return gate

    def test_share_holds_on_each_host(self) -> None:
        gate = self.gate(Phase.canary, 0.1)
        exposed = 0
        for sent in range(1, 1000):
            rule = gate.rule('engines', None, 0)
            to_target = rule.use is TargetUse.preferred
            software = NEW if to_target else OLD
            used = UsedEndpoint('e', software, 0, 0)
            gate.on_granted('engines', rule, used)
            exposed += to_target
            assert exposed <= 0.1 * sent + 1

    def test_unsent_requests_cost_nothing(self) -> None:
        gate = self.gate(Phase.canary, 0.1)
        gate.services['engines'].credit = 1.5
        rule = gate.rule('engines', None, 0)
        assert rule.use is TargetUse.preferred
        gate.on_refused('engines', rule)
        assert gate.services['engines'].credit == 1.5

    def test_order_without_a_decision_sends_nothing(self) -> None:
        gate = RolloutGate()
        gate.on_order(RolloutOrder('engines', NEW, 20, Position(0, 3)), 0)
        assert gate.rule('engines', None, 0).use is TargetUse.avoided

    def test_found_bad_is_not_used_again(self) -> None:
        gate = self.gate(Phase.reverted, 0)
        announcement = gate.services['engines'].announcement
        late = announcement._replace(phase=Phase.canary, share=0.1)
        assert not gate.on_announcement(late, 0, 1)
        assert gate.rule('engines', None, 1).use is TargetUse.forbidden
        assert gate.rule('engines', NEW, 1).use is TargetUse.forbidden

    def test_stored_state_holds_over_a_late_decision(self) -> None:
        gate = self.gate(Phase.reverted, 0)
        announcement = gate.services['engines'].announcement
        stored = announcement._replace(phase=Phase.completed, is_stored=True)
        assert gate.on_announcement(stored, 0, 1)
        assert not gate.on_announcement(announcement, 0, 2)
        assert gate.rule('engines', None, 2) is None

    def test_new_order_replaces_the_old(self) -> None:
        gate = self.gate(Phase.reverted, 0)
        gate.on_order(RolloutOrder('engines', NEW, 20, Position(0, 9)), 1)
        assert gate.phase('engines') is Phase.held
        gate.on_order(RolloutOrder('engines', NEW, 20, Position(0, 3)), 1)
        announcement = gate.services['engines'].announcement
        assert announcement.order.position.offset == 9

    def test_order_of_a_restored_store_is_the_same(self) -> None:
        gate = self.gate(Phase.draining, 1)
        gate.on_order(RolloutOrder('engines', NEW, 20, Position(1, 2)), 1)
        assert gate.phase('engines') is Phase.draining

    def test_stream_goes_on_where_it_began(self) -> None:
        gate = self.gate(Phase.draining, 1)
        assert gate.rule('engines', OLD, 0) is None
        assert gate.rule('engines', None, 0).use is TargetUse.required


class TestLostHome:
    def test_new_home_goes_on(self) -> None:
        world = World(1, Fault(), duration_s=20, per_s=200)
        world.run(until_s=4)
        assert world.phase is Phase.canary
        world.coordinator = Coordinator()
        world.run()
        assert world.state is State.completed

    def test_store_is_silent(self) -> None:
        """A bad version goes out without the store; none completes."""
        for fault, phase in (
            (Fault(share=0.5), Phase.reverted),
            (Fault(), Phase.draining),
        ):
            world = World(2, fault, duration_s=20, per_s=200)
            world.store = lambda state, now: None  # type: ignore[method-assign]
            world.run()
            assert world.phase is phase
            if fault.share:
                world.check_exposure()

    def test_host_that_does_not_answer_delays_the_end(self) -> None:
        world = World(3, Fault(), duration_s=12, per_s=200)
        report = world.report
        world.report = (  # type: ignore[method-assign]
            lambda host, now: report(host, now) if host else None
        )
        world.run(until_s=15)
        assert world.state is State.in_progress
        world.run(until_s=24)
        assert world.state is State.completed
