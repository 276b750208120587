"""Log lines of hosts that serve routed requests, and ``why``."""

import json
import logging
import os
import re
import threading

import logbook
import pytest
from cluster import ROOT
from logbook.compat import redirected_logging
from test_slotscheduler import ask

from trefoilspool.explaining.why import explain, find_lines
from trefoilspool.jsonlog import (
    MAX_LINE_CHARS,
    MAX_QUEUED_LINES,
    SAMPLE_ABOVE_LINES,
    QueuedJsonHandler,
)
from trefoilspool.slotmessages import RefusalReason
from trefoilspool.slotscheduler import SlotScheduler
from trefoilspool.telemetry import log_decision

MODULES = (
    'callerchannel',
    'directory',
    'discovery',
    'endchecks',
    'endpointlimits',
    'endpointresponse',
    'gateway',
    'gatewaydaemon',
    'gatewayhost',
    'httpserver',
    'jsonlog',
    'localchoice',
    'homeservice',
    'memoryarenas',
    'mesh',
    'datagramsocket',
    'endpointview',
    'peers',
    'promptguard',
    'quarantinegossip',
    'quarantinestore',
    'quietperiods',
    'replication',
    'requestoutcomes',
    'requestparser',
    'responsechunks',
    'replacement',
    'serving',
    'settingssync',
    'streamrelay',
    'streamtakeup',
    'slotacquisition',
    'slotclient',
    'slotevents',
    'slotscheduler',
    'versionreplay',
    'versionstore',
    'wire/checks',
    '../platform/storecalls',
    'exchange',
    'endpointsync',
    'workerpool',
    'paths/relayclient',
    'paths/relaytask',
    'paths/table',
    'paths/tunnel',
    'paths/ways',
    'intake/keeper',
    'rollouts/gate',
    'rollouts/gossip',
    'rollouts/statustask',
    'listedtopic',
    'stalls',
)
CALL = re.compile(
    r"(?:logger\.\w+|self\.log|log_decision|DecisionEvent)\(\s*'([^']+)'"
)
PAGE = ROOT / 'docs' / 'operators' / 'decision-log.md'


def events_in_code() -> set[str]:
    found = {'endpoint_here', 'library_message', 'log_lines_dropped'}
    for module in MODULES:
        text = (ROOT / 'trefoilspool' / f'{module}.py').read_text()
        found.update(CALL.findall(text))
    return found


def events_on_page() -> set[str]:
    routed = PAGE.read_text().partition('## Routed requests')[2]
    return set(re.findall(r'^\| `(\w+)` \|', routed, re.MULTILINE))


class TestSchema:
    def test_no_event_replaces_a_field_of_every_line(self) -> None:
        """A workspace's level once replaced the level of the line."""
        scheduler = SlotScheduler()
        scheduler.refuse(ask(1), RefusalReason.crowded, 0)
        fields = scheduler.take_events()[0].fields
        assert not {'time', 'level', 'host', 'incarnation'} & set(fields)

    def test_every_event_has_an_entry_and_every_entry_an_event(self) -> None:
        assert events_in_code() == events_on_page()


class PipedHandler:
    """A handler that writes into a pipe."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        self.handler = QueuedJsonHandler('h1', 7, 'INFO')
        self.handler.descriptor = self.writer

    def lines(self) -> list[dict[str, object]]:
        self.handler.close()
        os.close(self.writer)
        with os.fdopen(self.reader) as stream:
            return [json.loads(line) for line in stream]


@pytest.fixture
def piped() -> PipedHandler:
    return PipedHandler()


class TestQueuedJsonHandler:
    def test_line_names_host_incarnation_and_event(
        self, piped: PipedHandler
    ) -> None:
        with piped.handler.applicationbound():
            log_decision('fault', 'q1', detail='cut')
            logbook.Logger('x').info('started', extra={'listen': 'a'})
        first, second = piped.lines()
        assert (first['host'], first['incarnation']) == ('h1', 7)
        assert (first['event'], first['request']) == ('fault', 'q1')
        assert (second['event'], second['listen']) == ('started', 'a')

    # LOST: texts of callers in 4,096 queued lines exceeded a host's memory.
    def test_long_texts_are_cut(self, piped: PipedHandler) -> None:
        text = f'<{"x" * 65_536}>'
        with piped.handler.applicationbound():
            log_decision('reject', text, detail=text, left_s=1)
        line = piped.lines()[0]
        assert len(json.dumps(line)) <= MAX_LINE_CHARS
        assert str(line['detail']).startswith('<xxx')
        assert str(line['detail']).endswith('xxx>')
        assert line['event'] == 'reject'

    def test_library_message_is_logged_as_a_detail(
        self, piped: PipedHandler
    ) -> None:
        with (
            piped.handler.applicationbound(),
            redirected_logging(),
        ):
            logging.getLogger('waitress').warning('Client %s', 'left')
        line = piped.lines()[0]
        assert line['event'] == 'library_message'
        assert (line['library'], line['detail']) == ('waitress', 'Client left')

    def test_blocked_reader_does_not_delay_log_calls(
        self, piped: PipedHandler
    ) -> None:
        done = threading.Event()

        def write_many() -> None:
            with piped.handler.applicationbound():
                for number in range(MAX_QUEUED_LINES * 2):
                    log_decision('fault', f'q{number}', detail='x' * 200)
            done.set()

        threading.Thread(target=write_many, daemon=True).start()
        assert done.wait(30)
        assert piped.handler.dropped

    def test_blocked_reader_does_not_block_the_end(
        self, piped: PipedHandler
    ) -> None:
        with piped.handler.applicationbound():
            while not piped.handler.lines.full():
                log_decision('fault', 'q', detail='x' * 999)
        ended = threading.Thread(target=piped.handler.close, daemon=True)
        ended.start()
        ended.join(10)
        assert not ended.is_alive()

    def test_burst_keeps_failures_and_drops_successes(
        self, piped: PipedHandler
    ) -> None:
        with piped.handler.applicationbound():
            for number in range(SAMPLE_ABOVE_LINES * 2):
                log_decision('settle', f'q{number}', status=503, pad='x' * 99)
            while piped.handler.lines.qsize() <= SAMPLE_ABOVE_LINES:
                log_decision('settle', 'more', status=503)
            log_decision('settle', 'good', status=200)
            log_decision('settle', 'bad', status=502)
        drain = threading.Thread(target=piped.handler.close)
        drain.start()
        with os.fdopen(piped.reader) as stream:
            threading.Thread(
                target=lambda: (drain.join(), os.close(piped.writer)),
            ).start()
            found = [json.loads(line) for line in stream]
        requests = [line.get('request') for line in found]
        assert 'bad' in requests
        assert 'good' not in requests
        assert found[-1]['event'] == 'log_lines_dropped' or any(
            line['event'] == 'log_lines_dropped' for line in found
        )


class TestWhy:
    def test_lines_with_a_collector_prefix_are_explained(
        self, tmp_path
    ) -> None:  # type: ignore[no-untyped-def]
        log = tmp_path / 'all.log'
        fields = {
            'time': '2026-01-01T00:00:00',
            'host': 'h1',
            'decision': 'fault',
            'request': 'q1',
            'endpoint': 'i-1',
            'attempt': 1,
            'ending': 'broken',
            'detail': 'cut',
            'may_have_run': True,
            'left_s': 1.5,
        }
        log.write_text(f'   1.25 h1 {json.dumps(fields)}\nplain text\n')
        explanation = explain(find_lines([str(log)], 'q1'), 'q1')
        assert 'attempt 1 at i-1: broken (cut)' in explanation

    def test_explanation_has_the_reason_of_the_home_host_for_a_refusal(
        self, tmp_path
    ) -> None:  # type: ignore[no-untyped-def]
        entry, home = tmp_path / 'entry.log', tmp_path / 'home.log'
        settle = {
            'time': '2026-01-01T00:00:02',
            'host': 'h1',
            'event': 'settle',
            'decision': 'settle',
            'request': 'q1',
            'place': 77,
        }
        refused = {
            'time': '2026-01-01T00:00:01',
            'host': 'h2',
            'event': 'place_refused',
            'entry': 'h1',
            'number': 77,
            'reason': 'crowded',
            'ahead': 40,
            'places_a_s': 20.0,
            'waited_s': 0.0,
            'workspace': 'w',
            'limit_level': None,
            'endpoints': 6,
        }
        entry.write_text(f'{json.dumps(settle)}\n')
        home.write_text(f'{json.dumps(refused)}\n')
        lines = find_lines([str(entry), str(home)], 'q1')
        explanation = explain(lines, 'q1')
        assert 'refused slot 77: crowded; 40 requests were ahead' in explanation
