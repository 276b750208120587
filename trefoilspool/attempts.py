"""Attempts of one request: schedule, dispatch, and what may follow."""

import time

from returns.result import Result, Success

from trefoilspool.errors import (
    EndpointFailedError,
    EndpointRefusedError,
    InterruptedRequestError,
    MayHaveRunError,
)
from trefoilspool.events import ATTEMPT_NUMBERS
from trefoilspool.filter import ClaimedJob, Filter, Final, OpenAnswer
from trefoilspool.filters.dispatch import Dispatch, RevokedError
from trefoilspool.filters.schedule import Schedule
from trefoilspool.retries import RetryBudget
from trefoilspool.telemetry import log_decision

__all__ = ['Attempts']

MAX_REFUSALS = 4

# Whether another attempt may follow, by the problem of the last one.
# ``always``: nothing was sent. ``again``: cancelled by us, so an idempotent
# request goes on without spending the budget. ``budget``: a retry.
FOLLOW_UPS = {
    RevokedError: 'always',
    EndpointRefusedError: 'always',
    InterruptedRequestError: 'again',
    MayHaveRunError: 'budget',
    EndpointFailedError: 'budget',
}


class Attempts(Filter[ClaimedJob, OpenAnswer]):
    """Schedules and dispatches until an answer opens or none may follow.

    Parameters
    ----------
    schedule : Schedule
        Gets permits.
    dispatch : Dispatch
        Uses them.
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

    def apply(self, message: ClaimedJob) -> Result[OpenAnswer, Final]:
        """Return the open answer, or the last attempt's problem."""
        job = message.job
        self.budget.earn(job.workspace, job.place.settings.retry_share)
        return self.open(message)

    def open(self, claimed: ClaimedJob) -> Result[OpenAnswer, Final]:
        """Attempt until something is final."""
        for _ in range(ATTEMPT_NUMBERS - 1):
            claimed = next_attempt(claimed)
            found = self.schedule.apply(claimed).bind(self.dispatch.apply)
            if isinstance(found, Success):
                return found
            problem = found.failure()
            endpoint = claimed.job.progress.endpoint
            if not self.may_follow(claimed, problem):
                return found
            log_decision(
                'retry',
                claimed.job.arrival.request_id,
                reason=type(problem).__name__,
                endpoint=endpoint,
            )
            if not isinstance(problem, InterruptedRequestError | RevokedError):
                claimed = avoid(claimed, endpoint)
        return found

    def may_follow(self, claimed: ClaimedJob, problem: Final) -> bool:
        """Tell whether another attempt may follow a problem."""
        job = claimed.job
        rule = FOLLOW_UPS.get(type(problem))  # type: ignore[arg-type]
        if rule is None or time.monotonic() >= job.ask.deadline:
            return False
        if job.progress.shed:
            return False
        if job.once and job.progress.attempts and rule != 'always':
            return False
        if rule == 'always':
            return len(job.ask.avoid) < MAX_REFUSALS
        return rule == 'again' or self.budget.spend(job.workspace)


def next_attempt(claimed: ClaimedJob) -> ClaimedJob:
    """Give the next attempt a number of its own."""
    ask = claimed.job.ask
    request = ask.request._replace(number=ask.request.number + 1)
    job = claimed.job._replace(ask=ask._replace(request=request))
    return claimed._replace(job=job)


def avoid(claimed: ClaimedJob, endpoint: str) -> ClaimedJob:
    """Keep the next attempt away from an endpoint."""
    ask = claimed.job.ask
    ask = ask._replace(avoid=(*ask.avoid, endpoint))
    return claimed._replace(job=claimed.job._replace(ask=ask))
