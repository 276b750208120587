"""A model of one engine's batch, for the replay of traces."""

from collections import OrderedDict
from typing import NamedTuple

from trefoilspool.events import RequestKey
from trefoilspool.prefixhash import BLOCK_TOKENS
from trefoilspool.trace import EngineSpec

__all__ = ['EngineModel', 'Sequence', 'StepResult']

PREFILL_CHUNK = 512  # prompt tokens of one step


class Sequence:
    """A request in an engine."""

    def __init__(
        self,
        request: RequestKey,
        prompt: int,
        cached: int,
        remaining: int,
        hashes: tuple[int, ...],
    ) -> None:
        self.request = request
        self.cached = cached
        self.prefill = max(1, prompt - cached)
        self.computed = 0
        self.remaining = remaining
        self.produced = 0
        self.hashes = hashes
        self.started_at = 0.0
        self.first_at = 0.0


class StepResult(NamedTuple):
    """What a step brought: first tokens, ended requests, evictions."""

    first: list[Sequence]
    finished: list[Sequence]
    evicted: list[int]


class EngineModel:
    """Continuous batching with a bounded prefix cache.

    Parameters
    ----------
    spec : EngineSpec
        The engine's speeds and sizes.
    """

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.speed = 1.0
        self.alive = True
        self.batch: list[Sequence] = []
        self.queue: list[Sequence] = []
        self.cache: OrderedDict[int, int] = OrderedDict()
        self.cached_tokens = 0
        self.tokens = 0
        self.stream_seconds = 0.0

    def cached(self, hashes: tuple[int, ...], prompt: int) -> int:
        """Return how many of a prompt's tokens are in the cache."""
        for depth in range(len(hashes) - 1, -1, -1):
            if hashes[depth] in self.cache:
                return min(BLOCK_TOKENS << depth, prompt)
        return 0

    def add(self, sequence: Sequence) -> None:
        """Admit a request as it comes."""
        self.queue.append(sequence)

    def remove(self, request: RequestKey) -> Sequence | None:
        """Cancel a request."""
        for waiting in (self.queue, self.batch):
            for sequence in waiting:
                if sequence.request == request:
                    waiting.remove(sequence)
                    return sequence
        return None

    def begin(self) -> float:
        """Admit to the batch; return the next step's seconds, 0 if idle."""
        while self.queue and len(self.batch) < self.spec.slots:
            self.batch.append(self.queue.pop(0))
        if not self.batch or not self.alive:
            return 0
        prefill = sum(one.prefill for one in self.batch)
        gap = self.spec.gap_s * (
            1 + self.spec.batch_cost * (len(self.batch) - 1)
        )
        chunk = min(prefill, PREFILL_CHUNK)
        return (gap + chunk / self.spec.prefill_rate) / self.speed

    def finish(self, now: float, took: float) -> StepResult:
        """End a step: compute a chunk of prompts and a token a stream."""
        done = StepResult([], [], [])
        budget = PREFILL_CHUNK
        for sequence in self.batch:
            if sequence.prefill:
                chunk = min(sequence.prefill, budget)
                budget -= chunk
                sequence.prefill -= chunk
                sequence.computed += chunk
                if not sequence.prefill:
                    done.evicted.extend(self.remember(sequence.hashes))
                continue
            self.decode(sequence, now, took, done)
        for ended in done.finished:
            self.batch.remove(ended)
        return done

    def decode(
        self,
        sequence: Sequence,
        now: float,
        took: float,
        done: StepResult,
    ) -> None:
        """Produce one token of a stream."""
        if sequence.produced:
            self.tokens += 1
            self.stream_seconds += took
        else:
            sequence.first_at = now
            done.first.append(sequence)
        sequence.produced += 1
        sequence.remaining -= 1
        if sequence.remaining <= 0:
            done.finished.append(sequence)

    def remember(self, hashes: tuple[int, ...]) -> list[int]:
        """Cache a prompt's prefixes; return what was evicted."""
        for depth, hashed in enumerate(hashes):
            size = BLOCK_TOKENS << max(0, depth - 1)
            if hashed not in self.cache:
                self.cached_tokens += size
            self.cache.pop(hashed, None)
            self.cache[hashed] = size
        return self.evict()

    def evict(self) -> list[int]:
        """Drop the oldest prefixes until the rest fit."""
        evicted = []
        while self.cached_tokens > self.spec.cache_tokens:
            oldest, freed = self.cache.popitem(last=False)
            self.cached_tokens -= freed
            evicted.append(oldest)
        return evicted
