"""A host's view of the endpoints: their records, and how current they are."""

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

__all__ = ['STALE_S', 'EndpointView', 'EndpointsRead']

# Older records are stale: the host then reads the store itself.
STALE_S = 1.3

logger = logbook.Logger('directory')


class EndpointsRead(NamedTuple):
    """A notice that a peer has read the endpoint records from the store.

    Attributes
    ----------
    changed_to : Position
        Position after the latest change that the peer has read.
    received_at : float
        When the notice was received, in seconds.
    """

    peer: HostInfo
    changed_to: Position
    received_at: float


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
        When this host last had all records, in seconds.
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
        self.replica = Replica(self.on_records, self.comparison_value)
        self.era = NO_ERA
        self.restored_at = 0.0
        self.current_at = 0.0
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

    def comparison_value(self, record: KeyedRecord) -> object:
        """Return the comparison value of a record.

        This is the decoded endpoint, or the raw content if it is invalid.
        """
        try:
            return self.decode(record.key, record.content)
        except Exception:
            # The directory logs the error.
            return record.content

    def mark_current(self, at: float) -> None:
        """Note that this host had all records at a time."""
        self.current_at = max(self.current_at, at)
        self.confirmation.on_current(at, self.outage_ended_at())

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
        return is_same_era and read.received_at > self.current_at

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
        self.replica.apply(source.read_from(max(own.offset, 0), 0, own.era))
        return self.replica.position() >= changed_to
