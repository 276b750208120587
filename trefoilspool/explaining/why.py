"""Explains the decisions on a request from the logs of all hosts."""

import json
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any

from trefoilspool.errors import OptionError

__all__ = ['explain', 'find_lines', 'parse_line', 'read_all']


DESCRIPTIONS = {
    'claim': 'claimed its idempotency key in the log',
    'dispatch': 'was sent to {endpoint}, attempt {attempt}',
    'forward': 'was forwarded to host {to}, which its ticket names',
    'grant': 'got a permit for {endpoint}, predicted to take {predicted_s} s',
    'refuse': (
        'was refused ({reason}); retry after {retry_after_s} s; running in '
        'the cell by tier: {running}'
    ),
    'retry': 'may be retried after {reason} at {endpoint}',
    'revoke': 'lost its permit for {endpoint} to request {cause}',
    'settle': (
        'ended: {outcome}, status {status}, {tokens} tokens, {attempts} '
        'attempts, {took_s} s'
    ),
}

# Decisions of hosts that serve routed requests; tried before ``DESCRIPTIONS``.
ROUTED_DESCRIPTIONS = {
    'grant': 'got slot {place} at {endpoint} after {waited_s} s, attempt '
    '{attempt}',
    'fault': 'attempt {attempt} at {endpoint}: {ending} ({detail}); may have '
    'run: {may_have_run}; {left_s} s were left',
    'attempt_crashed': 'its attempt ended with {endpoint} (run {run}); parts '
    'of its prompt: {parts}',
    'reject': 'was rejected: {reason} ({detail}); configuration {version}',
    'settle': 'ended: {outcome} {detail}, status {status}, {events} events, '
    '{attempts} attempts, first byte after {first_s} s, {took_s} s in all, '
    '{left_s} s left; configuration {version}',
    'place_refused': 'the home host refused slot {number}: {reason}; {ahead} '
    'requests were ahead, {places_a_s} slots a second became free; waited '
    '{waited_s} s; limit of {workspace} at {limit_level}; {endpoints} endpoints',
    'placed_alone': 'chose {endpoint} for slot {number} without the home host',
    'home_silent': 'the home host {home} did not answer for slot {number}',
}


def find_lines(files: Iterable[str], request: str) -> list[dict[str, Any]]:
    """Return the decisions on a request in order of time.

    These are the decisions logged with its id, those that preempted another
    request for it, and those logged with the number of one of its slots.

    Raises
    ------
    OptionError
        When a file cannot be read.
    """
    lines = list(read_all(files))
    matching = [
        line
        for line in lines
        if request in {line.get('request'), line.get('cause')}
    ]
    slots = {line['place'] for line in matching if line.get('place')}
    matching += [line for line in lines if line.get('number') in slots]
    return sorted(matching, key=lambda line: str(line['time']))


def read_all(files: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the lines of several log files.

    Raises
    ------
    OptionError
        When a file cannot be read.
    """
    for name in files:
        yield from read_lines(name)


def read_lines(name: str) -> Iterator[dict[str, Any]]:
    """Yield the lines of a log file.

    Raises
    ------
    OptionError
        When the file cannot be read.
    """
    try:
        text = pathlib.Path(name).read_text('utf-8')
    except OSError as error:
        raise OptionError('logs', name, f'readable files: {error}') from None
    yield from map(parse_line, text.splitlines())


def parse_line(text: str) -> dict[str, Any]:
    """Return the fields of a log line, empty if it is not a JSON object.

    Text before the JSON, such as the time and host that a log collector adds,
    is ignored.
    """
    try:
        line = json.loads(text[max(0, text.find('{')) :])
    except ValueError:
        return {}
    return line if isinstance(line, dict) else {}


def explain(lines: list[dict[str, Any]], request: str) -> str:
    """Return a line of text for each decision."""
    if not lines:
        return f'no decision on {request} in these logs'
    return '\n'.join(describe(line, request) for line in lines)


def describe(line: dict[str, Any], request: str) -> str:
    """Return the text of one decision."""
    prefix = f'{line["time"]} {line["host"]}:'
    if line.get('cause') == request:
        victim = line['request']
        return f'{prefix} preempted {victim} on {line["endpoint"]}'
    text = describe_decision(line)
    losers = line.get('losers')
    if losers:
        others = ', '.join(f'{name} {score} s' for name, score in losers)
        text = f'{text}; others: {others}'
    return f'{prefix} {text}'


def describe_decision(line: dict[str, Any]) -> str:
    """Return the text of a decision, without time and host."""
    name = line.get('decision') or line['event']
    for template in (
        ROUTED_DESCRIPTIONS.get(name, ''),
        DESCRIPTIONS.get(name, ''),
    ):
        try:
            text = template.format(**line)
        except KeyError:
            # Hosts that serve routed requests log other fields under this name.
            continue
        if text:
            return text
    return str(name)
