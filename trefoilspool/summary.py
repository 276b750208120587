"""Summaries of a replay, and the offline bound that they are held to."""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import numpy as np
from hdrh.histogram import HdrHistogram

from trefoilspool.replayrecord import ReplayRecord, Served
from trefoilspool.trace import RequestEvent, Trace
from trefoilspool.workload import peak_rate

__all__ = ['Summary', 'TierSummary', 'offline_bound', 'summarize']

US_PER_S = 1_000_000
HIGHEST_US = 3_600_000_000
DIGITS = 3
P95 = 95
PERCENT = 100
WASTE_CAUSES = ('discarded', 'cancelled', 'repeated', 'missed_prefix')


class TierSummary(NamedTuple):
    """One tier; quantiles are over completed requests, in seconds."""

    tier: int
    asked: int
    completed: int
    refused: int
    late: int
    other: int
    goodput_percent: float
    first_token_p95: float
    gap_p95: float


class Summary(NamedTuple):
    """A replay in figures; waste is a share of all prefill, in percent."""

    tiers: tuple[TierSummary, ...]
    goodput: int
    bound: float
    waste: Mapping[str, float]
    wasted_percent: float
    dispatched_per_request: float
    inversions: int
    revoked: int


def quantile(samples: Sequence[float], percent: float) -> float:
    """Return a quantile of durations in seconds, 0 if there are none."""
    histogram = HdrHistogram(1, HIGHEST_US, DIGITS)
    for sample in samples:
        histogram.record_value(max(1, int(sample * US_PER_S)))
    if not samples:
        return 0
    return float(histogram.get_value_at_percentile(percent) / US_PER_S)


def summarize(trace: Trace, record: ReplayRecord) -> Summary:
    """Return the figures of a replay."""
    by_tier: dict[int, list[Served]] = {}
    for served in record.served:
        by_tier.setdefault(served.request.tier, []).append(served)
    tiers = tuple(
        summarize_tier(tier, by_tier[tier]) for tier in sorted(by_tier)
    )
    prefill = max(1, record.prefill)
    waste = {
        cause: round(PERCENT * record.waste[cause] / prefill, 2)
        for cause in WASTE_CAUSES
    }
    return Summary(
        tiers,
        sum(one.completed for one in tiers),
        round(offline_bound(trace), 1),
        waste,
        round(sum(waste.values()), 2),
        round(record.dispatched / max(1, record.asked), 3),
        record.inversions,
        record.revoked,
    )


def summarize_tier(tier: int, served: list[Served]) -> TierSummary:
    """Return one tier's figures."""
    done = [one for one in served if one.outcome == 'completed']
    refused = sum(one.outcome == 'refused' for one in served)
    late = sum(one.outcome == 'late' for one in served)
    return TierSummary(
        tier,
        len(served),
        len(done),
        refused,
        late,
        len(served) - len(done) - refused - late,
        round(PERCENT * len(done) / len(served), 2),
        quantile([one.first_token_s for one in done], P95),
        quantile([one.gap_s for one in done if one.gap_s], P95),
    )


def offline_bound(trace: Trace) -> float:
    """Return how many requests any strict-tier scheduler could complete.

    All engines together are taken as one server with the sum of their peak
    rates, on which a request may be served in parts and at any speed between
    its arrival and its deadline, rounded outwards to whole seconds. A
    request's work is its output plus its prompt without the shared prefix,
    at the cheapest exchange rate of any engine.

    A set of works fits if, for each interval, the works whose windows lie
    inside it are no more than the server can do in it. Such sets form a
    polymatroid, so that taking tiers in order, and in each the shortest
    first, each as far as it fits, completes the most. Batching limits, the
    speed of a single stream and cache misses are left out, so that no real
    schedule does better.

    Parameters
    ----------
    trace : Trace
        The requests and engines.

    Returns
    -------
    float
        Requests, the last ones in part.
    """
    rate = sum(map(peak_rate, trace.engines))
    end = max(math.ceil(one.at + one.timeout_s) for one in trace.requests) + 1
    seconds = np.arange(end)
    spare = rate * np.subtract.outer(seconds, seconds).T
    total = 0.0
    for work, request in ordered_works(trace):
        window = (
            slice(math.floor(request.at) + 1),
            slice(math.ceil(request.at + request.timeout_s), None),
        )
        around = spare[window]
        fits = min(work, max(0.0, float(around.min())))
        around -= fits
        total += fits / work
    return total


def ordered_works(trace: Trace) -> list[tuple[float, RequestEvent]]:
    """Return works by tier, then the shortest first."""
    works = [(work_of(trace, one), one) for one in trace.requests]
    works.sort(key=lambda pair: (pair[1].tier, pair[0], pair[1].number))
    return works


def work_of(trace: Trace, request: RequestEvent) -> float:
    """Return a request's work in output tokens."""
    exchange = min(
        peak_rate(engine) / engine.prefill_rate for engine in trace.engines
    )
    fresh = max(0, request.prompt_tokens - request.prefix_tokens)
    return request.output_tokens + exchange * fresh
