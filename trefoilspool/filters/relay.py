"""The filter that relays a response to its caller."""

import json
import time
from collections.abc import Iterator
from http import HTTPStatus

from returns.result import Failure, Result, Success

from trefoilspool import events
from trefoilspool.attempts import Attempts
from trefoilspool.broker import BrokerTask, TokenSample
from trefoilspool.endpoint import Token
from trefoilspool.errors import (
    EndpointError,
    StreamCutError,
)
from trefoilspool.filter import (
    Filter,
    FinalResponse,
    OpenResponse,
    Response,
)
from trefoilspool.outcome import Outcome
from trefoilspool.problems import (
    DeadlineError,
    InterruptedRequestError,
    MayHaveRunError,
    Problem,
)
from trefoilspool.responses import chunk_text, completion_body, stream_events
from trefoilspool.watch import Unwatch, WatchTask

__all__ = ['Relay']

REPORT_INTERVAL_S = 0.25
STREAM_HEADERS = (
    ('Content-Type', 'text/event-stream'),
    ('Cache-Control', 'no-store'),
)


class AttemptMeter:
    """Measurements of one attempt's response.

    Attributes
    ----------
    started_at, first_token_at, reported_at : float
        Monotonic seconds; ``first_token_at`` is 0 before the first token.
    tokens : int
        Tokens read.
    reported_tokens : int
        Tokens read by the time of the last report to the broker.
    """

    def __init__(self) -> None:
        self.started_at = time.monotonic()
        self.first_token_at = 0.0
        self.tokens = 0
        self.reported_at = self.started_at
        self.reported_tokens = 0


class Relay(Filter[OpenResponse, Response]):
    """Relays tokens in order and resumes a cut stream where it stopped.

    Parameters
    ----------
    attempts : Attempts
        Opens further attempts.
    broker : BrokerTask
        Takes released permits and reports of token rates.
    watch : WatchTask
        Watches attempts.
    """

    def __init__(
        self,
        attempts: Attempts,
        broker: BrokerTask,
        watch: WatchTask,
    ) -> None:
        self.attempts = attempts
        self.broker = broker
        self.watch = watch

    def apply(self, message: OpenResponse) -> Result[Response, FinalResponse]:
        """Return the response to the caller.

        A streamed response is returned at its first token, any other when it
        is complete.
        """
        job = message.claimed.job
        if job.place.settings.target != 'model':
            return self.relay_service_body(message)
        try:
            if job.streams:
                return Success(self.relay_stream(message))
            return Success(self.collect_completion(message))
        except Problem as problem:
            return Failure(problem)

    def relay_service_body(
        self, opened: OpenResponse
    ) -> Result[Response, FinalResponse]:
        """Read a service's response body whole and return it."""
        meter = AttemptMeter()
        stream = opened.stream
        ending = events.Ending.broken
        try:
            body = stream.body()
            ending = events.Ending.completed
        except EndpointError as error:
            ending = cut_ending(opened)
            return Failure(MayHaveRunError(str(error)))
        finally:
            self.finish_attempt(opened, meter, ending)
        is_error = stream.status >= HTTPStatus.BAD_REQUEST
        outcome = Outcome.failed if is_error else Outcome.completed
        opened.claimed.job.progress.outcome = outcome
        headers = (
            ('Content-Type', stream.content_type),
            ('X-Request-Outcome', outcome.value),
        )
        return Success(Response(stream.status, headers, iter((body,))))

    def relay_stream(self, opened: OpenResponse) -> Response:
        """Return a streamed response whose first token has arrived."""
        tokens = self.resumable_tokens(opened)
        first = next(tokens, None)
        return Response(
            HTTPStatus.OK,
            STREAM_HEADERS,
            stream_events(
                opened.claimed,
                first,
                tokens,
            ),
        )

    def collect_completion(self, opened: OpenResponse) -> Response:
        """Return a complete response for a caller that does not stream."""
        job = opened.claimed.job
        texts = [chunk_text(token) for token in self.resumable_tokens(opened)]
        body = completion_body(job, texts)
        headers = (
            ('Content-Type', 'application/json'),
            ('X-Request-Outcome', Outcome.completed.value),
        )
        return Response(
            HTTPStatus.OK, headers, iter((json.dumps(body).encode(),))
        )

    def resumable_tokens(self, opened: OpenResponse) -> Iterator[Token]:
        """Yield each token once and in order, over all attempts.

        Raises
        ------
        Problem
            When the stream was cut and cannot be resumed.
        """
        progress = opened.claimed.job.progress
        while True:
            try:
                yield from self.attempt_tokens(opened)
            except StreamCutError as error:
                opened = self.resume(opened, error)
                continue
            progress.outcome = Outcome.completed
            return

    def attempt_tokens(self, opened: OpenResponse) -> Iterator[Token]:
        """Yield one attempt's tokens without those already relayed."""
        meter = AttemptMeter()
        progress = opened.claimed.job.progress
        ending = events.Ending.cancelled
        try:
            check_attempt(opened)
            for token in opened.stream.tokens():
                self.measure_token(opened, meter)
                if is_next(token, progress.relayed_tokens):
                    progress.relayed_tokens += 1
                    yield token
            ending = events.Ending.completed
        except StreamCutError:
            ending = cut_ending(opened)
            raise
        finally:
            self.finish_attempt(opened, meter, ending)

    def measure_token(self, opened: OpenResponse, meter: AttemptMeter) -> None:
        """Count a token; report the rate every ``REPORT_INTERVAL_S``."""
        now = time.monotonic()
        if not meter.tokens:
            arrival = opened.claimed.job.arrival
            progress = opened.claimed.job.progress
            meter.first_token_at = now
            meter.reported_at = now
            progress.first_token_s = progress.first_token_s or (
                now - arrival.arrived_at
            )
        meter.tokens += 1
        if now - meter.reported_at >= REPORT_INTERVAL_S:
            self.report_rate(opened, meter, now)

    def report_rate(
        self,
        opened: OpenResponse,
        meter: AttemptMeter,
        now: float,
    ) -> None:
        """Send the broker the tokens since the last report."""
        self.broker.post(
            TokenSample(
                opened.permit.endpoint,
                meter.tokens - meter.reported_tokens,
                now - meter.reported_at,
            )
        )
        meter.reported_at = now
        meter.reported_tokens = meter.tokens

    def finish_attempt(
        self,
        opened: OpenResponse,
        meter: AttemptMeter,
        ending: events.Ending,
    ) -> None:
        """Close an attempt's stream and release its permit."""
        opened.stream.close()
        ask = opened.permit.ask
        self.watch.post(Unwatch(ask.request.number))
        now = time.monotonic()
        first_token_at = meter.first_token_at or now
        self.broker.post(
            events.Release(
                ask.request,
                ending,
                first_token_at - meter.started_at,
                ask.prompt_tokens,
                opened.stream.cached_tokens,
                meter.tokens,
                now - first_token_at,
            )
        )

    def resume(
        self,
        opened: OpenResponse,
        error: StreamCutError,
    ) -> OpenResponse:
        """Open another attempt at the token where the last one stopped.

        Raises
        ------
        Problem
            When no further attempt may follow, or none opened a response.
        """
        problem = cut_problem(opened, error)
        claimed = opened.claimed
        if not self.attempts.may_retry(claimed, problem):
            raise problem
        result = self.attempts.open_response(claimed)
        if isinstance(result, Success):
            opened = result.unwrap()
            return opened
        failure = result.failure()
        raise failure if isinstance(failure, Problem) else problem


def is_next(token: Token, relayed_tokens: int) -> bool:
    """Return whether a token is the next one to relay.

    Raises
    ------
    StreamCutError
        When a token before it is missing.
    """
    if token.position > relayed_tokens:
        raise StreamCutError(
            f'expected token {relayed_tokens}, got token {token.position}'
        )
    return token.position == relayed_tokens


def check_attempt(opened: OpenResponse) -> None:
    """Check a response's attempt and its first token.

    The response must be for the current attempt and start at the next token to
    relay.
    A response that does not name its attempt is accepted, since a connection
    carries only one request.

    Raises
    ------
    StreamCutError
        When the response is for another attempt, or starts at another token
        than requested.
    """
    progress = opened.claimed.job.progress
    stream = opened.stream
    expected = f'{opened.claimed.job.arrival.request_id}/{progress.attempts}'
    if stream.attempt not in {'', expected}:
        raise StreamCutError(
            f'expected a response to attempt {expected}, '
            f'got one to attempt {stream.attempt}'
        )
    if stream.resumed_at != progress.relayed_tokens:
        raise StreamCutError(
            f'expected the endpoint to resume at token '
            f'{progress.relayed_tokens}, but it resumed at '
            f'{stream.resumed_at}',
        )


def cut_ending(opened: OpenResponse) -> events.Ending:
    """Return the ending of a cut attempt for the scheduler.

    It is ``cancelled`` if this host or the caller ended the attempt, and
    ``broken`` otherwise.
    """
    job = opened.claimed.job
    late = time.monotonic() >= job.ask.deadline
    if opened.permit.revoked or late or job.arrival.client_disconnected():
        return events.Ending.cancelled
    return events.Ending.broken


def cut_problem(opened: OpenResponse, error: StreamCutError) -> Problem:
    """Return the problem of a request whose response was cut.

    Marks the result as unknown unless the permit was revoked or the deadline
    passed.
    """
    job = opened.claimed.job
    if opened.permit.revoked:
        return InterruptedRequestError(
            'cancelled for a request of a higher tier',
            1,
        )
    if time.monotonic() >= job.ask.deadline:
        problem: Problem = DeadlineError(
            'the deadline passed while the response was relayed'
        )
        problem.outcome = Outcome.interrupted  # type: ignore[misc]
        return problem
    job.progress.result_unknown = True
    return MayHaveRunError(str(error))
