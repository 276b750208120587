"""Gateway hosts in this process, with stand-ins of the platform."""

import contextlib
import http.client
import itertools
import os
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from cluster import free_port
from launch import UsersPlatform
from platformendpoint import PlatformEndpoint
from platformstore import PlatformStore

from trefoilspool.gatewayapp import GatewayApp
from trefoilspool.gatewayhost import GatewayHost
from trefoilspool.httpserver import HttpServer
from trefoilspool.options import GatewayOptions

WAIT_S = 20
POLL_S = 0.01
LONG_S = 300
NETWORK_NUMBERS = itertools.count()
KEY = 'key-of-acme'
AUTHORITY = 'shop.example'


class CallerResponse(NamedTuple):
    """A response as received; ``complete`` is False for a cut body."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


def wait_for(check: Callable[[], Any], what: str) -> Any:
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        found = check()
        if found:
            return found
        time.sleep(POLL_S)
    raise AssertionError(f'waited {WAIT_S} s for {what}')


def configuration(version: int = 1, **changes: object) -> dict[str, object]:
    """Return a configuration record with one route of each kind."""
    return {
        'version': version,
        'routeTable': [
            route('chat', 'streaming', streamResume=True, maxAttempts=2),
            route('talk', 'streaming', streamResume=False),
            route('look', 'idempotent', maxAttempts=2),
            route('book', 'non_idempotent'),
        ],
        'backends': [{'name': 'engines', 'healthPath': '/healthz'}],
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


def route(name: str, kind: str, **changes: object) -> dict[str, object]:
    return {
        'name': f'r-{name}',
        'authority': AUTHORITY,
        'pathPrefix': f'/{name}/',
        'routeType': kind,
        'timeoutMs': 5000,
        'targetLatencyMs': 300,
        'priority': 1,
        'backend': 'engines',
        'maxAttempts': 1,
        'anonymous': False,
        'streamResume': False,
        **changes,
    }


class RunningHost:
    """A gateway host with its HTTP server."""

    def __init__(self, cluster: 'GatewayCluster', number: int) -> None:
        cluster.started.append(self)
        self.address = f'{cluster.network}.{number}'
        self.port, ready, control = cluster.ports
        self.options = GatewayOptions(
            name=f'h{number}',
            address=self.address,
            data_centre='z1',
            listen=f'{self.address}:{self.port}',
            ready=f'{self.address}:{ready}',
            control=f'{self.address}:{control}',
            mesh_port=cluster.mesh_port,
            seeds=cluster.seeds,
            store=cluster.store.address,
        )
        self.host = GatewayHost(self.options, UsersPlatform(self.options))
        self.application = GatewayApp(self.host)
        self.server = HttpServer(
            self.application,
            (self.options.listen, self.options.ready, self.options.control),
        )
        self.host.on_limits = self.server.limit_requests
        self.host.start()
        threading.Thread(target=self.server.run, daemon=True).start()

    def stop(self) -> None:
        self.host.stop()
        self.server.close()

    def close_idle_connections(self) -> None:
        """Close the connections that are kept to endpoints."""
        pool = self.host.endpoint_client.pool
        for idle in list(pool.idle.values()):
            for connection in list(idle):
                connection.close()

    def close_store_connections(self) -> None:
        """Close the connections of the tasks that read the store."""
        host = self.host
        for topic in (
            host.settings_sync.store_task.source,
            host.endpoint_sync.store_task.source,
            host.discovery_task.topic,
            host.quarantine_task.topic,
            host.version_task.topic,
            host.version_task.endpoint_replay.source,
            host.version_task.route_replay.source,
            host.status_task.topic,
        ):
            topic.connection.close()

    def cut_datagrams(self) -> None:
        """Drop all datagrams to and from other hosts."""
        mesh = self.host.mesh
        send, on_datagram = mesh.sender.send, mesh.on_datagram

        def send_own(address: str, datagram: object) -> None:
            if address == self.address:
                send(address, datagram)

        def on_own(body: bytes, address: str, *times: float) -> None:
            if address == self.address:
                on_datagram(body, address, *times)

        mesh.sender.send, mesh.on_datagram = send_own, on_own

    def run_for_long(self) -> None:
        """Make the host as if it had run for some minutes."""
        gossip = self.host.mesh.origin_gossip
        gossip.history.started_at -= LONG_S
        history = gossip.routes
        history.first_at -= LONG_S
        for name, known in history.by_route.items():
            earlier = known._replace(since=known.since - LONG_S)
            history.by_route[name] = earlier

    def is_stopped(self) -> bool:
        """Return whether the host's addresses can be bound again."""
        if self.host.mesh.socket.fileno() >= 0:
            return False
        listeners = (self.options.listen, self.options.ready)
        for listener in (*listeners, self.options.control):
            address, _, port = listener.partition(':')
            try:
                socket.create_server((address, int(port))).close()
            except OSError:
                return False
        return True


class GatewayCluster:
    """A store, endpoints and hosts; closed with ``close``."""

    endpoint_class = PlatformEndpoint

    def __init__(self) -> None:
        # Each cluster has its own loopback addresses, so that the hosts of
        # concurrent tests do not exchange datagrams.
        worker = os.getpid() % 200
        self.network = f'127.{20 + next(NETWORK_NUMBERS) % 200}.{worker}'
        self.store = PlatformStore()
        self.ports = (free_port(), free_port(), free_port())
        self.mesh_port = free_port()
        self.seeds = f'{self.network}.1:1'
        self.endpoints: list[PlatformEndpoint] = []
        self.hosts: list[RunningHost] = []
        self.started: list[RunningHost] = []
        self.ids = itertools.count(1)
        self.configure()

    def configure(self, version: int = 1, **changes: object) -> None:
        self.store.put('keyed.op', 'config', configuration(version, **changes))

    def add_endpoint(self, **changes: object) -> PlatformEndpoint:
        endpoint = self.endpoint_class(f'i-{len(self.endpoints) + 1}')
        self.endpoints.append(endpoint)
        self.register(endpoint, **changes)
        return endpoint

    def register(self, endpoint: PlatformEndpoint, **changes: object) -> None:
        record = endpoint.record('engines', **changes)
        self.store.put('keyed.servers', endpoint.name, record)

    def add_host(self) -> RunningHost:
        running = RunningHost(self, len(self.hosts) + 1)
        self.hosts.append(running)
        if self.endpoints:
            wait_for(running.host.is_ready, 'a ready host')
        return running

    def restart_host(self, running: RunningHost) -> RunningHost:
        """Start a host again that was stopped, at its address."""
        wait_for(running.is_stopped, 'a free address')
        number = self.hosts.index(running) + 1
        self.hosts[number - 1] = RunningHost(self, number)
        wait_for(self.hosts[number - 1].host.is_ready, 'a ready host')
        return self.hosts[number - 1]

    def wait_for_endpoints(self, running: RunningHost, count: int) -> None:
        wait_for(
            lambda: (
                len(running.host.mesh.scheduler.available_endpoints) == count
            ),
            f'{count} endpoints at the slot scheduler',
        )

    def call(
        self,
        running: RunningHost,
        path: str = '/look/1',
        method: str = 'POST',
        body: bytes = b'',
        **headers: str,
    ) -> CallerResponse:
        with self.open_call(running, path, method, body, **headers) as response:
            try:
                received, complete = response.read(), True
            except http.client.IncompleteRead as error:
                received, complete = error.partial, False
            return CallerResponse(
                response.status,
                {name.lower(): text for name, text in response.getheaders()},
                received,
                complete,
            )

    @contextlib.contextmanager
    def open_call(
        self,
        running: RunningHost,
        path: str,
        method: str = 'POST',
        body: bytes = b'',
        **headers: str,
    ) -> Iterator[http.client.HTTPResponse]:
        """Yield the open response; closes the connection at the end."""
        connection = http.client.HTTPConnection(
            running.address, running.port, timeout=WAIT_S
        )
        request_headers = {
            'Host': AUTHORITY,
            'Request-Id': f'q{next(self.ids)}',
            'Deadline-Ms': '4000',
            'Authorization': f'Bearer {KEY}',
        }
        request_headers.update(
            (name.replace('_', '-'), text) for name, text in headers.items()
        )
        connection.request(method, path, body, request_headers)
        response = connection.getresponse()
        try:
            yield response
        finally:
            response.close()
            connection.close()

    def close(self) -> None:
        for running in self.hosts:
            running.stop()
        for endpoint in self.endpoints:
            endpoint.crash()
        for running in self.hosts:
            running.close_idle_connections()
        self.store.close()
        for running in self.started:
            running.close_store_connections()
