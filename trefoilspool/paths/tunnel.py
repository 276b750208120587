"""The bytes of one relayed connection on their way through a relay."""

import selectors
import socket
import struct
from collections.abc import Mapping

import logbook

from trefoilspool.paths.relayedsocket import END_FRAME, FRAME_HEAD

__all__ = ['Tunnel', 'close_with_reset']

READ_BYTES = 65_536
MAX_BUFFERED_BYTES = 131_072  # in each direction
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
NO_EVENTS = 0

logger = logbook.Logger('paths')


class Tunnel:
    """Moves bytes between a host and an endpoint; owned by one thread.

    Parameters
    ----------
    near : socket
        The connection of the host that asked, non-blocking.
    far : socket
        The connection to the endpoint, non-blocking.
    expires_at : float
        When it is closed at the latest, in seconds.

    Attributes
    ----------
    to_near, to_far : bytearray
        What has been received and not been sent on. What goes to the host that
        asked is in frames; see `relayedsocket`.
    far_has_ended : bool
        Whether nothing more comes from the endpoint.
    far_is_reset : bool
        Whether its connection failed, so that its end is not one in order.
    far_is_writable : bool
        Whether the endpoint still takes bytes.
    is_closed : bool
        Whether both connections have been closed.
    """

    def __init__(
        self, near: socket.socket, far: socket.socket, expires_at: float
    ) -> None:
        self.near = near
        self.far = far
        self.expires_at = expires_at
        self.to_near = bytearray()
        self.to_far = bytearray()
        self.far_has_ended = False
        self.far_is_reset = False
        self.far_is_writable = True
        self.is_closed = False

    def interests(self) -> Mapping[socket.socket, int]:
        """Return the events that are waited for on each connection."""
        near, far = NO_EVENTS, NO_EVENTS
        if len(self.to_far) < MAX_BUFFERED_BYTES:
            near |= selectors.EVENT_READ
        if self.to_near:
            near |= selectors.EVENT_WRITE
        if not self.far_has_ended and len(self.to_near) < MAX_BUFFERED_BYTES:
            far |= selectors.EVENT_READ
        if self.to_far:
            far |= selectors.EVENT_WRITE
        return {self.near: near, self.far: far}

    def on_events(self, sock: socket.socket, events: int) -> None:
        """Move what can be moved after events on a connection."""
        try:
            self.move(sock, events)
        except BlockingIOError:
            return
        except OSError:
            # One side is gone: the other is to see a reset, never an end.
            self.close()

    def move(self, sock: socket.socket, events: int) -> None:
        """Read from, then write to the connections.

        Raises
        ------
        OSError
            When a connection has failed.
        """
        if events & selectors.EVENT_READ:
            if sock is self.near:
                self.read_near()
            else:
                self.read_far()
        if not self.is_closed:
            self.write_far()
            self.write_near()

    def read_near(self) -> None:
        """Read from the host that asked; its end cancels the request."""
        received = self.near.recv(READ_BYTES)
        if not received:
            self.close()
        elif self.far_is_writable:
            self.to_far += received

    def read_far(self) -> None:
        """Read from the endpoint.

        Only an end in order is passed on as one. After a reset that a write has
        met, reads return what had arrived and then an end.
        """
        received = self.far.recv(READ_BYTES)
        if received:
            self.to_near += FRAME_HEAD.pack(len(received)) + received
            return
        self.far_has_ended = True
        if not self.far_is_reset:
            self.to_near += END_FRAME

    def write_far(self) -> None:
        """Write to the endpoint.

        One that has responded early may take no more; its response is still
        read. A broken pipe says that it had ended its side in order before it
        reset the connection.
        """
        if not self.to_far:
            return
        try:
            del self.to_far[: self.far.send(self.to_far)]
        except BlockingIOError:
            return
        except OSError as error:
            self.far_is_reset = not isinstance(error, BrokenPipeError)
            self.far_is_writable = False
            self.to_far.clear()
            logger.info(
                'relayed_request_not_taken_whole', extra={'error': repr(error)}
            )

    def write_near(self) -> None:
        """Write to the host that asked; end its connection after a reset."""
        if self.to_near:
            del self.to_near[: self.near.send(self.to_near)]
        if self.far_has_ended and self.far_is_reset and not self.to_near:
            # Unlike a reset, it drops nothing that is still on its way.
            self.near.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close both connections with a reset."""
        if self.is_closed:
            return
        self.is_closed = True
        close_with_reset(self.near)
        close_with_reset(self.far)


def close_with_reset(sock: socket.socket) -> None:
    """Close a connection so that the other side sees no orderly end."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    finally:
        sock.close()
