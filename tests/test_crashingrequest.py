"""One request that crashes each endpoint that runs it, and comes again."""

import json
import time
from collections.abc import Iterator

import pytest
from gatewaycluster import CallerResponse, RunningHost, wait_for
from platformendpoint import ServedRequest
from test_crashingpart import (
    CRASHING_PART,
    SOUND_PART,
    CrashingWorld,
    check_stopped,
)

PATHS = ('/look/1', '/book/1', '/chat/1')
CRASHES = 3


class CrashingRequestWorld(CrashingWorld):
    """A cluster whose endpoints crash on one request; it has no prompt.

    Sound requests have the same path and caller and other bodies.
    """

    decisive_crashes = CRASHES
    path = PATHS[0]
    sound_body = 'sound {number}'

    def behave(self, served: ServedRequest) -> None:
        """Respond as the body of the request says."""
        if served.request.body == CRASHING_PART.encode():
            self.crash_after_head(served)
        elif self.path == '/chat/1':
            self.stream(served)
        else:
            time.sleep(0.02)
            served.respond()

    def start_nothing(self, served: ServedRequest) -> None:
        """End before any response."""

    def call(
        self, running: RunningHost, part: str, path: str = ''
    ) -> CallerResponse:
        """Send one request; a part stands for its body."""
        body = part
        if part == SOUND_PART:
            body = self.sound_body.format(number=next(self.numbers))
        return self.cluster.call(
            running,
            path or self.path,
            body=body.encode(),
            Deadline_Ms='2000',
        )


@pytest.fixture
def world() -> Iterator[CrashingRequestWorld]:
    made = CrashingRequestWorld()
    made.start_response = made.start_nothing
    yield made
    made.close()


class TestSpread:
    """The repeats come at several hosts, each of which sees few crashes."""

    @pytest.mark.parametrize('path', PATHS)
    def test_one_request_crashes_endpoint_after_endpoint(
        self, world: CrashingRequestWorld, path: str
    ) -> None:
        world.path = path
        world.send_all(world.add_hosts(3))
        check_stopped(world, world.wait_for_notice())

    def test_it_crashes_them_after_the_head(
        self, world: CrashingRequestWorld
    ) -> None:
        world.path = '/chat/1'
        world.start_response = ServedRequest.start_stream
        world.send_all(world.add_hosts(3))
        check_stopped(world, world.wait_for_notice())

    def test_sound_request_that_comes_again_is_served(
        self, world: CrashingRequestWorld
    ) -> None:
        """It has one body, as the one that crashes endpoints has."""
        world.sound_body = 'sound'
        world.send_all(world.add_hosts(3))
        check_stopped(world, world.wait_for_notice())

    def test_caller_is_told_that_it_was_not_run(
        self, world: CrashingRequestWorld
    ) -> None:
        hosts = world.add_hosts(2)
        world.send_all(hosts)
        world.wait_for_notice()
        response = world.call(hosts[0], CRASHING_PART)
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
        assert json.loads(response.body)['outcome'] == 'not_run'


class TestOtherHosts:
    """Hosts that did not hear of the crashes when they happened."""

    def test_later_host_goes_on_sending_the_request(
        self, world: CrashingRequestWorld
    ) -> None:
        world.send_all(world.add_hosts(2))
        noticed_at = world.wait_for_notice()
        world.send_all([world.cluster.add_host()])
        check_stopped(world, noticed_at)

    def test_home_host_is_lost_amid_the_crashes(
        self, world: CrashingRequestWorld
    ) -> None:
        hosts = world.add_hosts(3)
        home = world.home(hosts)
        world.send_all([running for running in hosts if running is not home])
        wait_for(lambda: len(world.crashes) >= 2, 'two crashes')
        home.stop()
        check_stopped(world, world.wait_for_notice())

    def test_restart_of_all_hosts_ends_the_quarantine(
        self, world: CrashingRequestWorld
    ) -> None:
        hosts = world.add_hosts(3)
        world.send_all(hosts)
        noticed_at = world.wait_for_notice()
        wait_for(world.stored, 'the record')
        world.send_all(world.restart_all(hosts))
        check_stopped(world, noticed_at)
