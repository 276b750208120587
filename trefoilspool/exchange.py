"""Requests to endpoints over kept connections."""

import http.client
import select
import socket
import threading
import time
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterator, Mapping
from typing import NamedTuple

import logbook

from trefoilspool.errors import (
    ConnectFailedError,
    EndpointRefusedConnectionError,
    SendFailedError,
    StreamCutError,
)

__all__ = [
    'AnswerHead',
    'Call',
    'Dialect',
    'Exchange',
    'LinkPool',
    'RawAnswer',
    'Send',
    'split_events',
]

CONNECT_TIMEOUT_S = 0.3
UNACKED_TIMEOUT_MS = 1000
# A silent network is noticed in three seconds while nothing is under way.
KEEPALIVE: Mapping[int, int] = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 2,
}
MAX_IDLE_S = 4.0
MAX_IDLE_LINKS = 8
READ_BYTES = 65_536
MAX_STRAYS = 2
EVENT_END = b'\n\n'

logger = logbook.Logger('exchange')


class Call(NamedTuple):
    """A caller's request, decoded.

    Attributes
    ----------
    request_id : str
        The caller's id of this attempt.
    target : str
        Path and query as they came.
    passed : tuple
        Headers that endpoints get as they came.
    left_s : float
        Seconds that the caller waits.
    parts : tuple of str
        The prompt's parts, in order.
    expected_tokens : int
        The caller's estimate of the answer's length; 0 if none.
    resume_after : int
        The last event that the caller has; -1 if none.
    """

    request_id: str
    method: str
    target: str
    authority: str
    path: str
    passed: tuple[tuple[str, str], ...]
    body: bytes
    token: str
    left_s: float
    prompt_tokens: int
    output_tokens: int
    parts: tuple[str, ...]
    expected_tokens: int
    resume_after: int


class Send(NamedTuple):
    """One attempt of a call at an endpoint."""

    call: Call
    endpoint: str
    workspace: str
    left_s: float
    resume_after: int


class AnswerHead(NamedTuple):
    """What the head of an endpoint's answer says.

    Attributes
    ----------
    proven : bool
        Whether the endpoint vouches for the answer.
    not_run : bool
        Whether it says that it has not run the request.
    other : bool
        Whether another endpoint has the address.
    encoded : bool
        Whether the body is not as the endpoint made it.
    closes : bool
        Whether the connection ends with the answer.
    idle_s : float
        How long the endpoint keeps an idle connection; 0 if unknown.
    """

    status: int
    request_id: str
    proven: bool
    not_run: bool
    other: bool
    encoded: bool
    closes: bool
    idle_s: float
    headers: tuple[tuple[str, str], ...]


class Dialect(ABC):
    """How callers and endpoints spell requests and answers."""

    @abstractmethod
    def read_call(self, environ: Mapping[str, object]) -> Call:
        """Return a caller's request.

        Raises
        ------
        Problem
            It is malformed.
        """

    @abstractmethod
    def send_headers(self, send: Send) -> dict[str, str]:
        """Return the headers that an endpoint gets."""

    @abstractmethod
    def read_head(
        self,
        status: int,
        headers: list[tuple[str, str]],
    ) -> AnswerHead:
        """Return the head of an endpoint's answer."""

    @abstractmethod
    def event_number(self, event: bytes) -> int | None:
        """Return a stream event's number, None if it has none."""


class Link(http.client.HTTPConnection):
    """A connection to an endpoint that notices a silent network."""

    def __init__(self, address: str, port: int) -> None:
        super().__init__(address, port, timeout=CONNECT_TIMEOUT_S)
        self.idle_since = 0.0
        self.idle_limit_s = MAX_IDLE_S
        self.raw: socket.socket | None = None

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        # http.client drops its socket while an answer that ends with the
        # connection is still being read.
        self.raw = self.sock
        self.sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKED_TIMEOUT_MS,
        )
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, count in KEEPALIVE.items():
            self.sock.setsockopt(socket.IPPROTO_TCP, option, count)

    def is_clean(self) -> bool:
        """Tell whether nothing came while the connection was idle."""
        if self.sock is None:
            return False
        poller = select.poll()
        poller.register(self.sock, select.POLLIN | select.POLLHUP)
        return not poller.poll(0)

    def abort(self) -> None:
        """End a blocked read from another thread."""
        if self.raw is not None:
            try:
                self.raw.shutdown(socket.SHUT_RDWR)
            except OSError:
                # It has ended by itself.
                return


class LinkPool:
    """Idle connections to endpoints; safe to use from any thread."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.idle: dict[tuple[str, int], deque[Link]] = {}
        self.opened = 0

    def take(self, address: str, port: int, fresh_s: float) -> Link:
        """Return a kept connection, or one that is not open yet.

        Parameters
        ----------
        address, port : str, int
            The endpoint.
        fresh_s : float
            The longest time that a kept one may have been idle.
        """
        now = time.monotonic()
        with self.lock:
            kept = self.idle.get((address, port), ())
            while kept:
                link = kept.pop()
                limit = min(fresh_s, link.idle_limit_s)
                if now - link.idle_since <= limit and link.is_clean():
                    return link
                link.close()
        self.opened += 1
        return Link(address, port)

    def give(self, link: Link) -> None:
        """Keep a connection whose answer has been read."""
        link.idle_since = time.monotonic()
        with self.lock:
            kept = self.idle.setdefault((link.host, link.port), deque())
            kept.append(link)
            if len(kept) > MAX_IDLE_LINKS:
                kept.popleft().close()

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        now = time.monotonic()
        with self.lock:
            for kept in self.idle.values():
                while kept and now - kept[0].idle_since > MAX_IDLE_S:
                    kept.popleft().close()


class RawAnswer:
    """An answer whose head has been read.

    Parameters
    ----------
    pool : LinkPool
        Takes the connection back.
    link : Link
        The connection.
    response : HTTPResponse
        The answer.
    head : AnswerHead
        Its decoded head.
    """

    def __init__(
        self,
        pool: LinkPool,
        link: Link,
        response: http.client.HTTPResponse,
        head: AnswerHead,
    ) -> None:
        self.pool = pool
        self.link = link
        self.response = response
        self.head = head

    def body(self) -> bytes:
        """Return the whole body and give the connection back.

        Raises
        ------
        StreamCutError
            The body is not whole.
        """
        try:
            body = self.response.read()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise StreamCutError(f'the body is not whole: {error!r}') from error
        self.finish()
        return body

    def discard(self) -> None:
        """Read a body that nobody needs; a broken one ends the connection."""
        try:
            self.body()
        except StreamCutError as error:
            logger.info('refusal_cut', extra={'error': str(error)})

    def set_silence(self, seconds: float) -> None:
        """Let reads fail after a silence."""
        if self.link.raw is not None:
            self.link.raw.settimeout(seconds)

    def pieces(self) -> Iterator[bytes]:
        """Yield the body as it comes and give the connection back.

        Raises
        ------
        StreamCutError
            The body ended before its end.
        """
        try:
            yield from self.read_pieces()
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.close()
            raise StreamCutError(f'the stream was cut: {error!r}') from error
        if self.response.length:
            self.close()
            raise StreamCutError(f'{self.response.length} bytes are missing')
        self.finish()

    def read_pieces(self) -> Iterator[bytes]:
        """Yield what each read returns."""
        while True:
            piece = self.response.read1(READ_BYTES)
            if not piece:
                return
            yield piece

    def finish(self) -> None:
        """Keep the connection, or close it where its end is the answer's."""
        if self.head.closes or self.response.will_close:
            self.link.close()
            return
        if self.head.idle_s:
            self.link.idle_limit_s = min(MAX_IDLE_S, self.head.idle_s / 2)
        self.pool.give(self.link)

    def close(self) -> None:
        """Close the connection, which cancels an answer in progress."""
        self.link.abort()
        self.response.close()
        self.link.close()


class Exchange:
    """Sends requests to endpoints.

    Parameters
    ----------
    dialect : Dialect
        How they are spelt.
    """

    def __init__(self, dialect: Dialect) -> None:
        self.dialect = dialect
        self.pool = LinkPool()

    def connect(self, address: str, port: int, fresh_s: float) -> Link:
        """Return an open connection.

        Raises
        ------
        ConnectFailedError
            There is none; nothing was sent.
        """
        link = self.pool.take(address, port, fresh_s)
        if link.sock is None:
            try:
                link.connect()
            except ConnectionRefusedError as error:
                raise EndpointRefusedConnectionError(
                    f'{address}:{port} refuses connections',
                ) from error
            except OSError as error:
                raise ConnectFailedError(
                    f'no connection to {address}:{port}: {error!r}',
                ) from error
        return link

    def send(self, link: Link, send: Send, timeout_s: float) -> RawAnswer:
        """Send a request and read the answer's head.

        Raises
        ------
        SendFailedError
            There is no answer; the request may have reached the endpoint.
        """
        call = send.call
        link.sock.settimeout(timeout_s)
        try:
            self.put(link, send)
            response = link.getresponse()
        except (OSError, http.client.HTTPException, ValueError) as error:
            link.abort()
            link.close()
            raise SendFailedError(
                f'no answer from {send.endpoint}: {error!r}',
            ) from error
        for _ in range(MAX_STRAYS):
            head = self.dialect.read_head(
                response.status,
                response.getheaders(),
            )
            if head.request_id in {'', call.request_id}:
                return RawAnswer(self.pool, link, response, head)
            # Without a length or a connection nothing can follow.
            if response.length is None or link.sock is None:
                break
            response = self.next_response(link, response, send)
        link.abort()
        link.close()
        raise SendFailedError(f'{send.endpoint} sent answers of others')

    def put(self, link: Link, send: Send) -> None:
        """Write the request; an early answer may end the writing."""
        call = send.call
        headers = self.dialect.send_headers(send)
        try:
            link.request(
                call.method,
                call.target,
                call.body or None,
                headers,
            )
        except (BrokenPipeError, ConnectionResetError):
            if not call.body or link.sock is None:
                raise

    def next_response(
        self,
        link: Link,
        stray: http.client.HTTPResponse,
        send: Send,
    ) -> http.client.HTTPResponse:
        """Skip an answer that belongs to an earlier request."""
        reader = stray.fp
        # What follows the stray answer may be in its reader already.
        stray.fp = None  # type: ignore[assignment]
        response = http.client.HTTPResponse(
            link.sock,
            method=send.call.method,
        )
        response.fp.close()
        response.fp = reader
        try:
            reader.read(stray.length)
            response.begin()
        except (OSError, http.client.HTTPException, ValueError) as error:
            link.abort()
            link.close()
            raise SendFailedError(
                f'no answer after a stray one: {error!r}',
            ) from error
        return response


def split_events(
    pieces: Iterator[bytes],
) -> Iterator[bytes]:
    """Yield whole events of a stream.

    Raises
    ------
    StreamCutError
        The stream ended within an event.
    """
    pending = b''
    for piece in pieces:
        pending += piece
        while True:
            event, found, rest = pending.partition(EVENT_END)
            if not found:
                break
            pending = rest
            yield event + found
    if pending:
        raise StreamCutError(f'{len(pending)} bytes of an event came')
