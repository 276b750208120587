"""Adapters to the platform over HTTP."""

import http.client
from collections.abc import Iterator
from typing import TypeVar, get_type_hints
from urllib.parse import urlsplit

import logbook

from trefoilspool.errors import (
    BadRecordError,
    LogLostAnswerError,
    LogOutageError,
    LogRejectedError,
    MalformedAnswerError,
    TrimmedError,
)
from trefoilspool.framing.strictresponse import StrictConnection
from trefoilspool.jsonfields import Fields, parse_object
from trefoilspool.platform import (
    EndpointEntry,
    HostEntry,
    LogPage,
    LogRecord,
    LogService,
    Roster,
    RosterService,
)

__all__ = ['HttpLog', 'HttpRosterService', 'send_request']

TIMEOUT_S = 2.0
HTTP_CREATED = 201
HTTP_GONE = 410
HTTP_OK = 200
HTTP_SERVER_ERROR = 500  # from here on, an append may have taken effect

Entry = TypeVar('Entry', HostEntry, EndpointEntry)

logger = logbook.Logger('roster')


def send_request(
    url: str,
    method: str,
    path: str,
    body: str | None = None,
    timeout: float = TIMEOUT_S,
) -> tuple[int, bytes]:
    """Send one request on a new connection.

    Parameters
    ----------
    url : str
        Base URL of the service.
    method, path : str
        Method and target of the request line.
    body : str or None
        Request body.
    timeout : float
        Seconds allowed for connecting and for each read.

    Returns
    -------
    tuple of int and bytes
        Status and body.

    Raises
    ------
    LogOutageError
        The connection could not be made; nothing was sent.
    LogLostAnswerError
        The request may have been sent, but no complete response was read.
    """
    parts = urlsplit(url)
    connection = StrictConnection(
        parts.hostname or '',
        parts.port,
        timeout=timeout,
    )
    try:
        connection.connect()
    except OSError as error:
        raise LogOutageError(f'cannot connect to {url}: {error}') from error
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        raise LogLostAnswerError(
            f'no complete response from {url}: {error}',
        ) from error
    finally:
        connection.close()


class HttpLog(LogService):
    """The platform's log service over HTTP.

    Parameters
    ----------
    url : str
        Base URL.
    """

    def __init__(self, url: str) -> None:
        self.url = url

    def append(self, stream: str, body: str) -> int:
        """Append a record; see the base class for errors."""
        status, content = send_request(
            self.url, 'POST', f'/streams/{stream}', body
        )
        if status >= HTTP_SERVER_ERROR:
            raise LogLostAnswerError(
                f'append to {stream} returned status {status}, not 201'
            )
        if status != HTTP_CREATED:
            raise LogRejectedError(
                f'append to {stream} rejected with status {status}, not 201',
            )
        try:
            return parse_object('append', content).integer('offset')
        except BadRecordError as error:
            raise LogLostAnswerError(str(error)) from error

    def read(self, stream: str, start: int, limit: int = 500) -> LogPage:
        """Read records from ``start``; see the base class for errors."""
        path = f'/streams/{stream}?from={start}&limit={limit}'
        try:
            status, content = send_request(self.url, 'GET', path)
        except LogLostAnswerError as error:
            raise LogOutageError(str(error)) from error
        if status not in {HTTP_OK, HTTP_GONE}:
            raise LogOutageError(
                f'read of {stream} returned status {status}, not 200'
            )
        try:
            return decode_page(status, parse_object('page', content))
        except BadRecordError as error:
            raise MalformedAnswerError(f'read of {stream}: {error}') from error


class HttpRosterService(RosterService):
    """The platform's roster service over HTTP.

    Parameters
    ----------
    url : str
        Base URL.
    """

    def __init__(self, url: str) -> None:
        self.url = url

    def fetch(self) -> Roster:
        """Read the roster; see the base class for errors."""
        try:
            status, content = send_request(self.url, 'GET', '/roster')
        except LogLostAnswerError as error:
            raise LogOutageError(str(error)) from error
        if status != HTTP_OK:
            raise LogOutageError(
                f'read of the roster returned status {status}, not 200'
            )
        try:
            roster = parse_object('roster', content)
            return Roster(
                tuple(entries(HostEntry, roster, 'hosts')),
                tuple(entries(EndpointEntry, roster, 'endpoints')),
            )
        except BadRecordError as error:
            raise MalformedAnswerError(str(error)) from error


def decode_page(status: int, page: Fields) -> LogPage:
    """Decode the answer to a read.

    Raises
    ------
    TrimmedError
        The log no longer has the first record.
    BadRecordError
        The answer is malformed.
    """
    first = whole(page, 'first')
    if status == HTTP_GONE:
        raise TrimmedError(first)
    rows = page.required('records')
    if not isinstance(rows, list):
        raise BadRecordError(page.record, 'records', rows, 'a list')
    return LogPage(first, whole(page, 'end'), tuple(map(decode_record, rows)))


def whole(fields: Fields, field: str) -> int:
    """Return a required whole number.

    Raises
    ------
    BadRecordError
        It is missing, or no such number.
    """
    fields.required(field)
    return fields.integer(field)


def decode_record(row: object) -> LogRecord:
    """Decode a record.

    Raises
    ------
    BadRecordError
        It is malformed.
    """
    if not isinstance(row, list) or list(map(type, row)) != [int, str]:
        raise BadRecordError('page', 'records', row, 'offset and body')
    return LogRecord(*row)


def entries(kind: type[Entry], roster: Fields, field: str) -> Iterator[Entry]:
    """Yield the entries of a list of the roster; leave out odd ones.

    Raises
    ------
    BadRecordError
        The roster has no such list.
    """
    roster.required(field)
    types = list(get_type_hints(kind).values())
    for row in roster.objects(field):
        known = [row.source.get(name) for name in kind._fields]
        if list(map(type, known)) == types:
            yield kind._make(known)
        else:
            logger.warning('roster_entry_unreadable', extra={'field': field})
