"""When a quarantined prompt part is tested with one request."""

from collections.abc import Iterable
from typing import NamedTuple

from trefoilspool.quarantine import Quarantine
from trefoilspool.slotmessages import SlotKey

__all__ = ['ProbeSchedule']

FIRST_INTERVAL_S = 30.0
INTERVAL_FACTOR = 2
# The first interval of a home host that took the quarantine over, as an earlier
# one may have sent probes.
ADOPTED_INTERVAL_S = FIRST_INTERVAL_S * INTERVAL_FACTOR
UNUSED_INTERVAL_S = 2.0  # after a probe that reached no endpoint


class NextProbe(NamedTuple):
    """The next probe of a part.

    Attributes
    ----------
    due_at : float
        When it may be sent, in seconds.
    interval_s : float
        Seconds from its failure to the one after, divided by the factor.
    since : float
        When the quarantine began here, in seconds.
    """

    due_at: float
    interval_s: float
    since: float


class ProbeSchedule:
    """Probes of the quarantined parts, one at a time each.

    Parameters
    ----------
    quarantine : Quarantine
        The quarantined parts.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine
        self.next_probes: dict[str, NextProbe] = {}
        self.running: dict[SlotKey, frozenset[str]] = {}

    def on_quarantined(self, part: str, now: float) -> None:
        """Schedule the first probe of a part that was quarantined here."""
        self.next_probes[part] = NextProbe(
            now + FIRST_INTERVAL_S, FIRST_INTERVAL_S, now
        )

    def next_probe(self, part: str) -> NextProbe:
        """Return the next probe of a quarantined part."""
        since = self.quarantine.since(part) or 0
        probe = self.next_probes.get(part)
        if probe is None or probe.since != since:
            probe = NextProbe(
                since + ADOPTED_INTERVAL_S, ADOPTED_INTERVAL_S, since
            )
            self.next_probes[part] = probe
        return probe

    def due(self, parts: Iterable[str], now: float) -> bool:
        """Return whether a request with these parts may be a probe."""
        busy = frozenset[str]().union(*self.running.values())
        return all(
            part not in busy and now >= self.next_probe(part).due_at
            for part in parts
        )

    def on_granted(self, key: SlotKey, parts: Iterable[str]) -> None:
        """Note the probe of some parts."""
        self.running[key] = frozenset(parts)

    def on_served(self, key: SlotKey) -> frozenset[str]:
        """Return the parts of a probe that was served."""
        return self.running.pop(key, frozenset())

    def on_unused(self, key: SlotKey, now: float) -> None:
        """Note that a probe reached no endpoint."""
        for part in self.running.pop(key, ()):
            probe = self.next_probe(part)
            self.next_probes[part] = probe._replace(
                due_at=now + UNUSED_INTERVAL_S
            )

    def on_failed(self, key: SlotKey, now: float) -> None:
        """Note that a probe was not served."""
        for part in self.running.pop(key, ()):
            probe = self.next_probe(part)
            interval_s = probe.interval_s * INTERVAL_FACTOR
            self.next_probes[part] = probe._replace(
                due_at=now + interval_s, interval_s=interval_s
            )

    def forget_lifted(self) -> None:
        """Forget the parts that are not quarantined."""
        active = self.quarantine.active_parts
        self.next_probes = {
            part: probe
            for part, probe in self.next_probes.items()
            if part in active
        }
