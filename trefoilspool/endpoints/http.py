"""Adapter to endpoints over HTTP with server-sent events."""

import contextlib
import functools
import http.client
import json
import socket
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import urlsplit

from trefoilspool.endpoint import (
    CacheUpdate,
    Endpoint,
    EndpointRequest,
    EndpointStream,
    Load,
    Token,
)
from trefoilspool.errors import (
    ConnectFailedError,
    SendFailedError,
    StreamCutError,
)
from trefoilspool.framing.strictresponse import StrictConnection

__all__ = ['HttpEndpoint', 'HttpEndpointStream']

CONNECT_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 1.0
DONE = '[DONE]'  # data of the last event of a stream


class AbortableConnection(StrictConnection):
    """A connection that another thread may end.

    Attributes
    ----------
    is_aborted : bool
        Whether this host has ended it, so that its end is no end of a body.
    """

    def __init__(self, address: str, port: int | None) -> None:
        super().__init__(address, port, timeout=CONNECT_TIMEOUT_S)
        self.is_aborted = False

    def abort(self, sock: socket.socket) -> None:
        """Shut down the socket, which ends a blocked read.

        Parameters
        ----------
        sock : socket
            The connection's socket, which ``http.client`` may have dropped.
        """
        self.is_aborted = True
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)


class HttpEndpointStream(EndpointStream):
    """A response on a connection that carries no other request."""

    def __init__(
        self,
        connection: AbortableConnection,
        response: http.client.HTTPResponse,
    ) -> None:
        self.connection = connection
        self.response = response
        self.status = response.status
        self.attempt = response.headers.get('X-Attempt', '')
        self.cached_tokens = header_number(response, 'X-Cached-Tokens')
        outcome = response.headers.get('X-Request-Outcome', '')
        self.not_run = outcome == 'not_run'
        self.resumed_at = header_number(response, 'X-Resume-Offset')
        self.content_type = response.headers.get(
            'Content-Type',
            'application/octet-stream',
        )

    def body(self) -> bytes:
        """Return the whole body."""
        # Only the end of the connection ends such a body.
        is_unsized = self.response.length is None and not self.response.chunked
        try:
            received = self.response.read()
        except (OSError, http.client.HTTPException) as error:
            raise StreamCutError(
                f'response body was cut off: {error!r}'
            ) from error
        if is_unsized and self.connection.is_aborted:
            raise StreamCutError('this host ended the connection')
        return received

    def tokens(self) -> Iterator[Token]:
        """Yield the events up to the last one.

        An event's number is its id. If the endpoint sends no ids, the events
        are counted from ``resumed_at``.
        """
        index = self.resumed_at - 1
        has_ids = False
        while True:
            line = self.read_line()
            number = line.removeprefix('id: ')
            if number != line and number.isdecimal():
                index = int(number)
                has_ids = True
            elif line.startswith('data: '):
                payload = line.removeprefix('data: ')
                if payload == DONE:
                    return
                index += not has_ids
                yield Token(index, payload)

    def read_line(self) -> str:
        """Return the next line; raise ``StreamCutError`` at an early end."""
        try:
            raw = self.response.readline()
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise StreamCutError(
                f'event stream was cut off: {error!r}'
            ) from error
        # A line that is cut may hold a part of a token.
        if not raw.endswith(b'\n'):
            raise StreamCutError('event stream ended before its last event')
        return raw.decode().rstrip('\r\n')

    def close(self) -> None:
        """Close the connection."""
        self.response.close()
        self.connection.close()


def header_number(response: http.client.HTTPResponse, name: str) -> int:
    """Return the number in a header, 0 if it is missing or malformed."""
    text = response.headers.get(name, '')
    return int(text) if text.isdecimal() else 0


class HttpEndpoint(Endpoint):
    """An endpoint at a base URL.

    Every request gets a new connection, so that a failure to connect proves
    that nothing was sent.
    """

    def __init__(self, url: str) -> None:
        parts = urlsplit(url)
        self.host = parts.hostname or ''
        self.port = parts.port

    def connect(self, timeout_s: float) -> AbortableConnection:
        """Return a new connection with a read timeout of ``timeout_s``."""
        connection = AbortableConnection(self.host, self.port)
        try:
            connection.connect()
        except OSError as error:
            raise ConnectFailedError(
                f'cannot connect to {self.host}:{self.port}: {error}',
            ) from error
        connection.sock.settimeout(timeout_s)
        return connection

    def open(
        self,
        request: EndpointRequest,
        timeout_s: float,
        connected: Callable[[Callable[[], None]], None],
    ) -> HttpEndpointStream:
        """Send a request; see the base class for errors."""
        connection = self.connect(timeout_s)
        connected(functools.partial(connection.abort, connection.sock))
        headers = {
            **request.headers,
            'X-Attempt': request.attempt,
            'X-Resume-Offset': str(request.resume_at),
        }
        try:
            connection.request(
                request.method,
                request.path,
                request.body,
                headers,
            )
            response = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise SendFailedError(
                f'no response from {self.host}:{self.port}: {error!r}',
            ) from error
        return HttpEndpointStream(connection, response)

    def load(self) -> Load:
        """Read the load report; see the base class."""
        report = self.get('/load')
        try:
            return Load(
                int(report['running']),
                int(report['waiting']),
                bool(report['leaving']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise SendFailedError(
                f'malformed load report: {error!r}'
            ) from error

    def cache_update(self, after: int) -> CacheUpdate:
        """Read cache events; missing event numbers are a gap."""
        events = self.get(f'/cache-events?from={after}')
        if not isinstance(events, list) or not events:
            return CacheUpdate((), after, gap=False)
        last = int(events[-1][0])
        dropped = tuple(int(event[1]) for event in events)
        return CacheUpdate(dropped, last, gap=last - after != len(events))

    def get(self, path: str) -> Any:
        """Read a JSON document.

        Raises
        ------
        EndpointError
            The endpoint could not be reached or sent no JSON document.
        """
        connection = self.connect(REPORT_TIMEOUT_S)
        try:
            connection.request('GET', path)
            return json.loads(connection.getresponse().read())
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise SendFailedError(f'GET {path} failed: {error!r}') from error
        finally:
            connection.close()
