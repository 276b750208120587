"""Worker threads of the HTTP server, as many as there are requests."""

from waitress.task import ThreadedTaskDispatcher

__all__ = ['MAX_WORKERS', 'WorkerPool']

MAX_WORKERS = 160


class WorkerPool(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts a thread for a request where none is idle, up to a bound.

    Threads stay once they are started: a burst that was here comes again.
    """

    def add_task(self, task: object) -> None:
        """Queue a request and see that a thread will take it."""
        with self.lock:
            idle = len(self.threads) - self.stop_count - self.active_count
            is_short = idle <= len(self.queue)
            wanted = len(self.threads) + is_short
        if is_short and not self.stop_count:
            self.set_thread_count(min(wanted, MAX_WORKERS))
        super().add_task(task)
