"""The HTTP server of a host; its idle connections can be closed."""

import time
from collections.abc import Iterator, Sequence
from typing import Any

import logbook
import waitress
from waitress.server import BaseWSGIServer
from waitress.wasyncore import close_all

from trefoilspool.callerchannel import (
    Application,
    CallerChannel,
    PageChannel,
)
from trefoilspool.intake.keeper import RoomKeeper
from trefoilspool.intake.room import Room, room_of_machine
from trefoilspool.routing import CallerLimits
from trefoilspool.workerpool import WorkerPool

__all__ = ['HttpServer']

BACKLOG = 512
LOOKAHEAD_REQUESTS = 1  # makes waitress detect a caller's disconnect
CHANNEL_TIMEOUT_S = 600
MAX_SOCKETS = 4000
MAX_BODY_BYTES = 64_000_000
MAX_HEADERS_BYTES = 65_536
# Bodies stay in memory: a full disk would end their requests.
MAX_BUFFERED_BYTES = 1_000_000_000
LOOP_PAUSE_S = 0.02

logger = logbook.Logger('httpserver')


class HttpServer:
    """A waitress server that listens on several addresses.

    Parameters
    ----------
    application : Application
        The WSGI application.
    addresses : sequence of str
        IP:PORT of each listening socket. Callers use the first; the others have
        pages that are answered even while all threads wait.
    room : Room, optional
        What may be held for callers.

    Attributes
    ----------
    keeper : RoomKeeper
        Ends connections that use up the room or are overdue.
    """

    def __init__(
        self,
        application: Application,
        addresses: Sequence[str],
        room: Room | None = None,
    ) -> None:
        self.sockets: dict[Any, Any] = {}
        self.closed = False
        self.worker_pool = WorkerPool()
        self.keeper = RoomKeeper(self.channels, room or room_of_machine(0, 0))
        self.server = waitress.create_server(
            application,
            map=self.sockets,
            listen=' '.join(addresses),
            _dispatcher=self.worker_pool,
            send_bytes=1,
            channel_request_lookahead=LOOKAHEAD_REQUESTS,
            max_request_body_size=MAX_BODY_BYTES,
            max_request_header_size=MAX_HEADERS_BYTES,
            # The keeper ends connections long before.
            connection_limit=MAX_SOCKETS,
            inbuf_overflow=MAX_BUFFERED_BYTES,
            outbuf_overflow=MAX_BUFFERED_BYTES,
            channel_timeout=CHANNEL_TIMEOUT_S,
            backlog=BACKLOG,
            clear_untrusted_proxy_headers=False,
            log_socket_errors=False,
            asyncore_use_poll=True,
            ident=None,
        )
        for dispatcher in self.sockets.values():
            if isinstance(dispatcher, BaseWSGIServer):
                dispatcher.keeper = self.keeper
                dispatcher.channel_class = channel_class(dispatcher, addresses)

    def limit_requests(self, limits: CallerLimits) -> None:
        """Bound the heads and bodies of the requests that come from now on.

        The parser refuses what is longer while it is being received.
        """
        # waitress refuses what has as many bytes as its limit.
        self.server.adj.max_request_header_size = (
            min(limits.max_header_bytes, MAX_HEADERS_BYTES) + 1
        )
        self.server.adj.max_request_body_size = (
            min(limits.max_body_bytes, MAX_BODY_BYTES) + 1
        )
        self.keeper.header_timeout_s = limits.header_timeout_s
        self.keeper.idle_timeout_s = limits.idle_timeout_s

    def run(self) -> None:
        """Serve until all sockets are closed."""
        while self.sockets and not self.closed:
            try:
                self.server.run()
            except Exception:
                if self.closed:
                    return
                # An exception outside the handling of one connection.
                logger.exception('server_loop_failed')
                time.sleep(LOOP_PAUSE_S)

    def channels(self) -> Iterator[CallerChannel]:
        """Yield the open connections of callers."""
        for dispatcher in list(self.sockets.values()):
            if isinstance(dispatcher, CallerChannel):
                yield dispatcher

    def close_idle(self) -> int:
        """Close the connections without a request in progress.

        Returns
        -------
        int
            Number of connections that are being closed.
        """
        closing = [channel for channel in self.channels() if channel.is_idle()]
        for channel in closing:
            # A request may be arriving: the thread that reads it decides.
            channel.closes_idle = True
            channel.server.pull_trigger()
        return len(closing)

    def has_requests(self) -> bool:
        """Return whether any request is being read, waits or is answered."""
        return any(
            channel.requests
            or channel.request
            or channel.total_outbufs_len
            or channel.lingers_until
            for channel in self.channels()
        )

    def close(self) -> None:
        """Close all sockets."""
        self.closed = True
        self.worker_pool.stop_prompt_thread()
        close_all(self.sockets, ignore_all=True)


def channel_class(
    listener: BaseWSGIServer, addresses: Sequence[str]
) -> type[CallerChannel]:
    """Return the kind of the connections that a listener accepts."""
    caller_port = addresses[0].rpartition(':')[2]
    is_for_callers = str(listener.effective_port) == caller_port
    return CallerChannel if is_for_callers else PageChannel
