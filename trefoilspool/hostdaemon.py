"""The process that serves the product's own interface on a host."""

import signal
import threading

import logbook
import waitress
from waitress.channel import HTTPChannel

from trefoilspool.host import BACKLOG_CONNECTIONS, Host
from trefoilspool.memoryarenas import bound_arenas
from trefoilspool.options import HostOptions
from trefoilspool.pages import Pages
from trefoilspool.requestparser import StrictParser
from trefoilspool.signals import SignalQueue
from trefoilspool.web import WebApp

__all__ = ['serve']

SPARE_THREADS = 16  # for health checks and refusals at the stream limit
MAX_BODY_BYTES = 64_000_000
MAX_HEADERS_BYTES = 65_536
LOOKAHEAD_REQUESTS = 1  # needed by waitress to detect closed connections
MAX_CONNECTIONS = 4096
CHANNEL_TIMEOUT_S = 3600

logger = logbook.Logger('host')


class StrictChannel(HTTPChannel):  # type: ignore[misc]
    """A caller's connection, parsed by ``StrictParser``."""

    parser_class = StrictParser


def serve(options: HostOptions) -> None:
    """Run a host until SIGTERM or SIGINT, then drain and return."""
    bound_arenas()
    host = Host(options)
    host.start()
    server = waitress.create_server(
        WebApp(Pages(host).table(), host.pipeline.handle),
        host=options.address,
        port=options.port,
        threads=options.max_streams + SPARE_THREADS,
        send_bytes=1,
        channel_request_lookahead=LOOKAHEAD_REQUESTS,
        max_request_body_size=MAX_BODY_BYTES,
        max_request_header_size=MAX_HEADERS_BYTES,
        connection_limit=MAX_CONNECTIONS,
        channel_timeout=CHANNEL_TIMEOUT_S,
        backlog=BACKLOG_CONNECTIONS,
        clear_untrusted_proxy_headers=True,
        ident='trefoilspool',
    )
    server.channel_class = StrictChannel
    signals = SignalQueue((signal.SIGTERM, signal.SIGINT))
    runner = threading.Thread(target=server.run, daemon=True)
    runner.start()
    logger.info('host {} listening on port {}', host.name, options.port)
    signals.get()
    host.drain()
    server.close()
    host.stop()
