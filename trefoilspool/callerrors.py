"""Problems that occur only for routed requests."""

from trefoilspool.errors import DeadlineError, Problem
from trefoilspool.outcome import Outcome

__all__ = [
    'DeadlineAfterSendError',
    'MalformedCallError',
    'OverLimitError',
    'UnknownRouteError',
]


class UnknownRouteError(Problem):
    """No route of the configuration in force matches."""

    status = 404
    slug = 'unknown_route'


class OverLimitError(Problem):
    """The workspace has reached its limit."""

    status = 429
    slug = 'over_limit'


class MalformedCallError(Problem):
    """A header of the request has a value that cannot be used."""

    status = 400
    slug = 'malformed_request'


class DeadlineAfterSendError(DeadlineError):
    """The deadline passed after the request was sent."""

    slug = 'deadline_after_send'
    outcome = Outcome.may_have_run
