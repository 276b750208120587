"""Typed errors, one class for each failure."""

from collections.abc import Mapping
from typing import ClassVar

from trefoilspool.outcome import Outcome

__all__ = [
    'BadBodyError',
    'BadRecordError',
    'CutResponseError',
    'EndpointRefusedConnectionError',
    'EndpointReplacedError',
    'BadTimeoutError',
    'BodyTooLargeError',
    'CallerGoneError',
    'ClaimHeldError',
    'DeadlineError',
    'EndpointFailedError',
    'ConnectFailedError',
    'EndpointError',
    'EndpointRefusedError',
    'ForbiddenServiceError',
    'SendFailedError',
    'StreamCutError',
    'HeaderTooLargeError',
    'InterruptedRequestError',
    'LogError',
    'LogLostAnswerError',
    'LogOutageError',
    'LogRejectedError',
    'MayHaveRunError',
    'NotReadyError',
    'OptionError',
    'OverloadedError',
    'Problem',
    'SettingsError',
    'SettingsConflictError',
    'StoreRestoredError',
    'TicketError',
    'BoundError',
    'TraceError',
    'TrefoilspoolError',
    'TrimmedError',
    'UnauthorizedError',
    'UnknownKindError',
    'UnknownPathError',
    'ClaimsUnavailableError',
]


class TrefoilspoolError(Exception):
    """Base class of the errors that this package raises."""


class OptionError(TrefoilspoolError):
    """A process setting has a value that is not allowed.

    Parameters
    ----------
    option : str
        Name of the flag.
    bad : object
        The rejected value.
    allowed : str
        Values that the option accepts.
    """

    def __init__(self, option: str, bad: object, allowed: str) -> None:
        super().__init__(f'--{option}: {bad!r} is not allowed; use {allowed}')
        self.option = option


class SettingsError(TrefoilspoolError):
    """An edit names a path, key or value that the schema rejects."""

    def __init__(self, path: str, key: str, bad: object, allowed: str) -> None:
        super().__init__(
            f'{path}: {key} = {bad!r} is not allowed; use {allowed}',
        )
        self.path = path
        self.key = key


class SettingsConflictError(TrefoilspoolError):
    """An edit accepted after the base changed the same value."""

    def __init__(self, path: str, key: str) -> None:
        super().__init__(
            f'{path}: {key} was changed by another edit since the base',
        )
        self.path = path
        self.key = key


class BoundError(TrefoilspoolError):
    """A benchmark measured more than its bound."""


class TraceError(TrefoilspoolError):
    """A file is not a trace in the expected schema."""


class LogError(TrefoilspoolError):
    """Base class of the failures of the log service."""


class LogOutageError(LogError):
    """A platform service could not be reached, or a read of it failed.

    An append that raises this error has appended nothing.
    """


class LogLostAnswerError(LogError):
    """The append may have taken effect; only a read can show whether."""


class LogRejectedError(LogError):
    """The log service refused the append, so nothing was appended."""


class TrimmedError(LogError):
    """The requested offset is older than the first that is kept.

    Parameters
    ----------
    first : int
        The first offset that the stream still holds.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f'records before offset {first} are trimmed')
        self.first = first


class StoreRestoredError(LogError):
    """The store was restored from a backup, so known offsets are void.

    Parameters
    ----------
    era : int
        The era of the store's response.
    """

    def __init__(self, era: int) -> None:
        super().__init__(f'the store is in era {era}')
        self.era = era


class BadRecordError(TrefoilspoolError):
    """A record of the platform has a field that cannot be used.

    Parameters
    ----------
    record : str
        Key of the record.
    field : str
        Name of the field, empty for the whole record.
    bad : object
        The rejected value.
    allowed : str
        Values that the field accepts.
    """

    def __init__(
        self,
        record: str,
        field: str,
        bad: object,
        allowed: str,
    ) -> None:
        super().__init__(
            f'{record}: {field or "record"} = {bad!r} cannot be used; '
            f'it must be {allowed}',
        )
        self.field = field


class CutResponseError(TrefoilspoolError, OSError):
    """A response is cut short: its connection closes without an end marker."""


class EndpointError(TrefoilspoolError):
    """Base class of the failures between a host and an endpoint."""


class ConnectFailedError(EndpointError):
    """No connection was made, so nothing was sent."""


class EndpointRefusedConnectionError(ConnectFailedError):
    """Nothing listens at the endpoint's address."""


class SendFailedError(EndpointError):
    """The request was sent, in part or whole, but no response was received."""


class StreamCutError(EndpointError):
    """The response ended before it was complete."""


class EndpointReplacedError(StreamCutError):
    """The attempt was given up, as another one has replaced it."""


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
