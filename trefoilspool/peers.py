"""Which hosts are here, and which of them is home to the desk."""

import threading
from collections.abc import Iterable
from typing import NamedTuple

import logbook
import xxhash

__all__ = ['HostInfo', 'PeerRegistry']

SUSPECT_S = 0.4  # a host that did not answer is passed over for so long
MAX_SUSPECT_S = 6.0
CALM_S = 10.0  # after which an earlier silence is forgotten
SUSPECT_FACTOR = 2.0
FORGET_S = 30.0
DESK = 'desk'

logger = logbook.Logger('homes')


class HostInfo(NamedTuple):
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


def rank(host: HostInfo) -> tuple[int, int]:
    """Return a host's place in the order of homes, highest first.

    A home has work for all other hosts, so the strongest go first.
    """
    drawn = xxhash.xxh64_intdigest(f'{DESK}|{host.name}'.encode())
    return host.capacity, drawn


class PeerRegistry:
    """The hosts that are known; safe to use from any thread.

    Parameters
    ----------
    own : HostInfo
        This host.
    """

    def __init__(self, own: HostInfo) -> None:
        self.own = own
        self.lock = threading.Lock()
        self.hosts: dict[str, HostInfo] = {own.name: own}
        self.heard: dict[str, float] = {}
        self.told: dict[str, float] = {}
        self.suspects: dict[str, Suspicion] = {}
        self.pardoned: dict[str, Suspicion] = {}

    def update_own(self, host: HostInfo) -> None:
        """Change what this host says of itself."""
        with self.lock:
            self.own = host
            self.hosts[host.name] = host

    def on_heartbeat(self, host: HostInfo, now: float) -> bool:
        """Take a sign of life; False if it is of a former self."""
        with self.lock:
            known = self.hosts.get(host.name)
            if known and host.incarnation < known.incarnation:
                return False
            before = self.answers(host.name)
            self.hosts[host.name] = host
            self.heard[host.name] = now
            suspicion = self.suspects.get(host.name)
            if suspicion is not None and now >= suspicion.until:
                self.pardoned[host.name] = self.suspects.pop(host.name)
            is_back = not before and self.answers(host.name)
        if is_back:
            logger.info(
                'host_answers',
                extra={'peer': host.name, 'of': host.incarnation},
            )
        return True

    def on_reported(self, hosts: Iterable[HostInfo], now: float) -> None:
        """Take what others know; it is no sign of life."""
        with self.lock:
            for host in hosts:
                known = self.hosts.get(host.name)
                if known is None or known.incarnation < host.incarnation:
                    self.hosts[host.name] = host
                    self.told[host.name] = now

    def on_listed(self, hosts: Iterable[HostInfo], now: float) -> None:
        """Take the hosts that the home counts; those are not forgotten."""
        hosts = list(hosts)
        self.on_reported(hosts, now)
        with self.lock:
            for host in hosts:
                self.told[host.name] = now

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

    def home(self) -> HostInfo | None:
        """Return the host that gives places, None if there is none."""
        with self.lock:
            usable = [
                host
                for host in self.hosts.values()
                if not host.leaving and self.answers(host.name)
            ]
        return max(usable, key=rank, default=None)

    def is_among_first(self, count: int) -> bool:
        """Tell whether this host is one of the first in the order of homes."""
        with self.lock:
            ahead = [
                host
                for host in self.hosts.values()
                if rank(host) > rank(self.own)
                and not host.leaving
                and self.answers(host.name)
            ]
        return len(ahead) < count

    def answers(self, name: str) -> bool:
        """Tell whether a host was heard and has not fallen silent since."""
        if name == self.own.name:
            return True
        return name in self.heard and name not in self.suspects

    def unheard(self) -> list[HostInfo]:
        """Return the hosts that should be asked whether they are here."""
        with self.lock:
            return [
                host
                for host in self.hosts.values()
                if not self.answers(host.name)
            ]

    def fresh(self, now: float) -> list[HostInfo]:
        """Return the hosts that were heard of lately, this one included."""
        with self.lock:
            return [
                host
                for host in self.hosts.values()
                if host.name == self.own.name or self.lately(host, now)
            ]

    def lately(self, host: HostInfo, now: float) -> bool:
        """Tell whether a host was heard or told of lately."""
        last = max(
            self.heard.get(host.name, 0),
            self.told.get(host.name, 0),
        )
        return now - last < FORGET_S

    def forget(self, now: float) -> None:
        """Drop hosts that nobody has heard of for long."""
        with self.lock:
            for name, host in list(self.hosts.items()):
                if name != self.own.name and not self.lately(host, now):
                    del self.hosts[name]
                    self.suspects.pop(name, None)
                    self.heard.pop(name, None)
                    logger.info('host_forgotten', extra={'peer': name})

    def count(self) -> int:
        """Return the number of known hosts."""
        return len(self.hosts)
