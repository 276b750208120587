"""Which endpoints probably hold a prompt's prefix in their cache."""

from collections import OrderedDict
from collections.abc import Sequence

from trefoilspool.prefixhash import BLOCK_TOKENS

__all__ = ['PrefixIndex']

MAX_HASHES = 65_536


class PrefixIndex:
    """Prefix hashes mapped to endpoints, least recently used dropped.

    A wrong entry costs a missed saving and never a wrong answer, since the
    engine computes what its cache does not hold.
    """

    def __init__(self) -> None:
        self.holders: OrderedDict[int, dict[str, int]] = OrderedDict()
        self.epochs: dict[str, int] = {}

    def record(self, endpoint: str, hashes: Sequence[int]) -> None:
        """Note that an endpoint has computed these prefixes."""
        epoch = self.epochs.setdefault(endpoint, 0)
        for hashed in hashes:
            holders = self.holders.pop(hashed, {})
            holders[endpoint] = epoch
            self.holders[hashed] = holders
        while len(self.holders) > MAX_HASHES:
            self.holders.popitem(last=False)

    def cached_tokens(self, endpoint: str, hashes: Sequence[int]) -> int:
        """Return the tokens of the longest prefix the endpoint holds."""
        epoch = self.epochs.get(endpoint, 0)
        for depth in range(len(hashes) - 1, -1, -1):
            if self.holders.get(hashes[depth], {}).get(endpoint) == epoch:
                return BLOCK_TOKENS << depth
        return 0

    def drop(self, endpoint: str, hashes: Sequence[int]) -> None:
        """Forget prefixes that the endpoint evicted."""
        for hashed in hashes:
            self.holders.get(hashed, {}).pop(endpoint, None)

    def forget(self, endpoint: str) -> None:
        """Forget all of an endpoint, as after a gap in its events."""
        self.epochs[endpoint] = self.epochs.get(endpoint, 0) + 1
