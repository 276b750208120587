"""A stand-in for the append-only log service."""

import time
from collections.abc import Mapping
from typing import ClassVar

from trefoilspool.errors import TrimmedError
from trefoilspool.options import StandinOptions
from trefoilspool.platforms.memory import MemoryLog
from trefoilspool.standin import Reply, Request, Standin, json_reply

__all__ = ['LogStandin']

HTTP_CREATED = 201
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_TOO_MANY = 429
HTTP_LOST = 504
BURST_S = 0.5


class LogStandin(Standin):
    """Streams in memory.

    Faults: ``down`` and ``slow_s``, as for all; ``lose_answers`` appends
    and answers 504; ``delay_appends_s`` answers 504 at once and appends
    later.
    """

    fault_names: ClassVar[Mapping[str, float]] = {
        'lose_answers': 0,
        'delay_appends_s': 0,
    }

    def __init__(self, options: StandinOptions) -> None:
        super().__init__(options)
        self.log = MemoryLog(options.retention)
        self.tokens = options.rate * BURST_S
        self.refilled = time.monotonic()
        self.appends = 0

    def reply(self, request: Request) -> Reply:
        """Append or read."""
        if request.path == '/stats':
            return json_reply({'appends': self.appends})
        if not request.path.startswith('/streams/'):
            return json_reply({'error': 'no such path'}, HTTP_NOT_FOUND)
        stream = request.path.removeprefix('/streams/')
        if request.method == 'POST':
            return self.append(stream, request.body.decode())
        return self.read(stream, request)

    def append(self, stream: str, body: str) -> Reply:
        """Append within the rate."""
        with self.lock:
            if not self.take_token():
                return json_reply({'error': 'rate'}, HTTP_TOO_MANY)
        if self.faults['delay_appends_s']:
            time.sleep(self.faults['delay_appends_s'])
        with self.lock:
            offset = self.log.append(stream, body)
            self.appends += 1
        if self.faults['lose_answers'] or self.faults['delay_appends_s']:
            return json_reply({'error': 'lost'}, HTTP_LOST)
        return json_reply({'offset': offset}, HTTP_CREATED)

    def take_token(self) -> bool:
        """Take one append from the rate's bucket."""
        now = time.monotonic()
        earned = (now - self.refilled) * self.options.rate
        self.tokens = min(self.options.rate * BURST_S, self.tokens + earned)
        self.refilled = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def read(self, stream: str, request: Request) -> Reply:
        """Read a page."""
        start = int(request.query.get('from', 0))
        limit = int(request.query.get('limit', 1))
        try:
            with self.lock:
                page = self.log.read(stream, start, limit)
        except TrimmedError as error:
            return json_reply({'first': error.first}, HTTP_GONE)
        return json_reply(page._asdict())
