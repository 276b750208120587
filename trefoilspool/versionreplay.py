"""What the store's records say of versions and routes since a stored claim."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator

import logbook

from trefoilspool.departures import EndpointRecord
from trefoilspool.directory import service_version
from trefoilspool.errors import (
    BadRecordError,
    StoreRestoredError,
    TrimmedError,
)
from trefoilspool.replica import Position
from trefoilspool.routehistory import RouteHistory
from trefoilspool.routing import Configuration
from trefoilspool.settingssync import CONFIGURATION_KEY
from trefoilspool.store import KeyedRecord, KeyedSource, Page
from trefoilspool.versionhistory import WatchedVersions

__all__ = ['LogReplay', 'RouteReplay', 'VersionReplay']

MAX_READS = 8

logger = logbook.Logger('directory')


class LogReplay(ABC):
    """Extends a stored claim by the records of a topic that came after it.

    Parameters
    ----------
    source : KeyedSource
        The topic in the store; not used by other threads.
    taken_to : callable
        Returns up to where this host has taken the topic's records.
    """

    def __init__(
        self, source: KeyedSource, taken_to: Callable[[], Position]
    ) -> None:
        self.source = source
        self.taken_to = taken_to

    def extend(
        self, watched: WatchedVersions, until: Position, now: float
    ) -> WatchedVersions:
        """Return a claim that holds up to a position, as far as is known.

        Parameters
        ----------
        watched : WatchedVersions
            The claim; returned as it is if the store has not kept the records
            since then.
        until : Position
            How far the claim is to hold.
        now : float
            The present time in seconds.

        Raises
        ------
        LogOutageError
            The store did not respond.
        """
        position = self.held_to(watched)
        try:
            for page in self.pages(position, until):
                watched = self.with_page(watched, page, now)
        except (TrimmedError, StoreRestoredError) as error:
            logger.info(
                'versions_not_replayed',
                extra={
                    'of': type(self).__name__,
                    'era': position.era,
                    'offset': position.offset,
                    'error': str(error),
                },
            )
        return watched

    def pages(self, position: Position, until: Position) -> Iterator[Page]:
        """Yield the records between two positions of an era."""
        start = position.offset
        for _ in range(MAX_READS):
            if position.era != until.era or start >= until.offset:
                return
            page = self.source.read_from(start, 0, position.era)
            yield page
            if page.end <= start:
                return
            start = page.end

    @abstractmethod
    def held_to(self, watched: WatchedVersions) -> Position:
        """Return up to where in the topic a claim holds."""

    @abstractmethod
    def with_page(
        self, watched: WatchedVersions, page: Page, now: float
    ) -> WatchedVersions:
        """Return a claim that holds up to the end of a page."""


class VersionReplay(LogReplay):
    """Adds the versions of the endpoint records.

    They count as present until now.

    Parameters
    ----------
    source, taken_to : KeyedSource, callable
        See `LogReplay`.
    decode : callable
        Decodes a record's key and content; raises ``BadRecordError`` if the
        content is malformed.
    """

    def __init__(
        self,
        source: KeyedSource,
        taken_to: Callable[[], Position],
        decode: Callable[[str, bytes], EndpointRecord],
    ) -> None:
        super().__init__(source, taken_to)
        self.decode = decode

    def held_to(self, watched: WatchedVersions) -> Position:
        """Return up to where in the endpoint records a claim holds."""
        return watched.position

    def with_page(
        self, watched: WatchedVersions, page: Page, now: float
    ) -> WatchedVersions:
        """Return a claim that holds up to the end of a page."""
        registered = {
            version: max(now, watched.until.get(version, now))
            for version in map(service_version, self.endpoints(page))
        }
        return watched._replace(
            until=watched.until | registered,
            position=Position(page.era, page.end),
        )

    def endpoints(self, page: Page) -> Iterator[EndpointRecord]:
        """Yield the endpoints of a page's records that can be decoded."""
        for record in page.records:
            if record.content:
                yield from self.decoded(record)

    def decoded(self, record: KeyedRecord) -> Iterator[EndpointRecord]:
        """Yield a record's endpoint, unless it is malformed."""
        try:
            yield self.decode(record.key, record.content)
        except BadRecordError as error:
            logger.warning(
                'endpoint_record_unreadable',
                extra={
                    'key': record.key,
                    'offset': record.offset,
                    'error': str(error),
                },
            )


class RouteReplay(LogReplay):
    """Drops the routes that have had other services meanwhile.

    Parameters
    ----------
    source, taken_to : KeyedSource, callable
        See `LogReplay`.
    decode : callable
        Decodes the content of the configuration's record; raises
        ``BadRecordError`` if it is invalid.
    """

    def __init__(
        self,
        source: KeyedSource,
        taken_to: Callable[[], Position],
        decode: Callable[[bytes], Configuration],
    ) -> None:
        super().__init__(source, taken_to)
        self.decode = decode

    def held_to(self, watched: WatchedVersions) -> Position:
        """Return up to where in the settings a claim holds."""
        return watched.routes_position

    def with_page(
        self, watched: WatchedVersions, page: Page, now: float
    ) -> WatchedVersions:
        """Return a claim that holds up to the end of a page."""
        routes = dict(watched.routes)
        for record in page.records:
            if record.key == CONFIGURATION_KEY and record.content:
                services = self.services(record)
                routes = {
                    name: known
                    for name, known in routes.items()
                    if services.get(name) == known.services
                }
        return watched._replace(
            routes=routes, routes_position=Position(page.era, page.end)
        )

    def services(self, record: KeyedRecord) -> dict[str, frozenset[str]]:
        """Return the services of each route; none if they cannot be decoded."""
        history = RouteHistory()
        try:
            configuration = self.decode(record.content)
        except BadRecordError as error:
            logger.warning(
                'configuration_unreadable',
                extra={'source': 'versions', 'error': str(error)},
            )
            return {}
        history.update(configuration.routes.routes.values(), 0)
        return history.services()
