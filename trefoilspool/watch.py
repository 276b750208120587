"""The task that aborts streams whose caller is gone or deadline passed."""

import time
from collections.abc import Callable
from typing import NamedTuple

from trefoilspool.task import Task

__all__ = ['Unwatch', 'Watch', 'WatchTask']

TICK_S = 0.1
IDLE_S = 5.0  # between ticks while nothing is watched


class Watch(NamedTuple):
    """Start to watch an attempt."""

    number: int
    gone: Callable[[], bool]
    deadline: float
    abort: Callable[[], None]


class Unwatch(NamedTuple):
    """An attempt has ended."""

    number: int


class WatchTask(Task):
    """Calls ``abort`` once when a watched attempt has to end."""

    def __init__(self) -> None:
        super().__init__(TICK_S)
        self.watched: dict[int, Watch] = {}

    def pause_s(self) -> float:
        """Return the seconds until the next tick is due."""
        return TICK_S if self.watched else IDLE_S

    def handle(self, message: object) -> None:
        """Start or end a watch."""
        if isinstance(message, Watch):
            self.watched[message.number] = message
        elif isinstance(message, Unwatch):
            self.watched.pop(message.number, None)

    def tick(self) -> None:
        """Abort what has to end."""
        now = time.monotonic()
        for watch in list(self.watched.values()):
            if watch.gone() or now >= watch.deadline:
                del self.watched[watch.number]
                watch.abort()
