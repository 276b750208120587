"""Conversion of decision logs into traces."""

import datetime
from collections.abc import Iterable
from typing import Any

from trefoilspool.explaining.why import parse_line
from trefoilspool.trace import EngineSpec, RequestEvent, Trace, make_header

__all__ = ['record_trace']

TIME_DECIMALS = 6


def record_trace(
    name: str,
    logs: Iterable[str],
    engines: tuple[EngineSpec, ...],
) -> Trace:
    """Return a trace of the model requests settled in decision logs.

    Parameters
    ----------
    name : str
        Name of the trace.
    logs : iterable of str
        Contents of decision log files, with one JSON object per line.
    engines : tuple of EngineSpec
        Engines of the trace.
    """
    lines = [
        line
        for log in logs
        for line in map(parse_line, log.splitlines())
        if line.get('decision') == 'settle' and line.get('prompt_tokens')
    ]
    arrivals = [(arrival_time(line), line) for line in lines]
    arrivals.sort(key=lambda pair: pair[0])
    trace_start = arrivals[0][0] if arrivals else 0
    requests = tuple(
        make_event(number, round(at - trace_start, TIME_DECIMALS), line)
        for number, (at, line) in enumerate(arrivals)
    )
    return Trace(make_header(name, 0, engines), engines, requests, ())


def arrival_time(line: dict[str, Any]) -> float:
    """Return the arrival of a settled request as a Unix time in seconds."""
    ended_at = datetime.datetime.fromisoformat(line['time'])
    return ended_at.timestamp() - float(line['took_s'])


def make_event(number: int, at: float, line: dict[str, Any]) -> RequestEvent:
    """Return the arrival event of a settled request."""
    return RequestEvent(
        at,
        number,
        line['workspace'],
        line['kind'],
        line['tier'],
        line['weight'],
        line['timeout_s'],
        line['prompt_tokens'],
        max(1, line['tokens']),
        line['allowed_tokens'],
        line['victim'],
        f'{line["workspace"]}/{line["kind"]}',
        0,
        line['interactive'],
    )
