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
    EndpointError,
)
from trefoilspool.filter import (
    ClaimedJob,
    Filter,
    FinalResponse,
    Job,
    OpenResponse,
    PermittedJob,
)
from trefoilspool.filters.claim import time_since_boot
from trefoilspool.permit import Permit
from trefoilspool.problems import (
    DeadlineError,
    EndpointFailedError,
    EndpointRefusedError,
    InterruptedRequestError,
    MayHaveRunError,
    Problem,
)
from trefoilspool.telemetry import log_decision
from trefoilspool.watch import Unwatch, Watch, WatchTask

__all__ = ['Dispatch', 'RevokedError', 'make_release']

# Status from which a response is an error, by target. A service's 4xx is
# relayed to the caller; a model's 4xx carries no tokens.
MIN_ERROR_STATUS = {'model': 400, 'service': 500}
JSON_TYPE = 'application/json'
RETRY_AFTER_S = 1.0
READ_SLACK_S = 1.0  # the watch task aborts a read at its deadline first


class RevokedError(Problem):
    """The permit was revoked or expired before use, so nothing was sent."""

    status = 503
    slug = 'revoked'


class Dispatch(Filter[PermittedJob, OpenResponse]):
    """Checks that the request is still valid, connects and sends it.

    Parameters
    ----------
    endpoints : callable
        Returns the endpoint of a name, or None.
    broker : BrokerTask
        Takes released permits.
    watch : WatchTask
        Aborts attempts at a disconnect or the deadline.
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

    def apply(
        self, message: PermittedJob
    ) -> Result[OpenResponse, FinalResponse]:
        """Return the open response, or why there is none."""
        permit = message.permit
        endpoint = self.endpoints(permit.endpoint)
        problem = expiry_problem(message.claimed)
        if problem is None and endpoint is None:
            problem = EndpointRefusedError(
                f'this host has no address for endpoint {permit.endpoint}',
                RETRY_AFTER_S,
            )
        if problem is None and not permit.use():
            problem = RevokedError(
                f'the permit for endpoint {permit.endpoint} was revoked or '
                f'expired before use',
                RETRY_AFTER_S,
            )
        if problem is not None or endpoint is None:
            self.release_permit(permit, events.Ending.cancelled)
            return Failure(problem)  # type: ignore[arg-type]
        return self.send(message, endpoint)

    def send(
        self,
        message: PermittedJob,
        endpoint: Endpoint,
    ) -> Result[OpenResponse, FinalResponse]:
        """Send the request and check the response's head."""
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
            resume_at=job.progress.relayed_tokens,
        )
        remaining_s = job.ask.deadline - time.monotonic()
        try:
            stream = endpoint.open(
                endpoint_request(job),
                remaining_s + READ_SLACK_S,
                lambda abort: self.on_connected(message, abort),
            )
        except ConnectFailedError as error:
            self.release_permit(permit, events.Ending.refused)
            return Failure(EndpointRefusedError(str(error), RETRY_AFTER_S))
        except EndpointError as error:
            self.release_permit(permit, ending_without_response(permit))
            return Failure(self.no_response_problem(message, error))
        except Exception:
            self.release_permit(permit, events.Ending.broken)
            raise
        return self.check_status(message, stream)

    def on_connected(
        self,
        message: PermittedJob,
        abort: Callable[[], None],
    ) -> None:
        """Count the attempt as sent and register its abort function.

        The endpoint adapter calls this before it sends the first byte.
        """
        job = message.claimed.job
        job.progress.sent_attempts += 1
        message.permit.abort = abort
        self.watch.post(
            Watch(
                job.ask.request.number,
                job.arrival.client_disconnected,
                job.ask.deadline,
                abort,
            )
        )
        if message.permit.revoked:
            abort()

    def no_response_problem(
        self,
        message: PermittedJob,
        error: EndpointError,
    ) -> Problem:
        """Return the problem of a sent request that got no response."""
        if message.permit.revoked:
            return InterruptedRequestError(
                'cancelled for a request of a higher tier',
                RETRY_AFTER_S,
            )
        message.claimed.job.progress.result_unknown = True
        return MayHaveRunError(str(error))

    def check_status(
        self,
        message: PermittedJob,
        stream: EndpointStream,
    ) -> Result[OpenResponse, FinalResponse]:
        """Return the open response, or the problem of an error status."""
        opened = OpenResponse(message.claimed, message.permit, stream)
        target = message.claimed.job.place.settings.target
        if stream.status < MIN_ERROR_STATUS[target]:
            return Success(opened)
        stream.close()
        endpoint = message.permit.endpoint
        detail = f'endpoint {endpoint} responded with status {stream.status}'
        if stream.not_run:
            message.claimed.job.progress.sent_attempts -= 1
            self.release_permit(message.permit, events.Ending.refused)
            return Failure(EndpointRefusedError(detail, RETRY_AFTER_S))
        self.release_permit(message.permit, events.Ending.failed)
        return Failure(EndpointFailedError(detail))

    def release_permit(self, permit: Permit, ending: events.Ending) -> None:
        """Release the permit of an attempt that opened no response."""
        self.watch.post(Unwatch(permit.ask.request.number))
        self.broker.post(make_release(permit, ending))


def make_release(permit: Permit, ending: events.Ending) -> events.Release:
    """Return a release without timings."""
    return events.Release(permit.ask.request, ending, 0, 0, 0, 0, 0)


def ending_without_response(permit: Permit) -> events.Ending:
    """Return how the permit of a request without response ended."""
    if permit.revoked or time.monotonic() >= permit.ask.deadline:
        return events.Ending.cancelled
    return events.Ending.broken


def expiry_problem(claimed: ClaimedJob) -> Problem | None:
    """Return a problem if the deadline or the key's lifetime has passed."""
    job = claimed.job
    if time.monotonic() >= job.ask.deadline:
        return DeadlineError(
            'the deadline passed before dispatch', RETRY_AFTER_S
        )
    age_s = time_since_boot() - claimed.claimed_at
    if job.at_most_once and age_s >= job.place.settings.key_lifetime_s:
        return DeadlineError(
            f'the idempotency key expired before dispatch: claimed '
            f'{age_s:.1f} s ago, lifetime '
            f'{job.place.settings.key_lifetime_s} s',
            RETRY_AFTER_S,
        )
    return None


def endpoint_request(job: Job) -> EndpointRequest:
    """Return the request to send to an endpoint."""
    headers: Mapping[str, str] = {
        'Content-Type': job.arrival.headers.get('content-type') or JSON_TYPE,
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
        job.progress.relayed_tokens,
    )
