"""The daemon that serves routed requests on every host."""

import secrets
import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import NamedTuple

import logbook

from trefoilspool.dialect import Dialect
from trefoilspool.directory import Directory, EndpointRecord
from trefoilspool.discovery import DiscoveryTask
from trefoilspool.errors import BadRecordError
from trefoilspool.exchange import Exchange
from trefoilspool.gateway import Gateway
from trefoilspool.httpserver import HttpServer
from trefoilspool.mesh import MeshTask
from trefoilspool.options import GatewayOptions
from trefoilspool.peers import HostInfo
from trefoilspool.replica import Replica
from trefoilspool.replication import (
    PeerReplicationTask,
    PollInterval,
    StoreReplicationTask,
)
from trefoilspool.routing import Configuration
from trefoilspool.serving import RequestServer
from trefoilspool.slotmessages import EndpointSpec
from trefoilspool.store import KeyedRecord, KeyedSource, KeyedTopic
from trefoilspool.telemetry import Metrics
from trefoilspool.watch import WatchTask

__all__ = ['GatewayHost', 'Platform', 'StoreTopics', 'Topics']

NS_PER_US = 1000
INCARNATION_BITS = 4
DRAIN_POLL_S = 0.05
SWEEP_S = 1.0
TAKE_S = 2.8  # the balancer has taken a leaving host out by then
MIN_DRAIN_S = 3.2
LAST_EXIT_S = 7.5  # the platform kills after 8 s
# A read of the settings waits for the next record. Where its connection has
# fallen silent, the host learns from its peers meanwhile.
SETTINGS_WAIT_S = 8.0
SETTINGS_PAUSE_S = 0.02
ENDPOINTS_PAUSE_S = 1.1  # a leaving endpoint gets no work after two seconds
ENDPOINTS_SILENT_S = 1.3  # then a host reads for itself
ENDPOINTS_READERS = 3
SETTINGS_PACE = PollInterval(SETTINGS_WAIT_S, SETTINGS_PAUSE_S)
ENDPOINTS_PACE = PollInterval(0, ENDPOINTS_PAUSE_S)
CONFIGURATION_KEY = 'config'

logger = logbook.Logger('gateway')


class Topics(NamedTuple):
    """The sources of the two topics that every host follows."""

    settings: KeyedSource
    endpoints: KeyedSource


class StoreTopics(NamedTuple):
    """The store's topics.

    Attributes
    ----------
    settings, endpoints : KeyedSource
        Followed by every host.
    hosts : KeyedTopic
        Where hosts introduce themselves.
    """

    settings: KeyedSource
    endpoints: KeyedSource
    hosts: KeyedTopic


class Platform(ABC):
    """What a platform's adapter provides."""

    @abstractmethod
    def dialect(self) -> Dialect:
        """Return how requests are spelt."""

    @abstractmethod
    def topics(self) -> StoreTopics:
        """Return the store's topics."""

    @abstractmethod
    def peer_topics(self, address: str) -> Topics:
        """Return a peer's copies of the topics."""

    @abstractmethod
    def page_body(self, replica: Replica, end: int) -> bytes:
        """Return a copy's records from an offset, for a peer."""

    @abstractmethod
    def configuration(self, content: bytes) -> Configuration:
        """Return the configuration of a record.

        Raises
        ------
        BadRecordError
            It cannot be read.
        """

    @abstractmethod
    def endpoint(self, key: str, content: bytes) -> EndpointRecord:
        """Return the endpoint of a record.

        Raises
        ------
        BadRecordError
            It names no endpoint.
        """

    @abstractmethod
    def ready_path(self) -> str:
        """Return the path at which the balancer asks for readiness."""


class GatewayHost:
    """The tasks of one host.

    Parameters
    ----------
    options : GatewayOptions
        Process settings.
    platform : Platform
        How the platform is spoken to.
    """

    def __init__(self, options: GatewayOptions, platform: Platform) -> None:
        self.options = options
        self.platform = platform
        self.incarnation = (
            time.time_ns() // NS_PER_US << INCARNATION_BITS
        ) + secrets.randbits(INCARNATION_BITS)
        self.stopping = threading.Event()
        self.metrics = Metrics()
        own = HostInfo(
            options.name,
            options.address,
            self.incarnation,
            capacity=options.capacity,
        )
        self.mesh = MeshTask(own, options.mesh_port, options.seed_addresses)
        topics = platform.topics()
        self.settings = Replica(self.on_settings)
        self.settings_task = StoreReplicationTask(
            'settings',
            topics.settings,
            self.settings,
            SETTINGS_PACE,
            self.stopping,
        )
        self.directory = Directory(
            platform.endpoint,
            self.outage_ended_at,
            self.on_available_endpoints,
        )
        self.endpoints = Replica(self.on_endpoints, self.endpoint_of)
        self.endpoints_known_at = 0.0
        self.endpoints_task = StoreReplicationTask(
            'endpoints',
            topics.endpoints,
            self.endpoints,
            ENDPOINTS_PACE,
            self.stopping,
            self.endpoints_due,
            self.on_endpoints_read,
        )
        self.discovery_task = DiscoveryTask(
            topics.hosts,
            self.mesh.peers,
            self.stopping,
        )
        self.watch = WatchTask()
        self.exchange = Exchange(platform.dialect())
        self.gateway = Gateway(
            RequestServer(
                self.mesh.client,
                self.directory,
                self.exchange,
                self.watch,
                self.metrics,
                options.data_centre,
            ),
            self.metrics,
        )

    def outage_ended_at(self) -> float:
        """Return when the store was regained."""
        if self.endpoints_task.lost_at is not None:
            return time.monotonic()
        return self.endpoints_task.regained_at

    def start(self) -> None:
        """Start the tasks."""
        for run in self.runs():
            threading.Thread(target=run, daemon=True).start()

    def runs(self) -> Iterable[Callable[[], None]]:
        """Yield the loops of the tasks."""
        yield self.mesh.run
        yield self.watch.run
        yield self.settings_task.run
        yield self.endpoints_task.run
        yield self.discovery_task.run
        yield PeerReplicationTask(
            'settings',
            self.peer_ahead_in_settings,
            self.settings,
            self.stopping,
        ).run
        yield PeerReplicationTask(
            'endpoints',
            self.peer_ahead_in_endpoints,
            self.endpoints,
            self.stopping,
            looks=1,
            done=self.on_endpoints_known,
        ).run
        yield self.sweep

    def sweep(self) -> None:
        """Close idle connections and let lapsed endpoints go."""
        while not self.stopping.wait(SWEEP_S):
            self.exchange.pool.sweep()
            self.directory.tick(time.monotonic())

    def peer_ahead_in_settings(self, end: int) -> KeyedSource | None:
        """Return a peer's settings if it has read further."""
        ahead = self.peer_ahead(lambda host: host.settings_end, end)
        return ahead.settings if ahead else None

    def endpoints_due(self) -> bool:
        """Tell whether this host reads the endpoints from the store.

        A few do for all, and each for itself where none of these is heard.
        """
        if self.mesh.peers.is_among_first(ENDPOINTS_READERS):
            return True
        silent_s = time.monotonic() - self.endpoints_known_at
        return silent_s >= ENDPOINTS_SILENT_S

    def on_endpoints_read(self) -> None:
        """Tell others that this host has read the endpoints."""
        self.on_endpoints_known()
        end = self.endpoints.changed_end
        self.mesh.call_soon(lambda now: self.mesh.send_endpoints_read(end, now))

    def on_endpoints_known(self) -> None:
        """Note that this host has all records of endpoints."""
        self.on_endpoints_known_at(time.monotonic())

    def on_endpoints_known_at(self, now: float) -> None:
        """Note when this host had all records of endpoints.

        Where others read them for it, the store answers; an outage that this
        host saw when it last read has ended.
        """
        self.endpoints_known_at = max(self.endpoints_known_at, now)
        if not self.mesh.peers.is_among_first(ENDPOINTS_READERS):
            self.endpoints_task.on_answer()

    def endpoint_of(self, record: KeyedRecord) -> object:
        """Return what a record says of an endpoint."""
        try:
            return self.platform.endpoint(record.key, record.content)
        except BadRecordError:
            # The directory logs it.
            return record.content

    def peer_ahead_in_endpoints(self, end: int) -> KeyedSource | None:
        """Return the endpoints of a peer that has read of changes."""
        read = self.mesh.endpoints_read
        if read is None:
            return None
        if read.changed_end > end:
            return self.platform.peer_topics(read.peer.address).endpoints
        if read.at > self.endpoints_known_at:
            self.on_endpoints_known_at(read.at)
        return None

    def peer_ahead(
        self,
        position: Callable[[HostInfo], int],
        end: int,
    ) -> Topics | None:
        """Return the topics of the peer that has read furthest."""
        hosts = list(self.mesh.peers.hosts.values())
        best = max(hosts, key=position)
        if position(best) <= max(end, 0) or best.name == self.options.name:
            return None
        return self.platform.peer_topics(best.address)

    def on_settings(self, records: tuple[KeyedRecord, ...]) -> None:
        """Put a new configuration in force."""
        for record in records:
            if record.key == CONFIGURATION_KEY and record.content:
                self.on_configuration(record)

    def on_configuration(self, record: KeyedRecord) -> None:
        """Put a configuration in force if it can be read and is newer."""
        try:
            configuration = self.platform.configuration(record.content)
        except BadRecordError as error:
            logger.warning(
                'configuration_unreadable',
                extra={'offset': record.offset, 'error': str(error)},
            )
            return
        if configuration.version <= self.gateway.version:
            return
        self.gateway.configuration = configuration
        self.mesh.set_configuration(configuration)
        self.directory.on_configuration(configuration)
        logger.info(
            'version_in_force',
            extra={
                'version': configuration.version,
                'offset': record.offset,
                'routes': len(configuration.table.routes),
                'limits': {
                    one.name: (one.rate, one.burst)
                    for one in configuration.workspaces.values()
                },
            },
        )
        self.tell()
        self.mesh.announce_version()

    def on_endpoints(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take new records of endpoints."""
        self.directory.on_records(records, time.monotonic())
        self.tell()

    def on_available_endpoints(self, endpoints: list[EndpointSpec]) -> None:
        """Tell the mesh which endpoints may get work."""
        self.mesh.set_available_endpoints(endpoints)

    def tell(self) -> None:
        """Let peers know how far this host has read."""
        self.mesh.peers.update_own(
            self.mesh.peers.own._replace(
                leaving=self.gateway.draining,
                settings_version=self.gateway.version,
                settings_end=self.settings.end,
                endpoints_end=self.endpoints.end,
            )
        )

    def is_ready(self) -> bool:
        """Tell the balancer whether to send callers here."""
        return (
            self.gateway.configuration is not None
            and bool(self.directory.published)
            and not self.gateway.draining
        )

    def drain(self, listening: HttpServer) -> None:
        """Leave: not ready, take no more, then finish what is open.

        Parameters
        ----------
        listening : HttpServer
            Whose idle connections are closed, so that their callers go to
            other hosts.
        """
        started = time.monotonic()
        gateway = self.gateway
        gateway.draining = True
        self.tell()
        self.mesh.announce()
        logger.info('draining', extra={'open': gateway.open})
        while time.monotonic() < started + LAST_EXIT_S:
            age = time.monotonic() - started
            gateway.closed = age >= TAKE_S
            listening.close_idle()
            if age >= MIN_DRAIN_S and not gateway.open:
                break
            time.sleep(DRAIN_POLL_S)
        logger.info('drained', extra={'open': gateway.open})

    def stop(self) -> None:
        """Stop the tasks."""
        self.stopping.set()
        self.mesh.stopping.set()
