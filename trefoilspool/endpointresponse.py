"""Responses of endpoints, of which the head has been read."""

import http.client
from collections.abc import Iterator

import logbook

from trefoilspool import clock
from trefoilspool.boundedconnection import read_pieces
from trefoilspool.connections import (
    MAX_IDLE_S,
    ConnectionPool,
    EndpointConnection,
)
from trefoilspool.dialect import ResponseHead
from trefoilspool.errors import (
    EndpointReplacedError,
    StreamCutError,
)
from trefoilspool.eventstream import split_events
from trefoilspool.readpace import ReadPace
from trefoilspool.readwait import ReadWait, give_up
from trefoilspool.responsebounds import (
    MAX_BODY_BYTES,
    HeldBytes,
    collect_held_body,
    drop_body,
    raise_timeout,
)

__all__ = ['EndpointResponse']

# A refusal is sent in one piece; a new connection costs less than this wait.
DISCARD_TIMEOUT_S = 0.1

logger = logbook.Logger('exchange')


class EndpointResponse:
    """A response of an endpoint, of which the head has been read.

    Parameters
    ----------
    pool : ConnectionPool
        Pool to which the connection is returned.
    connection : EndpointConnection
        Connection from which the response is read.
    http_response : HTTPResponse
        The response as the standard library reads it.
    head : ResponseHead
        The decoded head.
    wait : ReadWait
        Waits for the next event or the end of the body.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        connection: EndpointConnection,
        http_response: http.client.HTTPResponse,
        head: ResponseHead,
        wait: ReadWait,
    ) -> None:
        self.pool = pool
        self.connection = connection
        self.http_response = http_response
        self.head = head
        self.wait = wait
        self.is_released = False
        self.held = HeldBytes(pool.held_bytes, MAX_BODY_BYTES)
        self.pace = ReadPace(connection.limits, pool.small_pieces)

    @property
    def is_unsized(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        response = self.http_response
        return response.length is None and not response.chunked

    def read_body(self) -> bytes:
        """Return the whole body and release the connection.

        The memory of a long one is held until `release_held` is called.

        Raises
        ------
        StreamCutError
            When the body is cut short or too long.
        """
        try:
            return collect_held_body(self.chunks(), self.held)
        except (OSError, StreamCutError):
            self.held.release()
            self.close()
            raise

    def release_held(self) -> None:
        """Note that the body is no longer held."""
        self.held.release()

    def events(self) -> Iterator[bytes]:
        """Yield the body's events, then release the connection.

        Raises
        ------
        StreamCutError
            When the stream is cut short, or it or an event is too long.
        """
        try:
            yield from split_events(
                self.chunks(), self.pool.held_bytes, self.pace
            )
        except (StreamCutError, EndpointReplacedError):
            self.close()
            raise
        except TimeoutError as error:
            self.close()
            raise StreamCutError(f'the response was cut: {error!r}') from error

    def discard(self) -> bool:
        """Drop the body; close the connection unless the body ends soon.

        Returns
        -------
        bool
            False if the body is too long for that of a refusal.
        """
        self.wait = ReadWait(
            self.connection, clock.now() + DISCARD_TIMEOUT_S, give_up
        )
        try:
            is_whole = drop_body(self.chunks())
        except StreamCutError as error:
            logger.info('refusal_cut', extra={'error': str(error)})
            return True
        if not is_whole:
            self.close()
        return is_whole

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it is received, then release the connection.

        Raises
        ------
        StreamCutError
            When the body is cut short.
        """
        try:
            yield from self.read_chunks()
        except EndpointReplacedError:
            self.close()
            raise
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.close()
            raise StreamCutError(f'the response was cut: {error!r}') from error
        cut = self.cut_detail()
        if cut:
            self.close()
            raise StreamCutError(cut)
        self.return_connection()

    def cut_detail(self) -> str:
        """Return how a body that has ended was cut, an empty text if not."""
        length = self.http_response.length
        if length:
            return f'the response was cut {length} bytes early'
        # Without a length, the end of the connection may have been taken for
        # that of the body.
        if length is None and self.connection.is_aborted:
            return 'this host ended the connection'
        if self.is_unsized and self.connection.is_reset:
            return 'the connection was reset'
        return ''

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the bytes of each read.

        Raises
        ------
        TimeoutError
            When bytes are no longer waited for.
        EndpointReplacedError
            When another attempt has replaced this one.
        """
        yield from read_pieces(self.http_response, self.pace)

    def return_connection(self) -> None:
        """Release the connection, or close it if the endpoint will close it.

        A connection with bytes after the response is closed as well: they
        belong to no request.
        """
        closes = self.head.closes_connection or self.http_response.will_close
        closes = closes or self.has_extra_bytes()
        self.http_response.close()
        self.connection.limits.on_timeout = raise_timeout
        self.is_released = True
        if closes:
            self.connection.close()
            return
        if self.head.idle_s:
            # Half of it, so that the endpoint does not close the connection as
            # a request is sent.
            self.connection.idle_limit_s = min(MAX_IDLE_S, self.head.idle_s / 2)
        self.pool.release(self.connection)

    def has_extra_bytes(self) -> bool:
        """Return whether anything has arrived after the end of the body."""
        reader = self.http_response.fp
        if reader is None or self.connection.tcp_socket is None:
            return False
        self.connection.tcp_socket.settimeout(0)
        try:
            return bool(reader.peek(1))
        except OSError:
            # The endpoint has reset the connection; the body was whole.
            return True

    def close(self) -> None:
        """Close the connection, which cancels a response in progress.

        A connection that has been released may serve another request already.
        """
        if self.is_released:
            return
        self.connection.abort()
        self.http_response.close()
        self.connection.close()
