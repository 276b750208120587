"""Versions of endpoints' software: history, records, and the slots of each."""

import math
import threading
from collections.abc import Iterator

import pytest
from test_slotscheduler import ask, endpoint_spec, slot_release

from trefoilspool import clock
from trefoilspool.crashevidence import CrashReport
from trefoilspool.departures import EndpointRun
from trefoilspool.errors import BadRecordError
from trefoilspool.hashring import HashRing
from trefoilspool.origingossip import ROUTE_SETTLED_S, OriginGossip
from trefoilspool.origins.conclusion import Evidence, conclude
from trefoilspool.origintelling import MAX_BURST, TELL_AFTER_S
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.replica import Position
from trefoilspool.routehistory import RouteHistory, RouteServices
from trefoilspool.routing import RepeatPolicy, Route, WeightedService
from trefoilspool.runverification import RECORD_LIFETIME_S
from trefoilspool.slotmessages import (
    AttemptEnding,
    EndpointSpec,
    Granted,
    Queued,
    RefusalReason,
    Refused,
    SlotDecision,
)
from trefoilspool.slotscheduler import SlotScheduler
from trefoilspool.streamorigins import (
    MAX_STREAMS,
    UNKNOWN_VERSION,
    OriginQuery,
    OriginSource,
    StreamOrigin,
    StreamOrigins,
    stream_key,
)
from trefoilspool.versionhistory import (
    MEMORY_S,
    NOWHERE,
    ServiceVersion,
    VersionHistory,
    WatchedVersions,
)
from trefoilspool.versionstore import decode_versions, encode_versions

OLD = ServiceVersion('engines', 'v1')
NEW = ServiceVersion('engines', 'v2')
ROUTES = {'r': RouteServices(frozenset(('engines',)), -400)}


def spec(name: str, software: str, slots: int = 2) -> EndpointSpec:
    return endpoint_spec(name, slots, software=software)


def scheduler_of(*specs: EndpointSpec) -> SlotScheduler:
    scheduler = SlotScheduler()
    scheduler.on_available_endpoints(specs, 0)
    return scheduler


def decide(
    scheduler: SlotScheduler, number: int, **changes: object
) -> SlotDecision:
    """Ask at the time zero."""
    scheduler.on_ask(ask(number, **changes), 0)
    return scheduler.take_decisions()[-1]


class TestSlots:
    def test_only_endpoints_of_the_version_are_granted(self) -> None:
        scheduler = scheduler_of(spec('a', 'v1', 3), spec('b', 'v2', 9))
        for number in range(3):
            decision = decide(scheduler, number, software='v1')
            assert isinstance(decision, Granted)
            assert decision.endpoint == 'a'
        assert isinstance(decide(scheduler, 4, software='v1'), Queued)

    def test_no_endpoint_has_the_version(self) -> None:
        scheduler = scheduler_of(spec('a', 'v1'), spec('b', 'v2'))
        decision = decide(scheduler, 1, software='v3')
        assert isinstance(decision, Refused)
        assert decision.reason is RefusalReason.no_endpoint

    @pytest.mark.parametrize('software', ['', 'v1'])
    def test_unknown_version_equals_none(self, software: str) -> None:
        scheduler = scheduler_of(spec('a', ''))
        decision = decide(scheduler, 1, software=software)
        assert isinstance(decision, Refused)

    def test_waiting_resumptions_do_not_keep_others_waiting(self) -> None:
        """Twenty wait for v1, which has no free slot; v2 has one."""
        scheduler = scheduler_of(spec('a', 'v1', 1), spec('b', 'v2', 1))
        assert isinstance(decide(scheduler, 0, software='v1'), Granted)
        assert isinstance(decide(scheduler, 1), Granted)
        for number in range(2, 22):
            scheduler.on_ask(
                ask(number, software='v1', rank=0, first_byte_due=0.3), 0
            )
        scheduler.on_ask(ask(50), 0)
        scheduler.take_decisions()
        scheduler.on_release(slot_release(1, 'b'), 0.1)
        granted = scheduler.take_decisions()
        assert [decision.key.number for decision in granted] == [50]

    def test_wait_for_a_version_counts_its_share_of_the_slots(self) -> None:
        """Half of the slots are of v1, so its queue is drained half as fast."""
        scheduler = scheduler_of(spec('a', 'v1', 1), spec('b', 'v2', 1))
        assert isinstance(decide(scheduler, 0, software='v1'), Granted)
        predicted = []
        for number in range(1, 4):
            request = ask(number, software='v1')
            predicted.append(scheduler.waits.predict_wait_s(request, 0))
            scheduler.on_ask(request, 0)
        unbound = scheduler.waits.predict_wait_s(ask(9, first_byte_due=9), 0)
        assert predicted[0] == 0
        assert predicted[1] < predicted[2]
        assert unbound < 2 * predicted[2]

    def test_withdrawn_resumptions_are_not_counted(self) -> None:
        scheduler = scheduler_of(spec('a', 'v1', 1))
        decide(scheduler, 0, software='v1')
        decide(scheduler, 1, software='v1')
        scheduler.on_release(slot_release(1, '', AttemptEnding.unused), 0.1)
        assert not scheduler.waiting.bound

    def test_endpoint_that_was_down_continues_no_stream(self) -> None:
        scheduler = scheduler_of(spec('a', 'v1'))
        decide(scheduler, 0)
        down = slot_release(0, 'a', AttemptEnding.unreachable)
        scheduler.on_release(down._replace(is_down=True), 1)
        assert not scheduler.pool.accepting(ask(1, software='v1'))
        assert scheduler.pool.accepting(ask(1))
        scheduler.on_records_confirmed(1 + RECORD_LIFETIME_S)
        assert scheduler.pool.accepting(ask(1, software='v1'))

    @pytest.mark.parametrize('confirmed_at', [-math.inf, 0, 4.9])
    def test_time_alone_verifies_no_endpoint_that_was_down(
        self, confirmed_at: float
    ) -> None:
        """The store may have been away ever since, or hold the old record."""
        scheduler = scheduler_of(spec('a', 'v1'))
        decide(scheduler, 0)
        down = slot_release(0, 'a', AttemptEnding.unreachable)
        scheduler.on_release(down._replace(is_down=True), 1)
        scheduler.on_records_confirmed(confirmed_at)
        scheduler.on_ask(ask(1, software='v1', deadline=900), 800)
        assert isinstance(scheduler.take_decisions()[-1], Refused)
        scheduler.on_ask(ask(2, deadline=900), 800)
        begun = scheduler.take_decisions()[-1]
        assert isinstance(begun, Granted)
        assert not begun.is_verified

    def test_end_that_a_check_found_counts_from_when_the_attempt_broke(
        self,
    ) -> None:
        """Heartbeats repeat the report, also to a new home host."""
        scheduler = scheduler_of(spec('a', 'v1'))
        report = CrashReport(EndpointRun('a', 1), ('part',), 7, 0.5)
        scheduler.on_crash_reports('h1', [report], 10.5)
        assert scheduler.pool.accepting(ask(1, software='v1'))
        down = report._replace(is_down=True)
        for now in (10.75, 12.5):
            repeated = down._replace(age_s=now - 10)
            scheduler.on_crash_reports('h1', [repeated], now)
            assert not scheduler.pool.accepting(ask(1, software='v1'))
        scheduler.on_records_confirmed(10 + RECORD_LIFETIME_S)
        assert scheduler.pool.accepting(ask(1, software='v1'))

    def test_end_of_an_earlier_run_says_nothing_of_this_one(self) -> None:
        scheduler = scheduler_of(spec('a', 'v1')._replace(started_ms=2))
        down = CrashReport(EndpointRun('a', 1), ('part',), 7, 0.5, True)
        scheduler.on_crash_reports('h1', [down], 10.5)
        assert scheduler.pool.accepting(ask(1, software='v1'))

    def test_new_record_of_another_run_is_verified(self) -> None:
        scheduler = scheduler_of(spec('a', 'v1'))
        decide(scheduler, 0)
        down = slot_release(0, 'a', AttemptEnding.unreachable)
        scheduler.on_release(down._replace(is_down=True), 1)
        scheduler.on_available_endpoints(
            [spec('a', 'v1')._replace(started_ms=2)], 2
        )
        assert scheduler.pool.accepting(ask(1, software='v1'))

    def test_endpoint_that_was_down_begins_streams_of_unknown_version(
        self,
    ) -> None:
        scheduler = scheduler_of(spec('a', 'v1'))
        decide(scheduler, 0)
        down = slot_release(0, 'a', AttemptEnding.unreachable)
        scheduler.on_release(down._replace(is_down=True), 0)
        decision = decide(scheduler, 1)
        assert isinstance(decision, Granted)
        assert not decision.is_verified

    def test_other_version_under_the_same_name_is_another_run(self) -> None:
        scheduler = scheduler_of(spec('a', 'v1'))
        decide(scheduler, 0)
        scheduler.on_available_endpoints([spec('a', 'v2')], 1)
        assert not scheduler.available_endpoints['a'].reservations


class TestHistory:
    def test_version_that_left_counts_for_a_while(self) -> None:
        history = VersionHistory(0)
        history.update([OLD], 1)
        history.update([NEW], 50)
        assert history.versions('engines', 10, 55) == {'v1', 'v2'}
        assert history.versions('engines', 10, 65) == {'v2'}
        assert history.has_several('engines', 50 + MEMORY_S)
        history.update([NEW], 51 + MEMORY_S)
        assert set(history.seen_until) == {NEW}

    def test_young_host_has_not_watched(self) -> None:
        history = VersionHistory(100)
        assert not history.has_watched(24, 110)
        assert history.has_watched(24, 124)

    def test_route_that_changed_its_service(self) -> None:
        routes = RouteHistory()
        routes.update([route('engines')], 0)
        routes.update([route('engines')], 50)
        assert routes.only_service('r', 30, 60) == 'engines'
        routes.update([route('others')], 60)
        assert not routes.only_service('r', 30, 70)
        assert routes.only_service('r', 30, 90) == 'others'

    def test_route_with_two_services(self) -> None:
        routes = RouteHistory()
        routes.update([route('engines', 'others')], 0)
        assert not routes.only_service('r', 30, 90)


def route(*services: str) -> Route:
    return Route(
        'r',
        'a',
        '/',
        RepeatPolicy.resumed,
        True,
        12,
        0.4,
        0,
        tuple(WeightedService(service, 1) for service in services),
        2,
        False,
    )


class InterruptedRoutes(dict[str, RouteServices]):
    """Stored routes during whose use another thread does something."""

    def __init__(self, other: threading.Thread) -> None:
        super().__init__(ROUTES)
        self.other = other

    def get(self, key: str, default: object = None) -> RouteServices:
        self.other.start()
        self.other.join(0.2)
        return self[key]


class TestStoredVersions:
    """What hosts that start adopt from the store."""

    def watched(self, **changes: object) -> WatchedVersions:
        made = WatchedVersions(-500, ROUTES, {OLD: math.inf}, Position(0, 7))
        return made._replace(**changes)

    def test_versions_survive_encoding(self) -> None:
        watched = self.watched(until={OLD: math.inf, NEW: 5.0})
        decoded = decode_versions(encode_versions(watched, 9), 9)
        assert decoded.until[OLD] == math.inf
        assert decoded.until[NEW] == pytest.approx(5, abs=0.01)
        assert decoded.since == pytest.approx(-500, abs=0.01)
        assert decoded.routes['r'].services == {'engines'}
        assert decoded.position == watched.position

    def test_host_that_starts_has_watched_as_long_as_the_others(self) -> None:
        history = VersionHistory(0)
        history.restart(0, Position(0, 7))
        history.update([OLD], 1)
        history.adopt(self.watched(), 2)
        assert history.has_watched(24, 2)
        assert history.versions('engines', 24, 2) == {'v1'}

    def test_version_that_was_there_counts_until_now(self) -> None:
        history = VersionHistory(0)
        history.update([NEW], 1)
        history.adopt(self.watched(), 2)
        assert history.versions('engines', 24, 2) == {'v1', 'v2'}
        assert history.present() == {NEW}

    def test_adopted_versions_survive_an_update_by_another_thread(
        self,
    ) -> None:
        history = VersionHistory(0)
        adopting = threading.Thread(
            target=history.adopt, args=(self.watched(), 2)
        )

        def present() -> Iterator[ServiceVersion]:
            adopting.start()
            adopting.join(0.2)
            yield NEW

        history.update(present(), 2)
        adopting.join()
        assert history.versions('engines', 24, 2) == {'v1', 'v2'}

    @pytest.mark.parametrize(
        'position', [Position(0, 6), Position(1, 9), NOWHERE]
    )
    def test_record_that_does_not_reach_the_own_watch(
        self, position: Position
    ) -> None:
        """What it has seen counts, but there may have been more."""
        history = VersionHistory(0)
        history.restart(0, Position(0, 7))
        history.adopt(self.watched(position=position), 2)
        assert history.versions('engines', 24, 2) == {'v1'}
        assert history.started_at == 0

    def test_host_without_endpoint_records_has_not_watched(self) -> None:
        history = VersionHistory(0)
        history.adopt(self.watched(position=NOWHERE), 2)
        assert not history.has_watched(24, 2)

    def test_shorter_watch_is_not_adopted(self) -> None:
        history = VersionHistory(0)
        history.adopt(self.watched(since=10), 20)
        assert not history.seen_until
        assert history.started_at == 0

    @pytest.mark.parametrize(
        'content', [b'', b'{', b'[]', b'{"since": 1}', b'{"since": "x"}']
    )
    def test_malformed_record(self, content: bytes) -> None:
        with pytest.raises(BadRecordError):
            decode_versions(content, 0)

    def test_routes_that_changed_while_no_host_ran(self) -> None:
        routes = RouteHistory()
        routes.update([route('engines')], 0)
        routes.adopt({'r': RouteServices(frozenset(('others',)), -400)})
        assert not routes.only_service('r', 24, 1)
        routes.adopt(ROUTES)
        assert routes.only_service('r', 24, 1) == 'engines'

    def test_configuration_that_another_thread_applies_meanwhile(
        self,
    ) -> None:
        routes = RouteHistory()
        routes.update([route('engines')], 0)
        changing = threading.Thread(
            target=routes.update, args=([route('others')], 5)
        )
        routes.adopt(InterruptedRoutes(changing))
        changing.join()
        assert routes.services() == {'r': {'others'}}

    def test_route_that_changed_after_the_start(self) -> None:
        routes = RouteHistory()
        routes.update([route('others')], 0)
        routes.update([route('engines')], 5)
        routes.adopt(ROUTES)
        assert not routes.only_service('r', 24, 6)


class TestRecords:
    def test_streams_of_two_workspaces_differ(self) -> None:
        assert stream_key('w', 'a') != stream_key('x', 'a')

    def test_two_versions_of_a_stream_make_it_unknown(self) -> None:
        origins = StreamOrigins()
        origins.record(StreamOrigin(1, *OLD), 0)
        origins.record(StreamOrigin(1, *NEW), 1)
        found = origins.find(1, 2)
        assert found is not None
        assert found.version == UNKNOWN_VERSION

    def test_records_are_bounded(self) -> None:
        origins = StreamOrigins()
        for stream in range(MAX_STREAMS + 10):
            origins.record(StreamOrigin(stream, *OLD), 0)
        assert len(origins.by_stream) == MAX_STREAMS
        assert origins.find(0, 0) is None
        origins.record(StreamOrigin(-1, *OLD), MEMORY_S + 1)
        assert list(origins.by_stream) == [-1]


def concluded(
    own: StreamOrigin,
    *others: StreamOrigin,
    is_confirmed: bool = True,
    watched_s: float = 60,
) -> ServiceVersion:
    evidence = Evidence(own, others, is_confirmed, watched_s)
    return conclude(evidence).version


class TestConclusion:
    only_old = StreamOrigin(1, *OLD, OriginSource.only, 0.5)
    young = StreamOrigin(1, *OLD, OriginSource.unwatched, 0.5)

    @pytest.mark.parametrize('is_confirmed', [True, False])
    def test_record_goes_before_what_others_infer(
        self, is_confirmed: bool
    ) -> None:
        origins = (
            StreamOrigin(1, *NEW, OriginSource.only, 0.5),
            StreamOrigin(1, '', '', OriginSource.several),
            StreamOrigin(1, *OLD),
        )
        assert concluded(*origins, is_confirmed=is_confirmed) == OLD

    @pytest.mark.parametrize(
        'sources',
        [
            (OriginSource.unwatched,),
            (OriginSource.several, OriginSource.only),
            (OriginSource.only, OriginSource.several),
        ],
    )
    def test_unknown_is_not_the_same(
        self, sources: tuple[OriginSource, ...]
    ) -> None:
        known = [StreamOrigin(1, *OLD, source, 0.5) for source in sources]
        assert concluded(*known) == UNKNOWN_VERSION

    def test_only_version_by_two_hosts_must_be_equal(self) -> None:
        other = StreamOrigin(1, *NEW, OriginSource.only, 0.5)
        assert concluded(self.only_old, other) == UNKNOWN_VERSION
        assert concluded(self.young, other) == UNKNOWN_VERSION

    def test_only_version_needs_the_store(self) -> None:
        """A host out of step has heard of no other, and others with it."""
        assert concluded(self.only_old) == OLD
        hosts = (self.only_old, self.only_old, self.only_old)
        assert concluded(*hosts, is_confirmed=False) == UNKNOWN_VERSION

    def test_another_host_tells_of_the_time_before_the_start(self) -> None:
        assert concluded(self.young) == UNKNOWN_VERSION
        assert concluded(self.young, self.only_old, watched_s=1) == OLD

    @pytest.mark.parametrize('age_s', [2, math.inf])
    def test_time_between_two_watches_is_not_known(self, age_s: float) -> None:
        before = self.only_old._replace(age_s=age_s)
        known = concluded(self.young, before, watched_s=1)
        assert known == UNKNOWN_VERSION


class TestRing:
    def test_hosts_that_go_change_few_keys(self) -> None:
        names = [f'h{number}' for number in range(20)]
        before, after = HashRing(names), HashRing(names[1:])
        keys = [stream_key('', str(number)) for number in range(1000)]
        kept = sum(
            set(before.owners(key, 3)) - {'h0'} <= set(after.owners(key, 3))
            for key in keys
        )
        assert kept == len(keys)

    def test_owners_are_distinct(self) -> None:
        ring = HashRing(['a', 'b'])
        assert sorted(ring.owners(7, 5)) == ['a', 'b']
        assert not HashRing(()).owners(7, 3)


class Wire:
    """Sends datagrams between gossips at once, but to hosts that are down."""

    def __init__(self, count: int) -> None:
        self.down: set[str] = set()
        self.sent = 0
        hosts = [
            HostInfo(f'h{index}', f'a{index}', 1) for index in range(count)
        ]
        self.gossips = {}
        for own in hosts:
            peers = PeerRegistry(own)
            peers.on_reported(hosts, 0)
            gossip = OriginGossip(peers, Link(self, own))  # type: ignore[arg-type]
            gossip.routes.update([route('engines')], -1000)
            gossip.history.started_at = -1000
            gossip.confirm = lambda since: True
            self.gossips[own.address] = gossip


class Link:
    def __init__(self, wire: Wire, own: HostInfo) -> None:
        self.wire = wire
        self.own = own

    def send(self, address: str, datagram: object) -> None:
        self.wire.sent += 1
        if address in self.wire.down or self.own.address in self.wire.down:
            return
        gossip = self.wire.gossips[address]
        for field, handler in (
            ('begun', gossip.on_begun),
            ('queries', gossip.on_queries),
            ('origins', gossip.on_origins),
        ):
            content = getattr(datagram, field)
            if content is not None:
                handler(self.own, content, 0)


class TestGossip:
    query = OriginQuery(7, 'r', 24)

    def set_versions(self, wire: Wire, *versions: ServiceVersion) -> None:
        for gossip in wire.gossips.values():
            gossip.history.update(versions, 0)

    def test_nothing_is_told_of_streams_that_end_soon(self) -> None:
        wire = Wire(9)
        self.set_versions(wire, OLD)
        gossip = wire.gossips['a0']
        began_at = clock.now()
        for stream in range(100):
            gossip.on_first_event(StreamOrigin(stream, *OLD), 'r')
        gossip.tick(began_at + TELL_AFTER_S - 0.01)
        for stream in range(100):
            gossip.on_completed(stream)
        gossip.tick(began_at + 10)
        assert not wire.sent

    def test_nothing_is_told_beyond_the_budget(self) -> None:
        wire = Wire(9)
        self.set_versions(wire, OLD)
        gossip = wire.gossips['a0']
        for stream in range(200):
            gossip.on_first_event(StreamOrigin(stream, *OLD), 'r')
        assert not wire.sent
        began_at = clock.now()
        gossip.tick(began_at + 10)
        assert self.told_streams(wire) == MAX_BURST
        for stream in range(200):
            gossip.on_completed(stream)
        gossip.tick(began_at + 20)
        assert self.told_streams(wire) == MAX_BURST

    def told_streams(self, wire: Wire) -> int:
        """Return how many streams hosts know of that one has told them of."""
        known: set[int] = set()
        for address, gossip in wire.gossips.items():
            if address != 'a0':
                known.update(gossip.origins.by_stream)
        return len(known)

    def test_earlier_streams_are_told_when_a_second_version_comes(
        self,
    ) -> None:
        wire = Wire(9)
        self.set_versions(wire, OLD)
        wire.gossips['a0'].on_first_event(StreamOrigin(7, *OLD), 'r')
        wire.gossips['a0'].on_first_event(StreamOrigin(8, *OLD), 'r')
        wire.gossips['a0'].on_completed(8)
        self.set_versions(wire, OLD, NEW)
        wire.gossips['a0'].on_endpoints(0)
        wire.down.add('a0')
        assert wire.gossips['a5'].find(self.query).version == OLD
        unknown = self.query._replace(stream=8)
        assert wire.gossips['a5'].find(unknown).version == UNKNOWN_VERSION

    def test_stream_on_a_route_that_has_just_changed_is_told(self) -> None:
        wire = Wire(9)
        self.set_versions(wire, OLD)
        gossip = wire.gossips['a0']
        known = gossip.routes.by_route['r']
        gossip.routes.by_route['r'] = known._replace(
            since=known.since + 10**9 - ROUTE_SETTLED_S
        )
        gossip.on_first_event(StreamOrigin(7, *OLD), 'r')
        assert wire.sent

    def test_unheard_of_stream_while_there_is_one_version(self) -> None:
        wire = Wire(9)
        self.set_versions(wire, OLD)
        assert wire.gossips['a5'].find(self.query).version == OLD

    def test_unheard_of_stream_while_the_store_does_not_answer(self) -> None:
        """All hosts that answer may be out of step with those that do not."""
        wire = Wire(9)
        self.set_versions(wire, OLD)
        wire.gossips['a5'].confirm = lambda since: False
        found = wire.gossips['a5'].find(self.query)
        assert found.version == UNKNOWN_VERSION
        assert found.source is OriginSource.unconfirmed

    def test_version_that_the_store_tells_of(self) -> None:
        """The host learns of the second version only by asking."""
        wire = Wire(1)
        self.set_versions(wire, OLD)
        gossip = wire.gossips['a0']

        def confirm(since: float) -> bool:
            self.set_versions(wire, OLD, NEW)
            return True

        gossip.confirm = confirm
        assert gossip.find(self.query).source is OriginSource.several

    def test_host_that_saw_the_route_change_is_heard(self) -> None:
        """The host that takes the stream up has missed the change."""
        wire = Wire(2)
        self.set_versions(wire, OLD)
        now = clock.now()
        routes = wire.gossips['a1'].routes
        routes.update([route('others')], now - 5)
        routes.update([route('engines')], now - 4)
        found = wire.gossips['a0'].find(self.query)
        assert found.version == UNKNOWN_VERSION

    def test_record_needs_no_store(self) -> None:
        wire = Wire(9)
        self.set_versions(wire, OLD, NEW)
        wire.gossips['a0'].on_first_event(StreamOrigin(7, *OLD), 'r')
        wire.gossips['a5'].confirm = lambda since: False
        assert wire.gossips['a5'].find(self.query).version == OLD

    def test_host_with_stale_records_infers_nothing(self) -> None:
        wire = Wire(1)
        self.set_versions(wire, OLD)
        wire.gossips['a0'].is_stale = lambda: True
        assert wire.gossips['a0'].find(self.query).version == UNKNOWN_VERSION

    def test_share_that_is_known_after_most_hosts_ended(self) -> None:
        """With 60 in 100 hosts lost, three copies survive of 78 in 100."""
        wire = Wire(20)
        self.set_versions(wire, OLD, NEW)
        streams = range(100, 400)
        for stream in streams:
            version = (OLD, NEW)[stream % 2]
            wire.gossips['a0'].on_first_event(
                StreamOrigin(stream << 54, *version), 'r'
            )
        wire.down.update(f'a{number}' for number in range(12))
        known = 0
        for stream in streams:
            query = self.query._replace(stream=stream << 54)
            version = wire.gossips['a15'].find(query).version
            assert version in {(OLD, NEW)[stream % 2], UNKNOWN_VERSION}
            known += version != UNKNOWN_VERSION
        assert known * 2 >= len(streams)
