"""Worker threads of the HTTP server, started on demand."""

from waitress.task import ThreadedTaskDispatcher

__all__ = ['MAX_WORKERS', 'WorkerPool']

MAX_WORKERS = 160


class WorkerPool(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts a thread when a request finds none idle, up to ``MAX_WORKERS``.

    Threads are not stopped after a burst, since bursts recur.
    """

    def add_task(self, task: object) -> None:
        """Queue a request, starting a thread for it if none is idle."""
        with self.lock:
            idle_count = len(self.threads) - self.stop_count - self.active_count
            needs_thread = idle_count <= len(self.queue)
            thread_count = len(self.threads) + needs_thread
        if needs_thread and not self.stop_count:
            self.set_thread_count(min(thread_count, MAX_WORKERS))
        super().add_task(task)
