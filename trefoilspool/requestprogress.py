"""What is known of a request's attempts, and what may be said of it.

Pure: each call passes the time, so that the decisions can be tested alone.
"""

from trefoilspool.attempttimes import AttemptTimes
from trefoilspool.callerrors import DeadlineAfterSendError
from trefoilspool.problems import (
    EndpointFailedError,
    MayHaveRunError,
    OverloadedError,
    Problem,
)
from trefoilspool.routedrequests import AttemptFailure, RoutedRequest
from trefoilspool.routing import RepeatPolicy
from trefoilspool.slotmessages import AttemptEnding

__all__ = ['RequestProgress']

MAX_UNPROCESSED_RETRIES = 4  # after endings in UNPROCESSED_ENDINGS
RETRY_AFTER_S = 0.3
# An endpoint that has sent no whole event or body for this long counts as
# failing, even if the caller or the deadline ended the attempt.
SILENT_AFTER_S = 0.9
# After this gap between events a replacement is sought, if none of the earlier
# gaps was long. A sound endpoint may pause for a second; callers give up after
# two.
EVENT_GAP_TIMEOUT_S = 1.1
# A gap of a slow stream may be this many times its longest earlier one.
GAP_FACTOR = 4.0
# Reads time out this long after the deadline, at which the watch task aborts
# them.
READ_SLACK_S = 0.5

# After these endings MAX_UNPROCESSED_RETRIES bounds the retries, not the
# route's max_attempts: the request was not sent, or the endpoint responded that
# it has another name (421).
UNPROCESSED_ENDINGS = frozenset(
    (
        AttemptEnding.unreachable,
        AttemptEnding.no_path,
        AttemptEnding.gone,
        AttemptEnding.unused,
    )
)


class RequestProgress:
    """Progress of one request; owned by the request's thread.

    Parameters
    ----------
    request : RoutedRequest
        The request.

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
    times : AttemptTimes
        Times of the attempt whose response is read.
    last_failure : AttemptFailure or None
        The last failed attempt.
    unknown_failure : AttemptFailure or None
        The last failed attempt that may have run.
    has_begun : bool
        Whether the caller has the start of a stream, which only events of the
        same stream may follow.
    software : str or None
        Version of the software that began the stream; None before an event of
        it is relayed, empty if it is not known.
    """

    def __init__(self, request: RoutedRequest) -> None:
        self.request = request
        self.sent_attempts = 0
        self.unprocessed_attempts = 0
        self.may_have_run = False
        self.avoid: tuple[str, ...] = ()
        self.last_event_number = request.caller_request.resume_after
        self.slot_number = 0
        self.times = AttemptTimes()
        self.last_failure: AttemptFailure | None = None
        self.unknown_failure: AttemptFailure | None = None
        self.has_begun = False
        self.software: str | None = None

    def is_new(self, number: int | None) -> bool:
        """Count an event; return whether the caller does not have it yet."""
        self.times.event_count += 1
        if number is None:
            return True
        if number <= self.last_event_number:
            return False
        self.last_event_number = number
        return True

    def read_until(self, limit_s: float, now: float) -> float:
        """Return the time until which an attempt counts as going on."""
        return min(self.last_read, now + limit_s)

    @property
    def last_read(self) -> float:
        """Return the time until which any attempt is waited for at most."""
        return self.request.deadline + READ_SLACK_S

    def may_replace(self) -> bool:
        """Return whether another attempt may replace one that is silent."""
        route = self.request.route
        if route.repeats is RepeatPolicy.never:
            return False
        return self.sent_attempts < route.max_attempts

    def next_event_due(self, now: float) -> float:
        """Return the time until which the next event is waited for.

        A slow stream that keeps its pace is not cut.
        """
        limit_s = max(
            EVENT_GAP_TIMEOUT_S, self.times.longest_gap_s * GAP_FACTOR
        )
        return self.read_until(limit_s, now)

    def on_failure(
        self, failure: AttemptFailure, ending: AttemptEnding, endpoint: str
    ) -> None:
        """Note a failed attempt."""
        self.may_have_run = self.may_have_run or failure.may_have_run
        self.unprocessed_attempts += ending in UNPROCESSED_ENDINGS
        self.avoid = (*self.avoid, endpoint)
        self.last_failure = failure
        if failure.may_have_run:
            self.unknown_failure = failure

    def reported_ending(
        self, failure: AttemptFailure, times: AttemptTimes, now: float
    ) -> AttemptEnding:
        """Return the ending to report to the slot scheduler.

        An attempt that the caller or the deadline ended does not count against
        the endpoint, unless the endpoint had sent no whole event or body for
        ``SILENT_AFTER_S``.
        """
        cancelled = self.request.client_disconnected()
        if now >= self.request.deadline and failure.may_have_run:
            cancelled = True
        if not cancelled:
            return failure.ending
        if failure.may_have_run and not times.first_byte_s:
            if now - times.sent_at >= SILENT_AFTER_S:
                return AttemptEnding.silent
        return AttemptEnding.cancelled

    def may_retry(self, failure: AttemptFailure, now: float) -> bool:
        """Return whether another attempt may follow a failed one."""
        request = self.request
        if request.client_disconnected() or now >= request.deadline:
            return False
        if failure.may_have_run and request.route.repeats is RepeatPolicy.never:
            return False
        if failure.ending in UNPROCESSED_ENDINGS:
            return self.unprocessed_attempts <= MAX_UNPROCESSED_RETRIES
        return self.sent_attempts < request.route.max_attempts

    def may_ask_again(self, now: float, until: float) -> bool:
        """Return whether a slot may be asked for after a refusal.

        This starts a new series of attempts that reach no endpoint.
        """
        request = self.request
        if request.client_disconnected() or now >= min(until, request.deadline):
            return False
        self.unprocessed_attempts = 0
        return self.sent_attempts < request.route.max_attempts

    def problem(self, failure: AttemptFailure, now: float) -> Problem:
        """Return the problem of a request that got no response."""
        if not self.may_have_run:
            return OverloadedError(f'not run: {failure.detail}', RETRY_AFTER_S)
        if now >= self.request.deadline:
            return DeadlineAfterSendError(
                'the deadline passed before a response'
            )
        if failure.ending is AttemptEnding.failed:
            return EndpointFailedError(failure.detail)
        return MayHaveRunError(self.unknown_detail(failure))

    def unknown_detail(self, failure: AttemptFailure) -> str:
        """Return what became of the attempt that may have run, and after it."""
        unknown = self.unknown_failure
        if unknown is None or unknown is failure:
            return failure.detail
        return f'{unknown.detail}; then: {failure.detail}'
