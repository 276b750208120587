"""Results of at-most-once requests, kept to respond to repeated requests."""

import threading
from collections import OrderedDict
from enum import IntEnum
from typing import NamedTuple

__all__ = ['ResultState', 'ResultStore', 'StoredResult']

MAX_RESULTS = 10_000
MAX_BODY_BYTES = 65_536


class ResultState(IntEnum):
    """State of an at-most-once request at its holder."""

    unknown = 0
    in_progress = 1
    finished = 2
    not_run = 3


class StoredResult(NamedTuple):
    """The response to the first request with a key."""

    state: ResultState
    status: int
    outcome: str
    body: bytes


UNKNOWN = StoredResult(ResultState.unknown, 0, '', b'')


class ResultStore:
    """Bounded store of results by key; thread-safe."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.results: OrderedDict[str, StoredResult] = OrderedDict()

    def begin(self, key: str) -> bool:
        """Mark a key as in progress; return False if it runs or has run."""
        with self.lock:
            previous = self.results.get(key, UNKNOWN)
            if previous.state in {
                ResultState.in_progress,
                ResultState.finished,
            }:
                return False
            self.put(key, StoredResult(ResultState.in_progress, 0, '', b''))
            return True

    def finish(self, key: str, status: int, outcome: str, body: bytes) -> None:
        """Store a request's result, without a body that is too large."""
        state = ResultState.finished
        if outcome == 'not_run':
            state = ResultState.not_run
        with self.lock:
            stored_body = body if len(body) <= MAX_BODY_BYTES else b''
            self.put(key, StoredResult(state, status, outcome, stored_body))

    def get(self, key: str) -> StoredResult:
        """Return a key's result, in state ``unknown`` if none is stored."""
        with self.lock:
            return self.results.get(key, UNKNOWN)

    def put(self, key: str, stored: StoredResult) -> None:
        """Store a result and evict the oldest one if the store is full.

        The caller holds the lock. Results in progress are not evicted.
        """
        self.results.pop(key, None)
        self.results[key] = stored
        if len(self.results) > MAX_RESULTS:
            oldest = next(
                (
                    candidate
                    for candidate, result in self.results.items()
                    if result.state is not ResultState.in_progress
                ),
                None,
            )
            if oldest is not None:
                del self.results[oldest]
