"""Ordinary callers of a host to which a crowd sends.

The rule is the one of RULES.md on requests that are unanswered at the timeout of
their route.
"""

import contextlib
import http.client
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable

from deployment import (
    Deployment,
    Host,
    PlatformEndpoint,
    PlatformStore,
    ServedRequest,
    call,
    caller_headers,
    configuration,
    route,
)

__all__ = ['DEADLINE_MS', 'Link', 'run_case']

HELD, BROKEN, NOT_RUN = 0, 1, 2
RUN_S = 40
HOSTS = 2
# The rule: of the requests that are unanswered at their route's timeout, more
# than half, and eight at least, have no answer half a second later.
TIMEOUT_S = 1.2
LATE_S = 0.5
LEAST = 8
WAIT_S = 8  # for any answer, much longer than the caller's own time limit
DEADLINE_MS = 2500
ENGINES = 4
SLOTS = 6
WORK_S = 0.03
CALLERS = 8
CALLER_PAUSE_S = 0.2
WARM_UP_S = 2
RUN_IDS: list[str] = []  # of requests that servers have run
CROWD = 400  # channels
# Half of what a machine's link (350 Mbit/s) takes.
CROWD_BYTES_PER_S = 0.5 * 350e6 / 8


def serve(served: ServedRequest) -> None:
    """Answer as a sound server does."""
    RUN_IDS.append(served.request.request_id)
    time.sleep(WORK_S)
    served.respond()


class Link:
    """Sends more slowly than a machine's link would."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.free_at = time.monotonic()

    def send(self, sock: socket.socket, content: bytes) -> None:
        """Send bytes on a channel."""
        with self.lock:
            now = time.monotonic()
            self.free_at = max(self.free_at, now)
            self.free_at += len(content) / CROWD_BYTES_PER_S
            pause_s = self.free_at - now
        time.sleep(pause_s)
        sock.sendall(content)


SendRequests = Callable[[tuple[str, int], Link, str], None]


def send_crowd(target: tuple[str, int], send: SendRequests) -> None:
    """Send on many channels until this process is ended."""
    link = Link()

    def keep_sending(number: int) -> None:
        for turn in range(100_000):
            with contextlib.suppress(OSError):
                send(target, link, f'c{number}-{turn}')
            time.sleep(0.1)

    for number in range(CROWD):
        threading.Thread(
            target=keep_sending, args=(number,), daemon=True
        ).start()
    time.sleep(RUN_S * 2)


class OrdinaryCaller:
    """Sends small requests one after the other, each on a new channel."""

    def __init__(self, host: Host, number: int) -> None:
        self.host = host
        self.number = number
        self.waits: list[float] = []
        self.unanswered = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Send until stopped."""
        turn = 0
        while not self.stopping.wait(CALLER_PAUSE_S):
            turn += 1
            self.send(f'o-{self.host.name}-{self.number}-{turn}')

    def send(self, request_id: str) -> None:
        """Send one request; note how long it has waited for its answer."""
        sent_at = time.monotonic()
        try:
            status, _ = call(
                (self.host.address, self.host.port),
                'GET',
                '/look/1',
                caller_headers(request_id, DEADLINE_MS),
                WAIT_S,
            )
            outcome = str(status)
        except (OSError, http.client.HTTPException) as error:
            outcome = type(error).__name__
            self.unanswered += 1
        waited_s = time.monotonic() - sent_at
        self.waits.append(waited_s)
        self.host.deployment.record.write(
            'ordinary',
            id=request_id,
            outcome=outcome,
            waited_s=f'{waited_s:.2f}',
        )


class Balancer:
    """Asks a host each second whether it is ready, as the platform does."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.misses = 0
        self.answers = 0
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Ask until the process ends."""
        while True:
            time.sleep(1)
            is_ready = self.host.is_ready()
            self.answers += is_ready
            self.misses += not is_ready
            if not is_ready:
                self.host.deployment.record.write(
                    'not_ready', host=self.host.name
                )


def is_broken(callers: list[OrdinaryCaller]) -> bool:
    """Return whether the rule is broken."""
    waits = [wait for caller in callers for wait in caller.waits]
    at_timeout = sum(wait >= TIMEOUT_S for wait in waits)
    late = sum(wait >= TIMEOUT_S + LATE_S for wait in waits)
    return late >= LEAST and 2 * late > at_timeout


def start_store() -> PlatformStore:
    """Return a store with a configuration and the servers."""
    store = PlatformStore()
    timeout_ms = int(TIMEOUT_S * 1000)
    routes = [
        route('look', 'idempotent', timeoutMs=timeout_ms, maxAttempts=2),
        route('confirm', 'non_idempotent', timeoutMs=timeout_ms),
    ]
    store.put('keyed.op', 'config', configuration(1, routes))
    for number in range(ENGINES):
        server = PlatformEndpoint(f'i-{number}')
        server.behaviour = serve
        store.put(
            'keyed.servers',
            server.name,
            server.record('engines', capacity=SLOTS),
        )
    return store


def play(script: pathlib.Path, *, has_trouble: bool) -> int:
    """Play the case; return the exit status."""
    deployment = Deployment(script.parent, start_store().address, HOSTS)
    record = deployment.record
    crowds: list[subprocess.Popen[bytes]] = []
    crowded, other = deployment.hosts
    try:
        if not deployment.start():
            return NOT_RUN
        callers = {
            host.name: [
                OrdinaryCaller(host, number) for number in range(CALLERS)
            ]
            for host in deployment.hosts
        }
        balancers = {host.name: Balancer(host) for host in deployment.hosts}
        time.sleep(WARM_UP_S)
        if has_trouble:
            command = [
                sys.executable,
                str(script),
                crowded.address,
                str(crowded.port),
            ]
            crowds.append(subprocess.Popen(command))
            record.write('crowd', to=crowded.name, channels=CROWD)
        time.sleep(RUN_S)
        for caller in (*callers[crowded.name], *callers[other.name]):
            caller.stopping.set()
        for caller in (*callers[crowded.name], *callers[other.name]):
            caller.thread.join(WAIT_S)
        for host in deployment.hosts:
            waits = [w for caller in callers[host.name] for w in caller.waits]
            record.write(
                'sum',
                host=host.name,
                requests=len(waits),
                unanswered_at_timeout=sum(w >= TIMEOUT_S for w in waits),
                half_a_second_later=sum(w >= TIMEOUT_S + LATE_S for w in waits),
                never_answered=sum(c.unanswered for c in callers[host.name]),
                not_ready=balancers[host.name].misses,
                memory_mb=round(host.memory_mb()),
            )
        record.write(
            'run',
            ordinary=sum(name.startswith('o') for name in RUN_IDS),
            crowd=sum(name.startswith('c') for name in RUN_IDS),
        )
        broken = is_broken(callers[crowded.name])
        record.write('verdict', broken=broken)
        return BROKEN if broken else HELD
    finally:
        for crowd in crowds:
            crowd.kill()
            crowd.wait()
        deployment.close()


def run_case(script: pathlib.Path, send: SendRequests) -> None:
    """Run a case, or the crowd of it, and exit with its status."""
    status = HELD
    if len(sys.argv) > 1:
        send_crowd((sys.argv[1], int(sys.argv[2])), send)
    else:
        has_trouble = os.environ.get('TROUBLE', '1') != '0'
        status = play(script, has_trouble=has_trouble)
    # Threads of stand-ins may still be writing.
    os._exit(status)
