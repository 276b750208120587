"""HTTP responses that are read only as far as they keep to the grammar."""

import http.client
import io
import re

from trefoilspool.framing.grammar import HeadLines
from trefoilspool.responseheads import (
    ResponseFormatError,
    check_head,
    is_interim,
)

__all__ = ['StrictConnection', 'StrictResponse']

HEXADECIMAL = 16
MAX_CHUNK_LINE_BYTES = 1024  # of a chunk's size, with its extensions
# With extensions, which are ignored.
CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\n]*)?\r?\n')


class StrictResponse(http.client.HTTPResponse):
    """A response that is malformed unless it keeps to the grammar."""

    fp: io.BufferedReader

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
        match = CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise ResponseFormatError('a chunk has no size')
        return int(match.group(1), HEXADECIMAL)


class StrictConnection(http.client.HTTPConnection):
    """A connection whose responses keep to the grammar."""

    response_class = StrictResponse
