"""Which requests a cell refuses at once, and when they should come back."""

from trefoilspool import events
from trefoilspool.cellstate import CellState
from trefoilspool.health import HealthState

__all__ = ['Admission']

WAIT_TRUST = 0.5  # predictions of long waits are often twice too long
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0


class Admission:
    """Judges new requests.

    Parameters
    ----------
    state : CellState
        Read only.
    """

    def __init__(self, state: CellState) -> None:
        self.state = state

    def refusal(self, ask: events.Ask) -> events.Reason | None:
        """Return why a new request is refused at once, None if it is not."""
        if ask.avoid and self.avoids_all(ask):
            return events.Reason.no_endpoint
        if self.hopeless(ask):
            return events.Reason.shed
        return None

    def avoids_all(self, ask: events.Ask) -> bool:
        """Tell whether an ask has tried every usable endpoint."""
        return all(one.name in ask.avoid for one in self.state.usable())

    def hopeless(self, ask: events.Ask) -> bool:
        """Tell whether the work ahead leaves a new request no time.

        While lower-tier work runs, room can be made, so nothing is.
        """
        if self.state.any_running_below(ask.tier):
            return False
        wait = self.predicted_wait(ask) * WAIT_TRUST
        left = ask.deadline - self.state.now
        return wait + self.state.fastest(ask) > left

    def predicted_wait(self, ask: events.Ask) -> float:
        """Return the seconds until the work ahead of an ask has begun."""
        rate = sum(
            one.rates.throughput
            for one in self.state.usable()
            if one.health.state is HealthState.healthy
        )
        queues = self.state.queues
        ahead = sum(queue.work for queue in queues[: ask.tier])
        ahead += queues[ask.tier].work_ahead(ask)
        return ahead / rate if rate else 0

    def retry_after(self, ask: events.Ask) -> float:
        """Return seconds after which the work ahead should have run."""
        return min(max(self.predicted_wait(ask), MIN_RETRY_S), MAX_RETRY_S)
