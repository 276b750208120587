"""Rates of endpoints and lengths of answers, learned with bounds."""

import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

from trefoilspool.events import Ask, Pace, Release

__all__ = ['EndpointRates', 'Lengths', 'Peaks', 'bounded_average']

PREFILL_PRIOR = 4000  # prompt tokens a second
GAP_PRIOR_S = 0.03
GAP_TARGET_S = 0.044
MIN_GAP_S = 0.0005
MAX_GAP_S = 5
MIN_PREFILL = 50
MAX_PREFILL = 1_000_000
MAX_STEP = 2.0  # one sample moves an estimate by at most this factor
GAIN = 0.2
MIN_PREFILL_SAMPLE = 64  # shorter prompts measure latency, not rate
MAX_KINDS = 4096
LENGTH_GAIN = 0.1
START_LIMIT = 4
RAISE_BELOW = 0.75  # share of the gap target under which the limit grows
LOWER_FACTOR = 0.85
OVER_BEFORE_LOWER = 2  # one long prompt stalls a whole batch once
FLOOR_SHARE = 0.5  # of the slots
MIN_STREAM_SECONDS = 0.2
TRUSTED_SAMPLES = 10
PEAK_TERM_S = 30.0


def bounded_average(old: float, sample: float, gain: float) -> float:
    """Move an estimate towards a sample, by ``MAX_STEP`` at most."""
    clipped = min(max(sample, old / MAX_STEP), old * MAX_STEP)
    return old * math.exp(gain * math.log(clipped / old))


class Estimate(NamedTuple):
    """Predicted times of a request at an endpoint, in seconds."""

    first_token: float
    finish: float


class EndpointRates:
    """What is known of one endpoint's speed.

    Parameters
    ----------
    slots : int
        The largest limit that learning may reach.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.prefill = float(PREFILL_PRIOR)
        self.gap = GAP_PRIOR_S
        self.limit = float(max(min(START_LIMIT, slots), slots * FLOOR_SHARE))
        self.samples = 0
        self.over = 0

    @property
    def trust(self) -> float:
        """Return a factor below 1 while predictions rest on few samples.

        Too short a prediction costs one request that misses its deadline;
        too long a one would refuse requests that could have run.
        """
        return min(1, (1 + self.samples) / TRUSTED_SAMPLES)

    @property
    def throughput(self) -> float:
        """Return tokens a second with all slots in use, at most."""
        return self.slots / (self.gap * self.trust)

    def predict(self, ask: Ask, cached_tokens: int) -> Estimate:
        """Return the predicted times of a request that starts now."""
        missed = max(0, ask.prompt_tokens - cached_tokens)
        first = self.trust * (missed / self.prefill + self.gap)
        decode = self.trust * ask.output_tokens * self.gap
        return Estimate(first, first + decode)

    def learn_release(self, release: Release) -> None:
        """Learn the prefill rate from a finished request."""
        missed = release.prompt_tokens - release.cached_tokens
        if missed < MIN_PREFILL_SAMPLE or release.first_token <= 0:
            return
        sample = missed / max(release.first_token - self.gap, MIN_GAP_S)
        rate = bounded_average(self.prefill, sample, GAIN)
        self.prefill = min(max(rate, MIN_PREFILL), MAX_PREFILL)

    def learn_pace(self, pace: Pace, outstanding: int) -> float:
        """Learn the gap and the limit; return the measured gap.

        Returns
        -------
        float
            Seconds between tokens, 0 if the sample says nothing.
        """
        stream_seconds = pace.elapsed * pace.streams
        if stream_seconds < MIN_STREAM_SECONDS:
            return 0
        sample = stream_seconds / max(pace.tokens, 1)
        if not pace.tokens and stream_seconds < MAX_GAP_S:
            return 0
        sample = min(max(sample, MIN_GAP_S), MAX_GAP_S)
        self.gap = bounded_average(self.gap, sample, GAIN)
        self.samples += 1
        self.adapt_limit(sample, outstanding)
        return sample

    def adapt_limit(self, gap: float, outstanding: int) -> None:
        """Raise the limit while gaps are short, lower it when they are not."""
        self.over = self.over + 1 if gap > GAP_TARGET_S else 0
        if self.over >= OVER_BEFORE_LOWER:
            floor = max(1.0, self.slots * FLOOR_SHARE)
            self.limit = max(floor, self.limit * LOWER_FACTOR)
        elif gap < GAP_TARGET_S * RAISE_BELOW:
            if outstanding >= math.floor(self.limit):
                self.limit = min(float(self.slots), self.limit + 1)


class Peaks:
    """Recent peaks of the running requests of each tier and those above."""

    def __init__(self, tiers: int) -> None:
        self.levels = [0.0 for _ in range(tiers)]
        self.at = list(self.levels)

    def note(self, tier: int, running: Mapping[int, int], now: float) -> None:
        """Take notice that a request of a tier has started."""
        for level, _ in enumerate(self.levels[tier:], tier):
            count = sum(running[one] for one in range(level + 1))
            self.levels[level] = max(count, self.level(level, now))
            self.at[level] = now

    def level(self, tier: int, now: float) -> float:
        """Return the decayed peak of a tier and those above."""
        age = now - self.at[tier]
        return self.levels[tier] * math.exp(-age / PEAK_TERM_S)

    def spare(self, tier: int, running: Mapping[int, int], now: float) -> int:
        """Return how many places the tiers above may need again soon."""
        above = tier - 1
        count = sum(running[one] for one in range(tier))
        return max(0, math.floor(self.level(above, now)) - count)


class Lengths:
    """Answer lengths by workspace and kind, in tokens.

    The key holds the workspace, so that one workspace's answers never move
    another's estimate.
    """

    def __init__(self) -> None:
        self.means: OrderedDict[tuple[str, str], float] = OrderedDict()

    def expect(self, ask: Ask) -> int:
        """Return the expected length, at most what the ask allows."""
        key = (ask.workspace, ask.kind)
        mean = self.means.get(key, ask.output_tokens / 2)
        return max(1, min(ask.output_tokens, math.ceil(mean)))

    def learn(self, ask: Ask, tokens: int) -> None:
        """Learn from a completed answer."""
        key = (ask.workspace, ask.kind)
        old = self.means.pop(key, max(1.0, ask.output_tokens / 2))
        self.means[key] = bounded_average(old, max(1, tokens), LENGTH_GAIN)
        if len(self.means) > MAX_KINDS:
            self.means.popitem(last=False)
