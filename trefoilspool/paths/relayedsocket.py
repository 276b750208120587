"""The near end of a connection that another host relays.

What the endpoint sends comes in frames, each with its length before it, so that
the end of the relay is never taken for the end of a response: an orderly end of
the endpoint's connection is a frame without bytes.
"""

import io
import socket
import struct
from typing import Any

__all__ = ['END_FRAME', 'FRAME_HEAD', 'RelayedSocket']

FRAME_HEAD = struct.Struct('!I')
END_FRAME = FRAME_HEAD.pack(0)


class RelayedSocket:
    """What connections need of a socket, over the frames of a relay.

    Parameters
    ----------
    sock : socket
        The connection to the relay, on which the endpoint's bytes follow.

    Attributes
    ----------
    head : bytearray
        What has been received of the next frame's head.
    left : int
        Bytes of the present frame that have not been received.
    at_end : bool
        Whether the endpoint has closed its connection in order.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.head = bytearray()
        self.left = 0
        self.at_end = False

    def recv_into(self, buffer: Any, size: int = 0) -> int:
        """Receive bytes of the endpoint; return their number, 0 at the end.

        Raises
        ------
        ConnectionResetError
            When the relay ends before the endpoint has.
        OSError
            When the connection fails, or nothing comes in time.
        """
        while not self.left and not self.at_end:
            self.receive_head()
        if self.at_end:
            return 0
        wanted = min(size or len(buffer), self.left)
        count = self.sock.recv_into(buffer, wanted)
        if not count:
            raise ConnectionResetError('the relay ended within a frame')
        self.left -= count
        return count

    def receive_head(self) -> None:
        """Receive a part of the next frame's head.

        Raises
        ------
        OSError
            As for `recv_into`.
        """
        received = self.sock.recv(FRAME_HEAD.size - len(self.head))
        if not received:
            raise ConnectionResetError('the relay ended')
        self.head += received
        if len(self.head) == FRAME_HEAD.size:
            self.left = FRAME_HEAD.unpack(self.head)[0]
            self.at_end = not self.left
            self.head.clear()

    def has_bytes(self) -> bool:
        """Return whether bytes of the endpoint have arrived, not its end."""
        if self.left or self.at_end:
            return not self.at_end
        wanted = FRAME_HEAD.size - len(self.head)
        try:
            peeked = self.sock.recv(
                wanted, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except OSError:
            # Nothing has arrived, or the connection was reset.
            return False
        head = bytes(self.head) + peeked
        return len(head) == FRAME_HEAD.size and head != END_FRAME

    def sendall(self, content: bytes) -> None:
        """Send bytes to the endpoint."""
        self.sock.sendall(content)

    def makefile(self, mode: str, buffering: int = -1) -> io.RawIOBase:
        """Return a file that keeps the socket open."""
        return self.sock.makefile(mode, buffering=0)  # type: ignore[call-overload,no-any-return]

    def settimeout(self, timeout_s: float | None) -> None:
        """Set the time after which calls fail, in seconds."""
        self.sock.settimeout(timeout_s)

    def gettimeout(self) -> float | None:
        """Return the time after which calls fail, in seconds."""
        return self.sock.gettimeout()

    def setsockopt(self, *option: Any) -> None:
        """Set an option of the connection to the relay."""
        self.sock.setsockopt(*option)

    def fileno(self) -> int:
        """Return the number of the socket, -1 once it is closed."""
        return self.sock.fileno()

    def shutdown(self, how: int) -> None:
        """End the connection to the relay, which ends the endpoint's."""
        self.sock.shutdown(how)

    def close(self) -> None:
        """Close the connection to the relay."""
        self.sock.close()
