"""Tasks that maintain the membership view and read load reports."""

import time
from collections.abc import Callable
from concurrent.futures import Executor
from typing import NamedTuple

import logbook

from trefoilspool import events
from trefoilspool.cellscheduler import EndpointReports
from trefoilspool.endpoint import CacheUpdate, Load
from trefoilspool.endpoints.http import HttpEndpoint
from trefoilspool.errors import (
    EndpointError,
    LogError,
)
from trefoilspool.membership import (
    Heartbeat,
    HostState,
    Membership,
    View,
    home_of,
)
from trefoilspool.platform import EndpointEntry, Roster, RosterService
from trefoilspool.task import Task

__all__ = ['HeartbeatReceived', 'Leave', 'ReportTask', 'RosterTask']

HEARTBEAT_S = 0.5
ROSTER_READ_S = 1.0
REPORT_S = 0.5

logger = logbook.Logger('roster')


class HeartbeatReceived(NamedTuple):
    """A peer's heartbeat."""

    host: str
    heartbeat: Heartbeat


class Leave(NamedTuple):
    """Request to announce that this host is leaving."""


class RosterRead(NamedTuple):
    """The result of reading the roster; None if the read failed."""

    roster: Roster | None


class RosterTask(Task):
    """Reads the platform's roster and exchanges heartbeats.

    Parameters
    ----------
    host, incarnation : str, int
        This host.
    roster_service : RosterService
        Source of the roster.
    executor : Executor
        Runs the blocking reads.
    publish : callable
        Called with each new view.
    send_heartbeat : callable
        Sends a heartbeat to a peer.
    ready : callable
        Returns whether this host can serve.
    version : callable
        Returns the settings version in force.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        roster_service: RosterService,
        executor: Executor,
        publish: Callable[[View], None],
        send_heartbeat: Callable[[str, Heartbeat], None],
        ready: Callable[[], bool],
        version: Callable[[], int],
    ) -> None:
        super().__init__(HEARTBEAT_S)
        self.host = host
        self.incarnation = incarnation
        self.roster_service = roster_service
        self.executor = executor
        self.publish = publish
        self.send_heartbeat = send_heartbeat
        self.ready = ready
        self.version = version
        self.membership = Membership(host)
        self.leaving = False
        self.roster_read_at = -ROSTER_READ_S
        self.reading = False
        self.last_view: View | None = None

    def handle(self, message: object) -> None:
        """Handle a heartbeat, the result of a read, or a request to leave."""
        if isinstance(message, HeartbeatReceived):
            now = time.monotonic()
            self.membership.on_heartbeat(message.host, message.heartbeat, now)
        elif isinstance(message, RosterRead):
            self.on_roster_read(message)
        elif isinstance(message, Leave):
            self.leaving = True
            self.tick()

    def tick(self) -> None:
        """Read the roster if due, send heartbeats, publish a changed view."""
        now = time.monotonic()
        if now - self.roster_read_at >= ROSTER_READ_S:
            self.roster_read_at = now
            self.start_read()
        heartbeat = Heartbeat(
            self.incarnation, self.own_state(), self.version()
        )
        self.membership.on_heartbeat(self.host, heartbeat, time.monotonic())
        for entry in self.membership.roster.hosts:
            hears = self.membership.has_recent_heartbeat(entry.name, now)
            self.send_heartbeat(entry.name, heartbeat._replace(hears=hears))
        view = self.membership.view(time.monotonic())
        if view != self.last_view:
            self.last_view = view
            self.publish(view)

    def own_state(self) -> HostState:
        """Return the state that this host announces."""
        if self.leaving:
            return HostState.leaving
        return HostState.live if self.ready() else HostState.joining

    def start_read(self) -> None:
        """Start to read the roster; heartbeats do not wait for it."""
        if not self.reading:
            self.reading = True
            self.executor.submit(self.read_roster)

    def read_roster(self) -> None:
        """Read the platform's roster on an executor thread."""
        try:
            self.post(RosterRead(self.roster_service.fetch()))
        except LogError as error:
            logger.debug('roster not read: {}', error)
            self.post(RosterRead(None))

    def on_roster_read(self, message: RosterRead) -> None:
        """Replace the roster; keep the last one if the read failed."""
        self.reading = False
        if message.roster is not None:
            self.membership.on_roster(message.roster)


class EndpointReport(NamedTuple):
    """The load and cache reports of an endpoint."""

    name: str
    load: Load
    cache: CacheUpdate


class ReportTask(Task):
    """Reads the load and cache reports of endpoints this host schedules.

    Parameters
    ----------
    host : str
        This host.
    publish : callable
        Called with the reports.
    executor : Executor
        Runs the blocking reads.
    """

    def __init__(
        self,
        host: str,
        publish: Callable[[EndpointReports], None],
        executor: Executor,
    ) -> None:
        super().__init__(REPORT_S)
        self.host = host
        self.publish = publish
        self.executor = executor
        self.endpoints: tuple[EndpointEntry, ...] = ()
        self.last_event_numbers: dict[str, int] = {}

    def handle(self, message: object) -> None:
        """Select this host's endpoints from a new view."""
        if isinstance(message, View):
            self.endpoints = tuple(
                entry
                for entry in message.endpoints
                if home_of(entry.cell, message.homes) == self.host
            )

    def tick(self) -> None:
        """Read and publish all reports."""
        reports = [
            report
            for report in self.executor.map(self.read, self.endpoints)
            if report is not None
        ]
        for endpoint_report in reports:
            self.last_event_numbers[endpoint_report.name] = (
                endpoint_report.cache.last
            )
        self.publish(
            EndpointReports(
                tuple(
                    events.LoadReport(
                        report.name,
                        report.load.running,
                        report.load.waiting,
                        REPORT_S,
                    )
                    for report in reports
                ),
                tuple(
                    events.CacheEvent(
                        report.name, report.cache.dropped, report.cache.gap
                    )
                    for report in reports
                    if report.cache.dropped
                ),
                frozenset(
                    report.name for report in reports if report.load.leaving
                ),
            )
        )

    def read(self, entry: EndpointEntry) -> EndpointReport | None:
        """Return an endpoint's reports, or None if it does not respond."""
        endpoint = HttpEndpoint(entry.url)
        after = self.last_event_numbers.get(entry.name, 0)
        try:
            return EndpointReport(
                entry.name,
                endpoint.load(),
                endpoint.cache_update(after),
            )
        except EndpointError:
            return None
