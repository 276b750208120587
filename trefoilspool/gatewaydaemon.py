"""The process that serves routed requests on a host."""

import logging
import signal
import threading

import logbook

from trefoilspool.gatewayapp import GatewayApp
from trefoilspool.gatewayhost import GatewayHost
from trefoilspool.gatewayplatform import Platform
from trefoilspool.httpserver import HttpServer
from trefoilspool.intake.room import room_of_machine
from trefoilspool.jsonlog import QueuedJsonHandler
from trefoilspool.memoryarenas import bound_arenas
from trefoilspool.options import GatewayOptions
from trefoilspool.responsebounds import ByteBudget
from trefoilspool.signals import SignalQueue

__all__ = ['serve_gateway']


logger = logbook.Logger('daemon')


OVERDUE_CHECK_S = 1.0
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
    room = room_of_machine(options.memory_mb, options.max_fds)
    server = HttpServer(GatewayApp(host), options.listeners, room)
    server.keeper.on_ended = host.count_ended_connection
    host.endpoint_client.pool.held_bytes = ByteBudget(room.response_bytes)
    host.on_limits = server.limit_requests
    host.start()
    start_server(server, host)
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


def start_server(server: HttpServer, host: GatewayHost) -> None:
    """Start the threads of a host's server."""
    threading.Thread(target=server.run, daemon=True).start()
    threading.Thread(
        target=end_overdue_connections,
        args=(server, host.stopping),
        daemon=True,
    ).start()


def end_overdue_connections(
    server: HttpServer, stopping: threading.Event
) -> None:
    """End the connections that take too long, periodically."""
    while not stopping.wait(OVERDUE_CHECK_S):
        try:
            server.keeper.end_overdue()
        except Exception:
            logger.exception('overdue_check_failed')
