"""Since when each route has sent its requests to the same service."""

import threading
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from trefoilspool.routing import Route

__all__ = ['RouteHistory', 'RouteServices']


class RouteServices(NamedTuple):
    """The services of a route, and since when, in seconds."""

    services: frozenset[str]
    since: float

    @property
    def only(self) -> str:
        """Return the only service, empty if there are several."""
        return next(iter(self.services)) if len(self.services) == 1 else ''


class RouteHistory:
    """The services of the routes in force.

    Pure: each call passes the time in seconds. Safe to use from any thread.

    Attributes
    ----------
    by_route : dict
        The services of the routes of streams, by the route's name.
    first_at : float
        When the routes were first known, in seconds.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()  # for changes
        self.by_route: dict[str, RouteServices] = {}
        self.first_at = 0.0

    def update(self, routes: Iterable[Route], now: float) -> None:
        """Replace the routes; what is unchanged keeps its time."""
        with self.lock:
            if not self.by_route:
                self.first_at = now
            # Other threads read it meanwhile.
            self.by_route = {
                route.name: self.services_of(route, now)
                for route in routes
                if route.streams
            }

    def restart(self, now: float) -> None:
        """Forget since when the routes have had their services.

        Another configuration may have been in force in between.
        """
        with self.lock:
            self.first_at = now
            self.by_route = {
                name: known._replace(since=now)
                for name, known in self.by_route.items()
            }

    def adopt(self, earlier: Mapping[str, RouteServices]) -> None:
        """Adopt since when routes had their services before this host started.

        Parameters
        ----------
        earlier : mapping
            The services of routes; others may have come meanwhile.
        """
        with self.lock:
            self.by_route = {
                name: self.earliest(known, earlier.get(name))
                for name, known in self.by_route.items()
            }

    def earliest(
        self, known: RouteServices, earlier: RouteServices | None
    ) -> RouteServices:
        """Return a route's services with the earlier of two times."""
        if earlier is None or earlier.services != known.services:
            return known
        # It has changed since this host knows it.
        if known.since > self.first_at:
            return known
        return min(known, earlier, key=lambda services: services.since)

    def services(self) -> dict[str, frozenset[str]]:
        """Return the services of each route."""
        return {name: known.services for name, known in self.by_route.items()}

    def services_of(self, route: Route, now: float) -> RouteServices:
        """Return a route's services; unchanged ones keep their time."""
        services = frozenset(
            weighted.service for weighted in route.weighted_services
        )
        known = self.by_route.get(route.name)
        if known is not None and known.services == services:
            return known
        return RouteServices(services, now)

    def present_service(self, route: str) -> str:
        """Return a route's service, empty if it has several or is unknown."""
        known = self.by_route.get(route)
        return known.only if known else ''

    def has_changed(self, route: str, window_s: float, now: float) -> bool:
        """Return whether a route is known to have changed within a time."""
        known = self.by_route.get(route)
        return (
            known is not None
            and known.since > self.first_at
            and now - known.since < window_s
        )

    def only_service(self, route: str, window_s: float, now: float) -> str:
        """Return a route's service if it has had no other within a time.

        The result is empty if it has had another, or if that is not known.
        """
        known = self.by_route.get(route)
        if known is None or now - known.since < window_s:
            return ''
        return known.only
