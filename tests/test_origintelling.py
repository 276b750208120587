"""Streams of which other hosts are told before their version is in doubt."""

import heapq
import itertools
import random
from collections import Counter

import pytest
from test_streamorigins import NEW, OLD, Wire, route

from trefoilspool import clock
from trefoilspool.origintelling import (
    MAX_BURST,
    TELL_AFTER_S,
    TOLD_PER_S,
    BegunStream,
    OriginTelling,
    StreamGroup,
)
from trefoilspool.peers import HostInfo
from trefoilspool.streamorigins import (
    MAX_STREAMS,
    OriginQuery,
    OriginSource,
    StreamOrigin,
    stream_key,
)
from trefoilspool.versionhistory import MEMORY_S
from trefoilspool.wire import mesh as wire_format

TICK_S = 0.02
CONTROL_BYTES_PER_S = 8_000  # of a host, for everything it tells others
DESIGN_STREAMS_PER_S = 84
HOSTS = 670
STEADY_AT_S = 20


def begun(stream: int, at: float = 0.0) -> BegunStream:
    return BegunStream(StreamOrigin(stream, *OLD), 'r', at)


def streams(telling: OriginTelling, now: float) -> list[int]:
    """Take what is due; return the streams."""
    return [origin.stream for origin in telling.take_due(now)]


class TestDue:
    def test_stream_that_is_open_for_a_while(self) -> None:
        telling = OriginTelling(0)
        telling.add(begun(1))
        assert not streams(telling, TELL_AFTER_S - 0.01)
        assert streams(telling, TELL_AFTER_S) == [1]
        assert not streams(telling, 9)

    def test_next_due_time(self) -> None:
        telling = OriginTelling(0)
        assert telling.next_at(0) == float('inf')
        telling.add(begun(1, 3))
        telling.add(begun(2, 3.2))
        assert telling.next_at(3.2) == 3 + TELL_AFTER_S
        streams(telling, 3 + TELL_AFTER_S)
        assert telling.next_at(3.5) == 3.2 + TELL_AFTER_S

    @pytest.mark.parametrize('at', [0.1, TELL_AFTER_S + 0.1])
    def test_stream_that_ended_well(self, at: float) -> None:
        telling = OriginTelling(0)
        telling.bucket.level = 0
        telling.add(begun(1))
        streams(telling, 0.01)
        telling.on_completed(1)
        assert not streams(telling, at + 5)

    def test_stream_that_begins_again_keeps_its_time(self) -> None:
        """A stream that is cut over and over must not wait for ever."""
        telling = OriginTelling(0)
        telling.add(begun(1))
        telling.add(begun(2, 0.1))
        telling.add(begun(1, 0.4))
        assert streams(telling, 0.1 + TELL_AFTER_S) == [2, 1]


class TestBudget:
    def overloaded(self, count: int = 100) -> OriginTelling:
        """Return one with streams that began at one time."""
        telling = OriginTelling(0)
        for stream in range(count):
            telling.add(begun(stream))
        return telling

    def test_calm_host_earns_one_burst(self) -> None:
        telling = self.overloaded()
        assert len(streams(telling, 50)) == MAX_BURST

    def test_streams_over_the_budget_wait_for_it(self) -> None:
        telling = self.overloaded()
        streams(telling, 50)
        assert not streams(telling, 50)
        assert telling.next_at(50) == pytest.approx(50 + 1 / TOLD_PER_S)
        assert len(streams(telling, 51)) == TOLD_PER_S

    def test_latest_stream_goes_first(self) -> None:
        """It is the one that may break for the longest time."""
        telling = self.overloaded()
        streams(telling, 50)
        telling.add(begun(1000, 50))
        assert streams(telling, 51)[0] == 1000

    def test_untold_streams_are_counted(self) -> None:
        telling = self.overloaded()
        streams(telling, 50)
        for stream in range(100):
            telling.on_completed(stream)
        assert telling.take_untold() == 100 - MAX_BURST
        assert telling.take_untold() == 0

    def test_stream_that_nobody_takes_up_any_more(self) -> None:
        telling = self.overloaded()
        assert not streams(telling, MEMORY_S + 1)
        assert telling.take_untold() == 100

    def test_waiting_streams_are_bounded(self) -> None:
        telling = self.overloaded(MAX_STREAMS + 100)
        telling.add(begun(-1, 1))
        assert telling.take_untold() == 100
        assert len(telling.young) == 1

    def test_late_streams_of_a_route(self) -> None:
        telling = self.overloaded(3)
        streams(telling, 0.1)
        telling.add(BegunStream(StreamOrigin(7, *OLD), 'other', 1))
        here, elsewhere = (
            StreamGroup('engines', name) for name in ('r', 'other')
        )
        assert telling.groups() == {here, elsewhere}
        taken = telling.take_of({here})
        assert sorted(origin.stream for origin in taken) == [0, 1, 2]
        assert streams(telling, 9) == [7]


class Traffic:
    """Plays streams at one of many hosts and counts its bytes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, hosts: int) -> None:
        self.now = 0.0
        monkeypatch.setattr(clock, 'now', lambda: self.now)
        self.wire = Wire(1)
        self.gossip = self.wire.gossips['a0']
        self.gossip.sender = self  # type: ignore[assignment]
        peers = self.gossip.peers
        peers.update_own(
            HostInfo('edge-tln-a-104', '10.31.104.17', 28_560_000_000_000_005)
        )
        peers.on_reported(
            [
                HostInfo(f'edge-tln-b-{number}', f'10.32.1.{number}', 1)
                for number in range(hosts - 1)
            ],
            0,
        )
        self.gossip.history.update([OLD], 0)
        self.bytes_at: Counter[int] = Counter()
        self.told: dict[int, list[float]] = {}

    def send(self, address: str, datagram: object) -> None:
        """Count a datagram of the host."""
        size = len(wire_format.encode(datagram))
        self.bytes_at[int(self.now)] += size
        for struct in datagram.begun:
            self.told.setdefault(struct.stream, []).append(self.now)

    def play(
        self, gaps: list[float], lasts: list[float], until: float
    ) -> dict[int, tuple[float, float]]:
        """Play streams; return when each began and ended."""
        times: dict[int, tuple[float, float]] = {}
        ends: list[tuple[float, int]] = []
        starts = itertools.accumulate(gaps)
        turn = zip(starts, lasts, strict=True)
        coming = next(turn, None)
        while self.now < until:
            self.now += TICK_S
            while coming is not None and coming[0] <= self.now:
                stream = stream_key('acme', f'q{len(times)}')
                times[stream] = (self.now, self.now + coming[1])
                heapq.heappush(ends, (self.now + coming[1], stream))
                self.gossip.on_first_event(StreamOrigin(stream, *OLD), 'r')
                coming = next(turn, None)
            while ends and ends[0][0] <= self.now:
                self.gossip.on_completed(heapq.heappop(ends)[1])
            self.gossip.tick(self.now)
        return times


class TestTraffic:
    """What is told ahead stays a small part of what a host may tell."""

    def test_design_size(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A quarter of the bytes at most; all of them not in any second."""
        drawn = random.Random(5)
        traffic = Traffic(monkeypatch, HOSTS)
        until = 2 * STEADY_AT_S
        count = int(until * DESIGN_STREAMS_PER_S)
        traffic.play(
            [drawn.expovariate(DESIGN_STREAMS_PER_S) for _ in range(count)],
            [drawn.uniform(0.2, 16) for _ in range(count)],
            until,
        )
        assert max(traffic.bytes_at.values()) <= CONTROL_BYTES_PER_S
        steady = sum(
            traffic.bytes_at[second] for second in range(STEADY_AT_S, until)
        )
        assert 0 < steady / STEADY_AT_S <= CONTROL_BYTES_PER_S / 4

    @pytest.mark.parametrize('rate', [2, 7])
    def test_todays_sites(
        self, monkeypatch: pytest.MonkeyPatch, rate: int
    ) -> None:
        """All streams that are open for a while are known to three hosts."""
        traffic = Traffic(monkeypatch, 28)
        until = 30
        times = traffic.play(
            [1 / rate] * until * rate, [0.3, 6.0] * (until * rate // 2), until
        )
        seen_until = until - TELL_AFTER_S - 3 * TICK_S
        for stream, (began, ended) in times.items():
            if ended - began < TELL_AFTER_S or began > seen_until:
                continue
            told_at = traffic.told[stream]
            assert len(told_at) == 3
            assert max(told_at) - began <= TELL_AFTER_S + 2 * TICK_S

    def test_uneven_streams(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Of seven a second on average, nearly all are told within a second."""
        drawn = random.Random(7)
        traffic = Traffic(monkeypatch, 28)
        times = traffic.play(
            [drawn.expovariate(7) for _ in range(900)], [8.0] * 900, 100
        )
        old = [stream for stream, (began, _) in times.items() if began < 99]
        prompt = sum(
            min(traffic.told.get(stream, [1000])) - times[stream][0] <= 1
            for stream in old
        )
        assert prompt >= 0.95 * len(old)


class TestGossip:
    """What other hosts know of the streams of one that tells nothing more."""

    def begin(
        self, monkeypatch: pytest.MonkeyPatch, open_s: float
    ) -> tuple[Wire, list[int]]:
        """Begin streams at one host of nine, which ticks for a while."""
        self.now = 0.0
        monkeypatch.setattr(clock, 'now', lambda: self.now)
        wire = Wire(9)
        for gossip in wire.gossips.values():
            gossip.history.update([OLD], 0)
        began = [stream_key('acme', f'q{number}') for number in range(14)]
        for stream in began:
            wire.gossips['a0'].on_first_event(StreamOrigin(stream, *OLD), 'r')
        while self.now < open_s:
            self.now += TICK_S
            wire.gossips['a0'].tick(self.now)
        return wire, began

    def found(self, wire: Wire, stream: int) -> tuple[OriginSource, object]:
        """Return what a host finds out that has no record of its own."""
        asking = next(
            gossip
            for address, gossip in wire.gossips.items()
            if address not in wire.down
            and stream not in gossip.origins.by_stream
        )
        found = asking.find(OriginQuery(stream, 'r', 24))
        return found.source, found.version

    def test_host_that_freezes_before_the_second_version_comes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        wire, began = self.begin(monkeypatch, 2)
        wire.down.add('a0')
        for address, gossip in wire.gossips.items():
            if address not in wire.down:
                gossip.history.update([OLD, NEW], 2)
                gossip.on_endpoints(2)
        for stream in began:
            expected = (OriginSource.recorded, OLD)
            assert self.found(wire, stream) == expected

    def test_host_that_ends_after_the_route_was_split(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        wire, began = self.begin(monkeypatch, 2)
        wire.down.add('a0')
        for gossip in wire.gossips.values():
            gossip.routes.update([route('engines', 'others')], 2)
        for stream in began:
            expected = (OriginSource.recorded, OLD)
            assert self.found(wire, stream) == expected

    def test_untold_streams_of_a_route_that_is_split(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        wire, began = self.begin(monkeypatch, 0.1)
        assert not wire.sent
        for gossip in wire.gossips.values():
            gossip.routes.update([route('engines', 'others')], 0.1)
        wire.gossips['a0'].on_endpoints(0.1)
        wire.down.add('a0')
        for stream in began:
            expected = (OriginSource.recorded, OLD)
            assert self.found(wire, stream) == expected

    def test_tellings_are_counted(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        wire, _ = self.begin(monkeypatch, 2)
        gossip = wire.gossips['a0']
        gossip.on_first_event(StreamOrigin(1, *OLD), 'r')
        gossip.history.update([OLD, NEW], 2)
        gossip.on_endpoints(2)
        gossip.on_first_event(StreamOrigin(2, *OLD), 'r')
        total = 'trefoilspool_origins_told_total'
        assert gossip.metrics.counters == {
            f'{total}{{when="ahead"}}': 14,
            f'{total}{{when="late"}}': 1,
            f'{total}{{when="at_once"}}': 1,
        }

    def test_untold_streams_are_counted(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        wire, began = self.begin(monkeypatch, 0.1)
        gossip = wire.gossips['a0']
        gossip.telling.bucket.set_limit(0, 0, self.now)
        gossip.tick(TELL_AFTER_S)
        for stream in began:
            gossip.on_completed(stream)
        gossip.tick(1)
        assert not wire.sent
        assert gossip.metrics.counters == {
            'trefoilspool_origins_untold_total': len(began)
        }

    def test_tick_sends_one_datagram_to_each_host(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Fourteen streams to three of eight hosts each."""
        wire, _ = self.begin(monkeypatch, TELL_AFTER_S - TICK_S)
        wire.gossips['a0'].telling.bucket.level = MAX_BURST
        wire.gossips['a0'].tick(TELL_AFTER_S)
        assert wire.sent <= 8
