"""Traces recorded from the decision logs of a real run."""

import datetime
from collections.abc import Iterable
from typing import Any

from trefoilspool.trace import EngineSpec, RequestEvent, Trace, make_header
from trefoilspool.why import parse_line

__all__ = ['record_trace']

ROUND = 6  # decimals of times


def record_trace(
    name: str,
    logs: Iterable[str],
    engines: tuple[EngineSpec, ...],
) -> Trace:
    """Return the trace of the model requests that some logs settle.

    Parameters
    ----------
    name : str
        Name of the trace.
    logs : iterable of str
        Texts of decision logs.
    engines : tuple of EngineSpec
        The engines that served.
    """
    lines = [
        line
        for text in logs
        for line in map(parse_line, text.splitlines())
        if line.get('decision') == 'settle' and line.get('prompt_tokens')
    ]
    starts = [(arrival_time(line), line) for line in lines]
    starts.sort(key=lambda pair: pair[0])
    first = starts[0][0] if starts else 0
    requests = tuple(
        make_event(number, round(at - first, ROUND), line)
        for number, (at, line) in enumerate(starts)
    )
    return Trace(make_header(name, 0, engines), engines, requests, ())


def arrival_time(line: dict[str, Any]) -> float:
    """Return when a settled request arrived, in seconds."""
    ended = datetime.datetime.fromisoformat(line['time'])
    return ended.timestamp() - float(line['took_s'])


def make_event(number: int, at: float, line: dict[str, Any]) -> RequestEvent:
    """Return the event of one settled request."""
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
