"""The versions of endpoints' software in the records since a stored claim."""

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
from trefoilspool.store import KeyedRecord, KeyedSource, Page
from trefoilspool.versionhistory import WatchedVersions

__all__ = ['VersionReplay']

MAX_READS = 8

logger = logbook.Logger('directory')


class VersionReplay:
    """Extends a stored claim by the endpoint records that came after it.

    Parameters
    ----------
    source : KeyedSource
        The endpoint records in the store; not used by other threads.
    decode : callable
        Decodes a record's key and content; raises ``BadRecordError`` if the
        content is malformed.
    """

    def __init__(
        self,
        source: KeyedSource,
        decode: Callable[[str, bytes], EndpointRecord],
    ) -> None:
        self.source = source
        self.decode = decode

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
            The present time in seconds, until when the versions of these
            records count as present.

        Raises
        ------
        LogOutageError
            The store did not respond.
        """
        try:
            for page in self.pages(watched.position, until):
                watched = self.with_page(watched, page, now)
        except (TrimmedError, StoreRestoredError) as error:
            logger.info(
                'versions_not_replayed',
                extra={
                    'era': watched.position.era,
                    'offset': watched.position.offset,
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
