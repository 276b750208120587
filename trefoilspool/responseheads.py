"""Heads of responses, checked before anything of them is used."""

import http.client
import re
from http import HTTPStatus

__all__ = ['ResponseFormatError', 'check_head', 'is_interim']

FIRST_FINAL_STATUS = 200
OLD_VERSION = 10  # HTTP/1.0, as the standard library numbers it
FOLD = re.compile(r'\r?\n[ \t]+')  # goes on a header's line on the next one
LENGTH = re.compile('[0-9]{1,18}')


class ResponseFormatError(http.client.HTTPException):
    """A response is malformed."""


def is_interim(status: int) -> bool:
    """Return whether another head follows on the same connection."""
    return (
        status < FIRST_FINAL_STATUS and status != HTTPStatus.SWITCHING_PROTOCOLS
    )


def check_head(response: http.client.HTTPResponse) -> None:
    """Check the head of a final response, whose lines are well-formed.

    Raises
    ------
    ResponseFormatError
        When it is of another protocol, or does not say clearly where the body
        ends.
    """
    if response.status < FIRST_FINAL_STATUS:
        raise ResponseFormatError(f'status {response.status}')
    headers = response.headers.items()
    check_framing(
        response.version,
        [(pair[0].lower(), pair[1].lower()) for pair in headers],
    )


def check_framing(version: int, headers: list[tuple[str, str]]) -> None:
    """Check the headers that say where the body ends.

    Raises
    ------
    ResponseFormatError
        When they are malformed or contradict each other or the version.
    """
    lengths = {text for name, text in headers if name == 'content-length'}
    codings = [text for name, text in headers if name == 'transfer-encoding']
    is_old = version == OLD_VERSION
    if codings and (is_old or lengths or codings != ['chunked']):
        raise ResponseFormatError(f'length {lengths}, coding {codings}')
    if len(lengths) > 1 or not all(map(LENGTH.fullmatch, lengths)):
        raise ResponseFormatError(f'length {lengths}')
