"""How long requests wait for slots, and when refused ones may return."""

import math
from collections import defaultdict

from trefoilspool.endpointpool import EndpointPool
from trefoilspool.queueing.grantrates import GrantRates
from trefoilspool.queueing.order import LEAST_FIRST_BYTE_S
from trefoilspool.queueing.shares import ServiceShares
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
# Share of refused requests from which on callers are told the longest delay.
CROWD_SHARE = 0.3
# Callers that are refused together return over this part of the longest delay.
RETURN_SPREAD = 0.5
# Multiples of it spread evenly between whole numbers.
GOLDEN_RATIO = 0.6180339887498949


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
    shares : defaultdict
        Shares of the slots of each service.
    rate_limits : RateLimits
        Limits of the workspaces.
    """

    def __init__(
        self,
        waiting: WaitingRequests,
        pool: EndpointPool,
        grant_rates: GrantRates,
        shares: defaultdict[str, ServiceShares],
        rate_limits: RateLimits,
    ) -> None:
        self.waiting = waiting
        self.pool = pool
        self.grant_rates = grant_rates
        self.shares = shares
        self.rate_limits = rate_limits

    def predict_wait_s(self, ask: SlotRequest, now: float) -> float:
        """Predict the seconds until a new request gets a slot."""
        ahead = self.ahead(ask, now)
        limit_wait_s = self.pool.limit_wait_s(ask, ahead, now)
        version_wait_s = self.version_wait_s(ask, now)
        if not ahead:
            return max(limit_wait_s, version_wait_s)
        per_s = self.grants_per_s(ask, now)
        return max(limit_wait_s, version_wait_s, ahead / per_s)

    def grants_per_s(self, ask: SlotRequest, now: float) -> float:
        """Return the grants per second for a request and those ahead of it."""
        order = self.waiting.order
        if not order.refuses_early(ask):
            return self.grant_rates.grants_per_s(ask.service, now)
        turn = order.turn(ask, now)
        slots = self.pool.slots(ask.service)
        return self.grant_rates.left_per_s(ask.service, slots, turn, now)

    def has_room(self, ask: SlotRequest, timeout_at: float, now: float) -> bool:
        """Return whether a request is expected to get a slot in its time.

        Parameters
        ----------
        ask : SlotRequest
            The request, new or waiting.
        timeout_at : float
            Time of its queue timeout, in seconds.
        now : float
            The present time in seconds.
        """
        wait_s = self.predict_wait_s(ask, now)
        if not wait_s:
            return True
        if self.waiting.order.refuses_early(ask):
            if now + wait_s + LEAST_FIRST_BYTE_S <= ask.first_byte_due:
                return True
            late = ask._replace(first_byte_due=now)
            wait_s = self.predict_wait_s(late, now)
        return now + wait_s <= timeout_at

    def version_wait_s(self, ask: SlotRequest, now: float) -> float:
        """Predict the wait behind others that go on at the same version.

        They get only the version's share of the slots that become free.
        """
        if ask.software is None:
            return 0
        version = ServiceVersion(ask.service, ask.software)
        waiting = self.waiting.bound.get(version, 0)
        share = self.pool.slot_share(ask)
        if not waiting or not share:
            return 0
        return waiting / share / self.grant_rates.grants_per_s(ask.service, now)

    def ahead(self, ask: SlotRequest, now: float) -> int:
        """Count the requests that get a slot before a new one."""
        preferred = self.shares[ask.service].underserved(now)
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
        ``RETRY_AFTER_DIVISOR``. Where requests are refused early the queue is
        short and says nothing of the crowd: the more are refused, the later
        they are told to return, at times that differ.
        """
        most = (ask.deadline - now) / RETRY_AFTER_DIVISOR
        if reason is RefusalReason.quarantined:
            wait = most
        elif reason is RefusalReason.over_limit:
            wait = self.rate_limits.refill_s(ask, now)
        else:
            wait = self.predict_queue_drain_s(ask, now)
            if self.waiting.order.refuses_early(ask):
                wait = max(wait, self.crowd_wait_s(ask, most, now))
        return min(max(wait, MIN_RETRY_AFTER_S), max(most, MIN_RETRY_AFTER_S))

    def crowd_wait_s(
        self, ask: SlotRequest, most_s: float, now: float
    ) -> float:
        """Return the seconds after which a caller may find room in a crowd.

        Parameters
        ----------
        ask : SlotRequest
            The refused request.
        most_s : float
            The longest delay that leaves it time, in seconds.
        now : float
            The present time in seconds.
        """
        lane = self.waiting.order.lane(ask)
        refused = self.shares[ask.service].refused_share(lane, now)
        crowd = min(1, refused / CROWD_SHARE)
        place = math.fmod(ask.key.number * GOLDEN_RATIO, 1)
        return most_s * crowd * (1 - RETURN_SPREAD * place)

    def predict_queue_drain_s(self, ask: SlotRequest, now: float) -> float:
        """Predict the seconds until all requests waiting now have slots."""
        waiting = len(self.waiting.queues[ask.service])
        per_s = self.grant_rates.grants_per_s(ask.service, now)
        limit_wait_s = self.pool.limit_wait_s(ask, waiting, now)
        version_wait_s = self.version_wait_s(ask, now)
        return max(limit_wait_s, version_wait_s, waiting / per_s)
