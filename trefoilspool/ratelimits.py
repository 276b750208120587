"""Rate limits of workspaces and the retry budget of each service."""

from collections import deque
from collections.abc import Iterable, Mapping

from trefoilspool.routing import Workspace
from trefoilspool.slotmessages import RefusalReason, SlotRequest

__all__ = ['RateLimits', 'RetryWindow', 'TokenBucket']

WINDOW_S = 10.0
MAX_RETRY_SHARE = 0.15  # of the first attempts in the window
BASE_RETRIES = 60  # per window, in addition to the share
INITIAL_LEVEL_SHARE = 0.5  # of the burst
SMALL_REQUEST_S = 0.02  # a request is small if its charge refills in this time


class TokenBucket:
    """A token bucket whose level may become negative.

    A request is admitted while the level is positive, and its charge may make
    the level negative, so that large requests are admitted as often as small
    ones. For small requests see `admits`. The bucket's tokens are model tokens
    or requests, as `Workspace.counts_tokens` says.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Maximum level in tokens. The initial level is half of it, since an
        earlier home host may have granted the rest.
    now : float
        The present time in seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst * INITIAL_LEVEL_SHARE
        self.refilled_at = now

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last call."""
        earned = (now - self.refilled_at) * self.rate
        self.level = min(self.burst, self.level + earned)
        self.refilled_at = now

    def skip(self, since: float, now: float) -> None:
        """Earn nothing from one time, in seconds, to the present one."""
        self.refill(max(since, self.refilled_at))
        self.refilled_at = max(now, self.refilled_at)

    def admits(self, charge: float) -> bool:
        """Return whether a request may be sent at the present level.

        A small request is admitted while the deficit is less than one burst:
        otherwise a single large request would block all later requests of
        the workspace.
        """
        if charge <= self.rate * SMALL_REQUEST_S:
            return self.level > -self.burst
        return self.level > 0

    def set_limit(self, rate: float, burst: float, now: float) -> None:
        """Apply a new rate and burst."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)


class RetryWindow:
    """First attempts and retries at a service in a sliding window."""

    def __init__(self) -> None:
        self.attempts: deque[tuple[float, bool]] = deque()
        self.first_attempts = 0
        self.retries = 0

    def record(self, *, retry: bool, now: float) -> None:
        """Count an attempt."""
        self.attempts.append((now, retry))
        self.first_attempts += not retry
        self.retries += retry

    def allows_retry(self, now: float, hosts: int = 1) -> bool:
        """Return whether one more retry stays within the budget.

        Parameters
        ----------
        now : float
            The present time in seconds.
        hosts : int
            Number of hosts over which the base of the budget is divided.
        """
        while self.attempts and self.attempts[0][0] < now - WINDOW_S:
            _, retry = self.attempts.popleft()
            self.first_attempts -= not retry
            self.retries -= retry
        base = BASE_RETRIES / hosts
        return self.retries < self.first_attempts * MAX_RETRY_SHARE + base


class RateLimits:
    """Rate limits of all workspaces and retry budgets of all services.

    Attributes
    ----------
    share : float
        Part of each limit that may be granted here. Below 1 while other hosts
        may grant the rest.
    """

    def __init__(self) -> None:
        self.share = 1.0
        self.workspaces: Mapping[str, Workspace] = {}
        self.buckets: dict[str, TokenBucket] = {}
        self.retry_windows: dict[str, RetryWindow] = {}

    def on_workspaces(
        self,
        workspaces: Mapping[str, Workspace],
        now: float,
    ) -> None:
        """Apply the limits of a new configuration."""
        self.workspaces = workspaces
        self.update_buckets(now)

    def on_share(self, share: float, now: float) -> None:
        """Grant only a part of each limit from now on."""
        if share != self.share:
            self.share = share
            self.update_buckets(now)

    def on_stood_still(self, since: float, now: float) -> None:
        """Earn nothing while this host stood still.

        Another home host may have granted all of it.
        """
        for bucket in self.buckets.values():
            bucket.skip(since, now)

    def update_buckets(self, now: float) -> None:
        """Apply the present limits and share to all buckets."""
        for name, bucket in self.buckets.items():
            limit = self.workspaces.get(name)
            if limit is not None:
                bucket.set_limit(
                    limit.rate * self.share, limit.burst * self.share, now
                )

    def bucket(self, workspace: str, now: float) -> TokenBucket | None:
        """Return a workspace's bucket, None if it has no limit."""
        limit = self.workspaces.get(workspace)
        if limit is None or not limit.rate:
            return None
        bucket = self.buckets.get(workspace)
        if bucket is None:
            bucket = TokenBucket(
                limit.rate * self.share, limit.burst * self.share, now
            )
            self.buckets[workspace] = bucket
        bucket.refill(now)
        return bucket

    def try_charge(self, ask: SlotRequest, now: float) -> RefusalReason | None:
        """Charge a request to its workspace if limit and budget allow it.

        Returns
        -------
        RefusalReason or None
            Why the request may not be sent, None if it may.
        """
        if ask.attempt > 1:
            if not self.retry_window(ask.service).allows_retry(now):
                return RefusalReason.budget
        bucket = self.bucket(ask.workspace, now)
        if bucket is None:
            return None
        # Each attempt is charged, but the limit refuses only first attempts:
        # the request of a retry was admitted before.
        if ask.attempt == 1 and not bucket.admits(ask.charge):
            return RefusalReason.over_limit
        bucket.level -= ask.charge
        return None

    def refill_s(self, ask: SlotRequest, now: float) -> float:
        """Return the seconds until the workspace's bucket has no deficit."""
        bucket = self.bucket(ask.workspace, now)
        if bucket is None:
            return 0
        return max(0, -bucket.level) / bucket.rate

    def refund(self, workspace: str, charge: int, now: float) -> None:
        """Refund the charge of a request that did not run."""
        bucket = self.bucket(workspace, now)
        if bucket is not None:
            bucket.level = min(bucket.burst, bucket.level + charge)

    def record_attempt(self, ask: SlotRequest, now: float) -> None:
        """Count an attempt at a service."""
        self.retry_window(ask.service).record(retry=ask.attempt > 1, now=now)

    def retry_window(self, service: str) -> RetryWindow:
        """Return the window of recent attempts at a service."""
        return self.retry_windows.setdefault(service, RetryWindow())

    def levels(self, now: float) -> Iterable[tuple[str, int]]:
        """Yield each limited workspace with its level in tokens."""
        for name in list(self.buckets):
            bucket = self.bucket(name, now)
            if bucket is not None:
                yield name, int(bucket.level)

    def on_level(self, workspace: str, tokens: int, now: float) -> None:
        """Adopt the level of an earlier home host if it is lower."""
        bucket = self.bucket(workspace, now)
        if bucket is not None:
            bucket.level = min(bucket.level, tokens)
