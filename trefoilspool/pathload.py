"""Closed-loop load generator for the request path of a host."""

import http.client
import threading
import time
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from trefoilspool.client import KindCall, post

__all__ = ['PathLoad', 'Sample']

LOOPBACK = '127.0.0.1'
PATH = '/v1/chat/completions'
SIGNIFICANT_DIGITS = 3
MAX_DURATION_US = 600_000_000
US_PER_S = 1_000_000
US_PER_MS = 1000
P50 = 50
P95 = 95
P99 = 99
HEADING = (
    'target  streams  req/s  tokens/s  first token ms p50 p95 p99  '
    'between ms p50 p95 p99  failed'
)


class Sample(NamedTuple):
    """Timing of a response.

    Attributes
    ----------
    first_token_s : float
        Seconds from the request to the first token.
    gaps_s : tuple of float
        Seconds between consecutive tokens.
    completed : bool
        Whether the stream reached its end.
    """

    first_token_s: float
    gaps_s: tuple[float, ...]
    completed: bool


class PathLoad:
    """Callers that each send the next request when the last one has ended.

    Parameters
    ----------
    port : int
        HTTP port of the host.
    token, kind : str
        Bearer token and kind of the requests.
    seconds : float
        Duration of each measurement.
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
        """Measure each number of streams and return a table.

        Parameters
        ----------
        streams : list of int
            Numbers of concurrent callers.
        engine_port : int
            Port of an engine to load directly for comparison, 0 for none.
        """
        lines = [HEADING]
        for count in streams:
            if engine_port:
                lines.append(self.measure('engine', engine_port, count))
            lines.append(self.measure('host', self.port, count))
        return '\n'.join(lines)

    def measure(self, name: str, port: int, count: int) -> str:
        """Load a target with ``count`` callers; return a line of the table."""
        samples: list[Sample] = []
        stop_at = time.monotonic() + self.seconds
        threads = [
            threading.Thread(
                target=self.call_repeatedly,
                args=(port, number, stop_at, samples),
            )
            for number in range(count)
        ]
        started_at = time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed_s = time.monotonic() - started_at
        completed = [sample for sample in samples if sample.completed]
        tokens = sum(len(sample.gaps_s) + 1 for sample in completed)
        first_token_ms = percentiles_ms(
            [sample.first_token_s for sample in completed]
        )
        gap_ms = percentiles_ms(
            [gap_s for sample in completed for gap_s in sample.gaps_s]
        )
        return (
            f'{name:<7} {count:<8} {len(completed) / elapsed_s:<6.1f} '
            f'{tokens / elapsed_s:<9.0f} {first_token_ms}  {gap_ms}  '
            f'{len(samples) - len(completed)}'
        )

    def call_repeatedly(
        self,
        port: int,
        number: int,
        stop_at: float,
        samples: list[Sample],
    ) -> None:
        """Send requests, one at a time, until the measurement ends."""
        sent = 0
        while time.monotonic() < stop_at:
            sent += 1
            prompt = f'caller {number} request {sent}'
            call = KindCall(
                PATH,
                '',
                {
                    'messages': [{'role': 'user', 'content': prompt}],
                    'stream': True,
                    'max_tokens': 100,
                },
            )
            try:
                samples.append(self.call_once(port, call))
            except (OSError, http.client.HTTPException):
                samples.append(Sample(0, (), completed=False))

    def call_once(self, port: int, call: KindCall) -> Sample:
        """Send a request and measure when each token arrives."""
        sent_at = time.monotonic()
        connection, response = post(
            (LOOPBACK, port), PATH, call.body, self.headers
        )
        times = [sent_at]
        completed = False
        for line in response:
            if line.startswith(b'id: '):
                times.append(time.monotonic())
            completed = completed or line.startswith(b'data: [DONE]')
        connection.close()
        if len(times) == 1:
            return Sample(0, (), completed=False)
        gaps_s = tuple(
            later - earlier
            for earlier, later in zip(times[1:-1], times[2:], strict=True)
        )
        return Sample(times[1] - sent_at, gaps_s, completed)


def percentiles_ms(samples_s: list[float]) -> str:
    """Return the 50th, 95th and 99th percentile of durations, in ms."""
    histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
    for sample_s in samples_s:
        histogram.record_value(max(1, int(sample_s * US_PER_S)))
    return ' '.join(
        f'{histogram.get_value_at_percentile(percent) / US_PER_MS:.1f}'
        for percent in (P50, P95, P99)
    )
