"""The task that keeps the versions of endpoints' software in the store."""

import threading

import pytest

from trefoilspool import clock
from trefoilspool.errors import LogOutageError
from trefoilspool.origingossip import OriginGossip
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.routehistory import RouteServices
from trefoilspool.store import KeyedRecord, KeyedTopic, Page
from trefoilspool.versionhistory import ServiceVersion
from trefoilspool.versionstore import RECORD_KEY, VersionStoreTask

NOW = clock.now() + 500


class OneRecordTopic(KeyedTopic):
    """A topic with one record; ``failures`` writes fail."""

    def __init__(self, content: bytes = b'') -> None:
        self.content = content
        self.failures = 0

    def read_latest(self) -> Page:
        return Page((KeyedRecord(RECORD_KEY, self.content, 0),), 1, True)

    def read_from(self, start: int, wait_s: float, era: int = 0) -> Page:
        raise NotImplementedError

    def put(self, key: str, content: bytes) -> None:
        if self.failures:
            self.failures -= 1
            raise LogOutageError('the store is away')
        self.content = content


def home_task(topic: KeyedTopic) -> VersionStoreTask:
    """Return the task of a home host that knows a version and a route."""
    peers = PeerRegistry(HostInfo('h', '127.0.0.1', 1))
    gossip = OriginGossip(peers, sender=None)  # type: ignore[arg-type]
    gossip.routes.by_route = {'r': RouteServices(frozenset('s'), 0)}
    gossip.history.started_at = NOW - 1
    gossip.history.update([ServiceVersion('s', 'v2')], NOW)
    task = VersionStoreTask(topic, gossip, peers, threading.Event())
    task.started_at = NOW - 100
    return task


class TestFailedWrite:
    def test_versions_are_written_once_the_store_is_back(self) -> None:
        topic = OneRecordTopic()
        task = home_task(topic)
        topic.failures = 1
        with pytest.raises(LogOutageError):
            task.step(NOW)
        task.step(NOW)
        assert b'v2' in topic.content
