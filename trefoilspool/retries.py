"""Retry budgets, which limit retries to a share of the requests."""

import threading
from collections import OrderedDict

__all__ = ['RetryBudget']

MAX_SAVED_RETRIES = 10.0
MAX_WORKSPACES = 4096


class RetryBudget:
    """A token bucket of retries for each workspace; thread-safe.

    Of more than ``MAX_WORKSPACES``, the least recently active is dropped.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.tokens: OrderedDict[str, float] = OrderedDict()

    def earn(self, workspace: str, share: float) -> None:
        """Add the fraction of a retry that one request earns."""
        with self.lock:
            balance = self.tokens.pop(workspace, 1.0)
            self.tokens[workspace] = min(MAX_SAVED_RETRIES, balance + share)
            if len(self.tokens) > MAX_WORKSPACES:
                self.tokens.popitem(last=False)

    def spend(self, workspace: str) -> bool:
        """Take one retry from the budget; False if there is none."""
        with self.lock:
            balance = self.tokens.get(workspace, 0)
            if balance < 1:
                return False
            self.tokens[workspace] = balance - 1
            return True
