"""Heads of callers' requests, put in a plain form before they are parsed.

The expressions of the HTTP library take time with the square of the length of
some lines: of blanks before a header's value, and of a target with an authority
in a request line that does not match. No such line reaches them.
"""

import re

from waitress.parser import ParsingError

__all__ = ['HEAD_END', 'LINE_END', 'plain_head']

LINE_END = b'\r\n'
HEAD_END = LINE_END + LINE_END

REQUEST_LINE = re.compile(rb'[^ ]+ [^ ]+(?: HTTP/[0-9]\.[0-9])?')
FOLD = re.compile(rb'\r\n[ \t]+')  # goes on a field's line on the next one
BLANKS_BEFORE_VALUE = re.compile(rb'^([^:\r\n]*:)[ \t]+', re.MULTILINE)


def plain_head(head: bytes) -> bytes:
    """Return a head with each field on one line, without blanks before values.

    Parameters
    ----------
    head : bytes
        The request line and the fields.

    Raises
    ------
    ParsingError
        When the request line is malformed.
    """
    line, line_end, fields = head.partition(LINE_END)
    if not REQUEST_LINE.fullmatch(line.rstrip()):
        raise ParsingError('Start line is invalid')
    fields = FOLD.sub(b' ', fields)
    return line + line_end + BLANKS_BEFORE_VALUE.sub(rb'\1', fields)
