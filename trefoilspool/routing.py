"""Routes, services, workspaces and limits that an operator has in force."""

import bisect
from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    'CallerLimits',
    'Configuration',
    'Engine',
    'Repeats',
    'Route',
    'RouteTable',
    'Service',
    'Share',
    'Workspace',
]

LOWEST_RANK = 9


class Repeats(IntEnum):
    """What a route's requests allow after a send of unknown outcome."""

    never = 0
    always = 1
    resumed = 2


class Share(NamedTuple):
    """A service and its weight among those of a route."""

    service: str
    weight: int


class Route(NamedTuple):
    """Where requests of a host and path prefix go, and how.

    Attributes
    ----------
    repeats : Repeats
        What may happen to a request more than once.
    streams : bool
        Whether answers are series of events.
    timeout_s : float
        The longest time until the final answer.
    aim_s : float
        The time until the first byte that callers are owed.
    rank : int
        Importance; 0 goes first.
    """

    name: str
    authority: str
    prefix: str
    repeats: Repeats
    streams: bool
    timeout_s: float
    aim_s: float
    rank: int
    shares: tuple[Share, ...]
    max_attempts: int
    anonymous: bool

    def service_for(self, draw: float) -> str:
        """Return the service of a random draw from 0 to 1."""
        total = sum(share.weight for share in self.shares)
        mark = draw * total
        for share in self.shares:
            mark -= share.weight
            if mark < 0:
                return share.service
        return self.shares[-1].service


class Engine(NamedTuple):
    """What a model service's engines have in common.

    Attributes
    ----------
    slots : int
        Requests that one engine computes at once.
    memory_tokens : int
        Tokens that fit into one engine's cache.
    event_tokens : int
        Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    event_tokens: int


class Service(NamedTuple):
    """A set of endpoints that can stand in for each other."""

    name: str
    health_path: str
    engine: Engine | None


class Workspace(NamedTuple):
    """A customer with its keys and its limit.

    Attributes
    ----------
    rank : int or None
        Goes before the rank of the route where it is given.
    rate : float
        Tokens (or requests) a second over all hosts; 0 for no limit.
    burst : float
        Tokens (or requests) that may be saved up.
    counts_tokens : bool
        Whether the limit counts tokens rather than requests.
    plain_tokens : int
        What a request without token counts counts as.
    """

    name: str
    keys: frozenset[str]
    rank: int | None
    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: int

    def charge(self, tokens: int) -> int:
        """Return what a request of some tokens counts as."""
        if not self.counts_tokens:
            return 1
        return tokens or self.plain_tokens


class CallerLimits(NamedTuple):
    """What a caller may send."""

    max_header_bytes: int
    max_body_bytes: int


class RouteTable:
    """Finds the route with the longest matching prefix of an authority.

    Parameters
    ----------
    routes : iterable of Route
        All routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self.prefixes: dict[str, list[str]] = {}
        self.routes: dict[tuple[str, str], Route] = {}
        for route in routes:
            self.routes[route.authority, route.prefix] = route
            bisect.insort(
                self.prefixes.setdefault(route.authority, []),
                route.prefix,
            )

    def find(self, authority: str, path: str) -> Route | None:
        """Return the route of a path, or None."""
        prefix = path[: path.rfind('/') + 1]
        while prefix:
            route = self.routes.get((authority, prefix))
            if route is not None:
                return route
            prefix = prefix[: prefix.rfind('/', 0, -1) + 1]
        return None


class Configuration:
    """One version of what the operator has published; never changes.

    Parameters
    ----------
    version : int
        Larger is newer.
    routes, services, workspaces : iterable
        Its parts.
    limits : CallerLimits
        What callers may send.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        workspaces: Iterable[Workspace],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.table = RouteTable(routes)
        self.services: Mapping[str, Service] = {
            service.name: service for service in services
        }
        self.workspaces: Mapping[str, Workspace] = {
            workspace.name: workspace for workspace in workspaces
        }
        self.holders: Mapping[str, Workspace] = {
            key: workspace
            for workspace in self.workspaces.values()
            for key in workspace.keys
        }
        self.limits = limits

    def rank(self, route: Route, workspace: Workspace | None) -> int:
        """Return a request's importance; 0 goes first."""
        if workspace is None or workspace.rank is None:
            return route.rank
        return workspace.rank * LOWEST_RANK + route.rank
