"""Which software versions the endpoints of each service have had of late."""

import math
import threading
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from trefoilspool.replica import NO_ERA, Position
from trefoilspool.routehistory import RouteServices

__all__ = [
    'MEMORY_S',
    'NOWHERE',
    'ServiceVersion',
    'VersionHistory',
    'WatchedVersions',
    'reaches',
]

NOWHERE = Position(NO_ERA, -1)
# Longer than a stream and the time in which its caller takes it up again.
MEMORY_S = 60.0
CLOCK_SLACK_S = 6.0  # by which times of day of two hosts may differ


class ServiceVersion(NamedTuple):
    """A software version of a service's endpoints.

    Attributes
    ----------
    software : str
        The version; empty if it cannot be told from others.
    """

    service: str
    software: str


def reaches(position: Position, other: Position) -> bool:
    """Return whether a known position is not before another of its era."""
    is_same_era = position.era == other.era
    return position != NOWHERE and is_same_era and position >= other


class WatchedVersions(NamedTuple):
    """What hosts have seen of versions; times in seconds.

    Attributes
    ----------
    since : float
        Since when all versions are known.
    routes : mapping
        The services of the routes, by the route's name.
    until : dict
        Until when each version was present; infinite for those that are.
    position : Position
        Up to where in the endpoint records all versions are known; `NOWHERE`
        if that is not known.
    routes_position : Position
        Up to where in the settings the services of the routes are known.
    """

    since: float
    routes: Mapping[str, RouteServices]
    until: dict[ServiceVersion, float]
    position: Position = NOWHERE
    routes_position: Position = NOWHERE


class VersionHistory:
    """The versions that are present, and those that were of late.

    Pure: each call passes the time in seconds. Safe to use from any thread.

    Parameters
    ----------
    started_at : float
        When this host began to watch, in seconds.

    Attributes
    ----------
    began_at : Position
        Position in the endpoint records at which this host's own watch began;
        it has seen the versions of all later records.
    seen_until : dict
        Until when each version was present, in seconds; infinite for those
        that are.
    """

    def __init__(self, started_at: float) -> None:
        self.lock = threading.Lock()  # for changes
        self.started_at = started_at
        self.began_at = NOWHERE
        self.seen_until: dict[ServiceVersion, float] = {}

    def update(
        self,
        present: Iterable[ServiceVersion],
        now: float,
        registered: Iterable[ServiceVersion] = (),
    ) -> None:
        """Replace the versions that are present.

        Parameters
        ----------
        present : iterable of ServiceVersion
            The versions that are present.
        now : float
            The present time in seconds.
        registered : iterable of ServiceVersion
            Versions that have registered since the last update, of which some
            may be gone.
        """
        with self.lock:
            earlier = {
                version: min(until, now)
                for version, until in self.seen_until.items()
                if until >= now - MEMORY_S
            }
            # Other threads read it meanwhile.
            self.seen_until = {
                **earlier,
                **dict.fromkeys(registered, now),
                **dict.fromkeys(present, math.inf),
            }

    def restart(self, at: float, position: Position) -> None:
        """Begin to watch anew; the versions already seen stay so.

        Parameters
        ----------
        at : float
            From when on all versions will be seen, in seconds.
        position : Position
            From where on the versions of all records will be seen.
        """
        with self.lock:
            self.started_at = at
            self.began_at = position

    def present(self) -> frozenset[ServiceVersion]:
        """Return the versions that are present."""
        return frozenset(
            version
            for version, until in self.seen_until.items()
            if until == math.inf
        )

    def adopt(self, watched: WatchedVersions, now: float) -> None:
        """Adopt what other hosts have seen before.

        What was present there counts until now, and the time of day may have
        jumped meanwhile. Since when all versions are known is adopted only if
        that holds up to where this host's own watch began.
        """
        earlier = {
            version: min(until + CLOCK_SLACK_S, now)
            for version, until in watched.until.items()
            if until + CLOCK_SLACK_S >= now - MEMORY_S
        }
        with self.lock:
            if watched.since > self.started_at:
                return
            for version, until in self.seen_until.items():
                earlier[version] = max(until, earlier.get(version, until))
            self.seen_until = earlier
            if reaches(watched.position, self.began_at):
                self.started_at = min(
                    self.started_at, watched.since + CLOCK_SLACK_S
                )

    def versions(
        self, service: str, window_s: float, now: float
    ) -> frozenset[str]:
        """Return a service's versions within a time."""
        return frozenset(
            version.software
            for version, until in self.seen_until.items()
            if version.service == service and until >= now - window_s
        )

    def has_watched(self, window_s: float, now: float) -> bool:
        """Return whether all versions within a time are known."""
        return now - self.started_at >= window_s

    def has_several(self, service: str, now: float) -> bool:
        """Return whether a service has had more than one version of late."""
        return len(self.versions(service, MEMORY_S, now)) > 1
