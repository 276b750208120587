"""The WSGI application of a host."""

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from trefoilspool.filter import Response
from trefoilspool.filters.classify import SERVICE_PREFIX
from trefoilspool.filters.settle import problem_response
from trefoilspool.problems import (
    Problem,
    UnknownPathError,
)

__all__ = ['PageHandler', 'WebApp', 'status_line']

Environ = Mapping[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
PageHandler = Callable[[Environ], Response]

REASON_PHRASES = {
    200: 'OK',
    201: 'Created',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    409: 'Conflict',
    413: 'Content Too Large',
    431: 'Request Header Fields Too Large',
    499: 'Client Closed Request',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}
HEADER_PREFIX = 'HTTP_'


def status_line(status: int) -> str:
    """Return the code and reason phrase of a status line."""
    return f'{status} {REASON_PHRASES.get(status, "Other")}'


def request_headers(environ: Environ) -> dict[str, str]:
    """Return the headers of a request by lower-case name."""
    headers = {
        name.removeprefix(HEADER_PREFIX).replace('_', '-').lower(): header
        for name, header in environ.items()
        if name.startswith(HEADER_PREFIX)
    }
    headers['content-type'] = environ.get('CONTENT_TYPE', '')
    return headers


class WebApp:
    """Routes requests for pages to their handlers, others to the pipeline.

    Parameters
    ----------
    pages : mapping
        Handler of each page, by method and path.
    default : callable
        Called with path, headers, body, disconnect check, method and query.
    """

    def __init__(
        self,
        pages: Mapping[tuple[str, str], PageHandler],
        default: Callable[..., Response],
    ) -> None:
        self.pages = pages
        self.default = default

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Respond to one request."""
        response = self.respond(environ)
        headers = [(name, str(header)) for name, header in response.headers]
        start_response(status_line(response.status), headers)
        return response.chunks

    def respond(self, environ: Environ) -> Response:
        """Return the response of the page or of the pipeline."""
        method = environ['REQUEST_METHOD']
        path = environ['PATH_INFO']
        page = self.pages.get((method, path))
        try:
            if page is not None:
                return page(environ)
            if method != 'POST' and not path.startswith(SERVICE_PREFIX):
                raise UnknownPathError(f'{method} {path} is not a resource')
        except Problem as problem:
            return problem_response(problem)
        return self.default(
            path,
            request_headers(environ),
            environ['wsgi.input'].read(),
            environ.get('waitress.client_disconnected', assume_connected),
            method,
            environ.get('QUERY_STRING', ''),
        )


def assume_connected() -> bool:
    """Return False, for servers without a disconnect check."""
    return False


def json_response(status: int, document: object) -> Response:
    """Return a response with a JSON body."""
    body = json.dumps(document).encode()
    return Response(
        status,
        (('Content-Type', 'application/json'),),
        iter((body,)),
    )
