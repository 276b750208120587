"""Which endpoints probably hold a prompt's prefix in their cache."""

from collections import OrderedDict
from collections.abc import Sequence

from trefoilspool.ladder import BLOCK_TOKENS

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

    def record(self, endpoint: str, rungs: Sequence[int]) -> None:
        """Note that an endpoint has computed these prefixes."""
        epoch = self.epochs.setdefault(endpoint, 0)
        for rung in rungs:
            holders = self.holders.pop(rung, {})
            holders[endpoint] = epoch
            self.holders[rung] = holders
        while len(self.holders) > MAX_HASHES:
            self.holders.popitem(last=False)

    def cached_tokens(self, endpoint: str, rungs: Sequence[int]) -> int:
        """Return the tokens of the longest prefix the endpoint holds."""
        epoch = self.epochs.get(endpoint, 0)
        for depth in range(len(rungs) - 1, -1, -1):
            if self.holders.get(rungs[depth], {}).get(endpoint) == epoch:
                return BLOCK_TOKENS << depth
        return 0

    def drop(self, endpoint: str, rungs: Sequence[int]) -> None:
        """Forget prefixes that the endpoint evicted."""
        for rung in rungs:
            self.holders.get(rung, {}).pop(endpoint, None)

    def forget(self, endpoint: str) -> None:
        """Forget all of an endpoint, as after a gap in its events."""
        self.epochs[endpoint] = self.epochs.get(endpoint, 0) + 1
