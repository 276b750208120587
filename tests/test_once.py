"""At-most-once runs and correct outcomes while processes and the log fail."""

import json
import signal
import uuid
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest
from cluster import Cluster, cluster, wait_until

from trefoilspool.client import CallResult, KindCall
from trefoilspool.platforms.http import send_request

HOSTS = ('h0', 'h1', 'h2')


@pytest.fixture
def system() -> Iterator[Cluster]:
    with cluster(hosts=3, engines=1) as running:
        yield running


@pytest.fixture
def pool() -> Iterator[ThreadPoolExecutor]:
    with ThreadPoolExecutor(16) as executor:
        yield executor


def confirmation_call(key: str = '') -> KindCall:
    return KindCall('/services/orders/x', 'confirmation', {'n': 1}, key)


def count_runs(system: Cluster) -> int:
    return len(system.journal('service0'))


def has_claim(system: Cluster) -> bool:
    page = system.get('log', '/streams/claims?from=0&limit=100')
    return bool(page['records'])


def publish_service_state(system: Cluster, state: str) -> None:
    record = system.endpoints[-1]
    system.endpoints[-1] = {**record, 'state': state}
    system.publish_roster()


def wait_for_service_state(system: Cluster, state: str) -> int:
    """Publish the service's state, wait for its effect and count the runs."""
    publish_service_state(system, state)
    wait_until(
        lambda: (
            system.get('roster', '/roster')['endpoints'][-1]['state'] == state
        ),
        f'the roster to list the service as {state}',
    )
    request = confirmation_call()
    if state == 'leaving':
        wait_until(
            lambda: (
                system.call('h1', request, timeout_s=1).outcome == 'not_run'
            ),
            'the service to get no requests',
        )
    return count_runs(system)


def call_at_once(
    system: Cluster, pool: ThreadPoolExecutor, hosts: tuple[str, ...], key: str
) -> list[CallResult]:
    """Send requests with one key to hosts at the same time."""
    call = confirmation_call(key)
    return list(pool.map(lambda host: system.call(host, call), hosts))


def assert_may_have_run(
    system: Cluster, hosts: tuple[str, ...], key: str
) -> None:
    for host in hosts:
        result = system.call(host, confirmation_call(key))
        assert result.outcome == 'may_have_run'


class TestSameKey:
    def test_concurrent_requests_at_all_hosts(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        for _ in range(5):
            before = count_runs(system)
            key = uuid.uuid4().hex
            results = call_at_once(system, pool, HOSTS * 3, key)
            assert count_runs(system) == before + 1
            outcomes = {result.outcome for result in results}
            assert 'completed' in outcomes
            assert 'not_run' not in outcomes

    def test_repeat_gets_the_first_response(self, system: Cluster) -> None:
        key = uuid.uuid4().hex
        first = system.call('h0', confirmation_call(key))
        for host in HOSTS:
            again = system.call(host, confirmation_call(key))
            assert (again.outcome, again.text) == ('completed', first.text)
        assert count_runs(system) == 1

    def test_workspaces_do_not_share_keys(self, system: Cluster) -> None:
        key = uuid.uuid4().hex
        for token in ('token-shops', 'token-office'):
            result = system.call('h0', confirmation_call(key), token)
            assert result.outcome == 'completed'
        assert count_runs(system) == 2

    def test_released_key_runs_elsewhere(self, system: Cluster) -> None:
        before = wait_for_service_state(system, 'leaving')
        key = uuid.uuid4().hex
        result = system.call('h0', confirmation_call(key), timeout_s=1)
        assert result.outcome == 'not_run'
        publish_service_state(system, 'live')
        wait_until(
            lambda: (
                system.call('h1', confirmation_call(key)).outcome == 'completed'
            ),
            'the key to be free on another host',
        )
        assert count_runs(system) == before + 1


class TestKilledHolder:
    def test_before_dispatch(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        before = wait_for_service_state(system, 'leaving')
        key = uuid.uuid4().hex
        pool.submit(system.call, 'h0', confirmation_call(key), timeout_s=60)
        wait_until(lambda: has_claim(system), 'the claim')
        system.kill('h0')
        result = system.call('h1', confirmation_call(key))
        assert result.outcome == 'may_have_run'
        publish_service_state(system, 'live')
        result = system.call('h2', confirmation_call(key))
        assert result.outcome == 'may_have_run'
        assert count_runs(system) == before

    def test_after_dispatch(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        system.fault('service0', work_s=2)
        key = uuid.uuid4().hex
        pool.submit(system.call, 'h0', confirmation_call(key))
        wait_until(lambda: count_runs(system) == 1, 'the dispatch')
        system.kill('h0')
        assert_may_have_run(system, ('h1', 'h2'), key)
        assert count_runs(system) == 1

    def test_replaced_by_a_host_of_the_same_address(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        system.fault('service0', work_s=2)
        key = uuid.uuid4().hex
        pool.submit(system.call, 'h0', confirmation_call(key))
        wait_until(lambda: count_runs(system) == 1, 'the dispatch')
        system.kill('h0')
        system.spawn('h0')
        system.wait_ready()
        assert_may_have_run(system, HOSTS, key)
        assert count_runs(system) == 1


class TestFrozenHolder:
    def test_frozen_before_dispatch(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        before = wait_for_service_state(system, 'leaving')
        key = uuid.uuid4().hex
        first: Future[CallResult] = pool.submit(
            system.call,
            'h0',
            confirmation_call(key),
            timeout_s=120,
        )
        wait_until(lambda: has_claim(system), 'the claim')
        system.signal('h0', signal.SIGSTOP)
        wait_until(
            lambda: system.status('h1')['hosts']['h0'] == 'gone',
            'the frozen host to be reported as gone',
        )
        publish_service_state(system, 'live')
        result = system.call('h1', confirmation_call(key))
        assert result.outcome == 'may_have_run'
        system.signal('h0', signal.SIGCONT)
        outcome = first.result(60).outcome
        assert count_runs(system) == before + (outcome == 'completed')
        assert outcome in {'completed', 'not_run'}


class TestLogFaults:
    def test_lost_append_responses(self, system: Cluster) -> None:
        system.fault('log', lose_answers=1)
        for number, host in enumerate(HOSTS, start=1):
            result = system.call(host, confirmation_call(uuid.uuid4().hex))
            assert result.outcome == 'completed'
            assert count_runs(system) == number

    def test_delayed_appends(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        system.fault('log', delay_appends_s=0.5)
        key = uuid.uuid4().hex
        results = call_at_once(system, pool, HOSTS * 2, key)
        assert count_runs(system) == 1
        assert [result.outcome for result in results].count('completed') >= 1

    def test_outage(self, system: Cluster) -> None:
        system.fault('log', down=1)
        result = wait_until(
            lambda: call_in_outage(system),
            'claims to be refused in the outage',
        )
        assert (result.status, result.outcome) == (503, 'not_run')
        assert count_runs(system) == 0
        assert system.call('h1', confirmation_call()).outcome == 'completed'
        reply = send_request(
            system.url('h2'),
            'GET',
            '/readyz',
        )
        assert reply[0] == 200
        system.fault('log', down=0)
        wait_until(
            lambda: (
                system.call('h0', confirmation_call(uuid.uuid4().hex)).outcome
                == 'completed'
            ),
            'requests with keys to complete again',
        )


def call_in_outage(system: Cluster) -> CallResult | None:
    result = system.call('h0', confirmation_call(uuid.uuid4().hex))
    return result if 'claims_unavailable' in result.text else None


class TestTickets:
    def ticket(self, system: Cluster, host: str) -> str:
        from trefoilspool.client import post

        address = ('127.0.0.1', system.ports[host])
        link, response = post(
            address,
            '/v1/tickets',
            {},
            {
                'Authorization': 'Bearer token-montevideo',
            },
        )
        text: str = json.loads(response.read())['ticket']
        link.close()
        return text

    def test_any_host_during_an_outage(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        system.fault('log', down=1)
        ticket = self.ticket(system, 'h0')
        results = call_at_once(system, pool, HOSTS * 2, ticket)
        assert count_runs(system) == 1
        assert {result.outcome for result in results} <= {
            'completed',
            'may_have_run',
        }
        again = system.call('h1', confirmation_call(ticket))
        assert again.outcome == 'completed'

    def test_can_run_after_not_run(self, system: Cluster) -> None:
        before = wait_for_service_state(system, 'leaving')
        ticket = self.ticket(system, 'h0')
        result = system.call('h1', confirmation_call(ticket), timeout_s=1)
        assert result.outcome == 'not_run'
        publish_service_state(system, 'live')
        wait_until(
            lambda: (
                system.call('h2', confirmation_call(ticket)).outcome
                == 'completed'
            ),
            'the ticket to run',
        )
        assert count_runs(system) == before + 1

    def test_issuer_killed(self, system: Cluster) -> None:
        ticket = self.ticket(system, 'h0')
        system.kill('h0')
        system.spawn('h0')
        system.wait_ready()
        assert_may_have_run(system, HOSTS, ticket)
        assert count_runs(system) == 0

    def test_forged(self, system: Cluster) -> None:
        result = system.call('h0', confirmation_call('tkt.forged'))
        assert (result.status, result.outcome) == (400, 'not_run')
