"""Who is here: the lagging list joined with direct heartbeats."""

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

import xxhash

from trefoilspool.platform import EndpointEntry, HostEntry, Roster

__all__ = ['Beat', 'HostState', 'Membership', 'View', 'home_of']

SUSPECT_AFTER_S = 1.5
GONE_AFTER_S = 4.0


class HostState(IntEnum):
    """State of a host in this host's view."""

    joining = 0
    live = 1
    suspect = 2
    leaving = 3
    gone = 4


class Beat(NamedTuple):
    """A heartbeat of a host.

    Attributes
    ----------
    hears : bool
        Whether the sender has heard of the receiver lately; if not, it is of
        no use to the receiver, though it lives.
    """

    incarnation: int
    state: HostState
    settings_offset: int
    hears: bool = True


class Member(NamedTuple):
    """What is known of a host."""

    beat: Beat
    heard_at: float


class View(NamedTuple):
    """An immutable picture of the system.

    Attributes
    ----------
    hosts : mapping
        ListRead hosts by name.
    states : mapping
        State of each host.
    homes : tuple of str
        Hosts that may schedule cells, sorted.
    endpoints : tuple of EndpointEntry
        Endpoints, with those that leave.
    """

    hosts: Mapping[str, HostEntry]
    states: Mapping[str, HostState]
    incarnations: Mapping[str, int]
    homes: tuple[str, ...]
    endpoints: tuple[EndpointEntry, ...]


def home_of(cell: str, homes: Iterable[str]) -> str | None:
    """Return the cell's home by rendezvous hash.

    Parameters
    ----------
    cell : str
        Name of the cell.
    homes : iterable of str
        Hosts that may be a home.
    """
    return max(
        homes,
        key=lambda host: (rendezvous_weight(cell, host), host),
        default=None,
    )


def rendezvous_weight(cell: str, host: str) -> int:
    """Return the weight of a host for a cell."""
    return int(xxhash.xxh64_intdigest(f'{cell}\0{host}'.encode()))


class Membership:
    """The view of one host.

    Parameters
    ----------
    name : str
        This host.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.members: dict[str, Member] = {}
        self.roster = Roster((), ())

    def on_list(self, roster: Roster) -> None:
        """Take a reading of the platform's list."""
        self.roster = roster

    def on_beat(self, host: str, beat: Beat, now: float) -> None:
        """Take a heartbeat; one of an older incarnation is ignored."""
        known = self.members.get(host)
        if known and beat.incarnation < known.beat.incarnation:
            return
        self.members[host] = Member(beat, now)

    def state(self, entry: HostEntry, now: float) -> HostState:
        """Return a listed host's state."""
        member = self.members.get(entry.name)
        if member is None:
            return HostState.joining
        silence = now - member.heard_at
        if silence >= GONE_AFTER_S:
            return HostState.gone
        if silence >= SUSPECT_AFTER_S:
            return HostState.suspect
        if not member.beat.hears:
            return HostState.suspect
        if entry.state == 'leaving':
            return HostState.leaving
        return member.beat.state

    def hears(self, host: str, now: float) -> bool:
        """Tell whether a host was heard of lately."""
        member = self.members.get(host)
        return member is not None and now - member.heard_at < SUSPECT_AFTER_S

    def view(self, now: float) -> View:
        """Return the picture at a time."""
        hosts = {entry.name: entry for entry in self.roster.hosts}
        states = {
            entry.name: self.state(entry, now) for entry in hosts.values()
        }
        own = self.members.get(self.name)
        if own is not None:
            states[self.name] = own.beat.state
        homes = tuple(
            sorted(
                name
                for name, state in states.items()
                if state is HostState.live
            )
        )
        incarnations = {
            name: member.beat.incarnation
            for name, member in self.members.items()
        }
        return View(
            hosts,
            states,
            incarnations,
            homes,
            self.roster.endpoints,
        )
