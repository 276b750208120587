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
from trefoilspool.paths.dialer import Dialer
from trefoilspool.paths.pathchecks import PathCheckTask
from trefoilspool.paths.relayclient import RelayClient
from trefoilspool.paths.relaytask import RelayTask
from trefoilspool.paths.ways import EndpointPaths
from trefoilspool.peers import HostInfo
from trefoilspool.quarantine import QuarantineEntry
from trefoilspool.quarantinestore import QuarantineStoreTask
from trefoilspool.queueing.order import ORDERS
from trefoilspool.quietperiods import QuietPeriods
from trefoilspool.replica import Position
from trefoilspool.rollouts.exposure import ExposureBudget
from trefoilspool.rollouts.statustask import StatusTask
from trefoilspool.routing import CallerLimits, Configuration
from trefoilspool.serving import RequestServer
from trefoilspool.servingparts import EndpointKnowledge
from trefoilspool.settingssync import ConfigurationHandlers, SettingsSync
from trefoilspool.store import KeyedRecord, KeyedTopic
from trefoilspool.telemetry import Metrics
from trefoilspool.versionreplay import RouteReplay, VersionReplay
from trefoilspool.versionstore import VersionStoreTask
from trefoilspool.watch import WatchTask

__all__ = ['GatewayHost']

NS_PER_US = 1000
# Below the start time, so that two starts in one microsecond differ.
RANDOM_BITS = 4
CLEANUP_INTERVAL_S = 1.0

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
    settings_sync : SettingsSync
        Keeps the configuration current.
    endpoint_sync : EndpointSync
        Keeps the endpoints' records current.
    quiet_periods : QuietPeriods
        Endpoints that get no requests of this host for a while.
    paths : EndpointPaths
        This host's ways to endpoints.
    relay : RelayTask
        Relays connections of other hosts.
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
            own_info,
            options.mesh_port,
            options.seed_addresses,
        )
        self.mesh.client.rollouts.metrics = self.metrics
        self.mesh.scheduler.pool.finds_pace = options.endpoint_pace
        self.mesh.scheduler.calibration.metrics = self.metrics
        self.mesh.scheduler.use_order(ORDERS[options.slot_order])
        gossip = self.mesh.rollout_gossip
        gossip.metrics = self.metrics
        gossip.coordinator.budget = ExposureBudget(
            options.exposure_share, options.exposure_tolerance
        )
        topics = platform.topics()
        self.endpoint_sync = EndpointSync(
            topics.endpoints,
            platform.decode_endpoint,
            self.mesh,
            options.control_port,
            self.stopping,
        )
        self.settings_sync = SettingsSync(
            topics.settings,
            lambda content: platform.decode_configuration(content),
            ConfigurationHandlers(
                self.on_configuration_gap,
                self.put_in_force,
                self.on_version,
                self.on_settings_restored,
                self.on_orders,
            ),
            self.endpoint_sync.reads_for_others,
            self.mesh.peers,
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
        self.mesh.origin_gossip.metrics = self.metrics
        self.mesh.origin_gossip.history = self.directory.versions
        self.mesh.origin_gossip.is_stale = self.endpoint_sync.view.is_stale
        self.mesh.origin_gossip.records_age_s = self.endpoint_sync.view.age_s
        self.mesh.origin_gossip.confirm = self.endpoint_sync.confirm
        self.version_task = self.make_version_task(topics.versions)
        self.status_task = StatusTask(
            topics.statuses,
            platform,
            gossip,
            self.mesh.call_soon,
            self.stopping,
        )
        self.mesh.on_quarantine_due = self.quarantine_task.on_due
        self.mesh.quarantine_gossip.on_entry = self.count_quarantine
        self.on_limits: Callable[[CallerLimits], None] = ignore_limits
        self.watch = WatchTask()
        self.dialer = Dialer()
        self.paths = EndpointPaths(
            self.dialer,
            RelayClient(self.mesh.peers, options.mesh_port, self.dialer),
            lambda: list(self.directory.endpoints.values()),
        )
        self.paths.on_relayed = lambda: self.metrics.count(
            'trefoilspool_relayed_total'
        )
        self.paths.on_refused = self.mesh.client.on_refused
        self.path_checks = PathCheckTask(self.paths, self.directory)
        self.relay = RelayTask(
            options.mesh_port,
            self.mesh.peers,
            self.directory,
            self.paths,
            self.metrics,
        )
        self.end_checks = EndCheckTask(
            self.directory.endpoints,
            self.mesh.client.on_endpoint_down,
            self.paths,
        )
        self.end_checks.on_unknown = self.mesh.client.on_end_unknown
        self.mesh.client.on_suspected_end = self.end_checks.post
        self.quiet_periods = QuietPeriods()
        self.endpoint_signs = EndpointSigns(
            self.directory, self.quiet_periods, self.mesh, self.metrics
        )
        self.mesh.broadcasts.on_leaving_runs = (
            self.endpoint_signs.on_leaving_runs
        )
        self.endpoint_client = EndpointClient(
            platform.dialect(), self.paths, self.endpoint_signs.on_head
        )
        self.gateway = Gateway(
            RequestServer(
                self.mesh.client,
                EndpointKnowledge(
                    self.directory, self.quiet_periods, self.mesh.origin_gossip
                ),
                self.endpoint_client,
                self.watch,
                self.metrics,
                options.data_centre,
            ),
            self.metrics,
        )

    def make_version_task(self, topic: KeyedTopic) -> VersionStoreTask:
        """Return the task that keeps the versions in the store."""
        # The tasks that wait for records have connections of their own.
        topics = self.platform.topics()
        return VersionStoreTask(
            topic,
            self.mesh.origin_gossip,
            self.mesh.peers,
            VersionReplay(
                topics.endpoints,
                self.endpoint_sync.view.replica.taken_position,
                self.platform.decode_endpoint,
            ),
            RouteReplay(
                topics.settings,
                self.settings_sync.replica.taken_position,
                lambda content: self.platform.decode_configuration(content),
            ),
            self.stopping,
        )

    def start(self) -> None:
        """Start the tasks."""
        for task_loop in self.task_loops():
            threading.Thread(target=task_loop, daemon=True).start()

    def task_loops(self) -> Iterable[Callable[[], None]]:
        """Yield the loop of each task."""
        yield self.mesh.run
        yield self.clean_up
        looping = (
            self.watch,
            self.end_checks,
            self.path_checks,
            self.relay,
            self.settings_sync.store_task,
            self.endpoint_sync.store_task,
            self.discovery_task,
            self.quarantine_task,
            self.version_task,
            self.status_task,
            self.settings_sync.peer_task,
            self.endpoint_sync.peer_task,
        )
        for task in looping:
            yield task.run

    def clean_up(self) -> None:
        """Close idle connections, and drop or end what is due, periodically."""
        while not self.stopping.wait(CLEANUP_INTERVAL_S):
            self.endpoint_client.pool.close_expired()
            self.directory.tick(clock.now(), self.endpoint_sync.view.current_at)
            self.settings_sync.end_overdue_wait(clock.now())
            self.quiet_periods.forget_ended(clock.now())

    def count_ended_connection(self, reason: str) -> None:
        """Count a connection that was ended for want of room or as overdue."""
        self.metrics.count(
            f'trefoilspool_connections_ended_total{{reason="{reason}"}}'
        )

    def count_quarantine(self, entry: QuarantineEntry) -> None:
        """Count a change of a prompt part's quarantine."""
        state = 'quarantined' if entry.active else 'lifted'
        self.metrics.count(
            f'trefoilspool_prompt_parts_total{{state="{state}"}}'
        )

    def on_settings_restored(self) -> None:
        """Write this host's own record again: the store may have lost it."""
        self.metrics.count('trefoilspool_store_restored_total')
        self.discovery_task.on_store_restored()
        self.quarantine_task.on_store_restored()
        self.version_task.on_store_restored()
        self.mesh.call_soon(self.mesh.rollout_gossip.on_store_restored)

    def on_orders(self, records: list[KeyedRecord], era: int) -> None:
        """Take the operator's orders among new records."""
        for record in records:
            try:
                order = self.platform.decode_order(
                    record.key, record.content, Position(era, record.offset)
                )
            except BadRecordError as error:
                logger.warning(
                    'order_not_used',
                    extra={
                        'key': record.key,
                        'offset': record.offset,
                        'error': str(error),
                    },
                )
                continue
            if order is not None:
                self.mesh.client.rollouts.on_order(order, clock.now())

    def on_configuration_gap(self) -> None:
        """Watch the services of the routes anew."""
        self.mesh.origin_gossip.routes.restart(clock.now())
        logger.info(
            'routes_watched_anew', extra={'version': self.gateway.version}
        )

    def put_in_force(self, configuration: Configuration) -> None:
        """Put a configuration in force in all parts of this host.

        New requests use it last: if a part fails, the version counts as not
        in force and is applied again.
        """
        self.mesh.set_configuration(configuration)
        self.directory.on_configuration(configuration)
        self.on_limits(configuration.limits)
        self.gateway.configuration = configuration

    def on_version(self) -> None:
        """Announce the version in force to peers."""
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
        self.relay.is_leaving = True
        self.publish_own_info()
        self.mesh.announce()
        logger.info('draining', extra={'open': gateway.open_count})
        await_open_requests(gateway, server, self.relay)
        logger.info('drained', extra={'open': gateway.open_count})

    def stop(self) -> None:
        """Stop the tasks."""
        self.stopping.set()
        self.endpoint_sync.store_task.read_soon()
        self.mesh.stopping.set()
        self.relay.stop()


def ignore_limits(limits: CallerLimits) -> None:
    """Do nothing, as no server bounds what callers send."""
