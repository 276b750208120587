"""Base class of the stand-ins for platform services and endpoints."""

import json
import signal
import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from types import FrameType
from typing import Any, ClassVar
from urllib.parse import parse_qsl

import logbook
import waitress

from trefoilspool.options import StandinOptions
from trefoilspool.web import StartResponse, status_line

__all__ = [
    'AbortResponseError',
    'Request',
    'Response',
    'Standin',
    'json_response',
]

WORKER_THREADS = 300
LISTEN_BACKLOG = 512
HTTP_BAD_REQUEST = 400
HTTP_SERVICE_UNAVAILABLE = 503

logger = logbook.Logger('standin')


class AbortResponseError(Exception):
    """Raised while a body is streamed, to close the connection early."""


class Response:
    """An HTTP response of a stand-in."""

    def __init__(
        self,
        status: int,
        body: Iterable[bytes],
        headers: Mapping[str, str],
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers


class Request:
    """An HTTP request to a stand-in, with its body read."""

    def __init__(self, environ: Mapping[str, Any]) -> None:
        self.method = environ['REQUEST_METHOD']
        self.path = environ['PATH_INFO']
        self.query = dict(parse_qsl(environ.get('QUERY_STRING', '')))
        self.body: bytes = environ['wsgi.input'].read()
        self.environ = environ

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string if it is missing."""
        key = f'HTTP_{name.upper().replace("-", "_")}'
        return str(self.environ.get(key, ''))

    def client_disconnected(self) -> bool:
        """Return whether the client has closed the connection."""
        is_closed = self.environ.get('waitress.client_disconnected')
        return bool(is_closed and is_closed())


def json_response(document: object, status: int = 200) -> Response:
    """Return a JSON response."""
    body = json.dumps(document).encode()
    return Response(status, (body,), {'Content-Type': 'application/json'})


class Standin(ABC):
    """An HTTP server whose faults are set with ``POST /faults``.

    The common faults are ``down`` (all other paths return 503) and ``slow_s``
    (delay before each response, in seconds).

    Parameters
    ----------
    options : StandinOptions
        Process settings.

    Attributes
    ----------
    fault_defaults : mapping
        Each fault's name and its default value, which means no fault.
    """

    fault_defaults: ClassVar[Mapping[str, float]] = {}
    common_fault_defaults: ClassVar[Mapping[str, float]] = {
        'down': 0,
        'slow_s': 0,
    }

    def __init__(self, options: StandinOptions) -> None:
        self.options = options
        self.lock = threading.Lock()
        self.faults = {**self.common_fault_defaults, **self.fault_defaults}

    def __call__(
        self,
        environ: Mapping[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Handle a WSGI request."""
        request = Request(environ)
        if request.path == '/faults':
            response = self.update_faults(request)
        elif self.faults['down']:
            response = json_response(
                {'error': 'outage'}, HTTP_SERVICE_UNAVAILABLE
            )
        else:
            time.sleep(self.faults['slow_s'])
            response = self.handle(request)
        start_response(
            status_line(response.status), list(response.headers.items())
        )
        return response.body

    @abstractmethod
    def handle(self, request: Request) -> Response:
        """Return the response to a request for any path but ``/faults``."""

    def update_faults(self, request: Request) -> Response:
        """Set the faults of a JSON body and return all current values."""
        changes = json.loads(request.body or b'{}')
        unknown = set(changes) - set(self.faults)
        if unknown:
            return json_response(
                {
                    'error': f'unknown faults {sorted(unknown)}',
                    'known': sorted(self.faults),
                },
                HTTP_BAD_REQUEST,
            )
        self.faults.update(changes)
        return json_response(self.faults)

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        server = waitress.create_server(
            self,
            host=self.options.address,
            port=self.options.port,
            threads=WORKER_THREADS,
            send_bytes=1,
            channel_request_lookahead=1,
            connection_limit=WORKER_THREADS * 4,
            backlog=LISTEN_BACKLOG,
        )
        stop_requested = threading.Event()

        def on_signal(number: int, frame: FrameType | None) -> None:
            stop_requested.set()

        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, on_signal)
        threading.Thread(target=server.run, daemon=True).start()
        logger.info(
            '{} listens on port {}', type(self).__name__, self.options.port
        )
        stop_requested.wait()
        server.close()
