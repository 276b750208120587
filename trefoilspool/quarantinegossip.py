"""What hosts tell each other of quarantined prompt parts."""

from collections.abc import Callable, Iterable

import logbook

from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.quarantine import Quarantine, QuarantineEntry
from trefoilspool.wire import endpointreports
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes

__all__ = ['QuarantineGossip']

logger = logbook.Logger('quarantine')

EntryHandler = Callable[[QuarantineEntry], None]


def ignore_entry(entry: QuarantineEntry) -> None:
    """Do nothing."""


class QuarantineGossip:
    """Decides which entries a host tells to which others.

    The home host tells all at once, and with each digest. Others tell it what
    it has not told them.

    Parameters
    ----------
    peers : PeerRegistry
        The known hosts.
    quarantine : Quarantine
        Copy of this host.

    Attributes
    ----------
    on_entry : callable
        Called with each entry that is new here.
    """

    def __init__(self, peers: PeerRegistry, quarantine: Quarantine) -> None:
        self.peers = peers
        self.quarantine = quarantine
        self.known: frozenset[QuarantineEntry] = frozenset()
        # Name and incarnation of the home host, and what it told last.
        self.home_run = ('', 0)
        self.home_entries: frozenset[QuarantineEntry] = frozenset()
        self.on_entry: EntryHandler = ignore_entry

    def learn(
        self, entries: Iterable[QuarantineEntry], source: str, now: float
    ) -> None:
        """Adopt entries; usable from any thread.

        Parameters
        ----------
        entries : iterable of QuarantineEntry
            The entries as received.
        source : str
            Who has told them, for the log line: a host or the store.
        now : float
            The present time in seconds.
        """
        before = set(self.quarantine.entries())
        if not self.quarantine.merge(entries, now):
            return
        for entry in self.quarantine.entries():
            if entry not in before:
                logger.info(
                    'quarantine_learned',
                    extra={**entry._asdict(), 'source': source},
                )

    def on_structs(
        self,
        sender: HostInfo,
        structs: Iterable[ttypes.QuarantineEntry],
        now: float,
    ) -> None:
        """Adopt the entries of a peer."""
        entries = endpointreports.quarantine_from_wire(structs)
        self.learn(entries, sender.name, now)
        home = self.peers.home()
        if home is not None and home.name == sender.name:
            self.home_run = (sender.name, sender.incarnation)
            self.home_entries = frozenset(entries)

    def structs(self) -> list[ttypes.QuarantineEntry] | None:
        """Return the Thrift structs of all entries, None if there are none."""
        return endpointreports.quarantine_to_wire(self.quarantine.entries())

    def structs_for_home(
        self, home: HostInfo
    ) -> list[ttypes.QuarantineEntry] | None:
        """Return the structs of the entries that the home host has not told."""
        if self.home_run != (home.name, home.incarnation):
            return self.structs()
        return endpointreports.quarantine_to_wire(
            entry
            for entry in self.quarantine.entries()
            if entry not in self.home_entries
        )

    def datagram(self) -> ttypes.Datagram:
        """Return a datagram with all entries."""
        return ttypes.Datagram(
            wire.host_info_to_wire(self.peers.own), quarantine=self.structs()
        )

    def tick(self, now: float) -> bool:
        """Forget old entries; return whether any has changed since."""
        self.quarantine.tick(now)
        entries = frozenset(self.quarantine.entries())
        changed = entries - self.known
        self.known = entries
        for entry in changed:
            self.on_entry(entry)
        return bool(changed)
