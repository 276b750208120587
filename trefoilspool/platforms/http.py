"""Adapters to the platform over HTTP."""

import http.client
import json
from typing import Any, cast
from urllib.parse import urlsplit

from trefoilspool.errors import (
    LogLostAnswerError,
    LogOutageError,
    LogRejectedError,
    TrimmedError,
)
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
    connection = http.client.HTTPConnection(
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
        return int(json.loads(content)['offset'])

    def read(self, stream: str, start: int, limit: int = 500) -> LogPage:
        """Read records from ``start``; see the base class for errors."""
        path = f'/streams/{stream}?from={start}&limit={limit}'
        try:
            status, content = send_request(self.url, 'GET', path)
        except LogLostAnswerError as error:
            raise LogOutageError(str(error)) from error
        if status == HTTP_GONE:
            raise TrimmedError(int(json.loads(content)['first']))
        if status != HTTP_OK:
            raise LogOutageError(
                f'read of {stream} returned status {status}, not 200'
            )
        page = json.loads(content)
        records = tuple(LogRecord(*record) for record in page['records'])
        return LogPage(page['first'], page['end'], records)


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
        roster = cast(dict[str, Any], json.loads(content))
        return Roster(
            tuple(HostEntry(**entry) for entry in roster['hosts']),
            tuple(EndpointEntry(**entry) for entry in roster['endpoints']),
        )
