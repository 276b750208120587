"""Request traces: JSON lines with a header, then the events by time."""

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
    'prompt_prefix_hashes',
    'save_trace',
]

SCHEMA_VERSION = 1


class EngineSpec(NamedTuple):
    """A model engine in a trace.

    Attributes
    ----------
    name : str
        Endpoint name.
    generation : int
        Hardware generation.
    gap_s : float
        Seconds between the tokens of a stream with a batch of one.
    batch_cost : float
        Share of ``gap_s`` that each further stream in the batch adds.
    prefill_rate : float
        Prompt tokens a second.
    slots : int
        Largest batch, in streams.
    cache_tokens : int
        Capacity of the prefix cache, in prompt tokens.
    """

    name: str
    generation: int
    gap_s: float
    batch_cost: float
    prefill_rate: float
    slots: int
    cache_tokens: int


class RequestEvent(NamedTuple):
    """Arrival of a request.

    Attributes
    ----------
    at : float
        Seconds since the start of the trace.
    number : int
        Position of the request in the trace.
    timeout_s : float
        Seconds from the arrival to the deadline.
    output_tokens, allowed_tokens : int
        Tokens that the model generates, and the limit that the caller sets.
    victim : int
        Cost class of a preemption, as the value of a ``VictimClass``.
    prefix, prefix_tokens : str, int
        Identity and length of the prompt prefix that requests share.
    """

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
    """Start or end of a fault.

    Attributes
    ----------
    at : float
        Seconds since the start of the trace.
    fault : str
        ``speed`` (change of speed), ``die`` (crash of the engine), ``leave``
        (the engine takes no new requests) or ``new_home`` (replacement of the
        cell's home host).
    endpoint : str
        Name of the engine, empty for ``new_home``.
    amount : float
        Factor on the engine's speed for ``speed``, otherwise unused.
    """

    at: float
    fault: str
    endpoint: str
    amount: float


class TraceHeader(TypedDict):
    """The first line of a trace.

    Attributes
    ----------
    report_lag_s, cache_lag_s : float
        Delay of load reports and of cache events on their way to the
        scheduler, in seconds.
    storm : int
        How often a caller repeats a refused request.
    engines : list of list
        Fields of each ``EngineSpec``.
    """

    schema: int
    name: str
    seed: int
    report_lag_s: float
    cache_lag_s: float
    storm: int
    engines: list[list[Any]]


class Trace(NamedTuple):
    """A trace: its header, engines, requests and faults."""

    header: TraceHeader
    engines: tuple[EngineSpec, ...]
    requests: tuple[RequestEvent, ...]
    faults: tuple[FaultEvent, ...]


def save_trace(path: pathlib.Path, trace: Trace) -> None:
    """Write a trace to a file."""
    events: list[RequestEvent | FaultEvent] = [
        *trace.requests,
        *trace.faults,
    ]
    events.sort(key=lambda event: event.at)
    with path.open('w', encoding='utf-8') as file:
        file.write(json.dumps(trace.header, sort_keys=True))
        for event in events:
            kind = 'f' if isinstance(event, FaultEvent) else 'r'
            line = json.dumps([kind, *event], separators=(',', ':'))
            file.write(f'\n{line}')
        file.write('\n')


def load_trace(path: pathlib.Path) -> Trace:
    """Read a trace from a file.

    Raises
    ------
    TraceError
        If the file can't be read, has another schema version or has a line
        that is not an event; the message names the line.
    """
    try:
        header_line, *event_lines = path.read_text('utf-8').splitlines()
        header: TraceHeader = json.loads(header_line)
    except (OSError, ValueError) as error:
        raise TraceError(f'{path}: cannot read trace: {error}') from error
    if header.get('schema') != SCHEMA_VERSION:
        raise TraceError(
            f'{path}: expected schema {SCHEMA_VERSION}, '
            f'got {header.get("schema")!r}',
        )
    requests: list[RequestEvent] = []
    faults: list[FaultEvent] = []
    for line_number, line in enumerate(event_lines, start=2):
        try:
            parse_event(line, requests, faults)
        except (ValueError, TypeError) as error:
            raise TraceError(
                f'{path}:{line_number}: invalid event: {error}'
            ) from error
    engines = (EngineSpec(*spec) for spec in header['engines'])
    return Trace(header, tuple(engines), tuple(requests), tuple(faults))


def parse_event(
    line: str,
    requests: list[RequestEvent],
    faults: list[FaultEvent],
) -> None:
    """Append the event of a line to the requests or the faults."""
    kind, *fields = json.loads(line)
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
    """Return a header with the required lags of reports and cache events."""
    return {
        'schema': SCHEMA_VERSION,
        'name': name,
        'seed': seed,
        'report_lag_s': 2.0,
        'cache_lag_s': 1.0,
        'storm': storm,
        'engines': [list(engine) for engine in engines],
    }


def prompt_prefix_hashes(request: RequestEvent) -> tuple[int, ...]:
    """Return the prefix hashes of a request's prompt.

    Depths within the shared prefix hash to the same values for all requests
    with this prefix; deeper ones are unique to the request.
    """
    hashes = []
    depth = 0
    while BLOCK_TOKENS << depth <= request.prompt_tokens:
        is_shared = BLOCK_TOKENS << depth <= request.prefix_tokens
        source = request.prefix if is_shared else str(request.number)
        hashes.append(xxhash.xxh32_intdigest(f'{source}:{depth}'.encode()))
        depth += 1
    return tuple(hashes)
