"""How far one roll-out is, and what hosts have reported of it; pure."""

from collections.abc import Mapping
from typing import NamedTuple

from trefoilspool.rollouts.messages import (
    Announcement,
    Phase,
    RolloutOrder,
    RolloutReport,
    RowKey,
    Tally,
)
from trefoilspool.rollouts.verdict import VersionJudge

__all__ = ['STEPS', 'STEP_ACCEPTANCE', 'ReportSource', 'Rollout']

# The share grows in these steps, each held for so long at least.
STEPS = (0.25, 0.5)
STEP_S = 1.0
# Odds of the evidence of one step, after which the next follows.
STEP_ACCEPTANCE = 3.4  # ln 30


class ReportSource(NamedTuple):
    """A run of a host."""

    host: str
    incarnation: int


class ReceivedReport(NamedTuple):
    """A report and when it came at the earliest, in seconds."""

    report: RolloutReport
    heard_at: float


class Rollout:
    """One roll-out.

    Attributes
    ----------
    started_at : float
        When the order was taken up, in seconds; may be before this process
        started.
    step : int
        Index in ``STEPS``; -1 while the version is tested.
    stepped_at : float
        When the phase or step last changed, in seconds.
    clean_before : float
        Evidence for the version when the step began.
    hold_s : float
        Seconds after which the step ends also without enough evidence.
    was_doubtful : bool
        Whether a step was taken back; the next needs enough evidence then.
    pending : list
        What was reported since the last judgement.
    """

    def __init__(self, announcement: Announcement, now: float) -> None:
        self.announcement = announcement
        self.started_at = now
        self.stepped_at = now
        self.step = -1
        self.clean_before = 0.0
        self.hold_s = 0.0
        self.was_doubtful = False
        self.judge = VersionJudge()
        self.judged_at = now
        self.reports: dict[ReportSource, ReceivedReport] = {}
        self.pending: list[Mapping[RowKey, Tally]] = []
        self.is_started = False

    @property
    def order(self) -> RolloutOrder:
        """Return the order."""
        return self.announcement.order

    @property
    def phase(self) -> Phase:
        """Return the phase."""
        return self.announcement.phase

    def sent(self) -> int:
        """Return the attempts that were sent to the service."""
        return sum(received.report.sent for received in self.reports.values())

    def exposed(self) -> int:
        """Return the attempts that were sent to the target."""
        return sum(
            received.report.exposed for received in self.reports.values()
        )

    def rate(self, least_s: float, now: float) -> float:
        """Return the attempts sent to the service a second.

        Parameters
        ----------
        least_s : float
            Seconds that count as elapsed at least.
        now : float
            The present time in seconds.
        """
        return self.sent() / max(now - self.started_at, least_s)

    def left(self, part: float, now: float) -> float:
        """Return the seconds until a part of the order's time is over."""
        return self.started_at + part * self.order.duration_s - now

    def begin_step(self, now: float) -> None:
        """Note the beginning of a step of the share, or of the drain.

        What is left of the order's time is divided between the steps left.
        """
        self.step += 1
        self.clean_before = self.judge.clean()
        steps_left = len(STEPS) + 2 - self.step
        self.hold_s = max(0, self.left(1, now) / steps_left)

    def is_step_over(self, now: float) -> bool:
        """Return whether the evidence of the step, or its time, suffices."""
        held_s = now - self.stepped_at
        if held_s < min(STEP_S, self.hold_s) or self.judge.is_suspect():
            return False
        if self.gained() >= STEP_ACCEPTANCE:
            return True
        return held_s >= self.hold_s and self.gained() >= 0

    def gained(self) -> float:
        """Return the evidence for the version since the step began."""
        return self.judge.clean() - self.clean_before

    def is_due(self, now: float) -> bool:
        """Return whether the order's time is over."""
        return self.left(1, now) <= 0
