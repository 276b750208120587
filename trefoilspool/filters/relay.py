"""The filter that passes an answer on to its caller."""

import json
import time
from collections.abc import Iterator
from http import HTTPStatus

from returns.result import Failure, Result, Success

from trefoilspool import events
from trefoilspool.answers import stream_events, text_of, whole_body
from trefoilspool.attempts import Attempts
from trefoilspool.broker import BrokerTask, TokensSeen
from trefoilspool.endpoint import Token
from trefoilspool.errors import (
    DeadlineError,
    EndpointError,
    InterruptedRequestError,
    MayHaveRunError,
    Problem,
    StreamCutError,
)
from trefoilspool.filter import (
    Answer,
    Filter,
    Final,
    OpenAnswer,
)
from trefoilspool.outcome import Outcome
from trefoilspool.watch import Unwatch, WatchTask

__all__ = ['Relay']

TELL_S = 0.25
STREAM_HEADERS = (
    ('Content-Type', 'text/event-stream'),
    ('Cache-Control', 'no-store'),
)


class Reading:
    """What was measured while one attempt's answer was read."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.first = 0.0
        self.tokens = 0
        self.reported_at = self.started
        self.reported_tokens = 0


class Relay(Filter[OpenAnswer, Answer]):
    """Relays tokens in order, resuming a cut stream where it stopped.

    Parameters
    ----------
    attempts : Attempts
        Opens further attempts.
    broker : BrokerTask
        Takes permits back and hears of speeds.
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

    def apply(self, message: OpenAnswer) -> Result[Answer, Final]:
        """Return the answer as soon as its first part is here."""
        job = message.claimed.job
        if job.place.settings.target != 'model':
            return self.relay_whole(message)
        try:
            if job.streams:
                return Success(self.relay_stream(message))
            return Success(self.gather(message))
        except Problem as problem:
            return Failure(problem)

    def relay_whole(self, opened: OpenAnswer) -> Result[Answer, Final]:
        """Read a plain service's answer whole."""
        reading = Reading()
        stream = opened.stream
        ending = events.Ending.broken
        try:
            body = stream.body()
            ending = events.Ending.completed
        except EndpointError as error:
            ending = cut_ending(opened)
            return Failure(MayHaveRunError(str(error)))
        finally:
            self.end(opened, reading, ending)
        refused = stream.status >= HTTPStatus.BAD_REQUEST
        outcome = Outcome.failed if refused else Outcome.completed
        opened.claimed.job.progress.outcome = outcome
        headers = (
            ('Content-Type', stream.content_type),
            ('X-Request-Outcome', outcome.value),
        )
        return Success(Answer(stream.status, headers, iter((body,))))

    def relay_stream(self, opened: OpenAnswer) -> Answer:
        """Return a streaming answer whose first token has arrived."""
        tokens = self.tokens(opened)
        first = next(tokens, None)
        return Answer(
            HTTPStatus.OK,
            STREAM_HEADERS,
            stream_events(
                opened.claimed,
                first,
                tokens,
            ),
        )

    def gather(self, opened: OpenAnswer) -> Answer:
        """Return a whole answer for a caller who does not stream."""
        job = opened.claimed.job
        texts = [text_of(token) for token in self.tokens(opened)]
        body = whole_body(job, texts)
        headers = (
            ('Content-Type', 'application/json'),
            ('X-Request-Outcome', Outcome.completed.value),
        )
        return Answer(
            HTTPStatus.OK, headers, iter((json.dumps(body).encode(),))
        )

    def tokens(self, opened: OpenAnswer) -> Iterator[Token]:
        """Yield each token once and in order, over as many attempts as due.

        Raises
        ------
        Problem
            When the answer cannot be made whole.
        """
        progress = opened.claimed.job.progress
        while True:
            try:
                yield from self.read_attempt(opened)
            except StreamCutError as error:
                opened = self.resume(opened, error)
                continue
            progress.outcome = Outcome.completed
            return

    def read_attempt(self, opened: OpenAnswer) -> Iterator[Token]:
        """Yield one attempt's tokens, dropping any that the caller has."""
        reading = Reading()
        progress = opened.claimed.job.progress
        ending = events.Ending.cancelled
        try:
            check_attempt(opened)
            for token in opened.stream.tokens():
                self.measure(opened, reading)
                if is_next(token, progress.relayed):
                    progress.relayed += 1
                    yield token
            ending = events.Ending.completed
        except StreamCutError:
            ending = cut_ending(opened)
            raise
        finally:
            self.end(opened, reading, ending)

    def measure(self, opened: OpenAnswer, reading: Reading) -> None:
        """Count a token and tell the broker of the speed now and then."""
        now = time.monotonic()
        if not reading.tokens:
            arrival = opened.claimed.job.arrival
            progress = opened.claimed.job.progress
            reading.first = now
            reading.reported_at = now
            progress.first_token_s = progress.first_token_s or (
                now - arrival.arrived
            )
        reading.tokens += 1
        if now - reading.reported_at >= TELL_S:
            self.report(opened, reading, now)

    def report(self, opened: OpenAnswer, reading: Reading, now: float) -> None:
        """Report the tokens since the last report."""
        self.broker.post(
            TokensSeen(
                opened.permit.endpoint,
                reading.tokens - reading.reported_tokens,
                now - reading.reported_at,
            )
        )
        reading.reported_at = now
        reading.reported_tokens = reading.tokens

    def end(
        self,
        opened: OpenAnswer,
        reading: Reading,
        ending: events.Ending,
    ) -> None:
        """Close an attempt and give its permit back."""
        opened.stream.close()
        ask = opened.permit.ask
        self.watch.post(Unwatch(ask.request.number))
        now = time.monotonic()
        first = reading.first or now
        self.broker.post(
            events.Release(
                ask.request,
                ending,
                first - reading.started,
                ask.prompt_tokens,
                opened.stream.cached_tokens,
                reading.tokens,
                now - first,
            )
        )

    def resume(self, opened: OpenAnswer, error: StreamCutError) -> OpenAnswer:
        """Open another attempt from the token at which the last stopped."""
        problem = cut_problem(opened, error)
        claimed = opened.claimed
        if not self.attempts.may_follow(claimed, problem):
            raise problem
        found = self.attempts.open(claimed)
        if isinstance(found, Success):
            opened = found.unwrap()
            return opened
        failure = found.failure()
        raise failure if isinstance(failure, Problem) else problem


def is_next(token: Token, relayed: int) -> bool:
    """Tell whether a token follows those that the caller has.

    Raises
    ------
    StreamCutError
        When a token between them is missing.
    """
    if token.place > relayed:
        raise StreamCutError(f'token {relayed} is missing')
    return token.place == relayed


def check_attempt(opened: OpenAnswer) -> None:
    """Refuse an answer of another attempt, or one that was not resumed.

    An endpoint that does not name the attempt is trusted, since a connection
    carries one request only.
    """
    progress = opened.claimed.job.progress
    stream = opened.stream
    expected = f'{opened.claimed.job.arrival.request_id}/{progress.attempts}'
    if stream.attempt not in {'', expected}:
        raise StreamCutError(f'the answer is for attempt {stream.attempt}')
    if stream.resumed_at != progress.relayed:
        raise StreamCutError(
            f'the endpoint resumed at token {stream.resumed_at}, '
            f'not at {progress.relayed}',
        )


def cut_ending(opened: OpenAnswer) -> events.Ending:
    """Return how a cut attempt ended for the scheduler."""
    job = opened.claimed.job
    late = time.monotonic() >= job.ask.deadline
    if opened.permit.revoked or late or job.arrival.gone():
        return events.Ending.cancelled
    return events.Ending.broken


def cut_problem(opened: OpenAnswer, error: StreamCutError) -> Problem:
    """Return what became of a request whose answer was cut."""
    job = opened.claimed.job
    if opened.permit.revoked:
        return InterruptedRequestError(
            'cancelled for a request of a higher tier',
            1,
        )
    if time.monotonic() >= job.ask.deadline:
        problem: Problem = DeadlineError('the deadline passed in mid-answer')
        problem.outcome = Outcome.interrupted  # type: ignore[misc]
        return problem
    job.progress.result_unknown = True
    return MayHaveRunError(str(error))
