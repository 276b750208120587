"""Index of the prompt prefixes that endpoints probably have cached."""

from collections import OrderedDict
from collections.abc import Sequence

from trefoilspool.prefixhash import BLOCK_TOKENS

__all__ = ['PrefixIndex']

MAX_HASHES = 65_536


class PrefixIndex:
    """LRU map from prefix hashes to the endpoints that have them cached.

    A wrong entry costs prefill time but never makes a response wrong, since the
    engine computes what its cache does not hold.
    """

    def __init__(self) -> None:
        self.holders: OrderedDict[int, dict[str, int]] = OrderedDict()
        self.epochs: dict[str, int] = {}

    def record(self, endpoint: str, hashes: Sequence[int]) -> None:
        """Record that an endpoint has computed these prefixes."""
        epoch = self.epochs.setdefault(endpoint, 0)
        for prefix_hash in hashes:
            holders = self.holders.pop(prefix_hash, {})
            holders[endpoint] = epoch
            self.holders[prefix_hash] = holders
        while len(self.holders) > MAX_HASHES:
            self.holders.popitem(last=False)

    def cached_tokens(self, endpoint: str, hashes: Sequence[int]) -> int:
        """Return the tokens of the longest prefix an endpoint has cached."""
        epoch = self.epochs.get(endpoint, 0)
        for depth in range(len(hashes) - 1, -1, -1):
            if self.holders.get(hashes[depth], {}).get(endpoint) == epoch:
                return BLOCK_TOKENS << depth
        return 0

    def drop(self, endpoint: str, hashes: Sequence[int]) -> None:
        """Remove prefixes that an endpoint evicted."""
        for prefix_hash in hashes:
            self.holders.get(prefix_hash, {}).pop(endpoint, None)

    def forget(self, endpoint: str) -> None:
        """Invalidate all prefixes of an endpoint, as after missed events."""
        self.epochs[endpoint] = self.epochs.get(endpoint, 0) + 1
