"""Permits as entries hold them."""

import time
from collections.abc import Callable
from concurrent.futures import Future

from returns.result import Result

from trefoilspool import events
from trefoilspool.errors import Problem

__all__ = ['Permit', 'PermitResult']


class Permit:
    """The right to dispatch one request to one endpoint.

    ``use`` and ``revoke`` exclude each other: a permit is either used or
    revoked first, never both at once.

    Parameters
    ----------
    ask : Ask
        What was asked for.
    endpoint : str
        Where the request may go.
    expiry : float
        Monotonic seconds after which the permit must not be used.
    """

    def __init__(self, ask: events.Ask, endpoint: str, expiry: float) -> None:
        self.ask = ask
        self.endpoint = endpoint
        self.expiry = expiry
        self.gate: Future[None] = Future()
        self.revoked = False
        self.abort: Callable[[], None] | None = None

    def use(self) -> bool:
        """Take the permit into use; False if it was revoked or is late."""
        if time.monotonic() >= self.expiry:
            self.gate.cancel()
        return self.gate.set_running_or_notify_cancel()

    def revoke(self) -> None:
        """Revoke the permit, and abort its stream if it is in use."""
        self.revoked = True
        if not self.gate.cancel() and self.abort is not None:
            self.abort()


PermitResult = Result[Permit, Problem]
