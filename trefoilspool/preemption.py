"""Which running work makes room for requests of higher tiers."""

from collections.abc import Iterator

from trefoilspool import events
from trefoilspool.cellstate import CellState, EndpointState, Permit

__all__ = ['PREEMPT_AFTER_S', 'Preemption']

PREEMPT_AFTER_S = 0.2
PATIENCE_SHARE = 0.2  # of the time that a request has


class Preemption:
    """Chooses victims.

    Parameters
    ----------
    state : CellState
        Read only.
    """

    def __init__(self, state: CellState) -> None:
        self.state = state

    def has_room(self, tier: int, freed: int = 0) -> bool:
        """Tell whether a tier leaves the room that higher tiers need.

        Higher tiers keep the places that they used at their recent peak, so
        that they need not cancel lower-tier work for each of their requests.

        Parameters
        ----------
        tier : int
            The tier that wants a place.
        freed : int
            Places that would become free besides.
        """
        if not tier:
            return True
        state = self.state
        return state.free + freed > state.peaks.spare(
            tier, state.running, state.now
        )

    def due(self, ask: events.Ask) -> bool:
        """Tell whether a request has waited long enough to revoke for it.

        A place often becomes free by itself, which wastes no prefill.
        """
        asked = self.state.asked_at[ask.request]
        patience = PREEMPT_AFTER_S
        if not ask.interactive:
            slack = ask.deadline - asked
            patience = max(patience, slack * PATIENCE_SHARE)
        return self.state.now - asked >= patience

    def victim(self, ask: events.Ask) -> Permit | None:
        """Return the permit to revoke for a request, None if there is none."""
        if not self.state.any_running_below(ask.tier):
            return None
        return min(self.victims(ask), key=self.victim_order, default=None)

    def victims(self, ask: events.Ask) -> Iterator[Permit]:
        """Yield the running lower-tier work that holds a usable place."""
        for endpoint in self.state.usable():
            finish = self.state.finish_time(ask, endpoint)
            useful = endpoint.name not in ask.avoid
            if useful and self.state.in_time(ask, finish):
                yield from self.settled_victims(ask, endpoint)

    def settled_victims(
        self,
        ask: events.Ask,
        endpoint: EndpointState,
    ) -> Iterator[Permit]:
        """Yield an endpoint's victims, without those granted just now."""
        for permit in endpoint.permits.values():
            settled = self.state.now - permit.granted >= PREEMPT_AFTER_S
            if settled and self.is_victim(permit, ask):
                yield permit

    def is_victim(self, permit: Permit, ask: events.Ask) -> bool:
        """Tell whether a permit may be revoked for a request."""
        service = permit.ask.victim is events.VictimClass.service
        if service or permit.ask.request in self.state.revoking:
            return False
        return permit.ask.tier > ask.tier

    def victim_order(self, permit: Permit) -> tuple[int, int, float, float]:
        """Order victims: lowest tier, cheapest class, least prefill, newest.

        The prefill lost is what the endpoint can have computed by now.
        """
        missed = permit.ask.prompt_tokens - permit.cached_tokens
        rates = self.state.endpoints[permit.endpoint].rates
        computed = (self.state.now - permit.granted) * rates.prefill
        lost = min(missed, computed)
        return (-permit.ask.tier, permit.ask.victim, lost, -permit.granted)
