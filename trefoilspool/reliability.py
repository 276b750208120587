"""Failure rate of an endpoint, and its ejection after repeated failures."""

import math
from collections.abc import Mapping
from enum import Enum, auto

__all__ = ['Reliability', 'ReliabilityEvent', 'ReliabilityState']

FAILURE_SHARE_GAIN = 0.08  # weight of the newest response in the average
FAILURE_TIME_GAIN = 0.3  # weight of the newest failure in the average
# Half-life of the failure share. Without the decay, the share of an endpoint
# that gets no requests would never fall.
HALF_LIFE_S = 4.0
# Cost of a failure besides the time until it is detected: a second attempt,
# or the loss of the request where it may run at most once.
RETRY_COST_S = 0.3
AT_MOST_ONCE_COST_S = 2.0
MAX_CONSECUTIVE_FAILURES = 3
PROBE_INTERVAL_S = 2.0


class ReliabilityState(Enum):
    """Whether an endpoint gets requests."""

    trusted = auto()
    ejected = auto()
    on_trial = auto()  # one request at a time


class ReliabilityEvent(Enum):
    """An input of the state machine of an endpoint.

    Attributes
    ----------
    succeeded
        The endpoint completed a request.
    tripped
        It failed too many requests in succession, or a probe.
    probe_due
        The probe interval has passed since its ejection.
    """

    succeeded = auto()
    tripped = auto()
    probe_due = auto()


State = ReliabilityState
TRANSITIONS: Mapping[tuple[State, ReliabilityEvent], State] = {
    (State.trusted, ReliabilityEvent.tripped): State.ejected,
    (State.ejected, ReliabilityEvent.succeeded): State.trusted,
    (State.ejected, ReliabilityEvent.probe_due): State.on_trial,
    (State.on_trial, ReliabilityEvent.tripped): State.ejected,
    (State.on_trial, ReliabilityEvent.succeeded): State.trusted,
}


class Reliability:
    """Failure statistics and state of one endpoint.

    Consecutive failures eject an endpoint until it completes a request or
    the probe interval has passed. An endpoint that fails only a part of its
    requests is not ejected for long, since the others may lack the capacity
    for the requests that it still completes; its failures worsen its score
    instead.

    Attributes
    ----------
    last_share, last_share_at : float
        Failure share after the latest result, and the time of that result in
        seconds.
    failure_time_s : float
        Average time after which a request failed, in seconds.
    state_since : float
        When the state last changed, in seconds.
    next_probe_at : float
        Time before which no further probe is sent, in seconds.
    """

    def __init__(self) -> None:
        self.state = State.trusted
        self.last_share = 0.0
        self.last_share_at = 0.0
        self.failure_time_s = 0.0
        self.consecutive_failures = 0
        self.state_since = 0.0
        self.next_probe_at = 0.0

    def observe(self, *, failed: bool, sent_at: float, now: float) -> None:
        """Record the result of a request.

        Parameters
        ----------
        failed : bool
            Whether the request failed at the endpoint.
        sent_at, now : float
            When it was sent and when it ended, in seconds.
        """
        share = self.failure_share(now)
        self.last_share = share + FAILURE_SHARE_GAIN * (failed - share)
        self.last_share_at = now
        if not failed:
            self.consecutive_failures = 0
            self.transition(ReliabilityEvent.succeeded, now)
            return
        self.failure_time_s += FAILURE_TIME_GAIN * (
            now - sent_at - self.failure_time_s
        )
        self.consecutive_failures += 1
        if (
            self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            or self.state is State.on_trial
        ):
            self.transition(ReliabilityEvent.tripped, now)

    def failure_share(self, now: float) -> float:
        """Return the decayed average share of requests that failed."""
        decay = math.exp2((self.last_share_at - now) / HALF_LIFE_S)
        return self.last_share * decay

    def cost_s(self, now: float, *, repeatable: bool) -> float:
        """Return the expected time lost to failures by a request, in seconds.

        Parameters
        ----------
        now : float
            The present time in seconds.
        repeatable : bool
            Whether the request may be sent again elsewhere if it fails.
        """
        cost = RETRY_COST_S if repeatable else AT_MOST_ONCE_COST_S
        return self.failure_share(now) * (self.failure_time_s + cost)

    def transition(self, event: ReliabilityEvent, now: float) -> None:
        """Change the state as the transition table defines."""
        state = TRANSITIONS.get((self.state, event))
        if state is not None:
            self.state = state
            self.state_since = now
            self.next_probe_at = now

    def accepts_requests(self, now: float, *, repeatable: bool = True) -> bool:
        """Return whether the endpoint may get a request now."""
        if (
            self.state is State.ejected
            and now - self.state_since >= PROBE_INTERVAL_S
        ):
            self.transition(ReliabilityEvent.probe_due, now)
        if self.state is State.trusted:
            return True
        if self.state is State.ejected or now < self.next_probe_at:
            return False
        # A request that may run at most once is sent as a probe only if there
        # has been no other probe for a further interval.
        return repeatable or now - self.next_probe_at >= PROBE_INTERVAL_S

    def on_grant(self, now: float) -> None:
        """Delay the next probe if the granted request is one."""
        if self.state is State.on_trial:
            self.next_probe_at = now + PROBE_INTERVAL_S
