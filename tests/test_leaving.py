"""Endpoints that leave and hosts that shut down."""

import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from cluster import Cluster, cluster, wait_until

from trefoilspool.client import KindCall

CHAT = '/v1/chat/completions'
LEAVING_LIMIT_S = 3  # a leaving endpoint gets no new requests after this
PAST_GRACE_S = 1  # a host without open requests would have exited by then
HOSTS = ('h0', 'h1', 'h2')


@pytest.fixture
def system() -> Iterator[Cluster]:
    with cluster(
        hosts=3,
        engines=2,
        services=2,
        host={'grace_s': 0.3},
    ) as started_cluster:
        yield started_cluster


def proposal(text: str) -> KindCall:
    messages = [{'role': 'user', 'content': text}]
    return KindCall(CHAT, 'proposal', {'messages': messages, 'stream': True})


def stock(text: str) -> KindCall:
    return proposal(text)._replace(kind='stock')


def check_no_late_requests(
    system: Cluster, endpoint: str, left_at: float
) -> None:
    """Send requests past the limit, then check the endpoint's journal."""
    rounds = 0
    with ThreadPoolExecutor(8) as pool:
        # A host that restarts may take longer than the limit to be ready.
        while time.time() < left_at + LEAVING_LIMIT_S + 2 or not rounds:
            rounds += 1
            results = list(
                pool.map(
                    lambda number: system.call(
                        HOSTS[number % 3],
                        stock(f'{number}'),
                    ),
                    range(12),
                )
            )
            assert {call.outcome for call in results} == {'completed'}
    late = [
        received
        for received in system.journal(endpoint)
        if received['time'] > left_at + LEAVING_LIMIT_S
    ]
    assert not late
    assert system.journal('engine1')


class TestLeavingEndpoint:
    @pytest.mark.parametrize('lag_s', [0.2, 2])
    def test_listed_as_leaving(self, lag_s: float) -> None:
        """The limit counts from when the lagging roster lists it as leaving."""
        with cluster(
            hosts=3,
            engines=2,
            services=0,
            list_lag_s=lag_s,
        ) as system:
            system.endpoints[0]['state'] = 'leaving'
            system.publish_roster()
            check_no_late_requests(system, 'engine0', time.time() + lag_s)

    def test_reported_by_the_endpoint(self, system: Cluster) -> None:
        system.fault('engine0', leaving=1)
        check_no_late_requests(system, 'engine0', time.time())

    def test_home_host_restarts_meanwhile(self, system: Cluster) -> None:
        home = system.home('assistant')
        system.endpoints[0] = {**system.endpoints[0], 'state': 'leaving'}
        system.publish_roster()
        left_at = time.time()
        system.kill(home)
        system.spawn(home)
        system.wait_ready()
        check_no_late_requests(system, 'engine0', left_at)

    def test_killed_endpoint_fails_no_request(self, system: Cluster) -> None:
        system.kill('engine0')
        for number in range(10):
            result = system.call('h0', stock(f'{number}'))
            assert result.outcome == 'completed'


class TestShutdown:
    def open_streams(
        self,
        system: Cluster,
        pool: ThreadPoolExecutor,
        hosts: list[str],
    ) -> list:  # type: ignore[type-arg]
        for engine in ('engine0', 'engine1'):
            system.fault(engine, speed=0.25)
        before = self.started_streams(system)
        calls = [
            pool.submit(system.call, host, proposal(f'{host} {number}'))
            for host in hosts
            for number in range(2)
        ]
        wait_until(
            lambda: self.started_streams(system) >= before + len(calls),
            'all streams to start',
        )
        return calls

    def started_streams(self, system: Cluster) -> int:
        return sum(
            len(system.journal(engine)) for engine in ('engine0', 'engine1')
        )

    def sees_leaving(
        self, system: Cluster, host: str, leaving_hosts: list[str]
    ) -> bool:
        seen = system.status(host).get('hosts', {})
        return host in leaving_hosts or all(
            seen.get(name) == 'leaving' for name in leaving_hosts
        )

    def check_shutdown(self, system: Cluster, leaving_hosts: list[str]) -> None:
        with ThreadPoolExecutor(16) as pool:
            calls = self.open_streams(system, pool, list(HOSTS))
            for host in leaving_hosts:
                system.signal(host, signal.SIGTERM)
            for host in leaving_hosts:
                wait_until(
                    lambda host=host: not system.ready(host),
                    f'{host} to fail /readyz',
                )
            wait_until(
                lambda: all(
                    self.sees_leaving(system, host, leaving_hosts)
                    for host in HOSTS
                ),
                'the other hosts to report them as leaving',
            )
            time.sleep(PAST_GRACE_S)
            for engine in ('engine0', 'engine1'):
                system.fault(engine, speed=4)
            results = [call.result() for call in calls]
        assert [call.outcome for call in results] == ['completed'] * len(
            results
        )
        for host in leaving_hosts:
            assert system.processes[host].wait(60) == 0
        remaining_hosts = [host for host in HOSTS if host not in leaving_hosts]
        results = [
            system.call(host, stock('after')) for host in remaining_hosts
        ]
        assert {call.outcome for call in results} == {'completed'}

    def test_home_host_of_a_cell(self, system: Cluster) -> None:
        self.check_shutdown(system, [system.home('assistant')])

    def test_two_hosts_at_once(self, system: Cluster) -> None:
        self.check_shutdown(system, ['h0', 'h1'])
