"""Slot scheduler: grants slots at endpoints to the requests of all hosts.

Deterministic: each call passes the time, and the results are read with
`take_decisions` and `take_events`; there is no clock, socket or thread, so that
recorded traffic can be replayed.
"""

import math
from collections import defaultdict
from collections.abc import Iterable

from trefoilspool.crashevidence import CrashReport
from trefoilspool.endpointlimits import EndpointLimits
from trefoilspool.endpointload import EndpointLoad, Reservation
from trefoilspool.endpointpacer import EndpointPacer
from trefoilspool.endpointpool import EndpointPool
from trefoilspool.limits.endpointpace import PaceSign
from trefoilspool.limits.refusalpacer import RefusalPacer
from trefoilspool.promptguard import GuardDecision, PromptGuard
from trefoilspool.quarantine import Quarantine
from trefoilspool.queueing.calibration import Calibration
from trefoilspool.queueing.grantrates import GrantRates
from trefoilspool.queueing.order import QueueOrder, is_late
from trefoilspool.queueing.shares import ServiceShares
from trefoilspool.queueing.waitingrequests import (
    QueuedRequest,
    WaitingRequests,
)
from trefoilspool.queueing.waitprediction import WaitPredictor
from trefoilspool.ratelimits import RateLimits
from trefoilspool.reservations import Reservations
from trefoilspool.rollouts.messages import VersionRule
from trefoilspool.slotevents import judged_event, pace_event, refusal_event
from trefoilspool.slotmessages import (
    UNSENT_ENDINGS,
    AttemptEnding,
    DecisionEvent,
    EndpointSpec,
    Granted,
    HeldSlot,
    Queued,
    RefusalReason,
    Refused,
    SlotDecision,
    SlotKey,
    SlotRelease,
    SlotRequest,
)

__all__ = ['SlotScheduler']

HOLD_TIMEOUT_S = 1.2  # entry hosts report at least every mesh.MAX_HEARTBEAT_S

# Charges of attempts with these endings are refunded.
NOT_RUN_ENDINGS = frozenset(
    (
        AttemptEnding.unused,
        AttemptEnding.refused,
        AttemptEnding.unreachable,
        AttemptEnding.gone,
        AttemptEnding.no_path,
    )
)
# Refused requests that have no claim to a minimum share.
UNCOUNTED_REFUSALS = frozenset(
    (RefusalReason.over_limit, RefusalReason.quarantined)
)
HELD_BACK = frozenset((GuardDecision.waits, GuardDecision.refused))


class SlotScheduler:
    """Grants slots; applies the rate limits and retry budgets of all hosts.

    Attributes
    ----------
    pool : EndpointPool
        Endpoints that may get requests.
    waiting : WaitingRequests
        Requests that wait for a slot.
    reservations : Reservations
        Granted slots that have not been released.
    last_reports : dict
        When the last report of each entry host's held slots was handled.
    last_heard : dict
        When it arrived at the earliest, by entry host.
    listening_since : float
        Since when the silence of an entry host would be noticed, in seconds.
    rate_limits : RateLimits
        Limits and budgets.
    waits : WaitPredictor
        How long requests wait.
    calibration : Calibration
        How well that is predicted.
    guard : PromptGuard
        Prompt parts that get no endpoint.
    pacer : EndpointPacer
        Counts requests to endpoints that have named a limit.
    refusals : RefusalPacer
        Counts requests that brittle endpoints may have to turn away.
    """

    def __init__(
        self,
        quarantine: Quarantine | None = None,
        limits: EndpointLimits | None = None,
    ) -> None:
        self.guard = PromptGuard(quarantine or Quarantine())
        limits = limits or EndpointLimits()
        self.pacer = EndpointPacer(limits)
        self.refusals = RefusalPacer(limits)
        self.pool = EndpointPool(self.pacer, self.refusals)
        self.waiting = WaitingRequests()
        self.reservations = Reservations(self.pool, self.guard)
        self.last_reports: dict[str, float] = {}
        self.last_heard: dict[str, float] = {}
        self.listening_since = 0.0
        self.rate_limits = RateLimits()
        self.grant_rates = GrantRates()
        self.shares: defaultdict[str, ServiceShares] = defaultdict(
            ServiceShares
        )
        self.waits = WaitPredictor(
            self.waiting,
            self.pool,
            self.grant_rates,
            self.shares,
            self.rate_limits,
        )
        self.calibration = Calibration()
        self.decisions: list[SlotDecision] = []
        self.events: list[DecisionEvent] = []

    def use_order(self, order: QueueOrder) -> None:
        """Set the order of waiting requests, before the first of them."""
        self.waiting.order = order

    @property
    def available_endpoints(self) -> dict[str, EndpointLoad]:
        """Return the endpoints that may get requests, by name."""
        return self.pool.by_name

    def take_decisions(self) -> list[SlotDecision]:
        """Return the decisions since the last call."""
        decisions = self.decisions
        self.decisions = []
        return decisions

    def take_events(self) -> list[DecisionEvent]:
        """Return the log events since the last call."""
        events = self.events
        self.events = []
        return events + self.guard.take_events()

    def on_available_endpoints(
        self, endpoints: Iterable[EndpointSpec], now: float
    ) -> None:
        """Replace the endpoints that may get requests."""
        endpoints = list(endpoints)
        self.guard.on_endpoints(endpoints, now)
        self.pool.replace(endpoints)
        for service in list(self.waiting.queues):
            self.grant_waiting(service, now)

    def on_records_confirmed(self, at: float) -> None:
        """Note as of when the endpoints' records are confirmed, in seconds.

        What was read until then has been passed on before.
        """
        self.pool.confirmed_at = at

    def is_verified(self, endpoint: EndpointLoad) -> bool:
        """Return whether an endpoint's record is of the run that serves."""
        return endpoint.is_verified(self.pool.confirmed_at)

    def on_ask(self, ask: SlotRequest, now: float) -> None:
        """Grant a slot, queue the request, or refuse it."""
        reservation = self.reservations.get(ask.key)
        if reservation is not None:
            granted = self.pool.by_name.get(reservation.endpoint)
            self.decisions.append(
                Granted(
                    ask.key,
                    reservation.endpoint,
                    reservation.is_probe,
                    granted is not None and self.is_verified(granted),
                    reservation.run.started_ms,
                )
            )
            return
        if ask.key in self.waiting:
            self.decisions.append(Queued(ask.key))
            return
        reason = self.try_admit(ask, now)
        if reason not in UNCOUNTED_REFUSALS:
            lane = self.waiting.order.lane(ask)
            self.shares[ask.service].on_ask(lane, now)
        if reason is not None:
            self.refuse(ask, reason, now)
            return
        self.waiting.add(
            QueuedRequest(
                ask,
                self.waits.timeout_at(ask, now),
                now,
                self.waits.predict_wait_s(ask, now),
            )
        )
        self.grant_waiting(ask.service, now)
        if ask.key in self.waiting:
            self.decisions.append(Queued(ask.key))

    def on_crash_reports(
        self, entry: str, reports: Iterable[CrashReport], now: float
    ) -> None:
        """Take an entry host's reports of attempts that ended endpoints."""
        for report in reports:
            self.guard.on_report(entry, report, now)
            endpoint = self.pool.by_name.get(report.run.name)
            if report.is_down and endpoint and endpoint.spec.run == report.run:
                endpoint.on_down(now - report.age_s)

    def try_admit(self, ask: SlotRequest, now: float) -> RefusalReason | None:
        """Charge a new request to its workspace, or return why it is refused.

        Returns
        -------
        RefusalReason or None
            Why the request is refused; None if it was charged.
        """
        if self.guard.decide(ask, now) is GuardDecision.refused:
            return RefusalReason.quarantined
        # A new home host may not have the endpoints yet; requests then wait.
        endpoints = self.pool.of_service(ask.service)
        if endpoints and all(
            endpoint.spec.name in ask.avoid
            or not endpoint.accepts(ask, self.pool.confirmed_at)
            for endpoint in endpoints
        ):
            return RefusalReason.no_endpoint
        timeout_at = self.waits.timeout_at(ask, now)
        if not self.waits.has_room(ask, timeout_at, now):
            return RefusalReason.crowded
        return self.rate_limits.try_charge(ask, now)

    def grant_waiting(self, service: str, now: float) -> None:
        """Grant free slots to the waiting requests of a service."""
        queue = self.waiting.queues[service]
        if not queue:
            self.grant_rates.on_empty_queue(service, now)
            return
        if not self.pool.has_free_slot(service, now):
            return
        preferred = self.shares[service].underserved(now)
        held_back = self.is_held_back if self.may_hold_back(service) else None
        # Rules of roll-outs under which no slot is free.
        blocked: set[VersionRule | None] = set()
        for ask in queue.candidates(now, preferred, held_back):
            if ask.version_rule in blocked:
                continue
            if not self.try_grant(ask, now):
                if not self.pool.has_free_slot(service, now):
                    return
                blocked.update(filter(None, (ask.version_rule,)))
        if not queue:
            self.grant_rates.on_empty_queue(service, now)

    def try_grant(self, ask: SlotRequest, now: float) -> bool:
        """Grant the best free slot to a waiting request.

        Returns
        -------
        bool
            Whether it was granted one, or is held back; False if none is free
            for it.
        """
        decision = self.guard.decide(ask, now)
        if decision in HELD_BACK:
            return True
        endpoint = self.pool.best(ask, now)
        if endpoint is None:
            return False
        self.calibrate(ask, now)
        self.waiting.remove(ask.key)
        is_probe = decision is GuardDecision.probe
        self.grant(ask, endpoint, now, is_probe=is_probe)
        return True

    def calibrate(self, ask: SlotRequest, now: float) -> None:
        """Compare the wait of a request that gets a slot with the forecast."""
        waiting = self.waiting.get(ask.key)
        if waiting is not None and now > waiting.since:
            self.calibration.on_granted(waiting, now)

    def may_hold_back(self, service: str) -> bool:
        """Return whether some waiting requests may have to be passed over."""
        return bool(
            self.guard.suspects or service in self.waiting.bound_services()
        )

    def is_held_back(self, ask: SlotRequest, now: float) -> bool:
        """Return whether a waiting request is passed over.

        One whose stream goes on at a version without a free slot must not keep
        the others from the free slots of other versions.
        """
        if ask.software is not None and not self.pool.has_free_slot_for(
            ask, now
        ):
            return True
        return bool(self.guard.suspects) and self.guard.is_held_back(ask, now)

    def grant(
        self,
        ask: SlotRequest,
        endpoint: EndpointLoad,
        now: float,
        *,
        is_probe: bool,
    ) -> None:
        """Grant a slot at an endpoint to a request."""
        reservation = endpoint.reserve(ask, now, is_probe=is_probe)
        self.reservations.add(ask.key, reservation, now)
        self.pacer.charge(reservation.run, now)
        self.refusals.on_granted(reservation.run, ask.key, now)
        self.rate_limits.record_attempt(ask, now)
        order = self.waiting.order
        self.grant_rates.record(ask.service, order.turn(ask, now), now)
        self.shares[ask.service].on_grant(order.lane(ask), now)
        self.decisions.append(
            Granted(
                ask.key,
                endpoint.spec.name,
                is_probe,
                self.is_verified(endpoint),
                endpoint.spec.started_ms,
            )
        )

    def refuse(
        self, ask: SlotRequest, reason: RefusalReason, now: float
    ) -> None:
        """Refuse a request, with a suggested delay before a retry."""
        waiting = self.waiting.get(ask.key)
        if waiting is not None:
            self.calibration.on_refused(waiting)
        self.withdraw(ask.key, now)
        retry_after = self.waits.retry_after(ask, reason, now)
        self.decisions.append(Refused(ask.key, reason, retry_after))
        self.events.append(refusal_event(ask, reason, self.waits, now))

    def withdraw(self, key: SlotKey, now: float) -> None:
        """Remove a waiting request and refund its charge."""
        waiting = self.waiting.get(key)
        if waiting is not None:
            ask = waiting.ask
            self.rate_limits.refund(ask.workspace, ask.charge, now)
            self.waiting.remove(key)

    def on_release(self, release: SlotRelease, now: float) -> None:
        """Free a slot and record how its attempt ended."""
        self.withdraw(release.key, now)
        reservation = self.reservations.get(release.key)
        if reservation is not None:
            self.guard.on_release(release, reservation, now)
        elif release.ending not in UNSENT_ENDINGS:
            self.pacer.charge_elsewhere(self.guard.run(release.endpoint), now)
        self.reservations.cancel(release.key, now)
        self.refusals.on_outcome(self.guard.run(release.endpoint), release.key)
        endpoint = self.available_endpoints.get(release.endpoint)
        if endpoint is not None:
            granted_at = now if reservation is None else reservation.granted_at
            if reservation is not None:
                endpoint.on_answer(
                    release.key, reservation.predicted_s, release.first_s
                )
            self.record_release(endpoint, release, granted_at, now)
        if reservation is None:
            return
        self.grant_rates.on_released(
            reservation.service, now - reservation.granted_at
        )
        if release.ending in NOT_RUN_ENDINGS:
            self.rate_limits.refund(
                reservation.workspace,
                reservation.charge,
                now,
            )
        self.grant_waiting(reservation.service, now)

    def record_release(
        self,
        endpoint: EndpointLoad,
        release: SlotRelease,
        granted_at: float,
        now: float,
    ) -> None:
        """Update an endpoint's statistics; log a change of its state."""
        if release.ending is AttemptEnding.refused:
            held = len(endpoint.reservations)
            self.refusals.on_refused(endpoint.spec.run, held, now)
            endpoint.pace.on_sign(PaceSign.refused)
        before = endpoint.reliability.state
        endpoint.record_release(release, granted_at, now)
        after = endpoint.reliability.state
        if after is not before:
            self.events.append(judged_event(endpoint, before, release, now))

    def on_held_slots(
        self,
        entry: str,
        held_slots: Iterable[HeldSlot],
        now: float,
        heard_at: float | None = None,
    ) -> None:
        """Apply the full list of the slots that an entry host holds.

        Parameters
        ----------
        entry : str
            Name of the host.
        held_slots : iterable of HeldSlot
            The slots, with their ages at ``heard_at``.
        now : float
            The present time in seconds.
        heard_at : float, optional
            When the list arrived at the earliest, in seconds; by default now.
            Slots granted shortly before are not on it.
        """
        heard_at = now if heard_at is None else heard_at
        self.last_reports[entry] = now
        self.last_heard[entry] = max(
            heard_at, self.last_heard.get(entry, heard_at)
        )
        self.guard.on_entries(self.last_reports)
        held_keys = set()
        for held in held_slots:
            held_keys.add(held.key)
            self.on_held_slot(held, now)
        for key in self.reservations.missing(
            entry, held_keys, heard_at - HOLD_TIMEOUT_S
        ):
            self.reclaim(key, now)

    def on_held_slot(self, held: HeldSlot, now: float) -> None:
        """Apply one held slot; it may have been granted elsewhere.

        The entry host chose the endpoint itself, or another home host granted
        the slot.
        """
        reservation = self.reservations.get(held.key)
        if reservation is not None and reservation.endpoint == held.endpoint:
            self.guard.on_held(held, reservation, now)
            self.on_stream(held, reservation)
            return
        self.waiting.remove(held.key)
        adopted = self.reservations.adopt(held, now)
        if reservation is None:
            self.pacer.charge_elsewhere(adopted.run, now)

    def on_stream(self, held: HeldSlot, reservation: Reservation) -> None:
        """Note that a stream has begun, which tells of its endpoint's pace."""
        endpoint = self.available_endpoints.get(held.endpoint)
        if endpoint is not None and held.streaming_s:
            endpoint.on_answer(
                held.key,
                reservation.predicted_s,
                held.age_s - held.streaming_s,
            )

    def reclaim(self, key: SlotKey, now: float) -> None:
        """Free a slot whose release was lost, or whose entry host is lost."""
        reservation = self.reservations.cancel(key, now)
        if reservation is not None:
            self.grant_waiting(reservation.service, now)

    def tick(self, now: float) -> None:
        """Apply queue timeouts, remove lost entry hosts, grant free slots."""
        self.guard.tick(now)
        self.events += map(pace_event, self.pool.changed_paces())
        self.pacer.forget_ended()
        self.refusals.forget_ended()
        for waiting in self.waiting.all():
            if now >= waiting.timeout_at or self.lost_room(waiting, now):
                self.refuse(waiting.ask, RefusalReason.crowded, now)
            elif self.guard.decide(waiting.ask, now) is GuardDecision.refused:
                self.refuse(waiting.ask, RefusalReason.quarantined, now)
        for entry, reported_at in list(self.last_reports.items()):
            silent_since = max(reported_at, self.listening_since)
            if now - silent_since > HOLD_TIMEOUT_S:
                self.remove_entry(entry, now)
        for service in self.waiting.queues:
            self.grant_waiting(service, now)

    def on_stood_still(self, since: float, now: float) -> None:
        """Wait again for the reports of entry hosts, and earn no tokens.

        While this host stood still it could not hear the entry hosts, so their
        silence tells nothing, and another host may have been the home host.

        Parameters
        ----------
        since : float
            When this host stood still at the earliest, in seconds.
        now : float
            The present time in seconds.
        """
        self.listening_since = now
        self.rate_limits.on_stood_still(since, now)
        self.pacer.on_stood_still(since, now)

    def lost_room(self, waiting: QueuedRequest, now: float) -> bool:
        """Return whether a late request waits behind too many on time."""
        if not self.waiting.order.refuses_early(waiting.ask):
            return False
        return is_late(waiting.ask, now) and not self.waits.has_room(
            waiting.ask, waiting.timeout_at, now
        )

    def remove_entry(self, entry: str, now: float) -> None:
        """Drop the slots and waiting requests of a lost entry host."""
        self.last_reports.pop(entry, None)
        self.last_heard.pop(entry, None)
        self.guard.on_entries(self.last_reports)
        for waiting in self.waiting.all():
            if waiting.ask.key.entry == entry:
                self.withdraw(waiting.ask.key, now)
        for held_key in self.reservations.missing(entry, (), math.inf):
            self.reclaim(held_key, now)
