"""Detection of stragglers by comparison with an endpoint's own baseline."""

import math
from collections.abc import Mapping
from enum import Enum, auto

from trefoilspool.learning import bounded_average

__all__ = ['Health', 'HealthState', 'Signal']

SLOW_RATIO = 2.5  # of a gap between tokens to the baseline
BASELINE_GAIN = 0.05  # weight of a new gap in the baseline
GAP_FLOOR_S = 0.002
PROBE_DELAY_S = 2.0
FAILURES_TO_EJECT = 3  # in a row


class HealthState(Enum):
    """Whether an endpoint gets new requests.

    Attributes
    ----------
    suspect
        Slow once; it gets requests, with a longer predicted time.
    ejected
        It gets no requests.
    probing
        It gets one request at a time, to test whether it has recovered.
    """

    healthy = auto()
    suspect = auto()
    ejected = auto()
    probing = auto()


class Signal(Enum):
    """An observation of an endpoint.

    Attributes
    ----------
    normal
        A gap between tokens is at most ``SLOW_RATIO`` times the baseline.
    slow
        A gap between tokens exceeds ``SLOW_RATIO`` times the baseline.
    failed
        At least ``FAILURES_TO_EJECT`` requests failed in a row.
    waited
        ``PROBE_DELAY_S`` has passed since the ejection.
    """

    normal = auto()
    slow = auto()
    failed = auto()
    waited = auto()


TRANSITIONS: Mapping[tuple[HealthState, Signal], HealthState] = {
    (HealthState.healthy, Signal.slow): HealthState.suspect,
    (HealthState.suspect, Signal.slow): HealthState.ejected,
    (HealthState.suspect, Signal.normal): HealthState.healthy,
    (HealthState.ejected, Signal.waited): HealthState.probing,
    (HealthState.ejected, Signal.normal): HealthState.healthy,
    (HealthState.probing, Signal.slow): HealthState.ejected,
    (HealthState.probing, Signal.normal): HealthState.healthy,
    (HealthState.healthy, Signal.failed): HealthState.ejected,
    (HealthState.suspect, Signal.failed): HealthState.ejected,
    (HealthState.probing, Signal.failed): HealthState.ejected,
}


class Health:
    """Health state of one endpoint.

    Attributes
    ----------
    since : float
        Seconds on the cell's clock at the last change of state, or at the
        last sign that an ejected endpoint has not recovered.
    baseline : float
        Average seconds between tokens, 0 before the first measurement.
    failures : int
        Requests that failed since the last success.
    """

    def __init__(self) -> None:
        self.state = HealthState.healthy
        self.since = 0.0
        self.baseline = 0.0
        self.failures = 0

    def apply(self, signal: Signal, now: float) -> None:
        """Change the state according to ``TRANSITIONS``.

        Another signal to an ejected endpoint restarts its probe delay.
        """
        state = TRANSITIONS.get((self.state, signal))
        if state is not None:
            self.state = state
            self.since = now
        elif self.state is HealthState.ejected:
            self.since = now

    def observe_gap(self, gap: float, now: float) -> None:
        """Compare a gap between tokens, in seconds, with the baseline."""
        gap = max(gap, GAP_FLOOR_S)
        if not self.baseline:
            self.baseline = gap
        if gap > self.baseline * SLOW_RATIO:
            self.apply(Signal.slow, now)
            return
        self.baseline = bounded_average(self.baseline, gap, BASELINE_GAIN)
        self.apply(Signal.normal, now)

    def observe_failure(self, now: float) -> None:
        """Count a failed request; eject after several in a row."""
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT:
            self.apply(Signal.failed, now)

    def observe_success(self) -> None:
        """Reset the count of failures."""
        self.failures = 0

    def signal_recovered(self, now: float) -> None:
        """Record that the endpoint has responded and is healthy again."""
        self.apply(Signal.normal, now)

    def probe_due(self, now: float) -> bool:
        """Return whether a request may be sent as a probe.

        An ejected endpoint changes to ``probing`` after ``PROBE_DELAY_S``.
        """
        if self.state is HealthState.ejected:
            if now - self.since >= PROBE_DELAY_S:
                self.apply(Signal.waited, now)
        return self.state is HealthState.probing

    @property
    def time_factor(self) -> float:
        """Return the factor on predicted times, infinite when ejected."""
        return TIME_FACTORS[self.state]


TIME_FACTORS: Mapping[HealthState, float] = {
    HealthState.healthy: 1,
    HealthState.suspect: 3,
    HealthState.ejected: math.inf,
    HealthState.probing: 3,
}
