"""Worker threads of the HTTP server, started on demand."""

import threading
from collections.abc import Iterator

import pytest
from gatewaycluster import wait_for

from trefoilspool.workerpool import WorkerPool


class Request:
    """A request whose service blocks until it is released."""

    never_waits = False

    def __init__(self) -> None:
        self.began = threading.Event()
        self.released = threading.Event()
        self.refused = threading.Event()

    def service(self) -> None:
        self.began.set()
        self.released.wait(20)

    def cancel(self) -> None:
        self.released.set()

    def refuse(self) -> None:
        self.refused.set()


@pytest.fixture
def pool() -> Iterator[WorkerPool]:
    made = WorkerPool()
    yield made
    made.shutdown()


class TestWorkerPool:
    def serve(self, pool: WorkerPool, count: int) -> list[Request]:
        requests = [Request() for _ in range(count)]
        for request in requests:
            pool.add_task(request)
        return requests

    def test_idle_server_has_no_threads(self, pool: WorkerPool) -> None:
        assert not pool.threads

    def test_concurrent_requests_do_not_wait(self, pool: WorkerPool) -> None:
        requests = self.serve(pool, 20)
        assert all(request.began.wait(20) for request in requests)
        for request in requests:
            request.released.set()

    def test_sequential_requests_share_one_thread(
        self, pool: WorkerPool
    ) -> None:
        for _ in range(5):
            request = self.serve(pool, 1)[0]
            assert request.began.wait(20)
            request.released.set()
            wait_for(lambda: pool.active_count == 0, 'an idle thread')
        assert len(pool.threads) == 1

    def test_threads_are_bounded(
        self, pool: WorkerPool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr('trefoilspool.workerpool.MAX_WORKERS', 3)
        monkeypatch.setattr('trefoilspool.workerpool.QUEUE_TIMEOUT_S', 60)
        requests = self.serve(pool, 5)
        assert len(pool.threads) == 3
        for request in requests:
            request.released.set()
        assert all(request.began.wait(20) for request in requests)

    def test_request_without_a_thread_is_refused(
        self, pool: WorkerPool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr('trefoilspool.workerpool.MAX_WORKERS', 2)
        requests = self.serve(pool, 5)
        assert all(request.refused.wait(20) for request in requests[2:])
        assert not any(request.began.is_set() for request in requests[2:])
        assert not any(request.refused.is_set() for request in requests[:2])
        for request in requests:
            request.released.set()
