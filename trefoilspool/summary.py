"""Summary of a replay, and the offline bound on its goodput."""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import numpy as np
from hdrh.histogram import HdrHistogram

from trefoilspool.replayrecord import ReplayRecord, RequestOutcome
from trefoilspool.trace import RequestEvent, Trace
from trefoilspool.workload import peak_rate

__all__ = ['Summary', 'TierSummary', 'offline_bound', 'summarize']

US_PER_S = 1_000_000
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
P95 = 95
PERCENT = 100
WASTE_CAUSES = ('discarded', 'cancelled', 'repeated', 'missed_prefix')


class TierSummary(NamedTuple):
    """Figures of a tier.

    Attributes
    ----------
    goodput_percent : float
        Share of the requests that were completed, in percent.
    first_token_p95, gap_p95 : float
        95th percentiles of the time to the first token and of the mean time
        between tokens, over completed requests, in seconds.
    """

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
    """Figures of a replay.

    Attributes
    ----------
    goodput : int
        Completed requests.
    bound : float
        Result of ``offline_bound``, in requests.
    waste : mapping of str to float
        Prefill wasted by cause, in percent of all prefill.
    wasted_percent : float
        Sum of ``waste``.
    dispatched_per_request : float
        Dispatches to an engine per request of a caller.
    inversions : int
        Requests shed while a request of lower priority was running.
    revoked : int
        Permits revoked.
    """

    tiers: tuple[TierSummary, ...]
    goodput: int
    bound: float
    waste: Mapping[str, float]
    wasted_percent: float
    dispatched_per_request: float
    inversions: int
    revoked: int


def duration_percentile(samples_s: Sequence[float], percent: float) -> float:
    """Return a percentile of durations in seconds, 0 if there are none."""
    histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
    for sample_s in samples_s:
        histogram.record_value(max(1, int(sample_s * US_PER_S)))
    if not samples_s:
        return 0
    return float(histogram.get_value_at_percentile(percent) / US_PER_S)


def summarize(trace: Trace, record: ReplayRecord) -> Summary:
    """Return the figures of a replay."""
    by_tier: dict[int, list[RequestOutcome]] = {}
    for outcome in record.outcomes:
        by_tier.setdefault(outcome.request.tier, []).append(outcome)
    tiers = tuple(
        summarize_tier(tier, by_tier[tier]) for tier in sorted(by_tier)
    )
    prefill_tokens = max(1, record.prefill_tokens)
    waste = {
        cause: round(PERCENT * record.waste[cause] / prefill_tokens, 2)
        for cause in WASTE_CAUSES
    }
    return Summary(
        tiers,
        sum(figures.completed for figures in tiers),
        round(offline_bound(trace), 1),
        waste,
        round(sum(waste.values()), 2),
        round(record.dispatched / max(1, record.asked), 3),
        record.inversions,
        record.revoked,
    )


def summarize_tier(tier: int, outcomes: list[RequestOutcome]) -> TierSummary:
    """Return the figures of a tier."""
    completed = [
        outcome for outcome in outcomes if outcome.outcome == 'completed'
    ]
    refused = sum(outcome.outcome == 'refused' for outcome in outcomes)
    late = sum(outcome.outcome == 'late' for outcome in outcomes)
    return TierSummary(
        tier,
        len(outcomes),
        len(completed),
        refused,
        late,
        len(outcomes) - len(completed) - refused - late,
        round(PERCENT * len(completed) / len(outcomes), 2),
        duration_percentile(
            [outcome.first_token_s for outcome in completed], P95
        ),
        duration_percentile(
            [outcome.gap_s for outcome in completed if outcome.gap_s], P95
        ),
    )


def offline_bound(trace: Trace) -> float:
    """Return an upper bound on what a strict-tier scheduler can complete.

    The engines are modelled as a single server with the sum of their peak
    rates. It may preempt a request and serve it at any speed between its
    arrival and its deadline, which are rounded outwards to whole seconds. A
    request's work is its output plus its prompt without the shared prefix,
    converted at the cheapest exchange rate of any engine.

    A set of requests is feasible if, for each interval, the work of the
    requests whose windows lie inside it does not exceed what the server can
    do in it. Feasible sets form a polymatroid, so that the greedy order
    (by tier, then shortest first, each as far as it fits) completes the most.
    Batching limits, the speed of a single stream and cache misses are left
    out, so that no real schedule does better.

    Parameters
    ----------
    trace : Trace
        Requests and engines.

    Returns
    -------
    float
        Number of requests; one that fits in part counts as a fraction.
    """
    peak_tokens_per_s = sum(map(peak_rate, trace.engines))
    end_s = (
        max(math.ceil(event.at + event.timeout_s) for event in trace.requests)
        + 1
    )
    seconds = np.arange(end_s)
    spare_work = peak_tokens_per_s * np.subtract.outer(seconds, seconds).T
    completed = 0.0
    for work, request in greedy_order(trace):
        enclosing = (
            slice(math.floor(request.at) + 1),
            slice(math.ceil(request.at + request.timeout_s), None),
        )
        spare_around = spare_work[enclosing]
        feasible_work = min(work, max(0.0, float(spare_around.min())))
        spare_around -= feasible_work
        completed += feasible_work / work
    return completed


def greedy_order(trace: Trace) -> list[tuple[float, RequestEvent]]:
    """Return requests with their work, by tier and then shortest first."""
    works = [
        (work_tokens(trace, request), request) for request in trace.requests
    ]
    works.sort(key=lambda pair: (pair[1].tier, pair[0], pair[1].number))
    return works


def work_tokens(trace: Trace, request: RequestEvent) -> float:
    """Return a request's work, converted to output tokens."""
    exchange_rate = min(
        peak_rate(engine) / engine.prefill_rate for engine in trace.engines
    )
    unshared_tokens = max(0, request.prompt_tokens - request.prefix_tokens)
    return request.output_tokens + exchange_rate * unshared_tokens
