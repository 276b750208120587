"""The copy of the quarantine in the store, for hosts that hear no other."""

import random
import threading

import logbook

from trefoilspool import clock
from trefoilspool.errors import (
    LogOutageError,
    StoreRestoredError,
)
from trefoilspool.homecontact import HomeContact
from trefoilspool.peers import PeerRegistry
from trefoilspool.quarantine import QuarantineEntry
from trefoilspool.quarantinegossip import QuarantineGossip
from trefoilspool.store import KeyedRecord, KeyedTopic
from trefoilspool.wire import endpointreports

__all__ = ['QuarantineStoreTask']

RECORD_KEY = 'quarantine'
CHECK_S = 0.25
# A host that waited so much longer than it wanted was frozen, and may have
# missed what others were told.
FROZEN_S = 0.5
READ_S = 0.5  # between reads of a host that is cut off
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0

logger = logbook.Logger('quarantine')


class QuarantineStoreTask:
    """Reads the record at the start and when cut off; writes it as home host.

    Parameters
    ----------
    topic : KeyedTopic
        The quarantine's topic, with one record.
    gossip : QuarantineGossip
        Gets the entries read.
    peers : PeerRegistry
        Tells whether this is the home host.
    home_contact : HomeContact
        Tells whether the store may know more than this host has heard.
    stopping : threading.Event
        Ends the task.

    Attributes
    ----------
    has_tried : threading.Event
        Set after the first read, even if it failed.
    """

    def __init__(
        self,
        topic: KeyedTopic,
        gossip: QuarantineGossip,
        peers: PeerRegistry,
        home_contact: HomeContact,
        stopping: threading.Event,
    ) -> None:
        self.topic = topic
        self.gossip = gossip
        self.peers = peers
        self.home_contact = home_contact
        self.stopping = stopping
        self.due = threading.Event()
        self.has_tried = threading.Event()
        # What the record held when it was last read or written.
        self.stored: frozenset[QuarantineEntry] = frozenset()
        self.needs_read = True
        self.read_at = 0.0
        self.retry_s = FIRST_RETRY_S

    def run(self) -> None:
        """Read and write until stopped."""
        pause_s = 0.0
        while not self.stopping.is_set():
            wake_at = clock.now() + pause_s
            self.due.wait(pause_s)
            self.due.clear()
            if clock.now() > wake_at + FROZEN_S:
                self.needs_read = True
            pause_s = self.try_step() * (1 + random.random()) / 2
            self.has_tried.set()

    def on_due(self) -> None:
        """Check for a change at once; usable from any thread."""
        self.due.set()

    def on_store_restored(self) -> None:
        """Check the record again: the restored store may hold an older one."""
        self.stored = frozenset()
        self.on_due()

    def try_step(self) -> float:
        """Read or write if due; return the seconds until the next check."""
        try:
            self.step()
        except (LogOutageError, StoreRestoredError) as error:
            logger.info('quarantine_not_synced', extra={'error': str(error)})
        except Exception:
            logger.exception('quarantine_not_synced')
        else:
            self.retry_s = FIRST_RETRY_S
            return CHECK_S
        self.retry_s = min(self.retry_s * 2, MAX_RETRY_S)
        return self.retry_s

    def step(self) -> None:
        """Read the record if due; write it if this host knows more."""
        # What another host wrote meanwhile must not be lost by a write.
        if self.needs_read or self.has_news() or self.may_miss_news():
            self.try_read()
        if self.has_news():
            self.write()

    def may_miss_news(self) -> bool:
        """Return whether other hosts may have written what is unknown here."""
        now = clock.now()
        return now - self.read_at >= READ_S and self.home_contact.is_cut_off(
            now
        )

    def has_news(self) -> bool:
        """Return whether this host is to write."""
        return self.peers.is_home() and bool(self.own_entries() - self.stored)

    def own_entries(self) -> frozenset[QuarantineEntry]:
        """Return the entries of this host that one record holds."""
        return frozenset(
            endpointreports.fitting_entries(self.gossip.quarantine.entries())
        )

    def try_read(self) -> None:
        """Read the record; a host with news writes even if that fails.

        Raises
        ------
        LogOutageError
            When the store did not respond.
        """
        try:
            self.read()
        except LogOutageError as error:
            if not self.has_news():
                raise
            logger.info('quarantine_not_synced', extra={'error': str(error)})

    def read(self) -> None:
        """Read the record and adopt its entries."""
        entries = [
            entry
            for record in self.topic.read_latest().records
            for entry in decode(record)
        ]
        read_at = clock.now()
        self.gossip.learn(entries, 'store', read_at)
        self.needs_read = False
        self.read_at = read_at
        self.stored = frozenset(entries)

    def write(self) -> None:
        """Write the record; it is read once more in case another host did."""
        entries = self.own_entries()
        self.topic.put(
            RECORD_KEY,
            endpointreports.encode_quarantine(self.peers.own, entries),
        )
        self.stored = entries
        self.needs_read = True
        logger.info('quarantine_written', extra={'entries': len(entries)})


def decode(record: KeyedRecord) -> list[QuarantineEntry]:
    """Return the entries of a record; an unreadable one has none."""
    entries = endpointreports.decode_quarantine(record.content)
    if entries is None:
        logger.warning('quarantine_unreadable', extra={'key': record.key})
    return entries or []
