"""Claims a second and their latency, with and without group commit."""

import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

from hdrh.histogram import HdrHistogram
from returns.result import Success

from trefoilspool.claims import ClaimKey, ClaimResult, ClaimTask
from trefoilspool.platforms.memory import MemoryLog
from trefoilspool.task import TaskGroup

__all__ = ['run_claims']

CALL_S = 0.005
RATE = 10.0
HIGHEST_US = 600_000_000
DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000
P50 = 50
P95 = 95


class SlowLog(MemoryLog):
    """A log whose calls take ``CALL_S`` seconds."""

    def append(self, stream: str, body: str) -> int:
        """Append after a while."""
        time.sleep(CALL_S)
        return super().append(stream, body)


def run_claims(callers: int, seconds: float, batch: int) -> str:
    """Claim new keys from some threads and return a line of figures.

    Parameters
    ----------
    callers : int
        Threads that each claim again at once.
    seconds : float
        Length of the measurement.
    batch : int
        The most claims that share an append.
    """
    calls = ThreadPoolExecutor(4)
    group = TaskGroup()
    claims = ClaimTask(SlowLog(), 'bench', 1, calls, RATE, batch)
    group.start(claims)
    while not claims.caught_up:
        time.sleep(CALL_S)
    histogram = HdrHistogram(1, HIGHEST_US, DIGITS)
    stop_at = time.monotonic() + seconds
    threads = [
        threading.Thread(
            target=claim_often,
            args=(claims, number, stop_at, histogram),
        )
        for number in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    group.stop()
    calls.shutdown()
    p50, p95 = (
        histogram.get_value_at_percentile(percent) / US_PER_MS
        for percent in (P50, P95)
    )
    rate = histogram.total_count / seconds
    return (
        f'{callers} callers, {batch} claims an append: {rate:.1f} claims/s, '
        f'{claims.appends / seconds:.1f} appends/s, p50 {p50:.0f} ms, '
        f'p95 {p95:.0f} ms'
    )


def claim_often(
    claims: ClaimTask,
    number: int,
    stop_at: float,
    histogram: HdrHistogram,
) -> None:
    """Claim until the measurement ends."""
    turn = 0
    while time.monotonic() < stop_at:
        turn += 1
        started = time.monotonic()
        future: Future[ClaimResult] = Future()
        claims.post(ClaimKey(f'{number}-{turn}', future))
        if isinstance(future.result(), Success):
            took = time.monotonic() - started
            histogram.record_value(max(1, int(took * US_PER_S)))
