"""Learned rates and prefixes: bounds, recovery and invalidation."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilspool import events
from trefoilspool.learning import MAX_STEP_FACTOR, EndpointRates
from trefoilspool.prefix import PrefixIndex


class TestLearning:
    def test_effect_of_outlier_is_bounded(self) -> None:
        rates = EndpointRates(16)
        before = rates.gap
        rates.learn_pace(events.Pace('e', 1, 1, 1000.0), 0)
        assert rates.gap <= before * MAX_STEP_FACTOR
        rates.learn_pace(events.Pace('e', 1, 10_000_000, 1.0), 0)
        assert rates.gap >= before / MAX_STEP_FACTOR

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 10**6), st.floats(0, 100))))
    def test_limits_stay_in_bounds(
        self,
        samples: list[tuple[int, float]],
    ) -> None:
        rates = EndpointRates(16)
        for tokens, elapsed in samples:
            rates.learn_pace(events.Pace('e', 1, tokens, elapsed), 16)
            assert 1 <= rates.limit <= 16
            assert math.isfinite(rates.gap)

    def test_gap_recovers_after_slow_period(self) -> None:
        rates = EndpointRates(16)
        for _ in range(50):
            rates.learn_pace(events.Pace('e', 1, 1, 1.0), 1)
        for _ in range(50):
            rates.learn_pace(events.Pace('e', 1, 100, 1.0), 1)
        assert rates.gap < 0.02


class TestPrefixIndex:
    def test_dropped_prefixes_are_not_cached(self) -> None:
        index = PrefixIndex()
        index.record('e', (1, 2, 3))
        assert index.cached_tokens('e', (1, 2, 3)) == 128
        index.drop('e', (3,))
        assert index.cached_tokens('e', (1, 2, 3)) == 64
        index.forget('e')
        assert index.cached_tokens('e', (1, 2, 3)) == 0
