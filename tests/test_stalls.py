"""What hosts log of having stood still."""

from collections.abc import Iterator

import logbook
import pytest

from trefoilspool.stalls import StallWatch


class TestStallWatch:
    @pytest.fixture
    def log(self) -> Iterator[logbook.TestHandler]:
        with logbook.TestHandler() as handler:
            yield handler

    def test_late_end_of_a_wait(self, log: logbook.TestHandler) -> None:
        watch = StallWatch(0)
        watch.on_wait(0, 1)
        watch.on_wake(4.5)
        assert [record.extra['for_s'] for record in log.records] == [3.5]

    def test_long_work_between_two_waits(
        self, log: logbook.TestHandler
    ) -> None:
        watch = StallWatch(0)
        watch.on_wake(0)
        watch.on_wait(2, 1)
        assert [record.extra['for_s'] for record in log.records] == [2]

    def test_waits_in_time(self, log: logbook.TestHandler) -> None:
        watch = StallWatch(0)
        for second in range(1, 5):
            watch.on_wait(second - 1, 1)
            watch.on_wake(second)
        assert not log.records
