"""Membership of hosts: the lagging roster joined with direct heartbeats."""

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

import xxhash

from trefoilspool.platform import EndpointEntry, HostEntry, Roster

__all__ = ['Heartbeat', 'HostState', 'Membership', 'View', 'home_of']

SUSPECT_AFTER_S = 1.5
GONE_AFTER_S = 4.0


class HostState(IntEnum):
    """State of a host in this host's view."""

    joining = 0
    live = 1
    suspect = 2
    leaving = 3
    gone = 4


class Heartbeat(NamedTuple):
    """A heartbeat of a host.

    Attributes
    ----------
    hears : bool
        Whether the sender has a recent heartbeat of the receiver; if not, the
        receiver treats the sender as suspect even though its heartbeats
        arrive.
    """

    incarnation: int
    state: HostState
    settings_offset: int
    hears: bool = True


class Member(NamedTuple):
    """The last heartbeat of a host, and when it arrived in seconds."""

    heartbeat: Heartbeat
    received_at: float


class View(NamedTuple):
    """An immutable snapshot of the membership.

    Attributes
    ----------
    hosts : mapping
        Hosts of the roster by name.
    states : mapping
        State of each host.
    incarnations : mapping
        Incarnation of each host that has sent a heartbeat.
    homes : tuple of str
        Hosts in state ``live``, which may schedule cells; sorted.
    endpoints : tuple of EndpointEntry
        Endpoints of the roster, including those that are leaving.
    """

    hosts: Mapping[str, HostEntry]
    states: Mapping[str, HostState]
    incarnations: Mapping[str, int]
    homes: tuple[str, ...]
    endpoints: tuple[EndpointEntry, ...]


def home_of(cell: str, homes: Iterable[str]) -> str | None:
    """Return the cell's home host by rendezvous hashing.

    Parameters
    ----------
    cell : str
        Name of the cell.
    homes : iterable of str
        Hosts that may schedule cells.
    """
    return max(
        homes,
        key=lambda host: (rendezvous_weight(cell, host), host),
        default=None,
    )


def rendezvous_weight(cell: str, host: str) -> int:
    """Return the rendezvous weight of a host for a cell."""
    return int(xxhash.xxh64_intdigest(f'{cell}\0{host}'.encode()))


class Membership:
    """One host's view of the membership.

    Parameters
    ----------
    name : str
        This host.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.members: dict[str, Member] = {}
        self.roster = Roster((), ())

    def on_roster(self, roster: Roster) -> None:
        """Replace the roster by a newer reading."""
        self.roster = roster

    def on_heartbeat(self, host: str, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat; ignore one of an older incarnation."""
        known = self.members.get(host)
        if known and heartbeat.incarnation < known.heartbeat.incarnation:
            return
        self.members[host] = Member(heartbeat, now)

    def state(self, entry: HostEntry, now: float) -> HostState:
        """Return the state of a host of the roster."""
        member = self.members.get(entry.name)
        if member is None:
            return HostState.joining
        silence_s = now - member.received_at
        if silence_s >= GONE_AFTER_S:
            return HostState.gone
        if silence_s >= SUSPECT_AFTER_S:
            return HostState.suspect
        if not member.heartbeat.hears:
            return HostState.suspect
        if entry.state == 'leaving':
            return HostState.leaving
        return member.heartbeat.state

    def has_recent_heartbeat(self, host: str, now: float) -> bool:
        """Return whether a host has sent a heartbeat recently."""
        member = self.members.get(host)
        return member is not None and now - member.received_at < SUSPECT_AFTER_S

    def view(self, now: float) -> View:
        """Return the view as of ``now``.

        This host's own state is the one that it announces.
        """
        hosts = {entry.name: entry for entry in self.roster.hosts}
        states = {
            entry.name: self.state(entry, now) for entry in hosts.values()
        }
        own = self.members.get(self.name)
        if own is not None:
            states[self.name] = own.heartbeat.state
        homes = tuple(
            sorted(
                name
                for name, state in states.items()
                if state is HostState.live
            )
        )
        incarnations = {
            name: member.heartbeat.incarnation
            for name, member in self.members.items()
        }
        return View(
            hosts,
            states,
            incarnations,
            homes,
            self.roster.endpoints,
        )
