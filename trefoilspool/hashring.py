"""Assignment of keys to hosts by consistent hashing."""

import bisect
from collections.abc import Iterable

import xxhash

__all__ = ['HashRing']

POINTS_PER_HOST = 8


class HashRing:
    """Hosts on a ring of hashes; a key belongs to those that follow it.

    Hosts that come or go change the assignment of few keys, so hosts with
    slightly different views mostly agree.

    Parameters
    ----------
    names : iterable of str
        Names of the hosts.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.names = frozenset(names)
        self.points = sorted(
            (xxhash.xxh64_intdigest(f'{name}|{point}'.encode()), name)
            for name in self.names
            for point in range(POINTS_PER_HOST)
        )

    def owners(self, key: int, count: int) -> list[str]:
        """Return the first hosts that follow a key.

        Parameters
        ----------
        key : int
            Hash of 64 bits.
        count : int
            Number of hosts; fewer are returned if there are fewer.
        """
        start = bisect.bisect(self.points, (key, ''))
        wanted = min(count, len(self.names))
        owners: list[str] = []
        for _, name in (*self.points[start:], *self.points[:start]):
            if len(owners) == wanted:
                break
            if name not in owners:
                owners.append(name)
        return owners
