"""The tasks and filters of the daemon that runs on every host."""

import secrets
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import logbook

from trefoilspool.attempts import Attempts
from trefoilspool.broker import BrokerTask
from trefoilspool.cellscheduler import SchedulerTask
from trefoilspool.claims import ClaimTask
from trefoilspool.endpoints.http import HttpEndpoint
from trefoilspool.filters.authenticate import Authenticate
from trefoilspool.filters.claim import ClaimFilter
from trefoilspool.filters.classify import Classify
from trefoilspool.filters.dispatch import Dispatch
from trefoilspool.filters.relay import Relay
from trefoilspool.filters.schedule import Schedule
from trefoilspool.filters.settle import Settle
from trefoilspool.link import Item, LinkTask, ReceiverTask
from trefoilspool.membership import Heartbeat, View, home_of
from trefoilspool.openrequests import OpenRequests
from trefoilspool.options import HostOptions
from trefoilspool.pipeline import Filters, Pipeline
from trefoilspool.platforms.http import HttpLog, HttpRosterService
from trefoilspool.queries import QueryTask
from trefoilspool.results import ResultStore
from trefoilspool.retries import RetryBudget
from trefoilspool.roster import Leave, ReportTask, RosterTask
from trefoilspool.router import Destinations, FrameRouter
from trefoilspool.settingstask import SettingsTask
from trefoilspool.task import Stop, Task, TaskGroup
from trefoilspool.telemetry import Metrics
from trefoilspool.tickets import TicketRegistry
from trefoilspool.watch import WatchTask
from trefoilspool.wire.gen.peer import ttypes

__all__ = ['BACKLOG_CONNECTIONS', 'Host']

NS_PER_US = 1000
INCARNATION_RANDOM_BITS = 4
TASK_THREADS = 256  # one for each peer link, besides the fixed tasks
POOL_THREADS = 32
BACKLOG_CONNECTIONS = 512
DRAIN_POLL_S = 0.05

logger = logbook.Logger('host')


class Host:
    """The tasks and filters of a host.

    Parameters
    ----------
    options : HostOptions
        Process settings.
    """

    def __init__(self, options: HostOptions) -> None:
        self.options = options
        self.name = options.name
        # Incarnations of a host increase with time, so that heartbeats of
        # an earlier one are recognised as stale.
        self.incarnation = (
            time.time_ns() // NS_PER_US << INCARNATION_RANDOM_BITS
        ) + secrets.randbits(INCARNATION_RANDOM_BITS)
        self.view: View | None = None
        self.draining = False
        self.metrics = Metrics()
        self.results = ResultStore()
        self.endpoints: dict[str, HttpEndpoint] = {}
        self.links: dict[tuple[str, int], LinkTask] = {}
        self.group = TaskGroup(TASK_THREADS)
        self.call_pool = ThreadPoolExecutor(POOL_THREADS, 'call')
        self.poll_pool = ThreadPoolExecutor(POOL_THREADS, 'poll')
        self.tickets = TicketRegistry(
            options.ticket_secret,
            self.name,
            self.incarnation,
        )
        self.build_tasks()
        self.router = FrameRouter(
            Destinations(
                self.scheduler,
                self.broker,
                self.roster,
                self.settings,
                self.queries,
            )
        )
        self.pipeline = self.build_pipeline()

    def build_tasks(self) -> None:
        """Create the tasks without starting them."""
        log = HttpLog(self.options.log_url)
        self.settings = SettingsTask(log, self.send, self.writes_snapshots)
        self.claims = ClaimTask(
            log,
            self.name,
            self.incarnation,
            self.call_pool,
            self.options.log_share,
        )
        self.broker = BrokerTask(self.name, self.send)
        self.scheduler = SchedulerTask(self.name, self.send)
        self.queries = QueryTask(self.results, self.send)
        self.watch = WatchTask()
        self.reports = ReportTask(
            self.name, self.scheduler.post, self.poll_pool
        )
        self.roster = RosterTask(
            self.name,
            self.incarnation,
            HttpRosterService(self.options.roster_url),
            self.call_pool,
            self.apply_view,
            self.send_heartbeat,
            self.is_available,
            lambda: self.settings.version,
        )

    def build_pipeline(self) -> Pipeline:
        """Return the pipeline of request filters."""
        attempts = Attempts(
            Schedule(self.broker),
            Dispatch(self.endpoints.get, self.broker, self.watch),
            RetryBudget(),
        )
        filters = Filters(
            Authenticate(lambda: self.settings.tree),
            Classify(self.name),
            ClaimFilter(
                self.claims,
                self.tickets,
                self.results,
                self.queries,
                lambda: self.view,
            ),
            attempts,
            Relay(attempts, self.broker, self.watch),
            Settle(self.claims, self.results, self.metrics),
        )
        open_requests = OpenRequests(self.name, self.options.max_streams)
        return Pipeline(
            self.name, filters, self.accepts_requests, open_requests
        )

    def start(self) -> None:
        """Start the tasks and accept frames from other hosts."""
        listener = socket.create_server(
            (self.options.address, self.options.peer_port),
            backlog=BACKLOG_CONNECTIONS,
        )
        self.group.start(ReceiverTask(listener, self.router.deliver))
        for task in self.tasks():
            self.group.start(task)

    def tasks(self) -> Iterator[Task]:
        """Yield the tasks that need no listening socket."""
        yield from (self.settings, self.claims, self.broker, self.scheduler)
        yield from (self.queries, self.watch, self.reports, self.roster)

    def is_available(self) -> bool:
        """Return whether the settings are fresh and no drain has begun."""
        return self.settings.fresh and not self.draining

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return self.is_available() and bool(self.view and self.view.homes)

    def accepts_requests(self) -> bool:
        """Return whether an incoming request is served, also during a drain."""
        return self.settings.fresh

    def writes_snapshots(self) -> bool:
        """Return whether this host appends snapshots of the settings."""
        homes = self.view.homes if self.view else ()
        return home_of('settings snapshot', homes) == self.name

    def send(self, host: str, field: str, element: object) -> None:
        """Send a frame element to a host, which may be this host.

        An element for a host without a link is dropped.
        """
        if host == self.name:
            self.router.deliver_field(host, field, (element,))
            return
        peer = self.view.hosts.get(host) if self.view else None
        link = self.links.get((peer.address, peer.peer_port)) if peer else None
        if link is not None:
            link.post(wire_item(field, element))

    def send_heartbeat(self, host: str, heartbeat: Heartbeat) -> None:
        """Send a heartbeat to a peer."""
        if host != self.name:
            self.send(
                host,
                'beat',
                ttypes.Beat(
                    heartbeat.incarnation,
                    int(heartbeat.state),
                    heartbeat.settings_offset,
                    heartbeat.hears,
                ),
            )

    def apply_view(self, view: View) -> None:
        """Apply a new membership view; called by the roster task only."""
        self.update_links(view)
        for listed in view.endpoints:
            current = self.endpoints.get(listed.name)
            new = HttpEndpoint(listed.url)
            unchanged = current is not None and (
                (current.host, current.port) == (new.host, new.port)
            )
            if not unchanged:
                self.endpoints[listed.name] = new
        self.view = view
        for task in (self.broker, self.scheduler, self.reports):
            task.post(view)

    def update_links(self, view: View) -> None:
        """Keep one link to each peer in the view."""
        addresses = {
            (peer.address, peer.peer_port)
            for peer in view.hosts.values()
            if peer.name != self.name
        }
        for address in set(self.links) - addresses:
            self.links.pop(address).post(Stop())
        for address in addresses - set(self.links):
            link = LinkTask(self.name, address)
            self.links[address] = link
            self.group.start(link)

    def drain(self) -> None:
        """Fail /readyz, hand cells over and finish the open requests."""
        self.draining = True
        self.roster.post(Leave())
        started = time.monotonic()
        drain_deadline = started + self.options.drain_s
        time.sleep(self.options.grace_s)
        while self.pipeline.open_count and time.monotonic() < drain_deadline:
            time.sleep(DRAIN_POLL_S)
        logger.info(
            'drain ended with {} open requests', self.pipeline.open_count
        )

    def stop(self) -> None:
        """Stop the tasks."""
        self.group.stop()
        for pool in (self.call_pool, self.poll_pool):
            pool.shutdown(wait=False, cancel_futures=True)


def wire_item(field: str, element: object) -> Item:
    """Return the frame item of an element.

    A settings snapshot becomes a ``SettingsRecord`` without an offset (-1).
    """
    if isinstance(element, str):
        element = ttypes.SettingsRecord(-1, element.encode())
    return Item(field, element)
