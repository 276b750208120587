"""How long requests wait for slots, and when refused ones may return."""

from collections import defaultdict

from trefoilspool.endpointpool import EndpointPool
from trefoilspool.queueing.grantrates import GrantRates
from trefoilspool.queueing.minimumshares import MinimumShares
from trefoilspool.queueing.waitingrequests import WaitingRequests
from trefoilspool.ratelimits import RateLimits
from trefoilspool.slotmessages import RefusalReason, SlotRequest
from trefoilspool.versionhistory import ServiceVersion

__all__ = ['QUEUE_TIMEOUT_S', 'RETRY_AFTER_DIVISOR', 'WaitPredictor']

QUEUE_TIMEOUT_S = 1.0  # callers drop a stream that is silent for 2 s
QUEUE_TIMEOUT_SHARE = 0.35  # of the time until the deadline
MIN_RETRY_AFTER_S = 0.2
# Retry-After is at most the time left before the deadline, divided by this.
RETRY_AFTER_DIVISOR = 3


class WaitPredictor:
    """Predicts waits from queues, rates of grants and limits.

    Parameters
    ----------
    waiting : WaitingRequests
        Requests that wait for a slot.
    pool : EndpointPool
        Endpoints that may get requests.
    grant_rates : GrantRates
        How many slots are granted a second.
    minimum_shares : defaultdict
        Shares of the ranks of each service.
    rate_limits : RateLimits
        Limits of the workspaces.
    """

    def __init__(
        self,
        waiting: WaitingRequests,
        pool: EndpointPool,
        grant_rates: GrantRates,
        minimum_shares: defaultdict[str, MinimumShares],
        rate_limits: RateLimits,
    ) -> None:
        self.waiting = waiting
        self.pool = pool
        self.grant_rates = grant_rates
        self.minimum_shares = minimum_shares
        self.rate_limits = rate_limits

    def predict_wait_s(self, ask: SlotRequest, now: float) -> float:
        """Predict the seconds until a new request gets a slot."""
        ahead = self.ahead(ask, now)
        limit_wait_s = self.pool.limit_wait_s(ask, ahead, now)
        version_wait_s = self.version_wait_s(ask, now)
        if not ahead:
            return max(limit_wait_s, version_wait_s)
        per_s = self.grant_rates.grants_per_s(ask.service, now)
        return max(limit_wait_s, version_wait_s, ahead / per_s)

    def version_wait_s(self, ask: SlotRequest, now: float) -> float:
        """Predict the wait behind others that go on at the same version.

        They get only the version's share of the slots that become free.
        """
        if ask.software is None:
            return 0
        version = ServiceVersion(ask.service, ask.software)
        waiting = self.waiting.bound.get(version, 0)
        share = self.pool.slot_share(ask, now)
        if not waiting or not share:
            return 0
        return waiting / share / self.grant_rates.grants_per_s(ask.service, now)

    def ahead(self, ask: SlotRequest, now: float) -> int:
        """Count the requests that get a slot before a new one."""
        preferred = self.minimum_shares[ask.service].underserved(now)
        return self.waiting.queues[ask.service].ahead(ask, now, preferred)

    def timeout_at(self, ask: SlotRequest, now: float) -> float:
        """Return the time of a request's queue timeout."""
        since = now if ask.attempt > 1 else ask.arrived_at
        share = (ask.deadline - since) * QUEUE_TIMEOUT_SHARE
        return since + min(QUEUE_TIMEOUT_S, share)

    def retry_after(
        self,
        ask: SlotRequest,
        reason: RefusalReason,
        now: float,
    ) -> float:
        """Return the suggested delay before a retry, in seconds.

        This is the predicted time until the queue is drained or the token
        bucket refilled, within the bounds set by ``MIN_RETRY_AFTER_S`` and
        ``RETRY_AFTER_DIVISOR``.
        """
        most = (ask.deadline - now) / RETRY_AFTER_DIVISOR
        if reason is RefusalReason.quarantined:
            wait = most
        elif reason is RefusalReason.over_limit:
            wait = self.rate_limits.refill_s(ask, now)
        else:
            wait = self.predict_queue_drain_s(ask, now)
        return min(max(wait, MIN_RETRY_AFTER_S), max(most, MIN_RETRY_AFTER_S))

    def predict_queue_drain_s(self, ask: SlotRequest, now: float) -> float:
        """Predict the seconds until all requests waiting now have slots."""
        waiting = len(self.waiting.queues[ask.service])
        per_s = self.grant_rates.grants_per_s(ask.service, now)
        limit_wait_s = self.pool.limit_wait_s(ask, waiting, now)
        version_wait_s = self.version_wait_s(ask, now)
        return max(limit_wait_s, version_wait_s, waiting / per_s)
