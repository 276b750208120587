"""The filter that waits for a permit."""

from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from returns.result import Failure, Result, Success

from trefoilspool.broker import AcquirePermit, BrokerTask, CancelAcquire
from trefoilspool.filter import ClaimedJob, Filter, FinalResponse, PermittedJob
from trefoilspool.permit import PermitResult
from trefoilspool.problems import (
    CallerGoneError,
    OverloadedError,
    Problem,
)

__all__ = ['Schedule']

DISCONNECT_POLL_S = 0.1
RETRY_AFTER_S = 1.0


class Schedule(Filter[ClaimedJob, PermittedJob]):
    """Acquires a permit from the broker.

    Stops waiting when the caller disconnects or the request is shed.

    Parameters
    ----------
    broker : BrokerTask
        Gets permits.
    """

    def __init__(self, broker: BrokerTask) -> None:
        self.broker = broker

    def apply(self, message: ClaimedJob) -> Result[PermittedJob, FinalResponse]:
        """Return the permitted job, or the refusal."""
        future: Future[PermitResult] = Future()
        ask = message.job.ask
        self.broker.post(AcquirePermit(ask, future))
        while True:
            try:
                result = future.result(DISCONNECT_POLL_S)
            except FutureTimeoutError:
                problem = self.abandon_reason(message)
                if problem is not None and future.cancel():
                    self.broker.post(CancelAcquire(ask.request))
                    return Failure(problem)
                continue
            break
        if isinstance(result, Success):
            permit = result.unwrap()
            message.job.progress.permit = permit
            if message.job.progress.shed:
                permit.revoke()
            return Success(PermittedJob(message, permit))
        return Failure(result.failure())

    def abandon_reason(self, claimed: ClaimedJob) -> Problem | None:
        """Return the problem that ends the wait for a permit, if any."""
        if claimed.job.progress.shed:
            return OverloadedError(
                'shed: the host is full of requests of higher tiers',
                RETRY_AFTER_S,
            )
        if claimed.job.arrival.client_disconnected():
            return CallerGoneError('the caller disconnected before dispatch')
        return None
