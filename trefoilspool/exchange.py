"""Requests to endpoints and their responses as received."""

import http.client
from collections.abc import Callable, Iterator
from io import BufferedReader

import logbook

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
from trefoilspool.readwait import ReadWait

__all__ = ['EndpointClient', 'EndpointResponse', 'split_events']

READ_BYTES = 65_536
# A stray response to an earlier request may precede the expected one.
MAX_STRAY_RESPONSES = 1
EVENT_END = b'\n\n'
CHUNK_END = b'\r\n'
# The rest of a head or of a chunk's size line follows its first bytes within
# this time; http.client cannot go on with it after a timeout.
MIN_PARTIAL_READ_S = 2.0

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

    def read_body(self) -> bytes:
        """Return the whole body and release the connection.

        Raises
        ------
        StreamCutError
            When the body is cut short.
        """
        return b''.join(self.chunks())

    @property
    def is_unsized(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        response = self.http_response
        return response.length is None and not response.chunked

    def discard(self) -> None:
        """Read and drop the body; close the connection if the body is cut."""
        try:
            self.read_body()
        except StreamCutError as error:
            logger.info('refusal_cut', extra={'error': str(error)})

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
        if self.http_response.length:
            self.close()
            raise StreamCutError(
                f'the response was cut {self.http_response.length} bytes early'
            )
        self.return_connection()

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the bytes of each read.

        Raises
        ------
        TimeoutError
            When bytes are no longer waited for.
        EndpointReplacedError
            When another attempt has replaced this one.
        """
        while not self.is_read():
            self.wait.next_bytes(self.has_buffered)
            set_partial_read_timeout(self.connection, self.wait)
            chunk = self.http_response.read1(READ_BYTES)
            if not chunk:
                return
            yield chunk

    def is_read(self) -> bool:
        """Return whether the end of the body has been read."""
        return self.http_response.fp is None or self.http_response.length == 0

    def has_buffered(self) -> bool:
        """Return whether bytes of the body have been received but not read.

        The line end after a chunk does not count, since the next chunk may
        be long in coming.
        """
        buffered = peek(self.connection, self.http_response.fp)
        if self.http_response.chunk_left == 0 and buffered == CHUNK_END:
            self.http_response.fp.read(len(CHUNK_END))
            # The state of http.client before the size line of a chunk.
            self.http_response.chunk_left = None
            return False
        return bool(buffered)

    def return_connection(self) -> None:
        """Release the connection, or close it if the endpoint will close it.

        A connection with bytes after the response is closed as well: they
        belong to no request.
        """
        closes = self.head.closes_connection or self.http_response.will_close
        closes = closes or self.has_extra_bytes()
        self.http_response.close()
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
        try:
            return bool(peek(self.connection, reader))
        except OSError:
            # The endpoint has reset the connection; the body was whole.
            return True

    def close(self) -> None:
        """Close the connection, which cancels a response in progress."""
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
        self, connection: EndpointConnection, outbound: OutboundRequest
    ) -> None:
        """Send a request.

        Raises
        ------
        SendFailedError
            When the connection fails; the request may have reached the
            endpoint.
        """
        connection.sock.settimeout(outbound.remaining_s)
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
        try:
            wait.next_bytes(nothing_buffered)
            set_partial_read_timeout(connection, wait)
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
            self.on_head(outbound.endpoint, head)
            if is_response_to(request_id, head, connection):
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
    response = http.client.HTTPResponse(
        wait.connection.sock,
        method=outbound.caller_request.method,
    )
    response.fp.close()
    response.fp = reader
    reader.read(stray.length)
    wait.next_bytes(lambda: bool(peek(wait.connection, reader)))
    set_partial_read_timeout(wait.connection, wait)
    response.begin()
    return response


def nothing_buffered() -> bool:
    """Return False, as for a response of which nothing has been read."""
    return False


def peek(connection: EndpointConnection, reader: BufferedReader) -> bytes:
    """Return received bytes that have not been read, without waiting.

    Raises
    ------
    OSError
        When the connection was reset.
    """
    if connection.tcp_socket is not None:
        connection.tcp_socket.settimeout(0)
    return reader.peek(1)


def set_partial_read_timeout(
    connection: EndpointConnection, wait: ReadWait
) -> None:
    """Set the socket's timeout for a read of which bytes have arrived."""
    if connection.tcp_socket is not None:
        connection.tcp_socket.settimeout(
            max(MIN_PARTIAL_READ_S, wait.remaining_s())
        )


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


def split_events(
    chunks: Iterator[bytes],
) -> Iterator[bytes]:
    """Yield the events of a stream, each with its terminator.

    Raises
    ------
    StreamCutError
        When the stream ends within an event.
    """
    pending = b''
    for chunk in chunks:
        pending += chunk
        while True:
            event, terminator, rest = pending.partition(EVENT_END)
            if not terminator:
                break
            pending = rest
            yield event + terminator
    if pending:
        raise StreamCutError(
            f'the stream ended after {len(pending)} bytes of an event'
        )
