"""Retry budgets, so that retries stay a share of requests."""

import threading
from collections import OrderedDict

__all__ = ['RetryBudget']

MAX_SAVED = 10.0  # retries that may be saved up
MAX_WORKSPACES = 4096


class RetryBudget:
    """A token bucket for each workspace; safe to use from any thread."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.tokens: OrderedDict[str, float] = OrderedDict()

    def earn(self, workspace: str, share: float) -> None:
        """Add the share of a retry that a first attempt allows."""
        with self.lock:
            saved = self.tokens.pop(workspace, 1.0)
            self.tokens[workspace] = min(MAX_SAVED, saved + share)
            if len(self.tokens) > MAX_WORKSPACES:
                self.tokens.popitem(last=False)

    def spend(self, workspace: str) -> bool:
        """Take one retry if the budget allows it."""
        with self.lock:
            saved = self.tokens.get(workspace, 0)
            if saved < 1:
                return False
            self.tokens[workspace] = saved - 1
            return True
