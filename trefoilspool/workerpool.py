"""Worker threads of the HTTP server, started on demand."""

import threading
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

import logbook
from waitress.task import ThreadedTaskDispatcher

from trefoilspool import clock

__all__ = ['MAX_WORKERS', 'PoolTask', 'WorkerPool']

MAX_WORKERS = 160
# A request that no thread takes for this long is refused.
QUEUE_TIMEOUT_S = 0.5
# Least time between two looks at a request that waits.
QUEUE_POLL_S = 0.02

logger = logbook.Logger('workerpool')


class PoolTask(Protocol):
    """A connection whose next request is to be answered.

    Attributes
    ----------
    never_waits : bool
        Whether its answer depends on nothing outside this process.
    """

    never_waits: bool

    def service(self) -> None:
        """Answer the request."""

    def refuse(self) -> None:
        """Answer the request without waiting for anything."""

    def cancel(self) -> None:
        """Close the connection without an answer."""


class QueuedTask(NamedTuple):
    """A task with the time, in monotonic seconds, at which it was queued."""

    task: PoolTask
    queued_at: float

    def service(self) -> None:
        """Answer the request."""
        self.task.service()

    def cancel(self) -> None:
        """Close the connection without an answer."""
        self.task.cancel()


class WorkerPool(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts a thread when a request finds none idle, up to ``MAX_WORKERS``.

    Threads are not stopped after a burst, since bursts recur. One more thread
    never waits: it answers tasks that need nothing outside this process, and
    refuses requests for which no thread became free in ``QUEUE_TIMEOUT_S``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.prompt_tasks: deque[PoolTask] = deque()
        self.prompt_work = threading.Condition(self.lock)
        self.stopping = False
        threading.Thread(target=self.run_prompt_thread, daemon=True).start()

    @property
    def idle_count(self) -> int:
        """Return the number of threads that wait for a request."""
        idle: int = len(self.threads) - self.stop_count - self.active_count
        return idle

    def add_task(self, task: PoolTask) -> None:
        """Queue a request, starting a thread for it if none is idle."""
        if task.never_waits:
            with self.lock:
                self.prompt_tasks.append(task)
                self.prompt_work.notify()
            return
        with self.lock:
            needs_thread = self.idle_count <= len(self.queue)
            thread_count = len(self.threads) + needs_thread
        if needs_thread and not self.stop_count:
            self.set_thread_count(min(thread_count, MAX_WORKERS))
        with self.lock:
            self.queue.append(QueuedTask(task, clock.now()))
            self.queue_cv.notify()
            if self.idle_count < len(self.queue):
                self.prompt_work.notify()

    def start_new_thread(
        self, target: Callable[[int], None], thread_no: int
    ) -> None:
        """Start a thread; without it the request waits for another one.

        Called with the lock held, by a caller that then counts the thread as
        active.
        """
        try:
            super().start_new_thread(target, thread_no)
        except (RuntimeError, MemoryError) as error:
            self.threads.discard(thread_no)
            self.active_count -= 1
            logger.warning(
                'thread_not_started',
                extra={'threads': len(self.threads), 'error': repr(error)},
            )

    def run_prompt_thread(self) -> None:
        """Run prompt tasks and refuse overdue requests until shutdown."""
        while not self.stopping:
            with self.lock:
                action = self.next_action()
                if action is None:
                    self.prompt_work.wait(self.next_look_s())
            if action is not None:
                self.run_action(action)

    def run_action(self, action: Callable[[], None]) -> None:
        """Run what a task asked for; log a failure."""
        try:
            action()
        except Exception:
            logger.exception('prompt_task_failed')

    def next_action(self) -> Callable[[], None] | None:
        """Return what the prompt thread is to do now, None for nothing."""
        if self.prompt_tasks:
            return self.prompt_tasks.popleft().service
        if not self.queue or self.idle_count > 0:
            return None
        if clock.now() - self.queue[0].queued_at < QUEUE_TIMEOUT_S:
            return None
        task: PoolTask = self.queue.popleft().task
        return task.refuse

    def next_look_s(self) -> float | None:
        """Return the seconds until a request may be overdue, None for never."""
        if not self.queue:
            return None
        oldest: QueuedTask = self.queue[0]
        left_s = oldest.queued_at + QUEUE_TIMEOUT_S - clock.now()
        return max(QUEUE_POLL_S, left_s)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """Stop all threads."""
        self.stop_prompt_thread()
        stopped: bool = super().shutdown(cancel_pending, timeout)
        return stopped

    def stop_prompt_thread(self) -> None:
        """Stop the thread that never waits."""
        with self.lock:
            self.stopping = True
            self.prompt_work.notify()
