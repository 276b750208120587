"""At most once and truthful outcomes, with processes that fail."""

import json
import signal
import uuid
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest
from cluster import Cluster, cluster, wait_until

from trefoilspool.client import CallResult, KindCall
from trefoilspool.platforms.http import call

HOSTS = ('h0', 'h1', 'h2')


@pytest.fixture
def system() -> Iterator[Cluster]:
    with cluster(hosts=3, engines=1) as made:
        yield made


@pytest.fixture
def pool() -> Iterator[ThreadPoolExecutor]:
    with ThreadPoolExecutor(16) as made:
        yield made


def confirmation(key: str = '') -> KindCall:
    return KindCall('/services/orders/x', 'confirmation', {'n': 1}, key)


def runs(system: Cluster) -> int:
    return len(system.journal('service0'))


def claimed(system: Cluster) -> bool:
    page = system.get('log', '/streams/claims?from=0&limit=100')
    return bool(page['records'])


def set_service(system: Cluster, state: str) -> None:
    entry = system.endpoints[-1]
    system.endpoints[-1] = {**entry, 'state': state}
    system.publish_roster()


def wait_service(system: Cluster, state: str) -> int:
    """Publish the service's state, wait until it is obeyed, count runs."""
    set_service(system, state)
    wait_until(
        lambda: (
            system.get('roster', '/roster')['endpoints'][-1]['state'] == state
        ),
        f'the list to say {state}',
    )
    probe = confirmation()
    if state == 'leaving':
        wait_until(
            lambda: system.call('h1', probe, timeout_s=1).outcome == 'not_run',
            'the service to get no work',
        )
    return runs(system)


class TestSameKey:
    def test_all_hosts_at_once(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        for _ in range(5):
            before = runs(system)
            key = uuid.uuid4().hex
            told = list(
                pool.map(
                    lambda host: system.call(host, confirmation(key)),
                    HOSTS * 3,
                )
            )
            assert runs(system) == before + 1
            outcomes = {one.outcome for one in told}
            assert 'completed' in outcomes
            assert 'not_run' not in outcomes

    def test_repeat_gets_the_first_answer(self, system: Cluster) -> None:
        key = uuid.uuid4().hex
        first = system.call('h0', confirmation(key))
        for host in HOSTS:
            again = system.call(host, confirmation(key))
            assert (again.outcome, again.text) == ('completed', first.text)
        assert runs(system) == 1

    def test_workspaces_do_not_share_keys(self, system: Cluster) -> None:
        key = uuid.uuid4().hex
        for token in ('token-shops', 'token-office'):
            told = system.call('h0', confirmation(key), token)
            assert told.outcome == 'completed'
        assert runs(system) == 2

    def test_released_key_runs_elsewhere(self, system: Cluster) -> None:
        before = wait_service(system, 'leaving')
        key = uuid.uuid4().hex
        told = system.call('h0', confirmation(key), timeout_s=1)
        assert told.outcome == 'not_run'
        set_service(system, 'live')
        wait_until(
            lambda: system.call('h1', confirmation(key)).outcome == 'completed',
            'the key to be free on another host',
        )
        assert runs(system) == before + 1


class TestKilledHolder:
    def test_before_dispatch(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        before = wait_service(system, 'leaving')
        key = uuid.uuid4().hex
        pool.submit(system.call, 'h0', confirmation(key), timeout_s=60)
        wait_until(lambda: claimed(system), 'the claim')
        system.kill('h0')
        told = system.call('h1', confirmation(key))
        assert told.outcome == 'may_have_run'
        set_service(system, 'live')
        told = system.call('h2', confirmation(key))
        assert told.outcome == 'may_have_run'
        assert runs(system) == before

    def test_after_dispatch(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        system.fault('service0', work_s=2)
        key = uuid.uuid4().hex
        pool.submit(system.call, 'h0', confirmation(key))
        wait_until(lambda: runs(system) == 1, 'the dispatch')
        system.kill('h0')
        for host in ('h1', 'h2'):
            told = system.call(host, confirmation(key))
            assert told.outcome == 'may_have_run'
        assert runs(system) == 1

    def test_replaced_by_a_host_of_the_same_address(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        system.fault('service0', work_s=2)
        key = uuid.uuid4().hex
        pool.submit(system.call, 'h0', confirmation(key))
        wait_until(lambda: runs(system) == 1, 'the dispatch')
        system.kill('h0')
        system.spawn('h0')
        system.wait_ready()
        for host in HOSTS:
            told = system.call(host, confirmation(key))
            assert told.outcome == 'may_have_run'
        assert runs(system) == 1


class TestFrozenHolder:
    def test_frozen_before_dispatch(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        before = wait_service(system, 'leaving')
        key = uuid.uuid4().hex
        first: Future[CallResult] = pool.submit(
            system.call,
            'h0',
            confirmation(key),
            timeout_s=120,
        )
        wait_until(lambda: claimed(system), 'the claim')
        system.signal('h0', signal.SIGSTOP)
        wait_until(
            lambda: system.status('h1')['hosts']['h0'] == 'gone',
            'the frozen host to be gone',
        )
        set_service(system, 'live')
        told = system.call('h1', confirmation(key))
        assert told.outcome == 'may_have_run'
        system.signal('h0', signal.SIGCONT)
        outcome = first.result(60).outcome
        assert runs(system) == before + (outcome == 'completed')
        assert outcome in {'completed', 'not_run'}


class TestLogFaults:
    def test_lost_answers(self, system: Cluster) -> None:
        system.fault('log', lose_answers=1)
        for number, host in enumerate(HOSTS, start=1):
            told = system.call(host, confirmation(uuid.uuid4().hex))
            assert told.outcome == 'completed'
            assert runs(system) == number

    def test_late_appends(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        system.fault('log', delay_appends_s=0.5)
        key = uuid.uuid4().hex
        told = list(
            pool.map(
                lambda host: system.call(host, confirmation(key)),
                HOSTS * 2,
            )
        )
        assert runs(system) == 1
        assert [one.outcome for one in told].count('completed') >= 1

    def test_outage(self, system: Cluster) -> None:
        system.fault('log', down=1)
        told = wait_until(
            lambda: answer_in_outage(system),
            'the outage to be noticed',
        )
        assert (told.status, told.outcome) == (503, 'not_run')
        assert runs(system) == 0
        assert system.call('h1', confirmation()).outcome == 'completed'
        text = call(
            system.url('h2'),
            'GET',
            '/readyz',
        )
        assert text[0] == 200
        system.fault('log', down=0)
        wait_until(
            lambda: (
                system.call('h0', confirmation(uuid.uuid4().hex)).outcome
                == 'completed'
            ),
            'keyed work to go on',
        )


def answer_in_outage(system: Cluster) -> CallResult | None:
    told = system.call('h0', confirmation(uuid.uuid4().hex))
    return told if 'claims_unavailable' in told.text else None


class TestTickets:
    def ticket(self, system: Cluster, host: str) -> str:
        from trefoilspool.client import post

        address = ('127.0.0.1', system.ports[host])
        link, answer = post(
            address,
            '/v1/tickets',
            {},
            {
                'Authorization': 'Bearer token-montevideo',
            },
        )
        text: str = json.loads(answer.read())['ticket']
        link.close()
        return text

    def test_any_host_during_an_outage(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
    ) -> None:
        system.fault('log', down=1)
        ticket = self.ticket(system, 'h0')
        told = list(
            pool.map(
                lambda host: system.call(host, confirmation(ticket)),
                HOSTS * 2,
            )
        )
        assert runs(system) == 1
        assert {one.outcome for one in told} <= {'completed', 'may_have_run'}
        again = system.call('h1', confirmation(ticket))
        assert again.outcome == 'completed'

    def test_runs_after_it_did_not_run(self, system: Cluster) -> None:
        before = wait_service(system, 'leaving')
        ticket = self.ticket(system, 'h0')
        told = system.call('h1', confirmation(ticket), timeout_s=1)
        assert told.outcome == 'not_run'
        set_service(system, 'live')
        wait_until(
            lambda: (
                system.call('h2', confirmation(ticket)).outcome == 'completed'
            ),
            'the ticket to run',
        )
        assert runs(system) == before + 1

    def test_owner_killed(self, system: Cluster) -> None:
        ticket = self.ticket(system, 'h0')
        system.kill('h0')
        system.spawn('h0')
        system.wait_ready()
        for host in HOSTS:
            told = system.call(host, confirmation(ticket))
            assert told.outcome == 'may_have_run'
        assert runs(system) == 0

    def test_forged(self, system: Cluster) -> None:
        told = system.call('h0', confirmation('tkt.forged'))
        assert (told.status, told.outcome) == (400, 'not_run')
