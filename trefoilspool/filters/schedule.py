"""The filter that waits for a permit."""

from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from returns.result import Failure, Result, Success

from trefoilspool.broker import Abandon, Acquire, BrokerTask, PermitResult
from trefoilspool.errors import CallerGoneError
from trefoilspool.filter import ClaimedJob, Filter, Final, PermittedJob

__all__ = ['Schedule']

GONE_POLL_S = 0.1


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
        gone = message.job.arrival.gone
        while True:
            try:
                found = future.result(GONE_POLL_S)
            except FutureTimeoutError:
                if gone() and future.cancel():
                    self.broker.post(Abandon(ask.request))
                    return Failure(CallerGoneError('the caller hung up'))
                continue
            break
        if isinstance(found, Success):
            return Success(PermittedJob(message, found.unwrap()))
        return Failure(found.failure())
