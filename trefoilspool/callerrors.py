"""Problems that occur only for routed requests."""

from trefoilspool.fingerprint import described
from trefoilspool.outcome import Outcome
from trefoilspool.problems import (
    DeadlineError,
    OverloadedError,
    Problem,
)

__all__ = [
    'DeadlineAfterSendError',
    'MalformedCallError',
    'OverLimitError',
    'QuarantinedError',
    'UnknownOriginError',
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


class QuarantinedError(OverloadedError):
    """Endpoints end under the request, or a part of its prompt.

    Parameters
    ----------
    part : str
        Id of either; empty if only the home host knows it yet.
    retry_after : float
        Seconds after which the caller should retry.
    """

    slug = 'quarantined'

    def __init__(self, part: str, retry_after: float) -> None:
        super().__init__(
            f'no slot: endpoints end under {described(part)}', retry_after
        )


class MalformedCallError(Problem):
    """A header of the request has a value that cannot be used."""

    status = 400
    slug = 'malformed_request'


class DeadlineAfterSendError(DeadlineError):
    """The deadline passed after the request was sent."""

    slug = 'deadline_after_send'
    outcome = Outcome.may_have_run


class UnknownOriginError(OverloadedError):
    """It is not known which software began the stream to be taken up.

    Parameters
    ----------
    resumes : str
        Id of the attempt that brought the first event; empty if not given.
    retry_after : float
        Seconds after which the caller should retry.
    """

    slug = 'unknown_origin'

    def __init__(self, resumes: str, retry_after: float) -> None:
        super().__init__(
            f'not run: the software version that began {resumes!r} is not '
            'known, and it may not go on at another',
            retry_after,
        )
