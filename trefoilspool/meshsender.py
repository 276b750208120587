"""Sends datagrams to one host, to the home host, or to all."""

from trefoilspool.datagramsocket import DatagramSocket
from trefoilspool.peers import PeerRegistry
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes

__all__ = ['MeshSender']


class MeshSender:
    """Sends datagrams; they may be lost, so important ones are repeated.

    Parameters
    ----------
    socket : DatagramSocket
        This host's socket.
    peers : PeerRegistry
        The known hosts.
    """

    def __init__(self, socket: DatagramSocket, peers: PeerRegistry) -> None:
        self.socket = socket
        self.peers = peers

    def send(self, address: str, datagram: ttypes.Datagram) -> None:
        """Send a datagram to an address; usable from any thread."""
        self.socket.send(address, wire.encode(datagram))

    def send_all(self, datagram: ttypes.Datagram, now: float) -> None:
        """Send a datagram to all other hosts."""
        for host in self.peers.recent(now):
            if host.name != self.peers.own.name:
                self.send(host.address, datagram)

    def send_home_or_all(self, datagram: ttypes.Datagram, now: float) -> None:
        """Send a datagram to the home host, or from there to all."""
        home = self.peers.home()
        if home is None or home.name == self.peers.own.name:
            self.send_all(datagram, now)
        else:
            self.send(home.address, datagram)
