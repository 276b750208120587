"""The requests of all services that wait for a slot."""

from collections import Counter, defaultdict
from typing import NamedTuple

from trefoilspool.queueing.servicequeue import ServiceQueue
from trefoilspool.slotmessages import SlotKey, SlotRequest
from trefoilspool.versionhistory import ServiceVersion

__all__ = ['QueuedRequest', 'WaitingRequests']


class QueuedRequest(NamedTuple):
    """A waiting request and the time of its queue timeout, in seconds."""

    ask: SlotRequest
    timeout_at: float


class WaitingRequests:
    """Waiting requests, by key and in the order in which they get slots.

    Attributes
    ----------
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
        self.queues: defaultdict[str, ServiceQueue] = defaultdict(ServiceQueue)
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

    def add(self, ask: SlotRequest, timeout_at: float) -> None:
        """Add a request.

        Parameters
        ----------
        ask : SlotRequest
            The request.
        timeout_at : float
            When it is refused if it still waits, in seconds.
        """
        self.by_key[ask.key] = QueuedRequest(ask, timeout_at)
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
