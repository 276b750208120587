"""The hosts of the system, and the choice of the home host among them."""

import threading
from collections.abc import Iterable
from typing import NamedTuple

import logbook
import xxhash

__all__ = ['HostInfo', 'PeerRegistry']

SUSPECT_S = 0.4  # duration of a first suspicion
MAX_SUSPECT_S = 6.0
# An earlier suspicion that ended longer ago does not lengthen the next.
SUSPICION_MEMORY_S = 10.0
SUSPECT_FACTOR = 2.0
HOST_RETENTION_S = 30.0
# Hashed text; the same on all hosts, as each computes the home host itself.
HOME_HASH_KEY = 'desk'

logger = logbook.Logger('homes')


class HostInfo(NamedTuple):
    """The state that a host announces to its peers.

    Attributes
    ----------
    address : str
        IP address; ports are the same on all hosts.
    incarnation : int
        Larger after each start.
    settings_version : int
        Version of the configuration in force there.
    capacity : int
        CPU that it may use, in thousandths of a core; 0 if unknown.
    """

    name: str
    address: str
    incarnation: int
    leaving: bool = False
    settings_version: int = 0
    capacity: int = 0


class Suspicion(NamedTuple):
    """Suspicion of a host that did not respond: it cannot be the home host.

    Attributes
    ----------
    until : float
        Time before which a heartbeat does not end the suspicion, in seconds.
    duration_s : float
        Seconds from the missing response to ``until``; doubled if the host
        fails to respond again.
    """

    until: float
    duration_s: float


def home_preference(host: HostInfo) -> tuple[int, int]:
    """Return the sort key of a host as home host; the largest is preferred.

    The home host schedules for all hosts, so hosts with more CPU are
    preferred. A hash orders hosts of equal capacity.
    """
    tie_breaker = xxhash.xxh64_intdigest(
        f'{HOME_HASH_KEY}|{host.name}'.encode()
    )
    return host.capacity, tie_breaker


class PeerRegistry:
    """The known hosts; safe to use from any thread.

    Parameters
    ----------
    own : HostInfo
        This host.

    Attributes
    ----------
    hosts : dict
        All known hosts by name, with this one.
    last_heartbeat_at : dict
        When each host last sent a heartbeat, in seconds.
    last_reported_at : dict
        When another host last reported the host, in seconds.
    suspects : dict
        The present suspicions, by host.
    past_suspicions : dict
        The last suspicion that ended, by host.
    """

    def __init__(self, own: HostInfo) -> None:
        self.own = own
        self.lock = threading.Lock()
        self.hosts: dict[str, HostInfo] = {own.name: own}
        self.last_heartbeat_at: dict[str, float] = {}
        self.last_reported_at: dict[str, float] = {}
        self.suspects: dict[str, Suspicion] = {}
        self.past_suspicions: dict[str, Suspicion] = {}

    def update_own(self, host: HostInfo) -> None:
        """Replace the state that this host announces."""
        with self.lock:
            self.own = host
            self.hosts[host.name] = host

    def on_heartbeat(self, host: HostInfo, heard_at: float) -> bool:
        """Record a heartbeat; return False for an earlier incarnation.

        Parameters
        ----------
        host : HostInfo
            Its sender.
        heard_at : float
            When it arrived at the earliest, in seconds: one that has waited
            in this host's buffer does not show that its sender is here now.
        """
        with self.lock:
            known = self.hosts.get(host.name)
            if known and host.incarnation < known.incarnation:
                return False
            was_responsive = self.is_responsive(host.name)
            self.hosts[host.name] = host
            before = self.last_heartbeat_at.get(host.name, heard_at)
            self.last_heartbeat_at[host.name] = max(before, heard_at)
            suspicion = self.suspects.get(host.name)
            if suspicion is not None and heard_at >= suspicion.until:
                self.past_suspicions[host.name] = self.suspects.pop(host.name)
            has_recovered = not was_responsive and self.is_responsive(host.name)
        if has_recovered:
            logger.info(
                'host_answers',
                extra={'peer': host.name, 'of': host.incarnation},
            )
        return True

    def on_reported(self, hosts: Iterable[HostInfo], now: float) -> None:
        """Add hosts that others report; this does not count as a heartbeat."""
        with self.lock:
            for host in hosts:
                known = self.hosts.get(host.name)
                if known is None or known.incarnation < host.incarnation:
                    self.hosts[host.name] = host
                    self.last_reported_at[host.name] = now

    def on_host_list(self, hosts: Iterable[HostInfo], now: float) -> None:
        """Add the hosts of a peer's list and restart their retention."""
        hosts = list(hosts)
        self.on_reported(hosts, now)
        with self.lock:
            for host in hosts:
                self.last_reported_at[host.name] = now

    def on_timeout(self, name: str, now: float) -> None:
        """Suspect a host that did not respond, for longer each time."""
        with self.lock:
            if name in self.suspects:
                return
            duration_s = SUSPECT_S
            earlier = self.past_suspicions.pop(name, None)
            if earlier is not None and now < earlier.until + SUSPICION_MEMORY_S:
                duration_s = min(
                    earlier.duration_s * SUSPECT_FACTOR, MAX_SUSPECT_S
                )
            self.suspects[name] = Suspicion(now + duration_s, duration_s)
        logger.info(
            'host_passed_over', extra={'peer': name, 'for_s': duration_s}
        )

    def home(self) -> HostInfo | None:
        """Return the home host, None if no host can be."""
        with self.lock:
            usable = [
                host
                for host in self.hosts.values()
                if not host.leaving and self.is_responsive(host.name)
            ]
        return max(usable, key=home_preference, default=None)

    def is_home(self) -> bool:
        """Return whether this host is the home host."""
        home = self.home()
        return home is not None and home.name == self.own.name

    def is_preferred_home(self, count: int) -> bool:
        """Return whether this is one of the ``count`` preferred home hosts."""
        with self.lock:
            preferred = [
                host
                for host in self.hosts.values()
                if home_preference(host) > home_preference(self.own)
                and not host.leaving
                and self.is_responsive(host.name)
            ]
        return len(preferred) < count

    def is_responsive(self, name: str) -> bool:
        """Return whether a host has sent a heartbeat and is not suspected.

        The caller holds the lock.
        """
        if name == self.own.name:
            return True
        return name in self.last_heartbeat_at and name not in self.suspects

    def responsive(self) -> list[HostInfo]:
        """Return the hosts that have sent a heartbeat and are not suspected."""
        with self.lock:
            return [
                host
                for host in self.hosts.values()
                if self.is_responsive(host.name)
            ]

    def heard_share(self) -> float:
        """Return the share of the known hosts that have sent a heartbeat."""
        with self.lock:
            heard = sum(map(self.is_responsive, self.hosts))
            return heard / len(self.hosts)

    def staying_count(self) -> int:
        """Return the number of known hosts that are not leaving."""
        with self.lock:
            return sum(not host.leaving for host in self.hosts.values())

    def hears_all(self, within_s: float, now: float) -> bool:
        """Return whether every other host has sent a heartbeat lately.

        Only the home host gets them from all. A host that knows no other has
        heard none.
        """
        with self.lock:
            others = [name for name in self.hosts if name != self.own.name]
            return bool(others) and all(
                now - self.last_heartbeat_at.get(name, 0) < within_s
                for name in others
            )

    def heard_since(self, since: float) -> frozenset[str]:
        """Return this host and those with a heartbeat since a time."""
        with self.lock:
            return frozenset(
                name
                for name in self.hosts
                if name == self.own.name
                or self.last_heartbeat_at.get(name, 0) >= since
            )

    def unresponsive(self) -> list[HostInfo]:
        """Return the hosts that are suspected or have sent no heartbeat."""
        with self.lock:
            return [
                host
                for host in self.hosts.values()
                if not self.is_responsive(host.name)
            ]

    def recent(self, now: float) -> list[HostInfo]:
        """Return this host and all with a recent heartbeat or report."""
        with self.lock:
            return [
                host
                for host in self.hosts.values()
                if host.name == self.own.name or self.is_recent(host, now)
            ]

    def relays(self, now: float) -> list[HostInfo]:
        """Return the other hosts that may be asked to relay connections."""
        with self.lock:
            return [
                host
                for host in self.hosts.values()
                if self.may_relay(host, now)
            ]

    def relay(self, name: str, now: float) -> HostInfo | None:
        """Return a host by its name if it may be asked to relay."""
        with self.lock:
            host = self.hosts.get(name)
            return host if host and self.may_relay(host, now) else None

    def may_relay(self, host: HostInfo, now: float) -> bool:
        """Return whether another host may be asked to relay connections.

        The caller holds the lock.
        """
        is_usable = not host.leaving and host.name not in self.suspects
        return (
            is_usable
            and host.name != self.own.name
            and self.is_recent(host, now)
        )

    def is_address_known(self, address: str) -> bool:
        """Return whether a known host has an address."""
        with self.lock:
            return any(host.address == address for host in self.hosts.values())

    def is_recent(self, host: HostInfo, now: float) -> bool:
        """Return whether a heartbeat or report is in the retention period.

        The caller holds the lock.
        """
        last = max(
            self.last_heartbeat_at.get(host.name, 0),
            self.last_reported_at.get(host.name, 0),
        )
        return now - last < HOST_RETENTION_S

    def forget(self, now: float) -> None:
        """Drop hosts without a heartbeat or report in the retention period."""
        with self.lock:
            for name, host in list(self.hosts.items()):
                if name != self.own.name and not self.is_recent(host, now):
                    del self.hosts[name]
                    self.suspects.pop(name, None)
                    self.last_heartbeat_at.pop(name, None)
                    logger.info('host_forgotten', extra={'peer': name})

    def names(self) -> frozenset[str]:
        """Return the names of the known hosts."""
        with self.lock:
            return frozenset(self.hosts)

    def count(self) -> int:
        """Return the number of known hosts."""
        return len(self.hosts)
