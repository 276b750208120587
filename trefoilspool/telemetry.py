"""Metrics and structured logs."""

import json
import sys
import threading
from collections import Counter

import logbook
from hdrh.histogram import HdrHistogram

__all__ = ['JsonHandler', 'Metrics', 'log_decision']

MIN_DURATION_US = 1
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
PERCENTILES = (50, 95, 99)

decisions = logbook.Logger('decision')


class JsonHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record to standard error as a line of JSON."""

    def __init__(self, host: str, level: str) -> None:
        super().__init__(sys.stderr, level=level, bubble=False)
        self.host = host

    def format(self, record: logbook.LogRecord) -> str:
        """Return the log line of a record."""
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


def log_decision(decision: str, request: str, **fields: object) -> None:
    """Log one routing or placement decision.

    Parameters
    ----------
    decision : str
        Name of the decision, such as ``grant`` or ``shed``.
    request : str
        The request's id.
    **fields : object
        Further fields, such as the reason or the losing candidates.
    """
    decisions.info(
        decision,
        extra={'decision': decision, 'request': request, **fields},
    )


class Metrics:
    """Counters and histograms; safe to use from any thread."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.counters: Counter[str] = Counter()
        self.histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter; its name includes the labels."""
        with self.lock:
            self.counters[name] += amount

    def record(self, name: str, labels: str, seconds: float) -> None:
        """Add a duration to a histogram.

        Parameters
        ----------
        name : str
            Name of the metric.
        labels : str
            Labels in the Prometheus text format, without the braces.
        seconds : float
            The duration.
        """
        with self.lock:
            # ``render`` adds the quantile label and the closing brace.
            key = f'{name}{{{labels}'
            histogram = self.histograms.get(key)
            if histogram is None:
                histogram = HdrHistogram(
                    MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
                )
                self.histograms[key] = histogram
            histogram.record_value(
                max(MIN_DURATION_US, int(seconds * US_PER_S))
            )

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        with self.lock:
            lines = [
                f'{name} {count}'
                for name, count in sorted(self.counters.items())
            ]
            for key, histogram in sorted(self.histograms.items()):
                for percentile in PERCENTILES:
                    us = histogram.get_value_at_percentile(percentile)
                    lines.append(
                        f'{key},quantile="0.{percentile}"}} {us / US_PER_S}',
                    )
        return '\n'.join([*lines, ''])
