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
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import fire
from gatewaycluster import AUTHORITY, KEY
from soakfaults import fault_table, inject_fault
from soakledger import MAX_RUNS, SentRequest
from soakworld import SoakHost, World

START_TIMEOUT_S = 20.0
RECOVERY_TIMEOUT_S = 12.0
MIN_SERVED_SHARE = 0.25
CALLER_COUNT = 6
MEAN_PAUSE_S = 0.03
CALL_TIMEOUT_S = 6.0
DEADLINE_MS = 3000
PLANNED_ONLY_SHARE = 0.3  # share of seeds with planned faults only
POLL_INTERVAL_S = 0.05


class Result(NamedTuple):
    """The result of a seed; ``statuses`` counts the responses by status."""

    seed: int
    violations: list[str]
    statuses: Counter[int]
    faults: list[str]


class Caller:
    """Sends requests on one connection; reconnects to a random host."""

    def __init__(self, world: World, name: str, seed: int) -> None:
        self.world = world
        self.name = name
        self.random = random.Random(seed)
        self.count = 0
        self.host = world.hosts[0]
        self.connection: http.client.HTTPConnection | None = None
        # Highest configuration version served, by process id of the host.
        self.seen_version: dict[int, int] = {}

    def run(self, until: float) -> None:
        """Send requests until a time of the monotonic clock."""
        while time.monotonic() < until:
            self.call(self.random.choice(tuple(MAX_RUNS)))
            if self.random.random() < 0.1:
                self.check_version()
            time.sleep(self.random.uniform(0, MEAN_PAUSE_S * 2))

    def call(self, kind: str) -> SentRequest:
        """Send a request to the route of a kind."""
        return self.send(kind, kind)

    def send(self, kind: str, route: str) -> SentRequest:
        """Send a request to a route and record the response."""
        self.count += 1
        request_id = f'{self.name}-{self.count}'
        path = f'/{route}/{request_id}'
        started = time.monotonic()
        status, complete, body = self.exchange('POST', path, request_id)
        ended = time.monotonic()
        sent = SentRequest(
            request_id,
            kind,
            path,
            self.host.name,
            started,
            ended,
            status,
            complete,
            body,
        )
        self.world.ledger.on_sent(sent)
        return sent

    def exchange(
        self, method: str, path: str, request_id: str
    ) -> tuple[int, bool, bytes]:
        """Return status, whether the response is complete, and its body."""
        status = 0
        headers = {
            'Host': AUTHORITY,
            'Authorization': f'Bearer {KEY}',
            'Request-Id': request_id,
            'Deadline-Ms': str(DEADLINE_MS),
            'Tenant': 'other',
        }
        connection = self.current_connection()
        try:
            connection.request(method, path, headers=headers)
            response = connection.getresponse()
            status = response.status
            return status, True, response.read()
        except http.client.IncompleteRead as error:
            self.connection = None
            return status, False, error.partial
        except (OSError, http.client.HTTPException):
            self.connection = None
            return status, False, b''

    def current_connection(self) -> http.client.HTTPConnection:
        """Return the open connection, or a new one to a random host."""
        if self.connection is None:
            self.connect_to(self.random.choice(self.world.hosts))
        assert self.connection is not None
        return self.connection

    def connect_to(self, host: SoakHost) -> None:
        """Send all further requests to a host."""
        self.host = host
        address, _, port = host.listen.partition(':')
        self.connection = http.client.HTTPConnection(
            address, int(port), timeout=CALL_TIMEOUT_S
        )

    def check_version(self) -> None:
        """Check that a host never returns to an older configuration."""
        version = self.world.version
        pid = self.host.process.pid
        sent = self.send('look', f'v{version}')
        if pid != self.host.process.pid:
            return
        seen = self.seen_version.get(pid, 0)
        if sent.status == 404 and seen >= version:
            self.world.ledger.on_violation(
                f'CONFIG: {self.host.name} served version {seen}, then '
                f'returned 404 for version {version}',
            )
        if sent.status == 200:
            self.seen_version[pid] = max(seen, version)


def soak(seed: int, seconds: float, folder: pathlib.Path) -> Result:
    """Run a seed and return its result."""
    rng = random.Random(seed)
    world = World(folder)
    try:
        wait_ready(world, START_TIMEOUT_S)
        return run(world, seed, rng, seconds)
    finally:
        world.close()


def run(world: World, seed: int, rng: random.Random, seconds: float) -> Result:
    """Send requests and inject faults, then check the recovery."""
    until = time.monotonic() + seconds
    callers = [
        Caller(world, f's{seed}c{number}', rng.getrandbits(32))
        for number in range(CALLER_COUNT)
    ]
    faults = []
    with ThreadPoolExecutor(64) as pool:
        futures = [pool.submit(caller.run, until) for caller in callers]
        planned_only = rng.random() < PLANNED_ONLY_SHARE
        table = fault_table(seed, planned_only=planned_only)
        while time.monotonic() < until:
            name = rng.choice(tuple(table))
            faults.append(name)
            futures.append(
                pool.submit(inject_fault, world, name, rng.getrandbits(32)),
            )
            time.sleep(rng.choice((0, 0.3, 1, 1.5)))
        for future in futures:
            future.result()
    recover(world, callers[0])
    ledger = world.ledger
    statuses = Counter(sent.status for sent in ledger.sent.values())
    return Result(seed, ledger.check(), statuses, faults)


def recover(world: World, caller: Caller) -> None:
    """Check that every host serves requests again."""
    try:
        wait_ready(world, RECOVERY_TIMEOUT_S)
    except TimeoutError as error:
        world.ledger.on_violation(f'RECOVER: {error}')
        return
    for host in world.hosts:
        served = [serves_request(caller, host) for _ in range(12)]
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
    first: int = 1, count: int = 50, seconds: float = 12, keep: str = ''
) -> None:
    """Run seeds in sequence; the exit status is 1 after a violation.

    Parameters
    ----------
    first, count : int
        First seed and number of seeds.
    seconds : float
        Duration of fault injection per seed.
    keep : str
        Folder for the logs of all seeds; empty to keep none.
    """
    failed = 0
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            if keep:
                folder = pathlib.Path(keep) / f'seed-{seed}'
                folder.mkdir(parents=True, exist_ok=True)
            result = soak(seed, seconds, folder)
        failed += bool(result.violations)
        print_line(
            f'{seed} {dict(result.statuses)} {dict(Counter(result.faults))}'
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
