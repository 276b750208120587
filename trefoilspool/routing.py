"""Routes, services, workspaces and limits of the configuration."""

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    'CallerLimits',
    'Configuration',
    'Engine',
    'RepeatPolicy',
    'Route',
    'RouteTable',
    'Service',
    'WeightedService',
    'Workspace',
]

# Number of route ranks within one workspace rank. Routes of a higher rank count
# as the last, so that they do not go after workspaces of a lower priority.
WORKSPACE_RANK_STEP = 9
MAX_ROUTE_RANK = WORKSPACE_RANK_STEP - 1
MAX_WORKSPACE_RANK = 3000  # keeps ranks within 16 bits on the wire


class RepeatPolicy(IntEnum):
    """Whether a request whose result is unknown may be attempted again.

    ``never``: it may not (at most once). ``always``: it may be sent again.
    ``resumed``: a stream is continued after the last event that the caller has.
    """

    never = 0
    always = 1
    resumed = 2


class WeightedService(NamedTuple):
    """A service of a route and its weight among the route's services."""

    service: str
    weight: float


class Route(NamedTuple):
    """Services and policy for the requests of an authority and path prefix.

    Attributes
    ----------
    authority : str
        Host name of the request, without a port.
    prefix : str
        Path prefix, ending with a slash.
    repeats : RepeatPolicy
        Whether a request may be attempted again when its result is unknown.
    streams : bool
        Whether successful responses are streams of events.
    timeout_s : float
        Upper bound of a request's deadline.
    target_latency_s : float
        Target latency of the first byte.
    rank : int
        Priority class; 0 is the highest.
    max_attempts : int
        Bound on the attempts that are sent to an endpoint.
    anonymous : bool
        Whether requests need no API key.
    """

    name: str
    authority: str
    prefix: str
    repeats: RepeatPolicy
    streams: bool
    timeout_s: float
    target_latency_s: float
    rank: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    anonymous: bool

    def leads_to(self, service: str) -> bool:
        """Return whether a service is one of the route's."""
        return any(
            weighted.service == service for weighted in self.weighted_services
        )

    def choose_service(self, draw: float) -> str:
        """Choose a service by weight, for a random number.

        Parameters
        ----------
        draw : float
            Uniform in [0, 1).
        """
        total = sum(weighted.weight for weighted in self.weighted_services)
        remainder = draw * total
        for weighted in self.weighted_services:
            remainder -= weighted.weight
            if remainder < 0:
                return weighted.service
        return self.weighted_services[-1].service


class Engine(NamedTuple):
    """Properties that all engines of a model service share.

    Attributes
    ----------
    slots : int
        Requests that one engine runs concurrently.
    memory_tokens : int
        Capacity of one engine's cache, in tokens.
    event_tokens : int
        Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    event_tokens: int


class Service(NamedTuple):
    """A set of interchangeable endpoints.

    Attributes
    ----------
    engine : Engine or None
        None for a service without a model.
    """

    name: str
    health_path: str
    engine: Engine | None


class Workspace(NamedTuple):
    """A customer with its API keys and its rate limit.

    Attributes
    ----------
    rank : int or None
        Takes precedence over the rank of the route; None if only the rank of
        the route counts.
    rate : float
        Tokens (or requests) a second over all hosts; 0 for no limit.
    burst : float
        Size of the token bucket, in tokens (or requests).
    counts_tokens : bool
        Whether the limit counts tokens rather than requests.
    default_tokens : int
        Tokens charged for a request that gives no token counts.
    """

    name: str
    keys: frozenset[str]
    rank: int | None
    rate: float
    burst: float
    counts_tokens: bool
    default_tokens: int

    def charge(self, tokens: int) -> int:
        """Return the charge of a request against the limit.

        Parameters
        ----------
        tokens : int
            Prompt and output tokens; 0 if not given.
        """
        if not self.counts_tokens:
            return 1
        return tokens or self.default_tokens


class CallerLimits(NamedTuple):
    """Limits of requests: sizes in bytes, times in seconds; 0 s for any."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float = 0
    idle_timeout_s: float = 0


class RouteTable:
    """Routes by authority and path; the longest matching prefix wins.

    Parameters
    ----------
    routes : iterable of Route
        All routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes: dict[tuple[str, str], Route] = {}
        # Longest prefix by authority, so that a longer path costs no more.
        self.longest: dict[str, int] = {}
        for route in routes:
            self.routes[route.authority, route.prefix] = route
            self.longest[route.authority] = max(
                len(route.prefix), self.longest.get(route.authority, 0)
            )

    def find(self, authority: str, path: str) -> Route | None:
        """Return the route of a path, None if there is none."""
        longest = self.longest.get(authority, 0)
        prefix = path[: path.rfind('/', 0, longest) + 1]
        while prefix:
            route = self.routes.get((authority, prefix))
            if route is not None:
                return route
            prefix = prefix[: prefix.rfind('/', 0, -1) + 1]
        return None


class Configuration:
    """One version of the operator's configuration; immutable.

    Parameters
    ----------
    version : int
        Versions only increase.
    routes, services, workspaces : iterable
        Parts of the configuration.
    limits : CallerLimits
        Size limits of requests.
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
        self.routes = RouteTable(routes)
        self.services: Mapping[str, Service] = {
            service.name: service for service in services
        }
        self.workspaces: Mapping[str, Workspace] = {
            workspace.name: workspace for workspace in workspaces
        }
        self.workspaces_by_key: Mapping[str, Workspace] = {
            key: workspace
            for workspace in self.workspaces.values()
            for key in workspace.keys
        }
        self.limits = limits

    def rank(self, route: Route, workspace: Workspace | None) -> int:
        """Return the priority class of a request; 0 is the highest."""
        route_rank = min(route.rank, MAX_ROUTE_RANK)
        if workspace is None or workspace.rank is None:
            return route_rank
        workspace_rank = min(workspace.rank, MAX_WORKSPACE_RANK)
        return workspace_rank * WORKSPACE_RANK_STEP + route_rank
