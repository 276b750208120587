"""Permits as entry hosts hold them."""

import time
from collections.abc import Callable
from concurrent.futures import Future

from returns.result import Result

from trefoilspool import events
from trefoilspool.problems import Problem

__all__ = ['Permit', 'PermitResult']


class Permit:
    """The right to dispatch one attempt to one endpoint.

    Concurrent calls of ``use`` and ``revoke`` are ordered: either the permit
    is revoked and cannot be used, or it is in use and its stream is aborted.

    Parameters
    ----------
    ask : Ask
        The ask that was granted.
    endpoint : str
        Name of the endpoint.
    expiry : float
        Monotonic seconds after which the permit must not be used.
    """

    def __init__(self, ask: events.Ask, endpoint: str, expiry: float) -> None:
        self.ask = ask
        self.endpoint = endpoint
        self.expiry = expiry
        # Pending: not used yet; running: in use; cancelled: not to be used.
        # A future makes the change to one of the latter two atomic.
        self.use_state: Future[None] = Future()
        self.revoked = False
        self.abort: Callable[[], None] | None = None

    def use(self) -> bool:
        """Start using the permit; return False if revoked or expired."""
        if time.monotonic() >= self.expiry:
            self.use_state.cancel()
        return self.use_state.set_running_or_notify_cancel()

    def revoke(self) -> None:
        """Revoke the permit; abort its stream if it is in use."""
        self.revoked = True
        if not self.use_state.cancel() and self.abort is not None:
            self.abort()


PermitResult = Result[Permit, Problem]
