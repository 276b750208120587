"""Parser of callers' requests; whatever it cannot parse gets an answer."""

import logbook
from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import Error

from trefoilspool import clock

__all__ = ['StrictParser']

CURRENT_VERSION = '1.1'

logger = logbook.Logger('requestparser')


class UnreadableRequestError(Error):  # type: ignore[misc]
    """The request could not be read, for an unexpected reason; it did not run."""

    code = 503
    reason = 'Service Unavailable'


class StrictParser(HTTPRequestParser):  # type: ignore[misc]
    """Parses one request and notes when it has been read whole.

    Rejects requests with both chunked encoding and a Content-Length, and chunked
    ones of another version than 1.1: an endpoint could take part of such a body
    for another request (request smuggling).

    Attributes
    ----------
    read_at : float
        When the request had been read whole, in monotonic seconds.
    overdue : bool
        Whether no thread became free for it in time.
    """

    def __init__(self, adjustments: Adjustments) -> None:
        super().__init__(adjustments)
        self.read_at = 0.0
        self.overdue = False

    def received(self, data: bytes) -> int:
        """Parse further bytes; return how many belong to this request."""
        try:
            consumed: int = super().received(data)
        except Exception as error:
            # An exception would close the connection without an answer.
            logger.exception('request_unreadable')
            self.error = UnreadableRequestError(repr(error))
            self.completed = True
            consumed = len(data)
        if self.completed:
            # A request without a body that awaits `100 Continue` would wait for
            # ever.
            self.expect_continue = False
            self.read_at = clock.now()
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the head of a request.

        Raises
        ------
        ParsingError
            When the head is malformed.
        """
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            # An odd target, or a number of thousands of digits.
            raise ParsingError(str(error)) from error
        if self.chunked and 'CONTENT_LENGTH' in self.headers:
            raise ParsingError('a chunked body must not have a Content-Length')
        if self.version != CURRENT_VERSION:
            if 'TRANSFER_ENCODING' in self.headers:
                raise ParsingError('a chunked body needs HTTP/1.1')
