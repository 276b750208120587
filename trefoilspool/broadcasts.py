"""What a host tells all others, most of it through the home host."""

from collections.abc import Callable
from typing import Any

from trefoilspool import meshdatagrams
from trefoilspool.departures import EndpointRun
from trefoilspool.leavingreports import LeavingReports
from trefoilspool.limitgossip import LimitGossip
from trefoilspool.meshsender import MeshSender
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.replica import Position
from trefoilspool.wire import checks
from trefoilspool.wire import mesh as wire

__all__ = ['Broadcasts']

LeavingRunsHandler = Callable[[list[EndpointRun]], list[EndpointRun]]


def no_runs(runs: list[EndpointRun]) -> list[EndpointRun]:
    """Return no runs: none of them is new."""
    return []


class Broadcasts:
    """Sends and receives reports on endpoints, and this host's state.

    Parameters
    ----------
    sender : MeshSender
        Sends the datagrams.
    peers : PeerRegistry
        The known hosts.
    limit_gossip : LimitGossip
        Limits that endpoints have named.

    Attributes
    ----------
    on_leaving_runs : callable
        Called with the endpoints' runs that a peer reports as leaving; returns
        those that were not known before.
    leaving_reports : LeavingReports
        Runs that told this host that they are leaving.
    """

    def __init__(
        self,
        sender: MeshSender,
        peers: PeerRegistry,
        limit_gossip: LimitGossip,
    ) -> None:
        self.sender = sender
        self.peers = peers
        self.limit_gossip = limit_gossip
        self.on_leaving_runs: LeavingRunsHandler = no_runs
        self.leaving_reports = LeavingReports()

    def on_leaving(self, sender: HostInfo, runs: list[Any], now: float) -> None:
        """Apply the runs that a peer reports; the home host tells all others."""
        new = self.on_leaving_runs(
            list(checks.readable(wire.endpoint_run_from_wire, runs))
        )
        if new and self.peers.is_home():
            self.sender.send_all(
                meshdatagrams.leaving_datagram(self.peers.own, new), now
            )

    def send_leaving(self, run: EndpointRun, now: float) -> None:
        """Report a run that is leaving to the home host, or from there to all.

        Heartbeats repeat it for a while, as datagrams may be lost.
        """
        self.leaving_reports.add(run, now)
        datagram = meshdatagrams.leaving_datagram(self.peers.own, [run])
        self.sender.send_home_or_all(datagram, now)

    def on_limits(
        self,
        sender: HostInfo,
        structs: list[Any],
        now: float,
        heard_at: float,
    ) -> None:
        """Adopt the limits of a peer; the home host tells all others.

        Parameters
        ----------
        sender : HostInfo
            The peer.
        structs : list
            Structs of the limits, with their ages at ``heard_at``.
        now : float
            The present time in seconds.
        heard_at : float
            When they arrived at the earliest, in seconds.
        """
        if self.limit_gossip.on_structs(sender, structs, heard_at):
            self.sender.send_all(self.limit_gossip.datagram(now), now)

    def send_limits(self, now: float) -> None:
        """Send this host's limits to the home host, or from there all to all."""
        if self.peers.is_home():
            self.sender.send_all(self.limit_gossip.datagram(now), now)
        else:
            self.sender.send_home_or_all(
                self.limit_gossip.own_datagram(now), now
            )

    def send_version(self, now: float) -> None:
        """Send this host's state to the home host, or from there to all."""
        self.sender.send_home_or_all(
            meshdatagrams.host_info_datagram(self.peers.own), now
        )

    def send_host_info(self, now: float) -> None:
        """Send this host's state to all hosts."""
        self.sender.send_all(
            meshdatagrams.host_info_datagram(self.peers.own), now
        )

    def send_endpoints_read(
        self, changed_to: Position, age_s: float, now: float
    ) -> None:
        """Notify all hosts that this one has read the endpoint records.

        Parameters
        ----------
        changed_to : Position
            Position after the latest change.
        age_s : float
            Seconds since the read was asked for.
        now : float
            The present time in seconds.
        """
        self.sender.send_all(
            meshdatagrams.endpoints_read_datagram(
                self.peers.own, changed_to, age_s
            ),
            now,
        )
