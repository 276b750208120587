"""TCP connections whose peers have gone silent, or send what is not asked."""

import contextlib
import select
import socket
from collections.abc import Mapping

__all__ = ['bound_silence', 'has_unread', 'shut_down']

# A sound endpoint may stop for more than a second and go on.
UNACKED_TIMEOUT_MS = 3000
# With no data in flight a dead peer is detected by probes after one idle second.
# While TCP_USER_TIMEOUT is set it decides when they are given up, whatever their
# count; the count is for systems where it does not.
KEEPALIVE_OPTIONS: Mapping[int, int] = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 2,
}


def bound_silence(connected: socket.socket) -> None:
    """Make TCP end a connection whose peer acknowledges nothing."""
    connected.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS
    )
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE_OPTIONS.items():
        connected.setsockopt(socket.IPPROTO_TCP, option, value)


def shut_down(connected: socket.socket) -> None:
    """End a blocked read from another thread."""
    # The connection may be closed already.
    with contextlib.suppress(OSError):
        connected.shutdown(socket.SHUT_RDWR)


def has_unread(connected: socket.socket | None) -> bool:
    """Return whether bytes, or the end, of a connection are still unread."""
    if connected is None:
        return False
    poller = select.poll()
    poller.register(connected, select.POLLIN | select.POLLHUP)
    return bool(poller.poll(0))
