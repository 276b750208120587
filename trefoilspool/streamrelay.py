"""Streams on their way to callers, and what goes on with a cut one."""

import time
from abc import ABC, abstractmethod
from collections.abc import Generator, Iterator

from trefoilspool import clock
from trefoilspool.attempttimes import AttemptTimes
from trefoilspool.endpointattempts import EndpointAttempts, ending_after
from trefoilspool.errors import (
    CutResponseError,
    StreamCutError,
)
from trefoilspool.problems import Problem
from trefoilspool.requestprogress import RequestProgress
from trefoilspool.routedrequests import AttemptFailure, Slot, StartedResponse
from trefoilspool.routing import RepeatPolicy
from trefoilspool.servingparts import ServingParts
from trefoilspool.slotacquisition import SlotAcquirer
from trefoilspool.slotmessages import AttemptEnding
from trefoilspool.streamorigins import StreamOrigin
from trefoilspool.streamtakeup import count_resumption
from trefoilspool.telemetry import log_decision

__all__ = ['ResponseOpener', 'StreamRelay']

# Callers give up a stream two seconds after an event.
RESUMPTION_S = 1.5
RESUMPTION_INTERVAL_S = 0.2
# A stream whose attempt ended so may be resumed.
FAILED_STREAM_ENDINGS = frozenset((AttemptEnding.broken, AttemptEnding.silent))


class ResponseOpener(ABC):
    """Opens the responses to one request, and records what became of them."""

    @abstractmethod
    def open_response(self) -> StartedResponse:
        """Attempt the request until a response begins.

        Raises
        ------
        Problem
            When no attempt got a response and no further one is allowed.
        """

    @abstractmethod
    def may_retry(self, failure: AttemptFailure) -> bool:
        """Return whether an attempt may follow or has followed already."""

    @abstractmethod
    def record_failure(
        self, slot: Slot, failure: AttemptFailure, times: AttemptTimes
    ) -> None:
        """Log a failed attempt and release its slot."""

    @abstractmethod
    def record_outcome(
        self, status: int, outcome: str, detail: str = '', endpoint: str = ''
    ) -> None:
        """Log and count the outcome of the request."""


class StreamRelay:
    """Relays the stream of one request; owned by the request's thread.

    Parameters
    ----------
    parts : ServingParts
        What all requests share.
    progress : RequestProgress
        The request and its attempts so far.
    slots : SlotAcquirer
        Releases the slots of the attempts.
    attempts : EndpointAttempts
        The attempts.
    opener : ResponseOpener
        Opens the response that goes on with a cut stream.
    """

    def __init__(
        self,
        parts: ServingParts,
        progress: RequestProgress,
        slots: SlotAcquirer,
        attempts: EndpointAttempts,
        opener: ResponseOpener,
    ) -> None:
        self.parts = parts
        self.progress = progress
        self.request = progress.request
        self.slots = slots
        self.attempts = attempts
        self.opener = opener

    def relay(self, started: StartedResponse) -> Iterator[bytes]:
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
        self.progress.has_begun = True
        if self.progress.software is None:
            self.progress.software = slot.software
        if self.request.may_be_taken_up:
            self.parts.origins.on_first_event(
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
            self.parts.origins.on_completed(self.request.stream)
        else:
            started.response.close()
        self.slots.release(started.slot, ending, self.progress.times)
        self.opener.record_outcome(
            started.response.head.status,
            ending.name,
            endpoint=started.slot.endpoint,
        )

    def relayed_events(self, started: StartedResponse) -> Iterator[bytes]:
        """Yield the events that the caller does not have yet."""
        progress = self.progress
        event_number = self.parts.dialect.event_number
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
        self.opener.record_failure(started.slot, failure, self.progress.times)
        if self.may_resume(failure):
            try:
                return self.resumed_stream()
            except Problem as problem:
                failure = failure._replace(detail=problem.detail)
        self.opener.record_outcome(
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
        if not self.opener.may_retry(failure):
            return False
        is_known = bool(self.progress.software)
        count_resumption(self.parts.metrics, 'host', is_known=is_known)
        return is_known

    def resumed_stream(self) -> StartedResponse:
        """Attempt the request again and return the stream that goes on.

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
                return self.opener.open_response()
            except Problem as problem:
                if not self.progress.may_ask_again(clock.now(), ask_until):
                    raise
                log_decision(
                    'resumption_delayed',
                    self.request.caller_request.request_id,
                    reason=problem.detail,
                )
            time.sleep(RESUMPTION_INTERVAL_S)
