"""Sequential comparison of a new version with the others; pure.

Each response is good or bad by a measure: it failed, or it was slower than
nearly all of the other versions at the same time. For each measure, route and
assumed rate of bad responses runs a cumulative sum (CUSUM) of the logarithm of
the likelihood ratio between that rate and the rate of the other versions. It
forgets what came before the change, so a version that turns bad late is found
as soon as one that was always bad. Page (1954) gives the procedure, Lorden
(1971) its bound: without a change, the mean number of responses until a sum
passes ``ln(x)`` is at least ``x``.
"""

import math
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from trefoilspool.rollouts.evidence import GROUPS, MAX_BUCKET, OTHERS
from trefoilspool.rollouts.messages import Measure, RowKey, Tally

__all__ = ['Finding', 'VersionJudge']

# Mean number of responses until a sum without cause passes its threshold.
RESPONSES_PER_FALSE_ALARM = 1_000_000
THRESHOLD = math.log(RESPONSES_PER_FALSE_ALARM)
SUSPICION = THRESHOLD / 2
# Rates of bad responses that the sums are most sensitive to.
BAD_RATES = (0.05, 0.15, 0.45)
# A good version is to be told from one with so many bad responses besides this
# multiple of those of the others.
CLEAN_RATIO = 2.0
CLEAN_RATES = {Measure.failure: 0.05, Measure.first_byte: 0.15}
# Responses of the other versions count for so long.
WINDOW_S = 8.0
# Weight of the assumption that the other versions have few bad responses.
PRIOR_RESPONSES = 60
PRIOR_BAD = 0.6
# A version is no worse if its rate exceeds that of the others by less.
TOLERATED_RATIO = 1.5
# Share of the other versions' responses that may be slow.
SLOW_SHARE = 0.02
# A slow response takes so many buckets longer than these.
SLOW_MARGIN = 2
ALL_ROUTES = '*'
NO_GROUP = -1  # is left out


class Finding(NamedTuple):
    """A sum that has passed its threshold.

    Attributes
    ----------
    route : str
        Name of the route, or `ALL_ROUTES`.
    assumed, others : float
        The assumed rate of bad responses, and that of the other versions.
    score : float
        The sum.
    """

    measure: Measure
    route: str
    assumed: float
    others: float
    score: float


class SumKey(NamedTuple):
    """Identifies a sum; ``left_out`` is the group that it does not count."""

    measure: Measure
    route: str
    assumed: float
    left_out: int


class Counts(NamedTuple):
    """Responses and those of them that were bad."""

    requests: int
    bad: int


class Window:
    """Responses of the other versions on one route, of late.

    Attributes
    ----------
    samples : deque
        Time and counts of each report.
    """

    def __init__(self) -> None:
        self.samples: deque[tuple[float, Tally]] = deque()

    def add(self, tally: Tally, now: float) -> None:
        """Add counts and drop old ones, but never the last."""
        self.samples.append((now, tally))
        while len(self.samples) > 1 and self.samples[0][0] < now - WINDOW_S:
            self.samples.popleft()

    def histogram(self, measure: Measure) -> Counter[int]:
        """Return the number of responses by bucket."""
        total: Counter[int] = Counter()
        for _, tally in self.samples:
            total.update(buckets(tally, measure))
        return total

    def failures(self) -> Counts:
        """Return the responses and failures."""
        return Counts(
            sum(tally.requests for _, tally in self.samples),
            sum(tally.failures for _, tally in self.samples),
        )


def buckets(tally: Tally, measure: Measure) -> Mapping[int, int]:
    """Return the histogram of a measure of time."""
    if measure is Measure.first_byte:
        return tally.first_bytes
    return tally.paces


def slow_from(histogram: Counter[int]) -> int:
    """Return the first bucket of slow responses."""
    allowed = sum(histogram.values()) * SLOW_SHARE
    above = 0
    for number in sorted(histogram, reverse=True):
        above += histogram[number]
        if above > allowed:
            return number + 1 + SLOW_MARGIN
    return MAX_BUCKET + 1


class VersionJudge:
    """Judges a version by the responses of all hosts.

    Attributes
    ----------
    sums : dict
        The cumulative sums.
    cleans : dict
        Evidence for a good version by measure, with all groups of endpoints and
        without each; see `clean`.
    """

    def __init__(self) -> None:
        self.windows: defaultdict[str, Window] = defaultdict(Window)
        self.sums: defaultdict[SumKey, float] = defaultdict(float)
        self.cleans = {
            measure: dict.fromkeys((NO_GROUP, *range(GROUPS)), 0.0)
            for measure in CLEAN_RATES
        }

    def add(self, rows: Mapping[RowKey, Tally], now: float) -> None:
        """Add what hosts have reported since the last call."""
        for others_key, others in rows.items():
            if others_key.group == OTHERS:
                self.windows[others_key.route].add(others, now)
        increments: defaultdict[SumKey, float] = defaultdict(float)
        for key, tally in rows.items():
            if key.group != OTHERS:
                self.add_target(key, tally, increments)
        for sum_key, increment in increments.items():
            self.sums[sum_key] = max(0, self.sums[sum_key] + increment)

    def add_target(
        self,
        key: RowKey,
        tally: Tally,
        increments: defaultdict[SumKey, float],
    ) -> None:
        """Add the log likelihood ratios of responses of the target."""
        for measure in Measure:
            counts, others = self.compare(key.route, tally, measure)
            for assumed in BAD_RATES:
                ratio = log_ratio(counts, others, assumed)
                for sum_key in sums_of(key, measure, assumed):
                    increments[sum_key] += ratio
            if measure in CLEAN_RATES:
                worse = CLEAN_RATES[measure] + CLEAN_RATIO * others
                self.add_clean(key, measure, log_ratio(counts, others, worse))

    def add_clean(self, key: RowKey, measure: Measure, ratio: float) -> None:
        """Add to the evidence for a good version."""
        for left_out in self.cleans[measure]:
            if left_out != key.group:
                self.cleans[measure][left_out] -= ratio

    def clean(self) -> float:
        """Return the evidence that the version is good.

        This is the logarithm of the likelihood ratio between no more bad
        responses than the other versions have and many more, by the measure
        that speaks most against the version, without the group of endpoints
        that does if one does.
        """
        return min(max(by_group.values()) for by_group in self.cleans.values())

    def compare(
        self, route: str, tally: Tally, measure: Measure
    ) -> tuple[Counts, float]:
        """Return the target's counts and the others' rate of bad responses."""
        window = self.windows[route]
        if measure is Measure.failure:
            others = window.failures()
            return Counts(tally.requests, tally.failures), bad_rate(others)
        histogram = window.histogram(measure)
        slow = slow_from(histogram)
        return (
            above(buckets(tally, measure), slow),
            bad_rate(above(histogram, slow)),
        )

    def finding(self) -> Finding | None:
        """Return the strongest sum beyond the threshold, None if there is none.

        A sum counts by its least value with any one group of endpoints left
        out, so that a single bad endpoint condemns no version.
        """
        found = self.strongest()
        return found if found and found.score >= THRESHOLD else None

    def is_suspect(self) -> bool:
        """Return whether a sum is on its way to the threshold."""
        found = self.strongest()
        return found is not None and found.score >= SUSPICION

    def strongest(self) -> Finding | None:
        """Return the strongest sum."""
        shared = {key._replace(left_out=OTHERS) for key in self.sums}
        return max(
            (self.describe(key) for key in shared),
            key=lambda found: found.score,
            default=None,
        )

    def score(self, key: SumKey) -> float:
        """Return the least value of a sum with any one group left out."""
        return min(
            self.sums.get(key._replace(left_out=group), 0)
            for group in range(GROUPS)
        )

    def describe(self, key: SumKey) -> Finding:
        """Return a sum as a finding."""
        others = 0.0
        if key.measure is Measure.failure and key.route in self.windows:
            others = bad_rate(self.windows[key.route].failures())
        return Finding(
            key.measure, key.route, key.assumed, others, self.score(key)
        )


def sums_of(key: RowKey, measure: Measure, assumed: float) -> list[SumKey]:
    """Return the sums that count a row of the target."""
    return [
        SumKey(measure, route, assumed, left_out)
        for route in (key.route, ALL_ROUTES)
        for left_out in range(GROUPS)
        if left_out != key.group
    ]


def above(histogram: Mapping[int, int], slow: int) -> Counts:
    """Return the responses of a histogram, and those from a bucket on."""
    return Counts(
        sum(histogram.values()),
        sum(count for number, count in histogram.items() if number >= slow),
    )


def bad_rate(counts: Counts) -> float:
    """Return the rate of bad responses, estimated with a prior."""
    return (counts.bad + PRIOR_BAD) / (counts.requests + PRIOR_RESPONSES)


def log_ratio(counts: Counts, others: float, assumed: float) -> float:
    """Return the log likelihood ratio of an assumed rate of bad responses.

    Zero if the assumed rate would be no worse than that of the others.
    """
    tolerated = others * TOLERATED_RATIO
    if tolerated >= assumed:
        return 0
    good = counts.requests - counts.bad
    return counts.bad * math.log(assumed / tolerated) + good * math.log(
        (1 - assumed) / (1 - tolerated)
    )


def difference(
    newer: Mapping[RowKey, Tally], older: Mapping[RowKey, Tally]
) -> dict[RowKey, Tally]:
    """Return what has been counted between two reports of a host."""
    changed = {}
    for key, tally in newer.items():
        before = older.get(key)
        if before is None:
            changed[key] = tally
        elif tally != before:
            changed[key] = Tally(
                max(0, tally.requests - before.requests),
                max(0, tally.failures - before.failures),
                minus(tally.first_bytes, before.first_bytes),
                minus(tally.paces, before.paces),
            )
    return changed


def total(
    tallies: Iterable[Mapping[RowKey, Tally]],
) -> dict[RowKey, Tally]:
    """Return the sums of the counts of several reports."""
    sums: dict[RowKey, Tally] = {}
    for rows in tallies:
        for key, tally in rows.items():
            before = sums.get(key)
            sums[key] = tally if before is None else plus(before, tally)
    return sums


def plus(one: Tally, other: Tally) -> Tally:
    """Return the sum of two tallies."""
    return Tally(
        one.requests + other.requests,
        one.failures + other.failures,
        Counter(one.first_bytes) + Counter(other.first_bytes),
        Counter(one.paces) + Counter(other.paces),
    )


def minus(newer: Mapping[int, int], older: Mapping[int, int]) -> dict[int, int]:
    """Return what a histogram has gained."""
    gained = {
        number: count - older.get(number, 0) for number, count in newer.items()
    }
    return {number: count for number, count in gained.items() if count > 0}
