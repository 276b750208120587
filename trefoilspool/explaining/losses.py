"""What became of the requests of a load, by route or second, from the logs."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

__all__ = ['GROUPINGS', 'LossRow', 'loss_rows', 'loss_table']

# A refusal after a shorter wait counts as one at arrival.
AT_ONCE_S = 0.03
SERVED = frozenset(('answered', 'completed'))
REFUSED = frozenset(('overloaded',))
OVER_LIMIT = frozenset(('over_limit',))
MIDDLE, TAIL = 0.5, 0.95
HEADER = (
    'group',
    'asked',
    'served',
    'refused at once',
    'refused late',
    'over limit',
    'other',
    'wait p50',
    'wait p95',
    'first byte p95',
    'slot s',
    'of it in vain',
)

Line = Mapping[str, Any]


class LossRow(NamedTuple):
    """What became of the requests of a group.

    Attributes
    ----------
    refused_at_once, refused_late : int
        Requests that were refused for want of room, at arrival or later.
    other : int
        Requests that ended otherwise without being served.
    wait_s, long_wait_s : float
        Median and 95th percentile of the seconds that served ones waited for
        their slot.
    long_first_s : float
        95th percentile of their seconds from the dispatch to the first byte.
    slot_s, vain_slot_s : float
        Seconds for which slots were held, and those of requests that were not
        served.
    """

    group: str
    asked: int
    served: int
    refused_at_once: int
    refused_late: int
    over_limit: int
    other: int
    wait_s: float
    long_wait_s: float
    long_first_s: float
    slot_s: float
    vain_slot_s: float


def by_route(line: Line) -> str:
    """Return the route of a request, with its rank."""
    return f'{line["rank"]} {line["route"]}'


def by_second(line: Line) -> str:
    """Return the second in which a request ended."""
    return str(line['time'])[: len('2026-01-01T00:00:00')]


def by_workspace(line: Line) -> str:
    """Return the workspace of a request."""
    return str(line['workspace'])


def by_endpoint(line: Line) -> str:
    """Return the endpoint of a request, if it had one."""
    return str(line['endpoint'] or '-')


GROUPINGS = {
    'route': by_route,
    'second': by_second,
    'workspace': by_workspace,
    'endpoint': by_endpoint,
}


def loss_rows(lines: Iterable[Line], grouping: str) -> list[LossRow]:
    """Return a row for each group of settled requests.

    Parameters
    ----------
    lines : iterable of mapping
        Lines of the logs of hosts that serve routed requests.
    grouping : str
        A key of ``GROUPINGS``.
    """
    grants: dict[str, float] = {}
    groups: defaultdict[str, list[Line]] = defaultdict(list)
    for line in lines:
        if line.get('event') == 'grant':
            grants.setdefault(line['request'], line['waited_s'])
        elif line.get('event') == 'settle' and 'route' in line:
            groups[GROUPINGS[grouping](line)].append(line)
    return [
        loss_row(group, settled, grants)
        for group, settled in sorted(groups.items())
    ]


def loss_row(
    group: str, settled: list[Line], grants: Mapping[str, float]
) -> LossRow:
    """Return the row of one group."""
    served = [line for line in settled if line['outcome'] in SERVED]
    refused = [line for line in settled if line['outcome'] in REFUSED]
    at_once = sum(line['took_s'] <= AT_ONCE_S for line in refused)
    over_limit = sum(line['outcome'] in OVER_LIMIT for line in settled)
    waits = [grants.get(line['request'], 0) for line in served]
    firsts = [line['first_s'] for line in served]
    held = sum(slot_s(line, grants) for line in settled)
    useful = sum(slot_s(line, grants) for line in served)
    return LossRow(
        group,
        len(settled),
        len(served),
        at_once,
        len(refused) - at_once,
        over_limit,
        len(settled) - len(served) - len(refused) - over_limit,
        quantile(waits, MIDDLE),
        quantile(waits, TAIL),
        quantile(firsts, TAIL),
        held,
        held - useful,
    )


def slot_s(line: Line, grants: Mapping[str, float]) -> float:
    """Return the seconds for which a request held a slot."""
    if not line['endpoint'] or line['request'] not in grants:
        return 0
    return max(0, float(line['took_s'] - grants[line['request']]))


def quantile(numbers: list[float], share: float) -> float:
    """Return a quantile, 0 of no numbers."""
    if not numbers:
        return 0
    ordered = sorted(numbers)
    return float(ordered[min(len(ordered) - 1, int(len(ordered) * share))])


def loss_table(rows: Iterable[LossRow]) -> str:
    """Return the rows as a table in Markdown."""
    lines = [HEADER, ('---',) * len(HEADER), *map(cells, rows)]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def cells(row: LossRow) -> tuple[str, ...]:
    """Return the cells of a row."""
    return tuple(
        f'{value:.3f}' if isinstance(value, float) else str(value)
        for value in row
    )
