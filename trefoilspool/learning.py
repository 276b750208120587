"""Bounded estimates of endpoint rates, demand peaks and answer lengths."""

import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

from trefoilspool.events import Ask, Pace, Release

__all__ = ['AnswerLengths', 'EndpointRates', 'RunningPeaks', 'bounded_average']

PREFILL_PRIOR_TOKENS_PER_S = 4000
GAP_PRIOR_S = 0.03
GAP_TARGET_S = 0.044  # the limit is lowered while gaps stay above it
MIN_GAP_S = 0.0005
MAX_GAP_S = 5
MIN_PREFILL_TOKENS_PER_S = 50
MAX_PREFILL_TOKENS_PER_S = 1_000_000
MAX_STEP_FACTOR = 2.0  # a sample is clipped to within it of the estimate
RATE_GAIN = 0.2
MIN_PREFILL_SAMPLE_TOKENS = 64  # shorter prompts measure latency, not rate
MAX_LENGTH_KEYS = 4096
LENGTH_GAIN = 0.1
INITIAL_LIMIT = 4
RAISE_BELOW_SHARE = 0.75  # of the gap target; the limit grows below it
LOWER_FACTOR = 0.85
LONG_GAPS_BEFORE_LOWER = 2  # one long prompt delays its whole batch once
MIN_LIMIT_SHARE = 0.5  # of the slots
MIN_STREAM_TIME_S = 0.2
CONFIDENT_SAMPLES = 10  # prior included, for predictions used in full
PEAK_DECAY_S = 30.0


def bounded_average(old: float, sample: float, gain: float) -> float:
    """Move an estimate towards a sample.

    The sample is first clipped to within a factor of ``MAX_STEP_FACTOR`` of
    the estimate.

    Parameters
    ----------
    old : float
        The estimate; positive.
    sample : float
        The new measurement, in the unit of the estimate.
    gain : float
        Weight of the sample, from 0 to 1, on a logarithmic scale.
    """
    clipped = min(max(sample, old / MAX_STEP_FACTOR), old * MAX_STEP_FACTOR)
    return old * math.exp(gain * math.log(clipped / old))


class Estimate(NamedTuple):
    """Predicted times of a request at an endpoint, in seconds."""

    first_token: float
    finish: float


class EndpointRates:
    """Estimated speed and concurrency limit of one endpoint.

    Parameters
    ----------
    slots : int
        Upper bound of the concurrency limit.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.prefill = float(PREFILL_PRIOR_TOKENS_PER_S)
        self.gap = GAP_PRIOR_S
        self.limit = float(
            max(min(INITIAL_LIMIT, slots), slots * MIN_LIMIT_SHARE)
        )
        self.samples = 0
        self.long_gaps = 0

    @property
    def confidence(self) -> float:
        """Return a factor below 1 on predicted times while samples are few.

        An underestimate costs one request its deadline, whereas an
        overestimate refuses requests that could have run.
        """
        return min(1, (1 + self.samples) / CONFIDENT_SAMPLES)

    @property
    def throughput(self) -> float:
        """Return the predicted tokens per second with all slots in use.

        The prediction is too high while samples are few.
        """
        return self.slots / (self.gap * self.confidence)

    def predict(self, ask: Ask, cached_tokens: int) -> Estimate:
        """Predict the times of a request that starts now."""
        uncached = max(0, ask.prompt_tokens - cached_tokens)
        first_token = self.confidence * (uncached / self.prefill + self.gap)
        decode = self.confidence * ask.output_tokens * self.gap
        return Estimate(first_token, first_token + decode)

    def learn_release(self, release: Release) -> None:
        """Update the prefill rate from a completed request."""
        uncached = release.prompt_tokens - release.cached_tokens
        if uncached < MIN_PREFILL_SAMPLE_TOKENS or release.first_token <= 0:
            return
        sample = uncached / max(release.first_token - self.gap, MIN_GAP_S)
        rate = bounded_average(self.prefill, sample, RATE_GAIN)
        self.prefill = min(
            max(rate, MIN_PREFILL_TOKENS_PER_S), MAX_PREFILL_TOKENS_PER_S
        )

    def learn_pace(self, pace: Pace, outstanding: int) -> float:
        """Update the gap between tokens and the limit from a measurement.

        Returns
        -------
        float
            Measured seconds between tokens, 0 if the sample is too small.
        """
        stream_seconds = pace.elapsed * pace.streams
        if stream_seconds < MIN_STREAM_TIME_S:
            return 0
        sample = stream_seconds / max(pace.tokens, 1)
        if not pace.tokens and stream_seconds < MAX_GAP_S:
            return 0
        sample = min(max(sample, MIN_GAP_S), MAX_GAP_S)
        self.gap = bounded_average(self.gap, sample, RATE_GAIN)
        self.samples += 1
        self.adapt_limit(sample, outstanding)
        return sample

    def adapt_limit(self, gap: float, outstanding: int) -> None:
        """Raise a limit that is in use while gaps are short.

        Lower the limit while gaps stay long.
        """
        self.long_gaps = self.long_gaps + 1 if gap > GAP_TARGET_S else 0
        if self.long_gaps >= LONG_GAPS_BEFORE_LOWER:
            floor = max(1.0, self.slots * MIN_LIMIT_SHARE)
            self.limit = max(floor, self.limit * LOWER_FACTOR)
        elif gap < GAP_TARGET_S * RAISE_BELOW_SHARE:
            if outstanding >= math.floor(self.limit):
                self.limit = min(float(self.slots), self.limit + 1)


class RunningPeaks:
    """Recent peaks of running requests, by tier.

    The peak of a tier counts the requests of that tier and of all higher
    tiers; it decays with the time constant ``PEAK_DECAY_S``.
    """

    def __init__(self, tiers: int) -> None:
        self.peaks = [0.0 for _ in range(tiers)]
        self.updated_at = list(self.peaks)

    def observe(
        self, tier: int, running: Mapping[int, int], now: float
    ) -> None:
        """Update the peaks after a request of a tier has started."""
        for lower, _ in enumerate(self.peaks[tier:], tier):
            count = sum(running[member] for member in range(lower + 1))
            self.peaks[lower] = max(count, self.decayed_peak(lower, now))
            self.updated_at[lower] = now

    def decayed_peak(self, tier: int, now: float) -> float:
        """Return the peak of a tier, decayed to the present."""
        age = now - self.updated_at[tier]
        return self.peaks[tier] * math.exp(-age / PEAK_DECAY_S)

    def reserved(
        self, tier: int, running: Mapping[int, int], now: float
    ) -> int:
        """Return the permits to reserve for the tiers above a tier.

        This is their recent peak less their running requests.
        """
        above = tier - 1
        count = sum(running[higher] for higher in range(tier))
        return max(0, math.floor(self.decayed_peak(above, now)) - count)


class AnswerLengths:
    """Average answer lengths by workspace and kind, in tokens.

    The workspace is part of the key, so that no workspace affects the
    estimates of another.
    """

    def __init__(self) -> None:
        self.means: OrderedDict[tuple[str, str], float] = OrderedDict()

    def predict(self, ask: Ask) -> int:
        """Predict an answer's length, at most what the ask allows."""
        key = (ask.workspace, ask.kind)
        mean = self.means.get(key, ask.output_tokens / 2)
        return max(1, min(ask.output_tokens, math.ceil(mean)))

    def learn(self, ask: Ask, tokens: int) -> None:
        """Update the average with the length of a completed answer."""
        key = (ask.workspace, ask.kind)
        old = self.means.pop(key, max(1.0, ask.output_tokens / 2))
        self.means[key] = bounded_average(old, max(1, tokens), LENGTH_GAIN)
        if len(self.means) > MAX_LENGTH_KEYS:
            self.means.popitem(last=False)
