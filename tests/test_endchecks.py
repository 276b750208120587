"""Whether a host finds out that an endpoint ended under its request."""

import socket
import time
from collections.abc import Iterator

import pytest
from gatewaycluster import RunningHost, wait_for
from platformendpoint import ServedRequest
from test_crashingpart import CRASHING_PART, CrashingWorld

from trefoilspool.crashevidence import CrashEvidence
from trefoilspool.departures import EndpointRecord, EndpointRun
from trefoilspool.endchecks import (
    DELAY_S,
    MAX_PENDING,
    CheckResult,
    EndCheckTask,
    SuspectedEnd,
)
from trefoilspool.paths.dialer import Dialer
from trefoilspool.paths.relayclient import RelayClient
from trefoilspool.paths.ways import EndpointPaths
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.runsigns import NO_SIGNS, RunSigns

ADDRESS = '127.0.0.1'
BREAKS = 4


@pytest.fixture
def world() -> Iterator[CrashingWorld]:
    made = CrashingWorld(endpoints=1)
    yield made
    made.close()


def signs(world: CrashingWorld, running: RunningHost) -> RunSigns:
    """Return what a host knows of the end of the only endpoint."""
    evidence: CrashEvidence = running.host.mesh.scheduler.guard.evidence
    known = [
        of_run
        for run, of_run in evidence.ends.runs.items()
        if run.name == world.cluster.endpoints[0].name
    ]
    return known[0] if known else NO_SIGNS


class TestTask:
    @pytest.fixture
    def ended(self) -> list[int]:
        return []

    @pytest.fixture
    def task(self, ended: list[int]) -> EndCheckTask:
        """Return a task that knows an endpoint on a port that is closed."""
        with socket.create_server((ADDRESS, 0)) as listener:
            port = listener.getsockname()[1]
        record = EndpointRecord('i-1', 's', ADDRESS, port, 'z', 1, False, 7)
        dialer = Dialer()
        own = PeerRegistry(HostInfo('h1', ADDRESS, 1))
        paths = EndpointPaths(
            dialer, RelayClient(own, port, dialer), lambda: [record]
        )
        return EndCheckTask({'i-1': record}, ended.append, paths)

    def test_attempts_at_one_run_are_checked_together(
        self, task: EndCheckTask, ended: list[int]
    ) -> None:
        for number in range(3):
            task.handle(SuspectedEnd(EndpointRun('i-1', 7), number))
        task.tick()
        assert not ended
        assert 0 < task.pause_s() <= DELAY_S
        time.sleep(DELAY_S)
        task.tick()
        assert ended == [0, 1, 2]
        assert task.pause_s() > DELAY_S

    def test_another_run_says_nothing_of_the_one_that_broke(
        self, task: EndCheckTask
    ) -> None:
        assert task.check(EndpointRun('i-1', 7)) is CheckResult.refuses
        assert task.check(EndpointRun('i-1', 8)) is CheckResult.unknown
        assert task.check(EndpointRun('i-2', 7)) is CheckResult.unknown

    def test_run_that_cannot_be_reached_is_unknown(
        self, task: EndCheckTask, ended: list[int]
    ) -> None:
        unknown: list[EndpointRun] = []
        task.on_unknown = unknown.append
        task.handle(SuspectedEnd(EndpointRun('i-2', 7), 1))
        task.handle(SuspectedEnd(EndpointRun('i-1', 7), 2))
        time.sleep(DELAY_S)
        task.tick()
        task.tick()
        assert unknown == [EndpointRun('i-2', 7)]
        assert ended == [2]

    def test_run_that_is_not_checked_is_unknown(
        self, task: EndCheckTask
    ) -> None:
        unknown: list[EndpointRun] = []
        task.on_unknown = unknown.append
        for number in range(MAX_PENDING + 1):
            task.handle(SuspectedEnd(EndpointRun(f'i-{number}', 7), number))
        assert unknown == [EndpointRun(f'i-{MAX_PENDING}', 7)]

    def test_pending_checks_are_bounded(self, task: EndCheckTask) -> None:
        for number in range(MAX_PENDING + 9):
            task.handle(SuspectedEnd(EndpointRun(f'i-{number}', 7), number))
        assert len(task.pending) == MAX_PENDING


class TestEndSeen:
    """The store tells nothing, and no other request comes."""

    def test_end_is_known(self, world: CrashingWorld) -> None:
        hosts = world.add_hosts(2)
        with world.cluster.store.failing(503):
            world.call(hosts[0], CRASHING_PART, '/talk/1')
            home = world.home(hosts)
            wait_for(lambda: bool(signs(world, home).outages), 'the sign')
            at = signs(world, home).broken_at
            assert signs(world, home).is_end(at)

    def test_endpoint_that_resets_connections_has_not_ended(
        self, world: CrashingWorld
    ) -> None:
        world.cluster.endpoints[0].behaviour = ServedRequest.reset
        running = world.add_hosts(1)[0]
        for _ in range(BREAKS):
            world.call(running, CRASHING_PART, '/talk/1')
        time.sleep(1)
        known = signs(world, running)
        assert known.broken_at > 0
        assert not known.outages
        assert not known.ended_at
