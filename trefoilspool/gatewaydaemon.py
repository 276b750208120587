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

WAKE_S = 0.5

logger = logbook.Logger('daemon')


class Signals:
    """Turns signals into an event and log lines."""

    def __init__(self) -> None:
        self.stopping = threading.Event()

    def install(self) -> None:
        """Take the signals of this process."""
        signal.signal(signal.SIGTERM, self.on_stop)
        signal.signal(signal.SIGINT, self.on_stop)
        signal.signal(signal.SIGHUP, self.on_hangup)

    def wait(self) -> None:
        """Wait on the main thread for the signal to stop.

        Signals in quick succession may reach another thread, which does not
        wake this one; the handlers run when the wait ends by itself.
        """
        while not self.stopping.is_set():
            self.stopping.wait(WAKE_S)

    def on_stop(self, number: int, frame: FrameType | None) -> None:
        """Begin to leave."""
        self.stopping.set()

    def on_hangup(self, number: int, frame: FrameType | None) -> None:
        """Note a reload; flags and variables change only at a start."""
        logger.info('reload', extra={'changed': 'nothing until a start'})


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
        How the platform is spoken to.
    handler : QueuedJsonHandler
        Writes the log; its lines name the host's incarnation.
    """
    # The HTTP server notes each caller that hangs up; `settle` lines do too.
    logging.getLogger('waitress').setLevel(logging.WARNING)
    # Each thread that is started for a request would be a warning.
    logging.getLogger('waitress.queue').setLevel(logging.ERROR)
    signals = Signals()
    signals.install()
    host = GatewayHost(options, platform)
    handler.incarnation = host.incarnation
    listening = HttpServer(GatewayApp(host), options.listeners)
    host.start()
    threading.Thread(target=listening.run, daemon=True).start()
    logger.info(
        'started',
        extra={
            'listen': options.listen,
            'data_centre': options.data_centre,
        },
    )
    signals.wait()
    host.drain(listening)
    listening.close()
    host.stop()
    logger.info('stopped')
