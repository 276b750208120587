"""Randomized soak test of host processes under injected faults.

The random choices of a run come from its seed. After the run, the ledger checks
the guarantees against what callers and endpoints observed.

.venv/bin/python tests/soak.py --first 1 --count 50
"""

import http.client
import pathlib
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import fire
from soakcallers import Caller, KeptCaller, ResumingCaller
from soakchecks import all_violations
from soakfaults import (
    CALM_FAULTS,
    FIRST_SEED_WITH_LIMITS,
    FIRST_SEED_WITH_MISSES,
    FIRST_SEED_WITH_OUTAGES,
    FIRST_SEED_WITH_SERIES,
    FIRST_SEED_WITH_VERSIONS,
    crash_by_part,
    crash_by_request,
    fault_table,
    inject_fault,
)
from soakmisses import miss_versions
from soakrollouts import check_rollouts
from soakstreams import StreamShares, check_streams, stream_shares
from soakworld import SoakHost, World, WorldShape

START_TIMEOUT_S = 20.0
RECOVERY_TIMEOUT_S = 12.0
RECOVERY_CALLS = 12
MIN_SERVED_SHARE = 0.25
CALLER_COUNT = 6
SECONDS = 12.0  # of fault injection
PLANNED_ONLY_SHARE = 0.3  # share of seeds with planned faults only
POLL_INTERVAL_S = 0.05
MAX_FAULTS = 58  # that are active at once
# The draws of seeds from FIRST_SEED_WITH_SERIES on.
HOST_COUNTS = (5, 5, 5, 5, 5, 5, 5, 8, 8, 12, 12, 40)
HOSTS_PER_ENDPOINT = 3
VERSION_COUNTS = (2, 2, 3)
MIN_ENDPOINTS = 6
CRASH_SHARE = 0.5  # share of these seeds with a part that crashes endpoints
CRASH_START_S = 3.0
SLOT_ORDERS = {False: 'due', True: 'shortest'}
SECONDS_BY_LATENESS = {False: 0.0, True: 20.0}
CALM_SHARE = 0.7  # share of these seeds in which no host restarts
SECONDS_BY_CRASHES = {False: SECONDS, True: 18.0}


MainFault = Callable[[World, random.Random, float], None]


class Result(NamedTuple):
    """The result of a seed; ``statuses`` counts the responses by status."""

    seed: int
    violations: list[str]
    statuses: Counter[int]
    faults: list[str]
    shares: StreamShares


class Plan(NamedTuple):
    """What a seed chooses before its faults."""

    shape: WorldShape
    callers: int
    crashes: bool
    seconds: float
    calm: bool = False


def plan_of(seed: int, seconds: float, hosts: int) -> Plan:
    """Return the plan of a seed; 0 seconds or hosts leave them to the seed."""
    if seed < FIRST_SEED_WITH_SERIES:
        return Plan(WorldShape(), CALLER_COUNT, False, seconds or SECONDS)
    rng = random.Random(f'plan {seed}')
    drawn = rng.choice(HOST_COUNTS)
    hosts = hosts or drawn
    endpoints = max(MIN_ENDPOINTS, hosts // HOSTS_PER_ENDPOINT)
    crashes = rng.random() < CRASH_SHARE
    versions = 1
    if seed >= FIRST_SEED_WITH_VERSIONS:
        versions = rng.choice(VERSION_COUNTS)
        crashes = crashes and rng.random() < CRASH_SHARE
    late = seed >= FIRST_SEED_WITH_MISSES
    crashes = crashes and not late
    return Plan(
        WorldShape(
            hosts,
            endpoints,
            varied=True,
            versions=versions,
            slot_order=SLOT_ORDERS[seed >= FIRST_SEED_WITH_OUTAGES],
            late=late,
        ),
        CALLER_COUNT * 2 + hosts // 4,
        crashes,
        seconds or max(SECONDS_BY_CRASHES[crashes], SECONDS_BY_LATENESS[late]),
        late and rng.random() < CALM_SHARE,
    )


def soak(
    seed: int, seconds: float, folder: pathlib.Path, hosts: int = 0
) -> Result:
    """Run a seed and return its result."""
    rng = random.Random(seed)
    plan = plan_of(seed, seconds, hosts)
    world = World(folder, plan.shape)
    try:
        wait_ready(world, START_TIMEOUT_S + plan.shape.hosts)
        return run(world, seed, rng, plan)
    finally:
        world.close()


def run(world: World, seed: int, rng: random.Random, plan: Plan) -> Result:
    """Send requests and inject faults, then check the recovery."""
    until = time.monotonic() + plan.seconds
    kinds = caller_kinds(plan.shape)
    callers = [
        kinds[number % len(kinds)](
            world, f's{seed}c{number}', rng.getrandbits(32)
        )
        for number in range(plan.callers)
    ]
    faults = []
    with ThreadPoolExecutor(plan.callers + MAX_FAULTS) as pool:
        futures = [pool.submit(caller.run, until) for caller in callers]
        planned_only = rng.random() < PLANNED_ONLY_SHARE
        table = fault_table(seed, planned_only=planned_only or plan.crashes)
        if plan.calm:
            table = CALM_FAULTS
        for main_fault in main_faults(plan, seed):
            faults.append(main_fault.__name__)
            time.sleep(CRASH_START_S)
            futures.append(
                pool.submit(main_fault, world, random.Random(seed), until)
            )
        while time.monotonic() < until:
            name = rng.choice(tuple(table))
            faults.append(name)
            futures.append(
                pool.submit(inject_fault, world, name, rng.getrandbits(32)),
            )
            time.sleep(rng.choice((0, 0.3, 1, 1.5)))
        for future in futures:
            future.result()
    world.wait_for_work()
    recover(world, callers[0])
    statuses = Counter(sent.status for sent in world.ledger.sent.values())
    violations = all_violations(world.ledger)
    violations.extend(check_rollouts(world))
    violations.extend(check_streams(world.ledger, world.all_endpoints))
    return Result(
        seed,
        violations,
        statuses,
        faults,
        stream_shares(world.ledger, world.all_endpoints),
    )


def caller_kinds(shape: WorldShape) -> list[type[Caller]]:
    """Return the kinds of callers, which take turns."""
    if shape.versions > 1:
        return [KeptCaller, ResumingCaller]
    return [KeptCaller if shape.varied else Caller]


def main_faults(plan: Plan, seed: int) -> list[MainFault]:
    """Return what goes on beside the other faults until the end, if any."""
    if plan.shape.late:
        return [miss_versions]
    return [crash_of(seed)] if plan.crashes else []


def crash_of(seed: int) -> MainFault:
    """Return what crashes endpoints: a prompt part, or one request."""
    if seed >= FIRST_SEED_WITH_LIMITS and seed % 2:
        return crash_by_request
    return crash_by_part


def recover(world: World, caller: Caller) -> None:
    """Check that every host serves requests again."""
    try:
        wait_ready(world, RECOVERY_TIMEOUT_S)
    except TimeoutError as error:
        world.ledger.on_violation(f'RECOVER: {error}')
        return
    for host in world.hosts:
        served = [serves_request(caller, host) for _ in range(RECOVERY_CALLS)]
        if sum(served) < len(served) * MIN_SERVED_SHARE:
            world.ledger.on_violation(
                f'RECOVER: {host.name} served {sum(served)} of {len(served)} '
                'requests',
            )


def serves_request(caller: Caller, host: SoakHost) -> bool:
    """Return whether a host serves a request."""
    caller.connect_to(host)
    return caller.call('look').status == 200


def wait_ready(world: World, timeout_s: float) -> None:
    """Wait until all hosts are ready.

    Raises
    ------
    TimeoutError
        If a host is not ready within ``timeout_s`` seconds.
    """
    deadline = time.monotonic() + timeout_s
    for host in world.hosts:
        while not is_ready(host):
            host.restart_if_ended()
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'{host.name} is not ready after {timeout_s} s'
                )
            time.sleep(POLL_INTERVAL_S)


def is_ready(host: SoakHost) -> bool:
    """Return whether a host reports ready, as a load balancer checks it."""
    address, _, port = host.ready.partition(':')
    connection = http.client.HTTPConnection(address, int(port), timeout=1)
    try:
        connection.request('GET', '/-/readyz')
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def main(
    first: int = 1,
    count: int = 50,
    seconds: float = 0,
    keep: str = '',
    hosts: int = 0,
) -> None:
    """Run seeds in sequence; the exit status is 1 after a violation.

    Parameters
    ----------
    first, count : int
        First seed and number of seeds.
    seconds : float
        Duration of fault injection per seed; 0 leaves it to the seed.
    keep : str
        Folder for the logs of all seeds; empty to keep none.
    hosts : int
        Host processes of seeds from 200 on; 0 leaves them to the seed.
    """
    failed = 0
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            if keep:
                folder = pathlib.Path(keep) / f'seed-{seed}'
                folder.mkdir(parents=True, exist_ok=True)
            result = soak(seed, seconds, folder, hosts)
        failed += bool(result.violations)
        print_line(
            f'{seed} {dict(result.statuses)} {dict(Counter(result.faults))} '
            f'{tuple(result.shares)}'
        )
        for violation in result.violations:
            print_line(f'  violation: {violation}')
    print_line(f'{count} seeds, {failed} with violations')
    sys.exit(bool(failed))


def print_line(line: str) -> None:
    """Print a line and flush the output."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


__all__ = ['Result', 'main', 'soak']

if __name__ == '__main__':
    fire.Fire(main)
