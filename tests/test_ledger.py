"""The claim state machine, checked over all interleavings to a depth."""

import random
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, NamedTuple

import pytest
from returns.result import Success

from trefoilspool.claims import ClaimKey, ClaimTask, ReleaseKey
from trefoilspool.errors import LogLostAnswerError, LogOutageError
from trefoilspool.ledger import Claim, ClaimBatch, Ledger
from trefoilspool.platform import LogPage, LogRecord, LogService
from trefoilspool.platforms.memory import MemoryLog

KEY = 'key'
DEPTH = 6
RANDOM_RUNS = 1500
RANDOM_DEPTH = 40


class FaultyLog(LogService):
    """A log whose next append can be lost, delayed or refused."""

    def __init__(self, log: MemoryLog) -> None:
        self.log = log
        self.fault = 'none'
        self.delayed: list[str] = []

    def append(self, stream: str, body: str) -> int:
        fault, self.fault = self.fault, 'none'
        if fault == 'refused':
            raise LogOutageError('refused')
        if fault == 'delayed':
            self.delayed.append(body)
            raise LogLostAnswerError('delayed')
        offset = self.log.append(stream, body)
        if fault == 'lost':
            raise LogLostAnswerError('lost')
        return offset

    def read(self, stream: str, start: int, limit: int = 500) -> LogPage:
        return self.log.read(stream, start, limit)


class Calls:
    """An executor whose calls run when the test says so."""

    def __init__(self) -> None:
        self.pending: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    def submit(self, call: Callable[..., None], *arguments: Any) -> None:
        self.pending.append((call, arguments))

    def run(self) -> None:
        call, arguments = self.pending.pop(0)
        call(*arguments)


class Side(NamedTuple):
    task: ClaimTask
    calls: Calls
    log: FaultyLog


class System:
    """Two hosts that get the same key, and a caller who retries."""

    def __init__(self) -> None:
        self.log = MemoryLog()
        self.incarnation = 0
        self.sides: list[Side] = []
        self.asked: list[tuple[int, Future[Any]]] = []
        self.ran: list[Claim] = []
        self.won: dict[Claim, Side] = {}
        self.retries = 0
        self.crashes = 0
        for name in ('a', 'b'):
            self.sides.append(self.start(name))
            self.settle(self.sides[-1])

    def start(self, name: str) -> Side:
        self.incarnation += 1
        calls = Calls()
        log = FaultyLog(self.log)
        task = ClaimTask(
            log,
            name,
            self.incarnation,
            calls,  # type: ignore[arg-type]
            rate=1e9,
        )
        task.start_read()
        return Side(task, calls, log)

    def settle(self, side: Side) -> None:
        """Run calls and messages of one host until it is quiet."""
        while side.calls.pending or not side.task.inbox.empty():
            if side.calls.pending:
                side.calls.run()
            self.deliver(side)

    def deliver(self, side: Side) -> None:
        while not side.task.inbox.empty():
            side.task.handle(side.task.inbox.get())
        side.task.batch_end()
        self.collect()

    def collect(self) -> None:
        for number, future in self.asked:
            if future.done() and isinstance(future.result(), Success):
                claim = future.result().unwrap()
                if claim not in self.won:
                    self.won[claim] = self.sides[number]
                    holders = [
                        one
                        for one in self.won
                        if one in self.ran or one in self.undecided()
                    ]
                    assert len(holders) == 1, self.won

    def undecided(self) -> list[Claim]:
        """Claims that may still be dispatched."""
        return [
            claim
            for claim, side in self.won.items()
            if claim in side.task.held and claim not in self.ran
        ]

    def choices(self) -> list[str]:
        found = []
        for number, side in enumerate(self.sides):
            found.append(f'poll {number}')
            if self.retries < 3:
                found.append(f'ask {number}')
            if side.calls.pending:
                found += [f'run {number}', f'lose {number}']
                found += [f'delay {number}', f'refuse {number}']
            if side.log.delayed:
                found.append(f'arrive {number}')
            if side.task.waiting:
                found.append(f'slow {number}')
            if self.crashes < 1:
                found.append(f'crash {number}')
            held = [one for one in side.task.held if one not in self.ran]
            if held:
                found += [f'dispatch {number}', f'give-up {number}']
        return found

    def step(self, choice: str) -> None:
        action, _, digit = choice.partition(' ')
        number = int(digit)
        side = self.sides[number]
        getattr(self, f'do_{action.replace("-", "_")}')(number, side)
        self.deliver(self.sides[number])
        assert len(self.ran) <= 1, self.ran

    def do_ask(self, number: int, side: Side) -> None:
        self.retries += 1
        future: Future[Any] = Future()
        self.asked.append((number, future))
        side.task.post(ClaimKey(KEY, future))

    def do_poll(self, number: int, side: Side) -> None:
        side.task.start_read()

    def do_run(self, number: int, side: Side) -> None:
        side.calls.run()

    def do_lose(self, number: int, side: Side) -> None:
        side.log.fault = 'lost'
        side.calls.run()

    def do_delay(self, number: int, side: Side) -> None:
        side.log.fault = 'delayed'
        side.calls.run()

    def do_refuse(self, number: int, side: Side) -> None:
        side.log.fault = 'refused'
        side.calls.run()

    def do_arrive(self, number: int, side: Side) -> None:
        self.log.append('claims', side.log.delayed.pop(0))

    def do_slow(self, number: int, side: Side) -> None:
        side.task.fail_waiting()

    def do_crash(self, number: int, side: Side) -> None:
        self.crashes += 1
        delayed = side.log.delayed
        self.asked = [one for one in self.asked if one[0] != number]
        for claim in list(side.task.held):
            if claim not in self.ran:
                del self.won[claim]
        self.sides[number] = self.start(side.task.host)
        self.sides[number].log.delayed.extend(delayed)
        self.settle(self.sides[number])

    def do_dispatch(self, number: int, side: Side) -> None:
        claim = next(one for one in side.task.held if one not in self.ran)
        self.ran.append(claim)

    def do_give_up(self, number: int, side: Side) -> None:
        claim = next(one for one in side.task.held if one not in self.ran)
        side.task.post(ReleaseKey(claim))

    def fingerprint(self) -> str:
        sides = [
            (
                len(side.calls.pending),
                [call.__name__ for call, _ in side.calls.pending],
                side.task.state,
                sorted(side.task.waiting),
                sorted(side.task.held),
                side.task.releases,
                side.task.ledger.holders,
                side.task.ledger.next,
                side.log.delayed,
                side.task.outage_since is None,
                side.task.append_ended,
            )
            for side in self.sides
        ]
        told = [
            (number, future.done() and str(future.result()))
            for number, future in self.asked
        ]
        counts = (self.retries, self.crashes, self.ran)
        return str((sides, told, counts, self.log.streams))


def replay(path: tuple[str, ...]) -> System:
    system = System()
    for choice in path:
        system.step(choice)
    return system


class TestClaimModel:
    def test_all_interleavings_run_at_most_once(self) -> None:
        frontier: list[tuple[str, ...]] = [()]
        seen: set[str] = set()
        for _ in range(DEPTH):
            following = []
            for path in frontier:
                for choice in replay(path).choices():
                    system = replay((*path, choice))
                    mark = system.fingerprint()
                    if mark not in seen:
                        seen.add(mark)
                        following.append((*path, choice))
            frontier = following
        assert len(seen) > 1000

    def test_long_random_runs_run_at_most_once(self) -> None:
        dispatched = 0
        for seed in range(RANDOM_RUNS):
            chooser = random.Random(seed)
            system = System()
            for _ in range(RANDOM_DEPTH):
                system.step(chooser.choice(system.choices()))
            dispatched += len(system.ran)
        assert dispatched > RANDOM_RUNS / 20

    def test_released_key_can_be_claimed_anywhere(self) -> None:
        system = replay(('ask 0',))
        system.settle(system.sides[0])
        system.step('give-up 0')
        for side in system.sides:
            side.task.start_read()
            system.settle(side)
            side.task.start_read()
            system.settle(side)
        system.step('ask 1')
        system.settle(system.sides[1])
        system.step('dispatch 1')
        assert len(system.ran) == 1

    def test_unkept_release_would_run_twice(self) -> None:
        """The check itself: two dispatches are seen as a violation."""
        system = replay(('ask 0',))
        system.settle(system.sides[0])
        system.step('dispatch 0')
        system.ran.append(Claim(KEY, -1))
        with pytest.raises(AssertionError):
            system.step('ask 1')


class TestLedger:
    def batch(
        self, host: str, *ids: int, releases: tuple[int, ...] = ()
    ) -> str:
        return ClaimBatch(
            host,
            1,
            tuple(Claim(KEY, one) for one in ids),
            tuple(Claim(KEY, one) for one in releases),
        ).encode()

    def test_first_claim_by_offset_wins(self) -> None:
        ledger = Ledger()
        ledger.apply(LogRecord(0, self.batch('a', 1)))
        ledger.apply(LogRecord(1, self.batch('b', 2)))
        assert ledger.holders[KEY].host == 'a'

    def test_only_the_holder_releases(self) -> None:
        ledger = Ledger()
        ledger.apply(LogRecord(0, self.batch('a', 1)))
        ledger.apply(LogRecord(1, self.batch('b', releases=(1,))))
        assert not ledger.holders[KEY].released
        ledger.apply(LogRecord(2, self.batch('a', releases=(1,))))
        assert ledger.holders[KEY].released

    def test_trimmed_claims_are_forgotten(self) -> None:
        ledger = Ledger()
        ledger.apply(LogRecord(0, self.batch('a', 1)))
        ledger.trim(1)
        assert not ledger.holders
        assert ledger.next == 1
