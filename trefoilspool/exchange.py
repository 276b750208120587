"""Requests to endpoints and their responses as received."""

import http.client
from collections.abc import Callable, Iterator

import logbook

from trefoilspool import clock
from trefoilspool.boundedconnection import read_pieces, skip_bytes
from trefoilspool.connections import (
    MAX_IDLE_S,
    ConnectionPool,
    EndpointConnection,
)
from trefoilspool.dialect import Dialect, OutboundRequest, ResponseHead
from trefoilspool.errors import (
    ConnectFailedError,
    EndpointRefusedConnectionError,
    SendFailedError,
    StreamCutError,
)
from trefoilspool.eventstream import split_events
from trefoilspool.responsebounds import collect_body, drop_body

__all__ = ['EndpointClient', 'EndpointResponse']

# A stray response to an earlier request may precede the expected one.
MAX_STRAY_RESPONSES = 1
# A refusal is sent in one piece; a new connection costs less than this wait.
DISCARD_TIMEOUT_S = 0.1
MIN_TIMEOUT_S = 0.001  # zero would make a socket non-blocking

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
    read_until : float
        Time, in seconds, until which the next event or the end of the body is
        waited for, whatever bytes come before it.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        connection: EndpointConnection,
        http_response: http.client.HTTPResponse,
        head: ResponseHead,
        read_until: float,
    ) -> None:
        self.pool = pool
        self.connection = connection
        self.http_response = http_response
        self.head = head
        self.read_until = read_until
        self.is_released = False

    def read_body(self) -> bytes:
        """Return the whole body and release the connection.

        Raises
        ------
        StreamCutError
            When the body is cut short or too long.
        """
        try:
            return collect_body(self.chunks(), self.pool.held_bytes)
        except StreamCutError:
            self.close()
            raise

    def events(self) -> Iterator[bytes]:
        """Yield the body's events, then release the connection.

        Raises
        ------
        StreamCutError
            When the stream is cut short, or it or an event is too long.
        """
        try:
            yield from split_events(self.chunks(), self.pool.held_bytes)
        except StreamCutError:
            self.close()
            raise

    def discard(self) -> bool:
        """Drop the body; close the connection unless the body ends soon.

        Returns
        -------
        bool
            False if the body is too long for that of a refusal.
        """
        self.read_until = min(self.read_until, clock.now() + DISCARD_TIMEOUT_S)
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
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.close()
            raise StreamCutError(f'the response was cut: {error!r}') from error
        if self.http_response.length:
            self.close()
            raise StreamCutError(
                f'the response was cut {self.http_response.length} bytes early'
            )
        # Without a length, the end of the connection may have been taken for
        # that of the body.
        if self.http_response.length is None and self.connection.is_aborted:
            self.close()
            raise StreamCutError('this host ended the connection')
        self.return_connection()

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the bytes of each read.

        Raises
        ------
        TimeoutError
            When ``read_until`` has passed.
        """
        limits = self.connection.limits
        limits.read_until = self.read_until
        for chunk in read_pieces(self.http_response, limits):
            yield chunk
            limits.read_until = self.read_until

    def return_connection(self) -> None:
        """Release the connection, or close it if the endpoint will close it.

        A connection with bytes after the response is closed as well: they
        belong to no request.
        """
        closes = self.head.closes_connection or self.http_response.will_close
        closes = closes or self.has_extra_bytes()
        self.http_response.close()
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


def no_op(endpoint: str, head: ResponseHead) -> None:
    """Do nothing."""


class EndpointClient:
    """Sends requests to endpoints and reads the heads of their responses.

    Parameters
    ----------
    dialect : Dialect
        Encodes requests and decodes heads.
    on_head : callable
        Called with the endpoint's name and each head that it sends, also the
        head of a stray response.
    """

    def __init__(
        self,
        dialect: Dialect,
        on_head: Callable[[str, ResponseHead], None] = no_op,
    ) -> None:
        self.dialect = dialect
        self.on_head = on_head
        self.pool = ConnectionPool()

    def connect(
        self, address: str, port: int, max_idle_s: float
    ) -> EndpointConnection:
        """Return an open connection.

        Parameters
        ----------
        address, port : str, int
            The endpoint.
        max_idle_s : float
            Longest time that a reused connection may have been idle.

        Raises
        ------
        ConnectFailedError
            When no connection could be made; nothing was sent.
        """
        connection = self.pool.acquire(address, port, max_idle_s)
        if connection.sock is None:
            try:
                connection.connect()
            except ConnectionRefusedError as error:
                raise EndpointRefusedConnectionError(
                    f'{address}:{port} refuses connections',
                ) from error
            except OSError as error:
                raise ConnectFailedError(
                    f'no connection to {address}:{port}: {error!r}',
                ) from error
        return connection

    def send(
        self,
        connection: EndpointConnection,
        outbound: OutboundRequest,
        read_until: float,
    ) -> EndpointResponse:
        """Send a request and read the head of its response.

        Parameters
        ----------
        connection : EndpointConnection
            An open connection.
        outbound : OutboundRequest
            The request.
        read_until : float
            Time, in seconds, until which the response is waited for.

        Raises
        ------
        SendFailedError
            When there is no response; the request may have reached the
            endpoint.
        """
        request = outbound.caller_request
        connection.sock.settimeout(max(MIN_TIMEOUT_S, read_until - clock.now()))
        connection.limits.start_head(read_until)
        try:
            self.write_request(connection, outbound)
            response = connection.getresponse()
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.abort()
            connection.close()
            raise SendFailedError(
                f'no response from {outbound.endpoint}: {error!r}',
            ) from error
        for strays in range(MAX_STRAY_RESPONSES + 1):
            head = self.dialect.decode_response_head(
                response.status,
                response.getheaders(),
            )
            self.on_head(outbound.endpoint, head)
            if is_response_to(request.request_id, head, connection):
                return EndpointResponse(
                    self.pool, connection, response, head, read_until
                )
            # No response can follow one that has no length or that closed the
            # connection.
            if response.length is None or connection.sock is None:
                break
            if strays < MAX_STRAY_RESPONSES:
                response = self.skip_stray_response(
                    connection, response, outbound
                )
        connection.abort()
        connection.close()
        raise SendFailedError(
            f'{outbound.endpoint} sent a response to {head.request_id!r} '
            f'instead of {request.request_id!r}'
        )

    def write_request(
        self, connection: EndpointConnection, outbound: OutboundRequest
    ) -> None:
        """Write the request.

        An endpoint that responds early may close its side before the whole body
        is sent; its response is still read.
        """
        request = outbound.caller_request
        headers = self.dialect.request_headers(outbound)
        try:
            connection.request(
                request.method,
                request.target,
                request.body or None,
                headers,
            )
        except (BrokenPipeError, ConnectionResetError):
            if not request.body or connection.sock is None:
                raise

    def skip_stray_response(
        self,
        connection: EndpointConnection,
        stray: http.client.HTTPResponse,
        outbound: OutboundRequest,
    ) -> http.client.HTTPResponse:
        """Skip a response to an earlier request and return the next one."""
        reader = stray.fp
        # The buffered reader may already hold the start of the next response.
        stray.fp = None  # type: ignore[assignment]
        response = connection.new_response(
            connection.sock, outbound.caller_request.method
        )
        response.fp.close()
        response.fp = reader
        try:
            skip_bytes(reader, stray.length or 0, connection.limits)
            response.begin()
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.abort()
            connection.close()
            raise SendFailedError(
                f'no response after a stray one: {error!r}',
            ) from error
        return response


def is_response_to(
    request_id: str, head: ResponseHead, connection: EndpointConnection
) -> bool:
    """Return whether a head is that of the response to a request.

    One without an id may be a late copy of an earlier response, unless the
    request is the first on its connection.
    """
    if not head.request_id:
        return not connection.is_reused
    return head.request_id == request_id
