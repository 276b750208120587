"""Limits of workspaces and the retry budget of each service."""

from collections import deque
from collections.abc import Iterable, Mapping

from trefoilspool.routing import Workspace
from trefoilspool.slotmessages import RefusalReason, SlotRequest

__all__ = ['RateLimits', 'RetryWindow', 'TokenBucket']

WINDOW_S = 10.0
RETRY_SHARE = 0.15
RETRY_BASE = 60
START_SHARE = 0.5
SMALL_S = 0.02  # a request of at most so many seconds' tokens is small


class TokenBucket:
    """A token bucket that may owe what its last request had too much.

    So a large request is let through as often as a small one.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        The most tokens that it holds; at first it holds a half, since an
        earlier home may have given the rest.
    now : float
        The present time in seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst * START_SHARE
        self.filled = now

    def fill(self, now: float) -> None:
        """Add what has come since the last call."""
        added = (now - self.filled) * self.rate
        self.level = min(self.burst, self.level + added)
        self.filled = now

    def lets_through(self, charge: float) -> bool:
        """Tell whether a request may be sent at the present level.

        Small ones pass a debt below one burst: one large request would
        otherwise turn away all that the workspace asks after it.
        """
        if charge <= self.rate * SMALL_S:
            return self.level > -self.burst
        return self.level > 0

    def change(self, rate: float, burst: float, now: float) -> None:
        """Put another rate and burst in force."""
        self.fill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)


class RetryWindow:
    """First and further sends to a service in the last seconds."""

    def __init__(self) -> None:
        self.sends: deque[tuple[float, bool]] = deque()
        self.firsts = 0
        self.repeats = 0

    def add(self, *, repeat: bool, now: float) -> None:
        """Count a send."""
        self.sends.append((now, repeat))
        self.firsts += not repeat
        self.repeats += repeat

    def allows(self, now: float) -> bool:
        """Tell whether one more repeat stays within the budget."""
        while self.sends and self.sends[0][0] < now - WINDOW_S:
            _, repeat = self.sends.popleft()
            self.firsts -= not repeat
            self.repeats -= repeat
        return self.repeats < self.firsts * RETRY_SHARE + RETRY_BASE


class RateLimits:
    """Limits of all workspaces and budgets of all services."""

    def __init__(self) -> None:
        self.workspaces: Mapping[str, Workspace] = {}
        self.buckets: dict[str, TokenBucket] = {}
        self.windows: dict[str, RetryWindow] = {}

    def on_workspaces(
        self,
        workspaces: Mapping[str, Workspace],
        now: float,
    ) -> None:
        """Take the limits of a new configuration."""
        self.workspaces = workspaces
        for name, workspace in workspaces.items():
            bucket = self.buckets.get(name)
            if bucket is not None:
                bucket.change(workspace.rate, workspace.burst, now)

    def bucket(self, workspace: str, now: float) -> TokenBucket | None:
        """Return a workspace's bucket, None if it has no limit."""
        limit = self.workspaces.get(workspace)
        if limit is None or not limit.rate:
            return None
        bucket = self.buckets.get(workspace)
        if bucket is None:
            bucket = TokenBucket(limit.rate, limit.burst, now)
            self.buckets[workspace] = bucket
        bucket.fill(now)
        return bucket

    def refusal(self, ask: SlotRequest, now: float) -> RefusalReason | None:
        """Return why a request may not be sent, None if it may."""
        if ask.attempt > 1:
            if not self.window(ask.service).allows(now):
                return RefusalReason.budget
        bucket = self.bucket(ask.workspace, now)
        if bucket is None:
            return None
        # A repeat runs again and counts again; its request was let through.
        if ask.attempt == 1 and not bucket.lets_through(ask.charge):
            return RefusalReason.over_limit
        bucket.level -= ask.charge
        return None

    def wait_s(self, ask: SlotRequest, now: float) -> float:
        """Return the seconds until the workspace may send a request."""
        bucket = self.bucket(ask.workspace, now)
        if bucket is None:
            return 0
        return max(0, -bucket.level) / bucket.rate

    def give_back(self, workspace: str, charge: int, now: float) -> None:
        """Take back the charge of a request that did not run."""
        bucket = self.bucket(workspace, now)
        if bucket is not None:
            bucket.level = min(bucket.burst, bucket.level + charge)

    def spend(self, ask: SlotRequest, now: float) -> None:
        """Count a send to a service."""
        self.window(ask.service).add(repeat=ask.attempt > 1, now=now)

    def window(self, service: str) -> RetryWindow:
        """Return the sends to a service."""
        return self.windows.setdefault(service, RetryWindow())

    def levels(self, now: float) -> Iterable[tuple[str, int]]:
        """Yield each limited workspace with its saved tokens."""
        for name in list(self.buckets):
            bucket = self.bucket(name, now)
            if bucket is not None:
                yield name, int(bucket.level)

    def on_level(self, workspace: str, tokens: int, now: float) -> None:
        """Take a level that another home had, if it is lower."""
        bucket = self.bucket(workspace, now)
        if bucket is not None:
            bucket.level = min(bucket.level, tokens)
