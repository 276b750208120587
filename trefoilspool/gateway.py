"""The way of a caller's request to an endpoint and of the answer back."""

import json
import random
import threading
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

from returns.result import Failure, Result, Success

from trefoilspool.callerrors import UnknownRouteError
from trefoilspool.dialect import CallerRequest
from trefoilspool.errors import (
    BodyTooLargeError,
    NotReadyError,
    Problem,
    UnauthorizedError,
)
from trefoilspool.filter import Answer
from trefoilspool.routedrequests import RoutedRequest
from trefoilspool.routing import Configuration, Route, Workspace
from trefoilspool.serving import RequestServer
from trefoilspool.telemetry import Metrics, log_decision

__all__ = ['Gateway', 'refusal_answer']

START_RETRY_S = 0.5
LEAVING_RETRY_S = 0.1  # callers come back to another host


class Arrived(NamedTuple):
    """A call with the configuration that it meets."""

    call: CallerRequest
    arrived: float
    gone: Callable[[], bool]
    configuration: Configuration


class Routed(NamedTuple):
    """A call with its route."""

    arrived: Arrived
    route: Route


class Gateway:
    """Takes calls and returns answers; safe to use from any thread.

    Parameters
    ----------
    request_server : RequestServer
        Serves routed calls.
    metrics : Metrics
        Counts outcomes.
    """

    def __init__(self, request_server: RequestServer, metrics: Metrics) -> None:
        self.request_server = request_server
        self.metrics = metrics
        self.configuration: Configuration | None = None
        self.draining = False
        self.closed = False
        self.open = 0
        self.lock = threading.Lock()

    def handle(self, call: CallerRequest, gone: Callable[[], bool]) -> Answer:
        """Return the answer to a call; streams run while it is consumed."""
        arrived = time.monotonic()
        with self.lock:
            self.open += 1
        answer = self.answer(call, arrived, gone)
        if self.draining:
            answer = answer._replace(headers=without_length(answer.headers))
        return answer._replace(chunks=self.counted(answer.chunks))

    def answer(
        self,
        call: CallerRequest,
        arrived: float,
        gone: Callable[[], bool],
    ) -> Answer:
        """Pass a call through the filters."""
        configuration = self.configuration
        if self.closed:
            return self.refuse(
                call,
                NotReadyError('this host is leaving', LEAVING_RETRY_S),
            )
        if configuration is None:
            return self.refuse(
                call,
                NotReadyError(
                    'this host knows no configuration',
                    START_RETRY_S,
                ),
            )
        message = Arrived(call, arrived, gone, configuration)
        found = find_route(message).bind(identify)
        if isinstance(found, Failure):
            return self.refuse(call, found.failure())
        served = self.request_server.serve(found.unwrap())
        if isinstance(served, Failure):
            return refusal_answer(served.failure())
        answer: Answer = served.unwrap()
        return answer

    def refuse(self, call: CallerRequest, problem: Problem) -> Answer:
        """Answer a call that is not served."""
        log_decision(
            'reject',
            call.request_id,
            reason=problem.slug,
            detail=problem.detail,
            version=self.version,
        )
        self.metrics.count(
            f'trefoilspool_rejected_total{{reason="{problem.slug}"}}',
        )
        return refusal_answer(problem)

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self.configuration.version if self.configuration else 0

    def counted(self, chunks: Iterator[bytes]) -> Iterator[bytes]:
        """Yield the chunks, then count the call as closed."""
        try:
            yield from chunks
        finally:
            with self.lock:
                self.open -= 1


def find_route(message: Arrived) -> Result[Routed, Problem]:
    """Return the call's route, or 404."""
    call = message.call
    limits = message.configuration.limits
    if len(call.body) > limits.max_body_bytes:
        return Failure(
            BodyTooLargeError(
                f'the body has {len(call.body)} bytes; at most '
                f'{limits.max_body_bytes} are taken',
            )
        )
    route = message.configuration.table.find(call.authority, call.path)
    if route is None:
        return Failure(
            UnknownRouteError(
                f'no route matches {call.authority}{call.path}',
            )
        )
    return Success(Routed(message, route))


def identify(routed: Routed) -> Result[RoutedRequest, Problem]:
    """Return the order of the call's workspace, or 401."""
    message, route = routed
    configuration = message.configuration
    call = message.call
    workspace: Workspace | None = configuration.holders.get(call.token)
    if workspace is None and configuration.workspaces:
        if not route.anonymous:
            return Failure(UnauthorizedError('the key is not known'))
    left = min(call.left_s, route.timeout_s)
    tokens = call.prompt_tokens + call.output_tokens
    return Success(
        RoutedRequest(
            call=call,
            route=route,
            service=route.service_for(random.random()),
            workspace=workspace.name if workspace else '',
            rank=configuration.rank(route, workspace),
            charge=workspace.charge(tokens) if workspace else 0,
            arrived=message.arrived,
            deadline=message.arrived + left,
            gone=message.gone,
            version=configuration.version,
        )
    )


def without_length(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Leave out the length, so that the connection ends with the answer."""
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() != 'content-length'
    )


def refusal_answer(problem: Problem) -> Answer:
    """Return a final answer of this system's own."""
    body = json.dumps(problem.document()).encode()
    headers = [
        ('Content-Type', 'application/problem+json'),
        ('Content-Length', str(len(body))),
    ]
    if problem.retry_after is not None:
        headers.append(('Retry-After', f'{problem.retry_after:.2f}'))
    return Answer(problem.status, tuple(headers), iter((body,)))
