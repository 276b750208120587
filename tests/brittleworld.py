"""Endpoints that fall over once they have to turn too many requests away."""

import bisect
import threading
import time
from collections import defaultdict

from limitedworld import LimitedWorld
from platformendpoint import PlatformEndpoint, ServedRequest

__all__ = ['BrittleWorld']

WINDOW_S = 1.0
DOWN_S = 2.0
WORK_S = 0.1
REGISTERED_SLOTS = 6


class BrittleWorld(LimitedWorld):
    """All endpoints are brittle, and take fewer requests than they register.

    Attributes
    ----------
    most : int
        Requests that an endpoint may turn away in a second.
    room : int
        Requests that it works on at once.
    falls : list of float
        When one fell over.
    turned_away : dict
        When requests were turned away, by the endpoint's name.
    """

    def __init__(self, endpoints: int = 3) -> None:
        super().__init__(others=endpoints - 1)
        self.most = 3
        self.room = REGISTERED_SLOTS
        self.falls: list[float] = []
        self.turned_away: defaultdict[str, list[float]] = defaultdict(list)
        self.working: defaultdict[str, int] = defaultdict(int)
        self.lock = threading.Lock()
        for endpoint in self.cluster.endpoints:
            self.cluster.register(endpoint, capacity=REGISTERED_SLOTS)
            self.make_brittle(endpoint)

    def make_brittle(self, endpoint: PlatformEndpoint) -> None:
        def behave(served: ServedRequest) -> None:
            self.behave_brittle(endpoint, served)

        endpoint.behaviour = behave

    def tell(self, most: int) -> None:
        """Let all endpoints say so in all their responses."""
        self.most = most
        for endpoint in self.cluster.endpoints:
            endpoint.extra_headers = (f'Server-Brittle: {most}',)

    def behave_brittle(
        self, endpoint: PlatformEndpoint, served: ServedRequest
    ) -> None:
        """Work on a request if there is room, else turn it away."""
        with self.lock:
            has_room = self.working[served.name] < self.room
            self.working[served.name] += has_room
        if not has_room:
            self.turn_away(endpoint, served)
            return
        try:
            time.sleep(WORK_S)
            served.respond()
        finally:
            with self.lock:
                self.working[served.name] -= 1

    def turn_away(
        self, endpoint: PlatformEndpoint, served: ServedRequest
    ) -> None:
        """Refuse a request; fall over if it is one too many in a second."""
        now = time.monotonic()
        times = self.turned_away[served.name]
        with self.lock:
            times.append(now)
            recent = len(times) - bisect.bisect_left(times, now - WINDOW_S)
            has_fallen = recent > self.most
            if has_fallen:
                self.falls.append(now)
                times.clear()
        if not has_fallen:
            served.refuse()
            return
        endpoint.crash()
        threading.Timer(DOWN_S, endpoint.listen).start()

    def allowed_falls(self) -> float:
        """Return how often endpoints may fall over while they are brittle."""
        return 2 + len(self.cluster.endpoints) / 10
