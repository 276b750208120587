"""Hosts that are cut from each other."""

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
    with cluster(hosts=3, engines=1, host={}, wires=True) as made:
        yield made


def stock(text: str) -> KindCall:
    messages = [{'role': 'user', 'content': text}]
    return KindCall(CHAT, 'stock', {'messages': messages, 'stream': True})


def confirmation(key: str) -> KindCall:
    return KindCall('/services/orders/x', 'confirmation', {}, key)


def sees(system: Cluster, host: str, other: str) -> str:
    return str(system.status(host)['hosts'][other])


def permits(system: Cluster) -> int:
    return sum(
        count
        for host in HOSTS
        for count in system.status(host)['permits'].values()
    )


class TestCuts:
    def cut(self, system: Cluster, hosts: tuple[str, ...]) -> None:
        for host in hosts:
            system.wires[host].cut = True
        for host in hosts:
            wait_until(
                lambda: all(
                    sees(system, host, other) == 'gone'
                    for other in HOSTS
                    if other != host
                ),
                f'{host} to hear nobody',
            )

    def heal(self, system: Cluster) -> None:
        for wire in system.wires.values():
            wire.cut = False
        system.wait_ready()

    def check_serving(self, system: Cluster, pool: ThreadPoolExecutor) -> None:
        told = list(
            pool.map(
                lambda number: system.call(
                    HOSTS[number % 3],
                    stock(f'{uuid.uuid4()}'),
                ),
                range(18),
            )
        )
        assert {one.outcome for one in told} == {'completed'}
        for _ in range(3):
            before = len(system.journal('service0'))
            key = uuid.uuid4().hex
            outcomes = list(
                pool.map(
                    lambda host: system.call(host, confirmation(key)).outcome,
                    HOSTS * 2,
                )
            )
            assert len(system.journal('service0')) == before + 1
            assert 'completed' in outcomes
            assert 'not_run' not in outcomes

    @pytest.mark.parametrize('deaf', ['home', 'all'])
    def test_serves_through_a_cut(self, system: Cluster, deaf: str) -> None:
        """The home of a cell hears nobody, or nobody hears anybody."""
        hosts = (system.home('assistant'),) if deaf == 'home' else HOSTS
        with ThreadPoolExecutor(18) as pool:
            self.cut(system, hosts)
            self.check_serving(system, pool)
            self.heal(system)
            self.check_serving(system, pool)
        wait_until(
            lambda: permits(system) == 0,
            'all permits to be given back',
        )
