"""Routing and authentication of callers' requests, and their responses."""

import json
import random
import threading
from collections.abc import Callable
from typing import NamedTuple

import logbook
from returns.result import Failure, Result, Success

from trefoilspool import clock
from trefoilspool.callerrors import UnknownRouteError
from trefoilspool.dialect import CallerRequest
from trefoilspool.errors import CutResponseError
from trefoilspool.filter import Response
from trefoilspool.fingerprint import request_fingerprint
from trefoilspool.problems import (
    BodyTooLargeError,
    CallerGoneError,
    MayHaveRunError,
    NotReadyError,
    OverloadedError,
    Problem,
    UnauthorizedError,
)
from trefoilspool.responsechunks import StartedChunks, TrackedChunks
from trefoilspool.routedrequests import RoutedRequest
from trefoilspool.routing import Configuration, Route, Workspace
from trefoilspool.serving import RequestServer
from trefoilspool.telemetry import Metrics, log_decision

__all__ = ['Arrival', 'Gateway', 'problem_response']

STARTING_RETRY_AFTER_S = 0.5
LEAVING_RETRY_AFTER_S = 0.1  # the retry reaches another host
BUSY_RETRY_AFTER_S = 0.3

logger = logbook.Logger('gateway')


class Arrival(NamedTuple):
    """How a request arrived.

    Attributes
    ----------
    read_at : float
        When it had been read whole, in monotonic seconds.
    overdue : bool
        Whether no thread became free for it in time.
    client_disconnected : callable
        Returns whether the caller has closed its connection.
    """

    read_at: float
    overdue: bool
    client_disconnected: Callable[[], bool]


class ReceivedRequest(NamedTuple):
    """A request with the configuration in force when it arrived.

    Attributes
    ----------
    queued_s : float
        Seconds for which the request waited for a thread.
    """

    caller_request: CallerRequest
    arrival: Arrival
    queued_s: float
    configuration: Configuration


class MatchedRequest(NamedTuple):
    """A received request with its route."""

    received: ReceivedRequest
    route: Route


class Gateway:
    """Responds to callers' requests; safe to use from any thread.

    Parameters
    ----------
    request_server : RequestServer
        Serves routed requests.
    metrics : Metrics
        Counts rejected requests.

    Attributes
    ----------
    configuration : Configuration or None
        The configuration in force; None until one is read.
    draining : bool
        Whether this host is leaving; connections are then closed after each
        response.
    closed : bool
        Whether all requests are rejected.
    ending : bool
        Whether requests that still wait are ended with a response.
    open_count : int
        Number of requests whose response has not ended.
    """

    def __init__(self, request_server: RequestServer, metrics: Metrics) -> None:
        self.request_server = request_server
        self.metrics = metrics
        self.configuration: Configuration | None = None
        self.draining = False
        self.closed = False
        self.ending = False
        self.open_count = 0
        self.lock = threading.Lock()

    def handle(self, request: CallerRequest, arrival: Arrival) -> Response:
        """Return the response; a stream is relayed while it is consumed."""
        with self.lock:
            self.open_count += 1
        arrival = arrival._replace(
            client_disconnected=self.or_ending(arrival.client_disconnected)
        )
        try:
            response = self.respond(request, arrival)
        except Exception:
            response = self.fail(
                request.request_id,
                OverloadedError(
                    'not run: this host failed', BUSY_RETRY_AFTER_S
                ),
            )
        if self.draining:
            response = response._replace(
                headers=without_content_length(response.headers)
            )
        return response._replace(
            chunks=TrackedChunks(
                request.request_id, response.chunks, self.on_end
            )
        )

    def respond(self, request: CallerRequest, arrival: Arrival) -> Response:
        """Route, authenticate and serve a request."""
        configuration = self.configuration
        if self.closed:
            return self.reject(
                request.request_id,
                NotReadyError('this host is leaving', LEAVING_RETRY_AFTER_S),
            )
        if configuration is None:
            return self.reject(
                request.request_id,
                NotReadyError(
                    'this host has not read a configuration yet',
                    STARTING_RETRY_AFTER_S,
                ),
            )
        queued_s = clock.now() - arrival.read_at
        if arrival.overdue:
            return self.reject(
                request.request_id,
                OverloadedError(
                    f'no thread became free in {queued_s:.3f} s',
                    BUSY_RETRY_AFTER_S,
                ),
            )
        received = ReceivedRequest(request, arrival, queued_s, configuration)
        routed = find_route(received).bind(authenticate)
        if isinstance(routed, Failure):
            return self.reject(request.request_id, routed.failure())
        return self.serve(routed.unwrap())

    def serve(self, routed: RoutedRequest) -> Response:
        """Serve a routed request up to the first bytes of its response."""
        try:
            return self.started_response(routed)
        except CutResponseError as error:
            # Nothing of the response has been sent, so it can be another one.
            return problem_response(MayHaveRunError(str(error)))
        except Exception:
            return self.fail(
                routed.caller_request.request_id,
                MayHaveRunError('this host failed while it served the request'),
            )

    def started_response(self, routed: RoutedRequest) -> Response:
        """Return the response, whose first bytes have been received.

        Raises
        ------
        CutResponseError
            When a stream was cut before an event that the caller lacks.
        """
        served = self.request_server.serve(routed)
        if isinstance(served, Failure):
            return problem_response(self.caller_problem(served.failure()))
        response: Response = served.unwrap()
        first = next(response.chunks, b'')
        return response._replace(chunks=StartedChunks(first, response.chunks))

    def or_ending(
        self, client_disconnected: Callable[[], bool]
    ) -> Callable[[], bool]:
        """Return a check that is also true once all requests are ended."""
        return lambda: self.ending or client_disconnected()

    def caller_problem(self, problem: Problem) -> Problem:
        """Return the problem as callers get it.

        One that this host's end has taken for a disconnect may have run.
        """
        if self.ending and isinstance(problem, CallerGoneError):
            return MayHaveRunError('this host ends')
        return problem

    def fail(self, request_id: str, problem: Problem) -> Response:
        """Log the exception being handled and return its response."""
        logger.exception('request_failed', extra={'request': request_id})
        self.metrics.count('trefoilspool_failed_total')
        return problem_response(problem)

    def reject(self, request_id: str, problem: Problem) -> Response:
        """Log a request that is not served and return its response."""
        log_decision(
            'reject',
            request_id,
            reason=problem.slug,
            detail=problem.detail,
            version=self.version,
        )
        self.metrics.count(
            f'trefoilspool_rejected_total{{reason="{problem.slug}"}}',
        )
        return problem_response(problem)

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 if none."""
        return self.configuration.version if self.configuration else 0

    def on_end(self) -> None:
        """Stop counting a request as open."""
        with self.lock:
            self.open_count -= 1


def find_route(received: ReceivedRequest) -> Result[MatchedRequest, Problem]:
    """Return the request with its route, or the problem (404 or 413)."""
    request = received.caller_request
    limits = received.configuration.limits
    if len(request.body) > limits.max_body_bytes:
        return Failure(
            BodyTooLargeError(
                f'the body has {len(request.body)} bytes; at most '
                f'{limits.max_body_bytes} are allowed',
            )
        )
    route = received.configuration.routes.find(request.authority, request.path)
    if route is None:
        return Failure(
            UnknownRouteError(
                f'no route matches {request.authority}{request.path}',
            )
        )
    return Success(MatchedRequest(received, route))


def authenticate(matched: MatchedRequest) -> Result[RoutedRequest, Problem]:
    """Return the request with its workspace, or the problem (401)."""
    received, route = matched
    arrival = received.arrival
    configuration = received.configuration
    request = received.caller_request
    workspace: Workspace | None = configuration.workspaces_by_key.get(
        request.token
    )
    if workspace is None and configuration.workspaces:
        if not route.anonymous:
            return Failure(UnauthorizedError('the key is not known'))
    timeout_s = min(request.remaining_s, route.timeout_s)
    tokens = request.prompt_tokens + request.output_tokens
    workspace_name = workspace.name if workspace else ''
    return Success(
        RoutedRequest(
            caller_request=request,
            route=route,
            service=route.choose_service(random.random()),
            workspace=workspace_name,
            rank=configuration.rank(route, workspace),
            charge=workspace.charge(tokens) if workspace else 0,
            arrived_at=arrival.read_at,
            deadline=arrival.read_at + timeout_s,
            client_disconnected=arrival.client_disconnected,
            version=configuration.version,
            fingerprint=request_fingerprint(request, workspace_name),
            queued_s=received.queued_s,
        )
    )


def without_content_length(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Drop Content-Length, so that waitress closes the connection."""
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() != 'content-length'
    )


def problem_response(problem: Problem) -> Response:
    """Return the response that reports a problem to the caller."""
    body = json.dumps(problem.document()).encode()
    headers = [
        ('Content-Type', 'application/problem+json'),
        ('Content-Length', str(len(body))),
    ]
    if problem.retry_after is not None:
        headers.append(('Retry-After', f'{problem.retry_after:.2f}'))
    return Response(problem.status, tuple(headers), iter((body,)))
