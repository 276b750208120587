"""A cluster with an endpoint that names the most requests a second it takes."""

import bisect
import threading
import time
from typing import NamedTuple

from gatewaycluster import (
    CallerResponse,
    GatewayCluster,
    RunningHost,
    wait_for,
)
from platformendpoint import PlatformEndpoint, ServedRequest

__all__ = ['LimitedWorld', 'Outcome', 'allowed']

# The rule: no more than this share of what a limit allows, and some requests
# besides, in a window of so many seconds.
WINDOW_S = 4.0
MAX_SHARE = 1.5
SPARE_REQUESTS = 5
# A host obeys so long after it has heard of a limit.
NOTICE_S = 0.5
PAUSE_S = 0.02
WORK_S = 0.02


def allowed(limit: float) -> float:
    """Return how many requests may reach an endpoint in a window."""
    return limit * WINDOW_S * MAX_SHARE + SPARE_REQUESTS


class Outcome(NamedTuple):
    """When a request was sent, and what its caller got."""

    sent_at: float
    response: CallerResponse


class LimitedWorld:
    """Callers of several hosts, and endpoints of which the first has a limit.

    Attributes
    ----------
    status : int
        Status of the limited endpoint's responses.
    arrivals : list of float
        When requests reached the limited endpoint.
    named_at : float
        When it first named a limit; 0 before.
    outcomes : list of Outcome
        What callers got.
    """

    def __init__(self, others: int = 2) -> None:
        self.cluster = GatewayCluster()
        self.status = 200
        self.arrivals: list[float] = []
        self.named_at = 0.0
        self.outcomes: list[Outcome] = []
        self.stopping = threading.Event()
        self.senders: list[threading.Thread] = []
        self.limited = self.cluster.add_endpoint(capacity=20)
        self.limited.behaviour = self.behave_limited
        for _ in range(others):
            self.cluster.add_endpoint(capacity=20).behaviour = self.behave
        self.hosts: list[RunningHost] = []

    def name_limit(self, *texts: str) -> None:
        """Name a limit in each response from now on, or none."""
        self.limited.extra_headers = tuple(
            f'Server-Limit: {text}' for text in texts
        )
        self.named_at = self.named_at or time.monotonic()

    def behave_limited(self, served: ServedRequest) -> None:
        """Count the request and respond with the status set."""
        self.arrivals.append(time.monotonic())
        if self.status == 503:
            served.refuse()
        elif self.status == 200:
            self.behave(served)
        else:
            served.respond(self.status)

    def behave(self, served: ServedRequest) -> None:
        """Respond in the form that the route asks for."""
        time.sleep(WORK_S)
        if served.request.line.split('/')[1] == 'chat':
            served.stream()
        else:
            served.respond()

    def add_hosts(self, count: int) -> list[RunningHost]:
        """Start hosts that know each other and all endpoints."""
        self.hosts = [self.cluster.add_host() for _ in range(count)]
        wait_for(self.have_one_home, 'one home host')
        endpoints = len(self.cluster.endpoints)
        for running in self.hosts:
            self.cluster.wait_for_endpoints(running, endpoints)
        return self.hosts

    def have_one_home(self) -> bool:
        """Return whether all hosts know all and have one home host."""
        peers = [running.host.mesh.peers for running in self.hosts]
        homes = {registry.home() for registry in peers}
        heard = {len(registry.responsive()) for registry in peers}
        return len(homes) == 1 and heard == {len(self.hosts)}

    def home(self) -> RunningHost:
        """Return the home host."""
        return next(
            running
            for running in self.hosts
            if running.host.mesh.peers.is_home()
        )

    def send_all(
        self, path: str = '/look/1', senders: int = 2, **headers: str
    ) -> None:
        """Send requests to all hosts until closed."""
        for running in self.hosts:
            self.send_to(running, path, senders, **headers)

    def send_to(
        self,
        running: RunningHost,
        path: str = '/look/1',
        senders: int = 2,
        **headers: str,
    ) -> None:
        """Send requests to a host until closed."""
        for _ in range(senders):
            sender = threading.Thread(
                target=self.keep_sending,
                args=(running, path, headers),
                daemon=True,
            )
            self.senders.append(sender)
            sender.start()

    def keep_sending(
        self, running: RunningHost, path: str, headers: dict[str, str]
    ) -> None:
        while not self.stopping.wait(PAUSE_S):
            sent_at = time.monotonic()
            try:
                response = self.cluster.call(running, path, **headers)
            except OSError:
                continue  # a host that stops closes connections
            self.outcomes.append(Outcome(sent_at, response))

    def wait_for_arrival(self) -> None:
        """Wait until one more request reaches the limited endpoint."""
        before = len(self.arrivals)
        wait_for(lambda: len(self.arrivals) > before, 'a request')

    def observe(self, seconds: float = WINDOW_S) -> float:
        """Let requests go on; return when this began."""
        began_at = time.monotonic()
        wait_for(
            lambda: time.monotonic() >= began_at + seconds, 'more requests'
        )
        return began_at

    def most_in_window(self, since: float) -> int:
        """Return the most requests in a window that begins after a time."""
        times = sorted(at for at in list(self.arrivals) if at >= since)
        return max(
            (
                bisect.bisect_right(times, at + WINDOW_S) - number
                for number, at in enumerate(times)
            ),
            default=0,
        )

    def answered_share(self, since: float) -> float:
        """Return the share of the requests sent since that were answered."""
        sent = [each for each in list(self.outcomes) if each.sent_at >= since]
        assert len(sent) >= 20
        answered = [each for each in sent if each.response.status == 200]
        return len(answered) / len(sent)

    def endpoint(self, number: int) -> PlatformEndpoint:
        return self.cluster.endpoints[number]

    def close(self) -> None:
        self.stopping.set()
        for sender in self.senders:
            sender.join()
        self.cluster.close()
