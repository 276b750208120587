"""An entry host's own choice of endpoints while no home host replies."""

import random
import threading
from collections import defaultdict
from collections.abc import Iterable, Mapping

import logbook

from trefoilspool import clock
from trefoilspool.endpointlimits import EndpointLimits
from trefoilspool.endpointpacer import EndpointPacer
from trefoilspool.peers import PeerRegistry
from trefoilspool.quarantine import Quarantine
from trefoilspool.queueing.waitprediction import RETRY_AFTER_DIVISOR
from trefoilspool.ratelimits import RetryWindow, TokenBucket
from trefoilspool.rollouts.rules import candidate_groups, usable
from trefoilspool.routing import Workspace
from trefoilspool.runverification import DownRuns
from trefoilspool.slotmessages import (
    EndpointSpec,
    Granted,
    RefusalReason,
    Refused,
    SlotDecision,
    SlotRequest,
)

__all__ = ['RETRY_AFTER_S', 'LocalChoice']

SAMPLED_ENDPOINTS = 2
RETRY_AFTER_S = 0.3

logger = logbook.Logger('places')


class LocalChoice:
    """Grants or refuses a slot by the home host's last counts.

    Usable from any thread.

    Parameters
    ----------
    peers : PeerRegistry
        The known hosts.
    quarantine : Quarantine
        Prompt parts that get no endpoint.
    limits : EndpointLimits
        Limits that endpoints have named.

    Attributes
    ----------
    available_endpoints : mapping
        The endpoints by name.
    seen_at : mapping
        When the run of each became available, in seconds.
    loads, levels : mapping
        Held slots by endpoint, and tokens in the rate limit's bucket by
        workspace, as the home host last told.
    ejected : frozenset of str
        Endpoints that get no requests.
    down_runs : DownRuns
        Runs that the home host last called unverified in a grant.
    workspaces : mapping
        Workspaces by name.
    """

    def __init__(
        self,
        peers: PeerRegistry,
        quarantine: Quarantine,
        limits: EndpointLimits,
    ) -> None:
        self.peers = peers
        self.quarantine = quarantine
        # In debt by a random part of a request, so that hosts that lose the
        # home host together do not send at the same times.
        self.pacer = EndpointPacer(limits, -random.random(), limits.alone_per_s)
        self.lock = threading.Lock()
        self.available_endpoints: Mapping[str, EndpointSpec] = {}
        self.seen_at: Mapping[str, float] = {}
        self.loads: Mapping[str, int] = {}
        self.ejected: frozenset[str] = frozenset()
        self.levels: Mapping[str, int] = {}
        self.down_runs = DownRuns()
        self.workspaces: Mapping[str, Workspace] = {}
        self.buckets: dict[str, TokenBucket] = {}
        self.retry_windows: defaultdict[str, RetryWindow] = defaultdict(
            RetryWindow
        )

    def on_available_endpoints(self, endpoints: Iterable[EndpointSpec]) -> None:
        """Replace the endpoints that may get requests."""
        now = clock.now()
        before = self.available_endpoints
        self.available_endpoints = {
            endpoint.name: endpoint for endpoint in endpoints
        }
        self.seen_at = {
            name: self.seen_at[name]
            if name in before and before[name].run == endpoint.run
            else now
            for name, endpoint in self.available_endpoints.items()
        }

    def names(self, service: str, software: str) -> list[str]:
        """Return the names of a service's endpoints of a version, sorted."""
        return sorted(
            endpoint.name
            for endpoint in self.available_endpoints.values()
            if endpoint.service == service and endpoint.software == software
        )

    def on_loads(
        self,
        loads: Mapping[str, int],
        ejected: frozenset[str],
        levels: Mapping[str, int],
    ) -> None:
        """Store the counts of held slots and the levels from the home host.

        Parameters
        ----------
        loads : mapping
            Held slots by endpoint.
        ejected : frozenset of str
            Endpoints that get no requests.
        levels : mapping
            Tokens in the rate limit's token bucket, by workspace.
        """
        self.loads = loads
        self.ejected = ejected
        self.levels = levels

    def on_home_grant(self, grant: Granted, now: float) -> None:
        """Note whether the home host has verified an endpoint's record."""
        endpoint = self.available_endpoints.get(grant.endpoint)
        if endpoint is None:
            return
        if grant.is_verified:
            self.down_runs.forget(endpoint.run)
        else:
            self.down_runs.on_down(endpoint.run, now)

    def may_run(self, ask: SlotRequest, endpoint: EndpointSpec) -> bool:
        """Return whether a request may run at an endpoint's version."""
        if ask.software is None:
            return True
        return ask.allows(endpoint.software) and self.down_runs.is_verified(
            endpoint.run
        )

    def choose(
        self, ask: SlotRequest, own: Mapping[str, int], now: float
    ) -> SlotDecision:
        """Choose the less loaded of two random endpoints.

        Parameters
        ----------
        ask : SlotRequest
            The request.
        own : mapping
            Slots that this host holds, by endpoint.
        now : float
            The present time in seconds.
        """
        if self.quarantine.covered(ask.parts):
            return Refused(ask.key, RefusalReason.quarantined, RETRY_AFTER_S)
        if not self.try_charge(ask, now):
            return Refused(ask.key, RefusalReason.over_limit, RETRY_AFTER_S)
        candidates = [
            endpoint
            for endpoint in self.available_endpoints.values()
            if endpoint.service == ask.service
            and endpoint.name not in ask.avoid
            and endpoint.name not in self.ejected
            and self.may_run(ask, endpoint)
        ]
        candidates = self.by_version(ask, candidates)
        if not candidates:
            return Refused(ask.key, RefusalReason.no_endpoint, RETRY_AFTER_S)
        with self.lock:
            admitted = self.admitted(candidates, now)
            if not admitted:
                return self.refuse_for_limits(ask, candidates, now)
            chosen = self.less_loaded(admitted, own)
            self.pacer.charge(chosen.run, now)
        logger.info(
            'placed_alone',
            extra={'endpoint': chosen.name, 'number': ask.key.number},
        )
        return Granted(
            ask.key,
            chosen.name,
            is_verified=self.down_runs.is_verified(chosen.run),
        )

    def by_version(
        self, ask: SlotRequest, candidates: list[EndpointSpec]
    ) -> list[EndpointSpec]:
        """Return the endpoints that a roll-out allows, if there is one."""
        if ask.version_rule is None:
            return candidates
        endpoints = [
            endpoint
            for endpoint in self.available_endpoints.values()
            if endpoint.service == ask.service
        ]
        allowed = frozenset(usable(ask.version_rule, endpoints))
        groups = candidate_groups(
            ask.version_rule,
            endpoints,
            [endpoint for endpoint in candidates if endpoint in allowed],
        )
        return next(filter(None, groups), [])

    def admitted(
        self, candidates: list[EndpointSpec], now: float
    ) -> list[EndpointSpec]:
        """Return the endpoints that this host may choose itself.

        Those with a limit, or that are brittle, only if there is no other, and
        within an equal share: the home host may grant all of it meanwhile. The
        caller holds the lock.
        """
        limits = self.pacer.limits
        unlimited = [
            endpoint
            for endpoint in candidates
            if limits.alone_per_s(endpoint.run) is None
        ]
        if unlimited:
            return unlimited
        self.pacer.share = 1 / max(1, self.peers.count())
        return [
            endpoint
            for endpoint in candidates
            if self.pacer.admits(endpoint.run, now)
        ]

    def less_loaded(
        self, candidates: list[EndpointSpec], own: Mapping[str, int]
    ) -> EndpointSpec:
        """Return the less loaded of two random endpoints.

        Parameters
        ----------
        candidates : list of EndpointSpec
            The endpoints.
        own : mapping
            Slots that this host holds, by endpoint.
        """
        sample = random.sample(
            candidates, min(SAMPLED_ENDPOINTS, len(candidates))
        )
        return min(
            sample,
            key=lambda endpoint: (
                (self.loads.get(endpoint.name, 0) + own.get(endpoint.name, 0))
                / endpoint.slots
            ),
        )

    def refuse_for_limits(
        self, ask: SlotRequest, candidates: list[EndpointSpec], now: float
    ) -> Refused:
        """Refuse a request that no endpoint takes now, as they have limits."""
        wait_s = self.pacer.wait_s(
            [endpoint.run for endpoint in candidates], 0, now
        )
        most_s = (ask.deadline - now) / RETRY_AFTER_DIVISOR
        return Refused(
            ask.key,
            RefusalReason.crowded,
            max(RETRY_AFTER_S, min(wait_s, most_s)),
        )

    def try_charge(self, ask: SlotRequest, now: float) -> bool:
        """Charge this host's equal share of the workspace's limit.

        Returns
        -------
        bool
            Whether the share, and for a retry the local retry budget, allows
            the request.
        """
        hosts = max(1, self.peers.count())
        is_retry = ask.attempt > 1
        with self.lock:
            window = self.retry_windows[ask.service]
            if not window.allows_retry(now, hosts) and is_retry:
                return False
            window.record(retry=is_retry, now=now)
        limit = self.workspaces.get(ask.workspace)
        if limit is None or not limit.rate or not ask.charge:
            return True
        with self.lock:
            bucket = self.buckets.get(ask.workspace)
            rate, burst = limit.rate / hosts, limit.burst / hosts
            if bucket is None:
                bucket = TokenBucket(rate, burst, now)
                self.buckets[ask.workspace] = bucket
            bucket.set_limit(rate, burst, now)
            if bucket.level <= 0 and ask.attempt == 1:
                return False
            bucket.level -= ask.charge
        return True
