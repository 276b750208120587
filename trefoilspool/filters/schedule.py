"""The filter that waits for a permit."""

from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from returns.result import Failure, Result, Success

from trefoilspool.broker import Abandon, Acquire, BrokerTask
from trefoilspool.errors import CallerGoneError, OverloadedError, Problem
from trefoilspool.filter import ClaimedJob, Filter, Final, PermittedJob
from trefoilspool.permit import PermitResult

__all__ = ['Schedule']

GONE_POLL_S = 0.1
RETRY_S = 1.0


class Schedule(Filter[ClaimedJob, PermittedJob]):
    """Asks the broker and waits; a caller that hangs up stops waiting.

    Parameters
    ----------
    broker : BrokerTask
        Gets permits.
    """

    def __init__(self, broker: BrokerTask) -> None:
        self.broker = broker

    def apply(self, message: ClaimedJob) -> Result[PermittedJob, Final]:
        """Return the permitted job, or the refusal."""
        future: Future[PermitResult] = Future()
        ask = message.job.ask
        self.broker.post(Acquire(ask, future))
        while True:
            try:
                found = future.result(GONE_POLL_S)
            except FutureTimeoutError:
                problem = self.abandoned(message)
                if problem is not None and future.cancel():
                    self.broker.post(Abandon(ask.request))
                    return Failure(problem)
                continue
            break
        if isinstance(found, Success):
            permit = found.unwrap()
            message.job.progress.permit = permit
            if message.job.progress.shed:
                permit.revoke()
            return Success(PermittedJob(message, permit))
        return Failure(found.failure())

    def abandoned(self, claimed: ClaimedJob) -> Problem | None:
        """Return why a request need not wait any longer, if it need not."""
        if claimed.job.progress.shed:
            return OverloadedError(
                'shed: the host is full of requests of higher tiers',
                RETRY_S,
            )
        if claimed.job.arrival.gone():
            return CallerGoneError('the caller hung up')
        return None
