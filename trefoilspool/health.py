"""Detection of stragglers by comparison with an endpoint's own baseline."""

import math
from collections.abc import Mapping
from enum import Enum, auto

from trefoilspool.learning import bounded_average

__all__ = ['Health', 'HealthState', 'Signal']

SLOW_RATIO = 2.5
BASELINE_GAIN = 0.05
GAP_FLOOR_S = 0.002
PROBE_DELAY_S = 2.0
FAILURES_TO_EJECT = 3


class HealthState(Enum):
    """Whether an endpoint gets new requests."""

    healthy = auto()
    suspect = auto()
    ejected = auto()
    probing = auto()


class Signal(Enum):
    """An observation of an endpoint."""

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
    """Health state of one endpoint."""

    def __init__(self) -> None:
        self.state = HealthState.healthy
        self.since = 0.0
        self.baseline = 0.0
        self.failures = 0

    def apply(self, signal: Signal, now: float) -> None:
        """Change the state according to ``TRANSITIONS``."""
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
        """Record that the endpoint responded and so works again."""
        self.apply(Signal.normal, now)

    def probe_due(self, now: float) -> bool:
        """Return whether an ejected endpoint may be probed now."""
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
