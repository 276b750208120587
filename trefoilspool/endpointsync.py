"""Keeps a host's endpoint records current, from the store or from peers."""

import threading
from collections.abc import Callable

import logbook

from trefoilspool import clock
from trefoilspool.departures import EndpointRecord
from trefoilspool.endpointview import STALE_S, EndpointsRead, EndpointView
from trefoilspool.mesh import MeshTask
from trefoilspool.peerchoice import PeerChoice
from trefoilspool.peers import HostInfo
from trefoilspool.peertopics import ENDPOINTS_PATH, PeerTopic
from trefoilspool.replication import (
    MIN_PAUSE_S,
    PeerFetchTask,
    PollInterval,
    StoreReplicationTask,
)
from trefoilspool.store import KeyedSource

__all__ = ['EndpointSync']

# A leaving endpoint must get no new requests after 2 s.
PAUSE_S = 1.1
POLLING = PollInterval(0, PAUSE_S)
# Hosts that read the endpoint records from the store and notify the others.
READERS = 3
FETCH_SPREAD_S = 0.3
MIN_ANNOUNCE_S = 1.0
# Reads a second by all hosts for streams taken up; the store bounds all reads.
MAX_WANTED_PER_S = 1000.0
# The store answers in some milliseconds; a caller waits meanwhile.
CONFIRM_TIMEOUT_S = 0.4

logger = logbook.Logger('directory')


class EndpointSync:
    """The tasks that read the endpoint records, and their notices to peers.

    A few hosts read the store for all. The others fetch from a reader what it
    has and they lack.

    Parameters
    ----------
    topic : KeyedSource
        The endpoint records in the store.
    decode : callable
        Decodes a record's key and content; see `EndpointView`.
    mesh : MeshTask
        Carries the notices; gets the available endpoints.
    control_port : int
        Port at which peers serve their records.
    stopping : threading.Event
        Ends the tasks when set.

    Attributes
    ----------
    view : EndpointView
        The records, and how current they are.
    store_task : StoreReplicationTask
        Reads the store.
    peer_task : PeerFetchTask
        Reads peers.
    peer_choice : PeerChoice
        Which peer is asked first after a start.
    announced_at : float
        When the read was asked for that was last announced, in seconds.
    """

    def __init__(
        self,
        topic: KeyedSource,
        decode: Callable[[str, bytes], EndpointRecord],
        mesh: MeshTask,
        control_port: int,
        stopping: threading.Event,
    ) -> None:
        self.mesh = mesh
        self.peer_choice = PeerChoice()
        self.control_port = control_port
        self.announced_at = 0.0
        self.view = EndpointView(
            decode, self.outage_ended_at, mesh.set_available_endpoints
        )
        self.store_task = StoreReplicationTask(
            'endpoints',
            topic,
            self.view.replica,
            POLLING,
            stopping,
            self.should_read,
            on_read=self.on_read,
        )
        self.store_task.min_pause_s = self.min_pause_s
        self.peer_task = PeerFetchTask(
            'endpoints',
            self.find_newer,
            stopping,
            min_polls_behind=1,
            spread_s=FETCH_SPREAD_S,
        )

    def outage_ended_at(self) -> float:
        """Return when the last outage of the store ended; during one, now."""
        if self.store_task.outage_began_at is not None:
            return clock.now()
        return self.store_task.outage_ended_at

    def min_pause_s(self) -> float:
        """Return the seconds between reads that streams taken up ask for.

        All hosts together stay below ``MAX_WANTED_PER_S``.
        """
        return max(MIN_PAUSE_S, self.mesh.peers.count() / MAX_WANTED_PER_S)

    def should_read(self) -> bool:
        """Return whether this host reads the store.

        A host that is no reader reads it itself once its own records are
        stale, because the readers' notices do not arrive.
        """
        if self.mesh.peers.is_preferred_home(READERS):
            return True
        return self.view.is_stale()

    def reads_for_others(self) -> bool:
        """Return whether this host reads for others, or hears of none that do.

        Its own reads do not tell it what others have read.
        """
        if self.mesh.peers.is_preferred_home(READERS):
            return True
        read = self.mesh.endpoints_read
        return read is None or clock.now() - read.heard_at >= STALE_S

    def on_read(self) -> None:
        """Note that this host has read the store; announce it to peers.

        A read that was not due is of use to this host only, and one of a part
        of the records tells nothing of the others.
        """
        if self.store_task.has_more:
            return
        asked_at = self.store_task.read_began_at
        self.mark_current(asked_at)
        self.view.mark_read(asked_at)
        is_early = asked_at - self.announced_at < MIN_ANNOUNCE_S
        if is_early or not self.store_task.is_due:
            return
        self.announced_at = asked_at
        changed_to = self.view.replica.changed_to()
        self.mesh.call_soon(
            lambda now: self.mesh.broadcasts.send_endpoints_read(
                changed_to, now - asked_at, now
            )
        )

    def confirm(self, since: float) -> bool:
        """Have this host's records confirmed by the store.

        Parameters
        ----------
        since : float
            Since when the store must have been asked, in seconds.

        Returns
        -------
        bool
            Whether the store has answered. It is not waited for while it is
            known to be away.
        """
        if self.view.read_at >= since:
            return True
        if self.store_task.outage_began_at is not None:
            return False
        self.store_task.read_soon()
        return self.view.await_read(since, CONFIRM_TIMEOUT_S)

    def mark_current(self, asked_at: float) -> None:
        """Record since when a source has had all records that this host has.

        If other hosts read the store for this host, the store is available, so
        an outage seen in this host's own last read has ended.
        """
        self.view.mark_current(asked_at)
        self.mesh.set_confirmed_at(self.view.confirmation.confirmed_at)
        if not self.mesh.peers.is_preferred_home(READERS):
            self.store_task.on_store_available()

    def find_newer(self) -> Callable[[], None] | None:
        """Return a function that reads the changes of a peer, or None.

        Also records that this host's records are current if the peer that was
        heard last has no further changes.
        """
        if not self.view.replica.records:
            return self.find_first()
        read = self.mesh.endpoints_read
        if read is None:
            return None
        if self.view.lacks(read):
            return lambda: self.fetch(read)
        if self.view.confirms(read):
            self.mark_current(read.asked_at)
        return None

    def find_first(self) -> Callable[[], None] | None:
        """Return a function that reads what a peer has, None without a peer.

        A host that starts while the store is away knows no endpoint, and no
        peer announces any: announcements follow reads of the store.
        """
        registry = self.mesh.peers
        others = [
            host
            for host in registry.responsive()
            if host.name != registry.own.name
        ]
        peer = self.peer_choice.choose(
            others, registry.last_heartbeat_at, clock.now()
        )
        return None if peer is None else lambda: self.fetch_first(peer)

    def fetch_first(self, peer: HostInfo) -> None:
        """Read the records of a peer, which may be as old as the outage.

        They do not count as current: the store is still asked, and what it has
        is newer.

        Raises
        ------
        LogOutageError
            The peer did not respond.
        """
        # The next read, if one is needed, is of another peer.
        self.peer_choice.on_failure(peer.name, clock.now())
        source = PeerTopic(peer.address, self.control_port, ENDPOINTS_PATH)
        self.view.replica.apply(source.read_latest())
        position = self.view.replica.position()
        logger.info(
            'endpoints_handed_over',
            extra={
                'peer': peer.name,
                'records': len(self.view.replica.records),
                'era': position.era,
                'offset': position.offset,
            },
        )

    def fetch(self, read: EndpointsRead) -> None:
        """Read the records that a peer has and this host lacks."""
        source = PeerTopic(read.peer.address, self.control_port, ENDPOINTS_PATH)
        if self.view.fetch(source, read.changed_to):
            self.mark_current(read.asked_at)
