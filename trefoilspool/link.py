"""TCP links between hosts: a sender task per peer, one receiver task."""

import selectors
import socket
from collections.abc import Callable
from typing import NamedTuple

import logbook
from thrift.Thrift import TException

from trefoilspool.task import Task
from trefoilspool.wire.codec import FrameBuffer, encode
from trefoilspool.wire.gen.peer.ttypes import Frame

__all__ = ['Item', 'LinkTask', 'ReceiverTask']

logger = logbook.Logger('link')

CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 2.0
TICK_S = 0.2
RECEIVE_BUFFER_BYTES = 65_536
POLL_S = 0.5


class Item(NamedTuple):
    """A value for a field of the next frame; list fields collect values."""

    field: str
    element: object


class LinkTask(Task):
    """Sends frames to one peer over its own connection.

    Items that arrive while a frame is being sent go into the next frame.
    Frames may be lost with a connection, so the users of a link repeat
    messages that have to arrive.

    Parameters
    ----------
    sender : str
        Name of this host.
    address : tuple of str, int
        Address and port of the peer.
    """

    def __init__(self, sender: str, address: tuple[str, int]) -> None:
        super().__init__(TICK_S)
        self.sender = sender
        self.address = address
        self.connection: socket.socket | None = None
        self.frame = Frame(sender=sender)
        self.pending = 0

    def handle(self, message: object) -> None:
        """Add an item to the next frame."""
        if not isinstance(message, Item):
            return
        if message.field in SCALAR_FIELDS:
            setattr(self.frame, message.field, message.element)
        else:
            elements = getattr(self.frame, message.field) or []
            elements.append(message.element)
            setattr(self.frame, message.field, elements)
        self.pending += 1

    def batch_end(self) -> None:
        """Send the items added since the last frame."""
        if not self.pending:
            return
        frame = self.frame
        self.frame = Frame(sender=self.sender)
        self.pending = 0
        try:
            self.connect().sendall(encode(frame))
        except OSError as error:
            logger.debug(
                'link to {} failed, frame lost: {}', self.address, error
            )
            self.disconnect()

    def connect(self) -> socket.socket:
        """Return the connection; open it if necessary."""
        if self.connection is None:
            self.connection = socket.create_connection(
                self.address,
                CONNECT_TIMEOUT_S,
            )
            self.connection.settimeout(SEND_TIMEOUT_S)
            self.connection.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_NODELAY,
                1,
            )
        return self.connection

    def disconnect(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def run(self) -> None:
        """Run until stopped, then close the connection."""
        super().run()
        self.disconnect()


SCALAR_FIELDS = frozenset(('beat', 'settings_from', 'roll'))


class ReceiverTask(Task):
    """Accepts peers' connections and delivers their frames.

    Parameters
    ----------
    listener : socket.socket
        A listening socket; this task closes it.
    deliver : callable
        Called with each received frame.
    """

    def __init__(
        self,
        listener: socket.socket,
        deliver: Callable[[Frame], None],
    ) -> None:
        super().__init__(0)
        self.deliver = deliver
        self.listener = listener
        self.selector = selectors.DefaultSelector()
        listener.setblocking(False)
        self.selector.register(listener, selectors.EVENT_READ, None)

    def handle(self, message: object) -> None:
        """Ignore messages; only ``Stop`` is sent to this task."""

    def tick(self) -> None:
        """Wait for connections and data, and handle them."""
        for key, _ in self.selector.select(POLL_S):
            if key.data is None:
                self.accept()
            else:
                self.receive(key.fileobj, key.data)  # type: ignore[arg-type]

    def accept(self) -> None:
        """Accept a peer's connection."""
        connection, _ = self.listener.accept()
        connection.setblocking(False)
        self.selector.register(
            connection,
            selectors.EVENT_READ,
            FrameBuffer(),
        )

    def receive(self, connection: socket.socket, buffer: FrameBuffer) -> None:
        """Read from a peer and deliver complete frames."""
        try:
            received = connection.recv(RECEIVE_BUFFER_BYTES)
            frames = buffer.feed(received)
        except (OSError, EOFError, TException):
            received = b''
            frames = []
        for frame in frames:
            self.guard(self.deliver, frame)
        if not received:
            self.selector.unregister(connection)
            connection.close()

    def run(self) -> None:
        """Run until stopped, then close all connections."""
        super().run()
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()  # type: ignore[union-attr]
        self.selector.close()
