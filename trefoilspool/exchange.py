"""Requests to endpoints and the answers as they come."""

import http.client
from collections.abc import Iterator

import logbook

from trefoilspool.connections import (
    MAX_IDLE_S,
    ConnectionPool,
    EndpointConnection,
)
from trefoilspool.dialect import AnswerHead, Dialect, OutboundRequest
from trefoilspool.errors import (
    ConnectFailedError,
    EndpointRefusedConnectionError,
    SendFailedError,
    StreamCutError,
)

__all__ = ['Exchange', 'RawAnswer', 'split_events']

READ_BYTES = 65_536
MAX_STRAYS = 2
EVENT_END = b'\n\n'

logger = logbook.Logger('exchange')


class RawAnswer:
    """An answer whose head has been read.

    Parameters
    ----------
    pool : ConnectionPool
        Takes the connection back.
    link : EndpointConnection
        The connection.
    response : HTTPResponse
        The answer.
    head : AnswerHead
        Its decoded head.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        link: EndpointConnection,
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
        self.pool = ConnectionPool()

    def connect(
        self, address: str, port: int, fresh_s: float
    ) -> EndpointConnection:
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

    def send(
        self, link: EndpointConnection, send: OutboundRequest, timeout_s: float
    ) -> RawAnswer:
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

    def put(self, link: EndpointConnection, send: OutboundRequest) -> None:
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
        link: EndpointConnection,
        stray: http.client.HTTPResponse,
        send: OutboundRequest,
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
