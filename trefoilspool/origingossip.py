"""What hosts tell each other of the versions at which streams began.

The host that relays a stream's first event tells a few others, chosen by a hash
of the stream, so that its caller may take it up at any host, and although the
first one has ended. While a service has only one version, it tells them of streams
that stay open for a while.
"""

import queue
import threading
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from trefoilspool import clock
from trefoilspool.hashring import HashRing
from trefoilspool.meshsender import MeshSender
from trefoilspool.origins.conclusion import (
    Evidence,
    claims,
    conclude,
    is_decided,
)
from trefoilspool.origintelling import BegunStream, OriginTelling, TellingTime
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.routehistory import RouteHistory
from trefoilspool.streamorigins import (
    UNKNOWN,
    FoundOrigin,
    OriginQuery,
    OriginSource,
    StreamOrigin,
    StreamOrigins,
)
from trefoilspool.telemetry import Metrics
from trefoilspool.versionhistory import MEMORY_S, VersionHistory
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes
from trefoilspool.wire.origins import (
    origins_from_wire,
    origins_to_wire,
    queries_from_wire,
    queries_to_wire,
)

__all__ = ['OriginGossip']

TOLD_HOSTS = 3
# More than are told: the hosts that ask may know of others.
ASKED_HOSTS = 5
# Hosts answer in about a millisecond; datagrams may be lost.
ANSWER_TIMEOUTS_S = (0.02, 0.04, 0.08)
# Hosts often start together; until then they know of no version that has left.
YOUNG_S = 30.0
ROUTE_SETTLED_S = 10.0  # longer than a configuration takes to all hosts
MAX_ORIGINS = 400  # in one datagram
UNWATCHED = OriginSource.unwatched


def never() -> bool:
    """Return false."""
    return False


def no_age() -> float:
    """Return an age of zero."""
    return 0


def unconfirmed(since: float) -> bool:
    """Return false: no store confirms anything."""
    return False


class Answer(NamedTuple):
    """What another host knows of a stream."""

    host: str
    origin: StreamOrigin


Inbox = queue.SimpleQueue[Answer]


class OriginGossip:
    """Tells others of streams that began here, and asks them for other streams.

    Parameters
    ----------
    peers : PeerRegistry
        The known hosts.
    sender : MeshSender
        Sends datagrams.

    Attributes
    ----------
    history : VersionHistory
        Versions of the services' endpoints.
    routes : RouteHistory
        Services of the routes.
    is_stale : callable
        Returns whether this host may lack a version that others know.
    records_age_s : callable
        Returns the age of this host's endpoint records, in seconds.
    confirm : callable
        Has the store confirm these records, asked since a time in seconds;
        returns whether it has.
    origins : StreamOrigins
        Streams of which other hosts or this one have told.
    telling : OriginTelling
        Streams that began here, of which others are yet to be told.
    metrics : Metrics
        Counts the streams that others were told of.
    """

    def __init__(self, peers: PeerRegistry, sender: MeshSender) -> None:
        self.peers = peers
        self.sender = sender
        self.history = VersionHistory(clock.now())
        self.routes = RouteHistory()
        self.is_stale: Callable[[], bool] = never
        self.records_age_s: Callable[[], float] = no_age
        self.confirm: Callable[[float], bool] = unconfirmed
        self.lock = threading.Lock()
        self.origins = StreamOrigins()
        self.telling = OriginTelling(clock.now())
        self.metrics = Metrics()
        self.ring = HashRing(())
        self.lookups: dict[int, list[Inbox]] = {}

    def on_first_event(self, origin: StreamOrigin, route: str) -> None:
        """Record a stream whose first event is about to be relayed.

        Parameters
        ----------
        origin : StreamOrigin
            The stream.
        route : str
            Name of its route.
        """
        now = clock.now()
        must_tell = self.must_tell(origin.service, route, now)
        with self.lock:
            self.origins.record(origin, now)
            if not must_tell:
                self.telling.add(BegunStream(origin, route, now))
        if must_tell:
            self.tell([origin], TellingTime.at_once)

    def must_tell(self, service: str, route: str, now: float) -> bool:
        """Return whether a stream's version may not follow from the records.

        Other hosts may have started lately, or may not have the route's present
        service yet.
        """
        return (
            self.history.has_several(service, now)
            or not self.history.has_watched(YOUNG_S, now)
            or not self.routes.only_service(route, ROUTE_SETTLED_S, now)
        )

    def on_completed(self, stream: int) -> None:
        """Forget a stream that its caller has whole."""
        with self.lock:
            self.telling.on_completed(stream)

    def on_endpoints(self, now: float) -> None:
        """Tell of streams whose version may no longer follow from the records.

        A second version has come, or their route has changed.
        """
        with self.lock:
            self.origins.drop_old(now)
            late = self.telling.take_of(
                {
                    group
                    for group in self.telling.groups()
                    if self.must_tell(group.service, group.route, now)
                }
            )
        self.tell(late, TellingTime.late)

    def next_at(self, now: float) -> float:
        """Return when `tick` next has a stream to tell of."""
        with self.lock:
            return self.telling.next_at(now)

    def tick(self, now: float) -> None:
        """Tell of streams that have been open for a while."""
        with self.lock:
            ahead = self.telling.take_due(now)
            untold = self.telling.take_untold()
        self.tell(ahead, TellingTime.ahead)
        if untold:
            self.metrics.count('trefoilspool_origins_untold_total', untold)

    def tell(self, origins: Sequence[StreamOrigin], when: TellingTime) -> None:
        """Tell the hosts that are to know of streams."""
        if not origins:
            return
        self.metrics.count(
            f'trefoilspool_origins_told_total{{when="{when.name}"}}',
            len(origins),
        )
        by_host: dict[str, list[StreamOrigin]] = {}
        for origin in origins:
            for host in self.owners(origin.stream, TOLD_HOSTS):
                by_host.setdefault(host, []).append(origin)
        for host, told in by_host.items():
            for start in range(0, len(told), MAX_ORIGINS):
                self.send(
                    host,
                    begun=origins_to_wire(told[start : start + MAX_ORIGINS]),
                )

    def owners(self, stream: int, count: int) -> list[str]:
        """Return the other hosts that are to know of a stream."""
        names = self.peers.names()
        if names != self.ring.names:
            self.ring = HashRing(names)
        own = self.peers.own.name
        owners = self.ring.owners(stream, count + 1)
        return [name for name in owners if name != own][:count]

    def send(self, name: str, **fields: Any) -> None:
        """Send a datagram to a host, if it is still known."""
        host = self.peers.hosts.get(name)
        if host is not None:
            own = wire.host_info_to_wire(self.peers.own)
            self.sender.send(host.address, ttypes.Datagram(own, **fields))

    def on_begun(
        self, sender: HostInfo, structs: Iterable[Any], now: float
    ) -> None:
        """Record the streams that a peer tells of."""
        with self.lock:
            for origin in origins_from_wire(structs):
                self.origins.record(origin, now)

    def on_queries(
        self, sender: HostInfo, structs: Iterable[Any], now: float
    ) -> None:
        """Answer a peer's queries."""
        known = [
            self.own_knowledge(query, now)
            for query in queries_from_wire(structs)
        ]
        self.send(sender.name, origins=origins_to_wire(known))

    def own_knowledge(self, query: OriginQuery, now: float) -> StreamOrigin:
        """Return what this host knows of a stream."""
        with self.lock:
            recorded = self.origins.find(query.stream, now)
        if recorded is not None:
            return recorded
        # Asked first: what others have seen may be adopted meanwhile.
        source = self.source_of_one(query, now)
        service = self.routes.present_service(query.route)
        # Endpoints serve on after their records have gone, and hosts that have
        # not heard of it begin streams there.
        versions = self.history.versions(service, MEMORY_S, now)
        if len(versions) > 1 or self.routes.has_changed(
            query.route, query.window_s, now
        ):
            return StreamOrigin(
                query.stream, service, UNKNOWN, OriginSource.several
            )
        return StreamOrigin(
            query.stream,
            service,
            next(iter(versions), UNKNOWN),
            source if versions else UNWATCHED,
            self.records_age_s(),
        )

    def source_of_one(self, query: OriginQuery, now: float) -> OriginSource:
        """Return what it means that this host knows one version only."""
        if query.window_s > MEMORY_S:
            return UNWATCHED
        has_watched = self.history.has_watched(
            query.window_s, now
        ) and self.routes.only_service(query.route, query.window_s, now)
        if has_watched and not self.is_stale():
            return OriginSource.only
        return UNWATCHED

    def on_origins(
        self, sender: HostInfo, structs: Iterable[Any], now: float
    ) -> None:
        """Pass a peer's answers to the requests that wait for them."""
        for origin in origins_from_wire(structs):
            for inbox in self.lookups.get(origin.stream, ()):
                inbox.put(Answer(sender.name, origin))

    def find(self, query: OriginQuery) -> FoundOrigin:
        """Return at which version a stream began, and how this is known.

        Waits for other hosts and for the store unless this host has a record.
        """
        taken_up_at = clock.now()
        own = self.own_knowledge(query, taken_up_at)
        answers: dict[str, StreamOrigin] = {}
        if own.source is not OriginSource.recorded:
            answers = self.ask_others(query)
        is_confirmed = self.is_confirmed((own, *answers.values()), taken_up_at)
        now = clock.now()
        waited_s = now - taken_up_at
        evidence = Evidence(
            self.own_knowledge(query, now),
            tuple(
                origin._replace(age_s=origin.age_s + waited_s)
                for origin in answers.values()
            ),
            is_confirmed,
            now - self.history.started_at,
        )
        conclusion = conclude(evidence)
        return FoundOrigin(
            conclusion.version,
            conclusion.source,
            answers,
            len(self.owners(query.stream, ASKED_HOSTS)),
            is_confirmed,
            waited_s,
            self.records_age_s(),
        )

    def is_confirmed(
        self, origins: tuple[StreamOrigin, ...], since: float
    ) -> bool:
        """Have the store confirm that there was one version, if hosts say so.

        Parameters
        ----------
        origins : tuple of StreamOrigin
            What hosts know of the stream.
        since : float
            When the stream was taken up, in seconds.
        """
        is_open = bool(claims(origins)) and not is_decided(origins)
        return is_open and self.confirm(since)

    def ask_others(self, query: OriginQuery) -> dict[str, StreamOrigin]:
        """Ask other hosts for a stream; return what they know, by host."""
        inbox: Inbox = queue.SimpleQueue()
        with self.lock:
            self.lookups.setdefault(query.stream, []).append(inbox)
        try:
            return self.ask(query, inbox)
        finally:
            with self.lock:
                self.lookups[query.stream].remove(inbox)
                if not self.lookups[query.stream]:
                    del self.lookups[query.stream]

    def ask(self, query: OriginQuery, inbox: Inbox) -> dict[str, StreamOrigin]:
        """Ask other hosts for a stream; return their answers by host.

        The first record ends the wait.
        """
        answers: dict[str, StreamOrigin] = {}
        owners = self.owners(query.stream, ASKED_HOSTS)
        for timeout_s in ANSWER_TIMEOUTS_S:
            waiting = [name for name in owners if name not in answers]
            for name in waiting:
                self.send(name, queries=queries_to_wire([query]))
            until = clock.now() + timeout_s
            for answer in answers_until(inbox, until, len(waiting)):
                answers[answer.host] = answer.origin
                if answer.origin.source is OriginSource.recorded:
                    return answers
        return answers


def answers_until(inbox: Inbox, until: float, count: int) -> Iterator[Answer]:
    """Yield answers as they come, at most ``count``, until a time."""
    for _ in range(count):
        try:
            yield inbox.get(timeout=max(0, until - clock.now()))
        except queue.Empty:
            return
