"""Hosts that receive no frames from each other."""

import uuid
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from cluster import Cluster, cluster, wait_until

from trefoilspool.client import KindCall

CHAT = '/v1/chat/completions'
HOSTS = ('h0', 'h1', 'h2')


@pytest.fixture
def system() -> Iterator[Cluster]:
    with cluster(hosts=3, engines=1, host={}, frame_proxies=True) as running:
        yield running


def stock_call(text: str) -> KindCall:
    messages = [{'role': 'user', 'content': text}]
    return KindCall(CHAT, 'stock', {'messages': messages, 'stream': True})


def confirmation_call(key: str) -> KindCall:
    return KindCall('/services/orders/x', 'confirmation', {}, key)


def peer_state(system: Cluster, host: str, other: str) -> str:
    return str(system.status(host)['hosts'][other])


def count_permits(system: Cluster) -> int:
    return sum(
        count
        for host in HOSTS
        for count in system.status(host)['permits'].values()
    )


class TestCuts:
    def cut(self, system: Cluster, hosts: tuple[str, ...]) -> None:
        for host in hosts:
            system.frame_proxies[host].cut = True
        for host in hosts:
            wait_until(
                lambda: all(
                    peer_state(system, host, other) == 'gone'
                    for other in HOSTS
                    if other != host
                ),
                f'{host} to consider all other hosts gone',
            )

    def heal(self, system: Cluster) -> None:
        for proxy in system.frame_proxies.values():
            proxy.cut = False
        system.wait_ready()

    def check_serving(self, system: Cluster, pool: ThreadPoolExecutor) -> None:
        results = list(
            pool.map(
                lambda number: system.call(
                    HOSTS[number % 3],
                    stock_call(f'{uuid.uuid4()}'),
                ),
                range(18),
            )
        )
        assert {result.outcome for result in results} == {'completed'}
        for _ in range(3):
            before = len(system.journal('service0'))
            key = uuid.uuid4().hex
            outcomes = list(
                pool.map(
                    lambda host: (
                        system.call(host, confirmation_call(key)).outcome
                    ),
                    HOSTS * 2,
                )
            )
            assert len(system.journal('service0')) == before + 1
            assert 'completed' in outcomes
            assert 'not_run' not in outcomes

    @pytest.mark.parametrize('cut_hosts', ['home', 'all'])
    def test_serves_through_a_cut(
        self, system: Cluster, cut_hosts: str
    ) -> None:
        """Frames to a cell's home host, or to all hosts, are dropped."""
        hosts = (system.home('assistant'),) if cut_hosts == 'home' else HOSTS
        with ThreadPoolExecutor(18) as pool:
            self.cut(system, hosts)
            self.check_serving(system, pool)
            self.heal(system)
            self.check_serving(system, pool)
        wait_until(
            lambda: count_permits(system) == 0,
            'all permits to be released',
        )
