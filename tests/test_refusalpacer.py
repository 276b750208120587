"""How many requests a brittle endpoint may have to turn away."""

import pytest
from headers import SERVER_BRITTLE, least_per_s
from test_endpointpacer import HEAD

from trefoilspool.departures import EndpointRun
from trefoilspool.endpointlimits import EndpointLimits, LimitReport
from trefoilspool.limits.refusalpacer import (
    RISK_S,
    ROOM_STEP_S,
    WINDOW_S,
    RefusalPacer,
)
from trefoilspool.slotmessages import SlotKey
from trefoilspool.wire import endpointreports

RUN = EndpointRun('i-1', 1)


def told(refusals_per_s: float | None = 6) -> EndpointLimits:
    limits = EndpointLimits()
    limits.merge([LimitReport(RUN, None, 0, refusals_per_s)], 'h2', 10)
    return limits


class TestStatement:
    def test_header(self) -> None:
        assert least_per_s([('Server-Brittle', '5')], SERVER_BRITTLE) == 5
        assert least_per_s([('Server-Brittle', 'x')], SERVER_BRITTLE) is None

    def test_ends_with_a_response_without_it(self) -> None:
        limits = EndpointLimits()
        brittle = HEAD._replace(is_brittle=True, refusals_per_s=4)
        assert limits.on_head(RUN, brittle, 9, 10)
        assert limits.refusals_per_s(RUN) == 4
        # Sent before it was told.
        assert not limits.on_head(RUN, HEAD, 9.5, 11)
        assert limits.refusals_per_s(RUN) == 4
        assert limits.on_head(RUN, HEAD, 10.5, 11)
        assert limits.refusals_per_s(RUN) is None

    def test_stays_beside_a_limit(self) -> None:
        limits = EndpointLimits()
        both = HEAD._replace(
            names_limit=True, limit_per_s=9, is_brittle=True, refusals_per_s=4
        )
        limits.on_head(RUN, both, 9, 10)
        limited = HEAD._replace(names_limit=True, limit_per_s=7)
        assert limits.on_head(RUN, limited, 11, 12)
        assert (limits.per_s(RUN), limits.refusals_per_s(RUN)) == (7, None)

    def test_passes_between_hosts(self) -> None:
        reports = [LimitReport(RUN, None, 1, 4.0), LimitReport(RUN, 2.0, 1)]
        structs = endpointreports.limits_to_wire(reports)
        assert structs is not None
        assert endpointreports.limits_from_wire(structs) == reports


class TestGrants:
    def test_requests_without_outcome(self) -> None:
        pacer = RefusalPacer(told())
        for number in range(3):
            assert pacer.admits(RUN, number, 10)
            pacer.on_granted(RUN, SlotKey('h1', number), 10)
        assert not pacer.admits(RUN, 3, 10)
        pacer.on_outcome(RUN, SlotKey('h1', 0))
        assert pacer.admits(RUN, 2, 10)
        assert pacer.admits(RUN, 3, 10 + RISK_S + 0.01)

    def test_refusals(self) -> None:
        pacer = RefusalPacer(told())
        for _ in range(3):
            assert pacer.admits(RUN, 0, 10)
            pacer.on_refused(RUN, 0, 10)
        assert not pacer.admits(RUN, 0, 10 + WINDOW_S - 0.01)
        assert pacer.admits(RUN, 0, 10 + WINDOW_S + 0.01)

    def test_room(self) -> None:
        pacer = RefusalPacer(told())
        assert pacer.admits(RUN, 8, 10)
        pacer.on_refused(RUN, 8, 10)
        assert not pacer.admits(RUN, 4, 10)
        assert pacer.admits(RUN, 3, 10)
        assert pacer.admits(RUN, 4, 10 + ROOM_STEP_S)

    @pytest.mark.parametrize('refusals_per_s', [0, 1])
    def test_small_share(self, refusals_per_s: float) -> None:
        pacer = RefusalPacer(told(refusals_per_s), phase=0)
        pacer.share = 0.25
        assert not pacer.admits(RUN, 0, 10)
        assert pacer.admits(RUN, 0, 14)
        pacer.on_granted(RUN, SlotKey('h1', 1), 14)
        assert not pacer.admits(RUN, 0, 17)
        assert pacer.admits(RUN, 0, 18)

    def test_others_are_not_held_back(self) -> None:
        pacer = RefusalPacer(told(None))
        for number in range(99):
            assert pacer.admits(RUN, number, 10)
            pacer.on_granted(RUN, SlotKey('h1', number), 10)
            pacer.on_refused(RUN, number, 10)
        assert not pacer.risks

    def test_hosts_that_are_alone_share_the_rest(self) -> None:
        assert told().alone_per_s(RUN) == 3
        assert told(None).alone_per_s(RUN) is None
