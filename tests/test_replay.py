"""Replays of the stored traces against the required figures."""

import functools
import pathlib
from typing import NamedTuple

import pytest

from trefoilspool.replay import Replay
from trefoilspool.replaycommand import format_json, replay_file
from trefoilspool.replayfaults import FAULT_HANDLERS
from trefoilspool.replayrecord import ReplayRecord
from trefoilspool.summary import Summary, summarize
from trefoilspool.trace import Trace, load_trace
from trefoilspool.workload import SCENARIOS, make_trace

TRACES = pathlib.Path(__file__).parent.parent / 'traces'
NAMES = tuple(SCENARIOS)
BASELINES = ('round-robin', 'least-outstanding', 'two-choices')
CRASH_TRACES = ('cabrera-death',)
# Traces whose highest tier needs at most 70% of the capacity.
TOP_TIER_FITS = (
    'cabrera-day',
    'cabrera-straggler',
    'cabrera-death',
    'cabrera-home',
    'laagrivarav-rush',
)
# Traces whose load the engines can carry at the speed of an idle engine.
LIGHTLY_LOADED = ('cabrera-day', 'cabrera-straggler', 'cabrera-death')
MAX_FIRST_TOKEN_P95_S = 0.63
MAX_GAP_P95_S = 0.044
MIN_TOP_TIER_GOODPUT_PERCENT = 99.0
MIN_SHARE_OF_BOUND = 0.9
MAX_WASTED_PERCENT = 2.0
MAX_DISPATCHED_PER_REQUEST = 1.1
STRAGGLER = 'e7'
STRAGGLER_PEER = 'e6'  # an engine of the same generation


class ReplayResult(NamedTuple):
    trace: Trace
    record: ReplayRecord
    summary: Summary


@functools.cache
def replay_trace(name: str, policy: str = 'tiered') -> ReplayResult:
    trace = load_trace(TRACES / f'{name}.jsonl')
    record = Replay(trace, policy, FAULT_HANDLERS).run()
    return ReplayResult(trace, record, summarize(trace, record))


def wasted_percent(summary: Summary) -> float:
    return sum(
        share
        for cause, share in summary.waste.items()
        if cause != 'missed_prefix'
    )


def straggler_ratio(record: ReplayRecord, start: float, end: float) -> float:
    """Return the straggler's grants over its peer's in an interval."""
    names = [
        grant.endpoint for grant in record.grants if start <= grant.at < end
    ]
    return names.count(STRAGGLER) / max(1, names.count(STRAGGLER_PEER))


class TestStatedOutcomes:
    @pytest.mark.parametrize('name', NAMES)
    def test_no_tier_inversion(self, name: str) -> None:
        assert replay_trace(name).summary.inversions == 0

    @pytest.mark.parametrize('name', TOP_TIER_FITS)
    def test_top_tier_goodput(self, name: str) -> None:
        top = replay_trace(name).summary.tiers[0]
        assert top.goodput_percent >= MIN_TOP_TIER_GOODPUT_PERCENT

    @pytest.mark.parametrize('name', LIGHTLY_LOADED)
    def test_interactive_latency(self, name: str) -> None:
        for tier in replay_trace(name).summary.tiers[:2]:
            assert tier.first_token_p95 <= MAX_FIRST_TOKEN_P95_S
            assert tier.gap_p95 <= MAX_GAP_P95_S

    @pytest.mark.parametrize('name', ['cabrera-twice', 'laagrivarav-rush'])
    def test_goodput_at_twice_capacity(self, name: str) -> None:
        summary = replay_trace(name).summary
        assert summary.goodput >= MIN_SHARE_OF_BOUND * summary.bound

    @pytest.mark.parametrize(
        'name',
        [name for name in NAMES if name not in CRASH_TRACES],
    )
    def test_wasted_prefill(self, name: str) -> None:
        assert wasted_percent(replay_trace(name).summary) <= MAX_WASTED_PERCENT

    @pytest.mark.parametrize('name', NAMES)
    def test_half_of_the_best_baselines_waste(self, name: str) -> None:
        best = min(
            wasted_percent(replay_trace(name, policy).summary)
            for policy in BASELINES
        )
        assert wasted_percent(replay_trace(name).summary) <= best / 2

    @pytest.mark.parametrize('name', ['laagrivarav-storm', 'cabrera-death'])
    def test_retries_stay_bounded(self, name: str) -> None:
        summary = replay_trace(name).summary
        assert summary.dispatched_per_request <= MAX_DISPATCHED_PER_REQUEST

    def test_straggler_loses_its_share(self) -> None:
        assert (
            straggler_ratio(replay_trace('cabrera-straggler').record, 20, 35)
            < 0.1
        )

    def test_recovered_straggler_works(self) -> None:
        assert (
            straggler_ratio(replay_trace('cabrera-straggler').record, 50, 60)
            > 0.3
        )


class TestDeterminism:
    def test_same_trace_same_bytes(self) -> None:
        path = str(TRACES / 'cabrera-home.jsonl')
        texts = [
            format_json({'tiered': replay_file(path, 'tiered')[1]})
            for _ in range(2)
        ]
        assert texts[0] == texts[1]

    @pytest.mark.parametrize('name', NAMES)
    def test_traces_come_from_their_seed(self, name: str) -> None:
        stored = replay_trace(name).trace
        made = make_trace(name, stored.header['seed'])
        assert stored.requests == made.requests
        assert stored.faults == made.faults
