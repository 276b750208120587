"""Forwarding of a request to the host that its ticket names."""

import http.client
import time

from trefoilspool.errors import MayHaveRunError
from trefoilspool.filter import Answer, Final, Job
from trefoilspool.platform import HostEntry

__all__ = ['Forwarder']

CONNECT_TIMEOUT_S = 1.0
RETRY_S = 1.0
PASSED_HEADERS = (
    'authorization',
    'content-type',
    'idempotency-key',
    'x-request-kind',
)
KEPT_HEADERS = (
    'Content-Type',
    'X-Request-Outcome',
    'Retry-After',
    'X-Request-Replayed',
)


class Forwarder:
    """Passes requests on and hands back the whole answer."""

    def forward(self, job: Job, host: HostEntry) -> Final:
        """Return the other host's answer."""
        link = http.client.HTTPConnection(
            host.address,
            host.http_port,
            timeout=CONNECT_TIMEOUT_S,
        )
        try:
            link.connect()
        except OSError:
            # An earlier request with this ticket may have run there.
            return MayHaveRunError(
                f'host {host.name} of the ticket is unreachable',
                RETRY_S,
            )
        left = max(CONNECT_TIMEOUT_S, job.ask.deadline - time.monotonic())
        link.sock.settimeout(left + CONNECT_TIMEOUT_S)
        arrival = job.arrival
        headers = {
            name: arrival.headers[name]
            for name in PASSED_HEADERS
            if name in arrival.headers
        }
        headers['X-Request-Timeout'] = str(left)
        try:
            link.request(
                arrival.method,
                arrival.target,
                arrival.body,
                headers,
            )
            reply = link.getresponse()
            body = reply.read()
        except (OSError, http.client.HTTPException):
            return MayHaveRunError(
                f'host {host.name} of the ticket did not answer',
            )
        finally:
            link.close()
        kept = tuple(
            (name, reply.headers[name])
            for name in KEPT_HEADERS
            if name in reply.headers
        )
        return Answer(reply.status, kept, iter((body,)))
