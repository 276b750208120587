"""Hosts as processes, with a store and endpoints behind loopback proxies."""

import itertools
import os
import pathlib
import random
import subprocess
import sys
import threading
import time

from cluster import ROOT, free_port
from gatewaycluster import configuration, route
from platformendpoint import Conversation, PlatformEndpoint
from platformstore import PlatformStore
from soakledger import EVENTS, STREAMS, Ledger, Run, event_of
from soakproxy import Proxy

GRACE_S = 8.0
HOSTS = 5  # two of them read no endpoints from the store
ENDPOINTS = 4
EVENT_PAUSE_S = 0.02
HANG_S = 3.0
MOST_WORK_S = 0.04
KEPT_ROUTES = 3


class SoakEndpoint:
    """An endpoint whose faults are chosen while it runs."""

    def __init__(self, name: str, ledger: Ledger) -> None:
        self.name = name
        self.ledger = ledger
        self.fault = ''
        self.random = random.Random(name)
        self.served = PlatformEndpoint(name)
        self.served.behaviour = self.behave  # type: ignore[assignment]
        self.proxy = Proxy(self.served.address)

    def record(self, **changes: object) -> dict[str, object]:
        changes = {'address': self.proxy.address, **changes}
        return self.served.record('engines', **changes)

    def behave(self, conversation: Conversation) -> None:
        """Work on a request, or fail it."""
        fault = self.fault if self.random.random() < 0.5 else ''
        if fault == 'refuse':
            conversation.refuse()
            return
        seen = conversation.seen
        self.ledger.on_run(
            Run(
                seen.request_id,
                self.name,
                time.monotonic(),
                seen.line,
                seen.headers.get('tenant', ''),
                'authorization' in seen.headers,
            )
        )
        if fault == 'hang':
            conversation.caller_left(HANG_S)
            conversation.close()
        elif fault == 'error':
            conversation.whole(500, seen.request_id.encode())
        else:
            time.sleep(self.random.random() * MOST_WORK_S)
            self.answer(conversation, cut=fault == 'cut')

    def answer(self, conversation: Conversation, *, cut: bool) -> None:
        seen = conversation.seen
        if seen.line.split('/')[1] not in STREAMS:
            if cut:
                conversation.head(200, 'Server-Stamp: s', 'Content-Length: 99')
                conversation.reset()
            else:
                conversation.whole(200, seen.request_id.encode())
            return
        conversation.start_stream()
        first = int(seen.headers.get('last-event-id', -1)) + 1
        for number in range(first, EVENTS):
            if cut and number == EVENTS // 2:
                conversation.sock.sendall(b'20\r\nid: 3\nda')
                conversation.reset()
                return
            conversation.chunk(event_of(seen.request_id, number))
            time.sleep(EVENT_PAUSE_S)
        conversation.end_stream()

    def close(self) -> None:
        self.proxy.close()
        self.served.close()


class SoakHost:
    """A host's process; started again at the same address."""

    def __init__(self, world: 'World', number: int) -> None:
        self.world = world
        self.name = f'h{number}'
        self.address = f'{world.network}.{number}'
        self.store = Proxy(world.store.address)
        self.log = world.folder / f'{self.name}.log'
        self.listen = f'{self.address}:{world.ports[0]}'
        self.ready = f'{self.address}:{world.ports[1]}'
        self.lock = threading.Lock()
        self.process = self.spawn()

    def spawn(self) -> 'subprocess.Popen[bytes]':
        world = self.world
        settings = {
            'NAME': self.name,
            'DATA_CENTRE': 'z1',
            'ADDRESS': self.address,
            'LISTEN': self.listen,
            'READY': self.ready,
            'CONTROL': f'{self.address}:{world.ports[2]}',
            'MESH_PORT': str(world.mesh_port),
            'SEEDS': f'{world.network}.1:{world.ports[2]}',
            'STORE': self.store.address,
        }
        named = {f'TREFOILSPOOL_{name}': one for name, one in settings.items()}
        with self.log.open('ab') as log:
            return subprocess.Popen(
                [sys.executable, 'platform/run_host.py'],
                cwd=ROOT,
                env={**os.environ, **named},
                stdout=log,
                stderr=log,
            )

    def restart(self, ended: 'subprocess.Popen[bytes]') -> None:
        """Start again once a process has ended, unless that was done."""
        ended.wait()
        with self.lock:
            if self.process is ended:
                self.process = self.spawn()

    def revive(self) -> None:
        """Start again if the process has ended, as the platform does."""
        if self.process.poll() is not None:
            self.restart(self.process)

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        self.store.close()


class World:
    """All that a soak runs; closed with ``close``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.ledger = Ledger()
        self.network = f'127.{221 + os.getpid() % 30}.{os.getpid() % 250}'
        self.ports = tuple(free_port() for _ in range(3))
        self.mesh_port = free_port()
        self.store = PlatformStore()
        self.names = itertools.count(1)
        self.versions = itertools.count(1)
        self.version = 0
        self.configure()
        self.left: list[SoakEndpoint] = []
        self.endpoints = [self.add_endpoint() for _ in range(ENDPOINTS)]
        self.hosts = [SoakHost(self, one + 1) for one in range(HOSTS)]

    def configure(self) -> int:
        """Put a new version in force; it has a route of its own."""
        version = next(self.versions)
        made = configuration(version)
        routes = made['routeTable']
        assert isinstance(routes, list)
        oldest = max(1, version - KEPT_ROUTES)
        for kept in range(oldest, version + 1):
            routes.append(route(f'v{kept}', 'idempotent'))
        self.store.put('keyed.op', 'config', made)
        self.version = version
        return version

    def add_endpoint(self) -> SoakEndpoint:
        made = SoakEndpoint(f'i-{next(self.names)}', self.ledger)
        self.store.put('keyed.servers', made.name, made.record())
        return made

    def replace(self, number: int, pause_s: float) -> None:
        """Let an endpoint leave, with another in its place."""
        leaving = self.endpoints[number]
        self.endpoints[number] = self.add_endpoint()
        time.sleep(pause_s)
        self.store.put(
            'keyed.servers', leaving.name, leaving.record(state='draining')
        )
        self.ledger.leaving[leaving.name] = time.monotonic()
        self.left.append(leaving)

    def close(self) -> None:
        for host in self.hosts:
            host.close()
        for endpoint in self.endpoints + self.left:
            endpoint.close()
        self.store.close()
