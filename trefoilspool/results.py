"""Results of once-only requests, kept for callers who ask again."""

import threading
from collections import OrderedDict
from enum import IntEnum
from typing import NamedTuple

__all__ = ['ResultState', 'ResultStore', 'StoredResult']

MAX_RESULTS = 10_000
MAX_BODY_BYTES = 65_536


class ResultState(IntEnum):
    """State of a once-only request at its holder."""

    unknown = 0
    in_progress = 1
    finished = 2
    not_run = 3


class StoredResult(NamedTuple):
    """The answer that the first request of a key got."""

    state: ResultState
    status: int
    outcome: str
    body: bytes


UNKNOWN = StoredResult(ResultState.unknown, 0, '', b'')


class ResultStore:
    """Bounded results by key hash; safe to use from any thread."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.results: OrderedDict[str, StoredResult] = OrderedDict()

    def begin(self, key: str) -> bool:
        """Note that a request runs; False if the key was used before."""
        with self.lock:
            known = self.results.get(key, UNKNOWN)
            if known.state in {ResultState.in_progress, ResultState.finished}:
                return False
            self.put(key, StoredResult(ResultState.in_progress, 0, '', b''))
            return True

    def finish(self, key: str, status: int, outcome: str, body: bytes) -> None:
        """Keep a request's result."""
        state = ResultState.finished
        if outcome == 'not_run':
            state = ResultState.not_run
        with self.lock:
            kept = body if len(body) <= MAX_BODY_BYTES else b''
            self.put(key, StoredResult(state, status, outcome, kept))

    def get(self, key: str) -> StoredResult:
        """Return what is known of a key."""
        with self.lock:
            return self.results.get(key, UNKNOWN)

    def put(self, key: str, stored: StoredResult) -> None:
        """Store under the lock and drop the oldest finished results."""
        self.results.pop(key, None)
        self.results[key] = stored
        if len(self.results) > MAX_RESULTS:
            oldest = next(iter(self.results))
            if self.results[oldest].state is not ResultState.in_progress:
                del self.results[oldest]
