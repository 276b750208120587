"""Hosts as processes, with stand-ins of the platform's store and of servers.

Used by the scripts of the cases; the standard library and the project's own
stand-ins suffice.
"""

import atexit
import contextlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'tests'))

from platformendpoint import PlatformEndpoint, ServedRequest  # noqa: E402
from platformstore import PlatformStore  # noqa: E402

__all__ = [
    'KEY',
    'AUTHORITY',
    'Case',
    'Stream',
    'call',
    'in_thread',
    'Host',
    'Server',
    'ServedRequest',
    'could_not_run',
    'route',
]

KEY = 'key-of-acme'
AUTHORITY = 'shop.example'
HEARTBEAT_S = 1.2
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


def could_not_run(why: str) -> None:
    """End the script, as the case could not run."""
    sys.stderr.write(f'{why}\n')
    sys.exit(COULD_NOT_RUN)


def free_port(address: str) -> int:
    """Return a free port of a loopback address."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return int(sock.getsockname()[1])


def route(name: str, kind: str, **changes: object) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        'name': f'r-{name}',
        'authority': AUTHORITY,
        'pathPrefix': f'/{name}/',
        'routeType': kind,
        'timeoutMs': 12000,
        'targetLatencyMs': 400,
        'priority': 1,
        'backend': 'engines',
        'maxAttempts': 2,
        'anonymous': False,
        'streamResume': kind == 'streaming',
        **changes,
    }


class Server(PlatformEndpoint):
    """A server that registers itself and writes its entry every 1.2 s."""

    def __init__(
        self, case: 'Case', name: str, version: str, capacity: int
    ) -> None:
        super().__init__(name)
        self.case = case
        self.version = version
        self.capacity = capacity
        self.zone = 'z1'
        self.born = int(time.time() * 1000)
        self.is_up = True
        self.sequence = 0
        self.crashes: list[float] = []
        self.lock = threading.Lock()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self) -> None:
        """Write the entry until the end of the script."""
        while True:
            with self.lock:
                self.register()
            time.sleep(HEARTBEAT_S)

    def register(self) -> None:
        """Write the entry, if the server and the store are up."""
        if self.is_up and not self.case.store.fault:
            self.sequence += 1
            self.case.store.put(
                'keyed.servers',
                self.name,
                self.record(
                    'engines',
                    version=self.version,
                    capacity=self.capacity,
                    born=self.born,
                    sequence=self.sequence,
                    zone=self.zone,
                ),
            )

    def end(self) -> bool:
        """End the process of the server; return whether it was up."""
        with self.lock:
            if not self.is_up:
                return False
            self.is_up = False
            self.crashes.append(self.case.now())
        self.crash()
        return True

    def start_again(self, version: str = '') -> None:
        """Start again under the same id and address, knowing nothing."""
        self.version = version or self.version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        while True:
            try:
                self.listen()
                break
            except OSError:
                time.sleep(0.05)
        with self.lock:
            self.is_up = True
            self.register()


class Host:
    """A host process, started with the command of the deploy file."""

    def __init__(self, case: 'Case', number: int) -> None:
        self.name = f'edge-z1-{number}'
        self.address = f'{case.network}.{number}'
        self.log = case.folder / f'{self.name}.log'
        self.port = case.ports['LISTEN']
        settings = {
            'NAME': self.name,
            'DATA_CENTRE': 'z1',
            'ADDRESS': self.address,
            'MESH_PORT': str(case.mesh_port),
            'SEEDS': ','.join(
                f'{case.network}.{seed}:{case.ports["CONTROL"]}'
                for seed in (1, 2, 3)
            ),
            'STORE': case.store_address(self),
            'CORE_SHARE': '0.731',
            'CORE_SPEED': '1',
        }
        for name, port in case.ports.items():
            settings[name] = f'{self.address}:{port}'
        self.environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', str(case.folder)),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            **{f'TREFOILSPOOL_{key}': text for key, text in settings.items()},
        }
        self.process = self.spawn()

    def spawn(self) -> 'subprocess.Popen[bytes]':
        """Start the process."""
        with self.log.open('ab') as log:
            return subprocess.Popen(
                ['python3', 'platform/run_host.py'],
                cwd=ROOT,
                env=self.environment,
                stdout=log,
                stderr=log,
            )

    def is_ready(self, port: int) -> bool:
        """Return whether the host says that it is ready."""
        connection = http.client.HTTPConnection(self.address, port, timeout=1)
        try:
            connection.request('GET', '/-/readyz')
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Case:
    """One run of a case.

    Attributes
    ----------
    has_trouble : bool
        Whether the disruption is to come.
    """

    def __init__(self, script: str) -> None:
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.started_at = time.monotonic()
        self.record_lock = threading.Lock()
        self.record_file = (Path(script).resolve().parent / 'record.txt').open(
            'w', encoding='utf-8'
        )
        temporary = tempfile.TemporaryDirectory()
        atexit.register(temporary.cleanup)
        self.folder = Path(temporary.name)
        self.network = (
            f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
        )
        self.ports = {
            name: free_port(f'{self.network}.1')
            for name in ('LISTEN', 'READY', 'CONTROL', 'METRICS')
        }
        self.mesh_port = free_port(f'{self.network}.1')
        self.store = PlatformStore()
        self.hosts: list[Host] = []
        self.servers: list[Server] = []

    def store_address(self, host: Host) -> str:
        """Return the address at which a host finds the store."""
        return self.store.address

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self.started_at

    def note(self, event: str, **fields: object) -> None:
        """Write a line to the record."""
        line = json.dumps(
            {'at': round(self.now(), 3), 'event': event, **fields}
        )
        with self.record_lock:
            self.record_file.write(f'{line}\n')
            self.record_file.flush()

    def configure(
        self, routes: list[dict[str, object]], **changes: object
    ) -> None:
        """Write a configuration."""
        self.store.put(
            'keyed.op',
            'config',
            {
                'version': 1,
                'routeTable': routes,
                'backends': [
                    {'name': 'engines', 'healthPath': '/healthz'},
                ],
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 4194304,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                },
                'tenants': [
                    {
                        'name': 'acme',
                        'apiKeys': [KEY],
                        'priority': 1,
                        'unit': 'tokens',
                        'plainTokens': 200,
                        'ratePerS': 0,
                        'burst': 0,
                    }
                ],
                **changes,
            },
        )

    def add_server(
        self, name: str, version: str = 'v1', capacity: int = 6
    ) -> Server:
        """Start a server."""
        server = Server(self, name, version, capacity)
        self.servers.append(server)
        return server

    def start_hosts(self, count: int, settle_s: float = 4.0) -> None:
        """Start the hosts and wait until all are ready and in touch."""
        for number in range(1, count + 1):
            self.hosts.append(Host(self, number))
        until = time.monotonic() + 20
        while not all(
            host.is_ready(self.ports['READY']) for host in self.hosts
        ):
            if time.monotonic() > until:
                self.close()
                could_not_run('a host was not ready in 20 s')
            time.sleep(0.1)
        time.sleep(settle_s)
        self.note('all hosts are ready')

    def close(self) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            host.process.kill()
        for host in self.hosts:
            host.process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            for host in self.hosts:
                (Path(keep) / host.log.name).write_bytes(host.log.read_bytes())

    def run(self, play: Callable[['Case'], bool]) -> None:
        """Play a case; exit with 1 if the rule was broken, 0 if it held."""
        # The processes are ended also if the script is.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
        try:
            is_broken = play(self)
        except Exception as error:
            self.note('could not run', error=repr(error))
            sys.exit(COULD_NOT_RUN)
        finally:
            self.close()
        self.note('result', rule='broken' if is_broken else 'held')
        self.record_file.close()
        sys.stdout.write(f'{"broken" if is_broken else "held"}\n')
        sys.stdout.flush()
        sys.exit(BROKEN if is_broken else HELD)


class Stream:
    """One stream of a caller."""

    def __init__(self, host: Host, path: str, headers: dict[str, str]) -> None:
        self.host = host
        self.connection = http.client.HTTPConnection(
            host.address, host.port, timeout=15
        )
        self.path = path
        self.headers = {
            'Host': AUTHORITY,
            'Authorization': f'Bearer {KEY}',
            'Deadline-Ms': '12000',
            **headers,
        }
        self.status = 0

    def events(self) -> Iterator[str]:
        """Send the request; yield the events, then return at a whole end.

        Raises
        ------
        OSError, HTTPException
            When the stream is cut.
        """
        self.connection.request('POST', self.path, b'{}', self.headers)
        response = self.connection.getresponse()
        self.status = response.status
        pending = b''
        while True:
            piece = response.read1(65536)
            if not piece:
                break
            pending += piece
            while b'\n\n' in pending:
                event, _, pending = pending.partition(b'\n\n')
                yield event.decode()
        self.connection.close()


def call(
    host: Host, path: str, headers: dict[str, str], body: bytes = b'{}'
) -> tuple[int, dict[str, str], bytes]:
    """Send one request; return status, headers and body; status 0 if cut."""
    connection = http.client.HTTPConnection(host.address, host.port, timeout=15)
    try:
        connection.request(
            'POST',
            path,
            body,
            {
                'Host': AUTHORITY,
                'Authorization': f'Bearer {KEY}',
                'Deadline-Ms': '12000',
                **headers,
            },
        )
        response = connection.getresponse()
        content = response.read()
        return response.status, dict(response.getheaders()), content
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, repr(error).encode()
    finally:
        with contextlib.suppress(OSError):
            connection.close()


def in_thread(work: Callable[..., Any], *arguments: Any) -> threading.Thread:
    """Start work in a thread of its own."""
    thread = threading.Thread(target=work, args=arguments, daemon=True)
    thread.start()
    return thread
