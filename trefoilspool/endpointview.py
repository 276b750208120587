"""A host's view of the endpoints: their records, and how current they are."""

import threading
from collections.abc import Callable
from typing import NamedTuple

import logbook

from trefoilspool import clock
from trefoilspool.departures import EndpointRecord
from trefoilspool.directory import Directory
from trefoilspool.peers import HostInfo
from trefoilspool.replica import NO_ERA, Position, Replica
from trefoilspool.runverification import RecordConfirmation
from trefoilspool.slotmessages import EndpointSpec
from trefoilspool.store import KeyedRecord, KeyedSource

__all__ = ['GAP_S', 'STALE_S', 'EndpointView', 'EndpointsRead']

# Older records are stale: the host then reads the store itself.
STALE_S = 1.3
# Any endpoint's record stays in the store for longer.
GAP_S = 2.0

logger = logbook.Logger('directory')


class EndpointsRead(NamedTuple):
    """A notice that a peer has read the endpoint records from the store.

    Attributes
    ----------
    changed_to : Position
        Position after the latest change that the peer has read.
    heard_at : float
        The notice arrived at this time or later, in seconds.
    age_s : float
        Seconds from the request of the read to the sending of the notice.
    """

    peer: HostInfo
    changed_to: Position
    heard_at: float
    age_s: float = 0

    @property
    def asked_at(self) -> float:
        """Return since when, at the latest, the peer has had its records."""
        return self.heard_at - self.age_s


class EndpointView:
    """The endpoints' records in this host's replica and its directory.

    Parameters
    ----------
    decode : callable
        Decodes a record's key and content; raises ``BadRecordError`` if the
        content is malformed.
    outage_ended_at : callable
        Returns when the last outage of the store ended, in seconds.
    on_available : callable
        Called with the available endpoints when they change.
    now : callable
        Returns the present time in seconds.

    Attributes
    ----------
    directory : Directory
        The endpoints by name.
    replica : Replica
        Their records.
    era : int
        Era of the store in which the directory's records were read.
    restored_at : float
        When this host learned that the store was restored from a backup, in
        seconds.
    current_at : float
        All records of this time or before are known, in seconds.
    read_at : float
        When the last read of the store that this host has ended was asked for,
        in seconds.
    read_ended : Condition
        Notified when ``read_at`` has changed.
    confirmation : RecordConfirmation
        As of when they tell which runs serve.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], EndpointRecord],
        outage_ended_at: Callable[[], float],
        on_available: Callable[[list[EndpointSpec]], None],
        now: Callable[[], float] = clock.now,
    ) -> None:
        self.decode = decode
        self.store_outage_ended_at = outage_ended_at
        self.now = now
        self.directory = Directory(decode, self.outage_ended_at, on_available)
        self.replica = Replica(
            self.on_records, self.comparison_value, self.on_skip
        )
        self.era = NO_ERA
        self.restored_at = 0.0
        self.current_at = 0.0
        self.read_at = 0.0
        self.read_ended = threading.Condition()
        self.confirmation = RecordConfirmation()

    def outage_ended_at(self) -> float:
        """Return when the last outage of the store ended, in seconds.

        A restore counts as the end of an outage: endpoints whose records it
        has undone register again.
        """
        return max(self.store_outage_ended_at(), self.restored_at)

    def on_records(self, records: tuple[KeyedRecord, ...]) -> None:
        """Pass new records to the directory."""
        now = self.now()
        era = self.replica.era
        restored = NO_ERA < self.era < era
        if restored:
            self.restored_at = now
            logger.warning('endpoints_restored', extra={'era': era})
        self.directory.on_records(records, now, restored=restored)
        self.era = era

    def on_skip(self, position: Position) -> None:
        """Begin the watch of versions anew if one may have come and gone."""
        now = self.now()
        gap_s = now - self.current_at
        if position.era == self.replica.era and gap_s <= GAP_S:
            return
        self.directory.versions.restart(now, position)
        if self.replica.era == NO_ERA:
            return
        logger.info(
            'versions_watched_anew',
            extra={
                'gap_s': round(gap_s, 3),
                'era': position.era,
                'offset': position.offset,
            },
        )

    def comparison_value(self, record: KeyedRecord) -> object:
        """Return the comparison value of a record.

        This is the decoded endpoint, or the raw content if it is invalid.
        """
        try:
            return self.decode(record.key, record.content)
        except Exception:
            # The directory logs the error.
            return record.content

    def mark_current(self, asked_at: float) -> None:
        """Note that a source had all records when it was asked, or later."""
        self.current_at = max(self.current_at, asked_at)
        self.confirmation.on_current(asked_at, self.outage_ended_at())

    def mark_read(self, asked_at: float) -> None:
        """Note that this host has read the store, asked at a time."""
        with self.read_ended:
            self.read_at = max(self.read_at, asked_at)
            self.read_ended.notify_all()

    def await_read(self, since: float, timeout_s: float) -> bool:
        """Wait for a read of the store that is asked for since a time.

        Returns
        -------
        bool
            Whether there was one within the timeout.
        """
        with self.read_ended:
            return self.read_ended.wait_for(
                lambda: self.read_at >= since, timeout_s
            )

    def age_s(self) -> float:
        """Return the seconds since this host last had all records."""
        return self.now() - self.current_at

    def is_stale(self) -> bool:
        """Return whether this host has long not had all records."""
        return self.age_s() >= STALE_S

    def lacks(self, read: EndpointsRead) -> bool:
        """Return whether a peer has read changes that this host lacks."""
        return read.changed_to > self.replica.position()

    def confirms(self, read: EndpointsRead) -> bool:
        """Return whether a notice shows that this host has all records."""
        is_same_era = read.changed_to.era == self.replica.era
        return is_same_era and read.asked_at > self.current_at

    def fetch(self, source: KeyedSource, changed_to: Position) -> bool:
        """Read what a peer has and this host lacks.

        Returns
        -------
        bool
            Whether this host has read as far as the peer had announced.

        Raises
        ------
        LogOutageError
            The peer did not respond.
        """
        own = self.replica.position()
        page = source.read_from(max(own.offset, 0), 0, own.era)
        self.replica.apply(page, is_compacted=True)
        return self.replica.position() >= changed_to
