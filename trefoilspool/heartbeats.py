"""What a heartbeat tells the home host."""

from trefoilspool import meshdatagrams
from trefoilspool.homecontact import HomeContact
from trefoilspool.leavingreports import LeavingReports
from trefoilspool.limitgossip import LimitGossip
from trefoilspool.peers import HostInfo
from trefoilspool.quarantinegossip import QuarantineGossip
from trefoilspool.rollouts.gossip import RolloutGossip
from trefoilspool.slotclient import SlotClient
from trefoilspool.wire import endpointreports
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes

__all__ = ['Heartbeats']


class Heartbeats:
    """Builds the heartbeats of an entry host.

    Parameters
    ----------
    client : SlotClient
        Held slots, crash reports, and what was served.
    home_contact : HomeContact
        Whether the home host is new.
    quarantine_gossip : QuarantineGossip
        Quarantined parts that the home host is told.
    limit_gossip : LimitGossip
        Limits that the home host is told.
    leaving_reports : LeavingReports
        Endpoints' runs that told this host that they are leaving.
    rollout_gossip : RolloutGossip
        What this host has seen of roll-outs.
    """

    def __init__(
        self,
        client: SlotClient,
        home_contact: HomeContact,
        quarantine_gossip: QuarantineGossip,
        limit_gossip: LimitGossip,
        leaving_reports: LeavingReports,
        rollout_gossip: RolloutGossip,
    ) -> None:
        self.client = client
        self.home_contact = home_contact
        self.quarantine_gossip = quarantine_gossip
        self.limit_gossip = limit_gossip
        self.leaving_reports = leaving_reports
        self.rollout_gossip = rollout_gossip

    def datagram(self, home: HostInfo, now: float) -> ttypes.Datagram:
        """Return a heartbeat; one for a new home host holds more."""
        home_is_new = self.home_contact.is_new(home)
        datagram = ttypes.Datagram(
            wire.host_info_to_wire(self.home_contact.peers.own),
            roll=[wire.held_to_wire(slot) for slot in self.client.held_slots()],
            quarantine=self.quarantine_gossip.structs_for_home(home),
            limits=self.limit_gossip.structs_for_home(
                now, home_is_new=home_is_new
            ),
            rollout_reports=self.rollout_gossip.report_structs(
                home_is_new=home_is_new
            ),
        )
        leaving = self.leaving_reports.current(now)
        if leaving:
            datagram.leaving = list(map(wire.endpoint_run_to_wire, leaving))
        crashes = self.client.crash_reports.current(
            now, home_is_new=home_is_new
        )
        if crashes:
            datagram.crashes = list(
                map(endpointreports.crash_report_to_wire, crashes)
            )
        if home_is_new:
            datagram.served = endpointreports.served_to_wire(
                self.client.served_report(now)
            )
            datagram.levels = meshdatagrams.levels_to_wire(
                self.client.choice.levels.items()
            )
        return datagram
