"""Whether a host finds out that an endpoint ended under its request."""

import time
from collections.abc import Iterator

import pytest
from gatewaycluster import RunningHost, wait_for
from platformendpoint import ServedRequest
from test_crashingpart import CRASHING_PART, CrashingWorld

from trefoilspool.crashevidence import CrashEvidence
from trefoilspool.runsigns import NO_SIGNS, RunSigns

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
        for run, of_run in evidence.runs.items()
        if run.name == world.cluster.endpoints[0].name
    ]
    return known[0] if known else NO_SIGNS


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
