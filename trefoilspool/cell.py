"""The scheduling core of one cell: turns events into decisions.

A cell uses no sockets, clock or threads, so the same events at the same
times always produce the same decisions.
"""

import heapq
import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

from trefoilspool import events
from trefoilspool.admission import Admission
from trefoilspool.cellstate import (
    SAFETY_FACTOR,
    CellState,
    EndpointState,
    PermitRecord,
    Revocation,
)
from trefoilspool.granter import MAX_HEADS, Granter
from trefoilspool.policies.tiered import Tiered
from trefoilspool.policy import Policy
from trefoilspool.preemption import Preemption

__all__ = ['Cell']

# Events that change the free permits of at most one endpoint.
SINGLE_ENDPOINT_EVENTS = (events.Ask, events.Release)
ROLL_GRACE_S = 2.0  # a grant or ask this recent may still be in transit
REVOKE_RESEND_S = 1.0
MAX_WAITING_REQUESTS = 20_000

Decisions = list[events.Decision]


class LatestStart(NamedTuple):
    """The latest time at which a waiting request can start."""

    starts_by: float
    order: int
    ask: events.Ask


class Cell:
    """Scheduler of the requests for a group of interchangeable endpoints.

    The host that receives a request from its caller, its entry host, asks for
    a permit. The host that runs the cell, its home host, grants, refuses and
    revokes permits.

    Parameters
    ----------
    policy : Policy
        Chooses endpoints; ``Tiered`` by default.
    """

    def __init__(self, policy: Policy | None = None) -> None:
        self.policy = policy or Tiered()
        self.state = CellState()
        self.admission = Admission(self.state)
        self.preemption = Preemption(self.state)
        self.latest_starts: list[LatestStart] = []
        self.arrivals = 0
        self.collecting_until = -math.inf
        self.decisions: Decisions = []
        self.granter = Granter(
            self.state, self.policy, self.preemption, self.emit
        )

    def handle(self, event: events.Event, now: float) -> Decisions:
        """Process one event and return the resulting decisions.

        Parameters
        ----------
        event : Event
            What happened.
        now : float
            Monotonic seconds; a time before that of the previous event is
            replaced by that time.
        """
        self.state.now = max(now, self.state.now)
        self.decisions = []
        HANDLERS[type(event)](self, event)
        if self.state.now >= self.collecting_until:
            self.pump(event)
        return self.decisions

    def emit(self, decision: events.Decision) -> None:
        """Add a decision to those of the current event."""
        self.decisions.append(decision)

    def on_ask(self, ask: events.Ask) -> None:
        """Queue a request, unless admission control refuses it.

        A repeated ask gets its grant again if it holds a permit, and is
        ignored while it waits.
        """
        state = self.state
        if ask.request in state.permits:
            self.granter.issue(state.permits[ask.request], 0, ())
            return
        if ask.request in state.asked_at:
            return
        # From here on output_tokens is the predicted length, not the limit.
        ask = ask._replace(output_tokens=state.answer_lengths.predict(ask))
        reason = (
            self.admission.refusal_reason(ask) if self.policy.admits else None
        )
        if reason is not None:
            self.refuse(ask, reason)
            return
        self.arrivals += 1
        state.asked_at[ask.request] = state.now
        state.queues[self.tier_of(ask)].push(ask)
        self.shed_excess()
        latest_start = ask.deadline - state.min_finish_time(ask) * SAFETY_FACTOR
        heapq.heappush(
            self.latest_starts, LatestStart(latest_start, self.arrivals, ask)
        )

    def on_held(self, held: events.Held) -> None:
        """Record a permit that an entry host already holds.

        Entry hosts report these after a change of the home host or a pause.
        """
        self.state.drop_waiting(held.ask.request)
        if held.ask.request not in self.state.permits:
            self.state.add_permit(held.ask, held.endpoint, 0)

    def on_withdraw(self, event: events.Withdraw) -> None:
        """Remove a request, whether it is waiting or running."""
        self.state.drop_waiting(event.request)
        self.state.remove_permit(event.request)

    def on_release(self, event: events.Release) -> None:
        """Free a permit and update the estimates from its ending."""
        permit = self.state.remove_permit(event.request)
        if permit is None or permit.endpoint not in self.state.endpoints:
            return
        endpoint = self.state.endpoints[permit.endpoint]
        self.granter.reopen(endpoint)
        if event.ending is events.Ending.completed:
            endpoint.health.observe_success()
            endpoint.rates.learn_release(event)
            self.state.answer_lengths.learn(permit.ask, event.output_tokens)
            self.state.prefixes.record(endpoint.name, permit.ask.prefix_hashes)
        elif event.ending is not events.Ending.cancelled:
            endpoint.health.observe_failure(self.state.now)

    def on_pace(self, event: events.Pace) -> None:
        """Update an endpoint's rates from an entry host's measurement."""
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        gap = endpoint.rates.learn_pace(event, len(endpoint.permits))
        if gap:
            endpoint.health.observe_gap(gap, self.state.now)

    def on_report(self, event: events.LoadReport) -> None:
        """Store the load that an endpoint reports, other callers' included."""
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is not None:
            endpoint.reported = event.running + event.waiting

    def on_cache(self, event: events.CacheEvent) -> None:
        """Remove evicted prefixes from the prefix index.

        All prefixes of the endpoint are removed after a gap in its events.
        """
        if event.gap:
            self.state.prefixes.forget(event.endpoint)
        self.state.prefixes.drop(event.endpoint, event.dropped)

    def on_endpoint(self, event: events.EndpointSeen) -> None:
        """Add an endpoint, or update its slots and whether it is usable."""
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is None:
            self.state.endpoints[event.endpoint] = EndpointState(event)
        else:
            endpoint.usable = event.usable
            endpoint.rates.slots = event.slots

    def on_entry_gone(self, event: events.EntryGone) -> None:
        """Remove all permits and waiting requests of a lost entry host."""
        requests = (*self.state.permits, *self.state.asked_at)
        for request in requests:
            if request.entry == event.entry:
                self.state.drop_waiting(request)
                self.state.remove_permit(request)

    def on_roll(self, event: events.Roll) -> None:
        """Remove the requests that an entry host no longer lists.

        Those asked or granted within ``ROLL_GRACE_S`` stay.
        """
        cutoff = self.state.now - ROLL_GRACE_S
        known_since = {
            **self.state.asked_at,
            **{
                key: permit.granted
                for key, permit in self.state.permits.items()
            },
        }
        for request, since in known_since.items():
            listed = request.number in event.numbers
            if request.entry == event.entry and not listed:
                if since < cutoff:
                    self.state.drop_waiting(request)
                    self.state.remove_permit(request)

    def on_collect(self, event: events.Collect) -> None:
        """Grant nothing while entry hosts report the permits they hold."""
        self.collecting_until = event.until

    def on_tick(self, event: events.Tick) -> None:
        """Do nothing; ``handle`` calls ``pump`` afterwards."""

    def tier_of(self, ask: events.Ask) -> int:
        """Return the index of the queue for an ask."""
        return ask.tier if self.policy.tiered else 0

    def pump(self, event: events.Event) -> None:
        """Grant permits; after most events, also refuse and preempt.

        Refusals and preemption are skipped after an ask or a release, to keep
        these frequent events cheap.
        """
        incremental = isinstance(event, SINGLE_ENDPOINT_EVENTS)
        if not incremental:
            self.granter.refresh()
        if not self.state.asked_at:
            return
        self.granter.grant_free()
        if self.policy.admits and not incremental:
            self.settle_urgent()
            self.preempt_for_waiting()
            self.repeat_revocations()

    def settle_urgent(self) -> None:
        """Refuse the waiting requests whose latest start has passed."""
        while (
            self.latest_starts
            and self.latest_starts[0].starts_by <= self.state.now
        ):
            ask = heapq.heappop(self.latest_starts).ask
            if ask.request in self.state.queues[self.tier_of(ask)].queued:
                self.settle_late(ask)

    def settle_late(self, ask: events.Ask) -> None:
        """Refuse a request that can no longer finish in time."""
        if self.state.asked_at[ask.request] < self.state.now:
            self.shed(ask)
        else:
            # Its time was too short on arrival, whatever the load.
            self.refuse(ask, events.Reason.deadline)

    def shed(self, ask: events.Ask) -> None:
        """Shed a request.

        All lower-tier permits except those of services are revoked first, so
        that lower-tier model requests do not keep running while a higher tier
        is refused.
        """
        for permit in list(self.state.permits.values()):
            if self.preemption.is_victim(permit, ask):
                self.revoke(permit, ask)
        self.refuse(ask, events.Reason.shed)

    def preempt_for_waiting(self) -> None:
        """Revoke lower-tier permits for requests that have waited too long."""
        for tier, queue in enumerate(self.state.queues[:-1]):
            if not queue or not self.preemption.has_room(tier, 1):
                continue
            for ask in queue.heads(MAX_HEADS):
                if self.preemption.is_due(ask):
                    self.preempt_for(ask)

    def preempt_for(self, ask: events.Ask) -> None:
        """Revoke one lower-tier permit for a request.

        Do nothing while an earlier revocation for it is not acknowledged.
        """
        causes = (
            revocation.cause for revocation in self.state.revocations.values()
        )
        if ask.request in causes:
            return
        victim = self.preemption.victim(ask)
        if victim is not None:
            self.revoke(victim, ask)

    def revoke(self, permit: PermitRecord, ask: events.Ask) -> None:
        """Revoke a permit in favour of a request."""
        self.order_back(permit, ask.request)

    def order_back(
        self, permit: PermitRecord, cause: events.RequestKey
    ) -> None:
        """Emit a revocation, for the first time or as a repetition."""
        request = permit.ask.request
        self.state.revocations[request] = Revocation(cause, self.state.now)
        self.emit(events.Revoke(request, permit.endpoint, cause))

    def repeat_revocations(self) -> None:
        """Repeat revocations that entry hosts have not acknowledged."""
        due = self.state.now - REVOKE_RESEND_S
        for request, revocation in list(self.state.revocations.items()):
            if revocation.sent_at <= due:
                permit = self.state.permits[request]
                self.order_back(permit, revocation.cause)

    def shed_excess(self) -> None:
        """Shed the newest requests, lowest tier first, above the limit."""
        excess = len(self.state.asked_at) - MAX_WAITING_REQUESTS
        for queue in reversed(self.state.queues):
            while excess > 0 and queue:
                self.shed(queue.newest())
                excess -= 1

    def refuse(self, ask: events.Ask, reason: events.Reason) -> None:
        """Emit a refusal with the time after which to retry."""
        self.state.drop_waiting(ask.request)
        retry_after = self.admission.retry_after(ask)
        self.emit(
            events.Refuse(ask.request, ask.tier, reason, retry_after),
        )


HANDLERS: Mapping[type, Callable[..., None]] = {
    events.Ask: Cell.on_ask,
    events.Held: Cell.on_held,
    events.Withdraw: Cell.on_withdraw,
    events.Release: Cell.on_release,
    events.Pace: Cell.on_pace,
    events.LoadReport: Cell.on_report,
    events.CacheEvent: Cell.on_cache,
    events.EndpointSeen: Cell.on_endpoint,
    events.EntryGone: Cell.on_entry_gone,
    events.Roll: Cell.on_roll,
    events.Collect: Cell.on_collect,
    events.Tick: Cell.on_tick,
}
