"""What an entry host asks of the desk, and what it holds."""

import itertools
import queue
import random
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import logbook

from trefoilspool.peers import Homes
from trefoilspool.ratelimits import Bucket, RetryWindow
from trefoilspool.routing import Workspace
from trefoilspool.slotmessages import (
    Ended,
    Granted,
    Held,
    PlaceAsk,
    PlaceKey,
    Queued,
    RefusalReason,
    Refused,
    SendEnding,
    Station,
    Verdict,
)

__all__ = ['PlaceClient']

ANSWER_S = 0.03  # a home answers in about 2 ms
REPEAT_S = 0.1
CHOICES = 2
ALONE_S = 0.1  # a request that is newer does not try another home
RETRY_S = 0.3
FIRST_NUMBER_BITS = 40

logger = logbook.Logger('places')

Mailer = Callable[[str, object], None]


class Patience(NamedTuple):
    """How long a home may be silent.

    Attributes
    ----------
    term_s : float
        Seconds after which an ask is repeated, as datagrams may be lost.
    tries : int
        Silent terms after which the home counts as lost.
    """

    term_s: float
    tries: int


FIRST_PATIENCE = Patience(ANSWER_S, 2)
QUEUED_PATIENCE = Patience(REPEAT_S, 3)


class Holding:
    """A place that this host uses."""

    def __init__(self, ask: PlaceAsk, endpoint: str, now: float) -> None:
        self.ask = ask
        self.endpoint = endpoint
        self.since = now


class PlaceClient:
    """Gets places from the desk's home, or by itself when that is silent.

    Parameters
    ----------
    host : str
        This host.
    homes : Homes
        Who is here.
    mail : callable
        Sends an ask or an end to a host's address.
    """

    def __init__(self, host: str, homes: Homes, mail: Mailer) -> None:
        self.host = host
        self.homes = homes
        self.mail = mail
        self.lock = threading.Lock()
        self.numbers = itertools.count(random.getrandbits(FIRST_NUMBER_BITS))
        self.pending: dict[int, queue.SimpleQueue[Verdict]] = {}
        self.held: dict[int, Holding] = {}
        self.stations: Mapping[str, Station] = {}
        self.loads: Mapping[str, int] = {}
        self.ejected: frozenset[str] = frozenset()
        self.levels: Mapping[str, int] = {}
        self.workspaces: Mapping[str, Workspace] = {}
        self.buckets: dict[str, Bucket] = {}
        self.window = RetryWindow()

    def new_key(self) -> PlaceKey:
        """Return the key of a new attempt."""
        return PlaceKey(self.host, next(self.numbers))

    def on_verdict(self, address: str, verdict: Verdict) -> None:
        """Pass a verdict to its request, or give an unwanted place back."""
        inbox = self.pending.get(verdict.key.number)
        if inbox is not None:
            inbox.put(verdict)
        elif isinstance(verdict, Granted):
            if verdict.key.number not in self.held:
                self.mail(address, unused(verdict.key, verdict.endpoint))

    def on_stations(self, stations: Iterable[Station]) -> None:
        """Take the endpoints that may get work."""
        self.stations = {station.name: station for station in stations}

    def on_loads(
        self,
        loads: Mapping[str, int],
        ejected: frozenset[str],
        levels: Mapping[str, int],
    ) -> None:
        """Take the home's counts of held places and levels of limits."""
        self.loads = loads
        self.ejected = ejected
        self.levels = levels

    def acquire(self, ask: PlaceAsk, gone: Callable[[], bool]) -> Verdict:
        """Return a grant or a refusal; waits as long as the desk says.

        Parameters
        ----------
        ask : PlaceAsk
            What is wanted; its key is new.
        gone : callable
            Tells whether the caller has hung up.
        """
        number = ask.key.number
        inbox: queue.SimpleQueue[Verdict] = queue.SimpleQueue()
        self.pending[number] = inbox
        try:
            verdict = self.ask_homes(ask, inbox, gone)
        finally:
            del self.pending[number]
        if isinstance(verdict, Granted):
            with self.lock:
                self.held[number] = Holding(
                    ask, verdict.endpoint, time.monotonic()
                )
        return verdict

    def ask_homes(
        self,
        ask: PlaceAsk,
        inbox: 'queue.SimpleQueue[Verdict]',
        gone: Callable[[], bool],
    ) -> Verdict:
        """Ask the home, then the next one, then decide alone."""
        for _ in range(2):
            home = self.homes.home()
            if home is None:
                break
            verdict = self.ask_home(home.address, ask, inbox, gone)
            if verdict is not None:
                return verdict
            self.homes.on_silence(home.name, time.monotonic())
            logger.info(
                'home_silent',
                extra={'home': home.name, 'number': ask.key.number},
            )
            if time.monotonic() - ask.asked < ALONE_S:
                break
        return self.place_alone(ask)

    def ask_home(
        self,
        address: str,
        ask: PlaceAsk,
        inbox: 'queue.SimpleQueue[Verdict]',
        gone: Callable[[], bool],
    ) -> Verdict | None:
        """Return the home's verdict, None if it is silent."""
        patience = FIRST_PATIENCE
        silences = 0
        self.mail(address, ask)
        while silences < patience.tries:
            verdict = next_verdict(inbox, patience.term_s)
            if gone():
                self.mail(address, unused(ask.key))
                return Refused(ask.key, RefusalReason.hopeless, RETRY_S)
            if verdict is None:
                silences += 1
                self.mail(address, ask)
            elif isinstance(verdict, Queued):
                patience = QUEUED_PATIENCE
                silences = 0
            else:
                return verdict
        return None

    def place_alone(self, ask: PlaceAsk) -> Verdict:
        """Choose an endpoint on what this host knows."""
        now = time.monotonic()
        if not self.allowed_alone(ask, now):
            return Refused(ask.key, RefusalReason.over_limit, RETRY_S)
        candidates = [
            station
            for station in self.stations.values()
            if station.service == ask.service
            and station.name not in ask.avoid
            and station.name not in self.ejected
        ]
        if not candidates:
            return Refused(ask.key, RefusalReason.no_endpoint, RETRY_S)
        own = self.own_counts()
        drawn = random.sample(candidates, min(CHOICES, len(candidates)))
        chosen = min(
            drawn,
            key=lambda station: (
                (self.loads.get(station.name, 0) + own.get(station.name, 0))
                / station.places
            ),
        )
        logger.info(
            'placed_alone',
            extra={'endpoint': chosen.name, 'number': ask.key.number},
        )
        return Granted(ask.key, chosen.name)

    def allowed_alone(self, ask: PlaceAsk, now: float) -> bool:
        """Tell whether this host's even share of the limits allows a send."""
        hosts = max(1, self.homes.count())
        if ask.attempt > 1:
            if self.window.repeats > 2 + self.window.firsts / hosts:
                return False
        self.window.allows(now)
        self.window.add(repeat=ask.attempt > 1, now=now)
        limit = self.workspaces.get(ask.workspace)
        if limit is None or not limit.rate or not ask.charge:
            return True
        with self.lock:
            bucket = self.buckets.get(ask.workspace)
            rate, burst = limit.rate / hosts, limit.burst / hosts
            if bucket is None:
                bucket = Bucket(rate, burst, now)
                self.buckets[ask.workspace] = bucket
            bucket.change(rate, burst, now)
            if bucket.level <= 0 and ask.attempt == 1:
                return False
            bucket.level -= ask.charge
        return True

    def own_counts(self) -> dict[str, int]:
        """Return the places that this host holds, by endpoint."""
        counts: dict[str, int] = {}
        with self.lock:
            for holding in self.held.values():
                counts[holding.endpoint] = counts.get(holding.endpoint, 0) + 1
        return counts

    def end(self, ended: Ended) -> None:
        """Give a place back."""
        with self.lock:
            self.held.pop(ended.key.number, None)
        home = self.homes.home()
        if home is not None:
            self.mail(home.address, ended)

    def roll(self) -> list[Held]:
        """Return all that this host holds."""
        now = time.monotonic()
        with self.lock:
            return [
                Held(
                    holding.ask.key,
                    holding.ask.service,
                    holding.endpoint,
                    holding.ask.prompt_tokens,
                    holding.ask.output_tokens,
                    now - holding.since,
                )
                for holding in self.held.values()
            ]


def next_verdict(
    inbox: 'queue.SimpleQueue[Verdict]',
    term_s: float,
) -> Verdict | None:
    """Return the next verdict, None if none comes in time."""
    try:
        return inbox.get(timeout=term_s)
    except queue.Empty:
        return None


def unused(key: PlaceKey, endpoint: str = '') -> Ended:
    """Return the end of a place that is not used."""
    return Ended(key, SendEnding.unused, endpoint, 0, 0, 0, 0)
