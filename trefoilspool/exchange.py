"""Requests to endpoints and their responses as received."""

import http.client
from collections.abc import Callable

import logbook

from trefoilspool import clock
from trefoilspool.boundedconnection import skip_bytes
from trefoilspool.connections import (
    CONNECT_TIMEOUT_S,
    ConnectionPool,
    EndpointConnection,
)
from trefoilspool.departures import EndpointRecord
from trefoilspool.dialect import Dialect, OutboundRequest, ResponseHead
from trefoilspool.endpointresponse import EndpointResponse
from trefoilspool.errors import (
    ConnectFailedError,
    EndpointReplacedError,
    SendFailedError,
)
from trefoilspool.paths.ways import EndpointPaths
from trefoilspool.readwait import ReadWait

__all__ = ['EndpointClient']

# A stray response to an earlier request may precede the expected one.
MAX_STRAY_RESPONSES = 1
MIN_TIMEOUT_S = 0.001  # zero would make a socket non-blocking


logger = logbook.Logger('exchange')

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
    paths : EndpointPaths
        Opens connections to endpoints.
    on_head : callable
        Called with a request and each head that its endpoint sends, and with
        whether that belongs to an earlier request.
    """

    def __init__(
        self,
        dialect: Dialect,
        paths: EndpointPaths,
        on_head: HeadHandler = no_op,
    ) -> None:
        self.dialect = dialect
        self.on_head = on_head
        self.pool = ConnectionPool()
        self.paths = paths

    def connect(
        self,
        endpoint: EndpointRecord,
        max_idle_s: float,
        request_id: str,
        lifetime_s: float,
    ) -> EndpointConnection:
        """Return an open connection that has not carried the request.

        Parameters
        ----------
        endpoint : EndpointRecord
            The endpoint.
        max_idle_s : float
            Longest time that a reused connection may have been idle.
        request_id : str
            Id of the request.
        lifetime_s : float
            Longest time that the request takes, in seconds.

        Raises
        ------
        ConnectFailedError
            When no connection could be made; nothing was sent.
        """
        address, port = endpoint.address, endpoint.port
        if self.paths.table.is_broken(endpoint.run):
            self.pool.drop(address, port)
        connection = self.pool.acquire(address, port, max_idle_s, request_id)
        if connection.sock is None:
            connection.run = endpoint.run
            try:
                connection.open_with(
                    lambda: self.paths.open(
                        endpoint, CONNECT_TIMEOUT_S, lifetime_s
                    )
                )
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
        connection.carried.add(outbound.caller_request.request_id)
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
            # Bytes that are older than the request bear no id or another.
            is_stray = head.request_id != request_id
            self.on_head(outbound, head, is_stray)
            if not is_stray:
                self.on_heard(connection)
                return EndpointResponse(
                    self.pool, connection, response, head, wait
                )
            logger.warning(
                'response_not_own',
                extra={
                    'request': request_id,
                    'endpoint': outbound.endpoint,
                    'of': head.request_id,
                    'status': head.status,
                    'not_run': head.not_run,
                },
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

    def on_heard(self, connection: EndpointConnection) -> None:
        """Note that this host's own path has brought a response."""
        if not connection.is_relayed:
            self.paths.table.on_heard(connection.run, clock.now())

    def write_request(
        self, connection: EndpointConnection, outbound: OutboundRequest
    ) -> None:
        """Write the request.

        An endpoint that responds early may close its side before the whole body
        is sent; its response is still read, but for a body that only the end of
        a connection which was reset would end.
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
        except (BrokenPipeError, ConnectionResetError) as error:
            if not request.body or connection.sock is None:
                raise
            connection.note_failure(error)
            logger.info(
                'request_not_taken_whole',
                extra={
                    'request': request.request_id,
                    'endpoint': outbound.endpoint,
                    'error': repr(error),
                },
            )


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
