"""Keeps brittle endpoints from having to turn too many requests away.

An endpoint that says how many requests it can turn away in a second ends if it
has to turn away more. Whether it has room is known only once it has responded,
so a request that was sent just now counts like one that was turned away.
"""

from collections import deque

from trefoilspool.departures import EndpointRun
from trefoilspool.endpointlimits import HOME_REFUSALS, EndpointLimits
from trefoilspool.slotmessages import SlotKey

__all__ = ['RefusalPacer']

# An endpoint turns a request away at once; one that was sent so long ago has
# been taken.
RISK_S = 0.1
# The endpoint's second, and what the news of a refusal takes.
WINDOW_S = 1.3
LEAST_REFUSALS = 1.0  # without any risk no request could be sent at all
# After a refusal an endpoint is thought to have room for half of what it worked
# on, and for half as many again each time.
ROOM_STEP_S = 2.0
ROOM_CUT = 0.5
ROOM_GROWTH = 1.5
LEAST_ROOM = 1
MAX_ROOM = 1_000_000
MAX_STEPS = 30
NEVER = float('-inf')


class RunRisk:
    """Requests that one run may have to turn away, or has.

    Attributes
    ----------
    sent : dict
        When requests that have no outcome yet were granted, in seconds, by
        the key of the slot; oldest first.
    refused : deque of float
        When others were refused, in seconds.
    granted_at : float
        When the last one was granted, in seconds.
    room : float
        How many requests it worked on as it refused the last one.
    room_at : float
        When that was, in seconds.
    """

    def __init__(self) -> None:
        self.room: float = MAX_ROOM
        self.room_at = 0.0
        self.sent: dict[SlotKey, float] = {}
        self.refused: deque[float] = deque()
        self.granted_at = NEVER

    def on_refused(self, held: int, now: float) -> None:
        """Note that it refused a request while it worked on some others."""
        self.refused.append(now)
        before = min(held, self.room_now(now))
        self.room = max(LEAST_ROOM, before * ROOM_CUT)
        self.room_at = now

    def room_now(self, now: float) -> int:
        """Return how many requests it is thought to work on at once."""
        steps = (now - self.room_at) // ROOM_STEP_S
        return int(
            min(MAX_ROOM, self.room * ROOM_GROWTH ** min(steps, MAX_STEPS))
        )

    def count(self, now: float) -> int:
        """Return how many requests count as turned away."""
        while self.refused and now - self.refused[0] > WINDOW_S:
            self.refused.popleft()
        for key, sent_at in list(self.sent.items()):
            if now - sent_at <= RISK_S:
                break
            self.sent.pop(key)
        return len(self.refused) + len(self.sent)


class RefusalPacer:
    """Counts refusals that brittle endpoints may come to; pure.

    Parameters
    ----------
    limits : EndpointLimits
        What endpoints have said.
    phase : float
        Part of the time between two requests for which the first one waits not,
        so that hosts that are alone do not send at the same times.

    Attributes
    ----------
    share : float
        Part of the refusals of each run that may come of grants here.
    risks : dict
        Requests at risk, by the run of a brittle endpoint.
    """

    def __init__(self, limits: EndpointLimits, phase: float = 1.0) -> None:
        self.limits = limits
        self.phase = phase
        self.share = 1.0
        self.risks: dict[EndpointRun, RunRisk] = {}

    def admits(self, run: EndpointRun, held: int, now: float) -> bool:
        """Return whether a run may get a request now.

        Parameters
        ----------
        run : EndpointRun
            The endpoint's run.
        held : int
            Number of requests that it works on.
        now : float
            The present time in seconds.
        """
        most = self.limits.refusals_per_s(run)
        if most is None:
            return True
        allowed = max(LEAST_REFUSALS, most * HOME_REFUSALS) * self.share
        risk = self.risks.get(run)
        if risk is None:
            risk = RunRisk()
            risk.granted_at = now - self.phase / allowed
            self.risks[run] = risk
        if held >= risk.room_now(now):
            return False
        if allowed >= 1:
            return risk.count(now) < int(allowed)
        # Less than one in a second: one in so many seconds.
        return not risk.count(now) and now - risk.granted_at >= 1 / allowed

    def on_granted(self, run: EndpointRun, key: SlotKey, now: float) -> None:
        """Count a request that is sent to a run."""
        if self.limits.refusals_per_s(run) is None:
            return
        risk = self.risks.setdefault(run, RunRisk())
        risk.sent[key] = now
        risk.granted_at = now

    def on_outcome(self, run: EndpointRun, key: SlotKey) -> None:
        """Note that a request has ended, or was taken."""
        risk = self.risks.get(run)
        if risk is not None:
            risk.sent.pop(key, None)

    def on_refused(self, run: EndpointRun, held: int, now: float) -> None:
        """Note that a run turned a request away, wherever it was granted.

        Parameters
        ----------
        run : EndpointRun
            The endpoint's run.
        held : int
            Number of other requests that it works on.
        now : float
            The present time in seconds.
        """
        if self.limits.refusals_per_s(run) is not None:
            self.risks.setdefault(run, RunRisk()).on_refused(held, now)

    def forget_ended(self) -> None:
        """Drop the runs that are no longer brittle."""
        for run in list(self.risks):
            if self.limits.refusals_per_s(run) is None:
                self.risks.pop(run)
