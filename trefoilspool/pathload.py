"""A closed load on one host: latency, rate and tokens a second."""

import http.client
import threading
import time
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from trefoilspool.client import KindCall, post

__all__ = ['PathLoad', 'Sample']

ADDRESS = '127.0.0.1'
PATH = '/v1/chat/completions'
DIGITS = 3
HIGHEST_US = 600_000_000
US_PER_S = 1_000_000
MS_PER_S = 1000
MEDIAN = 50
P95 = 95
P99 = 99
HEADING = (
    'target  streams  req/s  tokens/s  first token ms p50 p95 p99  '
    'between ms p50 p95 p99  failed'
)


class Sample(NamedTuple):
    """One answer: seconds to its first token, between tokens, and tokens."""

    first: float
    gaps: tuple[float, ...]
    completed: bool


class PathLoad:
    """Callers that each ask again as soon as they are answered.

    Parameters
    ----------
    port : int
        HTTP port of the host.
    token, kind : str
        Who asks, and for what.
    seconds : float
        Length of each measurement.
    """

    def __init__(
        self,
        port: int,
        token: str,
        kind: str,
        seconds: float,
    ) -> None:
        self.port = port
        self.seconds = seconds
        self.headers = {
            'Authorization': f'Bearer {token}',
            'X-Request-Kind': kind,
        }

    def report(self, streams: list[int], engine_port: int) -> str:
        """Return a table with a line for each target and count."""
        lines = [HEADING]
        for count in streams:
            if engine_port:
                lines.append(self.measure('engine', engine_port, count))
            lines.append(self.measure('host', self.port, count))
        return '\n'.join(lines)

    def measure(self, name: str, port: int, count: int) -> str:
        """Load a target with ``count`` callers and return its line."""
        samples: list[Sample] = []
        stop_at = time.monotonic() + self.seconds
        threads = [
            threading.Thread(
                target=self.call_often,
                args=(port, number, stop_at, samples),
            )
            for number in range(count)
        ]
        started = time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        took = time.monotonic() - started
        done = [one for one in samples if one.completed]
        tokens = sum(len(one.gaps) + 1 for one in done)
        first = quantiles([one.first for one in done])
        gaps = quantiles([gap for one in done for gap in one.gaps])
        return (
            f'{name:<7} {count:<8} {len(done) / took:<6.1f} '
            f'{tokens / took:<9.0f} {first}  {gaps}  '
            f'{len(samples) - len(done)}'
        )

    def call_often(
        self,
        port: int,
        number: int,
        stop_at: float,
        samples: list[Sample],
    ) -> None:
        """Ask until the measurement ends."""
        turn = 0
        while time.monotonic() < stop_at:
            turn += 1
            text = f'caller {number} request {turn}'
            call = KindCall(
                PATH,
                '',
                {
                    'messages': [{'role': 'user', 'content': text}],
                    'stream': True,
                    'max_tokens': 100,
                },
            )
            try:
                samples.append(self.call_once(port, call))
            except (OSError, http.client.HTTPException):
                samples.append(Sample(0, (), completed=False))

    def call_once(self, port: int, call: KindCall) -> Sample:
        """Ask once and time the tokens."""
        started = time.monotonic()
        link, answer = post((ADDRESS, port), PATH, call.body, self.headers)
        times = [started]
        completed = False
        for line in answer:
            if line.startswith(b'id: '):
                times.append(time.monotonic())
            completed = completed or line.startswith(b'data: [DONE]')
        link.close()
        if len(times) == 1:
            return Sample(0, (), completed=False)
        gaps = tuple(
            later - earlier
            for earlier, later in zip(times[1:-1], times[2:], strict=True)
        )
        return Sample(times[1] - started, gaps, completed)


def quantiles(samples: list[float]) -> str:
    """Return the median, 95th and 99th percentile in milliseconds."""
    histogram = HdrHistogram(1, HIGHEST_US, DIGITS)
    for sample in samples:
        histogram.record_value(max(1, int(sample * US_PER_S)))
    return ' '.join(
        f'{histogram.get_value_at_percentile(one) / MS_PER_S:.1f}'
        for one in (MEDIAN, P95, P99)
    )
