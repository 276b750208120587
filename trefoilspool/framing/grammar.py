"""The lines of HTTP responses, held to their grammar before they are parsed.

The standard library reads more than the grammar allows: it skips lines, splits
them where HTTP does not, and takes other texts for numbers. What it has let go
cannot be checked afterwards.

Notes
-----
Source: RFC 9112, sections 2.2 (lines), 4 (status line), 5 (field lines) and 7.1
(chunks); RFC 9110, section 5.6 (tokens and quoted strings).
"""

import io
import re

from trefoilspool.responseheads import ResponseFormatError

__all__ = [
    'BLANK_LINES',
    'CHUNK_LINE',
    'CUT_FIELD_LINE',
    'FIRST_FIELD',
    'ExpectedLine',
    'HeadLines',
]

TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
TEXT = rb'[\t\x20-\x7e\x80-\xff]*'
QUOTED_TEXT = (
    rb'(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*'
)
# A line feed alone may end the lines of a head, but not those of chunks.
LINE_END = rb'\r?\n'
BLANK_LINES = frozenset((b'\r\n', b'\n'))
FIELD = rb'%b:%b' % (TOKEN, TEXT)
FOLD = rb'[\x20\t]%b' % TEXT  # goes on with the field of the line before
EXTENSION = rb'[\x20\t]*;[\x20\t]*%b(?:[\x20\t]*=[\x20\t]*(?:%b|"%b"))?' % (
    TOKEN,
    TOKEN,
    QUOTED_TEXT,
)
# Blanks after the size are no part of the grammar, but some servers pad it.
CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,15})(?:%b)*[\x20\t]*\r\n' % EXTENSION)
# The beginning of a field line, or of a blank one.
CUT_FIELD_LINE = re.compile(rb'(?:%b(?::%b)?)?\r?' % (TOKEN, TEXT))


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
