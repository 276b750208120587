"""How a leaving host waits for its open requests."""

import time

from trefoilspool import clock
from trefoilspool.gateway import Gateway
from trefoilspool.httpserver import HttpServer
from trefoilspool.paths.relaytask import RelayTask

__all__ = ['await_open_requests']

POLL_S = 0.05
# By then the load balancer sends no more requests to a draining host.
ACCEPT_S = 2.8
MIN_DRAIN_S = 3.2
MAX_DRAIN_S = 7.8  # the platform kills the process after 8 s
# From here on requests that still wait are ended, so that they get an answer.
END_REQUESTS_S = 7.2


def await_open_requests(
    gateway: Gateway, server: HttpServer, relay: RelayTask
) -> None:
    """Wait until no request is open; reject new ones, later end those left.

    Parameters
    ----------
    gateway : Gateway
        The host's requests.
    server : HttpServer
        Server whose idle connections are closed, so that their callers
        connect to other hosts.
    relay : RelayTask
        Connections of other hosts, which are not ended either.
    """
    started_at = clock.now()
    while clock.now() < started_at + MAX_DRAIN_S:
        elapsed_s = clock.now() - started_at
        gateway.closed = elapsed_s >= ACCEPT_S
        gateway.ending = elapsed_s >= END_REQUESTS_S
        server.close_idle()
        # The gateway does not count a request that no thread has taken.
        is_busy = (
            gateway.open_count or server.has_requests() or relay.open_count
        )
        if elapsed_s >= MIN_DRAIN_S and not is_busy:
            return
        time.sleep(POLL_S)
