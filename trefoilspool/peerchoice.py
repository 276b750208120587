"""Which of several peers is read next."""

import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from trefoilspool.peers import HostInfo

__all__ = ['PeerChoice']

FAILURE_MEMORY_S = 10.0
# A peer that has sent nothing for so long may have ended: hosts that read the
# store tell all others every 1.1 s.
HEARD_S = 1.5


class Failures(NamedTuple):
    """Reads of a peer that failed, and the time of the last, in seconds."""

    times: int
    last_at: float


class PeerChoice:
    """Chooses the peer that is the most likely to respond.

    Peers are preferred that have not failed of late, then those that were heard
    of late, then those with the highest version. Equal ones are chosen at
    random, so that hosts do not all read the same peer.
    """

    def __init__(self) -> None:
        self.failures: dict[str, Failures] = {}

    def on_failure(self, name: str, now: float) -> None:
        """Count a read of a peer that failed."""
        self.failures[name] = Failures(self.failure_count(name, now) + 1, now)

    def on_success(self, name: str) -> None:
        """Forget a peer's failures."""
        self.failures.pop(name, None)

    def failure_count(self, name: str, now: float) -> int:
        """Return how often reads of a peer have failed of late."""
        failures = self.failures.get(name)
        if failures is None or now - failures.last_at > FAILURE_MEMORY_S:
            return 0
        return failures.times

    def choose(
        self,
        peers: Iterable[HostInfo],
        heard_at: Mapping[str, float],
        now: float,
    ) -> HostInfo | None:
        """Return the peer to be read, None if there is none.

        Parameters
        ----------
        peers : iterable of HostInfo
            The peers that have what is wanted.
        heard_at : mapping
            When each host was last heard, in seconds.
        now : float
            The present time in seconds.
        """
        return min(
            peers,
            key=lambda host: (
                self.failure_count(host.name, now),
                now - heard_at.get(host.name, 0) > HEARD_S,
                -host.settings_version,
                random.random(),
            ),
            default=None,
        )
