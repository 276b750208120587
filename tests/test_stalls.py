"""What hosts log of having stood still."""

from collections.abc import Iterator

import logbook
import pytest

from trefoilspool.stalls import DRAIN_S, LONGEST_STEP_S, StallWatch, heard_at


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


class TestHeardAt:
    def test_datagram_that_may_have_waited(self) -> None:
        assert heard_at(10, 11 + LONGEST_STEP_S) == 10

    def test_datagram_of_a_host_that_keeps_up(self) -> None:
        """The buffer was empty when the wait for the datagram began."""
        now = 10 + LONGEST_STEP_S / 2
        assert heard_at(10, now) == now

    def test_datagram_of_a_busy_host_that_did_not_stand_still(self) -> None:
        """Its buffer is never empty, but nothing waits there for long."""
        assert heard_at(10, 20, woke_at=9) == 20

    def test_datagram_after_a_wake(self) -> None:
        assert heard_at(10, 13, woke_at=13) == 10
        assert heard_at(10, 13 + DRAIN_S / 2, woke_at=13) == 10

    def test_datagram_long_after_a_wake(self) -> None:
        """What waited has been handled, though the host is busy."""
        assert heard_at(10, 13 + DRAIN_S, woke_at=13) == 13 + DRAIN_S
