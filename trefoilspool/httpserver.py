"""The HTTP server of a host, which can leave without losing a request."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import waitress
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.server import BaseWSGIServer
from waitress.wasyncore import close_all

from trefoilspool.workerpool import WorkerPool

__all__ = ['HttpServer']

BACKLOG = 512
LOOKAHEAD = 1  # lets waitress notice that a caller has hung up
CHANNEL_TIMEOUT_S = 600
MAX_CONNECTIONS = 1000
MAX_BODY_BYTES = 64_000_000
MAX_HEADERS_BYTES = 65_536

Application = Callable[..., Iterable[bytes]]


class StrictParser(HTTPRequestParser):  # type: ignore[misc]
    """Refuses requests whose body has two lengths.

    What one side takes for a body, another could take for a request.
    """

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the head of a request.

        Raises
        ------
        ParsingError
            It is malformed.
        """
        super().parse_header(header_plus)
        if self.chunked and 'CONTENT_LENGTH' in self.headers:
            raise ParsingError('a chunked body has no Content-Length')


class StrictChannel(HTTPChannel):  # type: ignore[misc]
    """A caller's connection with the strict parser."""

    parser_class = StrictParser


class HttpServer:
    """A waitress server on several addresses.

    Parameters
    ----------
    application : callable
        The WSGI application.
    addresses : iterable of str
        IP:PORT of each listener.
    """

    def __init__(
        self,
        application: Application,
        addresses: Iterable[str],
    ) -> None:
        self.sockets: dict[Any, Any] = {}
        self.workers = WorkerPool()
        self.server = waitress.create_server(
            application,
            map=self.sockets,
            listen=' '.join(addresses),
            _dispatcher=self.workers,
            send_bytes=1,
            channel_request_lookahead=LOOKAHEAD,
            max_request_body_size=MAX_BODY_BYTES,
            max_request_header_size=MAX_HEADERS_BYTES,
            connection_limit=MAX_CONNECTIONS,
            channel_timeout=CHANNEL_TIMEOUT_S,
            backlog=BACKLOG,
            clear_untrusted_proxy_headers=False,
            log_socket_errors=False,
            asyncore_use_poll=True,
            ident=None,
        )
        for one in self.sockets.values():
            if isinstance(one, BaseWSGIServer):
                one.channel_class = StrictChannel

    def run(self) -> None:
        """Serve until the process ends."""
        self.server.run()

    def channels(self) -> Iterator[HTTPChannel]:
        """Yield the open connections of callers."""
        for one in list(self.sockets.values()):
            if isinstance(one, HTTPChannel):
                yield one

    def close_idle(self) -> int:
        """Close connections on which no request has begun.

        Returns
        -------
        int
            The number of connections that are closed.
        """
        closed = 0
        for channel in self.channels():
            with channel.requests_lock:
                idle = not channel.requests and channel.request is None
                if idle and not channel.total_outbufs_len:
                    channel.will_close = True
                    closed += 1
            channel.server.pull_trigger()
        return closed

    def close(self) -> None:
        """Close all sockets."""
        close_all(self.sockets, ignore_all=True)
