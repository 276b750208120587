"""The home host's service to entry hosts: slots for their requests."""

import math
from collections import Counter
from typing import Any

import logbook

from trefoilspool import clock, meshdatagrams
from trefoilspool.homecontact import HEARTBEATS_PER_DIGEST
from trefoilspool.limitgossip import LimitGossip
from trefoilspool.meshsender import MeshSender
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.quarantinegossip import QuarantineGossip
from trefoilspool.rollouts.gossip import RolloutGossip
from trefoilspool.slotmessages import HeldSlot, SlotRelease, SlotRequest
from trefoilspool.slotscheduler import SlotScheduler
from trefoilspool.stalls import LONGEST_STEP_S
from trefoilspool.wire import checks, endpointreports
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes

__all__ = ['HomeService']

logger = logbook.Logger('mesh')


class HomeService:
    """Passes datagrams to the slot scheduler, and its decisions back.

    Parameters
    ----------
    scheduler : SlotScheduler
        Grants the slots.
    peers : PeerRegistry
        The known hosts.
    quarantine_gossip : QuarantineGossip
        Quarantined parts, for digests.
    limit_gossip : LimitGossip
        Limits of endpoints, for digests.
    rollout_gossip : RolloutGossip
        Roll-outs, for digests.
    sender : MeshSender
        Sends datagrams.

    Attributes
    ----------
    stepped_at : float
        When the mesh task's last step began, in seconds.
    woke_at : float
        When this host last went on after it stood still, in seconds.
    """

    def __init__(
        self,
        scheduler: SlotScheduler,
        peers: PeerRegistry,
        quarantine_gossip: QuarantineGossip,
        limit_gossip: LimitGossip,
        rollout_gossip: RolloutGossip,
        sender: MeshSender,
    ) -> None:
        self.scheduler = scheduler
        self.peers = peers
        self.quarantine_gossip = quarantine_gossip
        self.limit_gossip = limit_gossip
        self.rollout_gossip = rollout_gossip
        self.sender = sender
        self.heartbeat_counts: Counter[str] = Counter()
        self.stepped_at = clock.now()
        self.woke_at = -math.inf

    def on_step(self, now: float) -> None:
        """Note when a step begins, and whether this host stood still before."""
        before = self.stepped_at
        self.stepped_at = now
        if now - before >= LONGEST_STEP_S:
            self.woke_at = now
            self.scheduler.on_stood_still(before, now)

    def on_asks(
        self, sender: HostInfo, asks: list[Any], now: float, heard_at: float
    ) -> None:
        """Pass slot requests to the slot scheduler.

        Parameters
        ----------
        sender : HostInfo
            The entry host.
        asks : list
            Structs of the requests, with their times left at ``heard_at``.
        now : float
            The present time in seconds.
        heard_at : float
            When they arrived at the earliest, in seconds.
        """

        def convert(ask: Any) -> SlotRequest:
            return wire.ask_from_wire(ask, sender.name, heard_at)

        for ask in checks.readable(convert, asks):
            self.scheduler.on_ask(ask, now)

    def on_releases(
        self, sender: HostInfo, releases: list[Any], now: float
    ) -> None:
        """Pass releases to the slot scheduler."""

        def convert(release: Any) -> SlotRelease:
            return wire.slot_release_from_wire(release, sender.name)

        for release in checks.readable(convert, releases):
            self.scheduler.on_release(release, now)

    def on_held_slots(
        self,
        sender: HostInfo,
        slots: list[Any],
        now: float,
        heard_at: float | None = None,
    ) -> None:
        """Record the slots of an entry host; reply with a digest if due.

        Parameters
        ----------
        sender : HostInfo
            The entry host.
        slots : list
            Structs of the slots that it holds.
        now : float
            The present time in seconds.
        heard_at : float, optional
            When the list arrived at the earliest, in seconds; by default now.
        """

        def convert(held: Any) -> HeldSlot:
            return wire.held_from_wire(held, sender.name)

        self.scheduler.on_held_slots(
            sender.name, list(checks.readable(convert, slots)), now, heard_at
        )
        due = not self.heartbeat_counts[sender.name] % HEARTBEATS_PER_DIGEST
        self.heartbeat_counts[sender.name] += 1
        if due:
            reply = ttypes.Datagram(
                wire.host_info_to_wire(self.peers.own),
                digest=meshdatagrams.digest(self.scheduler, now),
                quarantine=self.quarantine_gossip.structs(),
                limits=self.limit_gossip.structs(now),
                rollouts=self.rollout_gossip.notice_structs(now),
            )
            self.sender.send(sender.address, reply)

    def on_levels(
        self, sender: HostInfo, levels: list[Any], now: float
    ) -> None:
        """Adopt the bucket levels that an earlier home host reported."""
        for workspace, tokens in checks.readable(wire.level_from_wire, levels):
            self.scheduler.rate_limits.on_level(workspace, tokens, now)

    def on_crash_reports(
        self, sender: HostInfo, reports: list[Any], now: float, heard_at: float
    ) -> None:
        """Pass an entry host's crash reports to the slot scheduler.

        Parameters
        ----------
        sender : HostInfo
            The entry host.
        reports : list
            Structs of the reports, with their ages at ``heard_at``.
        now : float
            The present time in seconds.
        heard_at : float
            When they arrived at the earliest, in seconds.
        """
        self.scheduler.on_crash_reports(
            sender.name,
            list(
                checks.readable(endpointreports.crash_report_from_wire, reports)
            ),
            heard_at,
        )

    def on_served(
        self, sender: HostInfo, struct: Any, now: float, heard_at: float
    ) -> None:
        """Pass what an entry host saw served to the slot scheduler.

        Parameters
        ----------
        sender : HostInfo
            The entry host.
        struct : object
            Struct of what it saw served, with ages at ``heard_at``.
        now : float
            The present time in seconds.
        heard_at : float
            When it arrived at the earliest, in seconds.
        """
        for report in checks.readable(
            endpointreports.served_from_wire, [struct]
        ):
            self.scheduler.guard.on_served_report(sender.name, report, heard_at)

    def send_decisions(self) -> None:
        """Log the scheduler's events; send its decisions to entry hosts."""
        for event in self.scheduler.take_events():
            logger.info(event.event, extra=dict(event.fields))
        by_entry: dict[str, list[Any]] = {}
        for decision in self.scheduler.take_decisions():
            by_entry.setdefault(decision.key.entry, []).append(
                wire.decision_to_wire(decision),
            )
        for entry, decisions in by_entry.items():
            host = self.peers.hosts.get(entry)
            if host is not None:
                self.sender.send(
                    host.address,
                    ttypes.Datagram(
                        wire.host_info_to_wire(self.peers.own),
                        verdicts=decisions,
                    ),
                )
