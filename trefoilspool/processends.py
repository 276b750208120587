"""The processes of endpoints that ended, by the signs of their runs."""

from collections import OrderedDict, defaultdict
from collections.abc import Collection
from typing import NamedTuple

from trefoilspool.culprits import NEVER, EndedProcess
from trefoilspool.departures import EndpointRun
from trefoilspool.runsigns import (
    NO_SIGNS,
    SIMULTANEOUS_S,
    RunSigns,
    first_breaks,
    with_refusal,
    with_sign,
)

__all__ = ['BrokenAttempt', 'ProcessEnds']

MAX_RUNS = 512


class BrokenAttempt(NamedTuple):
    """A reported attempt, and when it ended in seconds."""

    run: EndpointRun
    parts: tuple[str, ...]
    ended_at: float


class ProcessEnds:
    """Signs of the ends of runs, and the processes that they show.

    Attributes
    ----------
    runs : dict
        Signs of the ends of runs, by run.
    is_changed : bool
        Whether there are new signs, until the owner clears it.
    """

    def __init__(self) -> None:
        self.runs: OrderedDict[EndpointRun, RunSigns] = OrderedDict()
        self.is_changed = False

    def on_broken(
        self, run: EndpointRun, attempt: tuple[str, int], at: float
    ) -> None:
        """Note an attempt that broke at a run, whether reported or not."""
        signs = self.runs.get(run, NO_SIGNS)
        if signs.broken_attempt == attempt:
            return
        is_collapse = abs(signs.broken_at - at) <= SIMULTANEOUS_S
        self.set_signs(
            run,
            signs._replace(
                broken_at=at,
                broken_attempt=attempt,
                collapsed_at=at if is_collapse else signs.collapsed_at,
            ),
        )

    def on_run_ended(
        self, run: EndpointRun, now: float, *, is_down: bool = False
    ) -> None:
        """Note a sign that a run has ended, such as a refused connection."""
        signs = self.runs.get(run, NO_SIGNS)
        if is_down:
            outages = with_refusal(signs.outages, now)
            signs = signs._replace(outages=outages)
        ended_at = with_sign(signs.ended_at, now)
        signs = signs._replace(ended_at=ended_at)
        if signs != self.runs.get(run):
            self.set_signs(run, signs)

    def on_run_alive(self, run: EndpointRun, since: float) -> None:
        """Note that a run has answered a request that was sent at a time.

        Signs of its end from before were wrong.
        """
        signs = self.runs.get(run)
        if signs is not None:
            collapsed_at = signs.collapsed_at
            self.runs[run] = signs._replace(
                collapsed_at=NEVER if collapsed_at < since else collapsed_at,
                ended_at=tuple(at for at in signs.ended_at if at >= since),
            )

    def set_signs(self, run: EndpointRun, signs: RunSigns) -> None:
        """Replace the signs of a run."""
        self.runs[run] = signs
        self.is_changed = True
        if len(self.runs) > MAX_RUNS:
            self.runs.popitem(last=False)

    def by_process(
        self, attempts: Collection[BrokenAttempt]
    ) -> list[tuple[EndedProcess, BrokenAttempt]]:
        """Return the attempts, each with the process that it was at."""
        times: defaultdict[EndpointRun, set[float]] = defaultdict(set)
        for run, _, ended_at in attempts:
            times[run].add(ended_at)
        processes: dict[tuple[EndpointRun, float], EndedProcess] = {}
        for run, broken_at in times.items():
            firsts = first_breaks(self.runs.get(run, NO_SIGNS), broken_at)
            for at, first_at in firsts.items():
                processes[run, at] = EndedProcess(run, first_at)
        return [
            (processes[attempt.run, attempt.ended_at], attempt)
            for attempt in attempts
        ]

    def is_end(self, attempt: BrokenAttempt) -> bool:
        """Return whether the run of an attempt ended with it."""
        signs = self.runs.get(attempt.run, NO_SIGNS)
        return signs.is_end(attempt.ended_at)
