"""Since when each route has sent its requests to the same service."""

import json
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from trefoilspool.routing import Route

__all__ = ['RouteHistory']


class RouteServices(NamedTuple):
    """The services of a route, and since when, in seconds."""

    services: frozenset[str]
    since: float


class RouteHistory:
    """The services of the routes in force.

    Pure: each call passes the time in seconds.

    Attributes
    ----------
    by_route : dict
        The services by the route's name.
    first_at : float
        When the routes were first known, in seconds.
    changed_at : float
        When a route last changed its services, in seconds.
    routing : str
        Digest of the services of all routes.
    """

    def __init__(self) -> None:
        self.by_route: dict[str, RouteServices] = {}
        self.first_at = 0.0
        self.changed_at = 0.0
        self.routing = ''

    def update(self, routes: Iterable[Route], now: float) -> None:
        """Replace the routes; what is unchanged keeps its time."""
        earlier = self.by_route
        # Other threads read it meanwhile.
        self.by_route = {
            route.name: self.services_of(route, now) for route in routes
        }
        self.routing = digest(self.by_route)
        if not earlier:
            self.first_at = now
            self.changed_at = now
        elif any(self.by_route.get(name) != earlier[name] for name in earlier):
            self.changed_at = now

    def adopt(self, changed_at: float, routing: str) -> None:
        """Adopt when routes last changed before this host started.

        Parameters
        ----------
        changed_at : float
            When one last changed its services, in seconds.
        routing : str
            Digest of the routes then; others may have come meanwhile.
        """
        if routing != self.routing or changed_at > self.first_at:
            return
        if self.changed_at == self.first_at:
            self.changed_at = changed_at
        self.by_route = {
            name: known._replace(since=changed_at)
            if known.since == self.first_at
            else known
            for name, known in self.by_route.items()
        }
        self.first_at = changed_at

    def services_of(self, route: Route, now: float) -> RouteServices:
        """Return a route's services; unchanged ones keep their time."""
        services = frozenset(
            weighted.service for weighted in route.weighted_services
        )
        known = self.by_route.get(route.name)
        if known is not None and known.services == services:
            return known
        return RouteServices(services, now)

    def only_service(self, route: str, window_s: float, now: float) -> str:
        """Return a route's service if it has had no other within a time.

        The result is empty if it has had another, or if that is not known.
        """
        known = self.by_route.get(route)
        if known is None or len(known.services) != 1:
            return ''
        return (
            next(iter(known.services)) if now - known.since >= window_s else ''
        )


def digest(by_route: Mapping[str, RouteServices]) -> str:
    """Return a digest of the services of all routes."""
    text = json.dumps(
        [[name, sorted(by_route[name].services)] for name in sorted(by_route)]
    )
    return xxhash.xxh64_hexdigest(text.encode())
