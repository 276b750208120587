"""Routed requests, from the first attempt to the end of the response."""

from returns.result import Failure, Result, Success

from trefoilspool import clock
from trefoilspool.attempttimes import AttemptTimes
from trefoilspool.endpointattempts import (
    FIRST_SERVER_ERROR_STATUS,
    EndpointAttempts,
)
from trefoilspool.filter import Response
from trefoilspool.problems import (
    CallerGoneError,
    Problem,
)
from trefoilspool.replacement import Replacer
from trefoilspool.requestoutcomes import record_outcome
from trefoilspool.requestprogress import RequestProgress
from trefoilspool.responsechunks import HeldChunks
from trefoilspool.routedrequests import (
    AttemptFailure,
    RoutedRequest,
    Slot,
    StartedResponse,
)
from trefoilspool.servingparts import ServingParts
from trefoilspool.slotacquisition import SlotAcquirer
from trefoilspool.slotmessages import AttemptEnding
from trefoilspool.streamrelay import ResponseOpener, StreamRelay
from trefoilspool.streamtakeup import take_up
from trefoilspool.telemetry import log_decision

__all__ = ['RequestExecution', 'RequestServer']

# An attempt that ended so may have lost its path, not its endpoint.
PATH_ENDINGS = frozenset((AttemptEnding.broken, AttemptEnding.silent))


class RequestServer(ServingParts):
    """Serves routed requests."""

    def serve(self, request: RoutedRequest) -> Result[Response, Problem]:
        """Return the response to a routed request, or its problem."""
        progress = RequestProgress(request)
        try:
            take_up(self, progress)
        except Problem as problem:
            record_outcome(
                progress,
                self.metrics,
                problem.status,
                problem.slug,
                problem.detail,
                endpoint='',
            )
            return Failure(problem)
        return RequestExecution(self, progress).run()


class RequestExecution(ResponseOpener):
    """Serves one request; owned by the request's thread.

    Parameters
    ----------
    parts : ServingParts
        What all requests share.
    progress : RequestProgress
        The request, and the attempts so far.

    Attributes
    ----------
    slots : SlotAcquirer
        Gets the slots of the attempts.
    attempts : EndpointAttempts
        Sends the attempts.
    replacer : Replacer
        Replaces attempts whose endpoint is silent.
    stream_relay : StreamRelay
        Relays the response if it is a stream.
    """

    def __init__(self, parts: ServingParts, progress: RequestProgress) -> None:
        self.parts = parts
        self.request = progress.request
        self.progress = progress
        self.slots = SlotAcquirer(
            self.progress,
            parts.slot_client,
            parts.directory,
            parts.quiet_periods,
            parts.endpoint_client.paths.table,
            parts.data_centre,
        )
        self.attempts = EndpointAttempts(
            self.progress,
            parts.directory,
            parts.quiet_periods,
            parts.endpoint_client,
            parts.watch,
            parts.slot_client.quarantine,
            parts.slot_client.down_runs,
        )
        self.replacer = Replacer(
            self.progress, self.slots, self.attempts, self.record_failure
        )
        self.stream_relay = StreamRelay(
            parts, progress, self.slots, self.attempts, self
        )

    def run(self) -> Result[Response, Problem]:
        """Return the response, or the final problem."""
        try:
            started = self.open_response()
        except Problem as problem:
            self.record_outcome(problem.status, problem.slug, problem.detail)
            return Failure(problem)
        except Exception:
            self.slots.release_held()
            raise
        return Success(self.caller_response(started))

    def record_outcome(
        self, status: int, outcome: str, detail: str = '', endpoint: str = ''
    ) -> None:
        """Log and count the outcome of the request."""
        record_outcome(
            self.progress,
            self.parts.metrics,
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
        if ending in PATH_ENDINGS and not self.attempts.has_path(slot.endpoint):
            ending = AttemptEnding.path_lost
        self.progress.on_failure(failure, ending, slot.endpoint)
        if failure.ending is AttemptEnding.gone:
            self.parts.directory.on_displaced(slot.endpoint)
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
                head.status, head.headers, self.stream_relay.relay(started)
            )
        self.release_body(started)
        self.record_outcome(
            head.status, 'answered', endpoint=started.slot.endpoint
        )
        length = ('Content-Length', str(len(started.body)))
        return Response(
            head.status,
            (*head.headers, length),
            HeldChunks(started.body, started.response.release_held),
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
