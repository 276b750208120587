"""Bounds of the bytes and the time that a response may take.

A process in trouble may send bytes without end, in a head or a body. Each
class here ends such a response long before it fills a host's memory; responses
of sound processes stay well within all bounds.
"""

import io
import math
import socket
import threading
from collections.abc import Callable, Iterator

from trefoilspool import clock
from trefoilspool.errors import StreamCutError
from trefoilspool.responseheads import ResponseFormatError

__all__ = [
    'MAX_BODY_BYTES',
    'READ_BYTES',
    'ByteBudget',
    'HeldBytes',
    'LimitedSocket',
    'ReceiveLimits',
    'ResponseBoundError',
    'collect_body',
    'collect_held_body',
    'drop_body',
    'raise_timeout',
]

READ_BYTES = 65_536
# Status line and headers, with those of interim responses.
MAX_HEAD_BYTES = 65_536
# Chunk sizes or trailers around the bytes of one read.
MAX_FRAMING_BYTES = 65_536
MAX_BODY_BYTES = 8_388_608
MAX_DISCARDED_BYTES = 65_536
# A response may hold this much without a share of the host's budget, so that
# small responses pass whatever the others hold.
FREE_BYTES = 81_920
PIECE_BYTES = 64  # memory of a piece beyond its bytes


class ResponseBoundError(ResponseFormatError):
    """A response exceeds a bound."""


class ReceiveLimits:
    """What a connection may still receive, and until when.

    Attributes
    ----------
    read_until : float
        Time, in seconds, until which bytes are waited for.
    idle_s : float
        Longest wait for one byte, in seconds.
    bytes_left : int
        Number of bytes that may still be received.
    received_at : float
        When bytes were last received, in seconds; 0 before the first.
    on_timeout : callable
        Called when ``read_until`` has passed; returns a later time, or raises
        an error.
    """

    def __init__(self) -> None:
        self.on_timeout: Callable[[], float] = raise_timeout
        self.received_at = 0.0
        self.read_until = math.inf
        self.idle_s = math.inf
        self.bytes_left = MAX_HEAD_BYTES

    def start_head(self, read_until: float, idle_s: float = math.inf) -> None:
        """Allow the bytes of a head."""
        self.read_until = read_until
        self.idle_s = idle_s
        self.bytes_left = MAX_HEAD_BYTES

    def start_read(self) -> None:
        """Allow the bytes of one read of a body, with their framing."""
        self.bytes_left = READ_BYTES + MAX_FRAMING_BYTES

    def next_size(self, size: int) -> int:
        """Return how many bytes may be received next, ``size`` at most.

        Raises
        ------
        ResponseBoundError
            When none may be.
        """
        if self.bytes_left <= 0:
            raise ResponseBoundError('too many bytes of a head or of framing')
        return min(size, self.bytes_left)

    def timeout_s(self) -> float | None:
        """Return how long to wait for a byte, None for without limit.

        Raises
        ------
        TimeoutError
            When ``read_until`` has passed and bytes are no longer waited for.
        """
        if self.read_until <= clock.now():
            self.read_until = self.on_timeout()
        wait_s = min(self.read_until - clock.now(), self.idle_s)
        if wait_s <= 0:
            raise_timeout()
        return None if wait_s == math.inf else wait_s


def raise_timeout() -> float:
    """End the wait for a response.

    Raises
    ------
    TimeoutError
        Always.
    """
    raise TimeoutError('the response took too long')


class LimitedReader(io.RawIOBase):
    """Reads a socket within limits.

    Parameters
    ----------
    sock : socket
        The socket. If it is non-blocking, it stays so.
    limits : ReceiveLimits
        The limits, which may change between reads.
    """

    def __init__(self, sock: socket.socket, limits: ReceiveLimits) -> None:
        super().__init__()
        self.sock = sock
        self.limits = limits
        # The socket stays open as long as a file of it.
        self.file = sock.makefile('rb', buffering=0)

    def readable(self) -> bool:
        """Return true."""
        return True

    def readinto(self, buffer: memoryview) -> int | None:  # type: ignore[override]
        """Receive bytes; return their number, None if there are none yet.

        Raises
        ------
        OSError
            When the connection fails, or no byte comes in time.
        ResponseBoundError
            When no further bytes are allowed.
        """
        limits = self.limits
        size = limits.next_size(len(buffer))
        try:
            count = self.receive(buffer, size)
        except BlockingIOError:
            return None
        limits.bytes_left -= count
        limits.received_at = clock.now()
        return count

    def receive(self, buffer: memoryview, size: int) -> int:
        """Receive bytes; wait for as long as the limits allow.

        Raises
        ------
        OSError
            When the connection fails, or no byte comes in time.
        """
        while self.sock.gettimeout() != 0:
            self.sock.settimeout(self.limits.timeout_s())
            try:
                return self.sock.recv_into(buffer, size)
            except TimeoutError as error:
                # With a number it is the end of the connection.
                if error.errno is not None or self.limits.idle_s < math.inf:
                    raise
        return self.sock.recv_into(buffer, size)

    def close(self) -> None:
        """Give up the socket."""
        self.file.close()
        super().close()


class LimitedSocket:
    """What ``http.client`` needs of a socket, read within limits."""

    def __init__(self, sock: socket.socket, limits: ReceiveLimits) -> None:
        self.sock = sock
        self.limits = limits

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader."""
        return io.BufferedReader(LimitedReader(self.sock, self.limits))


class ByteBudget:
    """Memory for the responses of a host; safe to use from any thread.

    Parameters
    ----------
    size : int
        Bytes in all.
    """

    def __init__(self, size: int) -> None:
        self.lock = threading.Lock()
        self.free = size

    def take(self, count: int) -> bool:
        """Take bytes, a negative number to return some.

        Returns
        -------
        bool
            False, and nothing is taken, if there are not as many.
        """
        with self.lock:
            if count > self.free:
                return False
            self.free -= count
            return True


class HeldBytes:
    """What one response holds of a budget.

    Parameters
    ----------
    budget : ByteBudget
        The host's budget.
    limit : int
        Bytes that the response may hold.
    """

    def __init__(self, budget: ByteBudget, limit: int) -> None:
        self.budget = budget
        self.limit = limit
        self.taken = 0

    def hold(self, count: int) -> None:
        """Hold a number of bytes instead of the earlier number.

        Raises
        ------
        StreamCutError
            When there are too many, of this response or in all.
        """
        wanted = max(0, count - FREE_BYTES)
        if wanted == self.taken:
            return
        if count > self.limit:
            raise StreamCutError(f'over {self.limit} bytes of a body or event')
        if not self.budget.take(wanted - self.taken):
            raise StreamCutError(f'no memory for {count} bytes of a response')
        self.taken = wanted

    def release(self) -> None:
        """Hold nothing."""
        self.hold(0)


def collect_body(chunks: Iterator[bytes], budget: ByteBudget) -> bytes:
    """Return a whole body.

    Raises
    ------
    StreamCutError
        When the body is cut short or too long.
    """
    held = HeldBytes(budget, MAX_BODY_BYTES)
    try:
        return collect_held_body(chunks, held)
    finally:
        held.release()


def collect_held_body(chunks: Iterator[bytes], held: HeldBytes) -> bytes:
    """Return a whole body, which is held until the caller releases it.

    Raises
    ------
    StreamCutError
        When the body is cut short or too long.
    """
    received = 0
    pieces = []
    for chunk in chunks:
        received += len(chunk) + PIECE_BYTES
        held.hold(received)
        pieces.append(chunk)
    return b''.join(pieces)


def drop_body(chunks: Iterator[bytes]) -> bool:
    """Drop a body; return false if it is too long to be read to its end.

    Raises
    ------
    StreamCutError
        When the body is cut short.
    """
    dropped = 0
    for chunk in chunks:
        dropped += len(chunk)
        if dropped > MAX_DISCARDED_BYTES:
            return False
    return True
