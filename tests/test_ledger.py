"""Claims run at most once: interleavings to a bounded depth, random runs."""

import random
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, NamedTuple

import pytest
from returns.result import Success

from trefoilspool.claims import ClaimKey, ClaimTask, ReleaseKey
from trefoilspool.errors import (
    LogLostAnswerError,
    LogOutageError,
)
from trefoilspool.ledger import Claim, ClaimBatch, Ledger
from trefoilspool.platform import LogPage, LogRecord, LogService
from trefoilspool.platforms.memory import MemoryLog

KEY = 'key'
DEPTH = 6
RANDOM_RUNS = 1500
RANDOM_DEPTH = 40


class FaultyLog(LogService):
    """A log whose next append can lose its response, be delayed or refused."""

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


class ManualExecutor:
    """Executor that runs its calls one by one, at the test's command."""

    def __init__(self) -> None:
        self.pending: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    def submit(self, call: Callable[..., None], *arguments: Any) -> None:
        self.pending.append((call, arguments))

    def run(self) -> None:
        call, arguments = self.pending.pop(0)
        call(*arguments)


class ClaimingHost(NamedTuple):
    task: ClaimTask
    calls: ManualExecutor
    log: FaultyLog


class System:
    """Two hosts that claim the same key, and a caller who retries."""

    def __init__(self) -> None:
        self.log = MemoryLog()
        self.incarnation = 0
        self.hosts: list[ClaimingHost] = []
        self.requests: list[tuple[int, Future[Any]]] = []
        self.dispatched: list[Claim] = []
        self.granted: dict[Claim, ClaimingHost] = {}
        self.retries = 0
        self.crashes = 0
        for name in ('a', 'b'):
            self.hosts.append(self.start(name))
            self.settle(self.hosts[-1])

    def start(self, name: str) -> ClaimingHost:
        self.incarnation += 1
        calls = ManualExecutor()
        log = FaultyLog(self.log)
        task = ClaimTask(
            log,
            name,
            self.incarnation,
            calls,  # type: ignore[arg-type]
            rate=1e9,
        )
        task.start_read()
        return ClaimingHost(task, calls, log)

    def settle(self, host: ClaimingHost) -> None:
        """Run the calls and messages of one host until none is left."""
        while host.calls.pending or not host.task.inbox.empty():
            if host.calls.pending:
                host.calls.run()
            self.deliver(host)

    def deliver(self, host: ClaimingHost) -> None:
        while not host.task.inbox.empty():
            host.task.handle(host.task.inbox.get())
        host.task.batch_end()
        self.check_new_claims()

    def check_new_claims(self) -> None:
        """Record newly won claims; at most one may ever be dispatched."""
        for number, future in self.requests:
            if future.done() and isinstance(future.result(), Success):
                claim = future.result().unwrap()
                if claim not in self.granted:
                    self.granted[claim] = self.hosts[number]
                    holders = [
                        held
                        for held in self.granted
                        if held in self.dispatched
                        or held in self.dispatchable()
                    ]
                    assert len(holders) == 1, self.granted

    def dispatchable(self) -> list[Claim]:
        """Return the claims that may still be dispatched."""
        return [
            claim
            for claim, host in self.granted.items()
            if claim in host.task.held and claim not in self.dispatched
        ]

    def choices(self) -> list[str]:
        found = []
        for number, host in enumerate(self.hosts):
            found.append(f'poll {number}')
            if self.retries < 3:
                found.append(f'ask {number}')
            if host.calls.pending:
                found += [f'run {number}', f'lose {number}']
                found += [f'delay {number}', f'refuse {number}']
            if host.log.delayed:
                found.append(f'arrive {number}')
            if host.task.waiting:
                found.append(f'slow {number}')
            if self.crashes < 1:
                found.append(f'crash {number}')
            held = [
                claim
                for claim in host.task.held
                if claim not in self.dispatched
            ]
            if held:
                found += [f'dispatch {number}', f'give-up {number}']
        return found

    def step(self, choice: str) -> None:
        action, _, digit = choice.partition(' ')
        number = int(digit)
        host = self.hosts[number]
        getattr(self, f'do_{action.replace("-", "_")}')(number, host)
        self.deliver(self.hosts[number])
        assert len(self.dispatched) <= 1, self.dispatched

    def do_ask(self, number: int, host: ClaimingHost) -> None:
        self.retries += 1
        future: Future[Any] = Future()
        self.requests.append((number, future))
        host.task.post(ClaimKey(KEY, future))

    def do_poll(self, number: int, host: ClaimingHost) -> None:
        host.task.start_read()

    def do_run(self, number: int, host: ClaimingHost) -> None:
        host.calls.run()

    def do_lose(self, number: int, host: ClaimingHost) -> None:
        host.log.fault = 'lost'
        host.calls.run()

    def do_delay(self, number: int, host: ClaimingHost) -> None:
        host.log.fault = 'delayed'
        host.calls.run()

    def do_refuse(self, number: int, host: ClaimingHost) -> None:
        host.log.fault = 'refused'
        host.calls.run()

    def do_arrive(self, number: int, host: ClaimingHost) -> None:
        self.log.append('claims', host.log.delayed.pop(0))

    def do_slow(self, number: int, host: ClaimingHost) -> None:
        host.task.fail_waiting()

    def do_crash(self, number: int, host: ClaimingHost) -> None:
        self.crashes += 1
        delayed = host.log.delayed
        self.requests = [
            request for request in self.requests if request[0] != number
        ]
        for claim in list(host.task.held):
            if claim not in self.dispatched:
                del self.granted[claim]
        self.hosts[number] = self.start(host.task.host)
        self.hosts[number].log.delayed.extend(delayed)
        self.settle(self.hosts[number])

    def do_dispatch(self, number: int, host: ClaimingHost) -> None:
        claim = next(
            held for held in host.task.held if held not in self.dispatched
        )
        self.dispatched.append(claim)

    def do_give_up(self, number: int, host: ClaimingHost) -> None:
        claim = next(
            held for held in host.task.held if held not in self.dispatched
        )
        host.task.post(ReleaseKey(claim))

    def fingerprint(self) -> str:
        hosts = [
            (
                len(host.calls.pending),
                [call.__name__ for call, _ in host.calls.pending],
                host.task.state,
                sorted(host.task.waiting),
                sorted(host.task.held),
                host.task.releases,
                host.task.ledger.holders,
                host.task.ledger.next_offset,
                host.log.delayed,
                host.task.outage_since is None,
                host.task.append_ended,
            )
            for host in self.hosts
        ]
        results = [
            (number, future.done() and str(future.result()))
            for number, future in self.requests
        ]
        counts = (self.retries, self.crashes, self.dispatched)
        return str((hosts, results, counts, self.log.streams))


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
            extended = []
            for path in frontier:
                for choice in replay(path).choices():
                    system = replay((*path, choice))
                    fingerprint = system.fingerprint()
                    if fingerprint not in seen:
                        seen.add(fingerprint)
                        extended.append((*path, choice))
            frontier = extended
        assert len(seen) > 1000

    def test_long_random_runs_run_at_most_once(self) -> None:
        dispatched = 0
        for seed in range(RANDOM_RUNS):
            chooser = random.Random(seed)
            system = System()
            for _ in range(RANDOM_DEPTH):
                system.step(chooser.choice(system.choices()))
            dispatched += len(system.dispatched)
        assert dispatched > RANDOM_RUNS / 20

    def test_released_key_can_be_claimed_anywhere(self) -> None:
        system = replay(('ask 0',))
        system.settle(system.hosts[0])
        system.step('give-up 0')
        for host in system.hosts:
            host.task.start_read()
            system.settle(host)
            host.task.start_read()
            system.settle(host)
        system.step('ask 1')
        system.settle(system.hosts[1])
        system.step('dispatch 1')
        assert len(system.dispatched) == 1

    def test_second_dispatch_is_detected(self) -> None:
        """The model's own check fails on a second dispatch."""
        system = replay(('ask 0',))
        system.settle(system.hosts[0])
        system.step('dispatch 0')
        system.dispatched.append(Claim(KEY, -1))
        with pytest.raises(AssertionError):
            system.step('ask 1')


class TestLedger:
    def batch(
        self, host: str, *ids: int, releases: tuple[int, ...] = ()
    ) -> str:
        return ClaimBatch(
            host,
            1,
            tuple(Claim(KEY, claim_id) for claim_id in ids),
            tuple(Claim(KEY, claim_id) for claim_id in releases),
        ).encode()

    def test_first_claim_by_offset_wins(self) -> None:
        ledger = Ledger()
        ledger.apply(LogRecord(0, self.batch('a', 1)))
        ledger.apply(LogRecord(1, self.batch('b', 2)))
        assert ledger.holders[KEY].host == 'a'

    def test_only_the_holder_can_release(self) -> None:
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
        assert ledger.next_offset == 1
