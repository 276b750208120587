"""Cost of the scheduling core."""

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
SLOTS = 16
REQUESTS = 400
FAR_S = 1e6
CONTROL_PATH_US = 500  # a request's whole control path


def make_ask(number: int) -> events.Ask:
    """Return an ask of one of many workspaces."""
    return events.Ask(
        events.RequestKey('host', number),
        'cell',
        f'ws{number % WORKSPACES}',
        'stock',
        number % 4,
        1 + number % 4,
        FAR_S,
        400,
        120,
        events.VictimClass.once_model,
        (number % 50, number % 500, number, number + 1),
    )


def make_cell(endpoints: int) -> Cell:
    """Return a cell with fresh endpoints."""
    cell = Cell()
    for number in range(endpoints):
        cell.handle(
            events.EndpointSeen(f'e{number}', 1, SLOTS, usable=True),
            0,
        )
    return cell


def fill(cell: Cell, requests: int) -> list[events.RequestKey]:
    """Ask for many permits and return those that were granted."""
    granted = []
    for number in range(requests):
        for decision in cell.handle(make_ask(number), 0):
            if isinstance(decision, events.Grant):
                granted.append(decision.request)
    return granted


def turn_over(cell: Cell, granted: list[events.RequestKey]) -> None:
    """End permits and ask anew, so that the load stays the same."""
    for number in range(REQUESTS):
        request = granted.pop(0)
        done = events.Release(
            request,
            events.Ending.completed,
            0.3,
            400,
            100,
            100,
            2,
        )
        decisions = [
            *cell.handle(done, 0.001 * number),
            *cell.handle(make_ask(FIRST_NEW + number), 0.001 * number),
        ]
        granted.extend(
            one.request for one in decisions if isinstance(one, events.Grant)
        )


FIRST_NEW = 10_000_000


class DecisionByEndpoints(Bench):
    """Time of a request in the core by the cell's endpoints."""

    name = 'decision-endpoints'
    role = 'scheduler'
    size_unit = 'endpoints a cell'
    unit = 'microseconds a request'
    sizes = (4, 16, 32, 64, 128)
    bound = CONTROL_PATH_US

    def measure(self, size: int) -> float:
        """Return the time of an ask, a grant and a release."""
        cell = make_cell(size)
        granted = fill(cell, size * SLOTS + REQUESTS)
        took = measure_time(lambda: turn_over(cell, granted), 1)
        return took / REQUESTS


class DecisionByQueue(Bench):
    """Time of a request in the core by the requests that wait."""

    name = 'decision-queue'
    role = 'scheduler'
    size_unit = 'waiting requests'
    unit = 'microseconds a request'
    sizes = (10, 100, 1000, 10_000)
    bound = CONTROL_PATH_US

    def measure(self, size: int) -> float:
        """Return the time of an ask, a grant and a release."""
        cell = make_cell(16)
        granted = fill(cell, 16 * SLOTS + size)
        took = measure_time(lambda: turn_over(cell, granted), 1)
        return took / REQUESTS


class EndpointMemory(Bench):
    """Memory of a cell by its endpoints, with full permits."""

    name = 'endpoint-memory'
    role = 'scheduler'
    size_unit = 'endpoints a cell'
    unit = 'bytes'
    sizes = (4, 16, 32, 64, 128)

    def measure(self, size: int) -> float:
        """Return the bytes of a cell whose endpoints are full."""

        def build() -> Cell:
            cell = make_cell(size)
            fill(cell, size * SLOTS)
            return cell

        return measure_memory(build)


class WaitingMemory(Bench):
    """Memory of a cell by the requests that wait in it."""

    name = 'waiting-memory'
    role = 'scheduler'
    size_unit = 'waiting requests'
    unit = 'bytes'
    sizes = (100, 1000, 5000, 10_000)

    def measure(self, size: int) -> float:
        """Return the bytes of a cell in which requests wait."""

        def build() -> Cell:
            cell = make_cell(1)
            fill(cell, size)
            return cell

        return measure_memory(build)
