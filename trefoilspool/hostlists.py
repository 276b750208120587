"""When the home host sends the list of all hosts."""

from collections.abc import Iterable
from typing import NamedTuple

from trefoilspool.peers import HostInfo

__all__ = ['HOST_LIST_S', 'MIN_HOST_LIST_S', 'HostListSchedule']

# Period while no host changes; below peers.HOST_RETENTION_S, so that listed
# hosts are not forgotten.
HOST_LIST_S = 12.0
MIN_HOST_LIST_S = 0.5  # least period when hosts change


class ListedHost(NamedTuple):
    """The state of a host whose change triggers a new list."""

    name: str
    address: str
    incarnation: int
    leaving: bool


class HostListSchedule:
    """Decides when the list is due; it is sent to all, so seldom."""

    def __init__(self) -> None:
        self.sent_at = 0.0
        self.listed: frozenset[ListedHost] = frozenset()

    def due(self, hosts: Iterable[HostInfo], now: float) -> bool:
        """Return whether the list is due; if so, count it as sent.

        Parameters
        ----------
        hosts : iterable of HostInfo
            The hosts that are present.
        now : float
            The present time in seconds.
        """
        present = frozenset(
            ListedHost(host.name, host.address, host.incarnation, host.leaving)
            for host in hosts
        )
        elapsed_s = now - self.sent_at
        changed = present != self.listed and elapsed_s >= MIN_HOST_LIST_S
        if not changed and elapsed_s < HOST_LIST_S:
            return False
        self.listed = present
        self.sent_at = now
        return True
