"""HTTP responses that are read only as far as they keep to the grammar."""

import http.client
import io

from trefoilspool.framing.grammar import (
    BLANK_LINES,
    CHUNK_LINE,
    CUT_FIELD_LINE,
    FIRST_FIELD,
    HeadLines,
)
from trefoilspool.responseheads import (
    ResponseFormatError,
    check_head,
    is_interim,
)

__all__ = ['StrictConnection', 'StrictResponse']

HEXADECIMAL = 16
CHUNK_END = b'\r\n'
MAX_CHUNK_LINE_BYTES = 1024  # of a chunk's size, with its extensions
MAX_TRAILER_LINE_BYTES = 65_536


class StrictResponse(http.client.HTTPResponse):
    """A response that is malformed unless it keeps to the grammar."""

    fp: io.BufferedReader
    chunk_left: int | None  # 0 at the end of a chunk, None between chunks

    def begin(self) -> None:
        """Read and check the head; skip those of interim responses.

        Raises
        ------
        ResponseFormatError
            When a head is malformed or cut.
        """
        reader = self.fp
        self.fp = HeadLines(reader)  # type: ignore[assignment]
        try:
            super().begin()
            while is_interim(self.status):
                self.headers = None  # type: ignore[assignment]
                super().begin()
        finally:
            self.fp = reader
        check_head(self)

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of the chunk, None after the last one.

        The standard library skips the end of a chunk unread.

        Raises
        ------
        ResponseFormatError
            When a chunk does not end after its size.
        """
        if self.chunk_left == 0:
            end = self._safe_read(len(CHUNK_END))  # type: ignore[attr-defined]
            if end != CHUNK_END:
                raise ResponseFormatError(f'{end!r} at the end of a chunk')
            self.chunk_left = None
        return super()._get_chunk_left()  # type: ignore[misc,no-any-return]

    def _read_next_chunk_size(self) -> int:
        """Return the size of the next chunk.

        The standard library takes a cut line for a whole one and a negative
        number for a size.

        Raises
        ------
        ResponseFormatError
            When the line is cut, too long or has no size.
        """
        line = self.fp.readline(MAX_CHUNK_LINE_BYTES)
        match = CHUNK_LINE.fullmatch(line)
        if match is None:
            raise ResponseFormatError(f'a chunk begins with {line!r:.200}')
        return int(match.group(1), HEXADECIMAL)

    def _read_and_discard_trailer(self) -> None:
        """Skip the trailer.

        The body is whole once its last chunk has come (RFC 9112, section 8), so
        the connection may end within the trailer.

        Raises
        ------
        ResponseFormatError
            When a line is malformed or too long.
        """
        expected = FIRST_FIELD
        while True:
            line = self.fp.readline(MAX_TRAILER_LINE_BYTES)
            is_whole = expected.match(line) is not None
            if not is_whole and not is_cut(line):
                raise ResponseFormatError(f'a line of a trailer: {line!r:.200}')
            if not is_whole or line in BLANK_LINES:
                return
            expected = expected.following


def is_cut(line: bytes) -> bool:
    """Return whether a line of a trailer ends with its connection."""
    is_short = len(line) < MAX_TRAILER_LINE_BYTES
    return is_short and CUT_FIELD_LINE.fullmatch(line) is not None


class StrictConnection(http.client.HTTPConnection):
    """A connection whose responses keep to the grammar."""

    response_class = StrictResponse
