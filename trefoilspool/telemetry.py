"""Metrics and structured logs."""

import json
import sys
import threading
from collections import Counter

import logbook
from hdrh.histogram import HdrHistogram

__all__ = ['JsonHandler', 'Metrics', 'log_decision']

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
US_PER_S = 1_000_000
QUANTILES = (50, 95, 99)

decisions = logbook.Logger('decision')


class JsonHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes a JSON object a line."""

    def __init__(self, host: str, level: str) -> None:
        super().__init__(sys.stderr, level=level, bubble=False)
        self.host = host

    def format(self, record: logbook.LogRecord) -> str:
        """Return the line of a record."""
        line = {
            'time': record.time.isoformat(timespec='milliseconds'),
            'level': record.level_name,
            'host': self.host,
            'channel': record.channel,
            'message': record.message,
        }
        line.update(record.extra)
        if record.exc_info:
            line['error'] = record.formatted_exception
        return json.dumps(line, default=str)


def log_decision(decision: str, request: str, **facts: object) -> None:
    """Log one routing or placement decision.

    Parameters
    ----------
    decision : str
        What was decided, such as ``grant`` or ``shed``.
    request : str
        The request's id.
    **facts : object
        Reason, winner, losing candidates and the like.
    """
    decisions.info(
        decision,
        extra={'decision': decision, 'request': request, **facts},
    )


class Metrics:
    """Counters and histograms; safe to use from any thread."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.counters: Counter[str] = Counter()
        self.histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter, named with its labels."""
        with self.lock:
            self.counters[name] += amount

    def record(self, name: str, labels: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        with self.lock:
            key = f'{name}{{{labels}'
            histogram = self.histograms.get(key)
            if histogram is None:
                histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
                self.histograms[key] = histogram
            histogram.record_value(max(LOWEST_US, int(seconds * US_PER_S)))

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        with self.lock:
            lines = [
                f'{name} {count}'
                for name, count in sorted(self.counters.items())
            ]
            for key, histogram in sorted(self.histograms.items()):
                for quantile in QUANTILES:
                    us = histogram.get_value_at_percentile(quantile)
                    lines.append(
                        f'{key},quantile="0.{quantile}"}} {us / US_PER_S}',
                    )
        return '\n'.join([*lines, ''])
