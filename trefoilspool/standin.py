"""The base class of the stand-ins for what the platform gives."""

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
from trefoilspool.web import StartResponse, reason

__all__ = ['CutError', 'Reply', 'Request', 'Standin', 'json_reply']

THREADS = 300
BACKLOG = 512
HTTP_BAD_REQUEST = 400
HTTP_OUTAGE = 503

logger = logbook.Logger('standin')


class CutError(Exception):
    """Raised in an answer to cut the connection."""


class Reply:
    """An answer of a stand-in."""

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
    """A request to a stand-in."""

    def __init__(self, environ: Mapping[str, Any]) -> None:
        self.method = environ['REQUEST_METHOD']
        self.path = environ['PATH_INFO']
        self.query = dict(parse_qsl(environ.get('QUERY_STRING', '')))
        self.body: bytes = environ['wsgi.input'].read()
        self.environ = environ

    def header(self, name: str) -> str:
        """Return a header's value, empty when there is none."""
        key = f'HTTP_{name.upper().replace("-", "_")}'
        return str(self.environ.get(key, ''))

    def gone(self) -> bool:
        """Tell whether the client has hung up."""
        check = self.environ.get('waitress.client_disconnected')
        return bool(check and check())


def json_reply(document: object, status: int = 200) -> Reply:
    """Return a JSON answer."""
    body = json.dumps(document).encode()
    return Reply(status, (body,), {'Content-Type': 'application/json'})


class Standin(ABC):
    """A small HTTP server with faults that are switched by ``POST /faults``.

    Parameters
    ----------
    options : StandinOptions
        Process settings.

    Attributes
    ----------
    fault_names : mapping
        Fault to its value when nothing is wrong.
    """

    fault_names: ClassVar[Mapping[str, float]] = {}
    common_faults: ClassVar[Mapping[str, float]] = {'down': 0, 'slow_s': 0}

    def __init__(self, options: StandinOptions) -> None:
        self.options = options
        self.lock = threading.Lock()
        self.faults = {**self.common_faults, **self.fault_names}

    def __call__(
        self,
        environ: Mapping[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer a request."""
        request = Request(environ)
        if request.path == '/faults':
            reply = self.switch(request)
        elif self.faults['down']:
            reply = json_reply({'error': 'outage'}, HTTP_OUTAGE)
        else:
            time.sleep(self.faults['slow_s'])
            reply = self.reply(request)
        start_response(reason(reply.status), list(reply.headers.items()))
        return reply.body

    @abstractmethod
    def reply(self, request: Request) -> Reply:
        """Answer a request that is not about faults."""

    def switch(self, request: Request) -> Reply:
        """Change faults, and return those in force."""
        changes = json.loads(request.body or b'{}')
        unknown = set(changes) - set(self.faults)
        if unknown:
            return json_reply(
                {
                    'error': f'unknown faults {sorted(unknown)}',
                    'known': sorted(self.faults),
                },
                HTTP_BAD_REQUEST,
            )
        self.faults.update(changes)
        return json_reply(self.faults)

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        server = waitress.create_server(
            self,
            host=self.options.address,
            port=self.options.port,
            threads=THREADS,
            send_bytes=1,
            channel_request_lookahead=1,
            connection_limit=THREADS * 4,
            backlog=BACKLOG,
        )
        stopping = threading.Event()

        def on_signal(number: int, frame: FrameType | None) -> None:
            stopping.set()

        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, on_signal)
        threading.Thread(target=server.run, daemon=True).start()
        logger.info('{} listens on {}', type(self).__name__, self.options.port)
        stopping.wait()
        server.close()
