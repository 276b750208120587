"""Grants permits of a cell: to which requests, and at which endpoints."""

from collections.abc import Callable

from trefoilspool import events
from trefoilspool.cellstate import (
    SAFETY_FACTOR,
    CellState,
    EndpointState,
    PermitRecord,
)
from trefoilspool.fairqueue import FairQueue
from trefoilspool.health import HealthState
from trefoilspool.policy import Candidate, Policy
from trefoilspool.preemption import Preemption

__all__ = ['MAX_HEADS', 'PERMIT_LIFETIME_S', 'Granter']

PERMIT_LIFETIME_S = 5.0
# Workspaces of a tier whose next request is considered for a grant or a
# preemption.
MAX_HEADS = 8
PROBE_ONLY_STATES = frozenset((HealthState.ejected, HealthState.probing))


class Granter:
    """Grants permits to the waiting requests of a cell.

    Parameters
    ----------
    state : CellState
        State of the cell; grants change it.
    policy : Policy
        Chooses endpoints.
    preemption : Preemption
        Limits the permits of a tier.
    emit : callable
        Receives each grant.

    Attributes
    ----------
    open_endpoints : list of EndpointState
        Endpoints that can get another request.
    """

    def __init__(
        self,
        state: CellState,
        policy: Policy,
        preemption: Preemption,
        emit: Callable[[events.Decision], None],
    ) -> None:
        self.state = state
        self.policy = policy
        self.preemption = preemption
        self.emit = emit
        self.open_endpoints: list[EndpointState] = []

    def refresh(self) -> None:
        """Recompute which endpoints can get another request."""
        self.state.count_free_permits()
        self.open_endpoints = [
            endpoint
            for endpoint in self.state.usable_endpoints()
            if self.open_to(endpoint)
        ]

    def reopen(self, endpoint: EndpointState) -> None:
        """Add an endpoint to the open ones if an ended permit made room."""
        if endpoint.usable and endpoint not in self.open_endpoints:
            if self.open_to(endpoint):
                self.open_endpoints.append(endpoint)

    def grant_free(self) -> None:
        """Grant permits in tier order while an endpoint is open."""
        for tier, queue in enumerate(self.state.queues):
            granted = bool(queue)
            while granted and self.has_room(tier):
                granted = self.grant_one(queue)
            if queue and self.policy.tiered:
                # Lower tiers must not overtake a waiting request.
                return

    def has_room(self, tier: int) -> bool:
        """Return whether a tier may get one more permit."""
        return not self.policy.admits or self.preemption.has_room(tier)

    def grant_one(self, queue: FairQueue) -> bool:
        """Grant the first request that an open endpoint can serve in time.

        Returns
        -------
        bool
            Whether a permit was granted.
        """
        free = self.open_endpoints
        if not free or not queue:
            return False
        for head in queue.heads(MAX_HEADS):
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
        """Return the workspace's first ask that has enough time to finish.

        The time is the head's predicted finish at the fastest open endpoint,
        with the safety factor; without such an ask, the head is returned. The
        ask with the earliest deadline may need a faster endpoint than those
        that are open; a later ask of the workspace may not.
        """
        shortest = min(
            self.state.finish_time(head, endpoint) for endpoint in free
        )
        deadline = self.state.now + shortest * SAFETY_FACTOR
        return queue.first_after(head, deadline) or head

    def open_to(self, endpoint: EndpointState) -> bool:
        """Return whether a usable endpoint may get one more request."""
        if not self.policy.limited:
            return True
        if endpoint.health.state in PROBE_ONLY_STATES:
            probe_due = endpoint.health.probe_due(self.state.now)
            return probe_due and not endpoint.permits
        return endpoint.free_permits > 0

    def candidates(
        self,
        ask: events.Ask,
        free: list[EndpointState],
    ) -> list[Candidate]:
        """Return the open endpoints that the ask does not avoid.

        If the policy admits by deadline, they must also finish in time.
        """
        found = []
        for endpoint in free:
            finish = self.state.finish_time(ask, endpoint)
            late = self.policy.admits and not self.state.meets_deadline(
                ask, finish
            )
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
        state.add_permit(ask, winner.endpoint, cached)
        state.prefixes.record(winner.endpoint, ask.prefix_hashes)
        endpoint = state.endpoints[winner.endpoint]
        if not self.open_to(endpoint):
            self.open_endpoints.remove(endpoint)
        losers = tuple(
            (candidate.endpoint, candidate.finish)
            for candidate in candidates
            if candidate is not winner
        )
        self.issue(state.permits[ask.request], winner.finish, losers)

    def issue(
        self,
        permit: PermitRecord,
        score: float,
        losers: tuple[tuple[str, float], ...],
    ) -> None:
        """Emit a grant; repeated when the entry host repeats its ask."""
        self.emit(
            events.Grant(
                permit.ask.request,
                permit.ask.tier,
                permit.endpoint,
                self.state.now + PERMIT_LIFETIME_S,
                score,
                losers,
            ),
        )
