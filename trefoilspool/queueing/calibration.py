"""How the predicted waits for slots compare with the real ones."""

from enum import Enum

from trefoilspool.queueing.waitingrequests import QueuedRequest
from trefoilspool.telemetry import Metrics

__all__ = ['Calibration', 'WaitResult']

METRIC = 'trefoilspool_slot_waits_total'
# A wait is as predicted up to this multiple, plus a margin.
ACCEPTED_FACTOR = 2.0
ACCEPTED_MARGIN_S = 0.05


class WaitResult(Enum):
    """What became of a request that was let into the queue."""

    as_predicted = 'as_predicted'
    longer = 'longer'
    in_vain = 'in_vain'


class Calibration:
    """Counts the waits by rank and result.

    Many waits in vain mean that too much is let into the queue.

    Attributes
    ----------
    metrics : Metrics
        Holds the counters.
    """

    def __init__(self) -> None:
        self.metrics = Metrics()

    def on_granted(self, waiting: QueuedRequest, now: float) -> None:
        """Count a request that got a slot after a wait."""
        accepted_s = waiting.predicted_s * ACCEPTED_FACTOR + ACCEPTED_MARGIN_S
        is_longer = now - waiting.since > accepted_s
        result = WaitResult.longer if is_longer else WaitResult.as_predicted
        self.count(waiting, result)

    def on_refused(self, waiting: QueuedRequest) -> None:
        """Count a request that was refused after a wait."""
        self.count(waiting, WaitResult.in_vain)

    def count(self, waiting: QueuedRequest, result: WaitResult) -> None:
        """Count one wait."""
        rank = waiting.ask.rank
        self.metrics.count(f'{METRIC}{{rank="{rank}",result="{result.value}"}}')
