"""The endpoint adapter over HTTP with server-sent events."""

import contextlib
import functools
import http.client
import json
import socket
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import urlsplit

from trefoilspool.endpoint import (
    CacheNews,
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

__all__ = ['HttpEndpoint', 'HttpEndpointStream']

CONNECT_TIMEOUT_S = 1.0
LOAD_TIMEOUT_S = 1.0
DONE = '[DONE]'


class HttpEndpointStream(EndpointStream):
    """An answer on a connection of its own."""

    def __init__(
        self,
        link: http.client.HTTPConnection,
        answer: http.client.HTTPResponse,
    ) -> None:
        self.link = link
        self.answer = answer
        self.status = answer.status
        self.attempt = answer.headers.get('X-Attempt', '')
        self.cached_tokens = header_number(answer, 'X-Cached-Tokens')
        outcome = answer.headers.get('X-Request-Outcome', '')
        self.not_run = outcome == 'not_run'
        self.resumed_at = header_number(answer, 'X-Resume-Offset')
        self.content_type = answer.headers.get(
            'Content-Type',
            'application/octet-stream',
        )

    def body(self) -> bytes:
        """Return the whole body."""
        try:
            return self.answer.read()
        except (OSError, http.client.HTTPException) as error:
            raise StreamCutError(f'the answer was cut: {error!r}') from error

    def tokens(self) -> Iterator[Token]:
        """Yield events until the final one.

        Tokens are numbered by the events' ids, or counted where an endpoint
        sends none.
        """
        index = self.resumed_at - 1
        named = False
        while True:
            line = self.read_line()
            number = line.removeprefix('id: ')
            if number != line and number.isdecimal():
                index = int(number)
                named = True
            elif line.startswith('data: '):
                payload = line.removeprefix('data: ')
                if payload == DONE:
                    return
                index += not named
                yield Token(index, payload)

    def read_line(self) -> str:
        """Return the next line; an early end is an error."""
        try:
            raw = self.answer.readline()
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise StreamCutError(f'the stream broke: {error!r}') from error
        if not raw:
            raise StreamCutError('the stream ended before its last event')
        return raw.decode().rstrip('\r\n')

    def close(self) -> None:
        """Close the connection."""
        self.answer.close()
        self.link.close()


def header_number(answer: http.client.HTTPResponse, name: str) -> int:
    """Return a header's number, 0 if there is none."""
    text = answer.headers.get(name, '')
    return int(text) if text.isdecimal() else 0


def abort(connection: socket.socket) -> None:
    """Shut a connection down, which ends a blocked read."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


class HttpEndpoint(Endpoint):
    """An endpoint at a base URL.

    A request never reuses a connection: a failure to connect then proves
    that nothing was sent.
    """

    def __init__(self, url: str) -> None:
        place = urlsplit(url)
        self.host = place.hostname or ''
        self.port = place.port

    def connect(self, timeout_s: float) -> http.client.HTTPConnection:
        """Return a new connection."""
        link = http.client.HTTPConnection(
            self.host,
            self.port,
            timeout=CONNECT_TIMEOUT_S,
        )
        try:
            link.connect()
        except OSError as error:
            raise ConnectFailedError(
                f'{self.host}:{self.port} refused: {error}',
            ) from error
        link.sock.settimeout(timeout_s)
        return link

    def open(
        self,
        request: EndpointRequest,
        timeout_s: float,
        connected: Callable[[Callable[[], None]], None],
    ) -> HttpEndpointStream:
        """Send a request; see the base class for errors."""
        link = self.connect(timeout_s)
        connected(functools.partial(abort, link.sock))
        headers = {
            **request.headers,
            'X-Attempt': request.attempt,
            'X-Resume-Offset': str(request.resume_at),
        }
        try:
            link.request(
                request.method,
                request.path,
                request.body,
                headers,
            )
            answer = link.getresponse()
        except (OSError, http.client.HTTPException) as error:
            link.close()
            raise SendFailedError(
                f'{self.host}:{self.port} did not answer: {error!r}',
            ) from error
        return HttpEndpointStream(link, answer)

    def load(self) -> Load:
        """Read the report."""
        report = self.get('/load')
        try:
            return Load(
                int(report['running']),
                int(report['waiting']),
                bool(report['leaving']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise SendFailedError(f'no load report: {error!r}') from error

    def cache_news(self, after: int) -> CacheNews:
        """Read cache events; a number that is missing is a gap."""
        listed = self.get(f'/cache-events?from={after}')
        if not isinstance(listed, list) or not listed:
            return CacheNews((), after, gap=False)
        last = int(listed[-1][0])
        dropped = tuple(int(event[1]) for event in listed)
        return CacheNews(dropped, last, gap=last - after != len(listed))

    def get(self, path: str) -> Any:
        """Read a JSON document.

        Raises
        ------
        EndpointError
            The endpoint did not answer with one.
        """
        link = self.connect(LOAD_TIMEOUT_S)
        try:
            link.request('GET', path)
            return json.loads(link.getresponse().read())
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise SendFailedError(f'no answer to {path}: {error!r}') from error
        finally:
            link.close()
