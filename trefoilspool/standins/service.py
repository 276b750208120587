"""A stand-in for a plain HTTP service, such as orders or registration."""

import time
from collections.abc import Callable, Mapping
from typing import ClassVar

from trefoilspool.options import StandinOptions
from trefoilspool.standin import Request, Response, json_response
from trefoilspool.standins.endpoint import EndpointStandin

__all__ = ['ServiceStandin']

HTTP_INTERNAL_SERVER_ERROR = 500


class ServiceStandin(EndpointStandin):
    """Runs each request and records it in a journal.

    Faults: ``work_s`` is the run time of a request in seconds; ``fail`` runs
    a request and returns 500; ``leaving`` refuses new requests.
    """

    fault_defaults: ClassVar[Mapping[str, float]] = {
        'work_s': 0,
        'fail': 0,
        'leaving': 0,
    }

    def __init__(self, options: StandinOptions) -> None:
        super().__init__(options)
        self.journal: list[dict[str, object]] = []
        self.running = 0

    def documents(self, request: Request) -> Mapping[str, Callable[[], object]]:
        """Return the load and the journal by their paths."""
        return {
            '/load': lambda: {
                'running': self.running,
                'waiting': 0,
                'leaving': bool(self.faults['leaving']),
            },
            '/journal': lambda: self.journal,
        }

    def run(self, request: Request) -> Response:
        """Run a request and return its number in the journal."""
        with self.lock:
            number = len(self.journal)
            self.running += 1
            self.journal.append(
                {
                    'request': request.header('X-Request-Id'),
                    'attempt': request.header('X-Attempt'),
                    'query': request.query,
                    'body': request.body.decode(),
                    'time': time.time(),
                }
            )
        time.sleep(self.faults['work_s'])
        with self.lock:
            self.running -= 1
        if self.faults['fail']:
            return json_response(
                {'error': 'failed'}, HTTP_INTERNAL_SERVER_ERROR
            )
        return json_response(
            {
                'service': self.options.name,
                'number': number,
                'received': request.body.decode(),
            }
        )
