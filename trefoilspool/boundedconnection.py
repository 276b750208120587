"""HTTP connections whose responses are bounded and checked."""

import http.client
import io
import socket
from collections.abc import Iterator

from trefoilspool import clock
from trefoilspool.framing.strictresponse import StrictConnection, StrictResponse
from trefoilspool.readpace import PieceBudget, ReadPace
from trefoilspool.responsebounds import (
    MAX_BODY_BYTES,
    READ_BYTES,
    LimitedSocket,
    ReceiveLimits,
    ResponseBoundError,
)
from trefoilspool.tcptimeouts import bound_silence

__all__ = [
    'BoundedConnection',
    'BoundedResponse',
    'read_pieces',
    'receive',
    'skip_bytes',
]

# Whole transfer of a page after the wait for its first byte.
TRANSFER_TIMEOUT_S = 30.0


class BoundedResponse(StrictResponse):
    """A response that is read within limits.

    Parameters
    ----------
    sock : socket
        The connection's socket.
    method : str or None
        Method of the request.
    limits : ReceiveLimits
        What may be received.
    """

    def __init__(
        self, sock: socket.socket, method: str | None, limits: ReceiveLimits
    ) -> None:
        super().__init__(
            LimitedSocket(sock, limits),  # type: ignore[arg-type]
            method=method,
        )


class BoundedConnection(StrictConnection):
    """An HTTP connection whose responses are bounded.

    Attributes
    ----------
    limits : ReceiveLimits
        What may be received now.
    """

    def __init__(
        self, address: str, port: int, timeout: float | None = None
    ) -> None:
        super().__init__(address, port, timeout=timeout)
        self.limits = ReceiveLimits()
        self.response_class = self.new_response  # type: ignore[assignment]

    def connect(self) -> None:
        """Open the connection and set its TCP timeouts."""
        super().connect()
        bound_silence(self.sock)

    def new_response(
        self, sock: socket.socket, method: str | None = None
    ) -> BoundedResponse:
        """Return a response to be read from the connection's socket."""
        return BoundedResponse(sock, method, self.limits)


def read_pieces(
    response: http.client.HTTPResponse, pace: ReadPace
) -> Iterator[bytes]:
    """Yield a body as it is received, small pieces at a pace.

    Raises
    ------
    OSError, HTTPException
        When the connection fails or the body is malformed.
    """
    while True:
        pace.limits.start_read()
        piece = response.read1(READ_BYTES)
        if not piece:
            return
        pace.on_piece(len(piece))
        yield piece


def skip_bytes(
    reader: io.BufferedReader, count: int, limits: ReceiveLimits
) -> None:
    """Skip a body of known length and allow the bytes of another head.

    Raises
    ------
    OSError, HTTPException
        When the connection fails or the body is too long.
    """
    if count > MAX_BODY_BYTES:
        raise ResponseBoundError(f'a body of {count} bytes')
    for skipped in range(0, count, READ_BYTES):
        limits.start_read()
        reader.read(min(READ_BYTES, count - skipped))
    limits.start_head(limits.read_until)


def receive(
    connection: BoundedConnection, idle_s: float
) -> tuple[http.client.HTTPResponse, bytes]:
    """Receive a whole response of a few megabytes at most.

    Parameters
    ----------
    connection : BoundedConnection
        Connection on which the request was sent.
    idle_s : float
        Longest wait for a byte, in seconds.

    Raises
    ------
    OSError, HTTPException
        When the connection fails, or the response is malformed or too long.
    """
    limits = connection.limits
    limits.start_head(clock.now() + idle_s + TRANSFER_TIMEOUT_S, idle_s)
    response = connection.getresponse()
    body = bytearray()
    for piece in read_pieces(response, ReadPace(limits, PieceBudget())):
        body += piece
        if len(body) > MAX_BODY_BYTES:
            raise ResponseBoundError(f'over {MAX_BODY_BYTES} bytes of a body')
    if response.length:
        raise http.client.IncompleteRead(bytes(body), response.length)
    response.close()
    return response, bytes(body)
