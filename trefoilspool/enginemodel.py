"""Model of an engine with continuous batching, for trace replay."""

from collections import OrderedDict
from typing import NamedTuple

from trefoilspool.events import RequestKey
from trefoilspool.prefixhash import BLOCK_TOKENS
from trefoilspool.trace import EngineSpec

__all__ = ['EngineModel', 'Sequence', 'StepResult']

PREFILL_CHUNK_TOKENS = 512  # prompt tokens computed in a step, at most


class Sequence:
    """A request that an engine runs or has queued.

    Parameters
    ----------
    request : RequestKey
        The attempt.
    prompt_tokens : int
        Length of the prompt.
    cached_tokens : int
        Prompt tokens that the prefix cache held at the start.
    output_left : int
        Tokens still to generate.
    prefix_hashes : tuple of int
        Prefix hashes of the prompt.

    Attributes
    ----------
    prefill_left : int
        Prompt tokens still to compute, at least 1 at the start.
    computed_tokens : int
        Prompt tokens computed.
    output_tokens : int
        Tokens generated.
    started_at, first_token_at : float
        Time of the dispatch and of the first token, in seconds.
    """

    def __init__(
        self,
        request: RequestKey,
        prompt_tokens: int,
        cached_tokens: int,
        output_left: int,
        prefix_hashes: tuple[int, ...],
    ) -> None:
        self.request = request
        self.cached_tokens = cached_tokens
        self.prefill_left = max(1, prompt_tokens - cached_tokens)
        self.computed_tokens = 0
        self.output_left = output_left
        self.output_tokens = 0
        self.prefix_hashes = prefix_hashes
        self.started_at = 0.0
        self.first_token_at = 0.0


class StepResult(NamedTuple):
    """Result of a batch step.

    Attributes
    ----------
    first_tokens : list of Sequence
        Sequences that generated their first token.
    finished : list of Sequence
        Sequences that generated their last token.
    evicted : list of int
        Prefix hashes evicted from the cache.
    """

    first_tokens: list[Sequence]
    finished: list[Sequence]
    evicted: list[int]


class EngineModel:
    """Engine with continuous batching and a bounded prefix cache.

    Parameters
    ----------
    spec : EngineSpec
        The engine's speeds and sizes.

    Attributes
    ----------
    speed : float
        Factor on the speeds of ``spec``.
    cache : OrderedDict of int to int
        Tokens that each cached prefix adds to the next shorter one, by its
        hash, least recently used first.
    cache_used_tokens : int
        Sum of the tokens in ``cache``.
    decoded_tokens : int
        Tokens after the first of each stream, since the last pace report.
    stream_s : float
        Seconds spent on ``decoded_tokens``, summed over the streams.
    """

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.speed = 1.0
        self.alive = True
        self.batch: list[Sequence] = []
        self.queue: list[Sequence] = []
        self.cache: OrderedDict[int, int] = OrderedDict()
        self.cache_used_tokens = 0
        self.decoded_tokens = 0
        self.stream_s = 0.0

    def cached_prefix_tokens(
        self,
        prefix_hashes: tuple[int, ...],
        prompt_tokens: int,
    ) -> int:
        """Return the length of a prompt's longest cached prefix in tokens."""
        for depth in range(len(prefix_hashes) - 1, -1, -1):
            if prefix_hashes[depth] in self.cache:
                return min(BLOCK_TOKENS << depth, prompt_tokens)
        return 0

    def enqueue(self, sequence: Sequence) -> None:
        """Add a sequence to the end of the queue."""
        self.queue.append(sequence)

    def remove(self, request: RequestKey) -> Sequence | None:
        """Remove a request from the queue or the batch and return it."""
        for sequences in (self.queue, self.batch):
            for sequence in sequences:
                if sequence.request == request:
                    sequences.remove(sequence)
                    return sequence
        return None

    def begin_step(self) -> float:
        """Fill the batch from the queue; return the next step's duration.

        Returns
        -------
        float
            Seconds; 0 if the batch is empty or the engine has crashed.
        """
        while self.queue and len(self.batch) < self.spec.slots:
            self.batch.append(self.queue.pop(0))
        if not self.batch or not self.alive:
            return 0
        prefill_left = sum(sequence.prefill_left for sequence in self.batch)
        gap_s = self.spec.gap_s * (
            1 + self.spec.batch_cost * (len(self.batch) - 1)
        )
        chunk_tokens = min(prefill_left, PREFILL_CHUNK_TOKENS)
        return (gap_s + chunk_tokens / self.spec.prefill_rate) / self.speed

    def end_step(self, now: float, duration_s: float) -> StepResult:
        """Compute a chunk of the prompts and a token of each decoding stream.

        Parameters
        ----------
        now : float
            Time at the end of the step, in seconds.
        duration_s : float
            Duration of the step.
        """
        result = StepResult([], [], [])
        chunk_left = PREFILL_CHUNK_TOKENS
        for sequence in self.batch:
            if sequence.prefill_left:
                chunk_tokens = min(sequence.prefill_left, chunk_left)
                chunk_left -= chunk_tokens
                sequence.prefill_left -= chunk_tokens
                sequence.computed_tokens += chunk_tokens
                if not sequence.prefill_left:
                    result.evicted.extend(
                        self.cache_prefixes(sequence.prefix_hashes)
                    )
                continue
            self.decode(sequence, now, duration_s, result)
        for finished in result.finished:
            self.batch.remove(finished)
        return result

    def decode(
        self,
        sequence: Sequence,
        now: float,
        duration_s: float,
        result: StepResult,
    ) -> None:
        """Generate one token of a stream."""
        if sequence.output_tokens:
            self.decoded_tokens += 1
            self.stream_s += duration_s
        else:
            sequence.first_token_at = now
            result.first_tokens.append(sequence)
        sequence.output_tokens += 1
        sequence.output_left -= 1
        if sequence.output_left <= 0:
            result.finished.append(sequence)

    def cache_prefixes(self, prefix_hashes: tuple[int, ...]) -> list[int]:
        """Add a prompt's prefixes to the cache; return the evicted hashes."""
        for depth, prefix_hash in enumerate(prefix_hashes):
            # Each prefix is twice as long as the next shorter one, which is
            # cached under its own hash.
            size_tokens = BLOCK_TOKENS << max(0, depth - 1)
            if prefix_hash not in self.cache:
                self.cache_used_tokens += size_tokens
            self.cache.pop(prefix_hash, None)
            self.cache[prefix_hash] = size_tokens
        return self.evict()

    def evict(self) -> list[int]:
        """Evict the least recently used prefixes until the rest fit."""
        evicted = []
        while self.cache_used_tokens > self.spec.cache_tokens:
            oldest, freed_tokens = self.cache.popitem(last=False)
            self.cache_used_tokens -= freed_tokens
            evicted.append(oldest)
        return evicted
