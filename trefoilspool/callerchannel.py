"""Callers' connections, as waitress serves them."""

import socket
from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from typing import Any

import logbook
from waitress.buffers import OverflowableBuffer
from waitress.channel import HTTPChannel
from waitress.task import ErrorTask, WSGITask
from waitress.utilities import Error

from trefoilspool import clock
from trefoilspool.intake.room import Activity, ConnectionLoad
from trefoilspool.requestparser import StrictParser
from trefoilspool.telemetry import log_decision

__all__ = [
    'NO_CONNECTIONS',
    'Application',
    'CallerChannel',
    'Keeper',
    'PageChannel',
]

# After its last response a connection is read for this long, since a close with
# unread bytes resets it, which can destroy the response on its way.
LINGER_S = 2.0
LINGER_READ_BYTES = 65_536
# A caller that has just connected is about to send its first request.
FIRST_REQUEST_S = 1.0
# The room is checked again after so many further bytes of a connection.
CHECKED_BYTES = 65_536
NO_ROOM_RETRY_AFTER = '0.5'
NO_CONNECTIONS = 'connections'  # reason of an end: there are too many

logger = logbook.Logger('callerchannel')


class Keeper(ABC):
    """Keeps connections within the room of their host."""

    @abstractmethod
    def make_room(self, opened: 'CallerChannel') -> None:
        """End connections if there are too many with a new one."""

    @abstractmethod
    def free_memory(self) -> None:
        """End connections if all of them hold too much."""


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


ErrorResponse = tuple[str, list[tuple[str, str]], bytes]


class NoRoomError(Error):  # type: ignore[misc]
    """The host has no room for the request, which did not run."""

    code = 503
    reason = 'Service Unavailable'

    def to_response(self, ident: str | None = None) -> ErrorResponse:
        """Return the status, the headers and the body of the response."""
        status, headers, body = super().to_response(ident)
        return status, [*headers, ('Retry-After', NO_ROOM_RETRY_AFTER)], body


class OverdueRequestError(Error):  # type: ignore[misc]
    """The request took longer to arrive than allowed; it did not run."""

    code = 408
    reason = 'Request Timeout'


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
    active_at : float
        When bytes last came or went, in monotonic seconds.
    head_began_at : float
        When the head that is arriving began, in monotonic seconds.
    ends_with : Error or None
        Why the main thread is to end the request that is arriving.
    yields_unused : bool
        Whether the connection is closed also if it was never used.
    checked_bytes : int
        Bytes that the request in arrival held when the room was last checked.
    kept_bytes : int
        Bytes of answers that the library's buffers may still keep.
    """

    parser_class = StrictParser
    task_class = CallerTask
    error_task_class = RejectTask
    never_waits = False
    close_when_flushed: bool
    request: StrictParser | None

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.lingers_until = 0.0
        self.closes_idle = False
        self.opened_at = clock.now()
        self.was_used = False
        self.active_at = self.opened_at
        self.head_began_at = self.opened_at
        self.ends_with: Error | None = None
        self.yields_unused = False
        self.checked_bytes = 0
        self.kept_bytes = 0
        super().__init__(*arguments, **options)
        self.keeper.make_room(self)

    @property
    def keeper(self) -> 'Keeper':
        """Return what keeps the connections within the host's room."""
        keeper: Keeper = self.server.keeper
        return keeper

    def load(self) -> ConnectionLoad:
        """Return what the connection is at, and what it holds."""
        requests = list(self.requests)
        arriving: StrictParser | None = self.request
        held_bytes = self.total_outbufs_len + sum(
            request.held_bytes for request in requests
        )
        activity = Activity.idle
        if arriving is not None:
            held_bytes += arriving.held_bytes
            activity = (
                Activity.body if arriving.headers_finished else Activity.head
            )
        if self.total_outbufs_len:
            activity = Activity.answer
        elif requests:
            activity = Activity.busy
        return ConnectionLoad(activity, held_bytes, self.active_at)

    @property
    def is_ending(self) -> bool:
        """Return whether the connection is being ended."""
        will_close: bool = self.will_close
        return will_close or self.ends_with is not None

    def yield_room(self, reason: str) -> bool:
        """Let the main thread end the connection; usable from any thread.

        Parameters
        ----------
        reason : str
            Why it is ended.

        Returns
        -------
        bool
            Whether it was not being ended before.
        """
        activity = self.load().activity
        if activity is Activity.busy or self.is_ending:
            return False
        # An answer would keep the connection open until its caller closes it.
        is_unanswered = reason == NO_CONNECTIONS and activity > Activity.idle
        if self.lingers_until or is_unanswered or activity is Activity.answer:
            self.will_close = True
        elif activity is Activity.idle:
            # A request may be arriving: the thread that reads it decides.
            self.yields_unused = True
            self.closes_idle = True
        else:
            self.ends_with = ENDING_ERRORS.get(reason, NoRoomError)(reason)
        self.server.pull_trigger()
        return True

    def overdue_reason(
        self,
        now: float,
        header_timeout_s: float,
        idle_timeout_s: float,
        slack_s: float,
    ) -> str:
        """Return why the connection is to be ended, empty for no reason.

        Parameters
        ----------
        now : float
            The present time in seconds.
        header_timeout_s, idle_timeout_s : float
            Seconds that a head may take and that a connection may be idle; 0
            for any.
        slack_s : float
            Added to both.
        """
        activity = self.load().activity
        if activity is Activity.head and header_timeout_s:
            if now - self.head_began_at > header_timeout_s + slack_s:
                return 'slow_head'
        may_rest = activity in {Activity.busy, Activity.answer}
        if may_rest or not idle_timeout_s or self.closes_idle:
            return ''
        is_overdue = now - self.active_at > idle_timeout_s + slack_s
        return 'inactive' if is_overdue else ''

    def end_arriving(self, error: Error) -> None:
        """End the request that is arriving; called by the main thread."""
        self.ends_with = None
        with self.requests_lock:
            request: StrictParser | None = self.request
            if request is None or self.requests or self.is_ending:
                return
            request.drop(error)
            request.expect_continue = False
            self.request = None
            self.requests.append(request)
            self.server.add_task(self)

    def received(self, data: bytes) -> bool:
        """Parse bytes that have arrived, if there is room for them."""
        self.active_at = clock.now()
        if self.request is None:
            self.head_began_at = self.active_at
            self.checked_bytes = 0
        parsed: bool = super().received(data)
        arriving: StrictParser | None = self.request
        if arriving is not None:
            held_bytes = arriving.held_bytes
            if held_bytes - self.checked_bytes >= CHECKED_BYTES:
                self.checked_bytes = held_bytes
                self.keeper.free_memory()
        return parsed

    def send(self, data: bytes, do_close: bool = True) -> int:
        """Send bytes; return how many were taken."""
        sent: int = super().send(data, do_close)
        if sent:
            self.active_at = clock.now()
        return sent

    def write_soon(self, data: bytes) -> int:
        """Queue bytes of an answer."""
        written: int = super().write_soon(data)
        self.kept_bytes += written
        if self.total_outbufs_len >= CHECKED_BYTES:
            self.keeper.free_memory()
        return written

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
        self.drop_sent_bytes()
        if self.requests is requests:
            return
        # The connection closes, and waitress has dropped all requests.
        if not was_connected:
            self.log_unanswered(requests[0], 'the caller is gone')
        for request in requests[1:]:
            self.log_unanswered(request, 'an earlier response was the last one')

    def drop_sent_bytes(self) -> None:
        """Free the memory of a long answer that has been sent.

        The library's buffer keeps it until the next answer on the connection.
        """
        if self.kept_bytes < CHECKED_BYTES:
            return
        with self.outbuf_lock:
            if not self.total_outbufs_len and self.connected:
                self.kept_bytes = 0
                self.outbufs = [OverflowableBuffer(self.adj.outbuf_overflow)]
                self.current_outbuf_count = 0

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
        may_yield = self.was_used or self.yields_unused
        return may_yield or age_s >= FIRST_REQUEST_S

    def writable(self) -> bool:
        """Return whether there is anything to send or to close."""
        if self.lingers_until and not self.will_close:
            return clock.now() >= self.lingers_until
        if self.closes_idle or self.ends_with:
            return True
        return bool(super().writable())

    def handle_write(self) -> None:
        """Send what is due; linger after the last response."""
        if self.lingers_until:
            self.handle_close()
            return
        if self.ends_with:
            self.end_arriving(self.ends_with)
        if self.closes_idle:
            # What had arrived has been read: reads are handled first.
            self.closes_idle = False
            self.will_close = self.will_close or self.is_idle()
        if self.will_close or not self.close_when_flushed:
            super().handle_write()
            if not self.requests:
                self.drop_sent_bytes()
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


ENDING_ERRORS = {
    'slow_head': OverdueRequestError,
    'inactive': OverdueRequestError,
}
