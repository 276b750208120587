"""Edits take effect on every host, also under faults of the log."""

from collections.abc import Iterator

import pytest
from cluster import Cluster, cluster, wait_until

HOSTS = ('h0', 'h1', 'h2')


@pytest.fixture
def system() -> Iterator[Cluster]:
    with cluster(hosts=3, engines=0, services=1) as running:
        yield running


def versions(system: Cluster) -> list[int]:
    """Return each host's settings version, -2 if it does not respond."""
    return [system.status(host).get('settings_version', -2) for host in HOSTS]


class Sampler:
    """Polls the settings version of every host; none may decrease."""

    def __init__(self, system: Cluster) -> None:
        self.system = system
        self.last = [-1] * len(HOSTS)

    def reached(self, version: int) -> bool:
        """Return whether all hosts have a version, and check each host's."""
        current = versions(self.system)
        responded = [
            (new, old)
            for new, old in zip(current, self.last, strict=True)
            if new != -2
        ]
        assert all(new >= old for new, old in responded), (current, self.last)
        self.last = [
            max(new, old) for new, old in zip(current, self.last, strict=True)
        ]
        return all(new >= version for new in current)


class TestInForce:
    def test_each_edit_reaches_every_host(self, system: Cluster) -> None:
        sampler = Sampler(system)
        for number in range(5):
            edit = {'/': {'timeout_s': 10 + number}}
            offset = system.operator.publish(edit, 'test').offset
            wait_until(lambda: sampler.reached(offset), f'version {offset}')

    def test_outage_and_new_host(self, system: Cluster) -> None:
        sampler = Sampler(system)
        offset = system.operator.publish(
            {'/': {'timeout_s': 7}},
            'test',
        ).offset
        wait_until(lambda: sampler.reached(offset), 'the edit')
        system.fault('log', down=1)
        system.kill('h2')
        system.spawn('h2')
        wait_until(lambda: system.ready('h2'), 'a tree from the peers')
        assert sampler.reached(offset)
        system.fault('log', down=0)
        offset = system.operator.publish(
            {'/': {'timeout_s': 8}},
            'test',
        ).offset
        wait_until(lambda: sampler.reached(offset), 'the next edit')

    def test_host_without_log_follows_peers(self, system: Cluster) -> None:
        system.kill('h1')
        arguments = system.commands['h1']
        system.commands['h1'] = [
            '--log-url=http://127.0.0.1:9'
            if argument.startswith('--log-url')
            else argument
            for argument in arguments
        ]
        system.spawn('h1')
        wait_until(lambda: system.ready('h1'), 'a tree from the peers')
        sampler = Sampler(system)
        offset = system.operator.publish(
            {'/': {'timeout_s': 9}},
            'test',
        ).offset
        wait_until(
            lambda: sampler.reached(offset), 'the edit to arrive through peers'
        )

    def test_slow_roster_moves_no_home(self, system: Cluster) -> None:
        """Heartbeats continue, and homes stay, while roster reads time out."""
        homes = len(system.decisions('home'))
        system.fault('roster', slow_s=30)
        wait_until(
            lambda: all(
                sum(
                    'not read' in line['message'] for line in system.lines(host)
                )
                >= 3
                for host in HOSTS
            ),
            'three failed roster reads on each host',
        )
        for host in HOSTS:
            assert system.live_hosts(host) == list(HOSTS)
        assert len(system.decisions('home')) == homes

    def test_host_without_log_and_peers_stops_serving(
        self, system: Cluster
    ) -> None:
        system.fault('log', down=1)
        for host in ('h1', 'h2'):
            system.kill(host)
        wait_until(
            lambda: not system.ready('h0'),
            'the last host to stop serving',
        )
        system.fault('log', down=0)
        wait_until(lambda: system.ready('h0'), 'the host to serve again')
