"""Forwarding of a request to the host that issued its ticket."""

import http.client
import time

from trefoilspool.filter import FinalResponse, Job, Response
from trefoilspool.framing.strictresponse import StrictConnection
from trefoilspool.platform import HostEntry
from trefoilspool.problems import MayHaveRunError

__all__ = ['Forwarder']

CONNECT_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0
FORWARDED_HEADERS = (
    'authorization',
    'content-type',
    'idempotency-key',
    'x-request-kind',
)
RETURNED_HEADERS = (
    'Content-Type',
    'X-Request-Outcome',
    'Retry-After',
    'X-Request-Replayed',
)


class Forwarder:
    """Forwards requests to other hosts and returns their whole responses."""

    def forward(self, job: Job, host: HostEntry) -> FinalResponse:
        """Return the response of the host that issued the ticket."""
        connection = StrictConnection(
            host.address,
            host.http_port,
            timeout=CONNECT_TIMEOUT_S,
        )
        try:
            connection.connect()
        except OSError:
            # An earlier request with this ticket may have run on that host.
            return MayHaveRunError(
                f'cannot connect to host {host.name}, which issued the ticket',
                RETRY_AFTER_S,
            )
        remaining_s = max(
            CONNECT_TIMEOUT_S, job.ask.deadline - time.monotonic()
        )
        connection.sock.settimeout(remaining_s + CONNECT_TIMEOUT_S)
        request = job.arrival
        headers = {
            name: request.headers[name]
            for name in FORWARDED_HEADERS
            if name in request.headers
        }
        headers['X-Request-Timeout'] = str(remaining_s)
        try:
            connection.request(
                request.method,
                request.target,
                request.body,
                headers,
            )
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException):
            return MayHaveRunError(
                f'no complete response from host {host.name}, which issued '
                'the ticket',
            )
        finally:
            connection.close()
        response_headers = tuple(
            (name, response.headers[name])
            for name in RETURNED_HEADERS
            if name in response.headers
        )
        return Response(response.status, response_headers, iter((body,)))
