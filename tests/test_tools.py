"""Options, open requests, membership, retries, tickets, `why` and embedding."""

import json
import os
import pathlib
import subprocess
import sys

import pytest
from test_cell import make_ask

import trefoilspool
from trefoilspool.errors import OptionError
from trefoilspool.events import VictimClass
from trefoilspool.explaining.why import explain, find_lines
from trefoilspool.filter import Arrival, Job, Progress
from trefoilspool.membership import Heartbeat, HostState, Membership
from trefoilspool.openrequests import OpenRequests
from trefoilspool.options import HostOptions, load_options
from trefoilspool.platform import HostEntry, Roster
from trefoilspool.recorder import record_trace
from trefoilspool.retries import RetryBudget
from trefoilspool.schema import Settings
from trefoilspool.tickets import LIFETIME_S, TicketRegistry
from trefoilspool.tree import KindPlace
from trefoilspool.workload import CABRERA, make_engines

ROOT = pathlib.Path(__file__).parent.parent
FLAGS = {
    'name': 'h1',
    'log_url': 'http://x',
    'roster_url': 'http://x',
    'ticket_secret': 'sixteen-characters',
}


def make_job(number: int, tier: int, victim: VictimClass) -> Job:
    # ``bool`` as disconnect check: it returns False.
    arrival = Arrival(number, f'h-{number}', '/', {}, b'', 0, bool)
    place = KindPlace('/w/s/t/k', 'w', 's', 't', 'k', Settings())
    ask = make_ask(number, tier=tier, victim=victim)
    return Job(arrival, 'w', place, ask, {}, True, False, Progress())


class TestOptions:
    def test_error_names_setting_value_and_range(self) -> None:
        with pytest.raises(OptionError) as raised:
            load_options(HostOptions, {**FLAGS, 'port': 70_000})
        assert '--port: 70000 is not allowed' in str(raised.value)
        assert '65535' in str(raised.value)

    def test_unknown_flag(self) -> None:
        with pytest.raises(OptionError, match='--prot'):
            load_options(HostOptions, {**FLAGS, 'prot': 1})

    def test_environment_variable(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setenv('TREFOILSPOOL_MAX_STREAMS', '7')
        assert load_options(HostOptions, FLAGS).max_streams == 7

    def test_exit_status(self) -> None:
        result = subprocess.run(
            [sys.executable, '-m', 'trefoilspool', 'host', '--name', 'a b'],
            capture_output=True,
            text=True,
            check=False,
            cwd=ROOT,
        )
        assert result.returncode == 2
        assert "--name: 'a b' is not allowed" in result.stderr


class TestHostGate:
    def test_full_host_sheds_the_lowest_tier(self) -> None:
        open_requests = OpenRequests('h', 2)
        low = make_job(1, 3, VictimClass.resumable)
        middle = make_job(2, 1, VictimClass.resumable)
        for job in (low, middle):
            assert open_requests.admit(job) is None
        assert (
            open_requests.admit(make_job(3, 0, VictimClass.resumable)) is None
        )
        assert (low.progress.shed, middle.progress.shed) == (True, False)

    def test_full_host_without_a_lower_tier_refuses(self) -> None:
        open_requests = OpenRequests('h', 1)
        assert (
            open_requests.admit(make_job(1, 1, VictimClass.resumable)) is None
        )
        refusal = open_requests.admit(make_job(2, 1, VictimClass.resumable))
        assert refusal is not None
        assert refusal.retry_after

    def test_service_calls_are_never_shed(self) -> None:
        open_requests = OpenRequests('h', 1)
        assert open_requests.admit(make_job(1, 3, VictimClass.service)) is None
        assert (
            open_requests.admit(make_job(2, 0, VictimClass.resumable))
            is not None
        )


class TestMembership:
    def host_entry(self, name: str, state: str = 'live') -> HostEntry:
        return HostEntry(name, 'dc1', '127.0.0.1', 1, 2, state)

    def test_states(self) -> None:
        members = Membership('h0')
        members.on_roster(
            Roster(
                tuple(self.host_entry(f'h{number}') for number in range(4)),
                (),
            )
        )
        for number, heard_at in enumerate((10, 8, 5)):
            heartbeat = Heartbeat(1, HostState.live, 0)
            members.on_heartbeat(f'h{number}', heartbeat, heard_at)
        view = members.view(10)
        assert [view.states[f'h{number}'].name for number in range(4)] == [
            'live',
            'suspect',
            'gone',
            'joining',
        ]
        assert view.homes == ('h0',)

    def test_heartbeat_of_an_earlier_incarnation_is_ignored(self) -> None:
        members = Membership('h0')
        members.on_roster(Roster((self.host_entry('h1'),), ()))
        members.on_heartbeat('h1', Heartbeat(2, HostState.live, 0), 1)
        members.on_heartbeat('h1', Heartbeat(1, HostState.leaving, 0), 1)
        assert members.view(1).states['h1'] is HostState.live

    def test_host_listed_as_leaving_is_not_home(self) -> None:
        members = Membership('h0')
        members.on_roster(Roster((self.host_entry('h1', 'leaving'),), ()))
        members.on_heartbeat('h1', Heartbeat(1, HostState.live, 0), 1)
        assert not members.view(1).homes

    def test_host_that_misses_heartbeats_is_not_home(self) -> None:
        members = Membership('h0')
        members.on_roster(Roster((self.host_entry('h1'),), ()))
        heartbeat = Heartbeat(1, HostState.live, 0, hears=False)
        members.on_heartbeat('h1', heartbeat, 1)
        assert members.view(1).states['h1'] is HostState.suspect
        assert not members.view(1).homes


class TestRetryBudget:
    def test_retries_stay_within_their_share(self) -> None:
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.earn('w', 0.1)
            while budget.spend('w'):
                retries += 1
        assert retries <= 1000 * 0.1 + 1

    def test_budgets_of_workspaces_are_separate(self) -> None:
        budget = RetryBudget()
        budget.earn('a', 0.1)
        assert budget.spend('a')
        assert not budget.spend('a')
        budget.earn('b', 0.1)
        assert budget.spend('b')


class TestTicketRegistry:
    def test_ticket_is_used_once_within_its_lifetime(
        self,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        registry = TicketRegistry('sixteen-characters', 'h', 1)
        ticket = registry.read(registry.issue('w'))
        assert ticket is not None
        assert registry.redeem(ticket)
        assert not registry.redeem(ticket)
        later = ticket.issued + LIFETIME_S + 5
        monkeypatch.setattr('time.monotonic', lambda: later)
        with pytest.raises(trefoilspool.TrefoilspoolError):
            registry.redeem(ticket)


class TestWhy:
    LINES = (
        {
            'time': '2',
            'host': 'h1',
            'decision': 'settle',
            'request': 'r',
            'outcome': 'completed',
            'status': 200,
            'tokens': 5,
            'attempts': 1,
            'took_s': 1.0,
            'workspace': 'w',
            'kind': 'k',
            'tier': 0,
            'weight': 1,
            'timeout_s': 9,
            'prompt_tokens': 40,
            'allowed_tokens': 9,
            'victim': 0,
            'interactive': True,
        },
        {
            'time': '1',
            'host': 'h2',
            'decision': 'grant',
            'request': 'r',
            'endpoint': 'e1',
            'predicted_s': 0.5,
            'losers': [['e2', 0.9]],
        },
        {
            'time': '1',
            'host': 'h2',
            'decision': 'grant',
            'request': 'q',
            'endpoint': 'e1',
            'predicted_s': 0.5,
            'losers': [],
        },
    )

    def log_text(self) -> str:
        return '\n'.join(map(json.dumps, self.LINES))

    def test_decisions_of_all_hosts_in_order_of_time(
        self, tmp_path: pathlib.Path
    ) -> None:
        log = tmp_path / 'log'
        log.write_text(self.log_text())
        explanation = explain(find_lines([str(log)], 'r'), 'r').splitlines()
        assert explanation[0].startswith('1 h2: got a permit for e1')
        assert 'others: e2 0.9 s' in explanation[0]
        assert 'ended: completed' in explanation[1]

    def test_trace_is_recorded(self) -> None:
        text = self.log_text().replace('"time": "2"', '"time": "2026-01-01"')
        trace = record_trace('x', [text], make_engines(CABRERA))
        assert [request.prompt_tokens for request in trace.requests] == [40]


class TestEmbedding:
    def test_public_names_exist(self) -> None:
        for name in trefoilspool.__all__:
            assert hasattr(trefoilspool, name)

    def test_example_runs(self) -> None:
        result = subprocess.run(
            [sys.executable, 'examples/embedding.py'],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
        )
        assert result.stdout.splitlines() == [
            'Success',
            'Failure',
            "['Grant']",
            '[]',
            "['Grant']",
        ]
