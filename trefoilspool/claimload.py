"""Load generator for claims, with and without group commit."""

import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

from hdrh.histogram import HdrHistogram
from returns.result import Success

from trefoilspool.claims import ClaimKey, ClaimResult, ClaimTask
from trefoilspool.platforms.memory import MemoryLog
from trefoilspool.task import TaskGroup

__all__ = ['run_claims']

LOG_CALL_S = 0.005
APPENDS_PER_S = 10.0
MAX_DURATION_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000
P50 = 50
P95 = 95


class SlowLog(MemoryLog):
    """A log whose appends take ``LOG_CALL_S`` seconds."""

    def append(self, stream: str, body: str) -> int:
        """Append a record after a delay."""
        time.sleep(LOG_CALL_S)
        return super().append(stream, body)


def run_claims(callers: int, seconds: float, batch: int) -> str:
    """Claim new keys from several threads and return a line of figures.

    Parameters
    ----------
    callers : int
        Threads that each claim the next key when the last claim has ended.
    seconds : float
        Duration of the measurement.
    batch : int
        Largest number of claims in an append.
    """
    executor = ThreadPoolExecutor(4)
    tasks = TaskGroup()
    claims = ClaimTask(SlowLog(), 'bench', 1, executor, APPENDS_PER_S, batch)
    tasks.start(claims)
    while not claims.caught_up:
        time.sleep(LOG_CALL_S)
    histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
    stop_at = time.monotonic() + seconds
    threads = [
        threading.Thread(
            target=claim_repeatedly,
            args=(claims, number, stop_at, histogram),
        )
        for number in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    tasks.stop()
    executor.shutdown()
    p50_ms, p95_ms = (
        histogram.get_value_at_percentile(percent) / US_PER_MS
        for percent in (P50, P95)
    )
    claims_per_s = histogram.total_count / seconds
    return (
        f'{callers} callers, {batch} claims an append: {claims_per_s:.1f} claims/s, '
        f'{claims.appends / seconds:.1f} appends/s, p50 {p50_ms:.0f} ms, '
        f'p95 {p95_ms:.0f} ms'
    )


def claim_repeatedly(
    claims: ClaimTask,
    number: int,
    stop_at: float,
    histogram: HdrHistogram,
) -> None:
    """Claim new keys, one at a time, until the measurement ends."""
    claimed = 0
    while time.monotonic() < stop_at:
        claimed += 1
        started_at = time.monotonic()
        future: Future[ClaimResult] = Future()
        claims.post(ClaimKey(f'{number}-{claimed}', future))
        if isinstance(future.result(), Success):
            elapsed_s = time.monotonic() - started_at
            histogram.record_value(max(1, int(elapsed_s * US_PER_S)))
