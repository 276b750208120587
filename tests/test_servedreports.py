"""What entry hosts tell a new home host of requests that were served."""

import pytest
from test_crashevidence import crash, culprits
from test_slotscheduler import ask, slot_release

from trefoilspool.crashevidence import CrashEvidence
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.quarantine import Quarantine
from trefoilspool.servedhistory import SAME_HOME_S, SETTLING_S
from trefoilspool.servedreports import (
    MAX_REPORTED,
    ServedLog,
    ServedPart,
    ServedReport,
)
from trefoilspool.slotclient import GrantedSlot, SlotClient
from trefoilspool.slotmessages import AttemptEnding
from trefoilspool.wire import endpointreports

NOTHING_SERVED = ServedReport((), 60)


class TestServedLog:
    def test_newest_parts_are_reported(self) -> None:
        log = ServedLog(0)
        log.add(('a', 'b', ':f'), 5)
        log.add(('a',), 7)
        assert log.report(10) == ServedReport(
            (ServedPart('b', 5), ServedPart('a', 3)), 10
        )

    def test_full_report_covers_less(self) -> None:
        log = ServedLog(0)
        for number in range(MAX_REPORTED + 10):
            log.add((f'p{number}',), number)
        report = log.report(200)
        assert len(report.parts) == MAX_REPORTED
        assert report.covered_s == 190

    def test_report_survives_encoding(self) -> None:
        report = ServedReport((ServedPart('a', 1.5),), 20)
        assert (
            endpointreports.served_from_wire(
                endpointreports.served_to_wire(report)
            )
            == report
        )

    @pytest.mark.parametrize(
        ('ending', 'served'),
        [(AttemptEnding.completed, True), (AttemptEnding.broken, False)],
    )
    def test_client_notes_what_is_served(
        self, ending: AttemptEnding, *, served: bool
    ) -> None:
        client = SlotClient(
            'h1',
            PeerRegistry(HostInfo('h1', '127.0.0.1', 1)),
            lambda address, message: None,
        )
        request = ask(1, prompt_prefixes=('a', 'a/1'))
        client.held[1] = GrantedSlot(request, 'e', 0)
        client.release(slot_release(1, 'e', ending))
        assert bool(client.served_report(1).parts) is served


class TestNewHomeHost:
    """It became home host at 1, after the first crash, at 0."""

    @pytest.fixture
    def evidence(self) -> CrashEvidence:
        made = CrashEvidence(Quarantine())
        made.history.known_since = 1
        made.history.entries = frozenset(('h1', 'h2'))
        for number in range(3):
            crash(made, number, 'bad')
        return made

    def test_it_judges_what_all_hosts_have_told(
        self, evidence: CrashEvidence
    ) -> None:
        for entry in evidence.history.entries:
            evidence.on_served_report(entry, NOTHING_SERVED, 1.2)
        assert culprits(evidence, 2.5) == ['bad']

    def test_it_waits_for_what_one_host_has_not_told(
        self, evidence: CrashEvidence
    ) -> None:
        evidence.on_served_report('h1', NOTHING_SERVED, 1.2)
        assert not culprits(evidence, 2.5)

    def test_it_waits_until_all_may_have_reported(
        self, evidence: CrashEvidence
    ) -> None:
        evidence.history.entries = frozenset(('h1',))
        evidence.on_served_report('h1', NOTHING_SERVED, 1.2)
        evidence.history.known_since = 2.5 - SETTLING_S / 2
        assert not culprits(evidence, 2.5)

    def test_report_of_an_earlier_time_as_home_host_is_out_of_date(
        self, evidence: CrashEvidence
    ) -> None:
        """What was served between is unknown if the later one covers less."""
        evidence.history.entries = frozenset(('h1',))
        evidence.on_served_report('h1', NOTHING_SERVED, -SAME_HOME_S)
        evidence.on_served_report('h1', ServedReport((), 1), 1.2)
        assert not culprits(evidence, 2.5)

    def test_part_that_another_host_saw_served_is_recent(
        self, evidence: CrashEvidence
    ) -> None:
        served = ServedReport((ServedPart('bad', 4),), 60)
        evidence.on_served_report('h1', served, 1.2)
        evidence.on_served_report('h2', NOTHING_SERVED, 1.2)
        assert not culprits(evidence, 2.5)
