"""The pure core that gives places at endpoints to requests of all hosts.

Messages come in with the time, verdicts go out; there is no clock, socket or
thread here, so that a recorded day can be replayed.
"""

from collections import defaultdict
from collections.abc import Iterable

from trefoilspool.endpointload import EndpointLoad, Reservation
from trefoilspool.grantrates import GrantRates
from trefoilspool.minimumshares import MinimumShares
from trefoilspool.ratelimits import RateLimits
from trefoilspool.servicequeue import QueuedRequest, ServiceQueue
from trefoilspool.slotmessages import (
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

PATIENCE_S = 1.0  # callers leave a stream that is silent for 2 s
PATIENCE_SHARE = 0.35  # of the time that a request has
LEAST_WORKING = 0.5  # share of a service's endpoints that is never ejected
SAFETY = 0.9  # share of the time left in which an answer has to end
HOLD_TIMEOUT_S = 1.2  # entries repeat what they hold more often than this
MIN_RETRY_S = 0.2
RETRY_SHARE = 3  # callers come back within a third of the time left


NOT_RUN = frozenset(
    (
        AttemptEnding.unused,
        AttemptEnding.refused,
        AttemptEnding.unreachable,
        AttemptEnding.gone,
    )
)


class SlotScheduler:
    """Gives out places, keeps limits over all hosts and the retry budget.

    Attributes
    ----------
    available_endpoints : dict
        Endpoints that may get work, by name.
    queues : dict
        Waiting requests of each service.
    rate_limits : RateLimits
        Limits and budgets.
    """

    def __init__(self) -> None:
        self.available_endpoints: dict[str, EndpointLoad] = {}
        self.by_service: dict[str, list[EndpointLoad]] = {}
        self.queues: dict[str, ServiceQueue] = {}
        self.waiting: dict[SlotKey, QueuedRequest] = {}
        self.reservations: dict[SlotKey, Reservation] = {}
        self.refreshed: dict[str, float] = {}
        self.rate_limits = RateLimits()
        self.rates = GrantRates()
        self.floors: defaultdict[str, MinimumShares] = defaultdict(
            MinimumShares
        )
        self.decisions: list[SlotDecision] = []
        self.events: list[DecisionEvent] = []

    def take_decisions(self) -> list[SlotDecision]:
        """Return what was decided since the last call."""
        decisions = self.decisions
        self.decisions = []
        return decisions

    def take_events(self) -> list[DecisionEvent]:
        """Return what there is to log since the last call."""
        events = self.events
        self.events = []
        return events

    def on_available_endpoints(
        self, endpoints: Iterable[EndpointSpec], now: float
    ) -> None:
        """Take the endpoints that may get work."""
        known = self.available_endpoints
        self.available_endpoints = {}
        self.by_service = {}
        for spec in endpoints:
            state = known.get(spec.name)
            if state is None or state.spec.started != spec.started:
                state = EndpointLoad(spec)
            state.spec = spec
            self.available_endpoints[spec.name] = state
            self.by_service.setdefault(spec.service, []).append(state)
        for service in list(self.queues):
            self.serve(service, now)

    def on_ask(self, ask: SlotRequest, now: float) -> None:
        """Give a place, let the request wait, or refuse it."""
        reservation = self.reservations.get(ask.key)
        if reservation is not None:
            self.decisions.append(Granted(ask.key, reservation.endpoint))
            return
        if ask.key in self.waiting:
            self.decisions.append(Queued(ask.key))
            return
        reason = self.refusal(ask, now)
        if reason is not RefusalReason.over_limit:
            self.floors[ask.service].on_ask(ask.rank, now)
        if reason is not None:
            self.refuse(ask, reason, now)
            return
        self.waiting[ask.key] = QueuedRequest(ask, self.give_up_at(ask, now))
        self.queue(ask.service).add(ask)
        self.serve(ask.service, now)
        if ask.key in self.waiting:
            self.decisions.append(Queued(ask.key))

    def queue(self, service: str) -> ServiceQueue:
        """Return the waiting requests of a service."""
        return self.queues.setdefault(service, ServiceQueue())

    def wait_s(self, ask: SlotRequest, now: float) -> float:
        """Predict the seconds until a new request gets a place."""
        ahead = self.ahead(ask, now)
        if not ahead:
            return 0
        return ahead / self.rates.of(ask.service, now)

    def ahead(self, ask: SlotRequest, now: float) -> int:
        """Count the requests that get a place before a new one."""
        first = self.floors[ask.service].below(now)
        return self.queue(ask.service).ahead(ask, now, first)

    def give_up_at(self, ask: SlotRequest, now: float) -> float:
        """Return when a request has waited for long enough."""
        since = now if ask.attempt > 1 else ask.asked
        share = (ask.deadline - since) * PATIENCE_SHARE
        return since + min(PATIENCE_S, share)

    def refusal(self, ask: SlotRequest, now: float) -> RefusalReason | None:
        """Return why a new request is refused at once, None if it is not."""
        # A home that has just started may not know the endpoints yet.
        known = self.by_service.get(ask.service, ())
        if known and all(one.spec.name in ask.avoid for one in known):
            return RefusalReason.no_endpoint
        wait = self.wait_s(ask, now)
        if wait and now + wait > self.give_up_at(ask, now):
            return RefusalReason.crowded
        return self.rate_limits.refusal(ask, now)

    def serve(self, service: str, now: float) -> None:
        """Give free places to the waiting requests of a service."""
        queue = self.queue(service)
        first = self.floors[service].below(now) if queue else frozenset()
        for ask in queue.candidates(now, first):
            endpoint = self.best_endpoint(ask, now)
            if endpoint is not None:
                self.drop_waiting(ask.key)
                self.grant(ask, endpoint, now)
            elif not self.has_free(service):
                return

    def has_free(self, service: str) -> bool:
        """Tell whether any endpoint of a service has a free place."""
        return any(one.free > 0 for one in self.by_service.get(service, ()))

    def best_endpoint(
        self, ask: SlotRequest, now: float
    ) -> EndpointLoad | None:
        """Return the free endpoint that serves a request best.

        An endpoint that is too slow to end the answer in time is taken only
        where all are.
        """
        usable = self.usable(ask, now)
        left = (ask.deadline - now) * SAFETY
        able = [one for one in usable if one.finish_s(ask, now) <= left]
        free = [one for one in able or usable if one.free > 0]
        return min(
            free,
            key=lambda one: one.score(ask, now),
            default=None,
        )

    def usable(self, ask: SlotRequest, now: float) -> list[EndpointLoad]:
        """Return the endpoints that may get a request.

        Where most of a service fail, passing them over would leave the rest
        with more than they can do, so then all are used.
        """
        known = self.by_service.get(ask.service, ())
        working = [
            one
            for one in known
            if one.reliability.takes_work(now, repeatable=ask.repeatable)
        ]
        if len(working) < len(known) * LEAST_WORKING:
            working = list(known)
        return [one for one in working if one.spec.name not in ask.avoid]

    def grant(self, ask: SlotRequest, state: EndpointLoad, now: float) -> None:
        """Give a place at an endpoint to a request."""
        state.reserve(ask, now)
        self.reservations[ask.key] = state.reservations[ask.key]
        self.rate_limits.spend(ask, now)
        self.rates.count(ask.service, now)
        self.floors[ask.service].on_grant(ask.rank, now)
        self.decisions.append(Granted(ask.key, state.spec.name))

    def refuse(
        self, ask: SlotRequest, reason: RefusalReason, now: float
    ) -> None:
        """Refuse a request and say when to come back."""
        self.withdraw(ask.key, now)
        retry_after = self.retry_after(ask, reason, now)
        self.decisions.append(Refused(ask.key, reason, retry_after))
        self.events.append(self.refusal_event(ask, reason, now))

    def refusal_event(
        self,
        ask: SlotRequest,
        reason: RefusalReason,
        now: float,
    ) -> DecisionEvent:
        """Return why a request gets no place."""
        bucket = self.rate_limits.buckets.get(ask.workspace)
        return DecisionEvent(
            'place_refused',
            {
                'entry': ask.key.entry,
                'number': ask.key.number,
                'reason': reason.name,
                'service': ask.service,
                'rank': ask.rank,
                'ahead': self.ahead(ask, now),
                'places_a_s': round(self.rates.of(ask.service, now), 1),
                'waited_s': round(now - ask.asked, 3),
                'workspace': ask.workspace,
                'level': bucket and int(bucket.level),
                'endpoints': len(self.by_service.get(ask.service, ())),
            },
        )

    def retry_after(
        self,
        ask: SlotRequest,
        reason: RefusalReason,
        now: float,
    ) -> float:
        """Return the seconds after which a place is likely."""
        most = (ask.deadline - now) / RETRY_SHARE
        if reason is RefusalReason.over_limit:
            wait = self.rate_limits.wait_s(ask, now)
        else:
            wait = self.clear_s(ask, now)
        return min(max(wait, MIN_RETRY_S), max(most, MIN_RETRY_S))

    def clear_s(self, ask: SlotRequest, now: float) -> float:
        """Predict the seconds until the present waiting requests are gone."""
        waiting = len(self.queue(ask.service))
        return waiting / self.rates.of(ask.service, now)

    def drop_waiting(self, key: SlotKey) -> None:
        """Forget a waiting request."""
        waiting = self.waiting.pop(key, None)
        if waiting is not None:
            self.queues[waiting.ask.service].remove(waiting.ask)

    def withdraw(self, key: SlotKey, now: float) -> None:
        """Forget a waiting request, which does not count for a limit."""
        waiting = self.waiting.get(key)
        if waiting is not None:
            ask = waiting.ask
            self.rate_limits.give_back(ask.workspace, ask.charge, now)
            self.drop_waiting(key)

    def on_ended(self, ended: SlotRelease, now: float) -> None:
        """Free a place and learn from its use."""
        self.withdraw(ended.key, now)
        reservation = self.cancel_reservation(ended.key)
        state = self.available_endpoints.get(ended.endpoint)
        if state is not None:
            sent = now if reservation is None else reservation.granted
            self.learn(state, ended, sent, now)
        if reservation is None:
            return
        if ended.ending in NOT_RUN:
            self.rate_limits.give_back(
                reservation.workspace,
                reservation.charge,
                now,
            )
        self.serve(reservation.service, now)

    def learn(
        self,
        state: EndpointLoad,
        ended: SlotRelease,
        sent: float,
        now: float,
    ) -> None:
        """Let an endpoint's record learn; note whether it gets work."""
        before = state.reliability.state
        state.learn(ended, sent, now)
        after = state.reliability.state
        if after is not before:
            self.events.append(
                DecisionEvent(
                    'endpoint_judged',
                    {
                        'endpoint': state.spec.name,
                        'before': before.name,
                        'after': after.name,
                        'ending': ended.ending.name,
                        'failure_share': round(
                            state.reliability.failure_share(now), 3
                        ),
                    },
                )
            )

    def cancel_reservation(self, key: SlotKey) -> Reservation | None:
        """Free a place."""
        reservation = self.reservations.pop(key, None)
        if (
            reservation is not None
            and reservation.endpoint in self.available_endpoints
        ):
            self.available_endpoints[reservation.endpoint].reservations.pop(
                key, None
            )
        return reservation

    def on_held_slots(
        self,
        entry: str,
        held_slots: Iterable[HeldSlot],
        now: float,
    ) -> None:
        """Take the full list of what an entry host holds."""
        self.refreshed[entry] = now
        listed = set()
        for held in held_slots:
            listed.add(held.key)
            reservation = self.reservations.get(held.key)
            if reservation is None or reservation.endpoint != held.endpoint:
                self.adopt(held, now)
        fresh = now - HOLD_TIMEOUT_S
        for key, reservation in list(self.reservations.items()):
            if key.entry == entry and key not in listed:
                # A grant may still be under way to its entry.
                if reservation.granted < fresh:
                    self.release(key, now)

    def adopt(self, held: HeldSlot, now: float) -> None:
        """Book a place that an entry chose or holds from another home."""
        self.drop_waiting(held.key)
        self.cancel_reservation(held.key)
        reservation = Reservation(
            held.service,
            held.endpoint,
            now - held.age_s,
            held.prompt_tokens,
            held.output_tokens,
            '',
            0,
        )
        self.reservations[held.key] = reservation
        if held.endpoint in self.available_endpoints:
            self.available_endpoints[held.endpoint].reservations[held.key] = (
                reservation
            )

    def release(self, key: SlotKey, now: float) -> None:
        """Free a place that nobody uses any more."""
        reservation = self.cancel_reservation(key)
        if reservation is not None:
            self.serve(reservation.service, now)

    def tick(self, now: float) -> None:
        """Refuse who has waited too long, and forget lost entry hosts."""
        for waiting in list(self.waiting.values()):
            if now >= waiting.give_up_at:
                self.refuse(waiting.ask, RefusalReason.crowded, now)
        for entry, heard in list(self.refreshed.items()):
            if now - heard > HOLD_TIMEOUT_S:
                self.forget_entry(entry, now)
        for service in self.queues:
            self.serve(service, now)

    def forget_entry(self, entry: str, now: float) -> None:
        """Free all that a lost entry host held or waited for."""
        self.refreshed.pop(entry, None)
        for asked in list(self.waiting):
            if asked.entry == entry:
                self.withdraw(asked, now)
        for held in list(self.reservations):
            if held.entry == entry:
                self.release(held, now)
