"""Threads of the HTTP server: as many as there are requests."""

import threading
from collections.abc import Iterator

import pytest
from gatewaycluster import wait_for

from trefoilspool.workerpool import WorkerPool


class Request:
    """A request that is served until it is released."""

    def __init__(self) -> None:
        self.began = threading.Event()
        self.released = threading.Event()

    def service(self) -> None:
        self.began.set()
        self.released.wait(20)

    def cancel(self) -> None:
        self.released.set()


@pytest.fixture
def pool() -> Iterator[WorkerPool]:
    made = WorkerPool()
    yield made
    made.shutdown()


class TestWorkers:
    def serve(self, pool: WorkerPool, count: int) -> list[Request]:
        requests = [Request() for _ in range(count)]
        for request in requests:
            pool.add_task(request)
        return requests

    def test_idle_server_has_no_threads(self, pool: WorkerPool) -> None:
        assert not pool.threads

    def test_requests_at_the_same_time_do_not_wait(
        self, pool: WorkerPool
    ) -> None:
        requests = self.serve(pool, 20)
        assert all(one.began.wait(20) for one in requests)
        for one in requests:
            one.released.set()

    def test_one_request_after_another_needs_one_thread(
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
        requests = self.serve(pool, 5)
        assert len(pool.threads) == 3
        for one in requests:
            one.released.set()
        assert all(one.began.wait(20) for one in requests)
