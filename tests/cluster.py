"""Clusters of stand-in and host processes on the loopback address."""

import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

from trefoilspool.client import CallResult, KindCall, call_kind
from trefoilspool.operator import Operator, load_tree_file
from trefoilspool.platforms.http import HttpLog, send_request

WAIT_S = 60
POLL_S = 0.02
# Workers of pytest-xdist use disjoint ranges of ports.
WORKER = int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw'))
PORTS_PER_WORKER = 1_000
FIRST_PORT = 10_000 + WORKER * PORTS_PER_WORKER
PORTS = itertools.cycle(
    FIRST_PORT + (os.getpid() * 97 + step) % PORTS_PER_WORKER
    for step in range(PORTS_PER_WORKER)
)
ADDRESS = '127.0.0.1'
ROOT = pathlib.Path(__file__).parent.parent


def free_port() -> int:
    """Return a free port outside the ephemeral range.

    An outgoing connection could take an ephemeral port before the server
    starts.
    """
    for port in PORTS:
        with contextlib.suppress(OSError):
            socket.create_server((ADDRESS, port)).close()
            return port
    raise AssertionError('no port is free')


def wait_until(check: Callable[[], Any], condition: str) -> Any:
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        found = check()
        if found:
            return found
        time.sleep(POLL_S)
    raise AssertionError(f'waited {WAIT_S} s for {condition}')


class FrameProxy:
    """Forwards frames to a host's peer port.

    While ``cut``, a connection is closed on its next data.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.cut = False
        self.port = free_port()
        self.listener = socket.create_server((ADDRESS, self.port))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            while self.listener.fileno() >= 0:
                source = self.listener.accept()[0]
                threading.Thread(
                    target=self.forward,
                    args=(source,),
                    daemon=True,
                ).start()

    def forward(self, source: socket.socket) -> None:
        """Forward in one direction, the only one that frames are sent in."""
        with contextlib.suppress(OSError), source:
            target = socket.create_connection((ADDRESS, self.target))
            with target:
                while chunk := source.recv(65536):
                    if self.cut:
                        return
                    target.sendall(chunk)

    def close(self) -> None:
        self.listener.close()


class Cluster:
    """The processes of a test; ``close`` ends them.

    ``flags`` holds the flags of each kind of process (``log``, ``engine``,
    ``service``, ``host``), and options of the cluster.
    """

    def __init__(
        self,
        hosts: int = 3,
        tree: str = 'cabrera',
        engines: int = 1,
        services: int = 1,
        **flags: Any,
    ) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, int] = {}
        self.commands: dict[str, list[str]] = {}
        self.peer_ports: dict[str, int] = {}
        self.frame_proxies: dict[str, FrameProxy] = {}
        self.flags = flags
        cells = {
            'cabrera': ('assistant', 'orders'),
            'laagrivarav': ('helper', 'registration'),
        }[tree]
        self.endpoints = [
            self.endpoint(f'engine{number}', 'engine', cells[0])
            for number in range(engines)
        ] + [
            self.endpoint(f'service{number}', 'service', cells[1])
            for number in range(services)
        ]
        self.hosts = [self.host_record(f'h{index}') for index in range(hosts)]
        self.start('log', 'standin', 'log', **flags.get('log', {}))
        self.start_roster()
        for host in self.hosts:
            self.start_host(host['name'])
        self.wait_port('log')
        self.operator = Operator(HttpLog(self.url('log')))
        self.operator.publish(
            load_tree_file(str(ROOT / 'examples' / f'{tree}.toml')),
            'test',
        )
        self.wait_ready()

    def endpoint(self, name: str, kind: str, cell: str) -> dict[str, Any]:
        self.start(name, 'standin', kind, name=name, **self.flags.get(kind, {}))
        return {
            'name': name,
            'data_centre': 'dc1',
            'url': self.url(name),
            'cell': cell,
            'generation': 1,
            'slots': 32,
            'state': 'live',
            'checks_fencing': True,
        }

    def host_record(self, name: str) -> dict[str, Any]:
        self.ports[name] = free_port()
        self.peer_ports[name] = free_port()
        listed_port = self.peer_ports[name]
        if self.flags.get('frame_proxies'):
            self.frame_proxies[name] = FrameProxy(listed_port)
            listed_port = self.frame_proxies[name].port
        return {
            'name': name,
            'data_centre': 'dc1',
            'address': ADDRESS,
            'http_port': self.ports[name],
            'peer_port': listed_port,
            'state': 'live',
        }

    def start_roster(self) -> None:
        path = pathlib.Path(self.folder.name) / 'roster.json'
        path.write_text(json.dumps(self.roster()))
        self.start(
            'roster',
            'standin',
            'roster',
            file=str(path),
            lag_s=self.flags.get('list_lag_s', 0.2),
        )

    def roster(self) -> dict[str, Any]:
        return {'hosts': self.hosts, 'endpoints': self.endpoints}

    def publish_roster(self) -> None:
        send_request(
            self.url('roster'), 'PUT', '/roster', json.dumps(self.roster())
        )

    def start(self, key: str, *command: str, **flags: Any) -> None:
        self.ports.setdefault(key, free_port())
        arguments = [sys.executable, '-m', 'trefoilspool', *command]
        arguments += ['--port', str(self.ports[key])]
        arguments += [
            f'--{name.replace("_", "-")}={setting}'
            for name, setting in flags.items()
        ]
        self.commands[key] = arguments
        self.spawn(key)

    def spawn(self, key: str) -> None:
        with self.log_path(key).open('ab') as log:
            self.processes[key] = subprocess.Popen(
                self.commands[key],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, 'TREFOILSPOOL_LOG_LEVEL': 'DEBUG'},
            )

    def start_host(self, name: str) -> None:
        flags = {
            'name': name,
            'peer_port': self.peer_ports[name],
            'log_url': self.url('log'),
            'roster_url': self.url('roster'),
            'ticket_secret': 'test-secret-of-16-chars',
            'log_share': 50,
            **self.flags.get('host', {}),
        }
        self.start(name, 'host', **flags)

    def log_path(self, key: str) -> pathlib.Path:
        return pathlib.Path(self.folder.name) / f'{key}.log'

    def lines(self, key: str) -> list[dict[str, Any]]:
        found = []
        for line in self.log_path(key).read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def decisions(self, name: str) -> list[dict[str, Any]]:
        return sorted(
            (
                line
                for host in self.hosts
                for line in self.lines(host['name'])
                if line.get('decision') == name
            ),
            key=lambda line: line['time'],
        )

    def url(self, key: str) -> str:
        return f'http://{ADDRESS}:{self.ports[key]}'

    def get(self, key: str, path: str) -> Any:
        return json.loads(
            send_request(self.url(key), 'GET', path, timeout=5)[1]
        )

    def status(self, key: str) -> Any:
        with contextlib.suppress(Exception):
            return self.get(key, '/v1/status')
        return {}

    def ready(self, key: str) -> bool:
        with contextlib.suppress(Exception):
            return send_request(self.url(key), 'GET', '/readyz')[0] == 200
        return False

    def wait_port(self, key: str) -> None:
        def responds() -> bool:
            with contextlib.suppress(Exception):
                send_request(self.url(key), 'GET', '/healthz')
                return True
            return False

        wait_until(responds, f'{key} to respond')

    def live_hosts(self, key: str) -> list[str]:
        hosts = self.status(key).get('hosts', {})
        return sorted(name for name, state in hosts.items() if state == 'live')

    def wait_ready(self, names: list[str] | None = None) -> None:
        names = names or [host['name'] for host in self.hosts]
        for endpoint in self.endpoints:
            self.wait_port(endpoint['name'])
        wait_until(
            lambda: all(
                self.live_hosts(name) == sorted(names) for name in names
            ),
            f'{names} to be ready and see each other',
        )

    def home(self, cell: str) -> str:
        return str(self.status(self.hosts[0]['name'])['homes'][cell])

    def fault(self, key: str, **faults: float) -> None:
        send_request(self.url(key), 'POST', '/faults', json.dumps(faults))

    def journal(self, key: str) -> list[dict[str, Any]]:
        return list(self.get(key, '/journal'))

    def call(
        self,
        host: str,
        kind: KindCall,
        token: str = 'token-montevideo',
        timeout_s: float | None = None,
    ) -> CallResult:
        address = (ADDRESS, self.ports[host])
        return call_kind(address, token, kind, timeout_s)

    def signal(self, key: str, number: int) -> None:
        self.processes[key].send_signal(number)

    def kill(self, key: str) -> None:
        self.signal(key, signal.SIGKILL)
        self.processes[key].wait()

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        for proxy in self.frame_proxies.values():
            proxy.close()
        self.folder.cleanup()


@contextlib.contextmanager
def cluster(**options: Any) -> Iterator[Cluster]:
    """Yield a cluster; end its processes even if its start fails."""
    system = Cluster.__new__(Cluster)
    system.processes = {}
    system.frame_proxies = {}
    try:
        system.__init__(**options)  # type: ignore[misc]
        yield system
    finally:
        system.close()
