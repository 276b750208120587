"""The filter that sends a request to its endpoint."""

import json
import time
from collections.abc import Callable, Mapping

from returns.result import Failure, Result, Success

from trefoilspool import events
from trefoilspool.broker import BrokerTask
from trefoilspool.endpoint import Endpoint, EndpointRequest, EndpointStream
from trefoilspool.errors import (
    ConnectFailedError,
    DeadlineError,
    EndpointError,
    EndpointFailedError,
    EndpointRefusedError,
    InterruptedRequestError,
    MayHaveRunError,
    Problem,
)
from trefoilspool.filter import (
    ClaimedJob,
    Filter,
    Final,
    Job,
    OpenAnswer,
    PermittedJob,
)
from trefoilspool.filters.claim import boot_time
from trefoilspool.permit import Permit
from trefoilspool.telemetry import log_decision
from trefoilspool.watch import Unwatch, Watch, WatchTask

__all__ = ['Dispatch', 'RevokedError', 'release']

# A plain service's 4xx is its answer; a model's carries no tokens.
ERRORS_FROM = {'model': 400, 'service': 500}
JSON = 'application/json'
RETRY_S = 1.0
READ_SLACK_S = 1.0  # the watch task ends a read at its deadline before this


class RevokedError(Problem):
    """The permit was revoked before it was used, so nothing was sent."""

    status = 503
    slug = 'revoked'


class Dispatch(Filter[PermittedJob, OpenAnswer]):
    """Connects, checks that the request may still go, and sends it.

    Parameters
    ----------
    endpoints : callable
        Returns the endpoint of a name, or None.
    broker : BrokerTask
        Takes permits back.
    watch : WatchTask
        Ends attempts whose caller is gone or whose deadline has passed.
    """

    def __init__(
        self,
        endpoints: Callable[[str], Endpoint | None],
        broker: BrokerTask,
        watch: WatchTask,
    ) -> None:
        self.endpoints = endpoints
        self.broker = broker
        self.watch = watch

    def apply(self, message: PermittedJob) -> Result[OpenAnswer, Final]:
        """Return the open answer, or why there is none."""
        permit = message.permit
        endpoint = self.endpoints(permit.endpoint)
        problem = expired(message.claimed)
        if problem is None and endpoint is None:
            problem = EndpointRefusedError(
                f'endpoint {permit.endpoint} is not listed',
                RETRY_S,
            )
        if problem is None and not permit.use():
            problem = RevokedError('the permit was revoked', RETRY_S)
        if problem is not None or endpoint is None:
            self.give_back(permit, events.Ending.cancelled)
            return Failure(problem)  # type: ignore[arg-type]
        return self.send(message, endpoint)

    def send(
        self,
        message: PermittedJob,
        endpoint: Endpoint,
    ) -> Result[OpenAnswer, Final]:
        """Open the answer and judge its head."""
        claimed, permit = message
        job = claimed.job
        job.progress.attempts += 1
        job.progress.endpoint = permit.endpoint
        log_decision(
            'dispatch',
            job.arrival.request_id,
            endpoint=permit.endpoint,
            tier=job.ask.tier,
            attempt=job.progress.attempts,
            resume_at=job.progress.relayed,
        )
        left = job.ask.deadline - time.monotonic()
        try:
            stream = endpoint.open(
                endpoint_request(job),
                left + READ_SLACK_S,
                lambda abort: self.connected(message, abort),
            )
        except ConnectFailedError as error:
            self.give_back(permit, events.Ending.refused)
            return Failure(EndpointRefusedError(str(error), RETRY_S))
        except EndpointError as error:
            self.give_back(permit, failed_ending(permit))
            return Failure(self.sent_problem(message, error))
        except Exception:
            self.give_back(permit, events.Ending.broken)
            raise
        return self.judge(message, stream)

    def connected(
        self,
        message: PermittedJob,
        abort: Callable[[], None],
    ) -> None:
        """Note that bytes are about to be sent, and how to stop them."""
        job = message.claimed.job
        job.progress.sent_attempts += 1
        message.permit.abort = abort
        self.watch.post(
            Watch(
                job.ask.request.number,
                job.arrival.gone,
                job.ask.deadline,
                abort,
            )
        )
        if message.permit.revoked:
            abort()

    def sent_problem(
        self,
        message: PermittedJob,
        error: EndpointError,
    ) -> Problem:
        """Return what is known of a request that got no answer."""
        if message.permit.revoked:
            return InterruptedRequestError(
                'cancelled for a request of a higher tier',
                RETRY_S,
            )
        message.claimed.job.progress.result_unknown = True
        return MayHaveRunError(str(error))

    def judge(
        self,
        message: PermittedJob,
        stream: EndpointStream,
    ) -> Result[OpenAnswer, Final]:
        """Turn an error status into a problem."""
        opened = OpenAnswer(message.claimed, message.permit, stream)
        target = message.claimed.job.place.settings.target
        if stream.status < ERRORS_FROM[target]:
            return Success(opened)
        stream.close()
        endpoint = message.permit.endpoint
        detail = f'endpoint {endpoint} answered {stream.status}'
        if stream.not_run:
            message.claimed.job.progress.sent_attempts -= 1
            self.give_back(message.permit, events.Ending.refused)
            return Failure(EndpointRefusedError(detail, RETRY_S))
        self.give_back(message.permit, events.Ending.failed)
        return Failure(EndpointFailedError(detail))

    def give_back(self, permit: Permit, ending: events.Ending) -> None:
        """Release a permit that gave no answer."""
        self.watch.post(Unwatch(permit.ask.request.number))
        self.broker.post(release(permit, ending))


def release(permit: Permit, ending: events.Ending) -> events.Release:
    """Return a release without timings."""
    return events.Release(permit.ask.request, ending, 0, 0, 0, 0, 0)


def failed_ending(permit: Permit) -> events.Ending:
    """Return how a permit ended whose request got no answer."""
    if permit.revoked or time.monotonic() >= permit.ask.deadline:
        return events.Ending.cancelled
    return events.Ending.broken


def expired(claimed: ClaimedJob) -> Problem | None:
    """Return a problem if the deadline or the key's lifetime has passed."""
    job = claimed.job
    if time.monotonic() >= job.ask.deadline:
        return DeadlineError('the deadline passed before dispatch', RETRY_S)
    age = boot_time() - claimed.claimed_at
    if job.once and age >= job.place.settings.key_lifetime_s:
        return DeadlineError('the key expired before dispatch', RETRY_S)
    return None


def endpoint_request(job: Job) -> EndpointRequest:
    """Return the request that an endpoint gets."""
    headers: Mapping[str, str] = {
        'Content-Type': job.arrival.headers.get('content-type') or JSON,
        'X-Request-Id': job.arrival.request_id,
    }
    body = job.arrival.body
    if job.place.settings.target == 'model':
        body = json.dumps(
            {
                **job.body,
                'model': job.place.settings.cell,
                'stream': True,
                'max_tokens': job.ask.output_tokens,
            }
        ).encode()
    return EndpointRequest(
        job.arrival.method,
        job.arrival.target,
        body,
        headers,
        f'{job.arrival.request_id}/{job.progress.attempts}',
        job.progress.relayed,
    )
