"""Connections to endpoints that are kept and notice a silent network."""

import http.client
import select
import socket
import threading
import time
from collections import deque
from collections.abc import Mapping

__all__ = ['ConnectionPool', 'EndpointConnection']

CONNECT_TIMEOUT_S = 0.3
UNACKED_TIMEOUT_MS = 1000
# A silent network is noticed in three seconds while nothing is under way.
KEEPALIVE: Mapping[int, int] = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 2,
}
MAX_IDLE_S = 4.0
MAX_IDLE_LINKS = 8


class EndpointConnection(http.client.HTTPConnection):
    """A connection to an endpoint that notices a silent network."""

    def __init__(self, address: str, port: int) -> None:
        super().__init__(address, port, timeout=CONNECT_TIMEOUT_S)
        self.idle_since = 0.0
        self.idle_limit_s = MAX_IDLE_S
        self.raw: socket.socket | None = None

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        # http.client drops its socket while an answer that ends with the
        # connection is still being read.
        self.raw = self.sock
        self.sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKED_TIMEOUT_MS,
        )
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, count in KEEPALIVE.items():
            self.sock.setsockopt(socket.IPPROTO_TCP, option, count)

    def is_clean(self) -> bool:
        """Tell whether nothing came while the connection was idle."""
        if self.sock is None:
            return False
        poller = select.poll()
        poller.register(self.sock, select.POLLIN | select.POLLHUP)
        return not poller.poll(0)

    def abort(self) -> None:
        """End a blocked read from another thread."""
        if self.raw is not None:
            try:
                self.raw.shutdown(socket.SHUT_RDWR)
            except OSError:
                # It has ended by itself.
                return


class ConnectionPool:
    """Idle connections to endpoints; safe to use from any thread."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.idle: dict[tuple[str, int], deque[EndpointConnection]] = {}
        self.opened = 0

    def take(
        self, address: str, port: int, fresh_s: float
    ) -> EndpointConnection:
        """Return a kept connection, or one that is not open yet.

        Parameters
        ----------
        address, port : str, int
            The endpoint.
        fresh_s : float
            The longest time that a kept one may have been idle.
        """
        now = time.monotonic()
        with self.lock:
            kept = self.idle.get((address, port), ())
            while kept:
                link = kept.pop()
                limit = min(fresh_s, link.idle_limit_s)
                if now - link.idle_since <= limit and link.is_clean():
                    return link
                link.close()
        self.opened += 1
        return EndpointConnection(address, port)

    def give(self, link: EndpointConnection) -> None:
        """Keep a connection whose answer has been read."""
        link.idle_since = time.monotonic()
        with self.lock:
            kept = self.idle.setdefault((link.host, link.port), deque())
            kept.append(link)
            if len(kept) > MAX_IDLE_LINKS:
                kept.popleft().close()

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        now = time.monotonic()
        with self.lock:
            for kept in self.idle.values():
                while kept and now - kept[0].idle_since > MAX_IDLE_S:
                    kept.popleft().close()
