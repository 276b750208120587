"""Preemption: which permits to revoke for requests of higher tiers."""

from collections.abc import Iterator

from trefoilspool import events
from trefoilspool.cellstate import CellState, EndpointState, PermitRecord

__all__ = ['PREEMPT_AFTER_S', 'Preemption']

PREEMPT_AFTER_S = 0.2  # minimum wait of a request and age of its victim
PREEMPT_WAIT_SHARE = 0.2  # of the time from arrival to deadline


class Preemption:
    """Decides when to preempt and which permit to revoke.

    Parameters
    ----------
    state : CellState
        State of the cell; read only.
    """

    def __init__(self, state: CellState) -> None:
        self.state = state

    def has_room(self, tier: int, freed: int = 0) -> bool:
        """Return whether a free permit is left for a tier besides reserved ones.

        Permits are reserved for higher tiers up to their recent peak, so that
        not each of their requests has to preempt lower-tier work.

        Parameters
        ----------
        tier : int
            Tier of the request.
        freed : int
            Permits that a preemption would free in addition.
        """
        if not tier:
            return True
        state = self.state
        return state.free_permits + freed > state.peaks.reserved(
            tier, state.running, state.now
        )

    def is_due(self, ask: events.Ask) -> bool:
        """Return whether a request has waited long enough to preempt.

        A permit often becomes free in the meantime, which avoids the prefill
        work that a revocation wastes. A request that is not interactive waits
        at least ``PREEMPT_WAIT_SHARE`` of the time to its deadline.
        """
        since = self.state.asked_at[ask.request]
        min_wait = PREEMPT_AFTER_S
        if not ask.interactive:
            slack = ask.deadline - since
            min_wait = max(min_wait, slack * PREEMPT_WAIT_SHARE)
        return self.state.now - since >= min_wait

    def victim(self, ask: events.Ask) -> PermitRecord | None:
        """Return the permit to revoke for a request, None if there is none."""
        if not self.state.any_running_below(ask.tier):
            return None
        return min(self.victims(ask), key=self.victim_order, default=None)

    def victims(self, ask: events.Ask) -> Iterator[PermitRecord]:
        """Yield lower-tier permits of endpoints that can serve a request."""
        for endpoint in self.state.usable_endpoints():
            finish = self.state.finish_time(ask, endpoint)
            allowed = endpoint.name not in ask.avoid
            if allowed and self.state.meets_deadline(ask, finish):
                yield from self.endpoint_victims(ask, endpoint)

    def endpoint_victims(
        self,
        ask: events.Ask,
        endpoint: EndpointState,
    ) -> Iterator[PermitRecord]:
        """Yield an endpoint's victims at least ``PREEMPT_AFTER_S`` old."""
        for permit in endpoint.permits.values():
            past_grace = self.state.now - permit.granted >= PREEMPT_AFTER_S
            if past_grace and self.is_victim(permit, ask):
                yield permit

    def is_victim(self, permit: PermitRecord, ask: events.Ask) -> bool:
        """Return whether a permit may be revoked for a request."""
        is_service = permit.ask.victim is events.VictimClass.service
        if is_service or permit.ask.request in self.state.revocations:
            return False
        return permit.ask.tier > ask.tier

    def victim_order(
        self, permit: PermitRecord
    ) -> tuple[int, int, float, float]:
        """Return a sort key: lowest tier, class, least lost prefill, newest.

        The lost prefill is the most that the endpoint can have computed
        since the grant.
        """
        uncached = permit.ask.prompt_tokens - permit.cached_tokens
        rates = self.state.endpoints[permit.endpoint].rates
        max_computed = (self.state.now - permit.granted) * rates.prefill
        lost = min(uncached, max_computed)
        return (-permit.ask.tier, permit.ask.victim, lost, -permit.granted)
