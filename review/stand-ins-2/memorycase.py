"""Hosts whose memory is bounded as that of their machines, and a crowd.

The rule is the one of RULES.md on processes that end by themselves. A process
that exceeds its memory is killed, as DEPLOY.md says, and started again.
"""

import collections
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable

from deployment import (
    MEMORY_MB,
    RESTART_S,
    Deployment,
    Host,
    PlatformEndpoint,
    PlatformStore,
    ServedRequest,
    call,
    caller_headers,
    configuration,
    route,
    wait_until,
)

__all__ = ['MAX_BODY_BYTES', 'Link', 'keep_sending', 'run_case']

HELD, BROKEN, NOT_RUN = 0, 1, 2
RUN_S = 90
HOSTS = 3
CROWDED_HOSTS = 2
# The rule: on two machines at least, processes end three times in the day.
ENDS = 3
MACHINES = 2
# Servers as the sheet of cabrera-ops has them.
ENGINES = 9
SLOTS = 11
QUEUE = 66
TOKENS_PER_S = 157_000  # of prompts, read in order
EVENT_S = 0.05
EVENT_TOKENS = 7
LOOK_S = 0.03
MAX_BODY_BYTES = 4_194_304  # of the configuration
# Below what a machine's link takes (350 Mbit/s), so that nothing waits there.
CROWD_BYTES_PER_S = 0.8 * 350e6 / 8
PIECE_BYTES = 65_536

SendRequest = Callable[[tuple[str, int], 'Link', str], None]


class Engine:
    """A model server that reads prompts in order."""

    def __init__(self, name: str) -> None:
        self.endpoint = PlatformEndpoint(name)
        self.endpoint.behaviour = self.serve
        self.prefill = threading.Lock()
        self.batch = threading.Semaphore(SLOTS)
        self.places = threading.Semaphore(SLOTS + QUEUE)
        self.run_count = 0

    def serve(self, served: ServedRequest) -> None:
        if not self.places.acquire(blocking=False):
            served.refuse()
            return
        try:
            with self.batch:
                self.run(served)
        finally:
            self.places.release()

    def run(self, served: ServedRequest) -> None:
        headers = served.request.headers
        self.run_count += 1
        if 'token-counts' not in headers:
            time.sleep(LOOK_S)
            served.respond()
            return
        prompt, output = map(int, headers['token-counts'].split(','))
        with self.prefill:
            time.sleep(prompt / TOKENS_PER_S)
        served.start_stream()
        for number in range(output // EVENT_TOKENS):
            served.event(number)
            time.sleep(EVENT_S)
        served.end_stream()


class Link:
    """Sends more slowly than a machine's link would."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.free_at = time.monotonic()

    def send(self, sock: socket.socket, content: bytes) -> None:
        """Send bytes on a channel."""
        for at in range(0, len(content), PIECE_BYTES):
            piece = content[at : at + PIECE_BYTES]
            with self.lock:
                now = time.monotonic()
                self.free_at = max(self.free_at, now)
                self.free_at += len(piece) / CROWD_BYTES_PER_S
                pause_s = self.free_at - now
            time.sleep(pause_s)
            sock.sendall(piece)


class Machine:
    """Ends the process of a host that exceeds its memory; starts it again."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.ends = 0
        self.most_mb = 0.0
        self.stopping = threading.Event()
        threading.Thread(target=self.watch, daemon=True).start()

    def watch(self) -> None:
        record = self.host.deployment.record
        while not self.stopping.wait(0.02):
            process = self.host.process
            assert process is not None
            memory_mb = self.host.memory_mb()
            self.most_mb = max(self.most_mb, memory_mb)
            if memory_mb > MEMORY_MB:
                record.write(
                    'over_memory',
                    host=self.host.name,
                    memory_mb=round(memory_mb, 1),
                    limit_mb=MEMORY_MB,
                )
                self.host.signal(signal.SIGKILL)
                process.wait()
            if process.poll() is not None:
                self.ends += 1
                record.write(
                    'end',
                    host=self.host.name,
                    number=self.ends,
                    status=process.returncode,
                )
                time.sleep(RESTART_S)
                self.host.start()


class OrdinaryCaller:
    """Sends a request every tenth of a second."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.outcomes: collections.Counter[str] = collections.Counter()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        for number in range(100_000):
            self.outcomes[self.send(f'o-{self.host.name}-{number}')] += 1
            time.sleep(0.1)

    def send(self, request_id: str) -> str:
        outcome = 'no answer'
        with contextlib.suppress(Exception):
            status, _ = call(
                (self.host.address, self.host.port),
                'GET',
                '/look/1',
                caller_headers(request_id, 2500),
                3,
            )
            outcome = str(status)
        self.host.deployment.record.write(
            'ordinary', id=request_id, outcome=outcome.replace(' ', '_')
        )
        return outcome


def is_broken(machines: list[Machine]) -> bool:
    """Return whether the rule is broken."""
    return sum(machine.ends >= ENDS for machine in machines) >= MACHINES


def keep_sending(
    target: tuple[str, int], send: SendRequest, channels: int
) -> None:
    """Send on many channels until this process is ended."""
    link = Link()

    def run(number: int) -> None:
        for turn in range(100_000):
            with contextlib.suppress(OSError):
                send(target, link, f'c{number}-{turn}')
            time.sleep(0.1)

    for number in range(channels):
        threading.Thread(target=run, args=(number,), daemon=True).start()
    time.sleep(RUN_S * 2)


def start_store(engines: list[Engine]) -> PlatformStore:
    """Return a store with a configuration and the servers."""
    store = PlatformStore()
    proposal = route(
        'proposal',
        'streaming',
        timeoutMs=12000,
        targetLatencyMs=400,
        priority=0,
        maxAttempts=2,
        streamResume=True,
        gapAimMs=250,
    )
    look = route('look', 'idempotent', timeoutMs=2500, maxAttempts=2)
    store.put('keyed.op', 'config', configuration(1, [proposal, look]))
    for engine in engines:
        store.put(
            'keyed.servers',
            engine.endpoint.name,
            engine.endpoint.record('engines', capacity=SLOTS),
        )
    return store


def play(script: pathlib.Path, *, has_trouble: bool) -> int:
    """Play a case; return the exit status."""
    engines = [Engine(f'i-{number}') for number in range(ENGINES)]
    store = start_store(engines)
    deployment = Deployment(script.parent, store.address, HOSTS)
    record = deployment.record
    crowds: list[subprocess.Popen[bytes]] = []
    try:
        if not deployment.start():
            return NOT_RUN
        machines = [Machine(host) for host in deployment.hosts]
        callers = [OrdinaryCaller(host) for host in deployment.hosts]
        time.sleep(1)
        for host in deployment.hosts[: CROWDED_HOSTS * has_trouble]:
            command = [
                sys.executable,
                str(script),
                host.address,
                str(host.port),
            ]
            crowds.append(subprocess.Popen(command))
            record.write('crowd', to=host.name)
        wait_until(lambda: is_broken(machines), RUN_S)
        for machine in machines:
            machine.stopping.set()
        for machine, caller in zip(machines, callers, strict=True):
            record.write(
                'sum',
                host=machine.host.name,
                ends=machine.ends,
                most_mb=round(machine.most_mb, 1),
                ordinary=dict(caller.outcomes),
            )
        record.write('run', requests=sum(item.run_count for item in engines))
        broken = is_broken(machines)
        record.write('verdict', broken=broken)
        return BROKEN if broken else HELD
    finally:
        for crowd in crowds:
            crowd.kill()
            crowd.wait()
        deployment.close()


def run_case(script: pathlib.Path, send: SendRequest, channels: int) -> None:
    """Run a case, or one crowd of it, and exit with its status."""
    status = HELD
    if len(sys.argv) > 1:
        keep_sending((sys.argv[1], int(sys.argv[2])), send, channels)
    else:
        has_trouble = os.environ.get('TROUBLE', '1') != '0'
        status = play(script, has_trouble=has_trouble)
    # Threads of stand-ins may still be writing.
    os._exit(status)
