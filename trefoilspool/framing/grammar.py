"""The lines of HTTP responses, held to their grammar before they are parsed.

The standard library reads more than the grammar allows: it skips lines, splits
them where HTTP does not, and takes other texts for numbers. What it has let go
cannot be checked afterwards.

Notes
-----
Source: RFC 9112, sections 2.2 (lines), 4 (status line) and 5 (field lines);
RFC 9110, section 5.6.2 (tokens).
"""

import io
import re

from trefoilspool.responseheads import ResponseFormatError

__all__ = [
    'HeadLines',
]

TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
TEXT = rb'[\t\x20-\x7e\x80-\xff]*'
# A line feed alone may end a line.
LINE_END = rb'\r?\n'
BLANK_LINES = frozenset((b'\r\n', b'\n'))
FIELD = rb'%b:%b' % (TOKEN, TEXT)
FOLD = rb'[\x20\t]%b' % TEXT  # goes on with the field of the line before


class ExpectedLine:
    """What the next line of a head may be.

    Parameters
    ----------
    pattern : bytes
        Expression of the line without its end.
    following : ExpectedLine or None
        What the line after it may be, unless it is blank; None for the same.
    """

    def __init__(
        self, pattern: bytes, following: 'ExpectedLine | None' = None
    ) -> None:
        self.match = re.compile(rb'(?:%b)%b' % (pattern, LINE_END)).fullmatch
        self.following = following or self


FURTHER_FIELD = ExpectedLine(rb'(?:%b|%b)?' % (FIELD, FOLD))
FIRST_FIELD = ExpectedLine(rb'(?:%b)?' % FIELD, FURTHER_FIELD)
# The blank before an empty reason is often left out.
STATUS_LINE = ExpectedLine(
    rb'HTTP/1\.[0-9]\x20[1-5][0-9]{2}(?:\x20%b)?' % TEXT, FIRST_FIELD
)


class HeadLines:
    """The lines of a response's heads, of which interim ones may come first.

    Parameters
    ----------
    reader : BufferedReader
        Returns the bytes from the first head on.

    Attributes
    ----------
    expected : ExpectedLine
        What the next line may be.
    """

    def __init__(self, reader: io.BufferedReader) -> None:
        self.reader = reader
        self.expected = STATUS_LINE

    def readline(self, limit: int) -> bytes:
        """Return the next line, nothing if the connection ends before a head.

        Parameters
        ----------
        limit : int
            Bytes that it may have.

        Raises
        ------
        ResponseFormatError
            When it is malformed, cut or too long.
        """
        line = self.reader.readline(limit)
        expected = self.expected
        if expected.match(line) is None:
            if line or expected is not STATUS_LINE:
                raise ResponseFormatError(f'a line of the head: {line!r:.200}')
            return line
        is_blank = line in BLANK_LINES
        self.expected = STATUS_LINE if is_blank else expected.following
        return line
