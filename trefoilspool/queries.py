"""Queries to other hosts for the results of at-most-once requests."""

import time
from concurrent.futures import Future
from typing import NamedTuple

from trefoilspool.peertask import Send
from trefoilspool.results import ResultState, ResultStore, StoredResult
from trefoilspool.task import Task
from trefoilspool.wire.gen.peer import ttypes

__all__ = ['QueryHolder', 'QueryTask']

TICK_S = 0.1
QUERY_TIMEOUT_S = 1.0
SEPARATOR = b'\n'  # between the outcome and the body in an answer


class QueryHolder(NamedTuple):
    """Query a key's holder; the future gets None if no answer arrives."""

    host: str
    key: str
    future: 'Future[StoredResult | None]'


class PendingQuery(NamedTuple):
    """A query that waits for its answer until ``expiry``."""

    future: 'Future[StoredResult | None]'
    expiry: float


class QueryTask(Task):
    """Sends queries, matches answers to them and replies to other hosts.

    Parameters
    ----------
    results : ResultStore
        Results of this host.
    send : callable
        Sends a frame element to a host; takes host, frame field and element.
    """

    def __init__(
        self,
        results: ResultStore,
        send: Send,
    ) -> None:
        super().__init__(TICK_S)
        self.results = results
        self.send = send
        self.pending: dict[int, PendingQuery] = {}
        self.last_query = 0

    def handle(self, message: object) -> None:
        """Send a query, or match an answer to its query."""
        if isinstance(message, QueryHolder):
            self.last_query += 1
            expiry = time.monotonic() + QUERY_TIMEOUT_S
            self.pending[self.last_query] = PendingQuery(message.future, expiry)
            self.send(
                message.host,
                'claim_queries',
                ttypes.ClaimQuery(
                    self.last_query,
                    message.key.encode(),
                ),
            )
        elif isinstance(message, ttypes.ClaimAnswer):
            pending = self.pending.pop(message.query, None)
            if pending is not None:
                pending.future.set_result(from_wire(message))

    def tick(self) -> None:
        """Time out the queries that got no answer."""
        now = time.monotonic()
        for query, pending in list(self.pending.items()):
            if now >= pending.expiry:
                del self.pending[query]
                pending.future.set_result(None)

    def answer(self, host: str, query: ttypes.ClaimQuery) -> None:
        """Answer another host's query; called by the receiver."""
        stored = self.results.get(query.key.decode())
        body = stored.outcome.encode() + SEPARATOR + stored.body
        self.send(
            host,
            'claim_answers',
            ttypes.ClaimAnswer(
                query.query,
                int(stored.state),
                stored.status,
                body,
            ),
        )


def from_wire(answer: ttypes.ClaimAnswer) -> StoredResult:
    """Return the result in an answer."""
    outcome, _, body = answer.body.partition(SEPARATOR)
    return StoredResult(
        ResultState(answer.state),
        answer.status,
        outcome.decode(),
        body,
    )
