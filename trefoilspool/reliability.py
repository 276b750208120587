"""How often an endpoint fails, learned from the ends of requests."""

import math
from collections.abc import Mapping
from enum import Enum, auto

__all__ = ['Outcome', 'Reliability', 'ReliabilityState']

GAIN = 0.08  # weight of the newest answer in the share of failures
LOST_GAIN = 0.3
HALF_LIFE_S = 4.0  # of the share, since who gets no work proves nothing
# What a failure costs besides the time until it is noticed: a second send, or
# the request itself where there may be none.
REPEAT_COST_S = 0.3
ONCE_COST_S = 2.0
FAILURES_IN_A_ROW = 3
PAUSE_S = 2.0


class ReliabilityState(Enum):
    """Whether an endpoint gets work."""

    trusted = auto()
    ejected = auto()
    on_trial = auto()  # one request at a time


class Outcome(Enum):
    """What the end of a request, or the passing of time, says."""

    sound = auto()
    dead = auto()
    rested = auto()


State = ReliabilityState
TRANSITIONS: Mapping[tuple[State, Outcome], State] = {
    (State.trusted, Outcome.dead): State.ejected,
    (State.ejected, Outcome.sound): State.trusted,
    (State.ejected, Outcome.rested): State.on_trial,
    (State.on_trial, Outcome.dead): State.ejected,
    (State.on_trial, Outcome.sound): State.trusted,
}


class Reliability:
    """The record of one endpoint.

    Failures in a row eject an endpoint until it answers well or has rested.
    One that fails a part of its requests is not passed over for long: what it
    still does may be more than the others have room for. It looks slower by
    what its failures cost.
    """

    def __init__(self) -> None:
        self.state = State.trusted
        self.share = 0.0
        self.share_at = 0.0
        self.lost_s = 0.0
        self.row = 0
        self.since = 0.0
        self.probe_at = 0.0

    def observe(self, *, failed: bool, sent: float, now: float) -> None:
        """Take the end of a request.

        Parameters
        ----------
        failed : bool
            Whether the endpoint failed it.
        sent, now : float
            When it was sent and when it ended, in seconds.
        """
        share = self.failure_share(now)
        self.share = share + GAIN * (failed - share)
        self.share_at = now
        if not failed:
            self.row = 0
            self.move(Outcome.sound, now)
            return
        self.lost_s += LOST_GAIN * (now - sent - self.lost_s)
        self.row += 1
        if self.row >= FAILURES_IN_A_ROW or self.state is State.on_trial:
            self.move(Outcome.dead, now)

    def failure_share(self, now: float) -> float:
        """Return the share of requests that the endpoint fails."""
        halved = math.exp2((self.share_at - now) / HALF_LIFE_S)
        return self.share * halved

    def cost_s(self, now: float, *, repeatable: bool) -> float:
        """Return the seconds that its failures cost a request on average.

        Parameters
        ----------
        now : float
            The present time in seconds.
        repeatable : bool
            Whether the request may be sent again elsewhere if it fails.
        """
        cost = REPEAT_COST_S if repeatable else ONCE_COST_S
        return self.failure_share(now) * (self.lost_s + cost)

    def move(self, outcome: Outcome, now: float) -> None:
        """Change the state by the table."""
        state = TRANSITIONS.get((self.state, outcome))
        if state is not None:
            self.state = state
            self.since = now
            self.probe_at = now

    def takes_work(self, now: float, *, repeatable: bool = True) -> bool:
        """Tell whether the endpoint may get a request now."""
        if self.state is State.ejected and now - self.since >= PAUSE_S:
            self.move(Outcome.rested, now)
        if self.state is State.trusted:
            return True
        if self.state is State.ejected or now < self.probe_at:
            return False
        # What may run only once tries it where nothing else has for long.
        return repeatable or now - self.probe_at >= PAUSE_S

    def on_granted(self, now: float) -> None:
        """Let no second request through while one is on trial."""
        if self.state is State.on_trial:
            self.probe_at = now + PAUSE_S
