"""Replay of a trace through the scheduling core and modelled engines.

A replay has its own clock, so that the same trace, seed and policy give the
same result, byte for byte.
"""

import heapq
from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from trefoilspool import events
from trefoilspool.cell import Cell
from trefoilspool.enginemodel import EngineModel, Sequence
from trefoilspool.policies import POLICIES
from trefoilspool.replayfaults import FAULTS
from trefoilspool.replayrecord import GrantSeen, ReplayRecord, Served
from trefoilspool.retries import RetryBudget
from trefoilspool.trace import FaultEvent, RequestEvent, Trace, hashes_of

__all__ = ['Replay']

TICK_S = 0.05
PACE_S = 0.5
RETRY_SHARE = 0.1
STORM_WAIT_S = 0.5
SETTLE_S = 5.0
CELL = 'cell'
ENTRY = 'entry'
NUMBERS = events.ATTEMPT_NUMBERS


class LateReport(NamedTuple):
    """Loads by engine at a time, told later."""

    at: float
    loads: Mapping[str, int]


class Step(NamedTuple):
    """A step that is due at a time; equal times keep their order."""

    when: float
    order: int
    step: Callable[..., None]
    arguments: tuple[object, ...]


class Live:
    """A request that has no final answer yet."""

    def __init__(self, request: RequestEvent, at: float) -> None:
        self.request = request
        self.arrived = at
        self.deadline = at + request.timeout_s
        self.number = request.number * NUMBERS
        self.attempts = 0
        self.asks = 0
        self.relayed = 0
        self.covered = 0
        self.computed = 0
        self.cause = 'discarded'
        self.first_at = 0.0
        self.endpoint = ''
        self.avoid: tuple[str, ...] = ()
        self.storms = 0


class Replay:
    """One run of a trace under one policy.

    Parameters
    ----------
    trace : Trace
        What arrives and what fails.
    policy : str
        A key of ``POLICIES``.
    """

    def __init__(self, trace: Trace, policy: str = 'tiered') -> None:
        self.trace = trace
        self.policy = policy
        self.cell = Cell(POLICIES[policy]())
        self.engines = {spec.name: EngineModel(spec) for spec in trace.engines}
        self.stepping: set[str] = set()
        self.live: dict[events.RequestKey, Live] = {}
        self.record = ReplayRecord()
        self.budget = RetryBudget()
        self.now = 0.0
        self.heap: list[Step] = []
        self.order = 0
        self.reports: deque[LateReport] = deque()
        self.usable = dict.fromkeys(self.engines, True)

    def run(self) -> ReplayRecord:
        """Replay the whole trace."""
        for spec in self.trace.engines:
            self.feed(self.seen(spec.name))
        for request in self.trace.requests:
            self.at(request.at, self.arrive, Live(request, request.at))
        for fault in self.trace.faults:
            self.at(fault.at, self.fail, fault)
        last = self.trace.requests[-1].at
        longest = max(one.timeout_s for one in self.trace.requests)
        self.at(0, self.tick, last + longest + SETTLE_S)
        self.at(PACE_S, self.pace, last + longest + SETTLE_S)
        while self.heap:
            due = heapq.heappop(self.heap)
            self.now = due.when
            due.step(*due.arguments)
        return self.record

    def at(self, when: float, step: Callable[..., None], *args: object) -> None:
        """Schedule a step."""
        self.order += 1
        heapq.heappush(self.heap, Step(when, self.order, step, args))

    def feed(self, event: events.Event) -> None:
        """Pass an event to the cell and act on its decisions."""
        for decision in self.cell.handle(event, self.now):
            ACTIONS[type(decision)](self, decision)

    def seen(self, name: str) -> events.EndpointSeen:
        """Return the membership event of an engine."""
        spec = self.engines[name].spec
        return events.EndpointSeen(
            name,
            spec.generation,
            spec.slots,
            self.usable[name],
        )

    def tick(self, until: float) -> None:
        """Pass time to the cell."""
        self.feed(events.Tick())
        if self.now < until:
            self.at(self.now + TICK_S, self.tick, until)

    def pace(self, until: float) -> None:
        """Tell speeds as entries see them, and late load reports."""
        for engine in self.engines.values():
            self.send_pace(engine)
        loads = {
            one.spec.name: len(one.batch) + len(one.queue)
            for one in self.engines.values()
        }
        lag = self.trace.header['report_lag_s']
        self.reports.append(LateReport(self.now, loads))
        while self.reports and self.reports[0].at <= self.now - lag:
            for name, load in self.reports.popleft().loads.items():
                self.feed(events.LoadReport(name, load, 0, lag))
        if self.now < until:
            self.at(self.now + PACE_S, self.pace, until)

    def send_pace(self, engine: EngineModel) -> None:
        """Tell the speed of one engine and start its next interval."""
        if engine.stream_seconds:
            streams = max(1, round(engine.stream_seconds / PACE_S))
            self.feed(
                events.Pace(
                    engine.spec.name,
                    streams,
                    engine.tokens,
                    engine.stream_seconds / streams,
                )
            )
        engine.tokens = 0
        engine.stream_seconds = 0

    def arrive(self, live: Live) -> None:
        """Take a request from a caller."""
        self.record.asked += 1
        self.budget.earn(live.request.workspace, RETRY_SHARE)
        self.ask(live)
        self.at(live.deadline, self.expire, live)

    def ask(self, live: Live) -> None:
        """Ask for a permit for the next attempt."""
        live.number += 1
        live.asks += 1
        live.endpoint = ''
        key = events.RequestKey(ENTRY, live.number)
        self.live[key] = live
        self.feed(self.make_ask(live))

    def make_ask(self, live: Live) -> events.Ask:
        """Return a request's ask."""
        request = live.request
        return events.Ask(
            events.RequestKey(ENTRY, live.number),
            CELL,
            request.workspace,
            request.kind,
            request.tier,
            request.weight,
            live.deadline,
            request.prompt_tokens + live.relayed,
            request.allowed_tokens - live.relayed,
            events.VictimClass(request.victim),
            hashes_of(request),
            live.avoid,
            request.interactive,
        )

    def grant(self, grant: events.Grant) -> None:
        """Dispatch to an engine."""
        live = self.live[grant.request]
        engine = self.engines[grant.endpoint]
        self.record.grants.append(
            GrantSeen(self.now, grant.endpoint, grant.tier),
        )
        if not engine.alive:
            live.avoid = (*live.avoid, grant.endpoint)
            self.release(grant.request, events.Ending.refused, None)
            self.at(self.now, self.ask, live)
            return
        self.dispatch(live, engine, grant.request)

    def dispatch(
        self,
        live: Live,
        engine: EngineModel,
        request: events.RequestKey,
    ) -> None:
        """Start a sequence."""
        hashes = hashes_of(live.request)
        prompt = live.request.prompt_tokens + live.relayed
        cached = engine.cached(hashes, prompt)
        best = max(
            one.cached(hashes, prompt)
            for one in self.engines.values()
            if one.alive
        )
        sequence = Sequence(
            request,
            prompt,
            cached,
            live.request.output_tokens - live.relayed,
            hashes,
        )
        sequence.started_at = self.now
        live.endpoint = engine.spec.name
        live.attempts += 1
        self.record.dispatched += 1
        self.record.prefill += sequence.prefill
        again = max(0, min(live.covered, prompt) - cached)
        self.record.waste[live.cause] += again
        self.record.waste['missed_prefix'] += best - cached
        engine.add(sequence)
        self.wake(engine)

    def wake(self, engine: EngineModel) -> None:
        """Start a step unless one is running."""
        name = engine.spec.name
        if name in self.stepping:
            return
        took = engine.begin()
        if took:
            self.stepping.add(name)
            self.at(self.now + took, self.step_end, engine, took)

    def step_end(self, engine: EngineModel, took: float) -> None:
        """End an engine's step."""
        self.stepping.discard(engine.spec.name)
        if not engine.alive:
            return
        done = engine.finish(self.now, took)
        for sequence in done.first:
            live = self.live.get(sequence.request)
            if live is not None and not live.first_at:
                live.first_at = self.now
        for ended in done.finished:
            self.complete(ended)
        if done.evicted:
            lag = self.trace.header['cache_lag_s']
            dropped = events.CacheEvent(
                engine.spec.name,
                tuple(done.evicted),
                gap=False,
            )
            self.at(self.now + lag, self.feed, dropped)
        self.wake(engine)

    def complete(self, sequence: Sequence) -> None:
        """Hand a whole answer to its caller."""
        live = self.live.get(sequence.request)
        if live is None:
            return
        live.relayed += sequence.produced
        self.release(sequence.request, events.Ending.completed, sequence)
        self.end(live, 'completed')

    def release(
        self,
        request: events.RequestKey,
        ending: events.Ending,
        sequence: Sequence | None,
    ) -> None:
        """Give a permit back."""
        self.live.pop(request, None)
        if sequence is None:
            self.feed(events.Release(request, ending, 0, 0, 0, 0, 0))
            return
        first = max(sequence.first_at - sequence.started_at, 0)
        prompt = sequence.cached + sequence.computed
        self.feed(
            events.Release(
                request,
                ending,
                first,
                prompt,
                sequence.cached,
                sequence.produced,
                self.now - sequence.first_at,
            )
        )

    def refuse(self, refusal: events.Refuse) -> None:
        """Answer a refused caller, who may ask again."""
        live = self.live.pop(refusal.request)
        shed = refusal.reason is events.Reason.shed
        if shed and self.cell.state.running_below(refusal.tier):
            self.record.inversions += 1
        if live.storms < self.trace.header['storm']:
            again = Live(live.request, self.now + STORM_WAIT_S)
            again.number = live.number
            again.storms = live.storms + 1
            self.at(again.arrived, self.arrive, again)
        self.end(live, 'refused')

    def revoke(self, revocation: events.Revoke) -> None:
        """Cancel a running request; a resumable one goes on elsewhere."""
        live = self.live[revocation.request]
        self.record.revoked += 1
        self.stop(live, 'cancelled', events.Ending.cancelled)
        if live.request.victim <= events.VictimClass.idempotent:
            self.at(self.now, self.ask, live)
        else:
            self.end(live, 'interrupted')

    def stop(self, live: Live, cause: str, ending: events.Ending) -> None:
        """Take a request out of its engine and count the lost prefill."""
        request = events.RequestKey(ENTRY, live.number)
        sequence = self.engines[live.endpoint].remove(request)
        if sequence is not None:
            live.relayed += sequence.produced
            live.cause = cause
            live.computed += sequence.computed
            covered = sequence.cached + sequence.computed
            live.covered = max(live.covered, covered)
        # Released at the next instant, since the cell is deciding now.
        self.at(self.now, self.release, request, ending, None)

    def expire(self, live: Live) -> None:
        """End a request at its deadline."""
        request = events.RequestKey(ENTRY, live.number)
        if self.live.get(request) is not live:
            return
        if live.endpoint:
            self.stop(live, 'discarded', events.Ending.cancelled)
            self.live.pop(request)
        else:
            self.live.pop(request)
            self.feed(events.Withdraw(request))
        self.end(live, 'late')

    def end(self, live: Live, outcome: str) -> None:
        """Record a request's outcome."""
        if outcome != 'completed':
            self.record.waste['discarded'] += live.computed
        produced = max(1, live.relayed - 1)
        first = live.first_at - live.arrived if live.first_at else 0
        gap = (self.now - live.first_at) / produced if live.first_at else 0
        self.record.served.append(
            Served(live.request, outcome, first, gap, live.attempts),
        )

    def fail(self, fault: FaultEvent) -> None:
        """Apply a fault."""
        FAULTS[fault.fault](self, fault)


ACTIONS: Mapping[type, Callable[..., None]] = {
    events.Grant: Replay.grant,
    events.Refuse: Replay.refuse,
    events.Revoke: Replay.revoke,
}
