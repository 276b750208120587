"""Benchmarks of the scheduling core: decision time and memory."""

from trefoilspool import events
from trefoilspool.bench import Bench, measure_memory, measure_time
from trefoilspool.cell import Cell

__all__ = [
    'DecisionByEndpoints',
    'DecisionByQueue',
    'EndpointMemory',
    'WaitingMemory',
]

WORKSPACES = 270
SLOTS_PER_ENDPOINT = 16
REQUESTS = 400
DEADLINE_S = 1e6  # far enough that no request expires
CONTROL_PATH_US = 500  # target for the whole control path of a request


def make_ask(number: int) -> events.Ask:
    """Return an ask; workspaces, tiers and prefixes vary with its number."""
    return events.Ask(
        events.RequestKey('host', number),
        'cell',
        f'ws{number % WORKSPACES}',
        'stock',
        number % 4,
        1 + number % 4,
        DEADLINE_S,
        400,
        120,
        events.VictimClass.once_model,
        (number % 50, number % 500, number, number + 1),
    )


def make_cell(endpoints: int) -> Cell:
    """Return a cell with usable endpoints and no requests."""
    cell = Cell()
    for number in range(endpoints):
        cell.handle(
            events.EndpointSeen(
                f'e{number}', 1, SLOTS_PER_ENDPOINT, usable=True
            ),
            0,
        )
    return cell


def fill(cell: Cell, requests: int) -> list[events.RequestKey]:
    """Submit asks and return the requests that were granted."""
    granted = []
    for number in range(requests):
        for decision in cell.handle(make_ask(number), 0):
            if isinstance(decision, events.Grant):
                granted.append(decision.request)
    return granted


def replace_granted(cell: Cell, granted: list[events.RequestKey]) -> None:
    """Release permits and submit as many asks, so that the load is steady."""
    for number in range(REQUESTS):
        request = granted.pop(0)
        release = events.Release(
            request,
            events.Ending.completed,
            0.3,
            400,
            100,
            100,
            2,
        )
        decisions = [
            *cell.handle(release, 0.001 * number),
            *cell.handle(make_ask(FIRST_NEW_NUMBER + number), 0.001 * number),
        ]
        granted.extend(
            decision.request
            for decision in decisions
            if isinstance(decision, events.Grant)
        )


def request_us(cell: Cell, asks: int) -> float:
    """Return the microseconds of a request in a cell with so many asks."""
    granted = fill(cell, asks)
    return measure_time(lambda: replace_granted(cell, granted), 1) / REQUESTS


FIRST_NEW_NUMBER = 10_000_000  # above the requests that fill the cell


class DecisionByEndpoints(Bench):
    """CPU time of a request in the core by the number of endpoints."""

    name = 'decision-endpoints'
    role = 'scheduler'
    size_unit = 'endpoints a cell'
    unit = 'microseconds a request'
    sizes = (4, 16, 32, 64, 128)
    bound = CONTROL_PATH_US

    def measure(self, size: int) -> float:
        """Return the CPU time of an ask, a grant and a release."""
        cell = make_cell(size)
        return request_us(cell, size * SLOTS_PER_ENDPOINT + REQUESTS)


class DecisionByQueue(Bench):
    """CPU time of a request in the core by the number of waiting requests."""

    name = 'decision-queue'
    role = 'scheduler'
    size_unit = 'waiting requests'
    unit = 'microseconds a request'
    sizes = (10, 100, 1000, 10_000)
    bound = CONTROL_PATH_US

    def measure(self, size: int) -> float:
        """Return the CPU time of an ask, a grant and a release."""
        cell = make_cell(16)
        return request_us(cell, 16 * SLOTS_PER_ENDPOINT + size)


class EndpointMemory(Bench):
    """Memory of a cell with no free slot by the number of endpoints."""

    name = 'endpoint-memory'
    role = 'scheduler'
    size_unit = 'endpoints a cell'
    unit = 'bytes'
    sizes = (4, 16, 32, 64, 128)

    def measure(self, size: int) -> float:
        """Return the bytes of a cell that has granted all its slots."""

        def build() -> Cell:
            cell = make_cell(size)
            fill(cell, size * SLOTS_PER_ENDPOINT)
            return cell

        return measure_memory(build)


class WaitingMemory(Bench):
    """Memory of a cell by the number of waiting requests."""

    name = 'waiting-memory'
    role = 'scheduler'
    size_unit = 'waiting requests'
    unit = 'bytes'
    sizes = (100, 1000, 5000, 10_000)

    def measure(self, size: int) -> float:
        """Return the bytes of a cell with waiting requests."""

        def build() -> Cell:
            cell = make_cell(1)
            fill(cell, size)
            return cell

        return measure_memory(build)
