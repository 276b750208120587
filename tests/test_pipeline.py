"""The pipeline's end of a request whose step fails unexpectedly."""

import json
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import pytest
from returns.result import Result, Success

from trefoilspool.endpoint import Token
from trefoilspool.filter import Response
from trefoilspool.outcome import Outcome
from trefoilspool.pipeline import Filters, Pipeline
from trefoilspool.problems import (
    EndpointFailedError,
    EndpointRefusedError,
    MayHaveRunError,
    Problem,
)
from trefoilspool.responses import correct_outcome, stream_events


def never_disconnected() -> bool:
    return False


class Passing:
    """A step that passes its message on."""

    def apply(self, message: object) -> Result[object, object]:
        return Success(message)


class Classifying:
    """A step that makes an arrival a job."""

    def apply(self, arrival: object) -> Result[object, object]:
        progress = SimpleNamespace(result_unknown=False)
        return Success(SimpleNamespace(arrival=arrival, progress=progress))


class Claiming:
    """A step that makes a job a job with a claim."""

    def apply(self, job: object) -> Result[object, object]:
        return Success(SimpleNamespace(job=job, result_key='k'))


class Failing:
    """A step with a programming error."""

    def apply(self, message: object) -> Result[object, object]:
        raise ZeroDivisionError


class OpenRequests:
    """Admits every request."""

    def admit(self, job: object) -> None:
        """Admit a request."""

    def remove(self, number: int) -> None:
        """Forget a request."""


class Settling:
    """A last step that records its arguments."""

    def __init__(self) -> None:
        self.claimed: Any = None
        self.final: object = None

    def finish(
        self, arrival: object, job: object, claimed: object, final: object
    ) -> Response:
        self.claimed = claimed
        self.final = final
        return Response(500, (), iter(()))


class TestUnexpectedError:
    def test_claim_of_the_request_is_settled(self) -> None:
        settling = Settling()
        steps: list[Any] = [Passing(), Classifying(), Claiming(), Failing()]
        filters = Filters(*steps, Passing(), settling)  # type: ignore[arg-type]
        pipeline = Pipeline(
            'h',
            filters,
            lambda: True,
            OpenRequests(),  # type: ignore[arg-type]
        )
        response = pipeline.handle('/x', {}, b'', never_disconnected)
        assert not list(response.chunks)
        assert settling.claimed.result_key == 'k'
        assert settling.claimed.job.progress.result_unknown
        assert isinstance(settling.final, MayHaveRunError)


class TestOutcome:
    def claimed(self, *, result_unknown: bool) -> Any:
        progress = SimpleNamespace(sent=True, result_unknown=result_unknown)
        return SimpleNamespace(job=SimpleNamespace(progress=progress))

    def test_failed_retry_does_not_hide_an_unknown_result(self) -> None:
        problem = correct_outcome(
            EndpointFailedError('status 500'), self.claimed(result_unknown=True)
        )
        assert problem.outcome is Outcome.may_have_run

    def test_failure_of_the_only_attempt_is_told(self) -> None:
        problem = correct_outcome(
            EndpointFailedError('status 500'),
            self.claimed(result_unknown=False),
        )
        assert problem.outcome is Outcome.failed


class TestOutcomeOfStream:
    """The last event after a stream was cut and could not be resumed."""

    def cut_tokens(self, problem: Problem) -> Iterator[Token]:
        yield Token(0, '{}')
        raise problem

    @pytest.mark.parametrize(
        ('problem', 'result_unknown', 'expected'),
        [
            (EndpointFailedError('status 500'), True, Outcome.may_have_run),
            (EndpointRefusedError('refused', 1), True, Outcome.may_have_run),
            (EndpointRefusedError('refused', 1), False, Outcome.interrupted),
            (EndpointFailedError('status 500'), False, Outcome.failed),
        ],
    )
    def test_last_attempt_does_not_hide_an_earlier_one(
        self, problem: Problem, result_unknown: bool, expected: Outcome
    ) -> None:
        progress = SimpleNamespace(
            sent=True, result_unknown=result_unknown, outcome=None
        )
        claimed: Any = SimpleNamespace(job=SimpleNamespace(progress=progress))
        tokens = self.cut_tokens(problem)
        streamed = list(stream_events(claimed, next(tokens), tokens))
        document = json.loads(streamed[-1].decode().partition('data: ')[2])
        assert document['outcome'] == expected
        assert progress.outcome is expected
