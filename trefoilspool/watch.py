"""The task that aborts attempts at a disconnect or the deadline."""

from collections.abc import Callable
from typing import NamedTuple

from trefoilspool import clock
from trefoilspool.task import Task

__all__ = ['Unwatch', 'Watch', 'WatchTask']

TICK_S = 0.1
IDLE_TICK_S = 5.0  # while nothing is watched


class Watch(NamedTuple):
    """Message: start to watch an attempt."""

    number: int
    client_disconnected: Callable[[], bool]
    deadline: float
    abort: Callable[[], None]


class Unwatch(NamedTuple):
    """Message: an attempt has ended."""

    number: int


class WatchTask(Task):
    """Aborts attempts whose caller disconnected or whose deadline passed.

    Calls ``abort`` at most once for each watched attempt.
    """

    def __init__(self) -> None:
        super().__init__(TICK_S)
        self.watched: dict[int, Watch] = {}

    def pause_s(self) -> float:
        """Return the seconds until the next tick is due."""
        return TICK_S if self.watched else IDLE_TICK_S

    def handle(self, message: object) -> None:
        """Start or end a watch."""
        if isinstance(message, Watch):
            self.watched[message.number] = message
        elif isinstance(message, Unwatch):
            self.watched.pop(message.number, None)

    def tick(self) -> None:
        """Abort attempts that are past their deadline or disconnected."""
        now = clock.now()
        for watch in list(self.watched.values()):
            if watch.client_disconnected() or now >= watch.deadline:
                del self.watched[watch.number]
                watch.abort()
