"""The process that serves routed requests on a host."""

import logging
import signal
import threading

import logbook

from trefoilspool.gatewayapp import GatewayApp
from trefoilspool.gatewayhost import GatewayHost
from trefoilspool.gatewayplatform import Platform
from trefoilspool.httpserver import HttpServer
from trefoilspool.jsonlog import QueuedJsonHandler
from trefoilspool.memoryarenas import bound_arenas
from trefoilspool.options import GatewayOptions
from trefoilspool.signals import SignalQueue

__all__ = ['serve_gateway']


logger = logbook.Logger('daemon')


STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))


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
    bound_arenas()
    # waitress logs each disconnect of a caller, which `settle` lines also show.
    logging.getLogger('waitress').setLevel(logging.WARNING)
    # waitress would log a warning whenever a request starts a thread.
    logging.getLogger('waitress.queue').setLevel(logging.ERROR)
    signals = SignalQueue((*STOP_SIGNALS, signal.SIGHUP))
    host = GatewayHost(options, platform)
    handler.incarnation = host.incarnation
    server = HttpServer(GatewayApp(host), options.listeners)
    host.on_limits = server.limit_requests
    host.start()
    threading.Thread(target=server.run, daemon=True).start()
    logger.info(
        'started',
        extra={
            'listen': options.listen,
            'data_centre': options.data_centre,
        },
    )
    while signals.get() not in STOP_SIGNALS:
        # Flags and environment variables are read only at the start.
        logger.info('reload', extra={'changed': 'nothing until a restart'})
    host.drain(server)
    server.close()
    host.stop()
    logger.info('stopped')
