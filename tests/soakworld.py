"""Host processes with a store and endpoints behind loopback proxies."""

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
from platformendpoint import PlatformEndpoint, ServedRequest
from platformstore import PlatformStore
from soakledger import (
    STREAM_EVENTS,
    STREAM_KINDS,
    Arrival,
    Ledger,
    Run,
    Sign,
    stream_event,
)
from soakproxy import Proxy

GRACE_S = 8.0
# gatewayhost.ENDPOINTS_READERS of them read the endpoints from the store, the
# other two get them from peers.
HOST_COUNT = 5
ENDPOINT_COUNT = 4
EVENT_PAUSE_S = 0.02
HANG_S = 3.0
MAX_WORK_S = 0.04
KEPT_VERSIONS = 3
QUIET_S = 1.5


class SoakEndpoint:
    """An endpoint that fails half of its requests while a fault is set."""

    def __init__(self, name: str, ledger: Ledger) -> None:
        self.name = name
        self.ledger = ledger
        self.fault = ''
        self.says_leaving = False
        self.random = random.Random(name)
        self.server = PlatformEndpoint(name)
        self.server.behaviour = self.handle_request  # type: ignore[assignment]
        self.proxy = Proxy(self.server.address)

    def record(self, **changes: object) -> dict[str, object]:
        changes = {'address': self.proxy.address, **changes}
        return self.server.record('engines', **changes)

    def handle_request(self, served: ServedRequest) -> None:
        """Serve a request, or fail it according to the current fault."""
        fault = self.fault if self.random.random() < 0.5 else ''
        request = served.request
        self.ledger.on_arrival(
            Arrival(request.request_id, self.name, time.monotonic())
        )
        if fault == 'refuse':
            served.refuse()
            return
        if fault == 'quiet':
            self.say(served, QUIET_S)
            served.refuse_for(str(QUIET_S))
            return
        if self.says_leaving:
            served.extra_headers = ('Server-Leaving: 1',)
            self.say(served, 0)
        self.ledger.on_run(
            Run(
                request.request_id,
                self.name,
                time.monotonic(),
                request.line,
                request.headers.get('tenant', ''),
                'authorization' in request.headers,
            )
        )
        if fault == 'hang':
            served.client_disconnected(HANG_S)
            served.close()
        elif fault == 'error':
            served.respond(500, request.request_id.encode())
        else:
            time.sleep(self.random.random() * MAX_WORK_S)
            self.respond(served, cut=fault == 'cut')

    def say(self, served: ServedRequest, quiet_s: float) -> None:
        """Note what the response to a request says of this endpoint."""
        request_id = served.request.request_id
        self.ledger.on_sign(
            Sign(request_id, self.name, time.monotonic(), quiet_s)
        )

    def respond(self, served: ServedRequest, *, cut: bool) -> None:
        request = served.request
        if request.line.split('/')[1] not in STREAM_KINDS:
            if cut:
                served.head(200, 'Server-Stamp: s', 'Content-Length: 99')
                served.reset()
            else:
                served.respond(200, request.request_id.encode())
            return
        served.start_stream()
        first_event = int(request.headers.get('last-event-id', -1)) + 1
        for number in range(first_event, STREAM_EVENTS):
            if cut and number == STREAM_EVENTS // 2:
                # The start of a chunk of 0x20 bytes.
                served.sock.sendall(b'20\r\nid: 3\nda')
                served.reset()
                return
            served.chunk(stream_event(request.request_id, number))
            time.sleep(EVENT_PAUSE_S)
        served.end_stream()

    def close(self) -> None:
        self.proxy.close()
        self.server.close()


class SoakHost:
    """A host process, which can be restarted at the same address."""

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
        variables = {
            f'TREFOILSPOOL_{name}': text for name, text in settings.items()
        }
        with self.log.open('ab') as log:
            return subprocess.Popen(
                [sys.executable, 'platform/run_host.py'],
                cwd=ROOT,
                env={**os.environ, **variables},
                stdout=log,
                stderr=log,
            )

    def restart(self, process: 'subprocess.Popen[bytes]') -> None:
        """Wait for a process to end; restart unless it was replaced already."""
        process.wait()
        with self.lock:
            if self.process is process:
                self.process = self.spawn()

    def restart_if_ended(self) -> None:
        """Restart the host if its process has ended, as the platform does."""
        if self.process.poll() is not None:
            self.restart(self.process)

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        self.store.close()


class World:
    """All processes and servers of a soak; ``close`` stops them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.ledger = Ledger()
        # A loopback network for each process, so that its hosts can share port
        # numbers.
        self.network = f'127.{221 + os.getpid() % 30}.{os.getpid() % 250}'
        self.ports = tuple(free_port() for _ in range(3))
        self.mesh_port = free_port()
        self.store = PlatformStore()
        self.endpoint_numbers = itertools.count(1)
        self.versions = itertools.count(1)
        self.version = 0
        self.configure()
        self.replaced_endpoints: list[SoakEndpoint] = []
        self.endpoints = [self.add_endpoint() for _ in range(ENDPOINT_COUNT)]
        self.hosts = [SoakHost(self, index + 1) for index in range(HOST_COUNT)]

    def configure(self) -> int:
        """Publish a new configuration version, which adds a route ``vN``.

        The routes of the last few versions stay.
        """
        version = next(self.versions)
        document = configuration(version)
        routes = document['routeTable']
        assert isinstance(routes, list)
        oldest = max(1, version - KEPT_VERSIONS)
        for kept in range(oldest, version + 1):
            routes.append(route(f'v{kept}', 'idempotent'))
        self.document = document
        self.store.put('keyed.op', 'config', document)
        self.version = version
        return version

    def add_endpoint(self) -> SoakEndpoint:
        endpoint = SoakEndpoint(f'i-{next(self.endpoint_numbers)}', self.ledger)
        self.store.put('keyed.servers', endpoint.name, endpoint.record())
        return endpoint

    def replace(self, number: int, pause_s: float) -> None:
        """Add an endpoint, then drain the one that it replaces."""
        leaving = self.endpoints[number]
        self.endpoints[number] = self.add_endpoint()
        time.sleep(pause_s)
        self.store.put(
            'keyed.servers', leaving.name, leaving.record(state='draining')
        )
        self.ledger.leaving[leaving.name] = time.monotonic()
        self.replaced_endpoints.append(leaving)

    def write_again(self) -> None:
        """Write again what a restore of the store may have undone."""
        document = self.document
        self.store.put('keyed.op', 'config', document)
        for endpoint in list(self.endpoints):
            self.store.put('keyed.servers', endpoint.name, endpoint.record())
        for endpoint in list(self.replaced_endpoints):
            record = endpoint.record(state='draining')
            self.store.put('keyed.servers', endpoint.name, record)

    def close(self) -> None:
        for host in self.hosts:
            host.close()
        for endpoint in self.endpoints + self.replaced_endpoints:
            endpoint.close()
        self.store.close()
