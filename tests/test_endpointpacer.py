"""The home host's count of requests to endpoints with a limit."""

import pytest
from headers import SERVER_LIMIT, least_per_s
from test_slotscheduler import (
    SERVICE,
    ask,
    decision_types,
    endpoint_spec,
    slot_release,
)

from trefoilspool.departures import EndpointRun
from trefoilspool.dialect import ResponseHead
from trefoilspool.endpointlimits import (
    ENDED_RETENTION_S,
    EndpointLimits,
    LimitReport,
)
from trefoilspool.endpointpacer import MAX_DEBT_S, MIN_PER_S
from trefoilspool.homecontact import HomeContact
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.slotmessages import (
    AttemptEnding,
    Granted,
    HeldSlot,
    Queued,
    RefusalReason,
    Refused,
    SlotKey,
)
from trefoilspool.slotscheduler import SlotScheduler
from trefoilspool.wire import endpointreports

RUN = EndpointRun('a', 1)
HEAD = ResponseHead(
    200, '', True, False, False, False, False, 0, False, 0, False, None, ()
)
STEP_S = 0.02


def naming(per_s: float | None) -> ResponseHead:
    """Return a head that names a limit, with None one that is unreadable."""
    return HEAD._replace(names_limit=True, limit_per_s=per_s)


def limited(per_s: float, *others: str, share: float = 1) -> SlotScheduler:
    """Return a scheduler for the endpoint 'a' with a limit, and others."""
    limits = EndpointLimits()
    limits.on_head(RUN, naming(per_s), 0, 0)
    made = SlotScheduler(limits=limits)
    made.pacer.share = share
    made.on_available_endpoints(
        [endpoint_spec(name, 2000) for name in ('a', *others)], 0
    )
    return made


def granted_by(
    scheduler: SlotScheduler, seconds: float, **changes: object
) -> list[tuple[float, str]]:
    """Ask at each step; return when endpoints were granted, and which."""
    granted = []
    for number in range(int(seconds / STEP_S)):
        now = number * STEP_S
        request = ask(number, arrived_at=now, deadline=now + 9)
        scheduler.on_ask(request._replace(**changes), now)
        scheduler.tick(now)
        granted += [
            (now, decision.endpoint)
            for decision in scheduler.take_decisions()
            if isinstance(decision, Granted)
        ]
    return granted


class TestValues:
    @pytest.mark.parametrize(
        ('text', 'per_s'),
        [('4', 4), (' 3.5 ', 3.5), ('0', 0), ('.25', 0.25), ('2.', 2)],
    )
    def test_numbers(self, text: str, per_s: float) -> None:
        assert least_per_s([('Server-Limit', text)], SERVER_LIMIT) == per_s

    @pytest.mark.parametrize(
        'text', ['', '-1', 'nan', 'inf', '1e3', '1,5', '٣', 'soon']
    )
    def test_other_values_are_ignored(self, text: str) -> None:
        assert least_per_s([('server-limit', text)], SERVER_LIMIT) is None

    def test_least_of_two_counts(self) -> None:
        headers = [('Server-Limit', '5'), ('Server-Limit', '3')]
        assert least_per_s(headers, SERVER_LIMIT) == 3


class TestLimits:
    @pytest.fixture
    def limits(self) -> EndpointLimits:
        made = EndpointLimits()
        made.on_head(RUN, naming(4), 9, 10)
        return made

    def test_newest_value_counts(self, limits: EndpointLimits) -> None:
        assert limits.on_head(RUN, naming(6), 10, 11)
        assert limits.per_s(RUN) == 6

    def test_response_overtaken_by_a_naming_one_ends_no_limit(
        self, limits: EndpointLimits
    ) -> None:
        assert not limits.on_head(RUN, HEAD, 9.9, 10.1)
        assert limits.per_s(RUN) == 4

    def test_later_request_without_a_limit_ends_it(
        self, limits: EndpointLimits
    ) -> None:
        assert limits.on_head(RUN, HEAD, 10.1, 10.2)
        assert limits.per_s(RUN) is None

    def test_response_that_may_not_be_its_own_ends_none(
        self, limits: EndpointLimits
    ) -> None:
        limits.on_head(RUN, HEAD._replace(is_stamped=False), 10.1, 10.2)
        assert limits.per_s(RUN) == 4

    def test_unreadable_value_ends_none(self, limits: EndpointLimits) -> None:
        limits.on_head(RUN, naming(None), 10.1, 10.2)
        assert limits.per_s(RUN) == 4

    def test_later_run_has_none(self, limits: EndpointLimits) -> None:
        assert limits.per_s(EndpointRun('a', 2)) is None

    def test_older_report_of_a_peer_changes_nothing(
        self, limits: EndpointLimits
    ) -> None:
        assert not limits.merge([LimitReport(RUN, 9, 1)], 'h2', 10.5)
        assert limits.merge([LimitReport(RUN, 2, 0.1)], 'h2', 10.5)
        assert limits.per_s(RUN) == 2

    def test_ended_limit_is_not_brought_back(
        self, limits: EndpointLimits
    ) -> None:
        limits.merge([LimitReport(RUN, None, 0)], 'h2', 20)
        limits.tick(20 + ENDED_RETENTION_S / 2)
        assert not limits.merge([LimitReport(RUN, 4, 12)], 'h3', 21)
        assert limits.per_s(RUN) is None

    def test_only_what_it_heard_itself_is_told_on(
        self, limits: EndpointLimits
    ) -> None:
        assert limits.own_reports(11) == [LimitReport(RUN, 4, 1)]
        limits.merge([LimitReport(RUN, 2, 0)], 'h2', 12)
        assert not limits.own_reports(12)
        assert limits.reports(12) == [LimitReport(RUN, 2, 0)]

    def test_reports_survive_encoding(self) -> None:
        reports = [LimitReport(RUN, 2.5, 1.0), LimitReport(RUN, None, 0.5)]
        structs = endpointreports.limits_to_wire(reports)
        assert structs is not None
        assert endpointreports.limits_from_wire(structs) == reports


class TestPacing:
    @pytest.mark.parametrize('per_s', [0.5, 3, 12])
    def test_limit_is_granted_and_no_more(self, per_s: float) -> None:
        granted = granted_by(limited(per_s), 20)
        assert per_s * 18 <= len(granted) <= per_s * 21 + 1

    def test_what_it_does_not_take_goes_elsewhere(self) -> None:
        granted = granted_by(limited(3, 'b'), 4)
        assert len(granted) == 200
        assert 6 <= sum(name == 'a' for _, name in granted) <= 15

    def test_endpoint_that_takes_none_is_tried_now_and_then(self) -> None:
        granted = granted_by(limited(0, 'b'), 25)
        tried = [at for at, name in granted if name == 'a']
        assert 1 <= len(tried) <= 25 * MIN_PER_S + 1

    def test_retries_count(self) -> None:
        granted = granted_by(limited(3), 4, attempt=2)
        assert len(granted) <= 3 * 4.5 + 1

    def test_home_host_that_hears_few_grants_its_share(self) -> None:
        assert len(granted_by(limited(8, share=0.25), 10)) <= 2 * 10.5 + 1

    def test_raised_limit_applies_at_once(self) -> None:
        scheduler = limited(4)
        limits = scheduler.pacer.limits
        for number in range(20):
            scheduler.on_ask(ask(number), 0)
        limits.on_head(RUN, naming(100), 0, 0.1)
        waiting = len(scheduler.waiting)
        assert waiting >= 3
        scheduler.tick(0.1)
        scheduler.tick(0.2)
        assert decision_types(scheduler).count(Granted) == waiting

    def test_ended_limit_frees_waiting_requests(self) -> None:
        scheduler = limited(3)
        for number in range(3):
            scheduler.on_ask(ask(number), 0)
        assert Granted not in decision_types(scheduler)
        scheduler.pacer.limits.on_head(RUN, HEAD, 0.1, 0.2)
        scheduler.tick(0.2)
        assert decision_types(scheduler) == [Granted] * 3

    def test_requests_that_others_granted_count(self) -> None:
        """A bounded debt: they may have been sent before the limit."""
        scheduler = limited(3)
        scheduler.on_ask(ask(1, deadline=90), 0)
        for number in range(10, 40):
            scheduler.on_release(slot_release(number, 'a'), 0)
        held = [
            HeldSlot(SlotKey('h2', number), SERVICE, 'a', 10, 10, 1)
            for number in range(5)
        ]
        scheduler.on_held_slots('h2', held, 0)
        assert not scheduler.pacer.admits(RUN, MAX_DEBT_S)
        assert scheduler.pacer.admits(RUN, MAX_DEBT_S + 1.5 / 3)

    def test_unsent_attempt_of_another_host_does_not_count(self) -> None:
        scheduler = limited(3)
        assert not scheduler.pacer.admits(RUN, 0)
        scheduler.on_release(slot_release(9, 'a', AttemptEnding.unused), 0)
        assert scheduler.pacer.admits(RUN, 0.1)


class TestWaits:
    """Waits, tiers and Retry-After take the limits into account."""

    def test_request_that_would_wait_too_long_is_refused_at_once(self) -> None:
        scheduler = limited(1)
        scheduler.on_ask(ask(1), 0)
        scheduler.on_ask(ask(2), 0)
        scheduler.on_ask(ask(3), 0)
        decisions = scheduler.take_decisions()
        assert [type(each) for each in decisions] == [Queued, Queued, Refused]
        assert isinstance(decisions[2], Refused)
        assert decisions[2].reason is RefusalReason.crowded

    def test_retry_after_is_when_the_endpoint_takes_one(self) -> None:
        scheduler = limited(0.5)
        scheduler.on_ask(ask(1, deadline=30), 0)
        scheduler.tick(0.1)
        scheduler.take_decisions()
        scheduler.on_ask(ask(2, arrived_at=0.1, deadline=30), 0.1)
        refused = scheduler.take_decisions()[0]
        assert isinstance(refused, Refused)
        assert 1.5 <= refused.retry_after <= 2

    def test_urgent_request_gets_the_next_one(self) -> None:
        scheduler = limited(2)
        scheduler.on_ask(ask(1, rank=3), 0)
        scheduler.on_ask(ask(2, rank=0), 0)
        scheduler.take_decisions()
        scheduler.tick(0.02)
        granted = scheduler.take_decisions()
        assert [each.key.number for each in granted] == [2]


class TestHomeShare:
    """Hosts may differ for a while on which of them is the home host."""

    @pytest.fixture
    def contact(self) -> HomeContact:
        peers = PeerRegistry(HostInfo('h1', '127.0.0.1', 1))
        for number in range(2, 5):
            host = HostInfo(f'h{number}', f'127.0.0.{number}', 1)
            peers.on_heartbeat(host, 9.9)
        return HomeContact(peers)

    def test_two_home_hosts_grant_one_limit(self, contact: HomeContact) -> None:
        """All hosts are heard, but each reports to one of the two."""
        first = contact.home_share([9.9, 9.8], 10)
        second = contact.home_share([9.9, 9.8], 10)
        assert first + second == 1

    def test_host_that_reports_no_more(self, contact: HomeContact) -> None:
        assert contact.home_share([9.9, 9.9, 9.9, 9.9], 10) == 1
        assert contact.home_share([9.9, 9.9, 9.9, 9.5], 10) == 3 / 4

    def test_new_home_host_grants_its_own_share(
        self, contact: HomeContact
    ) -> None:
        assert contact.home_share([], 10) == 1 / 4

    def test_leaving_hosts_do_not_count(self, contact: HomeContact) -> None:
        gone = HostInfo('h2', '127.0.0.2', 1, leaving=True)
        contact.peers.on_heartbeat(gone, 9.9)
        assert contact.home_share([9.9, 9.9], 10) == 2 / 3


class TestStandingStill:
    def test_limit_that_another_home_host_granted_is_not_granted_again(
        self,
    ) -> None:
        scheduler = limited(10)
        assert not scheduler.pacer.admits(RUN, 0)
        scheduler.on_stood_still(0, 4)
        assert not scheduler.pacer.admits(RUN, 4)
        assert scheduler.pacer.admits(RUN, 4.1)
