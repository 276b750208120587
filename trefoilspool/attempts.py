"""The attempts of one request: schedule, dispatch, and retries."""

import time

from returns.result import Result, Success

from trefoilspool.events import NUMBERS_PER_REQUEST
from trefoilspool.filter import ClaimedJob, Filter, FinalResponse, OpenResponse
from trefoilspool.filters.dispatch import Dispatch, RevokedError
from trefoilspool.filters.schedule import Schedule
from trefoilspool.problems import (
    EndpointFailedError,
    EndpointRefusedError,
    InterruptedRequestError,
    MayHaveRunError,
)
from trefoilspool.retries import RetryBudget
from trefoilspool.telemetry import log_decision

__all__ = ['Attempts']

MAX_AVOIDED_ENDPOINTS = 4

# Whether another attempt may follow, by the problem of the last attempt.
# ``always``: nothing ran, so any request may be sent again.
# ``again``: the attempt was preempted; an idempotent request may be sent
# again without spending the retry budget.
# ``budget``: an idempotent request may be retried within the retry budget.
RETRY_RULES = {
    RevokedError: 'always',
    EndpointRefusedError: 'always',
    InterruptedRequestError: 'again',
    MayHaveRunError: 'budget',
    EndpointFailedError: 'budget',
}


class Attempts(Filter[ClaimedJob, OpenResponse]):
    """Schedules and dispatches until a response opens or no retry is due.

    Parameters
    ----------
    schedule : Schedule
        Gets permits.
    dispatch : Dispatch
        Uses permits.
    budget : RetryBudget
        Bounds retries.
    """

    def __init__(
        self,
        schedule: Schedule,
        dispatch: Dispatch,
        budget: RetryBudget,
    ) -> None:
        self.schedule = schedule
        self.dispatch = dispatch
        self.budget = budget

    def apply(self, message: ClaimedJob) -> Result[OpenResponse, FinalResponse]:
        """Return the open response, or the last attempt's problem."""
        job = message.job
        self.budget.earn(job.workspace, job.place.settings.retry_share)
        return self.open_response(message)

    def open_response(
        self,
        claimed: ClaimedJob,
    ) -> Result[OpenResponse, FinalResponse]:
        """Make attempts until a response opens or a problem is final."""
        for _ in range(NUMBERS_PER_REQUEST - 1):
            claimed = with_next_number(claimed)
            opened = self.schedule.apply(claimed).bind(self.dispatch.apply)
            if isinstance(opened, Success):
                return opened
            problem = opened.failure()
            endpoint = claimed.job.progress.endpoint
            if not self.may_retry(claimed, problem):
                return opened
            log_decision(
                'retry',
                claimed.job.arrival.request_id,
                reason=type(problem).__name__,
                endpoint=endpoint,
            )
            if not isinstance(problem, InterruptedRequestError | RevokedError):
                claimed = avoid_endpoint(claimed, endpoint)
        return opened

    def may_retry(self, claimed: ClaimedJob, problem: FinalResponse) -> bool:
        """Return whether another attempt may follow a problem.

        Spends the retry budget where the problem's rule requires it.
        """
        job = claimed.job
        rule = RETRY_RULES.get(type(problem))  # type: ignore[arg-type]
        if rule is None or time.monotonic() >= job.ask.deadline:
            return False
        if job.progress.shed:
            return False
        if job.at_most_once and job.progress.attempts and rule != 'always':
            return False
        if rule == 'always':
            return len(job.ask.avoid) < MAX_AVOIDED_ENDPOINTS
        return rule == 'again' or self.budget.spend(job.workspace)


def with_next_number(claimed: ClaimedJob) -> ClaimedJob:
    """Return the job with the request number of its next attempt."""
    ask = claimed.job.ask
    request = ask.request._replace(number=ask.request.number + 1)
    job = claimed.job._replace(ask=ask._replace(request=request))
    return claimed._replace(job=job)


def avoid_endpoint(claimed: ClaimedJob, endpoint: str) -> ClaimedJob:
    """Return the job with an endpoint excluded from further attempts."""
    ask = claimed.job.ask
    ask = ask._replace(avoid=(*ask.avoid, endpoint))
    return claimed._replace(job=claimed.job._replace(ask=ask))
