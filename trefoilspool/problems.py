"""Errors that callers are told of, one class for each."""

from collections.abc import Mapping
from typing import ClassVar

from trefoilspool.errors import TrefoilspoolError
from trefoilspool.outcome import Outcome

__all__ = [
    'BadBodyError',
    'BadTimeoutError',
    'BodyTooLargeError',
    'CallerGoneError',
    'ClaimHeldError',
    'ClaimsUnavailableError',
    'DeadlineError',
    'EndpointFailedError',
    'EndpointRefusedError',
    'ForbiddenServiceError',
    'HeaderTooLargeError',
    'InterruptedRequestError',
    'MayHaveRunError',
    'NotReadyError',
    'OverloadedError',
    'Problem',
    'TicketError',
    'UnauthorizedError',
    'UnknownKindError',
    'UnknownPathError',
]


class Problem(TrefoilspoolError):
    """A final response to a caller, sent as ``application/problem+json``.

    Parameters
    ----------
    detail : str
        Description of the failure, with names and values.
    retry_after : float or None
        Seconds after which the caller may retry.
    """

    status: ClassVar[int] = 500
    slug: ClassVar[str] = 'internal'
    outcome: ClassVar[Outcome] = Outcome.not_run

    def __init__(self, detail: str, retry_after: float | None = None) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after = retry_after

    def document(self) -> Mapping[str, object]:
        """Return the members of the problem document."""
        return {
            'type': f'urn:trefoilspool:problem:{self.slug}',
            'title': self.slug.replace('_', ' '),
            'status': self.status,
            'detail': self.detail,
            'outcome': self.outcome.value,
        }


class UnauthorizedError(Problem):
    """The bearer token is missing or unknown."""

    status = 401
    slug = 'unauthorized'


class ForbiddenServiceError(Problem):
    """The workspace has no such service or model."""

    status = 403
    slug = 'service_not_allowed'


class UnknownPathError(Problem):
    """No resource has this path."""

    status = 404
    slug = 'unknown_path'


class UnknownKindError(Problem):
    """The workspace has no such kind of request."""

    status = 400
    slug = 'unknown_kind'


class BadBodyError(Problem):
    """The body is not a JSON object of the expected shape."""

    status = 400
    slug = 'malformed_body'


class BodyTooLargeError(Problem):
    """The body exceeds the kind's limit."""

    status = 413
    slug = 'body_too_large'


class HeaderTooLargeError(Problem):
    """A header value exceeds its limit."""

    status = 431
    slug = 'header_too_large'


class BadTimeoutError(Problem):
    """``X-Request-Timeout`` is not a positive number of seconds."""

    status = 400
    slug = 'bad_timeout'


class TicketError(Problem):
    """The ticket cannot be used.

    It is malformed, has no valid signature, has expired or belongs to another
    workspace.
    """

    status = 400
    slug = 'bad_ticket'


class OverloadedError(Problem):
    """The request did not run, and the caller may retry.

    The reason is load, or that no endpoint or key is available yet.
    """

    status = 503
    slug = 'overloaded'


class DeadlineError(Problem):
    """The deadline has passed or cannot be met.

    Also used if the idempotency key expired before dispatch.
    """

    status = 504
    slug = 'deadline'


class NotReadyError(Problem):
    """The host cannot accept requests now.

    It is leaving, or its settings are not loaded or no longer confirmed.
    """

    status = 503
    slug = 'not_ready'


class ClaimsUnavailableError(Problem):
    """A key could not be claimed because the log service is unavailable."""

    status = 503
    slug = 'claims_unavailable'


class ClaimHeldError(Problem):
    """The key's first request is still in progress."""

    status = 409
    slug = 'in_progress'
    outcome = Outcome.may_have_run


class MayHaveRunError(Problem):
    """The request was sent, and its result is unknown."""

    status = 502
    slug = 'may_have_run'
    outcome = Outcome.may_have_run


class EndpointRefusedError(Problem):
    """The endpoint did not take the request, so nothing ran.

    It is unknown, could not be reached or refused the request.
    """

    status = 503
    slug = 'endpoint_refused'


class EndpointFailedError(Problem):
    """The endpoint responded with an error."""

    status = 502
    slug = 'endpoint_failed'
    outcome = Outcome.failed


class CallerGoneError(Problem):
    """The caller disconnected before the request was dispatched."""

    status = 499
    slug = 'caller_gone'


class InterruptedRequestError(Problem):
    """The request was cancelled while it ran, for one of a higher tier."""

    status = 503
    slug = 'interrupted'
    outcome = Outcome.interrupted
