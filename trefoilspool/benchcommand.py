"""The commands that run benchmarks and write their rows and plots."""

import math
import pathlib
from collections.abc import Sequence

from trefoilspool.bench import Bench, Row, Slope, fit
from trefoilspool.benches import BENCHES
from trefoilspool.errors import BoundError, OptionError

__all__ = ['check_bounds', 'run_capacity']

HEADING = (
    '| benchmark | role | measured | per unit | at size 0 | largest error |\n'
    '| --- | --- | --- | --- | --- | --- |'
)
DPI = 70


def run_capacity(folder: str, only: str = '') -> str:
    """Measure all slopes; write rows as CSV, a plot each, and a table.

    Parameters
    ----------
    folder : str
        Where the files go.
    only : str
        Name of the one benchmark to run, all if empty.
    """
    place = pathlib.Path(folder)
    place.mkdir(parents=True, exist_ok=True)
    kinds = [kind for kind in BENCHES if only in {'', kind.name}]
    if not kinds:
        names = ', '.join(kind.name for kind in BENCHES)
        raise OptionError('only', only, f'one of {names}')
    lines = [HEADING]
    for kind in kinds:
        bench = kind()
        rows = bench.run()
        bench.save(place, rows)
        slope = fit(rows)
        plot(place, bench, rows, slope)
        lines.append(format_slope(bench, slope))
    text = '\n'.join(lines)
    if not only:
        (place / 'slopes.md').write_text(f'{text}\n', encoding='utf-8')
    return text


def check_bounds() -> str:
    """Measure what has a bound, and compare.

    Raises
    ------
    BoundError
        When a measurement is over its bound.
    """
    lines = []
    for kind in BENCHES:
        if math.isfinite(kind.bound):
            worst = max(row.measured for row in kind().run())
            lines.append(
                f'{kind.name}: {worst:.4g} of at most {kind.bound} {kind.unit}',
            )
            if worst > kind.bound:
                raise BoundError(lines[-1])
    return '\n'.join(lines)


def format_slope(bench: Bench, slope: Slope) -> str:
    """Return a table row of a slope."""
    return (
        f'| {bench.name} | {bench.role} | {bench.unit} by {bench.size_unit} '
        f'| {slope.per_unit:.4g} | {slope.fixed:.4g} | {slope.error:.0%} |'
    )


def plot(
    folder: pathlib.Path,
    bench: Bench,
    rows: Sequence[Row],
    slope: Slope,
) -> None:
    """Draw the rows and the line, where matplotlib is installed."""
    try:
        from matplotlib import pyplot
    except ImportError:
        return
    sizes = [row.size for row in rows]
    figure, axes = pyplot.subplots()
    axes.plot(sizes, [row.measured for row in rows], 'o')
    line = [slope.per_unit * size + slope.fixed for size in sizes]
    axes.plot(sizes, line, '-')
    axes.set_xlabel(bench.size_unit)
    axes.set_ylabel(bench.unit)
    axes.set_title(bench.name)
    figure.savefig(folder / f'{bench.name}.png', dpi=DPI)
    pyplot.close(figure)
