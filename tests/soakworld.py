"""Host processes with a store and endpoints behind loopback proxies."""

import itertools
import os
import pathlib
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from cluster import ROOT, free_port
from gatewaycluster import configuration, route
from platformstore import PlatformStore
from soakendpoint import SoakEndpoint
from soakledger import VERSIONS, FaultSpan, Ledger
from soakproxy import Proxy

GRACE_S = 8.0
# endpointsync.READERS of them read the endpoints from the store, the
# other two get them from peers.
HOST_COUNT = 5
ENDPOINT_COUNT = 4
KEPT_VERSIONS = 3
SEED_COUNT = 3
LONG_EVENT_PAUSE_S = 0.12  # for streams that hosts are killed under
CRASH_PAUSE_S = (1.0, 2.0)


class WorldShape(NamedTuple):
    """What a seed chooses of the world.

    ``varied`` endpoints also answer without a length and may crash. With
    several ``versions`` callers also take up streams that were cut.
    ``slot_order`` is the hosts' setting. With ``late`` ones, endpoints have the
    first version only until others join.
    """

    hosts: int = HOST_COUNT
    endpoints: int = ENDPOINT_COUNT
    varied: bool = False
    versions: int = 1
    slot_order: str = 'due'
    late: bool = False


DEFAULT_SHAPE = WorldShape()


class SoakHost:
    """A host process, which can be restarted at the same address."""

    def __init__(self, world: 'World', number: int) -> None:
        self.world = world
        self.name = f'h{number}'
        self.address = f'{world.network}.{number}'
        self.store = Proxy(world.store.address)
        self.log = world.folder / f'{self.name}.log'
        # While it exists, new connections to endpoints fail.
        self.cut_file = world.folder / f'{self.name}.cut'
        # While it exists, the host is parted from the others, `in`, `out` or
        # `both` ways.
        self.parted_file = world.folder / f'{self.address}.parted'
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
            'SEEDS': world.seeds,
            'STORE': self.store.address,
            'SLOT_ORDER': world.shape.slot_order,
        }
        variables = {
            f'TREFOILSPOOL_{name}': text for name, text in settings.items()
        }
        with self.log.open('ab') as log:
            return subprocess.Popen(
                [sys.executable, 'tests/soakhost.py'],
                cwd=ROOT,
                env={
                    **os.environ,
                    **variables,
                    'SOAK_CUT_FILE': str(self.cut_file),
                },
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

    def part(self, way: str) -> None:
        """Cut the host off from the other hosts: `in`, `out` or `both`."""
        self.parted_file.write_text(way)

    def rejoin(self) -> None:
        """Let the other hosts reach this one, and it them."""
        self.parted_file.unlink(missing_ok=True)

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        self.store.close()


class World:
    """All processes and servers of a soak; ``close`` stops them."""

    def __init__(
        self, folder: pathlib.Path, shape: WorldShape = DEFAULT_SHAPE
    ) -> None:
        self.folder = folder
        self.shape = shape
        self.ledger = Ledger()
        # A loopback network for each process, so that its hosts can share port
        # numbers.
        self.network = f'127.{221 + os.getpid() % 30}.{os.getpid() % 250}'
        self.ports = tuple(free_port() for _ in range(3))
        self.mesh_port = free_port()
        seed_count = SEED_COUNT if shape.varied else 1
        self.seeds = ','.join(
            f'{self.network}.{number + 1}:{self.ports[2]}'
            for number in range(seed_count)
        )
        self.store = PlatformStore()
        # A read that waits for an offset that the restore undid waits on.
        self.store.wakes_at_restore = shape.versions == 1
        self.endpoint_numbers = itertools.count(1)
        self.endpoint_turns = itertools.count()
        self.serving_versions = 1 if shape.late else shape.versions
        self.all_endpoints: list[SoakEndpoint] = []
        self.versions = itertools.count(1)
        self.version = 0
        self.version_at = 0.0
        self.configure()
        self.replaced_endpoints: list[SoakEndpoint] = []
        self.endpoints = [self.add_endpoint() for _ in range(shape.endpoints)]
        self.endpoints_lock = threading.Lock()
        self.work: list[threading.Thread] = []
        self.hosts = [SoakHost(self, index + 1) for index in range(shape.hosts)]

    def begin(self, work: Callable[[], None]) -> None:
        """Start work beside; ``wait_for_work`` waits for its end."""
        thread = threading.Thread(target=work, daemon=True)
        thread.start()
        self.work.append(thread)

    def wait_for_work(self) -> None:
        """Wait until all work has ended that was begun beside."""
        for thread in self.work:
            thread.join()

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
        self.version_at = time.monotonic()
        self.version = version
        return version

    def add_endpoint(self) -> SoakEndpoint:
        return self.start_endpoint(f'i-{next(self.endpoint_numbers)}')

    def next_version(self) -> str:
        """Let the next version serve, if there is one; return the newest."""
        self.serving_versions = min(
            self.serving_versions + 1, self.shape.versions
        )
        return VERSIONS[self.serving_versions - 1]

    def join(self, version: str) -> SoakEndpoint:
        """Start an endpoint of a version beside those that serve."""
        endpoint = self.start_endpoint(
            f'i-{next(self.endpoint_numbers)}', version=version
        )
        endpoint.pause_s = LONG_EVENT_PAUSE_S
        with self.endpoints_lock:
            self.endpoints.append(endpoint)
        return endpoint

    def start_endpoint(
        self, key: str, born: int = 1, version: str = ''
    ) -> SoakEndpoint:
        """Start an endpoint; without a version it has the next one in turn."""
        turn = next(self.endpoint_turns) % self.serving_versions
        endpoint = SoakEndpoint(
            key,
            self.ledger,
            self.on_crash,
            varied=self.shape.varied,
            born=born,
            version=version or VERSIONS[turn],
        )
        if self.shape.versions > 1:
            endpoint.pause_s = LONG_EVENT_PAUSE_S
        self.all_endpoints.append(endpoint)
        self.register(endpoint)
        return endpoint

    def register(self, endpoint: SoakEndpoint, **changes: object) -> None:
        """Write an endpoint's record to the store."""
        record = endpoint.record(**changes)
        self.store.put('keyed.servers', endpoint.key, record)

    def add_instead(self, number: int) -> SoakEndpoint:
        """Add an endpoint in the place of another, which is returned."""
        with self.endpoints_lock:
            leaving = self.endpoints[number]
            leaving.ended_at = time.monotonic()
            self.endpoints[number] = self.add_endpoint()
        return leaving

    def on_crash(self, endpoint: SoakEndpoint, crashed_at: float) -> None:
        """Note the crash of an endpoint, which starts again after a pause."""
        self.ledger.on_crash(crashed_at)
        self.begin(lambda: self.start_again(endpoint, crashed_at))

    def start_again(self, endpoint: SoakEndpoint, crashed_at: float) -> None:
        """Start an endpoint again, with its key or as a new one."""
        time.sleep(endpoint.random.uniform(*CRASH_PAUSE_S))
        self.ledger.on_span(
            FaultSpan(f'crash {endpoint.name}', crashed_at, time.monotonic())
        )
        with self.endpoints_lock:
            is_replaced = endpoint not in self.endpoints
            if is_replaced or endpoint.random.random() < 0.5:
                self.store.put('keyed.servers', endpoint.key, None)
                again = None if is_replaced else self.add_endpoint()
            else:
                again = self.start_endpoint(endpoint.key, endpoint.born + 1)
            if again is not None:
                self.endpoints[self.endpoints.index(endpoint)] = again
                self.replaced_endpoints.append(endpoint)

    def replace(self, number: int, pause_s: float) -> None:
        """Add an endpoint, then drain the one that it replaces."""
        leaving = self.add_instead(number)
        time.sleep(pause_s)
        self.register(leaving, state='draining')
        self.ledger.leaving[leaving.name] = time.monotonic()
        self.replaced_endpoints.append(leaving)

    def write_again(self) -> None:
        """Write again what a restore of the store may have undone."""
        document = self.document
        self.store.put('keyed.op', 'config', document)
        for endpoint in list(self.endpoints):
            self.register(endpoint)
        current = {endpoint.key for endpoint in self.endpoints}
        for endpoint in list(self.replaced_endpoints):
            if not endpoint.crashed:
                self.register(endpoint, state='draining')
            elif endpoint.key not in current:
                self.store.put('keyed.servers', endpoint.key, None)

    def close(self) -> None:
        for host in self.hosts:
            host.close()
        for endpoint in self.endpoints + self.replaced_endpoints:
            endpoint.close()
        self.store.close()
