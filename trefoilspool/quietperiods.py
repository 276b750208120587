"""Periods for which endpoints have asked this host not to send requests."""

import threading
from collections.abc import Iterable

import logbook

__all__ = ['QuietPeriods']

MAX_QUIET_S = 3600.0  # a longer request is taken as this

logger = logbook.Logger('quiet')


class QuietPeriods:
    """Until when each endpoint gets no requests; safe to use from any thread.

    An endpoint that turns a request away may say for how long it wants none
    from this host. Other hosts are not bound by it.

    Attributes
    ----------
    until : dict
        End of the quiet period by endpoint, in monotonic seconds.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.until: dict[str, float] = {}

    def on_request(self, endpoint: str, seconds: float, now: float) -> None:
        """Start or extend the quiet period that an endpoint asks for."""
        bounded_s = min(seconds, MAX_QUIET_S)
        with self.lock:
            before = self.until.get(endpoint, now)
            self.until[endpoint] = max(before, now + bounded_s)
        logger.info(
            'endpoint_quiet',
            extra={
                'endpoint': endpoint,
                'asked_s': seconds,
                'for_s': bounded_s,
            },
        )

    def remaining_s(self, endpoint: str, now: float) -> float:
        """Return the seconds left of an endpoint's quiet period, 0 if none."""
        return max(0, self.until.get(endpoint, now) - now)

    def quiet(self, endpoints: Iterable[str], now: float) -> dict[str, float]:
        """Return the endpoints in a quiet period with the seconds left."""
        remaining = {name: self.remaining_s(name, now) for name in endpoints}
        return {name: left for name, left in remaining.items() if left}

    def forget_ended(self, now: float) -> None:
        """Drop the periods that have ended."""
        with self.lock:
            self.until = {
                endpoint: until
                for endpoint, until in self.until.items()
                if until > now
            }
