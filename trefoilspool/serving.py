"""Routed requests, from the first attempt to the end of the response."""

import time
from collections.abc import Generator, Iterator
from typing import NamedTuple

from returns.result import Failure, Result, Success

from trefoilspool import clock
from trefoilspool.attempttimes import AttemptTimes
from trefoilspool.callerrors import UnknownOriginError
from trefoilspool.dialect import Dialect
from trefoilspool.directory import Directory
from trefoilspool.endpointattempts import (
    FIRST_SERVER_ERROR_STATUS,
    EndpointAttempts,
    ending_after,
)
from trefoilspool.errors import (
    CallerGoneError,
    CutResponseError,
    Problem,
    StreamCutError,
)
from trefoilspool.exchange import EndpointClient
from trefoilspool.filter import Response
from trefoilspool.origingossip import OriginGossip
from trefoilspool.quietperiods import QuietPeriods
from trefoilspool.replacement import Replacer
from trefoilspool.requestoutcomes import record_outcome
from trefoilspool.requestprogress import RequestProgress
from trefoilspool.routedrequests import (
    AttemptFailure,
    RoutedRequest,
    Slot,
    StartedResponse,
)
from trefoilspool.routing import RepeatPolicy
from trefoilspool.slotacquisition import SlotAcquirer
from trefoilspool.slotclient import SlotClient
from trefoilspool.slotmessages import AttemptEnding
from trefoilspool.streamorigins import OriginQuery, StreamOrigin
from trefoilspool.telemetry import Metrics, log_decision
from trefoilspool.watch import WatchTask

__all__ = ['EndpointKnowledge', 'RequestExecution', 'RequestServer']

# Callers give up a stream two seconds after an event.
RESUMPTION_S = 1.5
RESUMPTION_INTERVAL_S = 0.2
# A stream whose attempt ended so may be resumed.
KNOWN_LABELS = {True: 'known', False: 'unknown'}
# A caller takes a stream up within a second timeout at most.
LIFETIME_TIMEOUTS = 2
UNKNOWN_RETRY_AFTER_S = 0.5
FAILED_STREAM_ENDINGS = frozenset((AttemptEnding.broken, AttemptEnding.silent))


class EndpointKnowledge(NamedTuple):
    """What this host knows of endpoints.

    Attributes
    ----------
    directory : Directory
        Endpoints by name.
    quiet_periods : QuietPeriods
        Endpoints that get no requests of this host for a while.
    origins : OriginGossip
        At which software versions streams began.
    """

    directory: Directory
    quiet_periods: QuietPeriods
    origins: OriginGossip


class RequestServer:
    """Serves routed requests; shared by all of them.

    Parameters
    ----------
    slot_client : SlotClient
        Acquires and releases slots.
    knowledge : EndpointKnowledge
        What this host knows of endpoints.
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
        knowledge: EndpointKnowledge,
        endpoint_client: EndpointClient,
        watch: WatchTask,
        metrics: Metrics,
        data_centre: str,
    ) -> None:
        self.slot_client = slot_client
        self.directory = knowledge.directory
        self.quiet_periods = knowledge.quiet_periods
        self.origins = knowledge.origins
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
    """Serves one request; owned by the request's thread.

    Parameters
    ----------
    server : RequestServer
        What all requests share.
    request : RoutedRequest
        The request.

    Attributes
    ----------
    progress : RequestProgress
        The attempts so far.
    slots : SlotAcquirer
        Gets the slots of the attempts.
    attempts : EndpointAttempts
        Sends the attempts.
    replacer : Replacer
        Replaces attempts whose endpoint is silent.
    """

    def __init__(self, server: RequestServer, request: RoutedRequest) -> None:
        self.server = server
        self.request = request
        self.progress = RequestProgress(request)
        self.slots = SlotAcquirer(
            self.progress,
            server.slot_client,
            server.directory,
            server.quiet_periods,
            server.data_centre,
        )
        self.attempts = EndpointAttempts(
            self.progress,
            server.directory,
            server.quiet_periods,
            server.endpoint_client,
            server.watch,
            server.slot_client.quarantine,
        )
        self.replacer = Replacer(
            self.progress, self.slots, self.attempts, self.record_failure
        )

    def run(self) -> Result[Response, Problem]:
        """Return the response, or the final problem."""
        try:
            self.take_up()
            started = self.open_response()
        except Problem as problem:
            self.record_outcome(problem.status, problem.slug, problem.detail)
            return Failure(problem)
        except Exception:
            self.slots.release_held()
            raise
        return Success(self.caller_response(started))

    def take_up(self) -> None:
        """Find out at which version a stream began that the caller takes up.

        Raises
        ------
        UnknownOriginError
            When that is not known.
        """
        request = self.request
        caller_request = request.caller_request
        if not (request.route.streams and caller_request.is_resumption):
            return
        version = self.server.origins.find(
            OriginQuery(
                request.stream,
                request.route.name,
                request.route.timeout_s * LIFETIME_TIMEOUTS,
            )
        )
        log_decision(
            'stream_taken_up',
            caller_request.request_id,
            resumes=caller_request.resumes,
            service=version.service,
            software=version.software,
            resume_after=caller_request.resume_after,
        )
        self.count_resumption('caller', is_known=bool(version.software))
        if not version.software or not request.route.leads_to(version.service):
            raise UnknownOriginError(
                caller_request.resumes, UNKNOWN_RETRY_AFTER_S
            )
        self.request = request._replace(service=version.service)
        self.progress.request = self.request
        self.slots.request = self.request
        self.progress.software = version.software

    def count_resumption(self, by: str, *, is_known: bool) -> None:
        """Count a stream that is to go on."""
        known = KNOWN_LABELS[is_known]
        self.server.metrics.count(
            f'trefoilspool_resumptions_total{{by="{by}",version="{known}"}}'
        )

    def record_outcome(
        self, status: int, outcome: str, detail: str = '', endpoint: str = ''
    ) -> None:
        """Log and count the outcome of the request."""
        record_outcome(
            self.progress,
            self.server.metrics,
            status,
            outcome,
            detail,
            endpoint,
        )

    def open_response(self) -> StartedResponse:
        """Attempt the request until a response begins.

        Raises
        ------
        Problem
            When no attempt got a response and no further one is allowed.
        """
        while True:
            try:
                slot, result = self.next_attempt()
            except Problem as problem:
                return self.earlier_response(problem)
            if isinstance(result, StartedResponse):
                return result
            self.record_failure(slot, result, self.progress.times)
            if not self.may_retry(result):
                return self.final_response(result)

    def next_attempt(self) -> tuple[Slot, StartedResponse | AttemptFailure]:
        """Make the next attempt, or read the response to a pending one.

        Raises
        ------
        Problem
            When no slot is granted.
        """
        on_silence = self.replacer.on_silence
        pending = self.replacer.take()
        if pending is not None:
            return pending.slot, self.attempts.finish(pending, on_silence)
        slot = self.slots.acquire()
        self.progress.times = AttemptTimes()
        return slot, self.attempts.attempt(slot, on_silence)

    def may_retry(self, failure: AttemptFailure) -> bool:
        """Return whether an attempt may follow or has followed already."""
        if self.replacer.pending is not None:
            return True
        return self.progress.may_retry(failure, clock.now())

    def earlier_response(self, problem: Problem) -> StartedResponse:
        """Return an endpoint's own error response if no retry is possible.

        Raises
        ------
        Problem
            The given problem, if the last attempt got no response.
        """
        failure = self.progress.last_failure
        if failure is None or failure.response is None:
            raise problem
        return failure.response

    def record_failure(
        self, slot: Slot, failure: AttemptFailure, times: AttemptTimes
    ) -> None:
        """Log a failed attempt and release its slot."""
        now = clock.now()
        ending = self.progress.reported_ending(failure, times, now)
        self.progress.on_failure(failure, ending, slot.endpoint)
        if failure.ending is AttemptEnding.gone:
            self.server.directory.on_displaced(slot.endpoint)
        self.slots.release(slot, ending, times, is_down=failure.is_down)
        log_decision(
            'fault',
            self.request.caller_request.request_id,
            endpoint=slot.endpoint,
            ending=ending.name,
            may_have_run=failure.may_have_run,
            detail=failure.detail,
            attempt=self.progress.sent_attempts,
            left_s=round(self.request.deadline - now, 3),
        )

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
        raise self.progress.problem(failure, clock.now())

    def caller_response(self, started: StartedResponse) -> Response:
        """Return the response to the caller."""
        head = started.response.head
        if started.rest is not None:
            return Response(
                head.status, head.headers, self.relay_stream(started)
            )
        self.release_body(started)
        self.record_outcome(
            head.status, 'answered', endpoint=started.slot.endpoint
        )
        length = ('Content-Length', str(len(started.body)))
        return Response(
            head.status, (*head.headers, length), iter((started.body,))
        )

    def release_body(self, started: StartedResponse) -> None:
        """Release the slot of a response that is not a stream.

        That of a server error was released when its attempt was recorded as
        failed.
        """
        if started.response.head.status < FIRST_SERVER_ERROR_STATUS:
            self.slots.release(
                started.slot, AttemptEnding.completed, self.progress.times
            )

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
        self.slots.on_first_event(started.slot)
        self.record_origin(started.slot)
        try:
            yield from self.relayed_events(started)
            ending = AttemptEnding.completed
        except StreamCutError as error:
            ending = ending_after(error)
            return AttemptFailure(ending, may_have_run=True, detail=str(error))
        finally:
            if ending not in FAILED_STREAM_ENDINGS:
                self.close_stream(started, ending)
        return None

    def record_origin(self, slot: Slot) -> None:
        """Record the version before an event of the stream is relayed."""
        if self.progress.software is None:
            self.progress.software = slot.software
        if self.request.may_be_taken_up:
            self.server.origins.on_first_event(
                StreamOrigin(
                    self.request.stream,
                    self.request.service,
                    self.progress.software,
                ),
                self.request.route.name,
            )

    def close_stream(
        self, started: StartedResponse, ending: AttemptEnding
    ) -> None:
        """Release the slot of a stream that has ended and log its outcome."""
        self.attempts.unwatch(started.slot)
        if ending is AttemptEnding.completed:
            self.server.origins.on_completed(self.request.stream)
        else:
            started.response.close()
        self.slots.release(started.slot, ending, self.progress.times)
        self.record_outcome(
            started.response.head.status,
            ending.name,
            endpoint=started.slot.endpoint,
        )

    def relayed_events(self, started: StartedResponse) -> Iterator[bytes]:
        """Yield the events that the caller does not have yet."""
        progress = self.progress
        event_number = self.server.dialect.event_number
        if started.body and progress.is_new(event_number(started.body)):
            yield started.body
        for event in started.rest or ():
            now = clock.now()
            progress.times.on_event(now)
            started.response.wait.until = progress.next_event_due(now)
            if progress.is_new(event_number(event)):
                yield event

    def resume(
        self, started: StartedResponse, failure: AttemptFailure
    ) -> StartedResponse:
        """Resume a cut stream at another endpoint.

        Raises
        ------
        CutResponseError
            When the route does not allow it or no endpoint resumes it.
        """
        self.attempts.unwatch(started.slot)
        self.record_failure(started.slot, failure, self.progress.times)
        if self.may_resume(failure):
            try:
                return self.resumed_stream()
            except Problem as problem:
                failure = failure._replace(detail=problem.detail)
            except StreamCutError as error:
                failure = failure._replace(detail=str(error))
        self.record_outcome(
            started.response.head.status,
            'cut',
            failure.detail,
            started.slot.endpoint,
        )
        raise CutResponseError(
            f'stream of {self.request.caller_request.request_id} ends early: '
            f'{failure.detail}',
        )

    def may_resume(self, failure: AttemptFailure) -> bool:
        """Return whether a cut stream may go on at another endpoint."""
        if self.request.route.repeats is not RepeatPolicy.resumed:
            return False
        if not self.may_retry(failure):
            return False
        is_known = bool(self.progress.software)
        self.count_resumption('host', is_known=is_known)
        return is_known

    def resumed_stream(self) -> StartedResponse:
        """Attempt the request again and return the stream that goes on.

        Raises
        ------
        Problem
            When no endpoint responds.
        StreamCutError
            When the response is not a stream, so that its body must not follow
            the events that the caller has.
        """
        started = self.open_begun_response()
        if started.rest is None:
            self.release_body(started)
            raise StreamCutError(
                f'{started.slot.endpoint} returned status '
                f'{started.response.head.status} to a resumption'
            )
        return started

    def open_begun_response(self) -> StartedResponse:
        """Attempt a request of which the caller has events already.

        Slots may be scarce just after an endpoint has ended, so one is asked
        for until the caller is about to give up.

        Raises
        ------
        Problem
            When no endpoint responds.
        """
        ask_until = self.progress.times.last_event_at + RESUMPTION_S
        while True:
            try:
                return self.open_response()
            except Problem as problem:
                if not self.progress.may_ask_again(clock.now(), ask_until):
                    raise
                log_decision(
                    'resumption_delayed',
                    self.request.caller_request.request_id,
                    reason=problem.detail,
                )
            time.sleep(RESUMPTION_INTERVAL_S)
