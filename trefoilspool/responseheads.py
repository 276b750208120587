"""Heads of responses, checked before anything of them is used."""

import http.client
import re
from email.errors import (
    FirstHeaderLineIsContinuationDefect,
    InvalidHeaderDefect,
    MisplacedEnvelopeHeaderDefect,
    MissingHeaderBodySeparatorDefect,
)
from http import HTTPStatus

__all__ = ['ResponseFormatError', 'check_head', 'is_interim']

FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL_CHARACTER = re.compile(r'[\0-\x08\x0a-\x1f\x7f]')
FOLD = re.compile(r'\r?\n[ \t]+')  # goes on a header's line on the next one
LENGTH = re.compile('[0-9]{1,18}')
# Lines that the standard library skips, or with which it ends the head early.
LINE_DEFECTS = (
    FirstHeaderLineIsContinuationDefect,
    InvalidHeaderDefect,
    MisplacedEnvelopeHeaderDefect,
    MissingHeaderBodySeparatorDefect,
)


class ResponseFormatError(http.client.HTTPException):
    """A response is malformed."""


def is_interim(status: int) -> bool:
    """Return whether another head follows on the same connection."""
    return (
        status < FIRST_FINAL_STATUS and status != HTTPStatus.SWITCHING_PROTOCOLS
    )


def check_head(response: http.client.HTTPResponse) -> None:
    """Check the head of a final response.

    Raises
    ------
    ResponseFormatError
        When it is malformed, or does not say clearly where the body ends.
    """
    if not FIRST_FINAL_STATUS <= response.status <= LAST_STATUS:
        raise ResponseFormatError(f'status {response.status}')
    for defect in response.headers.defects:
        if isinstance(defect, LINE_DEFECTS):
            raise ResponseFormatError(f'a line of the head: {defect!r}')
    headers = response.headers.items()
    for name, text in headers:
        line = FOLD.sub(' ', text)
        if not HEADER_NAME.fullmatch(name) or CONTROL_CHARACTER.search(line):
            raise ResponseFormatError(f'header {name!r}: {text!r}')
    check_framing([(pair[0].lower(), pair[1].lower()) for pair in headers])


def check_framing(headers: list[tuple[str, str]]) -> None:
    """Check the headers that say where the body ends.

    Raises
    ------
    ResponseFormatError
        When they are malformed or contradict each other.
    """
    lengths = {text for name, text in headers if name == 'content-length'}
    codings = [text for name, text in headers if name == 'transfer-encoding']
    if codings and (lengths or codings != ['chunked']):
        raise ResponseFormatError(f'length {lengths}, coding {codings}')
    if len(lengths) > 1 or not all(map(LENGTH.fullmatch, lengths)):
        raise ResponseFormatError(f'length {lengths}')
