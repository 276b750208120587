"""The WSGI application of a gateway host."""

from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any

from trefoilspool.errors import Problem
from trefoilspool.filter import Answer
from trefoilspool.gateway import refusal_answer
from trefoilspool.gatewayhost import GatewayHost
from trefoilspool.web import reason

__all__ = ['GatewayApp']

Environ = Mapping[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
METRICS = '/metrics'


class GatewayApp:
    """The WSGI application of all listeners.

    Parameters
    ----------
    host : GatewayHost
        What is served.
    """

    def __init__(self, host: GatewayHost) -> None:
        self.host = host
        self.dialect = host.exchange.dialect
        ready = host.platform.ready_path()
        self.pages: Mapping[tuple[str, str], Callable[[str], Answer]] = {
            (port_of(host.options.ready), ready): self.ready,
            (port_of(host.options.ready), METRICS): self.metrics,
            (port_of(host.options.control), METRICS): self.metrics,
            (port_of(host.options.metrics), METRICS): self.metrics,
            (port_of(host.options.control), '/settings'): self.settings,
            (port_of(host.options.control), '/endpoints'): self.endpoints,
        }

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        answer = self.answer(environ)
        start_response(reason(answer.status), list(answer.headers))
        return answer.chunks

    def answer(self, environ: Environ) -> Answer:
        """Find the page, or pass the call to the gateway."""
        port = environ['SERVER_PORT']
        if port != port_of(self.host.options.listen):
            page = self.pages.get((port, environ['PATH_INFO']))
            if page is None:
                return plain(HTTPStatus.NOT_FOUND, b'')
            return page(environ['QUERY_STRING'])
        try:
            call = self.dialect.read_call(environ)
        except Problem as problem:
            return refusal_answer(problem)
        return self.host.gateway.handle(
            call,
            environ['waitress.client_disconnected'],
        )

    def ready(self, query: str) -> Answer:
        """Answer the balancer."""
        return plain(READINESS[self.host.is_ready()], b'')

    def metrics(self, query: str) -> Answer:
        """Return the metrics."""
        return plain(HTTPStatus.OK, self.host.metrics.render().encode())

    def settings(self, query: str) -> Answer:
        """Return the operator's records for a peer."""
        body = self.host.platform.page_body(self.host.settings, int(query))
        return plain(HTTPStatus.OK, body)

    def endpoints(self, query: str) -> Answer:
        """Return the endpoints' records for a peer."""
        body = self.host.platform.page_body(self.host.endpoints, int(query))
        return plain(HTTPStatus.OK, body)


def port_of(listener: str) -> str:
    """Return the port of an IP:PORT."""
    return listener.rpartition(':')[2]


def plain(status: int, body: bytes) -> Answer:
    """Return an answer with a length."""
    return Answer(
        status,
        (('Content-Length', str(len(body))),),
        iter((body,)),
    )


READINESS = {
    True: HTTPStatus.OK,
    False: HTTPStatus.SERVICE_UNAVAILABLE,
}
