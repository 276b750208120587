"""What a replay tells the scheduling core of its engines, periodically."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from trefoilspool import events
from trefoilspool.enginemodel import EngineModel
from trefoilspool.simulatedclock import SimulatedClock

__all__ = ['EngineReports']

TICK_S = 0.05
PACE_INTERVAL_S = 0.5


class DelayedReport(NamedTuple):
    """Load of each engine at a time, which the cell receives later."""

    at: float
    loads: Mapping[str, int]


class EngineReports:
    """Sends ticks, and the pace and load of engines, until a time.

    Parameters
    ----------
    engines : dict of str to EngineModel
        The modelled engines by name.
    lag_s : float
        Age of a load report when it is received, in seconds.
    clock : SimulatedClock
        Time of the replay.
    feed : callable
        Receives each event.

    Attributes
    ----------
    reports : deque of DelayedReport
        Load reports that have not been received yet.
    """

    def __init__(
        self,
        engines: dict[str, EngineModel],
        lag_s: float,
        clock: SimulatedClock,
        feed: Callable[[events.Event], None],
    ) -> None:
        self.engines = engines
        self.lag_s = lag_s
        self.clock = clock
        self.feed = feed
        self.reports: deque[DelayedReport] = deque()

    def start(self, until: float) -> None:
        """Schedule ticks and reports up to a simulated time in seconds."""
        self.clock.schedule(0, self.tick, until)
        self.clock.schedule(PACE_INTERVAL_S, self.send, until)

    def tick(self, until: float) -> None:
        """Send a tick and schedule the next one."""
        self.feed(events.Tick())
        if self.clock.now < until:
            self.clock.schedule(self.clock.now + TICK_S, self.tick, until)

    def send(self, until: float) -> None:
        """Send the pace of each engine, and the load reports that are due."""
        for engine in self.engines.values():
            self.send_pace(engine)
        loads = {
            model.spec.name: len(model.batch) + len(model.queue)
            for model in self.engines.values()
        }
        now = self.clock.now
        self.reports.append(DelayedReport(now, loads))
        while self.reports and self.reports[0].at <= now - self.lag_s:
            for name, load in self.reports.popleft().loads.items():
                self.feed(events.LoadReport(name, load, 0, self.lag_s))
        if now < until:
            self.clock.schedule(now + PACE_INTERVAL_S, self.send, until)

    def send_pace(self, engine: EngineModel) -> None:
        """Send an engine's pace, then reset the entry host's measurement."""
        if engine.stream_s:
            streams = max(1, round(engine.stream_s / PACE_INTERVAL_S))
            self.feed(
                events.Pace(
                    engine.spec.name,
                    streams,
                    engine.decoded_tokens,
                    engine.stream_s / streams,
                )
            )
        engine.decoded_tokens = 0
        engine.stream_s = 0
