"""The task that keeps the versions of endpoints' software in the store."""

import json
import threading

import pytest
from gatewaycluster import configuration, route
from records import decode_configuration, decode_endpoint
from test_directory import endpoint_content

from trefoilspool import clock
from trefoilspool.errors import (
    LogOutageError,
    StoreRestoredError,
    TrimmedError,
)
from trefoilspool.origingossip import OriginGossip
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.replica import Position, Replica
from trefoilspool.routehistory import RouteServices
from trefoilspool.store import KeyedRecord, KeyedSource, KeyedTopic, Page
from trefoilspool.versionhistory import (
    NOWHERE,
    ServiceVersion,
    WatchedVersions,
)
from trefoilspool.versionreplay import MAX_READS, RouteReplay, VersionReplay
from trefoilspool.versionstore import (
    RECORD_KEY,
    REFRESH_S,
    VersionStoreTask,
    decode_versions,
    encode_versions,
)

NOW = clock.now() + 500
BEGAN_AT = Position(0, 3)


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


class EndpointLog(KeyedSource):
    """The store's endpoint records, read ``page_records`` at a time."""

    def __init__(self, *softwares: str, era: int = 0, first: int = 0) -> None:
        self.records = tuple(
            KeyedRecord(
                f'i-{offset}', endpoint_content(version=software), offset
            )
            for offset, software in enumerate(softwares)
        )
        self.era = era
        self.first = first
        self.page_records = 100
        self.failures = 0
        self.reads: list[int] = []

    def read_latest(self) -> Page:
        raise NotImplementedError

    def read_from(self, start: int, wait_s: float, era: int = 0) -> Page:
        self.reads.append(start)
        if self.failures:
            self.failures -= 1
            raise LogOutageError('the store is away')
        if era != self.era:
            raise StoreRestoredError(self.era)
        if start < self.first or start > len(self.records):
            raise TrimmedError(self.first)
        read = self.records[start : start + self.page_records]
        return Page(read, start + len(read), complete=False, era=era)


def home_task(
    topic: KeyedTopic, log: EndpointLog | None = None
) -> VersionStoreTask:
    """Return the task of a home host that knows a version and a route.

    It has watched the endpoint records from ``BEGAN_AT`` on.
    """
    peers = PeerRegistry(HostInfo('h', '127.0.0.1', 1))
    gossip = OriginGossip(peers, sender=None)  # type: ignore[arg-type]
    gossip.routes.by_route = {'r': RouteServices(frozenset('s'), 0)}
    gossip.history.started_at = NOW - 1
    gossip.history.began_at = BEGAN_AT
    gossip.history.update([ServiceVersion('s', 'v2')], NOW)
    task = VersionStoreTask(
        topic,
        gossip,
        peers,
        VersionReplay(log or EndpointLog(), lambda: BEGAN_AT, decode_endpoint),
        RouteReplay(EndpointLog(), lambda: BEGAN_AT, decode_configuration),
        threading.Event(),
    )
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


def stored(position: Position) -> OneRecordTopic:
    """Return the topic with a record of a host that knew the route and v2."""
    watched = WatchedVersions(
        NOW - 400, {}, {ServiceVersion('s', 'v2'): NOW}, position
    )
    return OneRecordTopic(encode_versions(watched, clock.now()))


def known(task: VersionStoreTask) -> frozenset[str]:
    return task.gossip.history.versions('s', 60, clock.now())


def has_adopted(task: VersionStoreTask) -> bool:
    """Return whether the record's time was adopted, of 400 s before."""
    return task.gossip.history.started_at < NOW - 300


class TestVersionsSinceTheRecord:
    """A version came and went after the record was written."""

    def test_records_since_then_are_read(self) -> None:
        log = EndpointLog('v2', 'v2', 'v3', 'v2')
        task = home_task(stored(Position(0, 1)), log)
        task.step(NOW)
        assert has_adopted(task)
        assert known(task) == {'v2', 'v3'}

    def test_record_that_reaches_the_own_watch_needs_no_read(self) -> None:
        log = EndpointLog('v2', 'v2', 'v2', 'v2')
        task = home_task(stored(BEGAN_AT), log)
        task.step(NOW)
        assert has_adopted(task)
        assert not log.reads

    @pytest.mark.parametrize(
        ('position', 'log'),
        [
            (Position(0, 1), EndpointLog('v2', 'v2', 'v2', first=2)),
            (Position(0, 1), EndpointLog('v2', 'v2', 'v2', era=1)),
            (Position(0, 1), EndpointLog('v2', 'v2')),
            (Position(1, 9), EndpointLog('v2', 'v2', 'v2', era=1)),
            (NOWHERE, EndpointLog('v2', 'v2', 'v2')),
        ],
        ids=['trimmed', 'restored', 'short', 'other_era', 'earlier_build'],
    )
    def test_records_that_cannot_be_read(
        self, position: Position, log: EndpointLog
    ) -> None:
        topic = stored(position)
        task = home_task(topic, log)
        task.gossip.history.seen_until = {}
        task.read()
        assert not has_adopted(task)
        assert known(task) == {'v2'}

    def test_store_that_is_away_is_asked_again(self) -> None:
        log = EndpointLog('v2', 'v3', 'v2')
        log.failures = 1
        task = home_task(stored(Position(0, 0)), log)
        task.try_step()
        assert not task.was_read
        task.try_step()
        assert has_adopted(task)
        assert known(task) == {'v2', 'v3'}

    def test_several_reads(self) -> None:
        log = EndpointLog('v2', 'v3', 'v4', 'v5')
        log.page_records = 1
        task = home_task(stored(Position(0, 0)), log)
        task.read()
        assert has_adopted(task)
        assert known(task) == {'v2', 'v3', 'v4'}
        assert log.reads == [0, 1, 2]

    def test_reads_are_bounded(self) -> None:
        log = EndpointLog(*['v2'] * 2 * MAX_READS)
        log.page_records = 1
        task = home_task(stored(Position(0, 0)), log)
        task.gossip.history.began_at = Position(0, 2 * MAX_READS)
        task.read()
        assert not has_adopted(task)
        assert len(log.reads) == MAX_READS

    def test_record_that_cannot_be_decoded(self) -> None:
        log = EndpointLog('v2', 'v2', 'v2')
        odd = KeyedRecord('i-1', b'{', 1)
        log.records = (log.records[0], odd, log.records[2])
        task = home_task(stored(Position(0, 0)), log)
        task.read()
        assert has_adopted(task)

    def test_host_whose_own_records_are_not_current_waits(self) -> None:
        """Its watch may begin anew with its next read."""
        task = home_task(stored(BEGAN_AT))
        task.gossip.is_stale = lambda: True
        task.step(NOW)
        assert not task.was_read

    def test_host_that_has_not_read_the_settings_waits(self) -> None:
        """It may have a configuration of another host."""
        task = home_task(stored(BEGAN_AT))
        task.route_replay.taken_to = lambda: NOWHERE
        task.step(NOW)
        assert not task.was_read


class TestPosition:
    """Up to where the record holds."""

    def test_position_is_taken_before_the_versions(self) -> None:
        topic = OneRecordTopic()
        task = home_task(topic)

        def watched_to() -> Position:
            new = ServiceVersion('s', 'v3')
            task.gossip.history.update([new], clock.now())
            return Position(0, 8)

        task.endpoint_replay.taken_to = watched_to
        task.write(NOW)
        decoded = decode_versions(topic.content, clock.now())
        assert decoded.position == Position(0, 8)
        assert ServiceVersion('s', 'v3') in decoded.until

    def test_records_that_are_being_applied_are_not_counted(self) -> None:
        positions: list[Position] = []

        def apply_slowly(records: object) -> None:
            asking = threading.Thread(
                target=lambda: positions.append(replica.taken_position())
            )
            asking.start()
            asking.join(0.2)
            assert not positions

        replica = Replica(apply_slowly)
        replica.apply(Page((KeyedRecord('a', b'{}', 0),), 1, complete=True))

    def test_record_is_written_again_without_news(self) -> None:
        topic = OneRecordTopic()
        task = home_task(topic)
        task.step(NOW)
        written, topic.content = topic.content, b''
        task.step(NOW + REFRESH_S - 0.1)
        assert not topic.content
        task.endpoint_replay.taken_to = lambda: Position(0, 9)
        task.step(NOW + REFRESH_S)
        later, earlier = map(json.loads, (topic.content, written))
        assert later['position'] == {'era': 0, 'offset': 9}
        assert earlier['position'] == BEGAN_AT._asdict()

    def test_own_record_does_not_shorten_the_watch(self) -> None:
        task = home_task(OneRecordTopic())
        started_at = task.gossip.history.started_at
        for number in range(5):
            task.step(NOW + number * REFRESH_S)
        assert task.gossip.history.started_at == started_at


class ConfigurationLog(EndpointLog):
    """The store's configurations, of one route each."""

    def __init__(self, *backends: str) -> None:
        super().__init__()
        self.records = tuple(
            KeyedRecord('config', self.content(backend), offset)
            for offset, backend in enumerate(backends)
        )

    def content(self, backend: str) -> bytes:
        routes = [route('chat', 'streaming', backend=backend)]
        backends = [
            {'name': name, 'healthPath': '/h'} for name in ('engines', 'new')
        ]
        source = configuration(routeTable=routes, backends=backends)
        return json.dumps(source).encode()


class TestRoutesSinceTheRecord:
    """A route had another service after the record was written."""

    def since(self, position: Position, *backends: str) -> float:
        """Return since when a host that starts knows the route's service."""
        watched = WatchedVersions(
            NOW - 400,
            {'r-chat': RouteServices(frozenset(('engines',)), NOW - 400)},
            {},
            BEGAN_AT,
            position,
        )
        topic = OneRecordTopic(encode_versions(watched, clock.now()))
        task = home_task(topic)
        task.gossip.routes.by_route = {
            'r-chat': RouteServices(frozenset(('engines',)), NOW)
        }
        task.gossip.routes.first_at = NOW
        task.route_replay = RouteReplay(
            ConfigurationLog(*backends),
            lambda: Position(0, 3),
            decode_configuration,
        )
        task.read()
        return task.gossip.routes.by_route['r-chat'].since

    def test_service_that_was_replaced_for_a_while(self) -> None:
        assert self.since(Position(0, 1), 'engines', 'new', 'engines') == NOW

    def test_service_that_stayed(self) -> None:
        log = ('new', 'engines', 'engines')
        assert self.since(Position(0, 1), *log) < NOW - 300

    def test_configurations_that_were_all_known(self) -> None:
        assert self.since(Position(0, 3)) < NOW - 300

    @pytest.mark.parametrize(
        'position', [NOWHERE, Position(1, 9), Position(0, 1)]
    )
    def test_configurations_that_cannot_be_read(
        self, position: Position
    ) -> None:
        assert self.since(position, 'engines') == NOW

    def test_configuration_that_cannot_be_decoded(self) -> None:
        assert self.since(Position(0, 1), 'engines', '', 'engines') == NOW
