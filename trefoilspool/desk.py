"""The pure core that gives places at endpoints to requests of all hosts.

Messages come in with the time, verdicts go out; there is no clock, socket or
thread here, so that a recorded day can be replayed.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sortedcontainers import SortedKeyList

from trefoilspool.allowance import Allowances
from trefoilspool.placement import (
    Ended,
    Granted,
    Held,
    PlaceAsk,
    PlaceKey,
    Queued,
    RefusalReason,
    Refused,
    Station,
    Verdict,
)
from trefoilspool.stations import Booking, StationState

__all__ = ['Desk', 'Waiting']

PATIENCE_S = 1.2  # callers leave a stream that is silent for 2 s
PLAIN_PATIENCE_S = 0.8
HOLD_TIMEOUT_S = 1.2  # entries repeat what they hold more often than this
MIN_RETRY_S = 0.2
MAX_RETRY_S = 3.0
MAX_WAITING = 400


class Waiting(NamedTuple):
    """A request without a place, in the order of service."""

    rank: int
    asked: float
    ask: PlaceAsk


def waiting_order(waiting: Waiting) -> tuple[int, float, PlaceKey]:
    """Return the key that sorts the waiting requests of a service."""
    return waiting.rank, waiting.asked, waiting.ask.key


class Desk:
    """Gives out places, keeps limits over all hosts and the retry budget.

    Attributes
    ----------
    stations : dict
        Endpoints that may get work, by name.
    queues : dict
        Waiting requests of each service.
    allowances : Allowances
        Limits and budgets.
    """

    def __init__(self) -> None:
        self.stations: dict[str, StationState] = {}
        self.by_service: dict[str, list[StationState]] = {}
        self.queues: dict[str, SortedKeyList[Waiting]] = {}
        self.waiting: dict[PlaceKey, Waiting] = {}
        self.bookings: dict[PlaceKey, Booking] = {}
        self.refreshed: dict[str, float] = {}
        self.allowances = Allowances()
        self.verdicts: list[Verdict] = []

    def take_verdicts(self) -> list[Verdict]:
        """Return what was decided since the last call."""
        verdicts = self.verdicts
        self.verdicts = []
        return verdicts

    def on_stations(self, stations: Iterable[Station], now: float) -> None:
        """Take the endpoints that may get work."""
        known = self.stations
        self.stations = {}
        self.by_service = {}
        for station in stations:
            state = known.get(station.name)
            if state is None or state.station.started != station.started:
                state = StationState(station)
            state.station = station
            self.stations[station.name] = state
            self.by_service.setdefault(station.service, []).append(state)
        for service in list(self.queues):
            self.serve(service, now)

    def on_ask(self, ask: PlaceAsk, now: float) -> None:
        """Give a place, let the request wait, or refuse it."""
        booking = self.bookings.get(ask.key)
        if booking is not None:
            self.verdicts.append(Granted(ask.key, booking.endpoint))
            return
        if ask.key in self.waiting:
            self.verdicts.append(Queued(ask.key))
            return
        reason = self.refusal(ask, now)
        if reason is not None:
            self.refuse(ask, reason, now)
            return
        waiting = Waiting(ask.rank, ask.asked, ask)
        self.waiting[ask.key] = waiting
        self.queue(ask.service).add(waiting)
        self.serve(ask.service, now)
        if ask.key in self.waiting:
            self.verdicts.append(Queued(ask.key))

    def queue(self, service: str) -> 'SortedKeyList[Waiting]':
        """Return the waiting requests of a service."""
        queue = self.queues.get(service)
        if queue is None:
            queue = SortedKeyList(key=waiting_order)
            self.queues[service] = queue
        return queue

    def refusal(self, ask: PlaceAsk, now: float) -> RefusalReason | None:
        """Return why a new request is refused at once, None if it is not."""
        # A home that has just started may not know the endpoints yet.
        known = self.by_service.get(ask.service, ())
        if known and all(one.station.name in ask.avoid for one in known):
            return RefusalReason.no_endpoint
        if len(self.queue(ask.service)) >= MAX_WAITING:
            return RefusalReason.crowded
        return self.allowances.refusal(ask, now)

    def serve(self, service: str, now: float) -> None:
        """Give free places to the waiting requests of a service."""
        queue = self.queue(service)
        skipped = 0
        while skipped < len(queue):
            ask = queue[skipped].ask
            station = self.best_station(ask, now)
            if station is None:
                if not ask.avoid:
                    return
                skipped += 1
                continue
            self.drop_waiting(ask.key)
            self.grant(ask, station, now)

    def best_station(self, ask: PlaceAsk, now: float) -> StationState | None:
        """Return the free endpoint with the earliest first byte."""
        best = None
        best_s = 0.0
        for state in self.by_service.get(ask.service, ()):
            if state.free <= 0 or state.station.name in ask.avoid:
                continue
            if not state.takes_work(now):
                continue
            first_s = state.first_token_s(ask, now)
            if best is None or first_s < best_s:
                best = state
                best_s = first_s
        return best

    def grant(self, ask: PlaceAsk, state: StationState, now: float) -> None:
        """Give a place at an endpoint to a request."""
        state.book(ask, now)
        self.bookings[ask.key] = state.bookings[ask.key]
        self.allowances.spend(ask, now)
        self.verdicts.append(Granted(ask.key, state.station.name))

    def refuse(self, ask: PlaceAsk, reason: RefusalReason, now: float) -> None:
        """Refuse a request and say when to come back."""
        self.withdraw(ask.key, now)
        self.verdicts.append(
            Refused(ask.key, reason, self.retry_after(ask, reason, now)),
        )

    def retry_after(
        self,
        ask: PlaceAsk,
        reason: RefusalReason,
        now: float,
    ) -> float:
        """Return the seconds after which a place is likely."""
        if reason is RefusalReason.over_limit:
            wait = self.allowances.wait_s(ask, now)
        else:
            wait = MIN_RETRY_S
        return min(max(wait, MIN_RETRY_S), MAX_RETRY_S)

    def drop_waiting(self, key: PlaceKey) -> None:
        """Forget a waiting request."""
        waiting = self.waiting.pop(key, None)
        if waiting is not None:
            self.queues[waiting.ask.service].remove(waiting)

    def withdraw(self, key: PlaceKey, now: float) -> None:
        """Forget a waiting request, which does not count for a limit."""
        waiting = self.waiting.get(key)
        if waiting is not None:
            self.allowances.give_back(waiting.ask, now)
            self.drop_waiting(key)

    def on_ended(self, ended: Ended, now: float) -> None:
        """Free a place and learn from its use."""
        self.withdraw(ended.key, now)
        state = self.stations.get(ended.endpoint)
        if state is not None:
            state.learn(ended, now)
        booking = self.unbook(ended.key)
        if booking is not None:
            self.serve(booking.service, now)

    def unbook(self, key: PlaceKey) -> Booking | None:
        """Free a place."""
        booking = self.bookings.pop(key, None)
        if booking is not None and booking.endpoint in self.stations:
            self.stations[booking.endpoint].bookings.pop(key, None)
        return booking

    def on_roll(
        self,
        entry: str,
        roll: Iterable[Held],
        now: float,
    ) -> None:
        """Take the full list of what an entry host holds."""
        self.refreshed[entry] = now
        listed = set()
        for held in roll:
            listed.add(held.key)
            booking = self.bookings.get(held.key)
            if booking is None or booking.endpoint != held.endpoint:
                self.adopt(held, now)
        fresh = now - HOLD_TIMEOUT_S
        for key, booking in list(self.bookings.items()):
            if key.entry == entry and key not in listed:
                # A grant may still be under way to its entry.
                if booking.granted < fresh:
                    self.release(key, now)

    def adopt(self, held: Held, now: float) -> None:
        """Book a place that an entry chose or holds from another home."""
        self.drop_waiting(held.key)
        self.unbook(held.key)
        booking = Booking(
            held.service,
            held.endpoint,
            now - held.age_s,
            held.prompt_tokens,
            held.output_tokens,
        )
        self.bookings[held.key] = booking
        if held.endpoint in self.stations:
            self.stations[held.endpoint].bookings[held.key] = booking

    def release(self, key: PlaceKey, now: float) -> None:
        """Free a place that nobody uses any more."""
        booking = self.unbook(key)
        if booking is not None:
            self.serve(booking.service, now)

    def tick(self, now: float) -> None:
        """Refuse who has waited too long, and forget lost entry hosts."""
        for waiting in list(self.waiting.values()):
            ask = waiting.ask
            patience = PATIENCE_S if ask.streams else PLAIN_PATIENCE_S
            if now >= min(ask.asked + patience, ask.deadline):
                self.refuse(ask, RefusalReason.crowded, now)
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
        for held in list(self.bookings):
            if held.entry == entry:
                self.release(held, now)
