"""A stand-in for the append-only log service."""

import time
from collections.abc import Mapping
from typing import ClassVar

from trefoilspool.errors import TrimmedError
from trefoilspool.options import StandinOptions
from trefoilspool.platforms.memory import MemoryLog
from trefoilspool.standin import Request, Response, Standin, json_response

__all__ = ['LogStandin']

HTTP_CREATED = 201
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_TOO_MANY_REQUESTS = 429
HTTP_GATEWAY_TIMEOUT = 504
BUCKET_S = 0.5  # bucket capacity, in seconds of the append rate


class LogStandin(Standin):
    """Serves append-only streams that are kept in memory.

    Faults, besides the common ``down`` and ``slow_s``: ``lose_answers``
    appends and returns 504; ``delay_appends_s`` waits this many seconds,
    then appends and returns 504.
    """

    fault_defaults: ClassVar[Mapping[str, float]] = {
        'lose_answers': 0,
        'delay_appends_s': 0,
    }

    def __init__(self, options: StandinOptions) -> None:
        super().__init__(options)
        self.log = MemoryLog(options.retention)
        self.bucket_tokens = options.rate * BUCKET_S
        self.refilled_at = time.monotonic()
        self.append_count = 0

    def handle(self, request: Request) -> Response:
        """Append to a stream or read from it."""
        if request.path == '/stats':
            return json_response({'appends': self.append_count})
        if not request.path.startswith('/streams/'):
            return json_response({'error': 'no such path'}, HTTP_NOT_FOUND)
        stream = request.path.removeprefix('/streams/')
        if request.method == 'POST':
            return self.append(stream, request.body.decode())
        return self.read(stream, request)

    def append(self, stream: str, body: str) -> Response:
        """Append a record, or return 429 above the append rate."""
        with self.lock:
            if not self.take_token():
                return json_response({'error': 'rate'}, HTTP_TOO_MANY_REQUESTS)
        if self.faults['delay_appends_s']:
            time.sleep(self.faults['delay_appends_s'])
        with self.lock:
            offset = self.log.append(stream, body)
            self.append_count += 1
        if self.faults['lose_answers'] or self.faults['delay_appends_s']:
            return json_response({'error': 'lost'}, HTTP_GATEWAY_TIMEOUT)
        return json_response({'offset': offset}, HTTP_CREATED)

    def take_token(self) -> bool:
        """Take a token from the bucket that limits the append rate."""
        now = time.monotonic()
        refill = (now - self.refilled_at) * self.options.rate
        self.bucket_tokens = min(
            self.options.rate * BUCKET_S, self.bucket_tokens + refill
        )
        self.refilled_at = now
        if self.bucket_tokens < 1:
            return False
        self.bucket_tokens -= 1
        return True

    def read(self, stream: str, request: Request) -> Response:
        """Return a page of records, or 410 if its start was trimmed."""
        start = int(request.query.get('from', 0))
        limit = int(request.query.get('limit', 1))
        try:
            with self.lock:
                page = self.log.read(stream, start, limit)
        except TrimmedError as error:
            return json_response({'first': error.first}, HTTP_GONE)
        return json_response(page._asdict())
