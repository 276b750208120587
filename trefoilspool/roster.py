"""The tasks that keep the membership view and read load reports."""

import time
from collections.abc import Callable
from concurrent.futures import Executor
from typing import NamedTuple

import logbook

from trefoilspool import events
from trefoilspool.endpoint import CacheNews, Load
from trefoilspool.endpoints.http import HttpEndpoint
from trefoilspool.errors import EndpointError, LogError
from trefoilspool.membership import (
    Beat,
    HostState,
    Membership,
    View,
    home_of,
)
from trefoilspool.platform import EndpointEntry, HostList, Roster
from trefoilspool.scheduler import Reports
from trefoilspool.task import Task

__all__ = ['BeatReceived', 'Leave', 'ReportTask', 'RosterTask']

BEAT_S = 0.5
LIST_S = 1.0
REPORT_S = 0.5

logger = logbook.Logger('roster')


class BeatReceived(NamedTuple):
    """A peer's heartbeat."""

    host: str
    beat: Beat


class Leave(NamedTuple):
    """Tell that this host is shutting down."""


class ListRead(NamedTuple):
    """A reading of the list ended; None if it failed."""

    roster: Roster | None


class RosterTask(Task):
    """Reads the platform's list and exchanges heartbeats.

    Parameters
    ----------
    host, incarnation : str, int
        This host.
    listing : HostList
        The platform's list.
    executor : Executor
        Runs the blocking reads.
    publish : callable
        Called with each new view.
    beat : callable
        Sends a heartbeat to a peer.
    ready : callable
        Tells whether this host can serve.
    version : callable
        Returns the settings version in force.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        listing: HostList,
        executor: Executor,
        publish: Callable[[View], None],
        beat: Callable[[str, Beat], None],
        ready: Callable[[], bool],
        version: Callable[[], int],
    ) -> None:
        super().__init__(BEAT_S)
        self.host = host
        self.incarnation = incarnation
        self.listing = listing
        self.executor = executor
        self.publish = publish
        self.beat = beat
        self.ready = ready
        self.version = version
        self.membership = Membership(host)
        self.leaving = False
        self.listed_at = -LIST_S
        self.reading = False
        self.last: View | None = None

    def handle(self, message: object) -> None:
        """Take a heartbeat, or start leaving."""
        if isinstance(message, BeatReceived):
            now = time.monotonic()
            self.membership.on_beat(message.host, message.beat, now)
        elif isinstance(message, ListRead):
            self.on_listed(message)
        elif isinstance(message, Leave):
            self.leaving = True
            self.tick()

    def tick(self) -> None:
        """Read the list when due, send a heartbeat, publish the view."""
        now = time.monotonic()
        if now - self.listed_at >= LIST_S:
            self.listed_at = now
            self.start_read()
        beat = Beat(self.incarnation, self.own_state(), self.version())
        self.membership.on_beat(self.host, beat, time.monotonic())
        for entry in self.membership.roster.hosts:
            hears = self.membership.hears(entry.name, now)
            self.beat(entry.name, beat._replace(hears=hears))
        view = self.membership.view(time.monotonic())
        if view != self.last:
            self.last = view
            self.publish(view)

    def own_state(self) -> HostState:
        """Return the state that this host announces."""
        if self.leaving:
            return HostState.leaving
        return HostState.live if self.ready() else HostState.joining

    def start_read(self) -> None:
        """Start to read the list; heartbeats do not wait for it."""
        if not self.reading:
            self.reading = True
            self.executor.submit(self.read_list)

    def read_list(self) -> None:
        """Read the platform's list on an executor thread."""
        try:
            self.post(ListRead(self.listing.fetch()))
        except LogError as error:
            logger.debug('host list not read: {}', error)
            self.post(ListRead(None))

    def on_listed(self, message: ListRead) -> None:
        """Take the list; keep the last one through an outage."""
        self.reading = False
        if message.roster is not None:
            self.membership.on_list(message.roster)


class Reading(NamedTuple):
    """What one endpoint reported."""

    name: str
    load: Load
    news: CacheNews


class ReportTask(Task):
    """Reads the load reports of endpoints that this host schedules.

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
        publish: Callable[[Reports], None],
        executor: Executor,
    ) -> None:
        super().__init__(REPORT_S)
        self.host = host
        self.publish = publish
        self.executor = executor
        self.endpoints: tuple[EndpointEntry, ...] = ()
        self.seen_events: dict[str, int] = {}

    def handle(self, message: object) -> None:
        """Take a view."""
        if isinstance(message, View):
            self.endpoints = tuple(
                entry
                for entry in message.endpoints
                if home_of(entry.cell, message.homes) == self.host
            )

    def tick(self) -> None:
        """Read all reports."""
        found = [
            one
            for one in self.executor.map(self.read, self.endpoints)
            if one is not None
        ]
        for reading in found:
            self.seen_events[reading.name] = reading.news.last
        self.publish(
            Reports(
                tuple(
                    events.LoadReport(
                        one.name,
                        one.load.running,
                        one.load.waiting,
                        REPORT_S,
                    )
                    for one in found
                ),
                tuple(
                    events.CacheEvent(one.name, one.news.dropped, one.news.gap)
                    for one in found
                    if one.news.dropped
                ),
                frozenset(one.name for one in found if one.load.leaving),
            )
        )

    def read(self, entry: EndpointEntry) -> Reading | None:
        """Return an endpoint's reports, or None if it does not answer."""
        endpoint = HttpEndpoint(entry.url)
        after = self.seen_events.get(entry.name, 0)
        try:
            return Reading(
                entry.name,
                endpoint.load(),
                endpoint.cache_news(after),
            )
        except EndpointError:
            return None
