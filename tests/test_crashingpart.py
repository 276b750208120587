"""Requests with one part in their prompts that crash each endpoint."""

import contextlib
import http.client
import itertools
import json
import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

import pytest
from gatewaycluster import (
    CallerResponse,
    GatewayCluster,
    RunningHost,
    wait_for,
)
from platformendpoint import PlatformEndpoint, ServedRequest

from trefoilspool.wire import mesh as wire

SHARED_PART = 'aa00'
SOUND_PART = 'bb00'
CRASHING_PART = 'cc00'
RARE_PARTS = tuple(f'dd{number:02x}' for number in range(12))
TOPIC = 'keyed.quarantine'
RESTART_S = 0.4
PAUSE_S = 0.1
# Crashes after which, and time from the last of them within which, the
# requests have to stop.
CRASHES = 5
NOTICE_S = 3.0
MAX_REQUESTS = 3
OBSERVED_S = 3.0
MIN_SOUND_SHARE = 0.9
ENDPOINTS = 4


class Outcome(NamedTuple):
    """When a request was sent, and what its caller got."""

    sent_at: float
    response: CallerResponse


class CrashingWorld:
    """A cluster whose endpoints crash on requests with a part.

    Attributes
    ----------
    arrivals : list of float
        When requests with the crashing part reached endpoints.
    crashes : list of float
        When endpoints crashed.
    sound : list of Outcome
        What the callers of sound requests got.
    """

    def __init__(self, endpoints: int = ENDPOINTS) -> None:
        self.cluster = GatewayCluster()
        self.numbers = itertools.count()
        self.arrivals: list[float] = []
        self.crashes: list[float] = []
        self.sound: list[Outcome] = []
        self.stopping = threading.Event()
        self.senders: list[threading.Thread] = []
        self.behaviours = {
            CRASHING_PART: self.crash_after_head,
            **dict.fromkeys(RARE_PARTS, self.stream_slowly),
        }
        for _ in range(endpoints):
            self.cluster.add_endpoint().behaviour = self.behave

    def behave(self, served: ServedRequest) -> None:
        """Respond as the second part of the prompt says."""
        part = served.request.headers['prefix-hash'].split(',')[1]
        behaviour = self.behaviours.get(part.partition(':')[0], self.stream)
        behaviour(served)

    def stream(self, served: ServedRequest) -> None:
        """Stream a few events."""
        time.sleep(0.02)
        served.stream()

    def stream_slowly(self, served: ServedRequest) -> None:
        """Stream after a while, in which the endpoint may end."""
        time.sleep(0.2)
        served.stream()

    def crash_after_head(self, served: ServedRequest) -> None:
        """End the endpoint when it has begun to respond."""
        self.arrivals.append(time.monotonic())
        served.start_stream()
        time.sleep(0.02)
        self.crash(
            next(
                endpoint
                for endpoint in self.cluster.endpoints
                if endpoint.name == served.name
            )
        )

    def crash(self, endpoint: PlatformEndpoint) -> None:
        """End an endpoint; it is back after ``RESTART_S``."""
        self.crashes.append(time.monotonic())
        endpoint.crash()
        threading.Timer(RESTART_S, self.restart, (endpoint,)).start()

    def restart(self, endpoint: PlatformEndpoint) -> None:
        """Start an endpoint again under its name, as a later run."""
        if self.stopping.is_set():
            return
        with contextlib.suppress(OSError):
            endpoint.listen()
        self.cluster.register(endpoint, born=int(time.time() * 1000))

    def add_hosts(self, count: int) -> list[RunningHost]:
        """Start hosts that know each other."""
        hosts = [self.cluster.add_host() for _ in range(count)]
        wait_for(lambda: self.have_one_home(hosts), 'one home host')
        for running in hosts:
            self.cluster.wait_for_endpoints(
                running, len(self.cluster.endpoints)
            )
        return hosts

    def have_one_home(self, hosts: list[RunningHost]) -> bool:
        """Return whether all hosts know all and have one home host."""
        homes = {running.host.mesh.peers.home() for running in hosts}
        return None not in homes and len(homes) == 1

    def home(self, hosts: list[RunningHost]) -> RunningHost:
        """Return the home host."""
        known = hosts[0].host.mesh.peers.home()
        assert known is not None
        return next(
            running for running in hosts if running.options.name == known.name
        )

    def call(self, running: RunningHost, part: str) -> CallerResponse:
        """Send one request with a part that is not its first or last."""
        return self.cluster.call(
            running,
            '/chat/1',
            Prefix_Hash=f'{SHARED_PART}:64,{part}:64,'
            f'{next(self.numbers):x}ff:64',
            Deadline_Ms='2000',
        )

    def send_all(
        self,
        hosts: list[RunningHost],
        *parts: str,
    ) -> None:
        """Send requests to hosts until closed, by default of both kinds."""
        for running in hosts:
            for part in parts or (CRASHING_PART, SOUND_PART):
                sender = threading.Thread(
                    target=self.keep_sending,
                    args=(running, part),
                    daemon=True,
                )
                self.senders.append(sender)
                sender.start()

    def keep_sending(self, running: RunningHost, part: str) -> None:
        while not self.stopping.wait(PAUSE_S):
            sent_at = time.monotonic()
            # Hosts that stop close connections.
            with contextlib.suppress(OSError, http.client.HTTPException):
                response = self.call(running, part)
                if part == SOUND_PART:
                    self.sound.append(Outcome(sent_at, response))

    def quarantined(self, running: RunningHost) -> bool:
        """Return whether a host knows the crashing part."""
        quarantine = running.host.mesh.client.quarantine
        return quarantine.covered((CRASHING_PART,)) == CRASHING_PART

    def stored(self) -> set[str]:
        """Return the quarantined parts in the store."""
        records = self.cluster.store.topic(TOPIC).newest().values()
        return {
            entry.part
            for _, content in records
            for entry in wire.decode_quarantine(content) or ()
            if entry.active
        }

    def wait_until_stored(self) -> None:
        wait_for(lambda: CRASHING_PART in self.stored(), 'the record')

    def restart_all(self, hosts: list[RunningHost]) -> list[RunningHost]:
        """Stop all hosts at once, then start them again."""
        for running in hosts:
            running.stop()
        return [self.cluster.restart_host(running) for running in hosts]

    def wait_for_notice(self) -> float:
        """Wait until requests may no longer arrive; return when that was."""
        wait_for(lambda: len(self.crashes) >= CRASHES, f'{CRASHES} crashes')
        noticed_at = self.crashes[CRASHES - 1] + NOTICE_S
        wait_for(lambda: time.monotonic() >= noticed_at, 'the notice')
        return noticed_at

    def observe(self) -> None:
        """Let requests go on for a while."""
        until = time.monotonic() + OBSERVED_S
        wait_for(lambda: time.monotonic() >= until, 'more requests')

    def arrivals_since(self, start: float) -> int:
        """Return how many crashing requests reached endpoints."""
        return len([at for at in list(self.arrivals) if at >= start])

    def sound_share(self, start: float) -> float:
        """Return the share of the sound requests that were answered."""
        sent = [
            outcome for outcome in list(self.sound) if outcome.sent_at >= start
        ]
        assert len(sent) >= 20
        answered = [
            outcome
            for outcome in sent
            if outcome.response.status == 200 and outcome.response.complete
        ]
        return len(answered) / len(sent)

    def close(self) -> None:
        self.stopping.set()
        for sender in self.senders:
            sender.join()
        self.cluster.close()


@pytest.fixture
def world() -> Iterator[CrashingWorld]:
    made = CrashingWorld()
    yield made
    made.close()


def check_stopped(world: CrashingWorld, noticed_at: float) -> None:
    """Check that hardly any request with the part arrives from a time on."""
    world.observe()
    assert world.arrivals_since(noticed_at) <= MAX_REQUESTS
    assert world.sound_share(noticed_at) > MIN_SOUND_SHARE


class TestSpread:
    """The crashes are seen by several hosts, each of which sees few."""

    def test_one_part_crashes_endpoint_after_endpoint(
        self, world: CrashingWorld
    ) -> None:
        world.send_all(world.add_hosts(3))
        check_stopped(world, world.wait_for_notice())

    def test_caller_is_told_that_it_was_not_run(
        self, world: CrashingWorld
    ) -> None:
        hosts = world.add_hosts(2)
        world.send_all(hosts)
        world.wait_for_notice()
        response = world.call(hosts[0], CRASHING_PART)
        problem = json.loads(response.body)
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
        assert problem['outcome'] == 'not_run'
        assert CRASHING_PART in problem['detail']


class TestOtherHosts:
    """Hosts that did not hear of the crashes when they happened."""

    @pytest.mark.parametrize('count', [2, 3])
    def test_later_host_goes_on_sending_the_part(
        self, world: CrashingWorld, count: int
    ) -> None:
        """The home host is the second of them, or an earlier one."""
        hosts = world.add_hosts(count - 1)
        world.send_all(hosts)
        noticed_at = world.wait_for_notice()
        world.send_all([world.cluster.add_host()])
        check_stopped(world, noticed_at)

    def test_restarted_host_goes_on_sending_the_part(
        self, world: CrashingWorld
    ) -> None:
        hosts = world.add_hosts(3)
        home = world.home(hosts)
        others = [running for running in hosts if running is not home]
        world.send_all([home, others[0]])
        noticed_at = world.wait_for_notice()
        others[1].stop()
        world.send_all([world.cluster.restart_host(others[1])])
        check_stopped(world, noticed_at)

    def test_loss_of_the_home_host_ends_the_quarantine(
        self, world: CrashingWorld
    ) -> None:
        hosts = world.add_hosts(3)
        home = world.home(hosts)
        world.send_all([running for running in hosts if running is not home])
        noticed_at = world.wait_for_notice()
        home.stop()
        check_stopped(world, noticed_at)

    def test_home_host_is_lost_amid_the_crashes(
        self, world: CrashingWorld
    ) -> None:
        hosts = world.add_hosts(3)
        home = world.home(hosts)
        world.send_all([running for running in hosts if running is not home])
        wait_for(lambda: len(world.crashes) >= 2, 'two crashes')
        home.stop()
        check_stopped(world, world.wait_for_notice())

    def test_host_cut_off_from_peers_goes_on_sending_the_part(
        self, world: CrashingWorld
    ) -> None:
        """It is not the one that reads the store for all."""
        hosts = world.add_hosts(3)
        home = world.home(hosts)
        others = [running for running in hosts if running is not home]
        world.send_all([home, others[0]])
        wait_for(lambda: len(world.crashes) >= 2, 'two crashes')
        others[1].cut_datagrams()
        noticed_at = world.wait_for_notice()
        world.send_all([others[1]])
        check_stopped(world, noticed_at)

    def test_cut_home_host_goes_on_sending_the_part(
        self, world: CrashingWorld
    ) -> None:
        hosts = world.add_hosts(3)
        home = world.home(hosts)
        world.send_all([running for running in hosts if running is not home])
        wait_for(lambda: len(world.crashes) >= 2, 'two crashes')
        home.cut_datagrams()
        noticed_at = world.wait_for_notice()
        world.send_all([home])
        check_stopped(world, noticed_at)


class TestStoreCopy:
    """No host that runs knows the quarantine, or the store has lost it."""

    def test_restart_of_all_hosts_ends_the_quarantine(
        self, world: CrashingWorld
    ) -> None:
        hosts = world.add_hosts(3)
        world.send_all(hosts)
        noticed_at = world.wait_for_notice()
        world.wait_until_stored()
        restarted = world.restart_all(hosts)
        world.send_all(restarted)
        check_stopped(world, noticed_at)

    def test_restored_store_lacks_the_record(
        self, world: CrashingWorld
    ) -> None:
        hosts = world.add_hosts(2)
        world.send_all(hosts)
        noticed_at = world.wait_for_notice()
        world.wait_until_stored()
        backup = world.cluster.store.backup()
        world.cluster.store.restore({**backup, TOPIC: 0})
        world.wait_until_stored()
        check_stopped(world, noticed_at)

    def test_store_that_is_down_delays_the_quarantine(
        self, world: CrashingWorld
    ) -> None:
        hosts = world.add_hosts(3)
        with world.cluster.store.failing('reset'):
            world.send_all(hosts)
            check_stopped(world, world.wait_for_notice())
            assert not world.stored()
        world.wait_until_stored()

    def test_unreadable_record_stops_a_host(self, world: CrashingWorld) -> None:
        world.cluster.store.put(TOPIC, 'quarantine', b'\xff no record')
        world.send_all(world.add_hosts(1))
        check_stopped(world, world.wait_for_notice())
        world.wait_until_stored()

    def test_two_home_hosts_drop_each_others_records(
        self, world: CrashingWorld
    ) -> None:
        hosts = world.add_hosts(2)
        for running in hosts:
            running.cut_datagrams()
        for number, running in enumerate(hosts):
            peers = running.host.mesh.peers
            for other in hosts:
                if other is not running:
                    peers.on_timeout(other.options.name, time.monotonic())
            assert peers.is_home()
            quarantine = running.host.mesh.client.quarantine
            quarantine.add(f'part{number}', time.monotonic())
        wait_for(lambda: world.stored() == {'part0', 'part1'}, 'both parts')


class TestOtherCauses:
    """Endpoints end, but not because of the requests that they have."""

    def test_rare_parts_are_quarantined_for_other_crashes(
        self, world: CrashingWorld
    ) -> None:
        hosts = world.add_hosts(3)
        for number, part in enumerate(RARE_PARTS):
            world.send_all([hosts[number % len(hosts)]], part)
        world.send_all(hosts, SOUND_PART)
        for number in range(8):
            before = len(world.sound)
            wait_for(lambda: len(world.sound) > before + 5, 'sound requests')
            world.crash(world.cluster.endpoints[number % ENDPOINTS])
        world.observe()
        for running in hosts:
            assert not running.host.mesh.client.quarantine.entries()
