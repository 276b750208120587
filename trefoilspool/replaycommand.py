"""Output of replays as a table, JSON and a plot."""

import json
import pathlib
from collections.abc import Sequence

from trefoilspool.errors import OptionError
from trefoilspool.policies import POLICIES
from trefoilspool.replay import Replay
from trefoilspool.summary import Summary, summarize
from trefoilspool.trace import Trace, load_trace

__all__ = ['check_policy', 'json_text', 'replay_file', 'table', 'write_plot']

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
BAR_SHARE = 0.8  # of the distance between two tiers
WIDTHS = (18, 5, 6, 10, 8, 5, 6, 10, 18, 20)


def check_policy(name: str) -> str:
    """Return the name if it is a policy's.

    Raises
    ------
    OptionError
        When no policy has this name.
    """
    if name not in POLICIES:
        raise OptionError('policy', name, f'one of {", ".join(POLICIES)}')
    return name


def replay_file(path: str, policy: str) -> tuple[Trace, Summary]:
    """Replay a trace file under a policy."""
    trace = load_trace(pathlib.Path(path))
    record = Replay(trace, check_policy(policy)).run()
    return trace, summarize(trace, record)


def row(cells: Sequence[object]) -> str:
    """Return one line of a table."""
    padded = (
        str(cell).ljust(width)
        for cell, width in zip(cells, WIDTHS, strict=True)
    )
    return ' '.join(padded).rstrip()


def table(summaries: dict[str, Summary]) -> str:
    """Return the figures of some policies as text."""
    lines = [row(HEADINGS)]
    for policy, summary in summaries.items():
        lines.extend(row((policy, *tier)) for tier in summary.tiers)
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


def json_text(summaries: dict[str, Summary]) -> str:
    """Return the figures as JSON."""
    documents = {
        policy: {
            **summary._asdict(),
            'tiers': [tier._asdict() for tier in summary.tiers],
        }
        for policy, summary in summaries.items()
    }
    return json.dumps(documents, indent=1, sort_keys=True)


def write_plot(path: str, summaries: dict[str, Summary]) -> None:
    """Draw goodput by tier of each policy.

    Raises
    ------
    OptionError
        When matplotlib is not installed.
    """
    try:
        from matplotlib import pyplot
    except ImportError as error:
        raise OptionError('plot', path, 'matplotlib installed') from error
    figure, axes = pyplot.subplots()
    width = BAR_SHARE / len(summaries)
    for turn, (policy, summary) in enumerate(summaries.items()):
        places = [tier.tier + turn * width for tier in summary.tiers]
        heights = [tier.goodput_percent for tier in summary.tiers]
        axes.bar(places, heights, width, label=policy)
    axes.set_xlabel('tier')
    axes.set_ylabel('goodput, % of requests')
    axes.legend()
    figure.savefig(path)
