"""Callers' connections, as waitress serves them."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from typing import Any

from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from trefoilspool.requestparser import StrictParser

__all__ = ['Application', 'CallerChannel', 'PageChannel']


class Application(ABC):
    """A WSGI application that knows the ids of requests.

    The environment of a request holds ``trefoilspool.read_at``, when it had been
    read whole, in monotonic seconds, and ``trefoilspool.overdue``, whether it
    must be refused because no thread became free for it.
    """

    @abstractmethod
    def __call__(
        self, environ: Mapping[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Return the body of the response to a request."""


class CallerTask(WSGITask):  # type: ignore[misc]
    """Hands a request to the application."""

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment of the request."""
        environ: dict[str, Any] = super().get_environment()
        environ['trefoilspool.read_at'] = self.request.read_at
        environ['trefoilspool.overdue'] = self.request.overdue
        return environ


class CallerChannel(HTTPChannel):  # type: ignore[misc]
    """A caller's connection, parsed by ``StrictParser``."""

    parser_class = StrictParser
    task_class = CallerTask
    never_waits = False

    def refuse(self) -> None:
        """Answer the next request without waiting for anything."""
        self.requests[0].overdue = True
        self.service()


class PageChannel(CallerChannel):
    """A connection to a listener whose pages need nothing outside the process.

    The load balancer and other hosts get them also while all threads wait.
    """

    never_waits = True
