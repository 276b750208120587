"""What a host has seen of a roll-out: counts of responses by version."""

import math
from collections import Counter, defaultdict
from typing import NamedTuple

from trefoilspool.rollouts.messages import RowKey, Tally
from trefoilspool.slotmessages import AttemptEnding

__all__ = ['GROUPS', 'OTHERS', 'Evidence', 'UsedEndpoint', 'bucket']

# The target's endpoints are counted in so many groups; a bad endpoint spoils
# only its own.
GROUPS = 4
OTHERS = -1  # group of all other versions
BUCKET_RATIO = 1.25  # between the bounds of a bucket
MIN_BUCKETED_S = 0.001
MAX_BUCKET = 60
# Latencies of an endpoint that was just started do not count for so long.
COLD_S = 2.5
# Broken attempts of one endpoint within this time have one cause.
CRASH_WINDOW_S = 2.0
MIN_PACE_EVENTS = 3
MAX_ROUTES = 16  # further routes are counted together
OTHER_ROUTES = '*'

FAILED_ENDINGS = frozenset((AttemptEnding.failed,))
BROKEN_ENDINGS = frozenset((AttemptEnding.broken, AttemptEnding.silent))
COUNTED_ENDINGS = FAILED_ENDINGS | BROKEN_ENDINGS | {AttemptEnding.completed}


def bucket(seconds: float) -> int:
    """Return the number of a duration's bucket; larger ones last longer."""
    if seconds <= MIN_BUCKETED_S:
        return 0
    exact = math.log(seconds / MIN_BUCKETED_S, BUCKET_RATIO)
    return min(MAX_BUCKET, round(exact))


class UsedEndpoint(NamedTuple):
    """An endpoint that gets an attempt.

    Attributes
    ----------
    software : str
        Version of its software.
    group : int
        Its group among the endpoints of the target, the same on all hosts that
        know the same endpoints; `OTHERS` at another version.
    seen_at : float
        When this host first knew of its run, in seconds.
    """

    name: str
    software: str
    group: int
    seen_at: float


class Row:
    """Counts of one route at one group; see `Tally`."""

    def __init__(self) -> None:
        self.requests = 0
        self.failures = 0
        self.first_bytes: Counter[int] = Counter()
        self.paces: Counter[int] = Counter()

    def tally(self) -> Tally:
        """Return the counts."""
        return Tally(
            self.requests,
            self.failures,
            dict(self.first_bytes),
            dict(self.paces),
        )


class Evidence:
    """Counts the responses of a service's endpoints; one host's view.

    Attributes
    ----------
    endpoints : dict
        The endpoints that were used, by name.
    """

    def __init__(self) -> None:
        self.rows: defaultdict[RowKey, Row] = defaultdict(Row)
        self.endpoints: dict[str, UsedEndpoint] = {}
        self.broken_at: dict[str, float] = {}
        self.routes: set[str] = set()

    def on_sent(self, endpoint: UsedEndpoint) -> None:
        """Note the use of an endpoint.

        Its version may not have been known at its first use.
        """
        self.endpoints[endpoint.name] = endpoint

    def on_end(
        self,
        route: str,
        endpoint: str,
        ending: AttemptEnding,
        first_byte_s: float,
        pace_s: float | None,
        now: float,
    ) -> None:
        """Count an attempt that has ended.

        Parameters
        ----------
        route, endpoint : str
            Name of its route and of its endpoint.
        ending : AttemptEnding
            How it ended. Those that say nothing of the endpoint do not count.
        first_byte_s : float
            Seconds to the first byte; 0 if there was none.
        pace_s : float or None
            Mean seconds between two events of a stream.
        now : float
            The present time in seconds.
        """
        if ending not in COUNTED_ENDINGS or self.is_known_crash(
            endpoint, ending, now
        ):
            return
        used = self.endpoints.get(endpoint)
        if used is None:
            return
        row = self.rows[RowKey(self.counted_route(route), used.group)]
        row.requests += 1
        row.failures += ending is not AttemptEnding.completed
        if now - used.seen_at < COLD_S:
            return
        if first_byte_s:
            row.first_bytes[bucket(first_byte_s)] += 1
        if pace_s is not None:
            row.paces[bucket(pace_s)] += 1

    def is_known_crash(
        self, endpoint: str, ending: AttemptEnding, now: float
    ) -> bool:
        """Return whether an attempt broke with others; note when it did."""
        if ending not in BROKEN_ENDINGS:
            return False
        before = self.broken_at.get(endpoint, -math.inf)
        self.broken_at[endpoint] = now
        return now - before < CRASH_WINDOW_S

    def counted_route(self, route: str) -> str:
        """Return the name under which a route is counted."""
        if route not in self.routes and len(self.routes) >= MAX_ROUTES:
            return OTHER_ROUTES
        self.routes.add(route)
        return route

    def tallies(self) -> dict[RowKey, Tally]:
        """Return all counts."""
        return {key: row.tally() for key, row in self.rows.items()}
