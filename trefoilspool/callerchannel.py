"""Callers' connections, as waitress serves them."""

import socket
from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from typing import Any

import logbook
from waitress.channel import HTTPChannel
from waitress.task import ErrorTask, WSGITask

from trefoilspool import clock
from trefoilspool.requestparser import StrictParser
from trefoilspool.telemetry import log_decision

__all__ = ['Application', 'CallerChannel', 'PageChannel']

# After its last response a connection is read for this long, since a close with
# unread bytes resets it, which can destroy the response on its way.
LINGER_S = 2.0
LINGER_READ_BYTES = 65_536
# A caller that has just connected is about to send its first request.
FIRST_REQUEST_S = 1.0

logger = logbook.Logger('callerchannel')


class Application(ABC):
    """A WSGI application that knows the ids of requests.

    The environment of a request holds ``trefoilspool.read_at``, when it had been
    read whole, in monotonic seconds, and ``trefoilspool.overdue``, whether it
    must be refused because no thread became free for it.
    """

    @abstractmethod
    def __call__(
        self, environ: Mapping[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Return the body of the response to a request."""

    @abstractmethod
    def request_id(self, environ: Mapping[str, object]) -> str:
        """Return the id of a request, empty if it has none."""


class RejectTask(ErrorTask):  # type: ignore[misc]
    """Answers a request that the parser rejected."""

    def execute(self) -> None:
        """Log the request and write the response."""
        error = self.request.error
        log_decision(
            'reject',
            self.channel.request_id(self.request),
            reason=error.reason.lower().replace(' ', '_'),
            detail=error.body,
        )
        super().execute()


class CallerTask(WSGITask):  # type: ignore[misc]
    """Hands a request to the application."""

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment of the request."""
        environ: dict[str, Any] = super().get_environment()
        environ['trefoilspool.read_at'] = self.request.read_at
        environ['trefoilspool.overdue'] = self.request.overdue
        return environ


class CallerChannel(HTTPChannel):  # type: ignore[misc]
    """A caller's connection, parsed by ``StrictParser``.

    Attributes
    ----------
    lingers_until : float
        When the connection is closed though its caller still sends, in monotonic
        seconds; 0 before its last response has been sent.
    closes_idle : bool
        Whether the main thread is to close the connection if it is idle.
    opened_at : float
        When the caller connected, in monotonic seconds.
    was_used : bool
        Whether a request has been answered on it.
    """

    parser_class = StrictParser
    task_class = CallerTask
    error_task_class = RejectTask
    never_waits = False
    close_when_flushed: bool

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.lingers_until = 0.0
        self.closes_idle = False
        self.opened_at = clock.now()
        self.was_used = False
        super().__init__(*arguments, **options)

    def request_id(self, request: StrictParser) -> str:
        """Return the caller's id of a request, empty if it has none."""
        environ = {
            f'HTTP_{name}': text for name, text in request.headers.items()
        }
        request_id: str = self.server.application.request_id(environ)
        return request_id

    def service(self) -> None:
        """Answer the next request; log each one that gets no answer."""
        requests = self.requests
        was_connected = self.connected
        self.was_used = True
        try:
            super().service()
        except Exception:
            self.on_failure(requests)
        if self.requests is requests:
            return
        # The connection closes, and waitress has dropped all requests.
        if not was_connected:
            self.log_unanswered(requests[0], 'the caller is gone')
        for request in requests[1:]:
            self.log_unanswered(request, 'an earlier response was the last one')

    def on_failure(self, requests: list[StrictParser]) -> None:
        """Close a connection that an unexpected error left unusable."""
        for request in requests:
            logger.exception(
                'request_failed', extra={'request': self.request_id(request)}
            )
        self.will_close = True
        self.server.pull_trigger()

    def log_unanswered(self, request: StrictParser, reason: str) -> None:
        """Log a request that was read whole and gets no answer."""
        log_decision(
            'unanswered',
            self.request_id(request),
            reason=reason,
            waited_s=round(clock.now() - request.read_at, 4),
        )

    def refuse(self) -> None:
        """Answer the next request without waiting for anything."""
        self.requests[0].overdue = True
        self.service()

    def is_idle(self) -> bool:
        """Return whether the connection may be closed without harm."""
        if self.requests or self.request is not None or self.total_outbufs_len:
            return False
        if self.close_when_flushed or self.lingers_until:
            return False
        age_s = clock.now() - self.opened_at
        return self.was_used or age_s >= FIRST_REQUEST_S

    def writable(self) -> bool:
        """Return whether there is anything to send or to close."""
        if self.lingers_until:
            return clock.now() >= self.lingers_until
        return self.closes_idle or bool(super().writable())

    def handle_write(self) -> None:
        """Send what is due; linger after the last response."""
        if self.lingers_until:
            self.handle_close()
            return
        if self.closes_idle:
            # What had arrived has been read: reads are handled first.
            self.closes_idle = False
            self.will_close = self.will_close or self.is_idle()
        if self.will_close or not self.close_when_flushed:
            super().handle_write()
            return
        # waitress would close the connection at once.
        self.close_when_flushed = False
        super().handle_write()
        if self.total_outbufs_len:
            self.close_when_flushed = True
        elif self.connected:
            self.start_lingering()

    def start_lingering(self) -> None:
        """Close the sending side; read until the caller closes its own."""
        self.lingers_until = clock.now() + LINGER_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller has reset the connection.
            self.handle_close()

    def handle_read(self) -> None:
        """Read bytes of requests; drop what follows the last one."""
        if self.lingers_until:
            # Closes the connection at the end of the stream.
            self.recv(LINGER_READ_BYTES)
        else:
            super().handle_read()


class PageChannel(CallerChannel):
    """A connection to a listener whose pages need nothing outside the process.

    The load balancer and other hosts get them also while all threads wait.
    """

    never_waits = True
