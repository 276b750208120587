"""Tasks that own their state and communicate by messages."""

import math
import queue
import time
from abc import ABC, abstractmethod
from concurrent.futures import Future, ThreadPoolExecutor

import logbook

__all__ = ['Stop', 'Task', 'TaskGroup']

logger = logbook.Logger('task')


class Stop:
    """Message that ends a task."""


class Task(ABC):
    """A loop on one thread that handles messages and a periodic tick.

    Parameters
    ----------
    period_s : float
        Seconds between ticks.
    """

    def __init__(self, period_s: float) -> None:
        self.period_s = period_s
        self.inbox: queue.SimpleQueue[object] = queue.SimpleQueue()

    def post(self, message: object) -> None:
        """Queue a message; never blocks."""
        self.inbox.put(message)

    @abstractmethod
    def handle(self, message: object) -> None:
        """Handle one message on the task's thread."""

    def tick(self) -> None:
        """Run periodic work on the task's thread."""

    def batch_end(self) -> None:
        """Run after each batch of queued messages."""

    def pause_s(self) -> float:
        """Return the longest time until the next tick, in seconds."""
        return self.period_s

    def run(self) -> None:
        """Handle messages until a ``Stop`` arrives."""
        due = time.monotonic()
        while True:
            wait_s = max(0, due - time.monotonic())
            if not self.drain(wait_s):
                return
            if time.monotonic() >= due:
                self.guard(self.tick)
                due = math.inf
            due = min(due, time.monotonic() + self.pause_s())

    def drain(self, wait_s: float) -> bool:
        """Wait for a message and handle all that are queued.

        Parameters
        ----------
        wait_s : float
            Maximum wait for the first message, in seconds.

        Returns
        -------
        bool
            False after a ``Stop``, otherwise True.
        """
        try:
            message = self.inbox.get(timeout=wait_s)
        except queue.Empty:
            return True
        while True:
            if isinstance(message, Stop):
                return False
            self.guard(self.handle, message)
            try:
                message = self.inbox.get_nowait()
            except queue.Empty:
                break
        self.guard(self.batch_end)
        return True

    def guard(self, step, *arguments) -> None:  # type: ignore[no-untyped-def]
        """Run one step; log an unexpected error and keep the task alive."""
        try:
            step(*arguments)
        except Exception:
            logger.exception('{} failed in {}', type(self).__name__, step)


class TaskGroup:
    """Runs tasks on threads of one executor.

    Parameters
    ----------
    limit : int
        Maximum number of tasks that run at once.
    """

    def __init__(self, limit: int = 512) -> None:
        self.executor = ThreadPoolExecutor(limit, 'task')
        self.tasks: list[Task] = []

    def start(self, task: Task) -> 'Future[None]':
        """Run a task on its own thread."""
        self.tasks.append(task)
        return self.executor.submit(task.run)

    def stop(self) -> None:
        """Stop all tasks and wait for their threads."""
        for task in self.tasks:
            task.post(Stop())
        self.executor.shutdown(wait=True, cancel_futures=True)
