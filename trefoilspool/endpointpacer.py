"""Spaces the requests to endpoints that have named a limit."""

from collections.abc import Callable, Iterable

from trefoilspool.departures import EndpointRun
from trefoilspool.endpointlimits import EndpointLimits
from trefoilspool.ratelimits import TokenBucket

__all__ = ['EndpointPacer']

# An endpoint that takes fewer still gets a request now and then, as only a
# response can tell that its limit has ended.
MIN_PER_S = 0.1
BURST_S = 0.5  # a bucket holds the requests of so many seconds at most
# Requests of so many seconds at most are owed for what others have granted.
MAX_DEBT_S = 1.0
NO_LEVEL = 0.0


class EndpointPacer:
    """Counts requests against the limits of endpoints, in token buckets.

    One place grants for all hosts; a host that does not reach it, and a home
    host to which not all others report, grant a share of each limit.

    Parameters
    ----------
    limits : EndpointLimits
        The limits that endpoints have named.
    initial_level : float
        Level of a new bucket in requests. At most 0: others may have sent
        requests just before.
    per_s : callable, optional
        Returns the requests a second that a run takes, None for any; what it
        has named by default.

    Attributes
    ----------
    share : float
        Part of each limit that is granted here.
    buckets : dict
        A bucket for each limited run.
    """

    def __init__(
        self,
        limits: EndpointLimits,
        initial_level: float = NO_LEVEL,
        per_s: Callable[[EndpointRun], float | None] | None = None,
    ) -> None:
        self.limits = limits
        self.initial_level = initial_level
        self.per_s = per_s or limits.per_s
        self.share = 1.0
        self.buckets: dict[EndpointRun, TokenBucket] = {}

    def bucket(self, run: EndpointRun, now: float) -> TokenBucket | None:
        """Return the bucket of a run, None if it takes any number."""
        per_s = self.per_s(run)
        if per_s is None:
            self.buckets.pop(run, None)
            return None
        rate = max(per_s, MIN_PER_S) * self.share
        bucket = self.buckets.get(run)
        if bucket is None:
            bucket = TokenBucket(rate, rate * BURST_S, now)
            bucket.level = self.initial_level
            self.buckets[run] = bucket
        bucket.set_limit(rate, rate * BURST_S, now)
        return bucket

    def admits(self, run: EndpointRun, now: float) -> bool:
        """Return whether a run may get a request now."""
        if not self.limits.by_run:
            return True
        bucket = self.bucket(run, now)
        return bucket is None or bucket.level > 0

    def charge(self, run: EndpointRun, now: float) -> None:
        """Count a request to a run."""
        bucket = self.bucket(run, now)
        if bucket is not None:
            bucket.level -= 1

    def charge_elsewhere(self, run: EndpointRun, now: float) -> None:
        """Count a request to a run that another host has granted.

        That may have been before the run named its limit, so the debt is
        bounded.
        """
        bucket = self.bucket(run, now)
        if bucket is not None:
            least = -1 - bucket.rate * MAX_DEBT_S
            bucket.level = max(bucket.level - 1, min(bucket.level, least))

    def on_stood_still(self, since: float, now: float) -> None:
        """Earn nothing while this host stood still, as others may grant it."""
        for bucket in self.buckets.values():
            bucket.skip(since, now)

    def forget_ended(self) -> None:
        """Drop the buckets of runs that no longer have a limit."""
        for run in list(self.buckets):
            if self.per_s(run) is None:
                self.buckets.pop(run)

    def wait_s(
        self, runs: Iterable[EndpointRun], ahead: int, now: float
    ) -> float:
        """Return the seconds until one of some runs may get a request.

        Parameters
        ----------
        runs : iterable of EndpointRun
            Runs that may get it.
        ahead : int
            Number of requests that get one of them before.
        now : float
            The present time in seconds.
        """
        buckets = [self.bucket(run, now) for run in runs]
        limited = [bucket for bucket in buckets if bucket is not None]
        if not limited or len(limited) < len(buckets):
            return 0
        level = sum(bucket.level for bucket in limited)
        rate = sum(bucket.rate for bucket in limited)
        return max(0, ahead - level) / rate
