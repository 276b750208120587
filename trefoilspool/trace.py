"""Recorded traces: JSON lines with a header, then events in time order."""

import json
import pathlib
from collections.abc import Iterable
from typing import Any, NamedTuple, TypedDict

import xxhash

from trefoilspool.errors import TraceError
from trefoilspool.prefixhash import BLOCK_TOKENS

__all__ = [
    'EngineSpec',
    'FaultEvent',
    'RequestEvent',
    'Trace',
    'TraceHeader',
    'load_trace',
    'make_header',
    'hashes_of',
    'save_trace',
]

SCHEMA = 1


class EngineSpec(NamedTuple):
    """An engine of a trace.

    Attributes
    ----------
    gap_s : float
        Seconds between tokens of a lone stream.
    batch_cost : float
        Share of the gap that each further stream adds.
    prefill_rate : float
        Prompt tokens a second.
    cache_tokens : int
        Prompt tokens that its prefix cache holds.
    """

    name: str
    generation: int
    gap_s: float
    batch_cost: float
    prefill_rate: float
    slots: int
    cache_tokens: int


class RequestEvent(NamedTuple):
    """A request arrives at ``at`` seconds."""

    at: float
    number: int
    workspace: str
    kind: str
    tier: int
    weight: int
    timeout_s: float
    prompt_tokens: int
    output_tokens: int
    allowed_tokens: int
    victim: int
    prefix: str
    prefix_tokens: int
    interactive: bool


class FaultEvent(NamedTuple):
    """A fault starts or ends at ``at`` seconds.

    Attributes
    ----------
    fault : str
        ``speed`` (``amount`` is the factor), ``die``, ``leave`` or
        ``new_home``.
    """

    at: float
    fault: str
    endpoint: str
    amount: float


class TraceHeader(TypedDict):
    """The first line of a trace."""

    schema: int
    name: str
    seed: int
    report_lag_s: float
    cache_lag_s: float
    storm: int
    engines: list[list[Any]]


class Trace(NamedTuple):
    """A whole trace."""

    header: TraceHeader
    engines: tuple[EngineSpec, ...]
    requests: tuple[RequestEvent, ...]
    faults: tuple[FaultEvent, ...]


def save_trace(path: pathlib.Path, trace: Trace) -> None:
    """Write a trace."""
    events: list[RequestEvent | FaultEvent] = [
        *trace.requests,
        *trace.faults,
    ]
    events.sort(key=lambda event: event.at)
    with path.open('w', encoding='utf-8') as lines:
        lines.write(json.dumps(trace.header, sort_keys=True))
        for event in events:
            kind = 'f' if isinstance(event, FaultEvent) else 'r'
            row = json.dumps([kind, *event], separators=(',', ':'))
            lines.write(f'\n{row}')
        lines.write('\n')


def load_trace(path: pathlib.Path) -> Trace:
    """Read a trace.

    Raises
    ------
    TraceError
        When the file is not a trace of this schema; names the line.
    """
    try:
        first, *rows = path.read_text('utf-8').splitlines()
        header: TraceHeader = json.loads(first)
    except (OSError, ValueError) as error:
        raise TraceError(f'{path}: not a trace: {error}') from error
    if header.get('schema') != SCHEMA:
        raise TraceError(f'{path}: schema is not {SCHEMA}')
    requests: list[RequestEvent] = []
    faults: list[FaultEvent] = []
    for number, row in enumerate(rows, start=2):
        try:
            parse_row(row, requests, faults)
        except (ValueError, TypeError) as error:
            raise TraceError(f'{path}:{number}: {error}') from error
    engines = (EngineSpec(*spec) for spec in header['engines'])
    return Trace(header, tuple(engines), tuple(requests), tuple(faults))


def parse_row(
    row: str,
    requests: list[RequestEvent],
    faults: list[FaultEvent],
) -> None:
    """Add the event of one line to its list."""
    kind, *fields = json.loads(row)
    if kind == 'r':
        requests.append(RequestEvent(*fields))
    else:
        faults.append(FaultEvent(*fields))


def make_header(
    name: str,
    seed: int,
    engines: Iterable[EngineSpec],
    storm: int = 0,
) -> TraceHeader:
    """Return a header with the lags that the brief names."""
    return {
        'schema': SCHEMA,
        'name': name,
        'seed': seed,
        'report_lag_s': 2.0,
        'cache_lag_s': 1.0,
        'storm': storm,
        'engines': [list(engine) for engine in engines],
    }


def hashes_of(request: RequestEvent) -> tuple[int, ...]:
    """Return the prefix hashes of a request's prompt."""
    hashes = []
    depth = 0
    while BLOCK_TOKENS << depth <= request.prompt_tokens:
        shared = BLOCK_TOKENS << depth <= request.prefix_tokens
        source = request.prefix if shared else str(request.number)
        hashes.append(xxhash.xxh32_intdigest(f'{source}:{depth}'.encode()))
        depth += 1
    return tuple(hashes)
