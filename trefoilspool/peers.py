"""Which hosts are here, and which of them is home to the desk."""

import threading
from collections.abc import Iterable
from typing import NamedTuple

import logbook
import xxhash

__all__ = ['Card', 'Homes']

SUSPECT_S = 0.4  # a host that did not answer is passed over for so long
MAX_SUSPECT_S = 6.0
CALM_S = 10.0  # after which an earlier silence is forgotten
SUSPECT_FACTOR = 2.0
FORGET_S = 30.0
DESK = 'desk'

logger = logbook.Logger('homes')


class Card(NamedTuple):
    """What a host says of itself.

    Attributes
    ----------
    address : str
        IP address; ports are the same on all hosts.
    incarnation : int
        Larger after each start.
    settings_version : int
        Version of the configuration in force there.
    settings_end, endpoints_end : int
        How far it has read the operator's and the endpoints' records.
    capacity : int
        Processor that it may use, in thousandths of a core; 0 if unknown.
    """

    name: str
    address: str
    incarnation: int
    leaving: bool = False
    settings_version: int = 0
    settings_end: int = 0
    endpoints_end: int = 0
    capacity: int = 0


class Suspicion(NamedTuple):
    """A host did not answer; it counts again once it is heard after a time.

    Attributes
    ----------
    until : float
        Signs of life before this are not enough.
    term : float
        Seconds from the silence until then; doubled by another silence.
    """

    until: float
    term: float


def rank(card: Card) -> tuple[int, int]:
    """Return a host's place in the order of homes, highest first.

    A home has work for all other hosts, so the strongest go first.
    """
    drawn = xxhash.xxh64_intdigest(f'{DESK}|{card.name}'.encode())
    return card.capacity, drawn


class Homes:
    """The hosts that are known; safe to use from any thread.

    Parameters
    ----------
    own : Card
        This host.
    """

    def __init__(self, own: Card) -> None:
        self.own = own
        self.lock = threading.Lock()
        self.cards: dict[str, Card] = {own.name: own}
        self.heard: dict[str, float] = {}
        self.told: dict[str, float] = {}
        self.suspects: dict[str, Suspicion] = {}
        self.pardoned: dict[str, Suspicion] = {}

    def on_own(self, card: Card) -> None:
        """Change what this host says of itself."""
        with self.lock:
            self.own = card
            self.cards[card.name] = card

    def on_heard(self, card: Card, now: float) -> bool:
        """Take a sign of life; False if it is of a former self."""
        with self.lock:
            known = self.cards.get(card.name)
            if known and card.incarnation < known.incarnation:
                return False
            before = self.answers(card.name)
            self.cards[card.name] = card
            self.heard[card.name] = now
            suspicion = self.suspects.get(card.name)
            if suspicion is not None and now >= suspicion.until:
                self.pardoned[card.name] = self.suspects.pop(card.name)
            is_back = not before and self.answers(card.name)
        if is_back:
            logger.info(
                'host_answers',
                extra={'peer': card.name, 'of': card.incarnation},
            )
        return True

    def on_told(self, cards: Iterable[Card], now: float) -> None:
        """Take what others know; it is no sign of life."""
        with self.lock:
            for card in cards:
                known = self.cards.get(card.name)
                if known is None or known.incarnation < card.incarnation:
                    self.cards[card.name] = card
                    self.told[card.name] = now

    def on_listed(self, cards: Iterable[Card], now: float) -> None:
        """Take the hosts that the home counts; those are not forgotten."""
        cards = list(cards)
        self.on_told(cards, now)
        with self.lock:
            for card in cards:
                self.told[card.name] = now

    def on_silence(self, name: str, now: float) -> None:
        """Pass a host over until it is heard, longer each time."""
        with self.lock:
            if name in self.suspects:
                return
            term = SUSPECT_S
            earlier = self.pardoned.pop(name, None)
            if earlier is not None and now < earlier.until + CALM_S:
                term = min(earlier.term * SUSPECT_FACTOR, MAX_SUSPECT_S)
            self.suspects[name] = Suspicion(now + term, term)
        logger.info('host_passed_over', extra={'peer': name, 'for_s': term})

    def home(self) -> Card | None:
        """Return the host that gives places, None if there is none."""
        with self.lock:
            usable = [
                card
                for card in self.cards.values()
                if not card.leaving and self.answers(card.name)
            ]
        return max(usable, key=rank, default=None)

    def is_among_first(self, count: int) -> bool:
        """Tell whether this host is one of the first in the order of homes."""
        with self.lock:
            ahead = [
                card
                for card in self.cards.values()
                if rank(card) > rank(self.own)
                and not card.leaving
                and self.answers(card.name)
            ]
        return len(ahead) < count

    def answers(self, name: str) -> bool:
        """Tell whether a host was heard and has not fallen silent since."""
        if name == self.own.name:
            return True
        return name in self.heard and name not in self.suspects

    def unheard(self) -> list[Card]:
        """Return the hosts that should be asked whether they are here."""
        with self.lock:
            return [
                card
                for card in self.cards.values()
                if not self.answers(card.name)
            ]

    def fresh(self, now: float) -> list[Card]:
        """Return the hosts that were heard of lately, this one included."""
        with self.lock:
            return [
                card
                for card in self.cards.values()
                if card.name == self.own.name or self.lately(card, now)
            ]

    def lately(self, card: Card, now: float) -> bool:
        """Tell whether a host was heard or told of lately."""
        last = max(
            self.heard.get(card.name, 0),
            self.told.get(card.name, 0),
        )
        return now - last < FORGET_S

    def forget(self, now: float) -> None:
        """Drop hosts that nobody has heard of for long."""
        with self.lock:
            for name, card in list(self.cards.items()):
                if name != self.own.name and not self.lately(card, now):
                    del self.cards[name]
                    self.suspects.pop(name, None)
                    self.heard.pop(name, None)
                    logger.info('host_forgotten', extra={'peer': name})

    def count(self) -> int:
        """Return the number of known hosts."""
        return len(self.cards)
