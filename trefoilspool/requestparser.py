"""Parser of callers' requests; whatever it cannot parse gets an answer."""

from typing import Any

import logbook
from waitress.adjustments import Adjustments
from waitress.buffers import OverflowableBuffer
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import (
    Error,
    RequestEntityTooLarge,
    RequestHeaderFieldsTooLarge,
)

from trefoilspool import clock
from trefoilspool.requestchunks import BoundedChunkedReceiver
from trefoilspool.requestheads import HEAD_END, LINE_END, plain_head

__all__ = ['StrictParser']

CURRENT_VERSION = '1.1'
# The library joins fields of the same name one by one.
MAX_HEAD_LINES = 256

logger = logbook.Logger('requestparser')


class UnreadableRequestError(Error):  # type: ignore[misc]
    """The request could not be read, for an unexpected reason; it did not run."""

    code = 503
    reason = 'Service Unavailable'


class StrictParser(HTTPRequestParser):  # type: ignore[misc]
    """Parses one request and notes when it has been read whole.

    Each byte of a head is searched once and bounded before anything is parsed.
    Rejects requests with both chunked encoding and a Content-Length, and chunked
    ones of another version than 1.1: an endpoint could take part of such a body
    for another request (request smuggling).

    Attributes
    ----------
    head : bytearray
        What has been received of the head; empty once it is parsed.
    read_at : float
        When the request had been read whole, in monotonic seconds.
    overdue : bool
        Whether no thread became free for it in time.
    """

    # Takes a whole head, or one that is too long, or a body with a length.
    parse = HTTPRequestParser.received
    body_rcv: Any
    completed: bool

    def __init__(self, adjustments: Adjustments) -> None:
        super().__init__(adjustments)
        self.head = bytearray()
        self.read_at = 0.0
        self.overdue = False

    def received(self, data: bytes) -> int:
        """Parse further bytes; return how many belong to this request."""
        try:
            consumed = self.receive(data)
        except Exception as error:
            # An exception would close the connection without an answer.
            logger.exception('request_unreadable')
            self.reject(UnreadableRequestError(repr(error)))
            consumed = len(data)
        if self.completed:
            # A request without a body that awaits `100 Continue` would wait for
            # ever.
            self.expect_continue = False
            self.read_at = clock.now()
        return consumed

    def receive(self, data: bytes) -> int:
        """Parse further bytes of the head or of the body."""
        if self.completed:
            return 0
        if not self.headers_finished:
            return self.receive_head(data)
        if self.chunked:
            return self.receive_chunks(data)
        consumed: int = self.parse(data)
        return consumed

    def receive_head(self, data: bytes) -> int:
        """Collect a head; parse it once it is whole or too long."""
        held = len(self.head)
        self.head += data
        # The end may have begun in the bytes before.
        end = self.head.find(HEAD_END, max(0, held - len(HEAD_END) + 1))
        size = len(self.head) if end < 0 else end + len(HEAD_END)
        if end < 0 and size < self.adj.max_request_header_size:
            return len(data)
        head = bytes(self.head[:size])
        self.head.clear()
        if head.count(LINE_END) > MAX_HEAD_LINES:
            self.reject(
                RequestHeaderFieldsTooLarge(f'over {MAX_HEAD_LINES} lines')
            )
        else:
            self.parse(head)
        return size - held

    def receive_chunks(self, data: bytes) -> int:
        """Collect a chunked body, of which only the content is bounded here."""
        receiver = self.body_rcv
        consumed: int = receiver.received(data)
        size = len(receiver)
        if size >= self.adj.max_request_body_size:
            self.reject(RequestEntityTooLarge(f'a body of {size} bytes'))
        elif receiver.error:
            self.reject(receiver.error)
        elif receiver.completed:
            # The application reads the body as one of known length.
            self.headers['CONTENT_LENGTH'] = str(size)
            self.completed = True
        return consumed

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held of the request."""
        return len(self.head) + len(self.body_rcv or b'')

    def reject(self, error: Error) -> None:
        """End the request with a response that says why."""
        self.error = error
        self.completed = True

    def drop(self, error: Error) -> None:
        """End a request that is not whole, and free what is held of it."""
        self.reject(error)
        self.head.clear()
        self.read_at = clock.now()
        if self.body_rcv is not None:
            self.body_rcv.getbuf().close()
        self.body_rcv = None

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the head of a request.

        Raises
        ------
        ParsingError
            When the head is malformed.
        """
        try:
            super().parse_header(plain_head(header_plus))
        except ValueError as error:
            # An odd target, or a number of thousands of digits.
            raise ParsingError(str(error)) from error
        if self.chunked and 'CONTENT_LENGTH' in self.headers:
            raise ParsingError('a chunked body must not have a Content-Length')
        if self.version != CURRENT_VERSION:
            if 'TRANSFER_ENCODING' in self.headers:
                raise ParsingError('a chunked body needs HTTP/1.1')
        if self.chunked:
            self.body_rcv = BoundedChunkedReceiver(
                OverflowableBuffer(self.adj.inbuf_overflow)
            )
