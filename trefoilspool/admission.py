"""Admission control: refusals on arrival, and when to retry."""

from trefoilspool import events
from trefoilspool.cellstate import CellState
from trefoilspool.health import HealthState

__all__ = ['Admission']

PREDICTED_WAIT_FACTOR = 0.5  # long waits are often overestimated twofold
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


class Admission:
    """Decides which new requests a cell refuses.

    Parameters
    ----------
    state : CellState
        State of the cell; read only.
    """

    def __init__(self, state: CellState) -> None:
        self.state = state

    def refusal_reason(self, ask: events.Ask) -> events.Reason | None:
        """Return the reason to refuse a new request, None to queue it."""
        if ask.avoid and self.must_avoid_all(ask):
            return events.Reason.no_endpoint
        if self.cannot_finish_in_time(ask):
            return events.Reason.shed
        return None

    def must_avoid_all(self, ask: events.Ask) -> bool:
        """Return whether an ask must avoid every usable endpoint."""
        return all(
            endpoint.name in ask.avoid
            for endpoint in self.state.usable_endpoints()
        )

    def cannot_finish_in_time(self, ask: events.Ask) -> bool:
        """Return whether a request would probably miss its deadline.

        Always false while lower-tier work is running, as that can be
        preempted.
        """
        if self.state.any_running_below(ask.tier):
            return False
        wait = self.predicted_wait(ask) * PREDICTED_WAIT_FACTOR
        time_left = ask.deadline - self.state.now
        return wait + self.state.min_finish_time(ask) > time_left

    def predicted_wait(self, ask: events.Ask) -> float:
        """Return the predicted seconds until an ask can start."""
        rate = sum(
            endpoint.rates.throughput
            for endpoint in self.state.usable_endpoints()
            if endpoint.health.state is HealthState.healthy
        )
        queues = self.state.queues
        cost_ahead = sum(queue.queued_cost for queue in queues[: ask.tier])
        cost_ahead += queues[ask.tier].cost_ahead(ask)
        return cost_ahead / rate if rate else 0

    def retry_after(self, ask: events.Ask) -> float:
        """Return the seconds after which a refused request may retry."""
        return min(
            max(self.predicted_wait(ask), MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S
        )
