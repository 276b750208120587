"""The process that serves routed requests on a host."""

import logging
import signal
import threading
from types import FrameType

import logbook

from trefoilspool.gatewayapp import GatewayApp
from trefoilspool.gatewayhost import GatewayHost, Platform
from trefoilspool.httpserver import HttpServer
from trefoilspool.jsonlog import QueuedJsonHandler
from trefoilspool.options import GatewayOptions

__all__ = ['serve_gateway']

SIGNAL_POLL_S = 0.5

logger = logbook.Logger('daemon')


class Signals:
    """Handlers of SIGTERM, SIGINT and SIGHUP."""

    def __init__(self) -> None:
        self.stopping = threading.Event()

    def install(self) -> None:
        """Install the signal handlers of this process."""
        signal.signal(signal.SIGTERM, self.on_stop)
        signal.signal(signal.SIGINT, self.on_stop)
        signal.signal(signal.SIGHUP, self.on_hangup)

    def wait(self) -> None:
        """Block the main thread until SIGTERM or SIGINT.

        Python runs signal handlers on the main thread. A signal delivered to
        another thread does not wake it, so the wait ends every
        ``SIGNAL_POLL_S`` seconds.
        """
        while not self.stopping.is_set():
            self.stopping.wait(SIGNAL_POLL_S)

    def on_stop(self, number: int, frame: FrameType | None) -> None:
        """Start the shutdown."""
        self.stopping.set()

    def on_hangup(self, number: int, frame: FrameType | None) -> None:
        """Log that flags and environment variables are read only at start."""
        logger.info('reload', extra={'changed': 'nothing until a restart'})


def serve_gateway(
    options: GatewayOptions,
    platform: Platform,
    handler: QueuedJsonHandler,
) -> None:
    """Run a host until SIGTERM or SIGINT, then drain and return.

    Parameters
    ----------
    options : GatewayOptions
        Process settings.
    platform : Platform
        Adapter of the platform.
    handler : QueuedJsonHandler
        Writes the log; gets the host's incarnation for its lines.
    """
    # waitress logs each disconnect of a caller, which `settle` lines also show.
    logging.getLogger('waitress').setLevel(logging.WARNING)
    # waitress would log a warning whenever a request starts a thread.
    logging.getLogger('waitress.queue').setLevel(logging.ERROR)
    signals = Signals()
    signals.install()
    host = GatewayHost(options, platform)
    handler.incarnation = host.incarnation
    server = HttpServer(GatewayApp(host), options.listeners)
    host.start()
    threading.Thread(target=server.run, daemon=True).start()
    logger.info(
        'started',
        extra={
            'listen': options.listen,
            'data_centre': options.data_centre,
        },
    )
    signals.wait()
    host.drain(server)
    server.close()
    host.stop()
    logger.info('stopped')
