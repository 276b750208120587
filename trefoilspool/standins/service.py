"""A stand-in for a plain service, such as orders or registration."""

import time
from collections.abc import Callable, Mapping
from typing import ClassVar

from trefoilspool.options import StandinOptions
from trefoilspool.standin import Reply, Request, Standin, json_reply

__all__ = ['ServiceStandin']

HTTP_ERROR = 500
HTTP_NOT_FOUND = 404
HTTP_LEAVING = 503


class ServiceStandin(Standin):
    """Runs each request it gets, and keeps a journal of them.

    Faults: ``work_s`` makes each request take longer; ``fail`` runs it and
    answers 500; ``leaving`` refuses new work.
    """

    fault_names: ClassVar[Mapping[str, float]] = {
        'work_s': 0,
        'fail': 0,
        'leaving': 0,
    }

    def __init__(self, options: StandinOptions) -> None:
        super().__init__(options)
        self.journal: list[dict[str, object]] = []
        self.running = 0

    def reply(self, request: Request) -> Reply:
        """Report, or run a request."""
        pages: dict[str, Callable[[], object]] = {
            '/load': lambda: {
                'running': self.running,
                'waiting': 0,
                'leaving': bool(self.faults['leaving']),
            },
            '/journal': lambda: self.journal,
        }
        if request.path in pages:
            return json_reply(pages[request.path]())
        if request.method != 'POST':
            return json_reply({'error': 'no such path'}, HTTP_NOT_FOUND)
        if self.faults['leaving']:
            reply = json_reply({'error': 'leaving'}, HTTP_LEAVING)
            reply.headers = {'X-Request-Outcome': 'not_run'}
            return reply
        return self.run(request)

    def run(self, request: Request) -> Reply:
        """Run a request and answer with its number."""
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
            return json_reply({'error': 'failed'}, HTTP_ERROR)
        return json_reply(
            {
                'service': self.options.name,
                'number': number,
                'received': request.body.decode(),
            }
        )
