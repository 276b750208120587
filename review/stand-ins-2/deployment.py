"""A small deployment on loopback addresses: hosts, a store and servers.

The hosts are the project's own program, started as the deploy file says. The
store and the servers are the project's stand-ins in ``tests/``.
"""

import contextlib
import http.client
import json
import os
import pathlib
import resource
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Mapping
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / 'tests'))

from platformendpoint import (  # noqa: E402
    PlatformEndpoint,
    ServedRequest,
)
from platformstore import PlatformStore  # noqa: E402

__all__ = [
    'AUTHORITY',
    'KEY',
    'ROOT',
    'Deployment',
    'Host',
    'PlatformEndpoint',
    'PlatformStore',
    'Record',
    'ServedRequest',
    'call',
    'configuration',
    'head',
    'route',
]

AUTHORITY = 'orders.example'
KEY = 'key-of-acme'
SERVICE = 'engines'
# Settings of an edge machine of cabrera-ops (SYSTEM.md).
CORE_SHARE = 0.731
MEMORY_MB = 222
MAX_FDS = 1535
KB_PER_MB = 1024
READY_S = 20
POLL_S = 0.05
RESTART_S = 0.5


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open('w', encoding='utf-8')
        self.lock = threading.Lock()
        self.began_at = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Write a line."""
        seconds = time.monotonic() - self.began_at
        texts = [f'{name}={field}' for name, field in fields.items()]
        with self.lock:
            self.file.write(' '.join((f'{seconds:8.3f}', event, *texts)) + '\n')
            self.file.flush()


def free_port(address: str = '127.0.0.1') -> int:
    """Return a port that is free now."""
    with socket.create_server((address, 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


def route(name: str, kind: str, **changes: object) -> dict[str, object]:
    """Return a route as the operator writes it."""
    return {
        'name': f'r-{name}',
        'authority': AUTHORITY,
        'pathPrefix': f'/{name}/',
        'routeType': kind,
        'timeoutMs': 5000,
        'targetLatencyMs': 300,
        'priority': 1,
        'backend': SERVICE,
        'maxAttempts': 1,
        'anonymous': False,
        'streamResume': False,
        **changes,
    }


def configuration(
    version: int, routes: list[dict[str, object]], **changes: object
) -> dict[str, object]:
    """Return a configuration as the operator writes it."""
    return {
        'version': version,
        'routeTable': routes,
        'backends': [{'name': SERVICE, 'healthPath': '/healthz'}],
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
    }


class Host:
    """One host of the system."""

    def __init__(
        self, deployment: 'Deployment', name: str, address: str
    ) -> None:
        self.deployment = deployment
        self.name = name
        self.address = address
        self.port = free_port(address)
        self.ready_port = free_port(address)
        self.control_port = deployment.control_port
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def environment(self) -> dict[str, str]:
        """Return the environment: the variables of the deploy file."""
        deployment = self.deployment
        fields: dict[str, Any] = {
            'nodeName': self.name,
            'zone': 'uy-sur-a',
            'ip': self.address,
            'listenersMap.frontend': f'{self.address}:{self.port}',
            'listenersMap.ready': f'{self.address}:{self.ready_port}',
            'listenersMap.controlPlane': f'{self.address}:{self.control_port}',
            'internalPorts.0': deployment.mesh_port,
            'seeds': ','.join(deployment.seeds()),
            'provider.address': deployment.store_address,
            'limits.cpuQuota': CORE_SHARE,
            'limits.cores': 1,
            'limits.memoryMb': MEMORY_MB,
            'limits.maxFds': MAX_FDS,
        }
        variables = {}
        for name, text in deployment.role['env'].items():
            for field, value in fields.items():
                text = text.replace('{{' + field + '}}', str(value))
            if '{{' not in text:
                variables[name] = text
        # The metrics port of the deploy file may be taken on this machine.
        variables['TREFOILSPOOL_METRICS'] = (
            f'{self.address}:{deployment.metrics_port}'
        )
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        return {
            **kept,
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            **variables,
        }

    def start(self) -> None:
        """Start the process as the deploy file says."""
        self.starts += 1
        log = self.deployment.folder / f'{self.name}.log'
        with log.open('ab') as file:
            self.process = subprocess.Popen(
                shlex.split(self.deployment.role['run']),
                cwd=ROOT,
                env=self.environment(),
                stdout=file,
                stderr=file,
                preexec_fn=limit_descriptors,
            )
        self.deployment.record.write(
            'start', host=self.name, process=self.process.pid
        )

    def is_ready(self) -> bool:
        """Return whether the balancer's question gets a 200."""
        try:
            status, _ = call(
                (self.address, self.ready_port), 'GET', '/-/readyz', {}, 1
            )
        except (OSError, http.client.HTTPException):
            return False
        return status == http.HTTPStatus.OK

    def memory_mb(self) -> float:
        """Return the memory that is resident now, 0 if there is none."""
        assert self.process is not None
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / KB_PER_MB
        return 0

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)
            self.deployment.record.write(
                'signal', host=self.name, signal=number.name
            )


def limit_descriptors() -> None:
    """Bound the descriptors of a process as its machine does."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


class Deployment:
    """Hosts on 127.0.1.1 and on, and what they need."""

    def __init__(
        self,
        folder: pathlib.Path,
        store_address: str,
        host_count: int,
    ) -> None:
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.record = Record(folder / 'record.txt')
        self.store_address = store_address
        with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
            self.role = tomllib.load(file)['roles']['host']
        self.mesh_port = free_port('127.0.1.1')
        self.control_port = free_port('127.0.1.1')
        self.metrics_port = free_port('127.0.1.1')
        self.hosts: list[Host] = []
        for number in range(1, host_count + 1):
            self.hosts.append(Host(self, f'edge-{number}', f'127.0.1.{number}'))

    def seeds(self) -> list[str]:
        """Return the addresses that the settings name."""
        return [
            f'{host.address}:{self.control_port}' for host in self.hosts[:3]
        ]

    def start(self) -> bool:
        """Start all hosts; return whether they became ready."""
        for host in self.hosts:
            host.start()
        return wait_until(
            lambda: all(host.is_ready() for host in self.hosts), READY_S
        )

    def close(self) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            if host.process is not None:
                with contextlib.suppress(OSError):
                    host.process.kill()
                host.process.wait()
        keep = os.environ.get('KEEP')
        if keep:
            for log in self.folder.iterdir():
                pathlib.Path(keep, log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


def wait_until(check: Callable[[], bool], seconds: float) -> bool:
    """Wait for a condition; return whether it was met in time."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if check():
            return True
        time.sleep(POLL_S)
    return False


def head(
    method: str, path: str, request_id: str, length: int, *lines: str
) -> bytes:
    """Return the head of a caller's request."""
    return '\r\n'.join(
        (
            f'{method} {path} HTTP/1.1',
            f'Host: {AUTHORITY}',
            f'Authorization: Bearer {KEY}',
            f'Request-Id: {request_id}',
            f'Content-Length: {length}',
            *lines,
            '',
            '',
        )
    ).encode()


def call(
    target: tuple[str, int],
    method: str,
    path: str,
    headers: Mapping[str, str],
    timeout_s: float,
    body: bytes | None = None,
) -> tuple[int, bytes]:
    """Send one request on a new channel; return the status and the body."""
    connection = http.client.HTTPConnection(*target, timeout=timeout_s)
    try:
        connection.request(method, path, body, dict(headers))
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def caller_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of an ordinary request."""
    return {
        'Host': AUTHORITY,
        'Authorization': f'Bearer {KEY}',
        'Request-Id': request_id,
        'Deadline-Ms': str(deadline_ms),
    }


def as_json(content: object) -> bytes:
    """Return a body."""
    return json.dumps(content).encode()
