"""What hosts tell each other of roll-outs."""

from collections.abc import Iterable, Mapping
from typing import Any

import logbook

from trefoilspool.meshsender import MeshSender
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.rollouts.coordinator import Coordinator, Decision
from trefoilspool.rollouts.gate import OpenCounter, RolloutGate
from trefoilspool.rollouts.messages import (
    RolloutReport,
    RowKey,
    State,
    Tally,
)
from trefoilspool.rollouts.progress import ReportSource
from trefoilspool.telemetry import Metrics
from trefoilspool.wire import checks
from trefoilspool.wire import mesh as wire
from trefoilspool.wire import rollouts as rolloutwire
from trefoilspool.wire.gen.mesh import ttypes

__all__ = ['RolloutGossip']

# Of so many heartbeats one repeats all rows; the others hold what has changed.
HEARTBEATS_PER_FULL_REPORT = 8
# A host without a heartbeat for longer has nothing open that would go on, if
# most others are heard.
LIVE_S = 4.0

logger = logbook.Logger('rollouts')


class RolloutGossip:
    """Carries reports to the home host, and its decisions to all.

    Owned by the mesh task, but for ``due_states`` and ``restores``, which any
    thread may read.

    Parameters
    ----------
    peers : PeerRegistry
        The known hosts.
    sender : MeshSender
        Sends datagrams.
    gate : RolloutGate
        The roll-outs that this host knows.
    coordinator : Coordinator
        Decides while this is the home host.
    count_others : callable
        See `RolloutGate.reports`.

    Attributes
    ----------
    due_states : mapping
        States that the store is to have, by service.
    restores : int
        How often the store has been restored, as far as is known.
    metrics : Metrics
        Counts the decisions.
    """

    def __init__(
        self,
        peers: PeerRegistry,
        sender: MeshSender,
        gate: RolloutGate,
        coordinator: Coordinator,
        count_others: OpenCounter,
    ) -> None:
        self.peers = peers
        self.sender = sender
        self.gate = gate
        self.coordinator = coordinator
        self.count_others = count_others
        self.due_states: Mapping[str, State] = {}
        self.metrics = Metrics()
        self.restores = 0
        self.heartbeats = 0
        self.reported: dict[str, Mapping[RowKey, Tally]] = {}

    def report_structs(
        self, *, home_is_new: bool
    ) -> list[ttypes.RolloutReport] | None:
        """Return the reports of a heartbeat, None if there are none."""
        if not self.gate.services:
            return None
        self.heartbeats += 1
        is_full = not self.heartbeats % HEARTBEATS_PER_FULL_REPORT
        return [
            rolloutwire.report_to_wire(
                self.changed(report, is_full=is_full or home_is_new)
            )
            for report in self.gate.reports(self.count_others)
        ] or None

    def changed(self, report: RolloutReport, *, is_full: bool) -> RolloutReport:
        """Return a report with the rows that are to be sent."""
        service = report.order.service
        before = {} if is_full else self.reported.get(service, {})
        self.reported[service] = report.rows
        return report._replace(
            rows={
                key: tally
                for key, tally in report.rows.items()
                if before.get(key) != tally
            }
        )

    def notice_structs(self, now: float) -> list[ttypes.RolloutNotice] | None:
        """Return what this host acts on, None if it knows no roll-out."""
        return [
            rolloutwire.notice_to_wire(announcement, now - started_at)
            for announcement, started_at in self.gate.announcements()
        ] or None

    def on_notices(
        self, sender: HostInfo, structs: Iterable[Any], now: float
    ) -> None:
        """Adopt what a home host has decided."""
        for announcement, age_s in checks.readable(
            rolloutwire.notice_from_wire, structs
        ):
            self.gate.on_announcement(announcement, now - age_s, now)

    def on_reports(
        self,
        sender: HostInfo,
        structs: Iterable[Any],
        now: float,
        heard_at: float,
    ) -> None:
        """Take a host's reports; tell it what it does not know yet.

        Parameters
        ----------
        sender : HostInfo
            The host.
        structs : iterable
            Structs of its reports.
        now : float
            The present time in seconds.
        heard_at : float
            When they arrived at the earliest, in seconds.
        """
        if not self.peers.is_home():
            return
        source = ReportSource(sender.name, sender.incarnation)
        is_behind = False
        for report in checks.readable(rolloutwire.report_from_wire, structs):
            # The store may not serve this host.
            self.gate.on_order(report.order, now)
            self.coordinator.on_report(source, report, heard_at)
            is_behind |= report.phase is not self.gate.phase(
                report.order.service
            )
        if is_behind:
            self.sender.send(sender.address, self.notice_datagram(now))

    def notice_datagram(self, now: float) -> ttypes.Datagram:
        """Return a datagram with what this host acts on."""
        return ttypes.Datagram(
            wire.host_info_to_wire(self.peers.own),
            rollouts=self.notice_structs(now),
        )

    def tick(self, now: float) -> None:
        """Decide what is due, as home host, and tell all hosts."""
        if not self.gate.services:
            return
        if not self.peers.is_home():
            self.coordinator.forget()
            self.due_states = {}
            return
        self.coordinator.follow(self.gate.announcements(), now)
        hosts = self.awaited_hosts(now)
        self.coordinator.tick(hosts, now)
        self.publish(now)
        self.due_states = self.coordinator.due_states(hosts, now)

    def awaited_hosts(self, now: float) -> frozenset[str]:
        """Return the hosts that may have requests open.

        A host that hears only a minority may itself be cut off, or has just
        stood still: then the silence of the others tells nothing.
        """
        heard = self.peers.heard_since(now - LIVE_S)
        is_majority = 2 * len(heard) > self.peers.count()
        return heard if is_majority else self.peers.names()

    def on_store_restored(self, now: float) -> None:
        """Have the states stored again.

        What was stored just before is published first: published later, it
        would be taken for stored in the restored store.
        """
        self.restores += 1
        if self.peers.is_home():
            self.publish(now)
        self.gate.on_store_restored()
        self.coordinator.on_store_restored()

    def publish(self, now: float) -> None:
        """Log decisions, act on them, and send them to all hosts."""
        decisions = self.coordinator.take_decisions()
        for decision in decisions:
            self.log(decision)
            service = decision.announcement.order.service
            rollout = self.coordinator.rollouts[service]
            self.gate.on_announcement(
                decision.announcement, rollout.started_at, now
            )
        if decisions:
            self.sender.send_all(self.notice_datagram(now), now)

    def log(self, decision: Decision) -> None:
        """Log a decision with what decided it, and count it."""
        announcement = decision.announcement
        finding = decision.finding
        logger.info(
            'rollout_decided',
            extra={
                'service': announcement.order.service,
                'target': announcement.order.target,
                'phase': announcement.phase.name,
                'share': announcement.share,
                'reason': decision.reason,
                'finding': finding and finding._asdict(),
                'sent': decision.sent,
                'exposed': decision.exposed,
            },
        )
        self.metrics.count(
            'trefoilspool_rollout_decisions_total'
            f'{{service="{announcement.order.service}",'
            f'phase="{announcement.phase.name}"}}'
        )
