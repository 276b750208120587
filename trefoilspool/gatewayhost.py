"""The tasks of a host that serves routed requests."""

import secrets
import threading
import time
from collections.abc import Callable, Iterable

import logbook

from trefoilspool import clock
from trefoilspool.discovery import DiscoveryTask
from trefoilspool.draining import await_open_requests
from trefoilspool.endchecks import EndCheckTask
from trefoilspool.endpointsigns import EndpointSigns
from trefoilspool.endpointsync import EndpointSync
from trefoilspool.errors import BadRecordError
from trefoilspool.exchange import EndpointClient
from trefoilspool.gateway import Gateway
from trefoilspool.gatewayplatform import Platform
from trefoilspool.httpserver import HttpServer
from trefoilspool.mesh import MeshTask
from trefoilspool.options import GatewayOptions
from trefoilspool.peers import HostInfo
from trefoilspool.peertopics import CONFIGURATION_PATH, peer_page
from trefoilspool.quarantine import QuarantineEntry
from trefoilspool.quarantinestore import QuarantineStoreTask
from trefoilspool.quietperiods import QuietPeriods
from trefoilspool.replica import Replica
from trefoilspool.replication import (
    PeerFetchTask,
    PollInterval,
    StoreReplicationTask,
)
from trefoilspool.routing import Configuration
from trefoilspool.serving import RequestServer
from trefoilspool.store import KeyedRecord
from trefoilspool.telemetry import Metrics
from trefoilspool.watch import WatchTask

__all__ = ['GatewayHost']

NS_PER_US = 1000
# Below the start time, so that two starts in one microsecond differ.
RANDOM_BITS = 4
CLEANUP_INTERVAL_S = 1.0
# A read of the settings waits this long for the next record. If its connection
# stalls, the host reads the records from a peer meanwhile.
SETTINGS_LONG_POLL_S = 8.0
SETTINGS_PAUSE_S = 0.02
SETTINGS_POLLING = PollInterval(SETTINGS_LONG_POLL_S, SETTINGS_PAUSE_S)
CONFIGURATION_KEY = 'config'
STORE = 'store'  # as the source of a configuration

logger = logbook.Logger('gateway')


class GatewayHost:
    """A host that serves routed requests, with all its tasks.

    Parameters
    ----------
    options : GatewayOptions
        Process settings.
    platform : Platform
        Adapter of the platform.

    Attributes
    ----------
    incarnation : int
        Number of this run of the process; later runs have larger ones.
    configuration_content : bytes
        Content of the record of the configuration in force, for peers.
    endpoint_sync : EndpointSync
        Keeps the endpoints' records current.
    quiet_periods : QuietPeriods
        Endpoints that get no requests of this host for a while.
    """

    def __init__(self, options: GatewayOptions, platform: Platform) -> None:
        self.options = options
        self.platform = platform
        self.incarnation = (
            time.time_ns() // NS_PER_US << RANDOM_BITS
        ) + secrets.randbits(RANDOM_BITS)
        self.stopping = threading.Event()
        self.metrics = Metrics()
        own_info = HostInfo(
            options.name,
            options.address,
            self.incarnation,
            capacity=options.capacity,
        )
        self.mesh = MeshTask(
            own_info, options.mesh_port, options.seed_addresses
        )
        topics = platform.topics()
        self.configuration_content = b''
        self.configuration_lock = threading.Lock()
        self.settings = Replica(self.on_settings)
        self.settings_task = StoreReplicationTask(
            'settings',
            topics.settings,
            self.settings,
            SETTINGS_POLLING,
            self.stopping,
            on_restored=self.on_settings_restored,
        )
        self.endpoint_sync = EndpointSync(
            topics.endpoints,
            platform.decode_endpoint,
            self.mesh,
            options.control_port,
            self.stopping,
        )
        self.directory = self.endpoint_sync.view.directory
        self.discovery_task = DiscoveryTask(
            topics.hosts,
            self.mesh.peers,
            self.stopping,
        )
        self.quarantine_task = QuarantineStoreTask(
            topics.quarantine,
            self.mesh.quarantine_gossip,
            self.mesh.peers,
            self.mesh.home_contact,
            self.stopping,
        )
        self.mesh.on_quarantine_due = self.quarantine_task.on_due
        self.mesh.quarantine_gossip.on_entry = self.count_quarantine
        self.watch = WatchTask()
        self.end_checks = EndCheckTask(
            self.directory.endpoints, self.mesh.client.on_endpoint_down
        )
        self.mesh.client.on_broken_start = self.end_checks.post
        self.quiet_periods = QuietPeriods()
        self.endpoint_signs = EndpointSigns(
            self.directory, self.quiet_periods, self.mesh, self.metrics
        )
        self.mesh.broadcasts.on_leaving_runs = (
            self.endpoint_signs.on_leaving_runs
        )
        self.endpoint_client = EndpointClient(
            platform.dialect(), self.endpoint_signs.on_head
        )
        self.gateway = Gateway(
            RequestServer(
                self.mesh.client,
                self.directory,
                self.quiet_periods,
                self.endpoint_client,
                self.watch,
                self.metrics,
                options.data_centre,
            ),
            self.metrics,
        )

    def start(self) -> None:
        """Start the tasks."""
        for task_loop in self.task_loops():
            threading.Thread(target=task_loop, daemon=True).start()

    def task_loops(self) -> Iterable[Callable[[], None]]:
        """Yield the loop of each task."""
        yield self.mesh.run
        yield self.watch.run
        yield self.end_checks.run
        yield self.settings_task.run
        yield self.endpoint_sync.store_task.run
        yield self.discovery_task.run
        yield self.quarantine_task.run
        yield PeerFetchTask(
            'settings', self.find_newer_configuration, self.stopping
        ).run
        yield self.endpoint_sync.peer_task.run
        yield self.clean_up

    def clean_up(self) -> None:
        """Close idle connections and drop expired endpoints periodically."""
        while not self.stopping.wait(CLEANUP_INTERVAL_S):
            self.endpoint_client.pool.close_expired()
            self.directory.tick(clock.now())
            self.quiet_periods.forget_ended(clock.now())

    def count_quarantine(self, entry: QuarantineEntry) -> None:
        """Count a change of a prompt part's quarantine."""
        state = 'quarantined' if entry.active else 'lifted'
        self.metrics.count(
            f'trefoilspool_prompt_parts_total{{state="{state}"}}'
        )

    def find_newer_configuration(self) -> Callable[[], None] | None:
        """Return a function that adopts a peer's configuration if newer."""
        ahead = [
            host
            for host in self.mesh.peers.responsive()
            if host.settings_version > self.gateway.version
        ]
        if not ahead:
            return None
        peer = max(ahead, key=lambda host: host.settings_version)
        return lambda: self.on_configuration(
            peer_page(
                peer.address, self.options.control_port, CONFIGURATION_PATH
            ),
            peer.name,
        )

    def on_settings(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply the configuration among new records."""
        for record in records:
            if record.key == CONFIGURATION_KEY and record.content:
                self.on_configuration(record.content, STORE)

    def on_settings_restored(self) -> None:
        """Write this host's own record again: the store may have lost it."""
        self.metrics.count('trefoilspool_store_restored_total')
        self.discovery_task.on_store_restored()
        self.quarantine_task.on_store_restored()

    def on_configuration(self, content: bytes, source: str) -> None:
        """Apply a configuration if it is valid and newer.

        A restored store may show an earlier version for a while, which stays
        without effect.

        Parameters
        ----------
        content : bytes
            Content of the configuration's record.
        source : str
            Where it was read, for the log line: the store or a peer.
        """
        try:
            configuration = self.platform.decode_configuration(content)
        except BadRecordError as error:
            logger.warning(
                'configuration_unreadable',
                extra={'source': source, 'error': str(error)},
            )
            return
        with self.configuration_lock:
            if configuration.version > self.gateway.version:
                self.configuration_content = content
                self.set_configuration(configuration, source)

    def set_configuration(
        self, configuration: Configuration, source: str
    ) -> None:
        """Put a configuration in force and announce it to peers."""
        self.gateway.configuration = configuration
        self.mesh.set_configuration(configuration)
        self.directory.on_configuration(configuration)
        logger.info(
            'version_in_force',
            extra={
                'version': configuration.version,
                'source': source,
                'read': self.settings_task.last_read._asdict()
                if source == STORE
                else None,
                'routes': len(configuration.routes.routes),
                'limits': {
                    workspace.name: (workspace.rate, workspace.burst)
                    for workspace in configuration.workspaces.values()
                },
            },
        )
        self.publish_own_info()
        self.mesh.announce_version()

    def publish_own_info(self) -> None:
        """Update what peers see of this host, such as how far it has read."""
        self.mesh.peers.update_own(
            self.mesh.peers.own._replace(
                leaving=self.gateway.draining,
                settings_version=self.gateway.version,
            )
        )

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this host."""
        return (
            self.gateway.configuration is not None
            and bool(self.directory.published)
            and self.knows_quarantine()
            and not self.gateway.draining
        )

    def knows_quarantine(self) -> bool:
        """Return whether the store or a home host could tell this host.

        A store that does not answer delays the host only by its timeout.
        """
        return (
            self.quarantine_task.has_tried.is_set()
            or self.mesh.home_contact.has_heard_other()
        )

    def drain(self, server: HttpServer) -> None:
        """Fail the readiness check, later reject requests; await the open ones.

        Parameters
        ----------
        server : HttpServer
            Server whose idle connections are closed, so that their callers
            connect to other hosts.
        """
        gateway = self.gateway
        gateway.draining = True
        self.publish_own_info()
        self.mesh.announce()
        logger.info('draining', extra={'open': gateway.open_count})
        await_open_requests(gateway, server)
        logger.info('drained', extra={'open': gateway.open_count})

    def stop(self) -> None:
        """Stop the tasks."""
        self.stopping.set()
        self.mesh.stopping.set()
