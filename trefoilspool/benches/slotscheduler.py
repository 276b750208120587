"""Cost of the desk, which gives places, and of its datagrams."""

import math

from trefoilspool.bench import Bench, measure_memory, measure_time
from trefoilspool.peers import HostInfo
from trefoilspool.servicequeue import QueuedRequest
from trefoilspool.slotmessages import (
    AttemptEnding,
    EndpointSpec,
    Granted,
    HeldSlot,
    SlotKey,
    SlotRelease,
    SlotRequest,
)
from trefoilspool.slotscheduler import SlotScheduler
from trefoilspool.wire import mesh
from trefoilspool.wire.gen.mesh import ttypes

__all__ = ['DeskByEndpoints', 'DeskByWaiting', 'DeskMemory', 'PlaceBytes']

REQUESTS = 500
PLACES = 11
ENDPOINTS = 32
SERVICE = 'assistant'
NUMBER = 1 << 38
FIRST_S = 0.05
EVENT_TOKENS = 7


def make_ask(number: int, rank: int = 1) -> SlotRequest:
    """Return an ask of usual size: two prompt parts."""
    return SlotRequest(
        key=SlotKey('host-017', NUMBER + number),
        service=SERVICE,
        workspace='ws-0417',
        rank=rank,
        prompt_tokens=1800,
        output_tokens=200,
        aim=0.4,
        deadline=20.0,
        asked=0,
        avoid=(),
        attempt=1,
        parts=('5c1e07a2', '5c1e07a2/91bd3f06'),
        streams=True,
        charge=2000,
        data_centre='dc-3',
        repeatable=True,
    )


def make_end(number: int, endpoint: str) -> SlotRelease:
    """Return the end of a request."""
    return SlotRelease(
        SlotKey('host-017', NUMBER + number),
        AttemptEnding.completed,
        endpoint,
        FIRST_S,
        PLACES,
        FIRST_S,
        PLACES,
    )


def make_desk(endpoints: int) -> SlotScheduler:
    """Return a desk with endpoints of one service."""
    scheduler = SlotScheduler()
    scheduler.on_available_endpoints(
        [
            EndpointSpec(
                f'engine-{number:04}',
                SERVICE,
                'dc-3',
                PLACES,
                1,
                EVENT_TOKENS,
            )
            for number in range(endpoints)
        ],
        0,
    )
    return scheduler


def serve(scheduler: SlotScheduler) -> None:
    """Give places to requests and take them back."""
    for number in range(REQUESTS):
        scheduler.on_ask(make_ask(number), 0)
        for decision in scheduler.take_decisions():
            if isinstance(decision, Granted):
                ended = make_end(number, decision.endpoint)
                scheduler.on_ended(ended._replace(key=decision.key), 0)


class DeskByEndpoints(Bench):
    """Time of an ask and its end by the endpoints of the service."""

    name = 'desk-endpoints'
    role = 'home of the desk'
    size_unit = 'endpoints'
    unit = 'microseconds'
    sizes = (4, 16, 64, 128)

    def measure(self, size: int) -> float:
        """Return the time of one request."""
        scheduler = make_desk(size)
        return measure_time(lambda: serve(scheduler)) / REQUESTS


class DeskByWaiting(Bench):
    """Time to give a freed place to the next of the requests that wait."""

    name = 'desk-waiting'
    role = 'home of the desk'
    size_unit = 'waiting requests'
    unit = 'microseconds'
    sizes = (10, 40, 160, 640)

    def measure(self, size: int) -> float:
        """Return the time of one freed place."""
        scheduler = make_desk(ENDPOINTS)
        for number in range(ENDPOINTS * PLACES):
            scheduler.on_ask(make_ask(number), 0)
        for number in range(size):
            enqueue(scheduler, make_ask(REQUESTS + number))
        scheduler.take_decisions()
        return measure_time(lambda: pass_on(scheduler)) / REQUESTS


def enqueue(scheduler: SlotScheduler, ask: SlotRequest) -> None:
    """Let a request wait, however long that may take."""
    scheduler.waiting[ask.key] = QueuedRequest(ask, math.inf)
    scheduler.queue(ask.service).add(ask)


def pass_on(scheduler: SlotScheduler) -> None:
    """Free places; each goes to who waits, and one more comes to wait."""
    for _ in range(REQUESTS):
        key, reservation = next(iter(scheduler.reservations.items()))
        ended = make_end(0, reservation.endpoint)
        scheduler.on_ended(ended._replace(key=key), 0)
        enqueue(scheduler, make_ask(key.number))
        scheduler.take_decisions()


class DeskMemory(Bench):
    """Memory of the desk by endpoints, each with all places in use."""

    name = 'desk-memory'
    role = 'home of the desk'
    size_unit = 'endpoints'
    unit = 'bytes'
    sizes = (4, 16, 64, 128)

    def measure(self, size: int) -> float:
        """Return the bytes of a desk."""

        def fill() -> SlotScheduler:
            scheduler = make_desk(size)
            for number in range(size * PLACES):
                scheduler.on_ask(make_ask(number), 0)
            scheduler.take_decisions()
            return scheduler

        return measure_memory(fill)


class PlaceBytes(Bench):
    """Bytes that an entry and the home exchange in a second.

    An ask, a verdict and an end for each request; four rolls and digests.
    """

    name = 'place-bytes'
    role = 'entry'
    size_unit = 'requests a second'
    unit = 'bytes'
    sizes = (4, 16, 64, 128)

    def measure(self, size: int) -> float:
        """Return the bytes of one second."""
        host = mesh.host_info_to_wire(
            HostInfo('host-017', '10.1.0.25', 1 << 58)
        )
        ask = make_ask(1)
        held = HeldSlot(ask.key, SERVICE, 'engine-0412', 1800, 200, 1.0)
        decision = Granted(ask.key, 'engine-0412')
        for_each = (
            ttypes.Datagram(host, asks=[mesh.ask_to_wire(ask, 0)]),
            ttypes.Datagram(host, verdicts=[mesh.decision_to_wire(decision)]),
            ttypes.Datagram(
                host,
                ends=[mesh.slot_release_to_wire(make_end(1, 'engine-0412'))],
            ),
        )
        roll = ttypes.Datagram(
            host, roll=[mesh.held_to_wire(held) for _ in range(size)]
        )
        digest = ttypes.Datagram(
            host,
            digest=ttypes.Digest(
                [
                    ttypes.Load(f'engine-{number:04}', PLACES, False)
                    for number in range(ENDPOINTS)
                ],
                [],
            ),
        )
        own = size * sum(len(mesh.encode(one)) for one in for_each)
        beats = len(mesh.encode(roll)) + len(mesh.encode(digest))
        return float(own + BEATS_A_SECOND * beats)


BEATS_A_SECOND = 4
