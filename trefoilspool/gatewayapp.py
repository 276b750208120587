"""The WSGI application of a gateway host."""

import json
import re
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any

from waitress.task import hop_by_hop

from trefoilspool.callerchannel import Application
from trefoilspool.explaining.placement import explain_placement, parse_question
from trefoilspool.filter import Response
from trefoilspool.gateway import BUSY_RETRY_AFTER_S, Arrival
from trefoilspool.gatewayhost import GatewayHost
from trefoilspool.peertopics import (
    CONFIGURATION_PATH,
    ENDPOINTS_PATH,
    encode_changes,
)
from trefoilspool.problems import (
    OverloadedError,
    Problem,
)
from trefoilspool.responsechunks import close_chunks
from trefoilspool.web import status_line

__all__ = ['GatewayApp']

Environ = Mapping[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
METRICS_PATH = '/metrics'
EXPLAIN_PATH = '/explain'
# A line break within a header of a response, which is sent as a space. The
# expression begins with the break: one that can begin at each blank of a run,
# and reads to its end, takes time with the square of the run's length.
FOLD = re.compile(r'[\r\n]\s*')


class GatewayApp(Application):
    """The WSGI application of all listeners.

    Parameters
    ----------
    host : GatewayHost
        The host whose gateway and pages are served.
    """

    def __init__(self, host: GatewayHost) -> None:
        self.host = host
        self.dialect = host.endpoint_client.dialect
        ready = host.platform.readiness_path()
        self.pages: Mapping[tuple[str, str], Callable[[str], Response]] = {
            (port_of(host.options.ready), ready): self.ready,
            (port_of(host.options.ready), METRICS_PATH): self.metrics,
            (port_of(host.options.control), METRICS_PATH): self.metrics,
            (port_of(host.options.metrics), METRICS_PATH): self.metrics,
            (
                port_of(host.options.control),
                CONFIGURATION_PATH,
            ): self.configuration,
            (port_of(host.options.control), ENDPOINTS_PATH): self.endpoints,
            (port_of(host.options.control), EXPLAIN_PATH): self.explain,
            (port_of(host.options.metrics), EXPLAIN_PATH): self.explain,
        }

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Return the body of the response to a request."""
        response = self.respond(environ)
        try:
            start_response(
                status_line(response.status), sendable_headers(response.headers)
            )
        except Exception:
            close_chunks(response.chunks)
            raise
        return response.chunks

    def request_id(self, environ: Mapping[str, object]) -> str:
        """Return the id of a caller's request, empty if it has none."""
        return self.dialect.request_id(environ)

    def respond(self, environ: Environ) -> Response:
        """Return a page of this host, or the gateway's response."""
        port = environ['SERVER_PORT']
        if port != port_of(self.host.options.listen):
            page = self.pages.get((port, environ['PATH_INFO']))
            if page is None:
                return sized_response(HTTPStatus.NOT_FOUND, b'')
            return page(environ['QUERY_STRING'])
        gateway = self.host.gateway
        request_id = self.request_id(environ)
        try:
            request = self.dialect.decode_request(environ)
        except Problem as problem:
            return gateway.reject(request_id, problem)
        except Exception:
            return gateway.fail(
                request_id,
                OverloadedError(
                    'not run: this host failed', BUSY_RETRY_AFTER_S
                ),
            )
        arrival = Arrival(
            environ['trefoilspool.read_at'],
            environ['trefoilspool.overdue'],
            environ['waitress.client_disconnected'],
        )
        return gateway.handle(request, arrival)

    def ready(self, query: str) -> Response:
        """Return the readiness of this host, for the load balancer."""
        return sized_response(READINESS_STATUS[self.host.is_ready()], b'')

    def metrics(self, query: str) -> Response:
        """Return the metrics in the Prometheus text format."""
        return sized_response(
            HTTPStatus.OK, self.host.metrics.render().encode()
        )

    def configuration(self, query: str) -> Response:
        """Return the configuration in force, for a peer."""
        return sized_response(HTTPStatus.OK, self.host.settings_sync.content)

    def explain(self, query: str) -> Response:
        """Return where a request would go now, for an operator."""
        try:
            question = parse_question(query)
        except ValueError as error:
            return json_response(HTTPStatus.BAD_REQUEST, {'error': str(error)})
        host = self.host
        placement = explain_placement(
            question,
            host.gateway.configuration,
            host.mesh,
            host.options.data_centre,
        )
        return json_response(HTTPStatus.OK, placement)

    def endpoints(self, query: str) -> Response:
        """Return the endpoint records from a position on, for a peer."""
        try:
            body = encode_changes(self.host.endpoint_sync.view.replica, query)
        except ValueError:
            return sized_response(HTTPStatus.BAD_REQUEST, b'')
        return sized_response(HTTPStatus.OK, body)


def json_response(status: int, content: object) -> Response:
    """Return a response with a JSON body."""
    body = json.dumps(content).encode()
    headers = (
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    )
    return Response(status, headers, iter((body,)))


def port_of(listener: str) -> str:
    """Return the port of an IP:PORT."""
    return listener.rpartition(':')[2]


def sendable_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers that WSGI lets pass, each on one line."""
    return [
        (name, FOLD.sub(' ', text))
        for name, text in headers
        if name.lower() not in hop_by_hop
    ]


def sized_response(status: int, body: bytes) -> Response:
    """Return a response with its Content-Length."""
    return Response(
        status,
        (('Content-Length', str(len(body))),),
        iter((body,)),
    )


READINESS_STATUS = {
    True: HTTPStatus.OK,
    False: HTTPStatus.SERVICE_UNAVAILABLE,
}
