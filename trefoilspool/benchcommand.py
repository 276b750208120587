"""Commands that run the capacity benchmarks and report the results."""

import math
import pathlib
from collections.abc import Sequence

from trefoilspool.bench import Bench, Measurement, Slope, fit_line
from trefoilspool.benches import BENCHES
from trefoilspool.errors import (
    BoundError,
    OptionError,
)

__all__ = ['check_bounds', 'run_capacity']

HEADING = (
    '| benchmark | role | measured | per unit | at size 0 | largest error |\n'
    '| --- | --- | --- | --- | --- | --- |'
)
PLOT_DPI = 70


def run_capacity(folder: str, only: str = '') -> str:
    """Run benchmarks; write a CSV file and a plot of each, and a table.

    Parameters
    ----------
    folder : str
        Folder that the files are written to.
    only : str
        Name of the benchmark to run, all if empty.

    Returns
    -------
    str
        Table of the slopes in Markdown.

    Raises
    ------
    OptionError
        If no benchmark has the name ``only``.
    """
    output_folder = pathlib.Path(folder)
    output_folder.mkdir(parents=True, exist_ok=True)
    selected = [
        bench_class for bench_class in BENCHES if only in {'', bench_class.name}
    ]
    if not selected:
        names = ', '.join(bench_class.name for bench_class in BENCHES)
        raise OptionError('only', only, f'one of {names}')
    lines = [HEADING]
    for bench_class in selected:
        bench = bench_class()
        measurements = bench.run()
        bench.write_csv(output_folder, measurements)
        slope = fit_line(measurements)
        plot(output_folder, bench, measurements, slope)
        lines.append(format_slope(bench, slope))
    table = '\n'.join(lines)
    if not only:
        (output_folder / 'slopes.md').write_text(f'{table}\n', encoding='utf-8')
    return table


def check_bounds() -> str:
    """Run the benchmarks that have a bound, and check the results.

    Returns
    -------
    str
        A line for each benchmark with its largest value and its bound.

    Raises
    ------
    BoundError
        If a measurement exceeds its bound.
    """
    lines = []
    for bench_class in BENCHES:
        if math.isfinite(bench_class.bound):
            largest = max(row.value for row in bench_class().run())
            lines.append(
                f'{bench_class.name}: {largest:.4g} of at most '
                f'{bench_class.bound} {bench_class.unit}',
            )
            if largest > bench_class.bound:
                raise BoundError(lines[-1])
    return '\n'.join(lines)


def format_slope(bench: Bench, slope: Slope) -> str:
    """Return a line of the table of slopes."""
    return (
        f'| {bench.name} | {bench.role} | {bench.unit} by {bench.size_unit} '
        f'| {slope.per_unit:.4g} | {slope.fixed:.4g} | {slope.error:.0%} |'
    )


def plot(
    folder: pathlib.Path,
    bench: Bench,
    measurements: Sequence[Measurement],
    slope: Slope,
) -> None:
    """Plot measurements and their line; do nothing without matplotlib."""
    try:
        from matplotlib import pyplot
    except ImportError:
        return
    sizes = [row.size for row in measurements]
    figure, axes = pyplot.subplots()
    axes.plot(sizes, [row.value for row in measurements], 'o')
    fitted = [slope.per_unit * size + slope.fixed for size in sizes]
    axes.plot(sizes, fitted, '-')
    axes.set_xlabel(bench.size_unit)
    axes.set_ylabel(bench.unit)
    axes.set_title(bench.name)
    figure.savefig(folder / f'{bench.name}.png', dpi=PLOT_DPI)
    pyplot.close(figure)
