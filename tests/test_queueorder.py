"""The order of waiting requests, on a recorded load beyond the slots."""

import csv
import heapq
import re
from collections import Counter, defaultdict
from pathlib import Path
from statistics import median
from typing import NamedTuple

import pytest

from trefoilspool.queueing.calibration import Calibration, WaitResult
from trefoilspool.queueing.order import ORDERS, Lane
from trefoilspool.queueing.servicequeue import ServiceQueue
from trefoilspool.queueing.shares import ServiceShares
from trefoilspool.queueing.waitingrequests import QueuedRequest
from trefoilspool.queueing.waitprediction import (
    MIN_RETRY_AFTER_S,
    RETRY_AFTER_DIVISOR,
)
from trefoilspool.slotmessages import (
    AttemptEnding,
    EndpointSpec,
    Granted,
    HeldSlot,
    RefusalReason,
    Refused,
    SlotKey,
    SlotRelease,
    SlotRequest,
)
from trefoilspool.slotscheduler import SlotScheduler

# Five seconds of requests to engines with 240 slots, more than they can serve;
# at_s is the arrival, output_tokens what was asked for or produced.
CREST = Path(__file__).parent.parent / 'traces' / 'slots-crest.csv'
ENDPOINTS = 30
SLOTS = 8
SERVICE = 'engines'
STEP_S = 0.02
TOKEN_S = 0.005
PROMPT_TOKEN_S = 0.00003
# Time to the first byte and time limit by rank, in seconds.
AIMS = {9: 0.8, 10: 0.3, 11: 0.4}
LIMITS_S = {9: 15, 10: 12, 11: 3}
# Requests with an expected output of more are long.
LONG_TOKENS = 300
# Starved is who gets less than this part of the common rate.
STARVED = 0.25


class Recorded(NamedTuple):
    at_s: float
    rank: int
    prompt_tokens: int
    expected_tokens: int
    output_tokens: int

    @property
    def held_s(self) -> float:
        return (
            self.prompt_tokens * PROMPT_TOKEN_S + self.output_tokens * TOKEN_S
        )


def recorded() -> list[Recorded]:
    with CREST.open() as lines:
        rows = list(csv.reader(lines))
    return [
        Recorded(float(at_s), *(int(number) for number in numbers))
        for at_s, *numbers in rows[1:]
    ]


def ask(number: int, row: Recorded) -> SlotRequest:
    return SlotRequest(
        key=SlotKey('h1', number),
        service=SERVICE,
        workspace='w',
        rank=row.rank,
        prompt_tokens=row.prompt_tokens,
        output_tokens=row.expected_tokens,
        first_byte_due=row.at_s + AIMS[row.rank],
        deadline=row.at_s + LIMITS_S[row.rank],
        arrived_at=row.at_s,
        avoid=(),
        attempt=1,
        prompt_prefixes=(),
        streams=True,
        charge=0,
        data_centre='z1',
        repeatable=True,
    )


def counted(calibration: Calibration, result: str) -> int:
    """Return the waits with a result, over all ranks."""
    pattern = rf'result="{result}"}} (\d+)'
    return sum(map(int, re.findall(pattern, calibration.metrics.render())))


class Replay:
    """A scheduler under the recorded load, and what became of its requests."""

    def __init__(self, order: str) -> None:
        self.rows = recorded()
        self.scheduler = SlotScheduler()
        self.scheduler.use_order(ORDERS[order])
        self.scheduler.on_available_endpoints(
            [
                EndpointSpec(f'e{number}', SERVICE, 'z1', SLOTS, 1, 7)
                for number in range(ENDPOINTS)
            ],
            0,
        )
        self.running: list[tuple[float, int, str]] = []
        self.on_time: Counter[int] = Counter()
        self.asked = Counter(row.rank for row in self.rows)
        self.long_served: Counter[bool] = Counter()
        self.refused_after_s: defaultdict[int, list[float]] = defaultdict(list)
        self.retry_after: dict[int, float] = {}

    def run(self) -> 'Replay':
        coming = list(reversed(list(enumerate(self.rows))))
        now = 0.0
        while coming:
            while coming and coming[-1][1].at_s <= now:
                number, row = coming.pop()
                self.scheduler.on_ask(ask(number, row), now)
                self.take(now)
            while self.running and self.running[0][0] <= now:
                self.end(*heapq.heappop(self.running)[1:], now)
            self.scheduler.on_held_slots(
                'h1',
                [
                    HeldSlot(SlotKey('h1', number), SERVICE, name, 1, 1, 1)
                    for _, number, name in self.running
                ],
                now,
            )
            self.scheduler.tick(now)
            self.take(now)
            now += STEP_S
        return self

    def end(self, number: int, endpoint: str, now: float) -> None:
        self.scheduler.on_release(
            SlotRelease(
                SlotKey('h1', number),
                AttemptEnding.completed,
                endpoint,
                0.1,
                0,
                0,
                self.rows[number].prompt_tokens,
            ),
            now,
        )
        self.take(now)

    def refused_late(self, rank: int) -> float:
        """Return the share of refusals after the time of the first byte."""
        waited = self.refused_after_s[rank]
        return sum(seconds > AIMS[rank] for seconds in waited) / len(waited)

    def waits(self, result: str) -> int:
        return counted(self.scheduler.calibration, result)

    def take(self, now: float) -> None:
        for decision in self.scheduler.take_decisions():
            number = decision.key.number
            row = self.rows[number]
            if isinstance(decision, Granted):
                until = now + row.held_s
                heapq.heappush(self.running, (until, number, decision.endpoint))
                on_time = now < row.at_s + AIMS[row.rank]
                self.on_time[row.rank] += on_time
                is_long = row.expected_tokens > LONG_TOKENS
                self.long_served[is_long] += row.rank == 10
            elif isinstance(decision, Refused):
                self.refused_after_s[row.rank].append(now - row.at_s)
                self.retry_after[number] = decision.retry_after


@pytest.fixture(scope='module')
def due() -> Replay:
    return Replay('due').run()


@pytest.fixture(scope='module')
def shortest() -> Replay:
    return Replay('shortest').run()


class TestCrest:
    """Ranks 9 and 10 ask for more than the slots; 11 is the lowest."""

    def test_more_callers_are_served_in_time(
        self, due: Replay, shortest: Replay
    ) -> None:
        assert shortest.on_time[10] > due.on_time[10]
        assert shortest.on_time.total() > due.on_time.total()

    def test_higher_rank_loses_nothing(
        self, due: Replay, shortest: Replay
    ) -> None:
        assert shortest.on_time[9] >= due.on_time[9] * 0.95

    def test_higher_rank_is_served_more_often(self, shortest: Replay) -> None:
        shares = [
            shortest.on_time[rank] / shortest.asked[rank]
            for rank in sorted(shortest.asked)
        ]
        assert shares == sorted(shares, reverse=True)

    def test_long_requests_do_not_starve(self, shortest: Replay) -> None:
        asked = Counter(
            row.expected_tokens > LONG_TOKENS
            for row in shortest.rows
            if row.rank == 10
        )
        common = shortest.long_served.total() / asked.total()
        long = shortest.long_served[True] / asked[True]
        assert long >= STARVED * common

    def test_refusals_come_early(self, due: Replay, shortest: Replay) -> None:
        """Nine of ten who are refused know it before they would be late."""
        assert shortest.refused_late(10) <= 0.1
        assert shortest.refused_late(11) <= 0.1
        assert due.refused_late(10) > 0.5


class TestShortestOrder:
    order = ORDERS['shortest']

    def ask(self, tokens: int, **changes: object) -> SlotRequest:
        row = Recorded(0, 10, 600, tokens, tokens)
        return ask(tokens, row)._replace(**changes)

    def test_sizes_double(self) -> None:
        tokens = (0, 60, 120, 240, 480, 960, 1920, 3840, 99_999)
        sizes = [self.order.size(self.ask(number)) for number in tokens]
        assert sizes == [0, 0, 1, 2, 3, 4, 5, 6, 6]

    def test_due_decides_between_requests_of_a_size(self) -> None:
        queue = ServiceQueue(self.order)
        first, second = self.ask(5), self.ask(6, first_byte_due=0.2)
        long = self.ask(900, first_byte_due=0.1)
        for waiting in (long, first, second):
            queue.add(waiting)
        assert queue.candidates(0) == [second, first, long]
        assert queue.ahead(long, 0) == 2
        assert queue.ahead(second, 0) == 0

    def test_late_request_counts_none_of_its_rank_where_all_wait(self) -> None:
        queue = ServiceQueue(ORDERS['due'])
        higher = self.ask(7, rank=9)
        for waiting in (self.ask(5), self.ask(6), higher):
            queue.add(waiting)
        late = self.ask(8)
        assert queue.ahead(late, 1) == 1
        assert queue.ahead(late._replace(first_byte_due=2), 1) == 1

    def test_late_requests_come_last(self) -> None:
        queue = ServiceQueue(self.order)
        short, long = self.ask(5), self.ask(900, first_byte_due=2)
        queue.add(short)
        queue.add(long)
        assert queue.candidates(1) == [long, short]

    def test_size_without_its_share_goes_first(self) -> None:
        shares = ServiceShares()
        short, long = Lane(10, 0), Lane(10, 4)
        for _ in range(20):
            for lane in (short, long):
                shares.on_ask(lane, 0)
            shares.on_grant(short, 0)
        preferred = shares.underserved(0)
        assert preferred.lanes == {long}
        queue = ServiceQueue(self.order)
        for waiting in (self.ask(5), self.ask(900)):
            queue.add(waiting)
        assert queue.candidates(0, preferred)[0].output_tokens == 900


class TestReturn:
    """Callers that are refused in a crowd and come back when told."""

    def told(self, replay: Replay) -> list[float]:
        """Return the delays of the last requests, as shares of the longest."""
        return [
            retry_after / (LIMITS_S[10] / RETRY_AFTER_DIVISOR)
            for number, retry_after in replay.retry_after.items()
            if replay.rows[number].rank == 10
        ]

    def test_crowd_is_told_to_return_later(
        self, due: Replay, shortest: Replay
    ) -> None:
        assert median(self.told(shortest)) > median(self.told(due))

    def test_times_differ(self, shortest: Replay) -> None:
        told = sorted(self.told(shortest))
        half = len(told) // 2
        assert told[-1] - told[0] > 0.2
        assert told[half] - told[0] > 0.05

    def test_no_delay_beyond_the_time_left(self, shortest: Replay) -> None:
        assert max(self.told(shortest)) <= 1

    def test_without_refusals_the_queue_decides(self) -> None:
        scheduler = SlotScheduler()
        scheduler.use_order(ORDERS['shortest'])
        request = ask(1, recorded()[0])
        delay = scheduler.waits.retry_after(request, RefusalReason.crowded, 0)
        assert delay == MIN_RETRY_AFTER_S


class TestCalibration:
    """What was predicted is held against what happened."""

    def test_most_who_wait_in_a_crowd_get_a_slot(
        self, shortest: Replay, due: Replay
    ) -> None:
        assert shortest.waits('in_vain') < due.waits('in_vain') / 2

    def test_wait_as_predicted(self) -> None:
        calibration = Calibration()
        waiting = QueuedRequest(ask(1, recorded()[0]), 1, 0, 0.2)
        calibration.on_granted(waiting, 0.3)
        calibration.on_granted(waiting, 0.9)
        calibration.on_refused(waiting)
        for result in WaitResult:
            assert counted(calibration, result.value) == 1


class TestPlainRequest:
    """Nothing is known of the length of a request to a plain service."""

    def test_waits_until_its_timeout(self) -> None:
        plain = ask(1, Recorded(0, 11, 0, 0, 0))
        assert not ORDERS['shortest'].refuses_early(plain)
        assert ORDERS['shortest'].refuses_early(plain._replace(output_tokens=1))


class TestBriefQueue:
    """A few requests meet on a service that mostly has room."""

    def test_who_waits_a_moment_is_not_refused(self) -> None:
        scheduler = SlotScheduler()
        scheduler.use_order(ORDERS['shortest'])
        spec = EndpointSpec('e1', SERVICE, 'z1', 2, 1, 0)
        scheduler.on_available_endpoints([spec], 0)
        numbers = iter(range(1000))
        row = Recorded(0, 10, 0, 1, 0)
        for step in range(100):
            number, now = next(numbers), step / 10
            scheduler.on_ask(ask(number, row._replace(at_s=now)), now)
            end = SlotRelease(
                SlotKey('h1', number), AttemptEnding.completed, 'e1', 0, 0, 0, 0
            )
            scheduler.on_release(end, now + 0.03)
        scheduler.take_decisions()
        tight = row._replace(at_s=10)
        for _ in range(8):
            request = ask(next(numbers), tight)
            scheduler.on_ask(
                request._replace(first_byte_due=10.12, deadline=10.6), 10
            )
        assert not any(
            isinstance(decision, Refused)
            for decision in scheduler.take_decisions()
        )
