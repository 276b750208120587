"""The UDP socket of a host."""

import socket

import logbook

from trefoilspool import clock
from trefoilspool.stalls import StallWatch

__all__ = ['MAX_DATAGRAM_BYTES', 'DatagramSocket']

MAX_DATAGRAM_BYTES = 60_000
RECEIVE_BUFFER_BYTES = 1_048_576
WAKE_DATAGRAM = b''

logger = logbook.Logger('mesh')


class DatagramSocket:
    """A bound UDP socket; one thread receives, any thread sends.

    Parameters
    ----------
    address : str
        IP address of this host.
    port : int
        UDP port, the same on all hosts.

    Attributes
    ----------
    stalls : StallWatch
        Notices that the receiving thread has stood still.
    emptied_at : float
        When no datagram was waiting, in seconds: what is received next arrived
        later, however long it waits.
    """

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.port = port
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.bind((address, port))
        self.stalls = StallWatch(clock.now())
        self.emptied_at = clock.now()

    def send(self, address: str, body: bytes) -> None:
        """Send a datagram; it may be lost."""
        if len(body) > MAX_DATAGRAM_BYTES:
            logger.warning('datagram_too_long', extra={'bytes': len(body)})
            return
        try:
            self.socket.sendto(body, (address, self.port))
        except OSError as error:
            logger.info(
                'datagram_not_sent',
                extra={'to': address, 'error': repr(error)},
            )

    def wake(self) -> None:
        """End a wait for a datagram."""
        self.send(self.address, WAKE_DATAGRAM)

    def receive(self, timeout_s: float) -> tuple[bytes, str]:
        """Return the next datagram and its sender's address.

        Both are empty after the timeout or a call of ``wake``.
        """
        now = clock.now()
        self.stalls.on_wait(now, timeout_s)
        try:
            body, origin = self.receive_waiting()
        except BlockingIOError:
            self.emptied_at = now
            return self.receive_next(timeout_s)
        return body, origin[0]

    def receive_waiting(self) -> tuple[bytes, tuple[str, int]]:
        """Return a datagram that has arrived before, and its origin.

        Raises
        ------
        BlockingIOError
            None has.
        """
        self.socket.settimeout(0)
        return self.socket.recvfrom(MAX_DATAGRAM_BYTES)

    def receive_next(self, timeout_s: float) -> tuple[bytes, str]:
        """Wait for a datagram; see ``receive``."""
        self.socket.settimeout(timeout_s)
        try:
            body, origin = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
        except (TimeoutError, BlockingIOError):
            return b'', ''
        finally:
            self.stalls.on_wake(clock.now())
        return body, origin[0]

    def fileno(self) -> int:
        """Return the file descriptor, -1 once closed."""
        return self.socket.fileno()

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()
