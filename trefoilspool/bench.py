"""Base class of capacity benchmarks, and the line fitted to their results."""

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

__all__ = [
    'Bench',
    'Measurement',
    'Slope',
    'fit_line',
    'measure_memory',
    'measure_time',
]

REPEATS = 5


class Measurement(NamedTuple):
    """Value measured at a size."""

    size: int
    value: float


class Slope(NamedTuple):
    """A straight line fitted to measurements.

    Attributes
    ----------
    per_unit : float
        Growth of the value for each unit of size.
    fixed : float
        Value at size 0.
    error : float
        Largest relative error of the line at a measurement.
    """

    per_unit: float
    fixed: float
    error: float


class Bench(ABC):
    """Measurement of a quantity at several sizes.

    Attributes
    ----------
    name, role : str
        Name of the CSV file, and the role of a host that bears the cost.
    size_unit, unit : str
        Units of the size and of the measured quantity.
    sizes : tuple of int
        Sizes to measure, at least four.
    bound : float
        Upper limit at every size, from the stated targets.
    """

    name: ClassVar[str]
    role: ClassVar[str]
    size_unit: ClassVar[str]
    unit: ClassVar[str]
    sizes: ClassVar[tuple[int, ...]]
    bound: ClassVar[float] = math.inf

    @abstractmethod
    def measure(self, size: int) -> float:
        """Return the quantity measured at a size."""

    def run(self) -> list[Measurement]:
        """Measure the quantity at all sizes."""
        return [Measurement(size, self.measure(size)) for size in self.sizes]

    def write_csv(
        self,
        folder: pathlib.Path,
        measurements: list[Measurement],
    ) -> None:
        """Write the measurements to a CSV file."""
        path = folder / f'{self.name}.csv'
        with path.open('w', newline='', encoding='utf-8') as file:
            writer = csv.writer(file, lineterminator='\n')
            writer.writerow((self.size_unit, self.unit))
            for row in measurements:
                writer.writerow((row.size, f'{row.value:.6g}'))


def fit_line(measurements: list[Measurement]) -> Slope:
    """Return the least-squares line through measurements."""
    sizes = np.array([row.size for row in measurements], dtype=float)
    values = np.array([row.value for row in measurements])
    per_unit, fixed = np.polyfit(sizes, values, 1)
    relative_errors = np.abs(per_unit * sizes + fixed - values) / np.abs(values)
    return Slope(float(per_unit), float(fixed), float(relative_errors.max()))


def measure_time(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the median CPU time of a call, in microseconds."""
    samples_us = []
    for _ in range(repeats):
        started_ns = time.process_time_ns()
        call()
        samples_us.append((time.process_time_ns() - started_ns) / 1000)
    return statistics.median(samples_us)


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that a built object occupies."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(after - before)
