"""Checks whether endpoints ended under attempts that broke."""

from collections.abc import Callable, Mapping
from enum import Enum, auto
from typing import NamedTuple

import logbook

from trefoilspool import clock
from trefoilspool.departures import EndpointRecord, EndpointRun
from trefoilspool.errors import (
    ConnectFailedError,
    EndpointRefusedConnectionError,
)
from trefoilspool.paths.ways import EndpointPaths
from trefoilspool.task import Task

__all__ = ['SuspectedEnd', 'EndCheckTask']

# By then a process that ends has closed its port; one that is started again
# has hardly opened it.
DELAY_S = 0.1
TIMEOUT_S = 0.2
MAX_PENDING = 64
IDLE_S = 5.0

logger = logbook.Logger('endchecks')


class SuspectedEnd(NamedTuple):
    """Message: an attempt broke, at its start or amid a stream.

    Attributes
    ----------
    number : int
        Number of the attempt at this host.
    """

    run: EndpointRun
    number: int


class PendingCheck(NamedTuple):
    """When a run is to be checked, in seconds, and for which attempts."""

    due: float
    numbers: list[int]


class CheckResult(Enum):
    """What a connection to an endpoint shows."""

    accepts = auto()
    refuses = auto()
    unknown = auto()


class EndCheckTask(Task):
    """Connects to the endpoints; one that refuses has ended.

    Other hosts avoid an endpoint whose attempt broke, so that nobody may be
    refused while it is down. No request is sent.

    Parameters
    ----------
    endpoints : mapping
        Records of the endpoints by name.
    on_ended : callable
        Called with the number of each attempt whose endpoint has ended.
    paths : EndpointPaths
        Opens the connections: one that other hosts are refused, too, has ended.

    Attributes
    ----------
    on_unknown : callable
        Called with a run of which it cannot be told whether it has ended.
    pending : dict
        The checks to make, by run; oldest first.
    """

    def __init__(
        self,
        endpoints: Mapping[str, EndpointRecord],
        on_ended: Callable[[int], None],
        paths: EndpointPaths,
    ) -> None:
        super().__init__(IDLE_S)
        self.endpoints = endpoints
        self.on_ended = on_ended
        self.paths = paths
        self.on_unknown: Callable[[EndpointRun], None] = lambda _: None
        self.pending: dict[EndpointRun, PendingCheck] = {}

    def handle(self, message: object) -> None:
        """Note an attempt; one check is made for all at a run."""
        if not isinstance(message, SuspectedEnd):
            return
        run, number = message
        if run not in self.pending and len(self.pending) >= MAX_PENDING:
            logger.info('end_not_checked', extra={'endpoint': run.name})
            self.on_unknown(run)
            return
        check = PendingCheck(clock.now() + DELAY_S, [])
        self.pending.setdefault(run, check).numbers.append(number)

    def pause_s(self) -> float:
        """Return the seconds until the next check is due."""
        if not self.pending:
            return IDLE_S
        return max(0.0, next(iter(self.pending.values())).due - clock.now())

    def tick(self) -> None:
        """Make the check that is due."""
        run = next(iter(self.pending), None)
        if run is None or self.pending[run].due > clock.now():
            return
        numbers = self.pending.pop(run).numbers
        result = self.check(run)
        logger.info(
            'end_checked', extra={'endpoint': run.name, 'result': result.name}
        )
        if result is CheckResult.refuses:
            for number in numbers:
                self.on_ended(number)
        elif result is CheckResult.unknown:
            self.on_unknown(run)

    def check(self, run: EndpointRun) -> CheckResult:
        """Connect to the endpoint of a run."""
        record = self.endpoints.get(run.name)
        if record is None or record.run != run:
            return CheckResult.unknown
        try:
            self.paths.open(record, TIMEOUT_S).close()
        except EndpointRefusedConnectionError:
            return CheckResult.refuses
        except ConnectFailedError as error:
            # Nothing can be told from a link that is cut, for one.
            logger.debug('end_unknown', extra={'error': str(error)})
            return CheckResult.unknown
        return CheckResult.accepts
