"""How a host keeps in touch with the home host."""

from collections.abc import Iterable

from trefoilspool.peers import HostInfo, PeerRegistry

__all__ = ['HEARTBEATS_PER_DIGEST', 'HomeContact']

HEARTBEAT_S = 0.25
# Lowers the rate of datagrams to the home host, up to MAX_HEARTBEAT_S.
HEARTBEAT_PER_HOST_S = 0.002
MAX_HEARTBEAT_S = 0.5
# The home host replies with a digest to every n-th heartbeat of an entry host.
HEARTBEATS_PER_DIGEST = 4
# A host without a digest, or a home host without a heartbeat, for so long may
# be cut off.
MIN_TIMEOUT_S = 1.5
TIMEOUT_PERIODS = 1.5
# A host that has not reported for so many periods may have another home host.
REPORTED_PERIODS = 1.5


class HomeContact:
    """The digests that this host has received; one writer, many readers.

    Parameters
    ----------
    peers : PeerRegistry
        The known hosts.

    Attributes
    ----------
    source : tuple of str and int
        Name and incarnation of the host that sent the last digest.
    heard_at : float
        When it came, in seconds.
    """

    def __init__(self, peers: PeerRegistry) -> None:
        self.peers = peers
        self.source = ('', 0)
        self.heard_at = 0.0

    def on_digest(self, sender: HostInfo, now: float) -> None:
        """Record a digest."""
        self.source = (sender.name, sender.incarnation)
        self.heard_at = now

    def is_new(self, home: HostInfo) -> bool:
        """Return whether the last digest is not from this home host's run."""
        return self.source != (home.name, home.incarnation)

    def has_heard_other(self) -> bool:
        """Return whether the last digest is from another host."""
        return self.source[0] not in {'', self.peers.own.name}

    def heartbeat_period_s(self) -> float:
        """Return the seconds between heartbeats; grows with the hosts."""
        return min(
            MAX_HEARTBEAT_S,
            HEARTBEAT_S + HEARTBEAT_PER_HOST_S * self.peers.count(),
        )

    def home_share(self, reported_at: Iterable[float], now: float) -> float:
        """Return the part that this host grants of what home hosts share.

        Hosts report to the one that they take for the home host. Others may
        grant the rest to those that do not report here.

        Parameters
        ----------
        reported_at : iterable of float
            When each host last reported its held slots here, in seconds.
        now : float
            The present time in seconds.
        """
        within_s = self.heartbeat_period_s() * REPORTED_PERIODS
        reporting = sum(now - at < within_s for at in reported_at)
        hosts = max(1, self.peers.staying_count())
        return min(1, max(1, reporting) / hosts)

    def is_cut_off(self, now: float) -> bool:
        """Return whether other hosts may know what this one was not told."""
        if self.peers.is_home():
            return not self.peers.hears_all(MIN_TIMEOUT_S, now)
        digest_period_s = self.heartbeat_period_s() * HEARTBEATS_PER_DIGEST
        return now - self.heard_at > max(
            MIN_TIMEOUT_S, digest_period_s * TIMEOUT_PERIODS
        )
