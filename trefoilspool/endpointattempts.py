"""One attempt of a request at the endpoint of its slot."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from trefoilspool import clock
from trefoilspool.attempttimes import AttemptTimes
from trefoilspool.connections import EndpointConnection
from trefoilspool.departures import EndpointRecord
from trefoilspool.dialect import OutboundRequest, ResponseHead
from trefoilspool.directory import Directory
from trefoilspool.endpointresponse import EndpointResponse
from trefoilspool.errors import (
    ConnectFailedError,
    EndpointError,
    EndpointReplacedError,
    NoPathError,
    SendFailedError,
    StreamCutError,
)
from trefoilspool.exchange import EndpointClient
from trefoilspool.fingerprint import described
from trefoilspool.quarantine import Quarantine
from trefoilspool.quietperiods import QuietPeriods
from trefoilspool.readwait import ReadWait
from trefoilspool.requestprogress import (
    EVENT_GAP_TIMEOUT_S,
    RequestProgress,
)
from trefoilspool.routedrequests import AttemptFailure, Slot, StartedResponse
from trefoilspool.routing import RepeatPolicy
from trefoilspool.runverification import DownRuns
from trefoilspool.slotmessages import AttemptEnding
from trefoilspool.streamorigins import UNKNOWN
from trefoilspool.watch import Unwatch, Watch, WatchTask

__all__ = [
    'FIRST_SERVER_ERROR_STATUS',
    'EndpointAttempts',
    'SentAttempt',
    'SilentAttemptHandler',
    'ending_after',
]

# The endpoint may already have closed a reused connection. Whether a request
# sent on it ran is then unknown, so at-most-once requests get new connections.
NEW_ONLY_MAX_IDLE_S = 0.0
REPEATABLE_MAX_IDLE_S = 3.0
# A slot that was granted longer ago may have been granted to another request:
# the home host frees the slots of a host that has been silent for so long.
SLOT_LIFETIME_S = 1.2
# Without an event or body for this long, a replacement of a repeatable request
# is sought.
FIRST_BYTE_TIMEOUT_S = 1.0
FIRST_SERVER_ERROR_STATUS = 500
LAST_SUCCESS_STATUS = 299
MIN_REMAINING_S = 0.01
EVENT_STREAM = 'text/event-stream'
# Some endpoints do not give the type.
STREAM_TYPES = frozenset((EVENT_STREAM, ''))


class SentAttempt(NamedTuple):
    """An attempt that has been sent.

    Attributes
    ----------
    response : EndpointResponse or None
        The response, once its head has been read.
    """

    slot: Slot
    connection: EndpointConnection
    outbound: OutboundRequest
    times: AttemptTimes
    response: EndpointResponse | None = None


SilentAttemptHandler = Callable[[SentAttempt, ReadWait], float]


class EndpointAttempts:
    """Sends the attempts of one request.

    Parameters
    ----------
    progress : RequestProgress
        The request and its attempts so far.
    directory : Directory
        Endpoints by name.
    quiet_periods : QuietPeriods
        Endpoints that get no requests of this host for a while.
    endpoint_client : EndpointClient
        Sends requests to endpoints.
    watch : WatchTask
        Aborts attempts whose caller disconnected or whose deadline passed.
    quarantine : Quarantine
        Prompt parts that get no endpoint.
    down_runs : DownRuns
        Runs that this host has found to be down.
    """

    def __init__(
        self,
        progress: RequestProgress,
        directory: Directory,
        quiet_periods: QuietPeriods,
        endpoint_client: EndpointClient,
        watch: WatchTask,
        quarantine: Quarantine,
        down_runs: DownRuns,
    ) -> None:
        self.progress = progress
        self.request = progress.request
        self.directory = directory
        self.quiet_periods = quiet_periods
        self.endpoint_client = endpoint_client
        self.watch = watch
        self.quarantine = quarantine
        self.down_runs = down_runs

    def attempt(
        self, slot: Slot, on_silence: SilentAttemptHandler
    ) -> StartedResponse | AttemptFailure:
        """Send the request to the endpoint of a slot; read the response."""
        sent = self.begin(slot)
        if isinstance(sent, AttemptFailure):
            return sent
        return self.finish(sent, on_silence)

    def begin(self, slot: Slot) -> SentAttempt | AttemptFailure:
        """Send the request to the endpoint of a slot."""
        endpoint = self.directory.get(slot.endpoint)
        if endpoint is None:
            return AttemptFailure(
                AttemptEnding.gone,
                False,
                f'endpoint {slot.endpoint} is unknown, leaving or displaced',
            )
        obstacle = self.version_obstacle(endpoint) or self.obstacle(
            slot, clock.now()
        )
        if obstacle:
            return AttemptFailure(AttemptEnding.unused, False, obstacle)
        try:
            connection = self.connect(endpoint)
        except ConnectFailedError as error:
            return connect_failure(error)
        return self.send(slot, connection)

    def has_path(self, name: str) -> bool:
        """Return whether this host's path to an endpoint works.

        If it does not, the end of an attempt there says nothing of the
        endpoint.
        """
        endpoint = self.directory.endpoints.get(name)
        return endpoint is None or self.endpoint_client.paths.verify(endpoint)

    def obstacle(self, slot: Slot, now: float) -> str:
        """Return why a slot cannot be used, an empty text if it can."""
        remaining_s = self.request.deadline - now
        if remaining_s < MIN_REMAINING_S:
            return f'{remaining_s:.3f} s left before the deadline'
        age_s = now - slot.granted_at
        if age_s > SLOT_LIFETIME_S:
            return f'the slot was granted {age_s:.3f} s ago'
        quiet_s = self.quiet_periods.remaining_s(slot.endpoint, now)
        if quiet_s:
            return f'{slot.endpoint} wants no requests for {quiet_s:.3f} s'
        return self.quarantine_obstacle(slot)

    def version_obstacle(self, endpoint: EndpointRecord) -> str:
        """Return why a stream cannot go on at an endpoint, if it cannot.

        The home host may know an earlier run of the endpoint, or not know that
        it was down.
        """
        required = self.progress.software
        if required is None:
            return ''
        if not self.down_runs.is_verified(endpoint.run):
            return f'{endpoint.name} may be back at another version'
        if required != UNKNOWN and required == endpoint.stream_version:
            return ''
        return (
            f'the stream began at version {required!r}, {endpoint.name} has '
            f'{endpoint.stream_version!r}'
        )

    def quarantine_obstacle(self, slot: Slot) -> str:
        """Return what of the request is quarantined, if anything is."""
        part = self.quarantine.covered(self.request.parts)
        if not part or slot.is_probe:
            return ''
        return f'endpoints end under {described(part)}'

    def connect(self, endpoint: EndpointRecord) -> EndpointConnection:
        """Return an open connection to an endpoint.

        Raises
        ------
        ConnectFailedError
            When no connection could be made; nothing was sent.
        """
        # The response to a request without an id cannot be told from a late
        # one to an earlier request.
        needs_new = (
            self.request.route.repeats is RepeatPolicy.never
            or not self.request.caller_request.request_id
        )
        return self.endpoint_client.connect(
            endpoint,
            NEW_ONLY_MAX_IDLE_S if needs_new else REPEATABLE_MAX_IDLE_S,
            self.request.caller_request.request_id,
            self.request.deadline - clock.now(),
        )

    def send(
        self, slot: Slot, connection: EndpointConnection
    ) -> SentAttempt | AttemptFailure:
        """Send the request on a connection."""
        request = self.request
        progress = self.progress
        self.watch.post(
            Watch(
                slot.key.number,
                request.client_disconnected,
                request.deadline,
                connection.abort,
            ),
        )
        sent_at = clock.now()
        progress.sent_attempts += 1
        outbound = OutboundRequest(
            request.caller_request,
            slot.endpoint,
            request.workspace,
            request.deadline - sent_at,
            progress.last_event_number,
            sent_at,
        )
        try:
            self.endpoint_client.send(connection, outbound)
        except SendFailedError as error:
            self.unwatch(slot)
            return AttemptFailure(AttemptEnding.broken, True, str(error))
        return SentAttempt(slot, connection, outbound, AttemptTimes(sent_at))

    def finish(
        self, sent: SentAttempt, on_silence: SilentAttemptHandler
    ) -> StartedResponse | AttemptFailure:
        """Read the start of the response to a sent attempt."""
        self.progress.times = sent.times
        try:
            response = sent.response or self.read_head(sent, on_silence)
            refusal = self.refusal(response)
            if refusal is not None:
                self.unwatch(sent.slot)
                return refusal
            return self.start_response(sent.slot, response)
        except (SendFailedError, StreamCutError) as error:
            self.unwatch(sent.slot)
            return AttemptFailure(ending_after(error), True, str(error))

    def read_head(
        self,
        sent: SentAttempt,
        on_silence: SilentAttemptHandler,
        until: float | None = None,
    ) -> EndpointResponse:
        """Read the head of the response to a sent attempt.

        Parameters
        ----------
        sent : SentAttempt
            The attempt.
        on_silence : callable
            Called when ``until`` has passed.
        until : float or None
            Time, in seconds, until which the head is waited for; None for
            that of a first byte.

        Raises
        ------
        SendFailedError, EndpointReplacedError
            When there is no response, or another attempt has replaced this one.
        """
        wait = ReadWait(
            sent.connection,
            self.first_byte_due(sent) if until is None else until,
            lambda wait: on_silence(sent, wait),
        )
        return self.endpoint_client.read_head(sent.outbound, wait)

    def first_byte_due(self, sent: SentAttempt) -> float:
        """Return the time until which a first byte is waited for."""
        return self.progress.read_until(
            FIRST_BYTE_TIMEOUT_S, sent.times.sent_at
        )

    def unwatch(self, slot: Slot) -> None:
        """Stop the watch on an attempt."""
        self.watch.post(Unwatch(slot.key.number))

    def refusal(self, response: EndpointResponse) -> AttemptFailure | None:
        """Return the failure if the endpoint did not run the request."""
        head = response.head
        if not head.not_run and not head.is_other_endpoint:
            return None
        return refusal(head, response.discard())

    def start_response(
        self, slot: Slot, response: EndpointResponse
    ) -> StartedResponse | AttemptFailure:
        """Return the response, or a failure if its head shows one.

        Raises
        ------
        StreamCutError
            When the response is cut short.
        """
        head = response.head
        if head.encoded or not head.is_stamped:
            self.unwatch(slot)
            response.close()
            return AttemptFailure(
                AttemptEnding.broken,
                True,
                f'status {head.status}: the response is encoded or lacks '
                "the endpoint's stamp",
            )
        if self.progress.has_begun and not goes_on(head):
            self.unwatch(slot)
            response.close()
            return AttemptFailure(
                AttemptEnding.failed,
                True,
                f'status {head.status} and no events to a resumption',
            )
        is_success = head.status <= LAST_SUCCESS_STATUS
        has_events = self.request.caller_request.method != 'HEAD'
        if is_success and has_events and self.request.route.streams:
            return self.open_stream(slot, response)
        return self.read_body(slot, response)

    def read_body(
        self, slot: Slot, response: EndpointResponse
    ) -> StartedResponse | AttemptFailure:
        """Read a whole response; one with a server error is a failure."""
        body = response.read_body()
        self.unwatch(slot)
        self.progress.times.on_first_event(clock.now())
        started = StartedResponse(slot, response, body, None)
        status = response.head.status
        if status < FIRST_SERVER_ERROR_STATUS:
            return started
        response.release_held()
        return AttemptFailure(
            AttemptEnding.failed, True, f'status {status}', started
        )

    def first_event_obstacle(
        self, first: bytes, response: EndpointResponse
    ) -> str:
        """Return why a stream's first event is none, an empty text if it is.

        A stream without events may be whole, if its head says so: then the one
        that it goes on with had broken off after its last event.
        """
        if response.is_unsized and not first:
            return 'the connection ended before the first event'
        if not self.progress.has_begun:
            return ''
        if not first:
            is_stream = response.head.media_type == EVENT_STREAM
            return '' if is_stream else 'a body without events'
        number = self.endpoint_client.dialect.event_number(first)
        return 'the first event has no number' if number is None else ''

    def open_stream(
        self, slot: Slot, response: EndpointResponse
    ) -> StartedResponse:
        """Read a stream up to the end of its first event.

        Raises
        ------
        StreamCutError
            When it is cut before, or does not go on with what has begun.
        """
        progress = self.progress
        head_at = clock.now()
        first_due = progress.read_until(
            FIRST_BYTE_TIMEOUT_S, progress.times.sent_at
        )
        response.wait.until = max(
            first_due, progress.read_until(EVENT_GAP_TIMEOUT_S, head_at)
        )
        rest = response.events()
        first = next(rest, b'')
        obstacle = self.first_event_obstacle(first, response)
        if obstacle:
            response.close()
            raise StreamCutError(obstacle)
        now = clock.now()
        progress.times.on_first_event(now)
        response.wait.until = progress.next_event_due(now)
        return StartedResponse(slot, response, first, rest)


def connect_failure(error: ConnectFailedError) -> AttemptFailure:
    """Return the failure of an attempt that got no connection."""
    is_path = isinstance(error, NoPathError)
    ending = AttemptEnding.no_path if is_path else AttemptEnding.unreachable
    return AttemptFailure(ending, False, str(error), is_down=error.is_refused)


def goes_on(head: ResponseHead) -> bool:
    """Return whether a response may go on with a stream that has begun."""
    return head.status == HTTPStatus.OK and head.media_type in STREAM_TYPES


def ending_after(error: EndpointError) -> AttemptEnding:
    """Return the ending of an attempt whose response an error has ended."""
    if isinstance(error, EndpointReplacedError) and error.was_silent:
        return AttemptEnding.silent
    return AttemptEnding.broken


def refusal(head: ResponseHead, is_whole: bool) -> AttemptFailure:
    """Return the failure of an attempt that the endpoint did not run.

    Without an id it proves nothing: it may be older than the request.

    Parameters
    ----------
    head : ResponseHead
        Head of the refusal.
    is_whole : bool
        Whether its body ended in time to be read.
    """
    ending = AttemptEnding.refused if is_whole else AttemptEnding.broken
    if head.is_other_endpoint:
        ending = AttemptEnding.gone
    return AttemptFailure(
        ending, not head.request_id, f'status {head.status}, not run'
    )
