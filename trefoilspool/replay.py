"""Discrete-event simulation of the scheduling core with modelled engines.

A replay runs on simulated time, so that the same trace, seed and policy give
the same result, byte for byte.
"""

import heapq
from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from trefoilspool import events
from trefoilspool.cell import Cell
from trefoilspool.enginemodel import EngineModel, Sequence
from trefoilspool.policies import POLICIES
from trefoilspool.replayfaults import FAULT_HANDLERS
from trefoilspool.replayrecord import GrantRecord, ReplayRecord, RequestOutcome
from trefoilspool.retries import RetryBudget
from trefoilspool.trace import (
    FaultEvent,
    RequestEvent,
    Trace,
    prompt_prefix_hashes,
)

__all__ = ['Replay']

TICK_S = 0.05
PACE_INTERVAL_S = 0.5
RETRY_SHARE = 0.1  # retries that each request adds to the retry budget
STORM_RETRY_DELAY_S = 0.5
DRAIN_S = 5.0  # simulated time after the last deadline
CELL = 'cell'
ENTRY_HOST = 'entry'
NUMBERS_PER_REQUEST = events.NUMBERS_PER_REQUEST


class DelayedReport(NamedTuple):
    """Load of each engine at a time, which the cell receives later."""

    at: float
    loads: Mapping[str, int]


class ScheduledCall(NamedTuple):
    """A call that is due at a time; ``order`` breaks ties by insertion."""

    when: float
    order: int
    callback: Callable[..., None]
    arguments: tuple[object, ...]


class LiveRequest:
    """A request without a final outcome.

    Parameters
    ----------
    request : RequestEvent
        The arrival in the trace.
    at : float
        Time at which the caller asks, in seconds.

    Attributes
    ----------
    number : int
        Number of the current attempt.
    attempts, asks : int
        Dispatches to an engine, and permits asked for.
    relayed_tokens : int
        Output tokens of all attempts; a resumed attempt starts after them.
    covered_tokens : int
        Most prompt tokens that an attempt had cached or computed.
    computed_tokens : int
        Prompt tokens computed by attempts that were cancelled or broken.
    waste_cause : str
        Cause that prefill repeated by the next attempt is counted under.
    endpoint : str
        Engine of the current attempt, empty until it is dispatched.
    avoid : tuple of str
        Engines that the next attempt should not use.
    storm_retries : int
        How often the caller has asked again after a refusal.
    """

    def __init__(self, request: RequestEvent, at: float) -> None:
        self.request = request
        self.arrived = at
        self.deadline = at + request.timeout_s
        self.number = request.number * NUMBERS_PER_REQUEST
        self.attempts = 0
        self.asks = 0
        self.relayed_tokens = 0
        self.covered_tokens = 0
        self.computed_tokens = 0
        self.waste_cause = 'discarded'
        self.first_token_at = 0.0
        self.endpoint = ''
        self.avoid: tuple[str, ...] = ()
        self.storm_retries = 0


class Replay:
    """Run of a trace under a policy.

    Parameters
    ----------
    trace : Trace
        Engines, requests and faults.
    policy : str
        A key of ``POLICIES``.

    Attributes
    ----------
    stepping : set of str
        Engines with a batch step in progress.
    live : dict of RequestKey to LiveRequest
        Requests that wait for a permit or hold one.
    now : float
        Simulated time in seconds.
    heap : list of ScheduledCall
        Heap of the calls to make.
    reports : deque of DelayedReport
        Load reports that the cell has not received yet.
    usable : dict of str to bool
        Whether the membership lists an engine as usable.
    """

    def __init__(self, trace: Trace, policy: str = 'tiered') -> None:
        self.trace = trace
        self.policy = policy
        self.cell = Cell(POLICIES[policy]())
        self.engines = {spec.name: EngineModel(spec) for spec in trace.engines}
        self.stepping: set[str] = set()
        self.live: dict[events.RequestKey, LiveRequest] = {}
        self.record = ReplayRecord()
        self.retry_budget = RetryBudget()
        self.now = 0.0
        self.heap: list[ScheduledCall] = []
        self.order = 0
        self.reports: deque[DelayedReport] = deque()
        self.usable = dict.fromkeys(self.engines, True)

    def run(self) -> ReplayRecord:
        """Replay the whole trace and return the measurements."""
        for spec in self.trace.engines:
            self.feed(self.endpoint_seen(spec.name))
        for request in self.trace.requests:
            self.schedule(
                request.at, self.arrive, LiveRequest(request, request.at)
            )
        for fault in self.trace.faults:
            self.schedule(fault.at, self.apply_fault, fault)
        last_at = self.trace.requests[-1].at
        longest_s = max(event.timeout_s for event in self.trace.requests)
        self.schedule(0, self.tick, last_at + longest_s + DRAIN_S)
        self.schedule(
            PACE_INTERVAL_S, self.send_reports, last_at + longest_s + DRAIN_S
        )
        while self.heap:
            call = heapq.heappop(self.heap)
            self.now = call.when
            call.callback(*call.arguments)
        return self.record

    def schedule(
        self,
        when: float,
        callback: Callable[..., None],
        *args: object,
    ) -> None:
        """Schedule a call at a simulated time."""
        self.order += 1
        heapq.heappush(
            self.heap, ScheduledCall(when, self.order, callback, args)
        )

    def feed(self, event: events.Event) -> None:
        """Pass an event to the cell and apply its decisions."""
        for decision in self.cell.handle(event, self.now):
            DECISION_HANDLERS[type(decision)](self, decision)

    def endpoint_seen(self, name: str) -> events.EndpointSeen:
        """Return an engine's state as the membership reports it."""
        spec = self.engines[name].spec
        return events.EndpointSeen(
            name,
            spec.generation,
            spec.slots,
            self.usable[name],
        )

    def tick(self, until: float) -> None:
        """Pass a tick to the cell and schedule the next one."""
        self.feed(events.Tick())
        if self.now < until:
            self.schedule(self.now + TICK_S, self.tick, until)

    def send_reports(self, until: float) -> None:
        """Send the pace of each engine, and the load reports that are due."""
        for engine in self.engines.values():
            self.send_pace(engine)
        loads = {
            model.spec.name: len(model.batch) + len(model.queue)
            for model in self.engines.values()
        }
        lag_s = self.trace.header['report_lag_s']
        self.reports.append(DelayedReport(self.now, loads))
        while self.reports and self.reports[0].at <= self.now - lag_s:
            for name, load in self.reports.popleft().loads.items():
                self.feed(events.LoadReport(name, load, 0, lag_s))
        if self.now < until:
            self.schedule(self.now + PACE_INTERVAL_S, self.send_reports, until)

    def send_pace(self, engine: EngineModel) -> None:
        """Send an engine's pace, then reset the entry host's measurement."""
        if engine.stream_s:
            streams = max(1, round(engine.stream_s / PACE_INTERVAL_S))
            self.feed(
                events.Pace(
                    engine.spec.name,
                    streams,
                    engine.decoded_tokens,
                    engine.stream_s / streams,
                )
            )
        engine.decoded_tokens = 0
        engine.stream_s = 0

    def arrive(self, live: LiveRequest) -> None:
        """Accept a request from a caller and schedule its deadline."""
        self.record.asked += 1
        self.retry_budget.earn(live.request.workspace, RETRY_SHARE)
        self.ask(live)
        self.schedule(live.deadline, self.expire, live)

    def ask(self, live: LiveRequest) -> None:
        """Ask for a permit for the next attempt."""
        live.number += 1
        live.asks += 1
        live.endpoint = ''
        key = events.RequestKey(ENTRY_HOST, live.number)
        self.live[key] = live
        self.feed(self.make_ask(live))

    def make_ask(self, live: LiveRequest) -> events.Ask:
        """Return the event that asks for a permit for a request."""
        request = live.request
        return events.Ask(
            events.RequestKey(ENTRY_HOST, live.number),
            CELL,
            request.workspace,
            request.kind,
            request.tier,
            request.weight,
            live.deadline,
            request.prompt_tokens + live.relayed_tokens,
            request.allowed_tokens - live.relayed_tokens,
            events.VictimClass(request.victim),
            prompt_prefix_hashes(request),
            live.avoid,
            request.interactive,
        )

    def on_grant(self, grant: events.Grant) -> None:
        """Dispatch a request to its granted engine.

        A crashed engine refuses the request, which then asks for a permit at
        another one.
        """
        live = self.live[grant.request]
        engine = self.engines[grant.endpoint]
        self.record.grants.append(
            GrantRecord(self.now, grant.endpoint, grant.tier),
        )
        if not engine.alive:
            live.avoid = (*live.avoid, grant.endpoint)
            self.release(grant.request, events.Ending.refused, None)
            self.schedule(self.now, self.ask, live)
            return
        self.dispatch(live, engine, grant.request)

    def dispatch(
        self,
        live: LiveRequest,
        engine: EngineModel,
        request: events.RequestKey,
    ) -> None:
        """Queue a sequence at an engine and count the wasted prefill."""
        prefix_hashes = prompt_prefix_hashes(live.request)
        prompt_tokens = live.request.prompt_tokens + live.relayed_tokens
        cached_tokens = engine.cached_prefix_tokens(
            prefix_hashes, prompt_tokens
        )
        best_cached_tokens = max(
            candidate.cached_prefix_tokens(prefix_hashes, prompt_tokens)
            for candidate in self.engines.values()
            if candidate.alive
        )
        sequence = Sequence(
            request,
            prompt_tokens,
            cached_tokens,
            live.request.output_tokens - live.relayed_tokens,
            prefix_hashes,
        )
        sequence.started_at = self.now
        live.endpoint = engine.spec.name
        live.attempts += 1
        self.record.dispatched += 1
        self.record.prefill_tokens += sequence.prefill_left
        recomputed_tokens = max(
            0, min(live.covered_tokens, prompt_tokens) - cached_tokens
        )
        self.record.waste[live.waste_cause] += recomputed_tokens
        self.record.waste['missed_prefix'] += best_cached_tokens - cached_tokens
        engine.enqueue(sequence)
        self.start_step(engine)

    def start_step(self, engine: EngineModel) -> None:
        """Start a batch step unless one is in progress."""
        name = engine.spec.name
        if name in self.stepping:
            return
        duration_s = engine.begin_step()
        if duration_s:
            self.stepping.add(name)
            self.schedule(
                self.now + duration_s, self.end_step, engine, duration_s
            )

    def end_step(self, engine: EngineModel, duration_s: float) -> None:
        """Apply the result of a batch step and start the next one."""
        self.stepping.discard(engine.spec.name)
        if not engine.alive:
            return
        result = engine.end_step(self.now, duration_s)
        for sequence in result.first_tokens:
            live = self.live.get(sequence.request)
            if live is not None and not live.first_token_at:
                live.first_token_at = self.now
        for finished in result.finished:
            self.complete(finished)
        if result.evicted:
            lag_s = self.trace.header['cache_lag_s']
            eviction = events.CacheEvent(
                engine.spec.name,
                tuple(result.evicted),
                gap=False,
            )
            self.schedule(self.now + lag_s, self.feed, eviction)
        self.start_step(engine)

    def complete(self, sequence: Sequence) -> None:
        """Complete a request whose last token was generated."""
        live = self.live.get(sequence.request)
        if live is None:
            return
        live.relayed_tokens += sequence.output_tokens
        self.release(sequence.request, events.Ending.completed, sequence)
        self.record_outcome(live, 'completed')

    def release(
        self,
        request: events.RequestKey,
        ending: events.Ending,
        sequence: Sequence | None,
    ) -> None:
        """Release a permit; the timings are zero without a sequence."""
        self.live.pop(request, None)
        if sequence is None:
            self.feed(events.Release(request, ending, 0, 0, 0, 0, 0))
            return
        first_token_s = max(sequence.first_token_at - sequence.started_at, 0)
        prompt_tokens = sequence.cached_tokens + sequence.computed_tokens
        self.feed(
            events.Release(
                request,
                ending,
                first_token_s,
                prompt_tokens,
                sequence.cached_tokens,
                sequence.output_tokens,
                self.now - sequence.first_token_at,
            )
        )

    def on_refuse(self, refusal: events.Refuse) -> None:
        """Record a refusal; in a storm, let the caller ask again later."""
        live = self.live.pop(refusal.request)
        is_shed = refusal.reason is events.Reason.shed
        if is_shed and self.cell.state.running_below(refusal.tier):
            self.record.inversions += 1
        if live.storm_retries < self.trace.header['storm']:
            retry = LiveRequest(live.request, self.now + STORM_RETRY_DELAY_S)
            retry.number = live.number
            retry.storm_retries = live.storm_retries + 1
            self.schedule(retry.arrived, self.arrive, retry)
        self.record_outcome(live, 'refused')

    def on_revoke(self, revocation: events.Revoke) -> None:
        """Cancel a running request, and retry it if it can be run again."""
        live = self.live[revocation.request]
        self.record.revoked += 1
        self.cancel_attempt(live, 'cancelled', events.Ending.cancelled)
        if live.request.victim <= events.VictimClass.idempotent:
            self.schedule(self.now, self.ask, live)
        else:
            self.record_outcome(live, 'interrupted')

    def cancel_attempt(
        self,
        live: LiveRequest,
        waste_cause: str,
        ending: events.Ending,
    ) -> None:
        """Remove a request from its engine and count the prefill it lost."""
        request = events.RequestKey(ENTRY_HOST, live.number)
        sequence = self.engines[live.endpoint].remove(request)
        if sequence is not None:
            live.relayed_tokens += sequence.output_tokens
            live.waste_cause = waste_cause
            live.computed_tokens += sequence.computed_tokens
            covered_tokens = sequence.cached_tokens + sequence.computed_tokens
            live.covered_tokens = max(live.covered_tokens, covered_tokens)
        # Deferred, since the cell may be in the middle of an event.
        self.schedule(self.now, self.release, request, ending, None)

    def expire(self, live: LiveRequest) -> None:
        """End a request at its deadline."""
        request = events.RequestKey(ENTRY_HOST, live.number)
        if self.live.get(request) is not live:
            return
        if live.endpoint:
            self.cancel_attempt(live, 'discarded', events.Ending.cancelled)
            self.live.pop(request)
        else:
            self.live.pop(request)
            self.feed(events.Withdraw(request))
        self.record_outcome(live, 'late')

    def record_outcome(self, live: LiveRequest, outcome: str) -> None:
        """Record a request's outcome."""
        if outcome != 'completed':
            self.record.waste['discarded'] += live.computed_tokens
        gaps = max(1, live.relayed_tokens - 1)
        first_token_s = (
            live.first_token_at - live.arrived if live.first_token_at else 0
        )
        gap_s = (
            (self.now - live.first_token_at) / gaps
            if live.first_token_at
            else 0
        )
        self.record.outcomes.append(
            RequestOutcome(
                live.request, outcome, first_token_s, gap_s, live.attempts
            ),
        )

    def apply_fault(self, fault: FaultEvent) -> None:
        """Start or end a fault."""
        FAULT_HANDLERS[fault.fault](self, fault)


DECISION_HANDLERS: Mapping[type, Callable[..., None]] = {
    events.Grant: Replay.on_grant,
    events.Refuse: Replay.on_refuse,
    events.Revoke: Replay.on_revoke,
}
