"""The filter that authenticates the caller's workspace."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from trefoilspool.filter import Arrival, Caller, Filter, FinalResponse
from trefoilspool.problems import (
    HeaderTooLargeError,
    UnauthorizedError,
)
from trefoilspool.tree import Tree

__all__ = ['Authenticate']

BEARER_PREFIX = 'Bearer '
MAX_HEADER_CHARS = 4096


class Authenticate(Filter[Arrival, Caller]):
    """Looks up the bearer token's hash in the settings tree.

    Parameters
    ----------
    tree : callable
        Returns the tree in force.
    """

    def __init__(self, tree: Callable[[], Tree]) -> None:
        self.tree = tree

    def apply(self, message: Arrival) -> Result[Caller, FinalResponse]:
        """Return the caller, or a problem with status 401 or 431."""
        for name, header in message.headers.items():
            if len(header) > MAX_HEADER_CHARS:
                return Failure(
                    HeaderTooLargeError(
                        f'header {name} has {len(header)} characters; '
                        f'at most {MAX_HEADER_CHARS} are accepted',
                    )
                )
        credentials = message.headers.get('authorization', '')
        if not credentials.startswith(BEARER_PREFIX):
            return Failure(UnauthorizedError('a bearer token is required'))
        tree = self.tree()
        workspace = tree.workspace_of(credentials.removeprefix(BEARER_PREFIX))
        if workspace is None:
            return Failure(UnauthorizedError('the bearer token is unknown'))
        return Success(Caller(message, workspace, tree))
