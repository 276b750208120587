"""What an entry host asks of the desk, and what it holds."""

import itertools
import queue
import random
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import logbook

from trefoilspool.peers import PeerRegistry
from trefoilspool.ratelimits import RetryWindow, TokenBucket
from trefoilspool.routing import Workspace
from trefoilspool.slotmessages import (
    AttemptEnding,
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

__all__ = ['SlotClient']

ANSWER_S = 0.03  # a home answers in about 2 ms
REPEAT_S = 0.1
CHOICES = 2
ALONE_S = 0.1  # a request that is newer does not try another home
RETRY_S = 0.3
FIRST_NUMBER_BITS = 40

logger = logbook.Logger('places')

MessageSender = Callable[[str, object], None]


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

    def __init__(self, ask: SlotRequest, endpoint: str, now: float) -> None:
        self.ask = ask
        self.endpoint = endpoint
        self.since = now


class SlotClient:
    """Gets places from the desk's home, or by itself when that is silent.

    Parameters
    ----------
    host : str
        This host.
    peers : PeerRegistry
        Who is here.
    send_message : callable
        Sends an ask or an end to a host's address.
    """

    def __init__(
        self, host: str, peers: PeerRegistry, send_message: MessageSender
    ) -> None:
        self.host = host
        self.peers = peers
        self.send_message = send_message
        self.lock = threading.Lock()
        self.numbers = itertools.count(random.getrandbits(FIRST_NUMBER_BITS))
        self.pending: dict[int, queue.SimpleQueue[SlotDecision]] = {}
        self.held: dict[int, Holding] = {}
        self.available_endpoints: Mapping[str, EndpointSpec] = {}
        self.loads: Mapping[str, int] = {}
        self.ejected: frozenset[str] = frozenset()
        self.levels: Mapping[str, int] = {}
        self.workspaces: Mapping[str, Workspace] = {}
        self.buckets: dict[str, TokenBucket] = {}
        self.window = RetryWindow()

    def new_key(self) -> SlotKey:
        """Return the key of a new attempt."""
        return SlotKey(self.host, next(self.numbers))

    def on_decision(self, address: str, decision: SlotDecision) -> None:
        """Pass a verdict to its request, or give an unwanted place back."""
        inbox = self.pending.get(decision.key.number)
        if inbox is not None:
            inbox.put(decision)
        elif isinstance(decision, Granted):
            if decision.key.number not in self.held:
                self.send_message(
                    address, unused(decision.key, decision.endpoint)
                )

    def on_available_endpoints(self, endpoints: Iterable[EndpointSpec]) -> None:
        """Take the endpoints that may get work."""
        self.available_endpoints = {
            endpoint.name: endpoint for endpoint in endpoints
        }

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

    def acquire(
        self, ask: SlotRequest, gone: Callable[[], bool]
    ) -> SlotDecision:
        """Return a grant or a refusal; waits as long as the desk says.

        Parameters
        ----------
        ask : SlotRequest
            What is wanted; its key is new.
        gone : callable
            Tells whether the caller has hung up.
        """
        number = ask.key.number
        inbox: queue.SimpleQueue[SlotDecision] = queue.SimpleQueue()
        self.pending[number] = inbox
        try:
            decision = self.ask_homes(ask, inbox, gone)
        finally:
            del self.pending[number]
        if isinstance(decision, Granted):
            with self.lock:
                self.held[number] = Holding(
                    ask, decision.endpoint, time.monotonic()
                )
        return decision

    def ask_homes(
        self,
        ask: SlotRequest,
        inbox: 'queue.SimpleQueue[SlotDecision]',
        gone: Callable[[], bool],
    ) -> SlotDecision:
        """Ask the home, then the next one, then decide alone."""
        for _ in range(2):
            home = self.peers.home()
            if home is None:
                break
            decision = self.ask_home(home.address, ask, inbox, gone)
            if decision is not None:
                return decision
            self.peers.on_silence(home.name, time.monotonic())
            logger.info(
                'home_silent',
                extra={'home': home.name, 'number': ask.key.number},
            )
            if time.monotonic() - ask.asked < ALONE_S:
                break
        return self.choose_locally(ask)

    def ask_home(
        self,
        address: str,
        ask: SlotRequest,
        inbox: 'queue.SimpleQueue[SlotDecision]',
        gone: Callable[[], bool],
    ) -> SlotDecision | None:
        """Return the home's verdict, None if it is silent."""
        patience = FIRST_PATIENCE
        silences = 0
        self.send_message(address, ask)
        while silences < patience.tries:
            decision = next_verdict(inbox, patience.term_s)
            if gone():
                self.send_message(address, unused(ask.key))
                return Refused(ask.key, RefusalReason.hopeless, RETRY_S)
            if decision is None:
                silences += 1
                self.send_message(address, ask)
            elif isinstance(decision, Queued):
                patience = QUEUED_PATIENCE
                silences = 0
            else:
                return decision
        return None

    def choose_locally(self, ask: SlotRequest) -> SlotDecision:
        """Choose an endpoint on what this host knows."""
        now = time.monotonic()
        if not self.allowed_locally(ask, now):
            return Refused(ask.key, RefusalReason.over_limit, RETRY_S)
        candidates = [
            endpoint
            for endpoint in self.available_endpoints.values()
            if endpoint.service == ask.service
            and endpoint.name not in ask.avoid
            and endpoint.name not in self.ejected
        ]
        if not candidates:
            return Refused(ask.key, RefusalReason.no_endpoint, RETRY_S)
        own = self.own_counts()
        drawn = random.sample(candidates, min(CHOICES, len(candidates)))
        chosen = min(
            drawn,
            key=lambda endpoint: (
                (self.loads.get(endpoint.name, 0) + own.get(endpoint.name, 0))
                / endpoint.slots
            ),
        )
        logger.info(
            'placed_alone',
            extra={'endpoint': chosen.name, 'number': ask.key.number},
        )
        return Granted(ask.key, chosen.name)

    def allowed_locally(self, ask: SlotRequest, now: float) -> bool:
        """Tell whether this host's even share of the limits allows a send."""
        hosts = max(1, self.peers.count())
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
                bucket = TokenBucket(rate, burst, now)
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

    def end(self, ended: SlotRelease) -> None:
        """Give a place back."""
        with self.lock:
            self.held.pop(ended.key.number, None)
        home = self.peers.home()
        if home is not None:
            self.send_message(home.address, ended)

    def held_slots(self) -> list[HeldSlot]:
        """Return all that this host holds."""
        now = time.monotonic()
        with self.lock:
            return [
                HeldSlot(
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
    inbox: 'queue.SimpleQueue[SlotDecision]',
    term_s: float,
) -> SlotDecision | None:
    """Return the next verdict, None if none comes in time."""
    try:
        return inbox.get(timeout=term_s)
    except queue.Empty:
        return None


def unused(key: SlotKey, endpoint: str = '') -> SlotRelease:
    """Return the end of a place that is not used."""
    return SlotRelease(key, AttemptEnding.unused, endpoint, 0, 0, 0, 0)
