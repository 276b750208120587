"""Decides on roll-outs, on the home host; pure, each call passes the time.

All of its state can be lost: what the operator must know is in the store, what
the hosts act on is announced to them, and their reports are cumulative.
"""

from collections.abc import Iterable
from typing import NamedTuple

from trefoilspool.rollouts.exposure import ExposureBudget
from trefoilspool.rollouts.messages import (
    FINAL_PHASES,
    Announcement,
    Phase,
    RolloutReport,
    RolloutStatus,
    State,
    is_of_order,
    is_same_order,
)
from trefoilspool.rollouts.progress import (
    STEP_ACCEPTANCE,
    STEPS,
    ReceivedReport,
    ReportSource,
    Rollout,
)
from trefoilspool.rollouts.verdict import Finding, difference, total

__all__ = ['Coordinator', 'Decision']

JUDGE_S = 0.2  # between two judgements
# The test begins without the store after so long.
STORE_WAIT_S = 1.5
# A version is tested for this part of the time of its order at least, and for
# the later part if the evidence is scarce.
LEAST_TEST = 0.55
LONGEST_TEST = 0.7
ACCEPTANCE = 4.6  # ln 100: odds of the evidence for a good version
# After the time of the order, running requests are waited for so long.
OVERTIME_S = 5.0
# Reports of a host older than this say nothing of what it has open now.
FRESH_S = 2.0


class Decision(NamedTuple):
    """A change of a roll-out's phase, for the log.

    Attributes
    ----------
    reason : str
        What decided it.
    finding : Finding or None
        The evidence against the version.
    sent, exposed : int
        Attempts sent to the service, and those of them to the target.
    """

    announcement: Announcement
    reason: str
    finding: Finding | None
    sent: int
    exposed: int


class Coordinator:
    """The roll-outs of all services.

    Attributes
    ----------
    budget : ExposureBudget
        Requests that a version may get before it is proven.
    rollouts : dict
        Roll-outs by service.
    decisions : list of Decision
        Those not yet taken by `take_decisions`.
    """

    def __init__(self) -> None:
        self.budget = ExposureBudget()
        self.rollouts: dict[str, Rollout] = {}
        self.decisions: list[Decision] = []

    def take_decisions(self) -> list[Decision]:
        """Return the decisions since the last call."""
        decisions = self.decisions
        self.decisions = []
        return decisions

    def follow(
        self, announcements: Iterable[tuple[Announcement, float]], now: float
    ) -> None:
        """Go on from what this host acts on, such as an earlier home's words.

        Parameters
        ----------
        announcements : iterable
            What the host acts on, each with the time at which its order was
            taken up, in seconds.
        now : float
            The present time in seconds.
        """
        for announcement, started_at in announcements:
            known = self.rollouts.get(announcement.order.service)
            if known is None or not is_same_order(
                announcement.order, known.order
            ):
                known = Rollout(announcement, now)
                self.rollouts[announcement.order.service] = known
            known.announcement = announcement
            known.started_at = min(known.started_at, started_at)

    def forget(self) -> None:
        """Drop everything: another host decides."""
        self.rollouts.clear()

    def on_stored(
        self, status: RolloutStatus, age_s: float, now: float
    ) -> None:
        """Apply what the store holds of the present order of a service.

        Parameters
        ----------
        status : RolloutStatus
            The stored status.
        age_s : float
            Seconds since the order was first taken up, by the status.
        now : float
            The present time in seconds.
        """
        rollout = self.rollouts.get(status.service)
        if rollout is None or not is_of_order(status, rollout.order):
            return
        if rollout.phase is Phase.held:
            # Otherwise a host has told its age by a steady clock.
            rollout.started_at = min(rollout.started_at, now - age_s)
        rollout.is_started = True
        final = FINAL_STATES.get(status.state)
        if final is not None:
            self.change(rollout, final, 0, 'stored', now, is_stored=True)
        elif rollout.phase is Phase.held:
            self.begin_test(rollout, 'order', now)

    def begin_test(self, rollout: Rollout, reason: str, now: float) -> None:
        """Give the target a small share."""
        share = self.budget.first_share()
        self.change(rollout, Phase.canary, share, reason, now)

    def on_report(
        self, source: ReportSource, report: RolloutReport, heard_at: float
    ) -> None:
        """Apply what an entry host has seen.

        Parameters
        ----------
        source : ReportSource
            The run of the host.
        report : RolloutReport
            What it has seen.
        heard_at : float
            When the report arrived at the earliest, in seconds.
        """
        rollout = self.rollouts.get(report.order.service)
        if rollout is None or not is_same_order(report.order, rollout.order):
            return
        before = rollout.reports.get(source)
        older = before.report.rows if before else {}
        rollout.pending.append(difference(report.rows, older))
        # Reports leave out rows that have not changed.
        rows = {**older, **report.rows}
        rollout.reports[source] = ReceivedReport(
            report._replace(rows=rows), heard_at
        )

    def tick(self, hosts: frozenset[str], now: float) -> None:
        """Judge the versions and take the steps that are due.

        Parameters
        ----------
        hosts : frozenset of str
            Hosts that may have requests open.
        now : float
            The present time in seconds.
        """
        for rollout in self.rollouts.values():
            if rollout.phase in FINAL_PHASES:
                continue
            if now - rollout.judged_at >= JUDGE_S:
                self.judge(rollout, now)
                NEXT_STEPS[rollout.phase](self, rollout, hosts, now)

    def judge(self, rollout: Rollout, now: float) -> None:
        """Judge what was reported; revert a version that is found bad."""
        rollout.judged_at = now
        rollout.judge.add(total(rollout.pending), now)
        rollout.pending = []
        finding = rollout.judge.finding()
        if finding is not None:
            self.change(rollout, Phase.reverted, 0, 'worse', now, finding)

    def wait(self, rollout: Rollout, hosts: frozenset[str], now: float) -> None:
        """Do nothing: the phase does not end by itself."""

    def end_held(
        self, rollout: Rollout, hosts: frozenset[str], now: float
    ) -> None:
        """Begin the test without the store if that does not answer."""
        if now - rollout.stepped_at >= STORE_WAIT_S:
            self.begin_test(rollout, 'store_silent', now)

    def end_test(
        self, rollout: Rollout, hosts: frozenset[str], now: float
    ) -> None:
        """Let the share grow if the version was tested long enough."""
        if rollout.is_due(now):
            self.change(rollout, Phase.reverted, 0, 'undecided', now)
            return
        judge = rollout.judge
        if not rollout.exposed() or judge.is_suspect():
            return
        is_accepted = judge.clean() >= ACCEPTANCE
        tested = LEAST_TEST if is_accepted else LONGEST_TEST
        needed = ACCEPTANCE if rollout.was_doubtful else 0
        if rollout.left(tested, now) <= 0 and judge.clean() >= needed:
            self.take_step(rollout, now)
        elif not rollout.was_doubtful:
            self.set_canary_share(rollout, now)

    def is_doubtful(self, rollout: Rollout, now: float) -> bool:
        """Return whether a step is taken back."""
        if rollout.judge.is_suspect():
            return True
        if rollout.gained() <= -STEP_ACCEPTANCE:
            return True
        is_proven = rollout.judge.clean() >= ACCEPTANCE
        return not is_proven and self.budget.is_nearly_used(rollout, now)

    def set_canary_share(self, rollout: Rollout, now: float) -> None:
        """Use up a part of the exposure budget within the test.

        The share is set once, when the rate of requests is known.
        """
        if rollout.announcement.share != self.budget.first_share():
            return
        test_s = rollout.order.duration_s * LONGEST_TEST
        share = self.budget.canary_share(rollout, test_s, now)
        self.change(rollout, Phase.canary, share, 'rate_known', now)

    def end_step(
        self, rollout: Rollout, hosts: frozenset[str], now: float
    ) -> None:
        """Take the next step of the share, or send all to the target."""
        if rollout.is_due(now):
            self.change(rollout, Phase.reverted, 0, 'undecided', now)
            return
        if self.is_doubtful(rollout, now):
            self.take_back(rollout, now)
        elif rollout.is_step_over(now):
            self.take_step(rollout, now)

    def take_step(self, rollout: Rollout, now: float) -> None:
        """Take the next step of the share, or send all to the target."""
        if not self.may_grow(rollout, now):
            return
        if rollout.step + 1 < len(STEPS):
            self.grow(rollout, now)
        else:
            rollout.begin_step(now)
            self.change(rollout, Phase.draining, 1, 'no_worse', now)

    def may_grow(self, rollout: Rollout, now: float) -> bool:
        """Return whether the next step is within the exposure budget.

        Only a version that was doubtful is held to it: it may turn bad again,
        at a load that the test with a small share does not reach.
        """
        shares = (*STEPS, 1.0)
        share = shares[rollout.step + 1]
        return not rollout.was_doubtful or self.budget.covers(
            rollout, share, now
        )

    def end_drain(
        self, rollout: Rollout, hosts: frozenset[str], now: float
    ) -> None:
        """Take the drain back if the version has become suspect.

        Otherwise the roll-out is completed once the store has the status.
        """
        if not rollout.judge.is_suspect():
            return
        if rollout.is_due(now):
            self.change(rollout, Phase.reverted, 0, 'undecided', now)
        else:
            self.take_back(rollout, now)

    def take_back(self, rollout: Rollout, now: float) -> None:
        """Test the version again, with a small share."""
        rollout.step = -1
        rollout.was_doubtful = True
        self.begin_test(rollout, 'doubtful', now)

    def grow(self, rollout: Rollout, now: float) -> None:
        """Take the next step."""
        rollout.begin_step(now)
        share = STEPS[rollout.step]
        self.change(rollout, Phase.expanding, share, 'no_worse', now)

    def is_drained(
        self, rollout: Rollout, hosts: frozenset[str], now: float
    ) -> bool:
        """Return whether no host has anything open at other versions.

        A host that does not tell is waited for until some time after the
        order's end.
        """
        if rollout.phase is not Phase.draining:
            return False
        if rollout.left(1, now) <= -OVERTIME_S:
            return True
        if not rollout.is_step_over(now):
            return False
        told = {
            source.host
            for source, received in rollout.reports.items()
            if now - received.heard_at <= FRESH_S
            and received.report.phase is Phase.draining
            and not received.report.open_others
            and received.heard_at > rollout.stepped_at
        }
        return hosts <= told

    def due_states(self, hosts: frozenset[str], now: float) -> dict[str, State]:
        """Return the states that the store is to have, by service."""
        due = {
            service: self.due_state(rollout, hosts, now)
            for service, rollout in self.rollouts.items()
        }
        return {
            service: state
            for service, state in due.items()
            if state is not None
        }

    def due_state(
        self, rollout: Rollout, hosts: frozenset[str], now: float
    ) -> State | None:
        """Return the state to store, None if there is nothing to store."""
        if rollout.announcement.is_stored:
            return None
        if rollout.phase in STATES_OF_FINAL:
            # A restored store may have lost it.
            return STATES_OF_FINAL[rollout.phase]
        if self.is_drained(rollout, hosts, now):
            return State.completed
        return None if rollout.is_started else State.in_progress

    def on_store_restored(self) -> None:
        """Store the states again: the restored store may lack them."""
        for rollout in self.rollouts.values():
            rollout.is_started = False

    def change(
        self,
        rollout: Rollout,
        phase: Phase,
        share: float,
        reason: str,
        now: float,
        finding: Finding | None = None,
        *,
        is_stored: bool = False,
    ) -> None:
        """Change the phase or share of a roll-out."""
        announcement = Announcement(rollout.order, phase, share, is_stored)
        if announcement == rollout.announcement:
            return
        rollout.announcement = announcement
        rollout.stepped_at = now
        self.decisions.append(
            Decision(
                announcement,
                reason,
                finding,
                rollout.sent(),
                rollout.exposed(),
            )
        )


FINAL_STATES = {
    State.completed: Phase.completed,
    State.reverted: Phase.reverted,
}
STATES_OF_FINAL = {phase: state for state, phase in FINAL_STATES.items()}
NEXT_STEPS = {
    Phase.held: Coordinator.end_held,
    Phase.canary: Coordinator.end_test,
    Phase.expanding: Coordinator.end_step,
    Phase.draining: Coordinator.end_drain,
    Phase.reverted: Coordinator.wait,
    Phase.completed: Coordinator.wait,
}
