"""Attempts of a request at endpoints, and the relay of its response."""

import time
from collections.abc import Generator, Iterator, Mapping

from returns.result import Failure, Result, Success

from trefoilspool.callerrors import (
    DeadlineAfterSendError,
    OverLimitError,
)
from trefoilspool.connections import EndpointConnection
from trefoilspool.dialect import CallerRequest, Dialect, OutboundRequest
from trefoilspool.directory import Directory
from trefoilspool.errors import (
    CallerGoneError,
    ConnectFailedError,
    CutResponseError,
    EndpointFailedError,
    EndpointRefusedConnectionError,
    MayHaveRunError,
    OverloadedError,
    Problem,
    SendFailedError,
    StreamCutError,
)
from trefoilspool.exchange import EndpointClient, EndpointResponse, split_events
from trefoilspool.filter import Response
from trefoilspool.quietperiods import QuietPeriods
from trefoilspool.routedrequests import (
    AttemptFailure,
    RoutedRequest,
    Slot,
    StartedResponse,
)
from trefoilspool.routing import RepeatPolicy
from trefoilspool.slotclient import SlotClient
from trefoilspool.slotmessages import (
    AttemptEnding,
    Granted,
    RefusalReason,
    Refused,
    SlotDecision,
    SlotRelease,
    SlotRequest,
)
from trefoilspool.telemetry import Metrics, log_decision
from trefoilspool.watch import Unwatch, Watch, WatchTask

__all__ = ['RequestExecution', 'RequestServer']

MAX_UNPROCESSED_RETRIES = 4  # after endings in UNPROCESSED_ENDINGS
# The endpoint may already have closed a reused connection. Whether a request
# sent on it ran is then unknown, so at-most-once requests get new connections.
AT_MOST_ONCE_MAX_IDLE_S = 0.0
REPEATABLE_MAX_IDLE_S = 3.0
RETRY_AFTER_S = 0.3
# Reads time out this long after the deadline, at which the watch task aborts
# them.
READ_SLACK_S = 0.5
# Without a byte for this long, a repeatable request is retried at another
# endpoint.
FIRST_BYTE_TIMEOUT_S = 1.0
# An endpoint that has sent no whole event or body for this long counts as
# failing, even if the caller or the deadline ended the attempt.
SILENT_AFTER_S = 0.9
# A stream that can be retried counts as cut after such a gap between events.
EVENT_GAP_TIMEOUT_S = 0.8
FIRST_SERVER_ERROR_STATUS = 500
LAST_SUCCESS_STATUS = 299
MIN_REMAINING_S = 0.01
# Ratio of the output limit to the estimated length of a response; most
# responses are far shorter than their limit.
OUTPUT_LIMIT_TO_MEAN = 8
GATEWAY_TIMEOUT = 504


class RequestServer:
    """Serves routed requests; shared by all of them.

    Parameters
    ----------
    slot_client : SlotClient
        Acquires and releases slots.
    directory : Directory
        Endpoints by name.
    quiet_periods : QuietPeriods
        Endpoints that get no requests of this host for a while.
    endpoint_client : EndpointClient
        Sends requests to endpoints.
    watch : WatchTask
        Aborts attempts whose caller disconnected or whose deadline passed.
    metrics : Metrics
        Counts outcomes.
    data_centre : str
        Data centre of this host.
    """

    def __init__(
        self,
        slot_client: SlotClient,
        directory: Directory,
        quiet_periods: QuietPeriods,
        endpoint_client: EndpointClient,
        watch: WatchTask,
        metrics: Metrics,
        data_centre: str,
    ) -> None:
        self.slot_client = slot_client
        self.directory = directory
        self.quiet_periods = quiet_periods
        self.endpoint_client = endpoint_client
        self.watch = watch
        self.metrics = metrics
        self.data_centre = data_centre

    @property
    def dialect(self) -> Dialect:
        """Return the codec of requests and responses."""
        return self.endpoint_client.dialect

    def serve(self, request: RoutedRequest) -> Result[Response, Problem]:
        """Return the response to a routed request, or its problem."""
        return RequestExecution(self, request).run()


class RequestExecution:
    """State of one request; owned by the request's thread.

    Attributes
    ----------
    sent_attempts : int
        Attempts of which a byte may have reached an endpoint.
    unprocessed_attempts : int
        Attempts with an ending in ``UNPROCESSED_ENDINGS``.
    may_have_run : bool
        Whether any endpoint may have run the request.
    avoid : tuple of str
        Endpoints at which an attempt has failed.
    last_event_number : int
        Number of the last event that the caller has; -1 if none.
    slot_number : int
        Number of the last slot asked for.
    first_byte_s : float
        Seconds from the last send to the end of the first event, or of a body
        that is not a stream; 0 before it.
    """

    def __init__(self, server: RequestServer, request: RoutedRequest) -> None:
        self.server = server
        self.request = request
        self.sent_attempts = 0
        self.unprocessed_attempts = 0
        self.may_have_run = False
        self.avoid: tuple[str, ...] = ()
        self.last_event_number = request.caller_request.resume_after
        self.sent_at = 0.0
        self.slot_number = 0
        self.first_byte_s = 0.0
        self.event_count = 0
        self.first_event_at = 0.0
        self.last_failure: AttemptFailure | None = None

    def run(self) -> Result[Response, Problem]:
        """Return the response, or the final problem."""
        try:
            started = self.open_response()
        except Problem as problem:
            self.record_outcome(problem.status, problem.slug, problem.detail)
            return Failure(problem)
        return Success(self.caller_response(started))

    def open_response(self) -> StartedResponse:
        """Attempt the request until a response begins.

        Raises
        ------
        Problem
            When no attempt got a response and no further one is allowed.
        """
        while True:
            slot = self.acquire_slot()
            result = self.attempt(slot)
            if isinstance(result, StartedResponse):
                return result
            self.record_failure(slot, result)
            if not self.may_retry(result):
                return self.final_response(result)

    def acquire_slot(self) -> Slot:
        """Acquire a slot for the next attempt.

        Raises
        ------
        Problem
            When none is granted.
        """
        request = self.request
        now = time.monotonic()
        quiet = self.quiet_endpoints(now)
        slot_request = SlotRequest(
            key=self.server.slot_client.new_key(),
            service=request.service,
            workspace=request.workspace,
            rank=request.rank,
            prompt_tokens=request.caller_request.prompt_tokens,
            output_tokens=expected_tokens(request.caller_request),
            first_byte_due=request.arrived_at + request.route.target_latency_s,
            deadline=request.deadline,
            arrived_at=request.arrived_at,
            avoid=tuple(dict.fromkeys((*self.avoid, *quiet))),
            attempt=self.sent_attempts + 1,
            prompt_prefixes=request.caller_request.prompt_prefixes,
            streams=request.route.streams,
            charge=request.charge,
            data_centre=self.server.data_centre,
            repeatable=request.route.repeats is not RepeatPolicy.never,
        )
        self.slot_number = slot_request.key.number
        decision: SlotDecision
        if self.all_avoided(slot_request):
            wait = min(quiet.values(), default=RETRY_AFTER_S)
            log_decision(
                'no_endpoint',
                request.caller_request.request_id,
                quiet=quiet,
                failed=self.avoid,
                retry_after_s=wait,
            )
            decision = Refused(
                slot_request.key, RefusalReason.no_endpoint, wait
            )
        else:
            decision = self.server.slot_client.acquire(
                slot_request, request.client_disconnected
            )
        if isinstance(decision, Refused):
            raise self.refusal_problem(decision)
        assert isinstance(decision, Granted)
        log_decision(
            'grant',
            request.caller_request.request_id,
            endpoint=decision.endpoint,
            place=slot_request.key.number,
            waited_s=round(time.monotonic() - now, 4),
            attempt=slot_request.attempt,
        )
        return Slot(slot_request.key, decision.endpoint)

    def quiet_endpoints(self, now: float) -> dict[str, float]:
        """Return the service's endpoints that want no requests of this host.

        Returns
        -------
        dict
            Seconds left, by endpoint.
        """
        return self.server.quiet_periods.quiet(
            self.server.directory.names(self.request.service), now
        )

    def all_avoided(self, slot_request: SlotRequest) -> bool:
        """Return whether no endpoint of the service may get the request."""
        names = self.server.directory.names(slot_request.service)
        return bool(names) and set(names) <= set(slot_request.avoid)

    def refusal_problem(self, decision: Refused) -> Problem:
        """Return the problem of a request that was refused a slot."""
        if self.request.client_disconnected():
            return CallerGoneError('the caller closed its connection')
        if self.last_failure is not None and self.may_have_run:
            failure = self.last_failure
            detail = (
                f'{failure.detail}; no slot for a retry: {decision.reason.name}'
            )
            return self.failure_problem(failure._replace(detail=detail))
        if (
            decision.reason is RefusalReason.over_limit
            and not self.sent_attempts
        ):
            return OverLimitError(
                f'workspace {self.request.workspace} is over its limit',
                decision.retry_after,
            )
        return OverloadedError(
            f'no slot: {decision.reason.name}',
            decision.retry_after,
        )

    def attempt(self, slot: Slot) -> StartedResponse | AttemptFailure:
        """Send the request to the endpoint of a slot."""
        request = self.request
        endpoint = self.server.directory.get(slot.endpoint)
        if endpoint is None:
            return AttemptFailure(
                AttemptEnding.gone,
                False,
                f'endpoint {slot.endpoint} is unknown, leaving or displaced',
            )
        now = time.monotonic()
        quiet_s = self.server.quiet_periods.remaining_s(slot.endpoint, now)
        if quiet_s:
            return AttemptFailure(
                AttemptEnding.unused,
                False,
                f'{slot.endpoint} wants no requests for {quiet_s:.3f} s',
            )
        remaining_s = request.deadline - now
        if remaining_s < MIN_REMAINING_S:
            return AttemptFailure(
                AttemptEnding.unused,
                False,
                f'{remaining_s:.3f} s left before the deadline',
            )
        at_most_once = request.route.repeats is RepeatPolicy.never
        try:
            connection = self.server.endpoint_client.connect(
                endpoint.address,
                endpoint.port,
                AT_MOST_ONCE_MAX_IDLE_S
                if at_most_once
                else REPEATABLE_MAX_IDLE_S,
            )
        except EndpointRefusedConnectionError as error:
            return AttemptFailure(AttemptEnding.unreachable, False, str(error))
        except ConnectFailedError as error:
            return AttemptFailure(AttemptEnding.unreachable, False, str(error))
        return self.send(slot, connection)

    def send(
        self, slot: Slot, connection: EndpointConnection
    ) -> StartedResponse | AttemptFailure:
        """Send the request and read the start of the response."""
        request = self.request
        number = slot.key.number
        self.server.watch.post(
            Watch(
                number,
                request.client_disconnected,
                request.deadline,
                connection.abort,
            ),
        )
        self.sent_attempts += 1
        sent_at = time.monotonic()
        self.sent_at = sent_at
        self.first_byte_s = 0.0
        remaining_s = request.deadline - sent_at
        outbound = OutboundRequest(
            request.caller_request,
            slot.endpoint,
            request.workspace,
            remaining_s,
            self.last_event_number,
        )
        try:
            response = self.server.endpoint_client.send(
                connection,
                outbound,
                self.read_timeout_s(FIRST_BYTE_TIMEOUT_S),
            )
            return self.classify_response(slot, response, sent_at)
        except SendFailedError as error:
            self.unwatch(slot)
            return AttemptFailure(AttemptEnding.broken, True, str(error))
        except StreamCutError as error:
            self.unwatch(slot)
            return AttemptFailure(AttemptEnding.broken, True, str(error))

    def read_timeout_s(self, limit_s: float) -> float:
        """Return the read timeout of an attempt.

        At-most-once requests and the last allowed attempt get until the
        deadline; ``limit_s`` bounds the others.
        """
        request = self.request
        remaining_s = request.deadline - time.monotonic() + READ_SLACK_S
        if request.route.repeats is RepeatPolicy.never:
            return remaining_s
        if self.sent_attempts >= request.route.max_attempts:
            return remaining_s
        return min(remaining_s, limit_s)

    def unwatch(self, slot: Slot) -> None:
        """Stop the watch on an attempt."""
        self.server.watch.post(Unwatch(slot.key.number))

    def classify_response(
        self,
        slot: Slot,
        response: EndpointResponse,
        sent_at: float,
    ) -> StartedResponse | AttemptFailure:
        """Return the response, or a failure if its head shows one."""
        head = response.head
        is_success = head.status <= LAST_SUCCESS_STATUS
        if head.not_run or head.is_other_endpoint:
            self.unwatch(slot)
            response.discard()
            ending = (
                AttemptEnding.gone
                if head.is_other_endpoint
                else AttemptEnding.refused
            )
            return AttemptFailure(
                ending, False, f'status {head.status}, not run'
            )
        if head.encoded or not head.is_stamped:
            self.unwatch(slot)
            response.close()
            return AttemptFailure(
                AttemptEnding.broken,
                True,
                f'status {head.status}: the response is encoded or lacks '
                "the endpoint's stamp",
            )
        if is_success and self.request.route.streams:
            return self.open_stream(slot, response, sent_at)
        body = response.read_body()
        self.unwatch(slot)
        self.first_byte_s = time.monotonic() - sent_at
        started = StartedResponse(slot, response, body, None, sent_at)
        if head.status >= FIRST_SERVER_ERROR_STATUS:
            return AttemptFailure(
                AttemptEnding.failed,
                True,
                f'status {head.status}',
                started,
            )
        return started

    def open_stream(
        self,
        slot: Slot,
        response: EndpointResponse,
        sent_at: float,
    ) -> StartedResponse | AttemptFailure:
        """Read a stream up to the end of its first event."""
        rest = split_events(response.chunks())
        first = next(rest, b'')
        response.set_read_timeout(self.read_timeout_s(EVENT_GAP_TIMEOUT_S))
        self.first_event_at = time.monotonic()
        self.first_byte_s = self.first_event_at - sent_at
        return StartedResponse(slot, response, first, rest, sent_at)

    def record_failure(self, slot: Slot, failure: AttemptFailure) -> None:
        """Log a failed attempt and release its slot."""
        request = self.request
        ending = self.reported_ending(failure)
        self.may_have_run = self.may_have_run or failure.may_have_run
        self.unprocessed_attempts += ending in UNPROCESSED_ENDINGS
        self.avoid = (*self.avoid, slot.endpoint)
        self.last_failure = failure
        if failure.ending is AttemptEnding.gone:
            self.server.directory.on_displaced(slot.endpoint)
        self.release_slot(slot, ending)
        log_decision(
            'fault',
            request.caller_request.request_id,
            endpoint=slot.endpoint,
            ending=ending.name,
            may_have_run=failure.may_have_run,
            detail=failure.detail,
            attempt=self.sent_attempts,
            left_s=round(request.deadline - time.monotonic(), 3),
        )

    def reported_ending(self, failure: AttemptFailure) -> AttemptEnding:
        """Return the ending to report to the slot scheduler.

        An attempt that the caller or the deadline ended does not count against
        the endpoint, unless the endpoint had sent no whole event or body for
        ``SILENT_AFTER_S``.
        """
        now = time.monotonic()
        cancelled = self.request.client_disconnected()
        if now >= self.request.deadline and failure.may_have_run:
            cancelled = True
        if not cancelled:
            return failure.ending
        if failure.may_have_run and not self.first_byte_s:
            if now - self.sent_at >= SILENT_AFTER_S:
                return AttemptEnding.silent
        return AttemptEnding.cancelled

    def release_slot(self, slot: Slot, ending: AttemptEnding) -> None:
        """Release a slot and report how its attempt ended."""
        decode_s = 0.0
        if self.event_count:
            decode_s = time.monotonic() - self.first_event_at
        self.server.slot_client.release(
            SlotRelease(
                slot.key,
                ending,
                slot.endpoint,
                self.first_byte_s,
                self.event_count,
                decode_s,
                self.request.caller_request.prompt_tokens,
            )
        )

    def may_retry(self, failure: AttemptFailure) -> bool:
        """Return whether another attempt may follow a failed one."""
        request = self.request
        if (
            request.client_disconnected()
            or time.monotonic() >= request.deadline
        ):
            return False
        if failure.may_have_run and request.route.repeats is RepeatPolicy.never:
            return False
        if failure.ending in UNPROCESSED_ENDINGS:
            return self.unprocessed_attempts <= MAX_UNPROCESSED_RETRIES
        return self.sent_attempts < request.route.max_attempts

    def final_response(self, failure: AttemptFailure) -> StartedResponse:
        """Return the endpoint's own error response after the last attempt.

        Raises
        ------
        Problem
            When the last attempt got no response.
        """
        if failure.response is not None:
            return failure.response
        if self.request.client_disconnected():
            raise CallerGoneError('the caller closed its connection')
        raise self.failure_problem(failure)

    def failure_problem(self, failure: AttemptFailure) -> Problem:
        """Return the problem of a request that got no response."""
        if not self.may_have_run:
            return OverloadedError(f'not run: {failure.detail}', RETRY_AFTER_S)
        if time.monotonic() >= self.request.deadline:
            return DeadlineAfterSendError(
                'the deadline passed before a response'
            )
        if failure.ending is AttemptEnding.failed:
            return EndpointFailedError(failure.detail)
        return MayHaveRunError(failure.detail)

    def caller_response(self, started: StartedResponse) -> Response:
        """Return the response to the caller."""
        head = started.response.head
        headers = list(head.headers)
        if started.rest is not None:
            return Response(
                head.status, tuple(headers), self.relay_stream(started)
            )
        headers.append(('Content-Length', str(len(started.body))))
        # The slot of a 5xx response was released when its attempt was recorded
        # as failed.
        if head.status < FIRST_SERVER_ERROR_STATUS:
            self.release_slot(started.slot, AttemptEnding.completed)
        self.record_outcome(head.status, 'answered', '', started.slot.endpoint)
        return Response(head.status, tuple(headers), iter((started.body,)))

    def relay_stream(self, started: StartedResponse) -> Iterator[bytes]:
        """Yield a stream's events, resuming a cut stream where allowed.

        Raises
        ------
        CutResponseError
            When the stream was cut and cannot be resumed.
        """
        failure: AttemptFailure | None = None
        while True:
            if failure is not None:
                started = self.resume(started, failure)
            failure = yield from self.relay_endpoint_stream(started)
            if failure is None:
                return

    def relay_endpoint_stream(
        self,
        started: StartedResponse,
    ) -> Generator[bytes, None, AttemptFailure | None]:
        """Yield one endpoint's events; return the failure that cut them."""
        ending = AttemptEnding.cancelled
        try:
            yield from self.relayed_events(started)
            ending = AttemptEnding.completed
        except StreamCutError as error:
            ending = AttemptEnding.broken
            return AttemptFailure(ending, may_have_run=True, detail=str(error))
        finally:
            if ending is not AttemptEnding.broken:
                self.close_stream(started, ending)
        return None

    def close_stream(
        self, started: StartedResponse, ending: AttemptEnding
    ) -> None:
        """Release the slot of a stream that has ended and log its outcome."""
        self.unwatch(started.slot)
        if ending is not AttemptEnding.completed:
            started.response.close()
        self.release_slot(started.slot, ending)
        self.record_outcome(
            started.response.head.status,
            ending.name,
            '',
            started.slot.endpoint,
        )

    def relayed_events(self, started: StartedResponse) -> Iterator[bytes]:
        """Yield the events that the caller does not have yet."""
        if started.body:
            yield from self.new_events(started.body)
        for event in started.rest or ():
            yield from self.new_events(event)

    def new_events(self, event: bytes) -> Iterator[bytes]:
        """Yield the event unless the caller already has it."""
        number = self.server.dialect.event_number(event)
        self.event_count += 1
        if number is not None:
            if number <= self.last_event_number:
                return
            self.last_event_number = number
        yield event

    def resume(
        self, started: StartedResponse, failure: AttemptFailure
    ) -> StartedResponse:
        """Resume a cut stream at another endpoint.

        Raises
        ------
        CutResponseError
            When the route does not allow it or no endpoint responds.
        """
        request = self.request
        self.unwatch(started.slot)
        self.record_failure(started.slot, failure)
        self.event_count = 0
        if request.route.repeats is RepeatPolicy.resumed and self.may_retry(
            failure
        ):
            try:
                return self.open_response()
            except Problem as problem:
                failure = failure._replace(detail=problem.detail)
        self.record_outcome(
            started.response.head.status,
            'cut',
            failure.detail,
            started.slot.endpoint,
        )
        raise CutResponseError(
            f'stream of {request.caller_request.request_id} ends early: '
            f'{failure.detail}',
        )

    def record_outcome(
        self,
        status: int,
        outcome: str,
        detail: str,
        endpoint: str = '',
    ) -> None:
        """Log and count the outcome of a request."""
        request = self.request
        took_s = time.monotonic() - request.arrived_at
        log_decision(
            'settle',
            request.caller_request.request_id,
            outcome=outcome,
            status=status,
            detail=detail,
            endpoint=endpoint,
            route=request.route.name,
            service=request.service,
            workspace=request.workspace,
            rank=request.rank,
            version=request.version,
            place=self.slot_number,
            attempts=self.sent_attempts,
            first_s=round(self.first_byte_s, 4),
            took_s=round(took_s, 4),
            left_s=round(request.deadline - time.monotonic(), 3),
            prompt_tokens=request.caller_request.prompt_tokens,
            output_tokens=request.caller_request.output_tokens,
            expected_tokens=request.caller_request.expected_tokens,
            events=self.event_count,
        )
        labels = f'service="{request.service}",rank="{request.rank}"'
        self.server.metrics.count(
            f'trefoilspool_requests_total{{{labels},outcome="{outcome}",'
            f'status="{status}"}}',
        )
        self.server.metrics.record(
            'trefoilspool_request_seconds', labels, took_s
        )
        if self.first_byte_s:
            self.server.metrics.record(
                'trefoilspool_first_byte_seconds', labels, self.first_byte_s
            )


def expected_tokens(request: CallerRequest) -> int:
    """Return the estimated length of a response in tokens."""
    if request.expected_tokens:
        return min(request.expected_tokens, request.output_tokens)
    return request.output_tokens // OUTPUT_LIMIT_TO_MEAN


# After these endings MAX_UNPROCESSED_RETRIES bounds the retries, not the
# route's max_attempts: the request was not sent, or the endpoint responded that
# it has another name (421).
UNPROCESSED_ENDINGS: Mapping[AttemptEnding, bool] = {
    AttemptEnding.unreachable: True,
    AttemptEnding.gone: True,
    AttemptEnding.unused: True,
}
