"""Discrete-event simulation of the scheduling core with modelled engines.

A replay runs on simulated time, so that the same trace, seed and policy give
the same result, byte for byte.
"""

from collections.abc import Callable, Mapping

from trefoilspool import events
from trefoilspool.cell import Cell
from trefoilspool.enginemodel import EngineModel, Sequence
from trefoilspool.policies import POLICIES
from trefoilspool.replayrecord import GrantRecord, ReplayRecord, RequestOutcome
from trefoilspool.replayreports import EngineReports
from trefoilspool.replayrequests import LiveRequest
from trefoilspool.retries import RetryBudget
from trefoilspool.simulatedclock import SimulatedClock
from trefoilspool.trace import (
    FaultEvent,
    Trace,
    prompt_prefix_hashes,
)

__all__ = ['Replay']

RETRY_SHARE = 0.1  # retries that each request adds to the retry budget
STORM_RETRY_DELAY_S = 0.5
DRAIN_S = 5.0  # simulated time after the last deadline
CELL = 'cell'
ENTRY_HOST = 'entry'


class Replay:
    """Run of a trace under a policy.

    Parameters
    ----------
    trace : Trace
        Engines, requests and faults.
    policy : str
        A key of ``POLICIES``.
    fault_handlers : mapping
        By the kind of a fault, what it does to the replay; see
        `replayfaults`.

    Attributes
    ----------
    stepping : set of str
        Engines with a batch step in progress.
    live : dict of RequestKey to LiveRequest
        Requests that wait for a permit or hold one.
    clock : SimulatedClock
        Simulated time and the calls to make.
    usable : dict of str to bool
        Whether the membership lists an engine as usable.
    """

    def __init__(
        self,
        trace: Trace,
        policy: str,
        fault_handlers: Mapping[str, Callable[..., None]],
    ) -> None:
        self.trace = trace
        self.policy = policy
        self.fault_handlers = fault_handlers
        self.cell = Cell(POLICIES[policy]())
        self.engines = {spec.name: EngineModel(spec) for spec in trace.engines}
        self.stepping: set[str] = set()
        self.live: dict[events.RequestKey, LiveRequest] = {}
        self.record = ReplayRecord()
        self.retry_budget = RetryBudget()
        self.clock = SimulatedClock()
        self.usable = dict.fromkeys(self.engines, True)

    def run(self) -> ReplayRecord:
        """Replay the whole trace and return the measurements."""
        for spec in self.trace.engines:
            self.feed(self.endpoint_seen(spec.name))
        for request in self.trace.requests:
            self.clock.schedule(
                request.at, self.arrive, LiveRequest(request, request.at)
            )
        for fault in self.trace.faults:
            self.clock.schedule(fault.at, self.apply_fault, fault)
        last_at = self.trace.requests[-1].at
        longest_s = max(event.timeout_s for event in self.trace.requests)
        reports = EngineReports(
            self.engines,
            self.trace.header['report_lag_s'],
            self.clock,
            self.feed,
        )
        reports.start(last_at + longest_s + DRAIN_S)
        self.clock.run()
        return self.record

    def feed(self, event: events.Event) -> None:
        """Pass an event to the cell and apply its decisions."""
        for decision in self.cell.handle(event, self.clock.now):
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

    def arrive(self, live: LiveRequest) -> None:
        """Accept a request from a caller and schedule its deadline."""
        self.record.asked += 1
        self.retry_budget.earn(live.request.workspace, RETRY_SHARE)
        self.ask(live)
        self.clock.schedule(live.deadline, self.expire, live)

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
            GrantRecord(self.clock.now, grant.endpoint, grant.tier),
        )
        if not engine.alive:
            live.avoid = (*live.avoid, grant.endpoint)
            self.release(grant.request, events.Ending.refused, None)
            self.clock.schedule(self.clock.now, self.ask, live)
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
        sequence.started_at = self.clock.now
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
            self.clock.schedule(
                self.clock.now + duration_s, self.end_step, engine, duration_s
            )

    def end_step(self, engine: EngineModel, duration_s: float) -> None:
        """Apply the result of a batch step and start the next one."""
        self.stepping.discard(engine.spec.name)
        if not engine.alive:
            return
        result = engine.end_step(self.clock.now, duration_s)
        for sequence in result.first_tokens:
            live = self.live.get(sequence.request)
            if live is not None and not live.first_token_at:
                live.first_token_at = self.clock.now
        for finished in result.finished:
            self.complete(finished)
        if result.evicted:
            lag_s = self.trace.header['cache_lag_s']
            eviction = events.CacheEvent(
                engine.spec.name,
                tuple(result.evicted),
                gap=False,
            )
            self.clock.schedule(self.clock.now + lag_s, self.feed, eviction)
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
                self.clock.now - sequence.first_token_at,
            )
        )

    def on_refuse(self, refusal: events.Refuse) -> None:
        """Record a refusal; in a storm, let the caller ask again later."""
        live = self.live.pop(refusal.request)
        is_shed = refusal.reason is events.Reason.shed
        if is_shed and self.cell.state.running_below(refusal.tier):
            self.record.inversions += 1
        if live.storm_retries < self.trace.header['storm']:
            retry = LiveRequest(
                live.request, self.clock.now + STORM_RETRY_DELAY_S
            )
            retry.number = live.number
            retry.storm_retries = live.storm_retries + 1
            self.clock.schedule(retry.arrived, self.arrive, retry)
        self.record_outcome(live, 'refused')

    def on_revoke(self, revocation: events.Revoke) -> None:
        """Cancel a running request, and retry it if it can be run again."""
        live = self.live[revocation.request]
        self.record.revoked += 1
        self.cancel_attempt(live, 'cancelled', events.Ending.cancelled)
        if live.request.victim <= events.VictimClass.idempotent:
            self.clock.schedule(self.clock.now, self.ask, live)
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
        self.clock.schedule(self.clock.now, self.release, request, ending, None)

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
            (self.clock.now - live.first_token_at) / gaps
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
        self.fault_handlers[fault.fault](self, fault)


DECISION_HANDLERS: Mapping[type, Callable[..., None]] = {
    events.Grant: Replay.on_grant,
    events.Refuse: Replay.on_refuse,
    events.Revoke: Replay.on_revoke,
}
