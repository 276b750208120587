"""Requests with one part in their prompts that crash each endpoint."""

import contextlib
import itertools
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

SHARED_PART = 'aa00'
SOUND_PART = 'bb00'
CRASHING_PART = 'cc00'
RESTART_S = 0.4
PAUSE_S = 0.1
# Crashes after which, and time from the last of them within which, the
# requests have to stop.
CRASHES = 5
NOTICE_S = 3.0
MAX_REQUESTS = 3
OBSERVED_S = 2.5
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
    sound, crashing : list of Outcome
        What callers got.
    """

    def __init__(self, endpoints: int = ENDPOINTS) -> None:
        self.cluster = GatewayCluster()
        self.numbers = itertools.count()
        self.arrivals: list[float] = []
        self.crashes: list[float] = []
        self.sound: list[Outcome] = []
        self.crashing: list[Outcome] = []
        self.stopping = threading.Event()
        self.senders: list[threading.Thread] = []
        for _ in range(endpoints):
            self.cluster.add_endpoint().behaviour = self.behave

    def behave(self, served: ServedRequest) -> None:
        """Stream, or crash after the head."""
        if CRASHING_PART not in served.request.headers.get('prefix-hash', ''):
            time.sleep(0.02)
            served.stream()
            return
        self.arrivals.append(time.monotonic())
        endpoint = next(
            endpoint
            for endpoint in self.cluster.endpoints
            if endpoint.name == served.name
        )
        served.start_stream()
        time.sleep(0.02)
        self.crash(endpoint)

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

    def send_all(self, hosts: list[RunningHost]) -> None:
        """Send crashing and sound requests to hosts until closed."""
        for running in hosts:
            for part, outcomes in (
                (CRASHING_PART, self.crashing),
                (SOUND_PART, self.sound),
            ):
                sender = threading.Thread(
                    target=self.keep_sending,
                    args=(running, part, outcomes),
                    daemon=True,
                )
                self.senders.append(sender)
                sender.start()

    def keep_sending(
        self, running: RunningHost, part: str, outcomes: list[Outcome]
    ) -> None:
        while not self.stopping.wait(PAUSE_S):
            sent_at = time.monotonic()
            # Hosts that stop close connections.
            with contextlib.suppress(OSError):
                outcomes.append(Outcome(sent_at, self.call(running, part)))

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


class TestSpread:
    """The crashes are seen by several hosts, each of which sees few."""

    def test_one_part_crashes_endpoint_after_endpoint(
        self, world: CrashingWorld
    ) -> None:
        world.send_all(world.add_hosts(3))
        noticed_at = world.wait_for_notice()
        world.observe()
        assert world.arrivals_since(noticed_at) <= MAX_REQUESTS
        assert world.sound_share(noticed_at) > 0.9
