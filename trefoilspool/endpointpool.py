"""Endpoints that may get requests, and the choice between them."""

import math
from collections.abc import Iterable, Sequence

from trefoilspool.endpointload import EndpointLoad
from trefoilspool.endpointpacer import EndpointPacer
from trefoilspool.limits.refusalpacer import RefusalPacer
from trefoilspool.rollouts.rules import candidate_groups, usable
from trefoilspool.slotmessages import EndpointSpec, SlotRequest

__all__ = ['EndpointPool']

# If a smaller share of a service's endpoints accepts requests, ejections are
# ignored.
MIN_WORKING_SHARE = 0.5
# A response is in time if it is predicted to end within this share of the time
# left before the deadline.
FINISH_SHARE = 0.9


class EndpointPool:
    """Endpoints with their load.

    Parameters
    ----------
    pacer : EndpointPacer
        Counts requests to endpoints that have named a limit.
    refusals : RefusalPacer
        Counts requests that brittle endpoints may have to turn away.

    Attributes
    ----------
    finds_pace : bool
        Whether endpoints that have just started or recovered get requests at
        the pace of their answers.
    finding_pace : set of str
        Endpoints whose pace was being found at the last look.
    confirmed_at : float
        As of when the endpoints' records are confirmed, in seconds; see
        `RecordConfirmation`.
    by_name : dict
        Endpoints by name.
    by_service : dict
        The same endpoints by service.
    """

    def __init__(self, pacer: EndpointPacer, refusals: RefusalPacer) -> None:
        self.pacer = pacer
        self.refusals = refusals
        self.finds_pace = False
        self.finding_pace: set[str] = set()
        self.confirmed_at = -math.inf
        self.by_name: dict[str, EndpointLoad] = {}
        self.by_service: dict[str, list[EndpointLoad]] = {}

    def replace(self, endpoints: Iterable[EndpointSpec]) -> None:
        """Replace the endpoints; those of the same run keep their load."""
        previous = self.by_name
        # Where all endpoints are new, none has just started more than others.
        services = self.by_service
        self.by_name = {}
        self.by_service = {}
        for spec in endpoints:
            endpoint = previous.get(spec.name)
            if endpoint is None or not is_same_run(endpoint.spec, spec):
                endpoint = EndpointLoad(spec)
                if spec.service in services:
                    endpoint.pace.restart()
            endpoint.spec = spec
            self.by_name[spec.name] = endpoint
            self.by_service.setdefault(spec.service, []).append(endpoint)

    def changed_paces(self) -> list[EndpointLoad]:
        """Return endpoints whose pace is being found, or is no longer.

        Each change is returned once.
        """
        if not self.finds_pace:
            return []
        finding = {
            name
            for name, endpoint in self.by_name.items()
            if endpoint.pace.is_finding
        }
        changed = self.finding_pace.symmetric_difference(finding)
        self.finding_pace = finding
        return [
            self.by_name[name] for name in sorted(changed & self.by_name.keys())
        ]

    def of_service(self, service: str) -> Sequence[EndpointLoad]:
        """Return the endpoints of a service."""
        return self.by_service.get(service, ())

    def slots(self, service: str) -> int:
        """Return the number of slots of a service."""
        return sum(endpoint.spec.slots for endpoint in self.of_service(service))

    def accepting(self, ask: SlotRequest) -> Sequence[EndpointLoad]:
        """Return the endpoints at whose versions a request may run."""
        endpoints = self.of_service(ask.service)
        if ask.version_rule is not None:
            endpoints = usable(ask.version_rule, endpoints)
        if ask.software is None:
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.accepts(ask, self.confirmed_at)
        ]

    def slot_share(self, ask: SlotRequest) -> float:
        """Return the share of its service's slots that a request may get."""
        total = self.slots(ask.service)
        usable = sum(endpoint.spec.slots for endpoint in self.accepting(ask))
        return usable / total if total else 1.0

    def admits(self, endpoint: EndpointLoad, now: float) -> bool:
        """Return whether what an endpoint has said allows a request now."""
        run = endpoint.spec.run
        held = len(endpoint.reservations)
        return self.pacer.admits(run, now) and self.refusals.admits(
            run, held, now
        )

    def has_free_slot_for(self, ask: SlotRequest, now: float) -> bool:
        """Return whether any endpoint may get a request now."""
        return any(
            endpoint.free_slots > 0 and self.admits(endpoint, now)
            for endpoint in self.accepting(ask)
        )

    def has_free_slot(self, service: str, now: float) -> bool:
        """Return whether any endpoint of a service may get a request now."""
        return any(
            endpoint.free_slots > 0 and self.admits(endpoint, now)
            for endpoint in self.of_service(service)
        )

    def limit_wait_s(self, ask: SlotRequest, ahead: int, now: float) -> float:
        """Return the seconds that the endpoints' limits keep a request waiting.

        Parameters
        ----------
        ask : SlotRequest
            The request.
        ahead : int
            Number of requests that get an endpoint before it.
        now : float
            The present time in seconds.
        """
        if not self.pacer.limits.by_run:
            return 0
        runs = [
            endpoint.spec.run
            for endpoint in self.accepting(ask)
            if endpoint.spec.name not in ask.avoid
        ]
        return self.pacer.wait_s(runs, ahead, now)

    def best(self, ask: SlotRequest, now: float) -> EndpointLoad | None:
        """Return the endpoint with the best score of those with a free slot."""
        eligible = self.eligible(ask, now)
        if ask.version_rule is None:
            return self.best_of(eligible, ask, now)
        groups = candidate_groups(
            ask.version_rule, self.of_service(ask.service), eligible
        )
        found = (self.best_of(group, ask, now) for group in groups)
        return next(filter(None, found), None)

    def best_of(
        self, eligible: list[EndpointLoad], ask: SlotRequest, now: float
    ) -> EndpointLoad | None:
        """Return the best of some endpoints, None if none has a free slot.

        An endpoint that is too slow to finish in time is chosen only if all
        eligible endpoints are too slow.
        """
        left = (ask.deadline - now) * FINISH_SHARE
        in_time = [
            endpoint
            for endpoint in eligible
            if endpoint.predict_finish_s(ask, now) <= left
        ]
        free = [
            endpoint
            for endpoint in in_time or eligible
            if endpoint.free_slots > 0
        ]
        if self.finds_pace:
            free = [
                endpoint
                for endpoint in free
                if endpoint.pace.admits(len(endpoint.reservations))
            ] or free
        return min(
            free,
            key=lambda endpoint: endpoint.score(ask, now),
            default=None,
        )

    def eligible(self, ask: SlotRequest, now: float) -> list[EndpointLoad]:
        """Return the endpoints that may get a request now.

        If fewer than ``MIN_WORKING_SHARE`` of a service's endpoints accept
        requests, ejections are ignored, as they would overload the rest.
        """
        endpoints = self.accepting(ask)
        working = [
            endpoint
            for endpoint in endpoints
            if endpoint.reliability.accepts_requests(
                now, repeatable=ask.repeatable
            )
        ]
        if len(working) < len(endpoints) * MIN_WORKING_SHARE:
            working = list(endpoints)
        return [
            endpoint
            for endpoint in working
            if endpoint.spec.name not in ask.avoid
            and self.admits(endpoint, now)
        ]


def is_same_run(before: EndpointSpec, now: EndpointSpec) -> bool:
    """Return whether two records are of one run of an endpoint."""
    return before.run == now.run and before.software == now.software
