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
    EndpointReplacedError,
    SendFailedError,
    StreamCutError,
)
from trefoilspool.eventstream import split_events
from trefoilspool.readwait import ReadWait, give_up
from trefoilspool.responsebounds import collect_body, drop_body, raise_timeout

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

    @property
    def is_unsized(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        response = self.http_response
        return response.length is None and not response.chunked

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
        yield from read_pieces(self.http_response, self.connection.limits)

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


HeadHandler = Callable[[OutboundRequest, ResponseHead, bool], None]


def no_op(
    outbound: OutboundRequest, head: ResponseHead, is_stray: bool
) -> None:
    """Do nothing."""


class EndpointClient:
    """Sends requests to endpoints and reads the heads of their responses.

    Parameters
    ----------
    dialect : Dialect
        Encodes requests and decodes heads.
    on_head : callable
        Called with a request and each head that its endpoint sends, and with
        whether that belongs to an earlier request.
    """

    def __init__(
        self,
        dialect: Dialect,
        on_head: HeadHandler = no_op,
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
        self, connection: EndpointConnection, outbound: OutboundRequest
    ) -> None:
        """Send a request.

        Raises
        ------
        SendFailedError
            When the connection fails; the request may have reached the
            endpoint.
        """
        connection.sock.settimeout(max(MIN_TIMEOUT_S, outbound.remaining_s))
        try:
            self.write_request(connection, outbound)
        except (OSError, http.client.HTTPException, ValueError) as error:
            abandon(connection)
            raise SendFailedError(
                f'not sent to {outbound.endpoint} as a whole: {error!r}',
            ) from error

    def read_head(
        self, outbound: OutboundRequest, wait: ReadWait
    ) -> EndpointResponse:
        """Read the head of the response to a request.

        Raises
        ------
        SendFailedError
            When there is no response; the request may have reached the
            endpoint.
        EndpointReplacedError
            When another attempt has replaced this one.
        """
        connection = wait.connection
        connection.limits.start_head(wait.until)
        try:
            return self.matching_response(
                connection.getresponse(), outbound, wait
            )
        except EndpointReplacedError:
            abandon(connection)
            raise
        except (OSError, http.client.HTTPException, ValueError) as error:
            abandon(connection)
            raise SendFailedError(
                f'no response from {outbound.endpoint}: {error!r}',
            ) from error

    def matching_response(
        self,
        response: http.client.HTTPResponse,
        outbound: OutboundRequest,
        wait: ReadWait,
    ) -> EndpointResponse:
        """Return the response to a request; skip a stray one before it.

        Raises
        ------
        SendFailedError
            When the responses belong to other requests.
        """
        connection = wait.connection
        request_id = outbound.caller_request.request_id
        for strays in range(MAX_STRAY_RESPONSES + 1):
            head = self.dialect.decode_response_head(
                response.status,
                response.getheaders(),
            )
            is_stray = not is_response_to(request_id, head, connection)
            self.on_head(outbound, head, is_stray)
            if not is_stray:
                return EndpointResponse(
                    self.pool, connection, response, head, wait
                )
            # No response can follow one that has no length or that closed the
            # connection.
            if response.length is None or connection.sock is None:
                break
            if strays < MAX_STRAY_RESPONSES:
                response = skip_stray_response(response, outbound, wait)
        abandon(connection)
        raise SendFailedError(
            f'{outbound.endpoint} sent a response to {head.request_id!r} '
            f'instead of {request_id!r}'
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
    stray: http.client.HTTPResponse, outbound: OutboundRequest, wait: ReadWait
) -> http.client.HTTPResponse:
    """Skip a response to an earlier request and return the next one."""
    reader = stray.fp
    # The buffered reader may already hold the start of the next response.
    stray.fp = None  # type: ignore[assignment]
    response = wait.connection.new_response(
        wait.connection.sock, outbound.caller_request.method
    )
    response.fp.close()
    response.fp = reader
    skip_bytes(reader, stray.length or 0, wait.connection.limits)
    response.begin()
    return response


def abandon(connection: EndpointConnection) -> None:
    """Close a connection, which cancels the request on it."""
    connection.abort()
    connection.close()


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
