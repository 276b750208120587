"""The versions of the endpoints' software in the store, for hosts that start.

Hosts that have all started together would otherwise know of no version that has
left meanwhile, and could not tell at which one a stream began.
"""

import itertools
import json
import math
import random
import threading
import time
from collections.abc import Iterator
from typing import Any

import logbook

from trefoilspool import clock
from trefoilspool.errors import (
    BadRecordError,
    LogOutageError,
    StoreRestoredError,
)
from trefoilspool.jsonfields import Fields, is_label, parse_object
from trefoilspool.origingossip import OriginGossip
from trefoilspool.peers import PeerRegistry
from trefoilspool.peertopics import MAX_ERA, MAX_OFFSET
from trefoilspool.replica import Position
from trefoilspool.routehistory import RouteServices
from trefoilspool.store import KeyedTopic
from trefoilspool.versionhistory import (
    CLOCK_SLACK_S,
    NOWHERE,
    ServiceVersion,
    WatchedVersions,
    reaches,
)
from trefoilspool.versionreplay import RouteReplay, VersionReplay

__all__ = ['VersionStoreTask', 'decode_versions', 'encode_versions']

RECORD_KEY = 'versions'
CHECK_S = 0.5
RETRY_S = 2.0
# Hosts that start together find out first which of them is the home host.
FIRST_WRITE_S = 3.0
# The store keeps the endpoint records since the last write for longer.
REFRESH_S = 8.0
MAX_ROUTES = 500  # in the record; streams of others are not known after a start
MS_PER_S = 1000
MAX_UNIX_MS = 4_102_444_800_000  # the year 2100
ROW_LENGTH = 3

logger = logbook.Logger('directory')


class VersionStoreTask:
    """Reads the record at the start; writes it as home host.

    The record says up to where in the endpoint records it holds. A host that
    starts reads these on from there, so that it misses no version that came and
    went while no host ran.

    Parameters
    ----------
    topic : KeyedTopic
        The topic, with one record.
    gossip : OriginGossip
        Has the histories of versions and routes.
    peers : PeerRegistry
        Tells whether this is the home host.
    endpoint_replay : VersionReplay
        Reads endpoint records again.
    route_replay : RouteReplay
        Reads configurations again.
    stopping : threading.Event
        Ends the task.

    Attributes
    ----------
    written : bytes
        What this host has written last, if no other may have written since.
    written_at : float
        When it was written, in seconds.
    """

    def __init__(
        self,
        topic: KeyedTopic,
        gossip: OriginGossip,
        peers: PeerRegistry,
        endpoint_replay: VersionReplay,
        route_replay: RouteReplay,
        stopping: threading.Event,
    ) -> None:
        self.topic = topic
        self.gossip = gossip
        self.peers = peers
        self.endpoint_replay = endpoint_replay
        self.route_replay = route_replay
        self.stopping = stopping
        self.started_at = clock.now()
        self.was_read = False
        self.written = b''
        self.written_at = 0.0
        self.stored: frozenset[ServiceVersion] = frozenset()
        self.stored_routes: dict[str, frozenset[str]] = {}

    def run(self) -> None:
        """Read and write until stopped."""
        pause_s = 0.0
        while not self.stopping.wait(pause_s):
            pause_s = self.try_step() * (1 + random.random())

    def on_store_restored(self) -> None:
        """Write the record again: the restored store may lack it."""
        self.written = b''
        self.stored = frozenset()

    def try_step(self) -> float:
        """Read or write if due; return the seconds until the next check."""
        try:
            self.step(clock.now())
        except (LogOutageError, StoreRestoredError) as error:
            logger.info('versions_not_synced', extra={'error': str(error)})
            return RETRY_S
        except Exception:
            logger.exception('versions_not_synced')
            return RETRY_S
        return CHECK_S

    def step(self, now: float) -> None:
        """Read the record once; write it if due."""
        if not self.gossip.routes.by_route:
            return
        if not self.was_read:
            # A watch may begin anew with the first read of the store.
            if self.gossip.is_stale() or self.lacks_settings():
                return
            self.read()
            self.was_read = True
        if not self.peers.is_home():
            self.written = b''
        elif now - self.started_at >= FIRST_WRITE_S and self.is_due(now):
            if not self.written:
                self.read()
            self.write(now)

    def lacks_settings(self) -> bool:
        """Return whether this host has not read the settings yet."""
        return self.route_replay.taken_to() == NOWHERE

    def is_due(self, now: float) -> bool:
        """Return whether the record is to be written."""
        is_old = now - self.written_at >= REFRESH_S
        return bool(self.gossip.history.present()) and (
            is_old or self.has_news()
        )

    def has_news(self) -> bool:
        """Return whether what is present differs from what was written."""
        if self.gossip.routes.services() != self.stored_routes:
            return True
        return self.gossip.history.present() != self.stored

    def read(self) -> None:
        """Read the record and adopt what it has."""
        for record in self.topic.read_latest().records:
            if record.key == RECORD_KEY and record.content:
                self.adopt(record.content)

    def adopt(self, content: bytes) -> None:
        """Adopt a record; a malformed one has nothing."""
        now = clock.now()
        try:
            watched = decode_versions(content, now)
        except BadRecordError as error:
            logger.warning('versions_unreadable', extra={'error': str(error)})
            return
        history = self.gossip.history
        if watched.since <= history.started_at:
            watched = self.endpoint_replay.extend(
                watched, history.began_at, now
            )
        history.adopt(watched, now)
        self.adopt_routes(watched, now)
        logger.info(
            'versions_read',
            extra={
                'versions': len(watched.until),
                'era': watched.position.era,
                'offset': watched.position.offset,
                'began_at': history.began_at.offset,
                'watched_s': round(now - history.started_at, 3),
            },
        )

    def adopt_routes(self, watched: WatchedVersions, now: float) -> None:
        """Adopt since when routes have had their services, if still true."""
        until = self.route_replay.taken_to()
        watched = self.route_replay.extend(watched, until, now)
        if reaches(watched.routes_position, until):
            self.gossip.routes.adopt(watched.routes)

    def write(self, now: float) -> None:
        """Write what this host knows."""
        # The histories have at least what the records up to there have.
        position = self.endpoint_replay.taken_to()
        routes_position = self.route_replay.taken_to()
        history, routes = self.gossip.history, self.gossip.routes
        present, services = history.present(), routes.services()
        watched = WatchedVersions(
            history.started_at,
            dict(itertools.islice(routes.by_route.items(), MAX_ROUTES)),
            history.seen_until,
            position,
            routes_position,
        )
        content = encode_versions(watched, now)
        self.topic.put(RECORD_KEY, content)
        self.written = content
        self.written_at = now
        self.stored = present
        self.stored_routes = services
        logger.info(
            'versions_written',
            extra={
                'versions': len(watched.until),
                'era': position.era,
                'offset': position.offset,
            },
        )


def encode_versions(watched: WatchedVersions, now: float) -> bytes:
    """Encode versions, with times of day, as hosts share no other clock."""
    offset_s = time.time() - now

    def time_of_day(at: float) -> int | None:
        if at == math.inf:
            return None
        # The past before the first day of the year 1970 is all the same.
        return max(0, int((at + offset_s) * MS_PER_S))

    return json.dumps(
        {
            'position': position_to_json(watched.position),
            'routes_position': position_to_json(watched.routes_position),
            'since': time_of_day(watched.since),
            'routes': [
                [name, sorted(route.services), time_of_day(route.since)]
                for name, route in watched.routes.items()
            ],
            'until': [
                [version.service, version.software, time_of_day(until)]
                for version, until in watched.until.items()
            ],
        }
    ).encode()


def decode_versions(content: bytes, now: float) -> WatchedVersions:
    """Decode versions.

    Raises
    ------
    BadRecordError
        The record is malformed.
    """
    fields = parse_object(RECORD_KEY, content)
    offset_s = time.time() - now

    def at(value: object) -> float:
        if value is None:
            return math.inf
        return unix_ms(value) / MS_PER_S - offset_s

    return WatchedVersions(
        at(fields.required('since')),
        {
            word(name): RouteServices(
                frozenset(map(word, as_list(services))),
                at(since) + CLOCK_SLACK_S,
            )
            for name, services, since in rows(fields, 'routes')
        },
        {
            ServiceVersion(word(service), word(software)): at(until)
            for service, software, until in rows(fields, 'until')
        },
        position_of(fields, 'position'),
        position_of(fields, 'routes_position'),
    )


def position_to_json(position: Position) -> dict[str, int] | None:
    """Return a position as a JSON object; None for `NOWHERE`."""
    return None if position == NOWHERE else position._asdict()


def position_of(fields: Fields, field: str) -> Position:
    """Return up to where a record holds; `NOWHERE` in those of earlier builds.

    Raises
    ------
    BadRecordError
        The position is malformed.
    """
    if fields.source.get(field) is None:
        return NOWHERE
    position = Fields(f'{RECORD_KEY}.{field}', fields.source[field])
    return Position(
        position.integer('era', most=MAX_ERA),
        position.integer('offset', most=MAX_OFFSET),
    )


def rows(fields: Fields, field: str) -> Iterator[list[Any]]:
    """Yield the rows of a table, each with three values.

    Raises
    ------
    BadRecordError
        The field is no such table.
    """
    for row in as_list(fields.required(field)):
        if not isinstance(row, list) or len(row) != ROW_LENGTH:
            raise BadRecordError(RECORD_KEY, field, row, 'rows of three')
        yield row


def as_list(value: object) -> list[Any]:
    """Return a list.

    Raises
    ------
    BadRecordError
        The value is none.
    """
    if not isinstance(value, list):
        raise BadRecordError(RECORD_KEY, '', value, 'a list')
    return value


def word(value: object) -> str:
    """Return a text that hosts can tell each other; it may be empty.

    Raises
    ------
    BadRecordError
        The value is none.
    """
    if not isinstance(value, str) or (value and not is_label(value)):
        raise BadRecordError(RECORD_KEY, '', value, 'a name')
    return value


def unix_ms(value: object) -> int:
    """Return a time of day in milliseconds.

    Raises
    ------
    BadRecordError
        The value is none.
    """
    is_time = isinstance(value, int) and not isinstance(value, bool)
    if not is_time or not 0 <= value <= MAX_UNIX_MS:  # type: ignore[operator]
        raise BadRecordError(RECORD_KEY, '', value, 'a time in milliseconds')
    return value  # type: ignore[return-value]
