"""The requests of all services that wait for a slot."""

from collections import Counter, defaultdict
from typing import NamedTuple

from trefoilspool.queueing.order import ORDERS, QueueOrder
from trefoilspool.queueing.servicequeue import ServiceQueue
from trefoilspool.slotmessages import SlotKey, SlotRequest
from trefoilspool.versionhistory import ServiceVersion

__all__ = ['QueuedRequest', 'WaitingRequests']


class QueuedRequest(NamedTuple):
    """A waiting request.

    Attributes
    ----------
    timeout_at, since : float
        Time of its queue timeout, and when it began to wait, in seconds.
    predicted_s : float
        Seconds that it was expected to wait.
    """

    ask: SlotRequest
    timeout_at: float
    since: float = 0
    predicted_s: float = 0


class WaitingRequests:
    """Waiting requests, by key and in the order in which they get slots.

    Attributes
    ----------
    order : QueueOrder
        The order within a rank.
    by_key : dict
        The requests with their timeouts.
    queues : defaultdict
        Their order in each service.
    bound : Counter
        Number of those that may go on only at a version, by service and
        version.
    """

    def __init__(self) -> None:
        self.by_key: dict[SlotKey, QueuedRequest] = {}
        self.order: QueueOrder = ORDERS['due']
        self.queues: defaultdict[str, ServiceQueue] = defaultdict(
            lambda: ServiceQueue(self.order)
        )
        self.bound: Counter[ServiceVersion] = Counter()

    def __len__(self) -> int:
        return len(self.by_key)

    def __contains__(self, key: SlotKey) -> bool:
        return key in self.by_key

    def get(self, key: SlotKey) -> QueuedRequest | None:
        """Return a waiting request, None if it does not wait."""
        return self.by_key.get(key)

    def all(self) -> list[QueuedRequest]:
        """Return the requests, those that have waited longest first."""
        return list(self.by_key.values())

    def add(self, waiting: QueuedRequest) -> None:
        """Add a request."""
        ask = waiting.ask
        self.by_key[ask.key] = waiting
        self.queues[ask.service].add(ask)
        if ask.software is not None:
            self.bound[ServiceVersion(ask.service, ask.software)] += 1

    def remove(self, key: SlotKey) -> None:
        """Remove a request if it waits."""
        waiting = self.by_key.pop(key, None)
        if waiting is None:
            return
        ask = waiting.ask
        self.queues[ask.service].remove(ask)
        if ask.software is not None:
            self.count_down(ServiceVersion(ask.service, ask.software))

    def count_down(self, version: ServiceVersion) -> None:
        """Count one request less that may go on only at a version."""
        self.bound[version] -= 1
        if not self.bound[version]:
            del self.bound[version]

    def bound_services(self) -> frozenset[str]:
        """Return the services for which requests bound to a version wait."""
        return frozenset(version.service for version in self.bound)
