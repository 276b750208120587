"""What hosts tell each other of the limits that endpoints name."""

from collections.abc import Iterable

from trefoilspool.endpointlimits import EndpointLimits
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.wire import endpointreports
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes

__all__ = ['LimitGossip']

# Heartbeats repeat what an endpoint has said for so long, as datagrams may be
# lost.
REPEAT_S = 2.0
# Slot requests repeat it for so long, for a home host that has just begun.
REPEAT_WITH_ASKS_S = 60.0


class LimitGossip:
    """Decides which limits a host tells to which others.

    A host tells the home host what endpoints have said to itself, never what
    others told it: those reports grow older than their stated age on the way.
    The home host tells all hosts all limits.

    Parameters
    ----------
    peers : PeerRegistry
        The known hosts.
    limits : EndpointLimits
        Limits as this host knows them.
    """

    def __init__(self, peers: PeerRegistry, limits: EndpointLimits) -> None:
        self.peers = peers
        self.limits = limits

    def on_structs(
        self,
        sender: HostInfo,
        structs: Iterable[ttypes.EndpointLimit],
        heard_at: float,
    ) -> bool:
        """Adopt what a peer has told; return whether all hosts are to know."""
        reports = endpointreports.limits_from_wire(structs)
        is_new = self.limits.merge(reports, sender.name, heard_at)
        return is_new and self.peers.is_home()

    def structs(self, now: float) -> list[ttypes.EndpointLimit] | None:
        """Return the structs of all limits, None if there are none."""
        return endpointreports.limits_to_wire(self.limits.reports(now))

    def own_structs(self, now: float) -> list[ttypes.EndpointLimit] | None:
        """Return those of all that endpoints have said to this host."""
        return endpointreports.limits_to_wire(self.limits.own_reports(now))

    def structs_for_ask(self, now: float) -> list[ttypes.EndpointLimit] | None:
        """Return those that a slot request repeats."""
        return endpointreports.limits_to_wire(
            self.limits.own_reports(now, REPEAT_WITH_ASKS_S)
        )

    def structs_for_home(
        self, now: float, *, home_is_new: bool
    ) -> list[ttypes.EndpointLimit] | None:
        """Return those that a heartbeat repeats."""
        if home_is_new:
            return self.own_structs(now)
        return endpointreports.limits_to_wire(
            self.limits.own_reports(now, REPEAT_S)
        )

    def datagram(self, now: float) -> ttypes.Datagram:
        """Return a datagram with all limits."""
        own = wire.host_info_to_wire(self.peers.own)
        return ttypes.Datagram(own, limits=self.structs(now))

    def own_datagram(self, now: float) -> ttypes.Datagram:
        """Return a datagram with what endpoints have said to this host."""
        own = wire.host_info_to_wire(self.peers.own)
        return ttypes.Datagram(own, limits=self.own_structs(now))
