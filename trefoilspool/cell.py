"""The scheduling core of one cell: events in, decisions out.

A cell has no sockets, no clock and no threads, so that the same events at
the same times always give the same decisions.
"""

import heapq
import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

from trefoilspool import events
from trefoilspool.admission import Admission
from trefoilspool.cellstate import (
    SAFETY,
    CellState,
    EndpointState,
    Permit,
    Revocation,
)
from trefoilspool.fairqueue import FairQueue
from trefoilspool.health import HealthState
from trefoilspool.policies.tiered import Tiered
from trefoilspool.policy import Candidate, Policy
from trefoilspool.preemption import Preemption

__all__ = ['PERMIT_TERM_S', 'Cell']

PERMIT_TERM_S = 5.0
# Events after which one endpoint at most has changed.
CHEAP_EVENTS = (events.Ask, events.Release)
ROLL_GRACE_S = 2.0  # in which a grant may be on its way
REPEAT_REVOKE_S = 1.0
HEADS = 8  # workspaces whose next request is tried when the first cannot go
MAX_WAITING = 20_000
UNWELL = frozenset((HealthState.ejected, HealthState.probing))

Decisions = list[events.Decision]


class Latest(NamedTuple):
    """The time at which a waiting request has to be settled."""

    at: float
    order: int
    ask: events.Ask


class Cell:
    """Requests and endpoints that compete with each other.

    Parameters
    ----------
    policy : Policy
        Chooses endpoints.
    """

    def __init__(self, policy: Policy | None = None) -> None:
        self.policy = policy or Tiered()
        self.state = CellState()
        self.admission = Admission(self.state)
        self.preemption = Preemption(self.state)
        self.urgent: list[Latest] = []
        self.arrivals = 0
        self.collecting_until = -math.inf
        self.open: list[EndpointState] = []
        self.decisions: Decisions = []

    def handle(self, event: events.Event, now: float) -> Decisions:
        """Take one event and return the decisions that follow from it.

        Parameters
        ----------
        event : Event
            What happened.
        now : float
            Seconds; never goes backwards.
        """
        self.state.now = max(now, self.state.now)
        self.decisions = []
        HANDLERS[type(event)](self, event)
        if self.state.now >= self.collecting_until:
            self.pump(event)
        return self.decisions

    def on_ask(self, ask: events.Ask) -> None:
        """Queue a request, or refuse it at once when it is hopeless."""
        state = self.state
        if ask.request in state.permits:
            self.issue(state.permits[ask.request], 0, ())
            return
        if ask.request in state.asked_at:
            return
        ask = ask._replace(output_tokens=state.lengths.expect(ask))
        reason = self.admission.refusal(ask) if self.policy.admits else None
        if reason is not None:
            self.refuse(ask, reason)
            return
        self.arrivals += 1
        state.asked_at[ask.request] = state.now
        state.queues[self.tier_of(ask)].push(ask)
        self.shed_excess()
        latest = ask.deadline - state.fastest(ask) * SAFETY
        heapq.heappush(self.urgent, Latest(latest, self.arrivals, ask))

    def on_held(self, held: events.Held) -> None:
        """Take over a permit that another home granted."""
        self.state.drop_waiting(held.ask.request)
        if held.ask.request not in self.state.permits:
            self.state.book(held.ask, held.endpoint, 0)

    def on_withdraw(self, event: events.Withdraw) -> None:
        """Forget a request, whether it waits or runs."""
        self.state.drop_waiting(event.request)
        self.state.unbook(event.request)

    def on_release(self, event: events.Release) -> None:
        """Free a permit and learn from how it ended."""
        permit = self.state.unbook(event.request)
        if permit is None or permit.endpoint not in self.state.endpoints:
            return
        endpoint = self.state.endpoints[permit.endpoint]
        self.reopen(endpoint)
        if event.ending is events.Ending.completed:
            endpoint.health.observe_success()
            endpoint.rates.learn_release(event)
            self.state.lengths.learn(permit.ask, event.output_tokens)
            self.state.prefixes.record(endpoint.name, permit.ask.prefix_hashes)
        elif event.ending is not events.Ending.cancelled:
            endpoint.health.observe_failure(self.state.now)

    def on_pace(self, event: events.Pace) -> None:
        """Learn an endpoint's speed from what an entry host saw."""
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        gap = endpoint.rates.learn_pace(event, len(endpoint.permits))
        if gap:
            endpoint.health.observe_gap(gap, self.state.now)

    def on_report(self, event: events.LoadReport) -> None:
        """Note load that our permits do not explain."""
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is not None:
            endpoint.reported = event.running + event.waiting

    def on_cache(self, event: events.CacheEvent) -> None:
        """Correct the prefix index."""
        if event.gap:
            self.state.prefixes.forget(event.endpoint)
        self.state.prefixes.drop(event.endpoint, event.dropped)

    def on_endpoint(self, event: events.EndpointSeen) -> None:
        """Add an endpoint, or change whether it may be used."""
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is None:
            self.state.endpoints[event.endpoint] = EndpointState(event)
        else:
            endpoint.usable = event.usable
            endpoint.rates.slots = event.slots

    def on_entry_gone(self, event: events.EntryGone) -> None:
        """Free all that a lost entry host held or asked for."""
        known = (*self.state.permits, *self.state.asked_at)
        for request in known:
            if request.entry == event.entry:
                self.state.drop_waiting(request)
                self.state.unbook(request)

    def on_roll(self, event: events.Roll) -> None:
        """Free what an entry host no longer holds or waits for."""
        settled = self.state.now - ROLL_GRACE_S
        started = {
            **self.state.asked_at,
            **{key: one.granted for key, one in self.state.permits.items()},
        }
        for request, since in started.items():
            listed = request.number in event.numbers
            if request.entry == event.entry and not listed:
                if since < settled:
                    self.state.drop_waiting(request)
                    self.state.unbook(request)

    def on_collect(self, event: events.Collect) -> None:
        """Wait for held permits before granting."""
        self.collecting_until = event.until

    def on_tick(self, event: events.Tick) -> None:
        """Do nothing but pump."""

    def tier_of(self, ask: events.Ask) -> int:
        """Return the queue that an ask waits in."""
        return ask.tier if self.policy.tiered else 0

    def pump(self, event: events.Event) -> None:
        """Grant what can run; settle what cannot wait longer now and then."""
        cheap = isinstance(event, CHEAP_EVENTS)
        if not cheap:
            self.refresh()
        if not self.state.asked_at:
            return
        self.grant_free()
        if self.policy.admits and not cheap:
            self.settle_urgent()
            self.preempt_for_waiting()
            self.repeat_revocations()

    def refresh(self) -> None:
        """Work out anew which endpoints have a free place."""
        self.state.count_free()
        self.open = [one for one in self.state.usable() if self.open_to(one)]

    def reopen(self, endpoint: EndpointState) -> None:
        """Take notice that an endpoint has lost a permit."""
        if endpoint.usable and endpoint not in self.open:
            if self.open_to(endpoint):
                self.open.append(endpoint)

    def grant_free(self) -> None:
        """Grant in tier order while an endpoint is free."""
        for tier, queue in enumerate(self.state.queues):
            granted = bool(queue)
            while granted and self.has_room(tier):
                granted = self.grant_one(queue)
            if queue and self.policy.tiered:
                # Lower tiers must not take what this one still waits for.
                return

    def has_room(self, tier: int) -> bool:
        """Tell whether a tier may take one more place."""
        return not self.policy.admits or self.preemption.has_room(tier)

    def grant_one(self, queue: FairQueue) -> bool:
        """Grant the first head that some endpoint can serve in time."""
        free = self.open
        if not free or not queue:
            return False
        for head in queue.heads(HEADS):
            ask = head
            candidates = self.candidates(ask, free)
            if not candidates:
                ask = self.roomier(queue, head, free)
                candidates = self.candidates(ask, free)
            if candidates:
                queue.take(ask)
                self.grant(ask, candidates)
                return True
        return False

    def roomier(
        self,
        queue: FairQueue,
        head: events.Ask,
        free: list[EndpointState],
    ) -> events.Ask:
        """Return a workspace's first ask that has time for a free endpoint.

        The ask with the earliest deadline may have time for the fastest
        endpoints only; a free slow one can still serve a later ask.
        """
        shortest = min(self.state.finish_time(head, one) for one in free)
        deadline = self.state.now + shortest * SAFETY
        return queue.later(head, deadline) or head

    def open_to(self, endpoint: EndpointState) -> bool:
        """Tell whether a usable endpoint may get one more request."""
        if not self.policy.limited:
            return True
        if endpoint.health.state in UNWELL:
            due = endpoint.health.probe_due(self.state.now)
            return due and not endpoint.permits
        return endpoint.free > 0

    def candidates(
        self,
        ask: events.Ask,
        free: list[EndpointState],
    ) -> list[Candidate]:
        """Return the free endpoints that can finish before the deadline."""
        found = []
        for endpoint in free:
            finish = self.state.finish_time(ask, endpoint)
            late = self.policy.admits and not self.state.in_time(ask, finish)
            if not late and endpoint.name not in ask.avoid:
                found.append(
                    Candidate(
                        endpoint.name,
                        finish,
                        len(endpoint.permits),
                        endpoint.reported,
                    ),
                )
        return found

    def grant(self, ask: events.Ask, candidates: list[Candidate]) -> None:
        """Choose an endpoint and issue a permit."""
        state = self.state
        winner = self.policy.choose(ask, candidates)
        cached = state.prefixes.cached_tokens(
            winner.endpoint, ask.prefix_hashes
        )
        state.asked_at.pop(ask.request, None)
        state.book(ask, winner.endpoint, cached)
        state.prefixes.record(winner.endpoint, ask.prefix_hashes)
        taken = state.endpoints[winner.endpoint]
        if not self.open_to(taken):
            self.open.remove(taken)
        losers = tuple(
            (one.endpoint, one.finish)
            for one in candidates
            if one is not winner
        )
        self.issue(state.permits[ask.request], winner.finish, losers)

    def issue(
        self,
        permit: Permit,
        score: float,
        losers: tuple[tuple[str, float], ...],
    ) -> None:
        """Send out a permit; again, if the entry asks again."""
        self.decisions.append(
            events.Grant(
                permit.ask.request,
                permit.ask.tier,
                permit.endpoint,
                self.state.now + PERMIT_TERM_S,
                score,
                losers,
            ),
        )

    def settle_urgent(self) -> None:
        """Refuse requests that can no longer finish in time."""
        while self.urgent and self.urgent[0].at <= self.state.now:
            ask = heapq.heappop(self.urgent).ask
            if ask.request in self.state.queues[self.tier_of(ask)].live:
                self.settle_late(ask)

    def settle_late(self, ask: events.Ask) -> None:
        """Refuse a late request."""
        if self.state.asked_at[ask.request] < self.state.now:
            self.shed(ask)
        else:
            # It had no time from the start, whatever the load.
            self.refuse(ask, events.Reason.deadline)

    def shed(self, ask: events.Ask) -> None:
        """Refuse a request because of load, after all lower-tier work."""
        for permit in list(self.state.permits.values()):
            if self.preemption.is_victim(permit, ask):
                self.revoke(permit, ask)
        self.refuse(ask, events.Reason.shed)

    def preempt_for_waiting(self) -> None:
        """Cancel lower-tier work for requests that have waited too long."""
        for tier, queue in enumerate(self.state.queues[:-1]):
            if not queue or not self.preemption.has_room(tier, 1):
                continue
            for ask in queue.heads(HEADS):
                if self.preemption.due(ask):
                    self.preempt_for(ask)

    def preempt_for(self, ask: events.Ask) -> None:
        """Revoke one lower-tier permit for a request, unless one is."""
        causes = (one.cause for one in self.state.revoking.values())
        if ask.request in causes:
            return
        victim = self.preemption.victim(ask)
        if victim is not None:
            self.revoke(victim, ask)

    def revoke(self, permit: Permit, ask: events.Ask) -> None:
        """Order a permit back for the sake of a request."""
        self.order_back(permit, ask.request)

    def order_back(self, permit: Permit, cause: events.RequestKey) -> None:
        """Order a permit back, for the first time or again."""
        request = permit.ask.request
        self.state.revoking[request] = Revocation(cause, self.state.now)
        self.decisions.append(
            events.Revoke(request, permit.endpoint, cause),
        )

    def repeat_revocations(self) -> None:
        """Order permits back again whose entry has not answered."""
        due = self.state.now - REPEAT_REVOKE_S
        for request, revocation in list(self.state.revoking.items()):
            if revocation.at <= due:
                permit = self.state.permits[request]
                self.order_back(permit, revocation.cause)

    def shed_excess(self) -> None:
        """Refuse the lowest tier's newest requests when too many wait."""
        excess = len(self.state.asked_at) - MAX_WAITING
        for queue in reversed(self.state.queues):
            while excess > 0 and queue:
                self.shed(queue.newest())
                excess -= 1

    def refuse(self, ask: events.Ask, reason: events.Reason) -> None:
        """Answer a request with a refusal and when to come back."""
        self.state.drop_waiting(ask.request)
        retry_after = self.admission.retry_after(ask)
        self.decisions.append(
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
