"""Pooled connections to endpoints, with detection of a dead peer."""

import math
import select
import socket
import struct
import threading
from collections import deque
from collections.abc import Callable, Sequence

from trefoilspool import clock
from trefoilspool.boundedconnection import BoundedConnection
from trefoilspool.departures import EndpointRun
from trefoilspool.paths.relayedsocket import RelayedSocket
from trefoilspool.readpace import PieceBudget
from trefoilspool.responsebounds import ByteBudget

__all__ = [
    'CONNECT_TIMEOUT_S',
    'ConnectionPool',
    'EndpointConnection',
    'first_readable',
]

MS_PER_S = 1000
CONNECT_TIMEOUT_S = 0.3
# A connection is closed with a reset: an endpoint whose bytes have filled the
# receive window would otherwise not hear of it.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
MAX_IDLE_S = 4.0
MAX_IDLE_CONNECTIONS = 8
MAX_REQUESTS = 500  # on a connection, which remembers their ids
# Memory for what is received of long bodies and events, in all.
MAX_HELD_BYTES = 16_777_216


SocketOpener = Callable[[], socket.socket | RelayedSocket]


class EndpointConnection(BoundedConnection):
    """An HTTP connection to an endpoint that detects a dead peer.

    Attributes
    ----------
    idle_since : float
        When the connection returned to the pool, in monotonic seconds.
    idle_limit_s : float
        Longest time that the endpoint is expected to keep it open.
    carried : set of str
        Ids of the requests that it has carried. A response tells by its id to
        which of them it belongs, so none is sent on it twice.
    run : EndpointRun
        The endpoint's run to which it was opened.
    is_aborted : bool
        Whether this host has ended it, so that its end is no end of a body.
    is_reset : bool
        Whether the endpoint has reset it, so that its end is no end of a body
        although reads no longer tell of the reset.
    tcp_socket : socket, RelayedSocket or None
        The socket, also while ``http.client`` has dropped its own reference.
    """

    def __init__(self, address: str, port: int) -> None:
        super().__init__(address, port, timeout=CONNECT_TIMEOUT_S)
        self.idle_since = 0.0
        self.idle_limit_s = MAX_IDLE_S
        self.carried: set[str] = set()
        self.is_aborted = False
        self.is_reset = False
        self.run = EndpointRun('', 0)
        self.tcp_socket: socket.socket | RelayedSocket | None = None

    def open_with(self, open_socket: SocketOpener) -> None:
        """Open the connection over a socket that is made elsewhere.

        Parameters
        ----------
        open_socket : callable
            Returns the open socket.
        """

        def create(*_: object) -> socket.socket | RelayedSocket:
            return open_socket()

        self._create_connection = create
        self.connect()

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        # http.client clears ``sock`` while it still reads a response after
        # which the connection is closed; ``abort`` needs the socket then.
        self.tcp_socket = self.sock

    @property
    def is_relayed(self) -> bool:
        """Return whether another host relays it."""
        return isinstance(self.tcp_socket, RelayedSocket)

    def is_reusable(self) -> bool:
        """Return whether the idle connection is open with no bytes unread."""
        return self.sock is not None and not self.wait_readable(0)

    def has_bytes(self) -> bool:
        """Return whether bytes have arrived, rather than the end."""
        if self.tcp_socket is None:
            return False
        if isinstance(self.tcp_socket, RelayedSocket):
            return self.tcp_socket.has_bytes()
        try:
            return bool(
                self.tcp_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            )
        except BlockingIOError:
            return False
        except OSError as error:
            self.note_failure(error)
            return False

    def note_failure(self, error: OSError) -> None:
        """Remember an error of the connection, after which it is read on.

        The system tells of a reset once: later reads return what had arrived
        and then an end. A broken pipe says that the endpoint had ended its side
        in order before it reset the connection (Linux: ``tcp_reset``), and a
        relay tells of an end in order by itself.
        """
        if not self.is_relayed and not isinstance(error, BrokenPipeError):
            self.is_reset = True

    def wait_readable(self, timeout_s: float) -> bool:
        """Return whether bytes or the end of the connection arrive in time."""
        return first_readable((self,), timeout_s) is not None

    def abort(self) -> None:
        """End a blocked read from another thread."""
        self.is_aborted = True
        if self.tcp_socket is not None:
            try:
                self.tcp_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                self.tcp_socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The connection is already closed.
                return


def first_readable(
    connections: Sequence[EndpointConnection], timeout_s: float
) -> EndpointConnection | None:
    """Wait for the first of some connections to have bytes or to be closed.

    Returns
    -------
    EndpointConnection or None
        The first one in order, if several have; None after the timeout.
    """
    poller = select.poll()
    sockets = [connection.tcp_socket for connection in connections]
    for tcp_socket in sockets:
        if tcp_socket is not None and tcp_socket.fileno() >= 0:
            poller.register(tcp_socket, select.POLLIN | select.POLLHUP)
    ready = {
        number for number, _ in poller.poll(math.ceil(timeout_s * MS_PER_S))
    }
    for connection, tcp_socket in zip(connections, sockets, strict=True):
        # A closed socket has the number -1, and nothing more arrives on it.
        if tcp_socket is None or tcp_socket.fileno() in {-1, *ready}:
            return connection
    return None


class ConnectionPool:
    """Idle connections to endpoints; safe to use from any thread."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.idle: dict[tuple[str, int], deque[EndpointConnection]] = {}
        self.opened_count = 0
        self.held_bytes = ByteBudget(MAX_HELD_BYTES)
        self.small_pieces = PieceBudget()

    def acquire(
        self, address: str, port: int, max_idle_s: float, request_id: str = ''
    ) -> EndpointConnection:
        """Return an idle connection, or a new one that is not open yet.

        Parameters
        ----------
        address, port : str, int
            The endpoint.
        max_idle_s : float
            Longest time that a reused connection may have been idle.
        request_id : str
            Id of the request for which it is.
        """
        now = clock.now()
        with self.lock:
            idle = self.idle.get((address, port), deque())
            for connection in tuple(reversed(idle)):
                if request_id in connection.carried:
                    continue
                idle.remove(connection)
                limit_s = min(max_idle_s, connection.idle_limit_s)
                if (
                    now - connection.idle_since <= limit_s
                    and connection.is_reusable()
                ):
                    return connection
                connection.close()
        self.opened_count += 1
        return EndpointConnection(address, port)

    def drop(self, address: str, port: int) -> None:
        """Close the idle connections to an endpoint."""
        with self.lock:
            idle = self.idle.pop((address, port), ())
        for connection in idle:
            connection.close()

    def release(self, connection: EndpointConnection) -> None:
        """Put a connection whose response has been read back into the pool."""
        # A relayed connection is of use only while the own path is broken.
        if len(connection.carried) >= MAX_REQUESTS or connection.is_relayed:
            connection.close()
            return
        connection.idle_since = clock.now()
        with self.lock:
            idle = self.idle.setdefault(
                (connection.host, connection.port), deque()
            )
            idle.append(connection)
            if len(idle) > MAX_IDLE_CONNECTIONS:
                idle.popleft().close()

    def close_expired(self) -> None:
        """Close connections that have been idle longer than ``MAX_IDLE_S``."""
        now = clock.now()
        with self.lock:
            for idle in self.idle.values():
                while idle and now - idle[0].idle_since > MAX_IDLE_S:
                    idle.popleft().close()
