"""The base class of capacity benchmarks, and the fit of their slopes."""

import csv
import math
import pathlib
import statistics
import time
import tracemalloc
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ClassVar, NamedTuple

import numpy as np

__all__ = ['Bench', 'Row', 'Slope', 'fit', 'measure_memory', 'measure_time']

REPEATS = 5


class Row(NamedTuple):
    """One measurement."""

    size: int
    measured: float


class Slope(NamedTuple):
    """A straight line through the rows.

    Attributes
    ----------
    per_unit : float
        Growth for each unit of size.
    fixed : float
        Value at size 0.
    error : float
        Largest distance of a row from the line, as a share of the row.
    """

    per_unit: float
    fixed: float
    error: float


class Bench(ABC):
    """Measures one quantity at several sizes.

    Attributes
    ----------
    name, role : str
        Name of the file of rows, and the role that pays.
    size_unit, unit : str
        What is varied and what is measured.
    sizes : tuple of int
        At least four.
    bound : float
        The most that may be measured at any size, from the stated targets.
    """

    name: ClassVar[str]
    role: ClassVar[str]
    size_unit: ClassVar[str]
    unit: ClassVar[str]
    sizes: ClassVar[tuple[int, ...]]
    bound: ClassVar[float] = math.inf

    @abstractmethod
    def measure(self, size: int) -> float:
        """Return the quantity at a size."""

    def run(self) -> list[Row]:
        """Measure all sizes."""
        return [Row(size, self.measure(size)) for size in self.sizes]

    def save(self, folder: pathlib.Path, rows: list[Row]) -> None:
        """Write the rows as CSV."""
        path = folder / f'{self.name}.csv'
        with path.open('w', newline='', encoding='utf-8') as lines:
            writer = csv.writer(lines, lineterminator='\n')
            writer.writerow((self.size_unit, self.unit))
            for row in rows:
                writer.writerow((row.size, f'{row.measured:.6g}'))


def fit(rows: list[Row]) -> Slope:
    """Return the least-squares line through the rows."""
    sizes = np.array([row.size for row in rows], dtype=float)
    values = np.array([row.measured for row in rows])
    per_unit, fixed = np.polyfit(sizes, values, 1)
    distance = np.abs(per_unit * sizes + fixed - values) / np.abs(values)
    return Slope(float(per_unit), float(fixed), float(distance.max()))


def measure_time(step: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the median processor time of a step, in microseconds."""
    samples = []
    for _ in range(repeats):
        started = time.process_time_ns()
        step()
        samples.append((time.process_time_ns() - started) / 1000)
    return statistics.median(samples)


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that a built object keeps."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(after - before)
