"""The outcomes of a request that are reported to the caller."""

from enum import StrEnum

__all__ = ['Outcome']


class Outcome(StrEnum):
    """Final outcome of a request.

    Attributes
    ----------
    completed
        The whole response was delivered.
    not_run
        No byte of the request reached an endpoint.
    failed
        The endpoint responded with an error.
    may_have_run
        The request was sent and its result is unknown.
    interrupted
        The request was cancelled after dispatch and will not be run again.
    """

    completed = 'completed'
    not_run = 'not_run'
    failed = 'failed'
    may_have_run = 'may_have_run'
    interrupted = 'interrupted'
