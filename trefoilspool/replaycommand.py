"""Replay command: results as a table, JSON and a plot."""

import json
import pathlib
from collections.abc import Sequence

from trefoilspool.errors import OptionError
from trefoilspool.policies import POLICIES
from trefoilspool.replay import Replay
from trefoilspool.replayfaults import FAULT_HANDLERS
from trefoilspool.summary import Summary, summarize
from trefoilspool.trace import Trace, load_trace

__all__ = [
    'check_policy',
    'format_json',
    'format_table',
    'replay_file',
    'write_plot',
]

HEADINGS = (
    'policy',
    'tier',
    'asked',
    'completed',
    'refused',
    'late',
    'other',
    'goodput %',
    'first token p95 s',
    'between tokens p95 s',
)
BAR_GROUP_WIDTH = 0.8  # share of the distance between two tiers
COLUMN_WIDTHS = (18, 5, 6, 10, 8, 5, 6, 10, 18, 20)


def check_policy(name: str) -> str:
    """Return the name of a policy after checking it.

    Raises
    ------
    OptionError
        If no policy has this name.
    """
    if name not in POLICIES:
        raise OptionError('policy', name, f'one of {", ".join(POLICIES)}')
    return name


def replay_file(path: str, policy: str) -> tuple[Trace, Summary]:
    """Replay a trace file under a policy and summarize the result."""
    trace = load_trace(pathlib.Path(path))
    record = Replay(trace, check_policy(policy), FAULT_HANDLERS).run()
    return trace, summarize(trace, record)


def format_row(cells: Sequence[object]) -> str:
    """Return a line of the table."""
    padded = (
        str(cell).ljust(width)
        for cell, width in zip(cells, COLUMN_WIDTHS, strict=True)
    )
    return ' '.join(padded).rstrip()


def format_table(summaries: dict[str, Summary]) -> str:
    """Return the figures of each policy as a table."""
    lines = [format_row(HEADINGS)]
    for policy, summary in summaries.items():
        lines.extend(format_row((policy, *tier)) for tier in summary.tiers)
    for policy, summary in summaries.items():
        waste = ', '.join(
            f'{cause} {share}' for cause, share in summary.waste.items()
        )
        lines.append(
            f'{policy}: goodput {summary.goodput} of at most '
            f'{summary.bound}; prefill wasted, in %: {waste}; dispatched '
            f'per request {summary.dispatched_per_request}; revoked '
            f'{summary.revoked}; tier inversions {summary.inversions}',
        )
    return '\n'.join(lines)


def format_json(summaries: dict[str, Summary]) -> str:
    """Return the figures of each policy as JSON."""
    documents = {
        policy: {
            **summary._asdict(),
            'tiers': [tier._asdict() for tier in summary.tiers],
        }
        for policy, summary in summaries.items()
    }
    return json.dumps(documents, indent=1, sort_keys=True)


def write_plot(path: str, summaries: dict[str, Summary]) -> None:
    """Plot the goodput of each policy by tier to a file.

    Raises
    ------
    OptionError
        If matplotlib is not installed.
    """
    try:
        from matplotlib import pyplot
    except ImportError as error:
        raise OptionError('plot', path, 'matplotlib installed') from error
    figure, axes = pyplot.subplots()
    bar_width = BAR_GROUP_WIDTH / len(summaries)
    for index, (policy, summary) in enumerate(summaries.items()):
        positions = [tier.tier + index * bar_width for tier in summary.tiers]
        heights = [tier.goodput_percent for tier in summary.tiers]
        axes.bar(positions, heights, bar_width, label=policy)
    axes.set_xlabel('tier')
    axes.set_ylabel('goodput, % of requests')
    axes.legend()
    figure.savefig(path)
