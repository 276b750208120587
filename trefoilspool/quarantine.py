"""Prompt parts that get no endpoint; every host holds a copy."""

import threading
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ['Quarantine', 'QuarantineEntry']

MAX_ENTRIES = 64
# How long a lifted entry is kept, so that an older copy does not bring it back.
LIFTED_RETENTION_S = 600.0
# How long a lifted entry is passed on. Shorter than it is kept, or hosts that
# tell each other would keep it for ever.
LIFTED_GOSSIP_S = 120.0
# The same on hosts that never held another copy; shorter than the time between
# hosts that join, or they would keep it for ever.
LIFTED_RELAY_S = 10.0


class QuarantineEntry(NamedTuple):
    """The state of one prompt part.

    Attributes
    ----------
    part : str
        Id of the part.
    revision : int
        Rises with each change of the part's state. Of two copies the one with
        the higher revision wins, on a tie the active one.
    active : bool
        False if the quarantine was lifted.
    """

    part: str
    revision: int
    active: bool


class Copy(NamedTuple):
    """The copy of an entry on this host.

    Attributes
    ----------
    since : float
        When the entry became what it is here, in seconds.
    told_until : float
        Until when a lifted entry is passed on, in seconds; 0 if it is not.
    """

    entry: QuarantineEntry
    since: float
    told_until: float


class Quarantine:
    """Quarantined prompt parts; usable from any thread.

    Attributes
    ----------
    copies : dict
        Copies of the entries by part.
    active_parts : frozenset of str
        Quarantined parts; replaced as a whole, so that it is read unlocked.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.copies: dict[str, Copy] = {}
        self.active_parts: frozenset[str] = frozenset()

    def covered(self, parts: Iterable[str]) -> str:
        """Return the first quarantined part, an empty text if there is none."""
        active = self.active_parts
        if not active:
            return ''
        return next((part for part in parts if part in active), '')

    def since(self, part: str) -> float | None:
        """Return when a part's entry last changed here, in seconds."""
        copy = self.copies.get(part)
        return copy.since if copy else None

    def entries(self) -> list[QuarantineEntry]:
        """Return the entries to pass on, newest first."""
        with self.lock:
            copies = sorted(
                self.copies.values(), key=lambda copy: copy.since, reverse=True
            )
        return [
            copy.entry
            for copy in copies
            if copy.entry.active or copy.told_until
        ]

    def merge(self, entries: Iterable[QuarantineEntry], now: float) -> bool:
        """Adopt the entries that win over the copies here.

        Returns
        -------
        bool
            Whether any copy changed.
        """
        with self.lock:
            changed = [self.merge_entry(entry, now) for entry in entries]
            self.on_changed()
        return any(changed)

    def merge_entry(self, entry: QuarantineEntry, now: float) -> bool:
        """Adopt an entry that wins over the copy here; return whether it did.

        A lifted entry of a part that is unknown here is passed on only for a
        short time, until a host turns out to hold another copy.
        """
        copy = self.copies.get(entry.part)
        if copy is None:
            self.copies[entry.part] = Copy(entry, now, now + LIFTED_RELAY_S)
            return True
        if entry == copy.entry:
            return False
        wins = precedence(entry) > precedence(copy.entry)
        self.copies[entry.part] = Copy(
            entry if wins else copy.entry,
            now if wins else copy.since,
            now + LIFTED_GOSSIP_S,
        )
        return wins

    def add(self, part: str, now: float) -> None:
        """Quarantine a part."""
        self.change(part, now, active=True)

    def lift(self, part: str, now: float) -> None:
        """Lift the quarantine of a part."""
        if part in self.active_parts:
            self.change(part, now, active=False)

    def change(self, part: str, now: float, *, active: bool) -> None:
        """Set the state of a part."""
        with self.lock:
            copy = self.copies.get(part)
            revision = copy.entry.revision + 1 if copy else 1
            self.copies[part] = Copy(
                QuarantineEntry(part, revision, active),
                now,
                now + LIFTED_GOSSIP_S,
            )
            self.on_changed()

    def tick(self, now: float) -> None:
        """Stop passing on lifted entries, then forget them."""
        if len(self.active_parts) == len(self.copies):
            return
        with self.lock:
            for part, copy in list(self.copies.items()):
                if copy.entry.active:
                    continue
                if now - copy.since >= LIFTED_RETENTION_S:
                    self.copies.pop(part)
                elif now >= copy.told_until:
                    self.copies[part] = copy._replace(told_until=0)

    def on_changed(self) -> None:
        """Drop the oldest entries above ``MAX_ENTRIES``, lifted ones first."""
        if len(self.copies) > MAX_ENTRIES:
            kept = sorted(
                self.copies.values(),
                key=lambda copy: (copy.entry.active, copy.since),
            )[-MAX_ENTRIES:]
            self.copies = {copy.entry.part: copy for copy in kept}
        self.active_parts = frozenset(
            part for part, copy in self.copies.items() if copy.entry.active
        )


def precedence(entry: QuarantineEntry) -> tuple[int, bool]:
    """Return a key that is higher for the entry that wins."""
    return entry.revision, entry.active
