"""Cost of the desk, which gives places, and of its datagrams."""

import math

from trefoilspool.bench import Bench, measure_memory, measure_time
from trefoilspool.peers import Card
from trefoilspool.servicequeue import Waiting
from trefoilspool.slotmessages import (
    Ended,
    Granted,
    Held,
    PlaceAsk,
    PlaceKey,
    SendEnding,
    Station,
)
from trefoilspool.slotscheduler import Desk
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


def make_ask(number: int, rank: int = 1) -> PlaceAsk:
    """Return an ask of usual size: two prompt parts."""
    return PlaceAsk(
        key=PlaceKey('host-017', NUMBER + number),
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


def make_end(number: int, endpoint: str) -> Ended:
    """Return the end of a request."""
    return Ended(
        PlaceKey('host-017', NUMBER + number),
        SendEnding.completed,
        endpoint,
        FIRST_S,
        PLACES,
        FIRST_S,
        PLACES,
    )


def make_desk(endpoints: int) -> Desk:
    """Return a desk with endpoints of one service."""
    desk = Desk()
    desk.on_stations(
        [
            Station(
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
    return desk


def serve(desk: Desk) -> None:
    """Give places to requests and take them back."""
    for number in range(REQUESTS):
        desk.on_ask(make_ask(number), 0)
        for verdict in desk.take_verdicts():
            if isinstance(verdict, Granted):
                ended = make_end(number, verdict.endpoint)
                desk.on_ended(ended._replace(key=verdict.key), 0)


class DeskByEndpoints(Bench):
    """Time of an ask and its end by the endpoints of the service."""

    name = 'desk-endpoints'
    role = 'home of the desk'
    size_unit = 'endpoints'
    unit = 'microseconds'
    sizes = (4, 16, 64, 128)

    def measure(self, size: int) -> float:
        """Return the time of one request."""
        desk = make_desk(size)
        return measure_time(lambda: serve(desk)) / REQUESTS


class DeskByWaiting(Bench):
    """Time to give a freed place to the next of the requests that wait."""

    name = 'desk-waiting'
    role = 'home of the desk'
    size_unit = 'waiting requests'
    unit = 'microseconds'
    sizes = (10, 40, 160, 640)

    def measure(self, size: int) -> float:
        """Return the time of one freed place."""
        desk = make_desk(ENDPOINTS)
        for number in range(ENDPOINTS * PLACES):
            desk.on_ask(make_ask(number), 0)
        for number in range(size):
            enqueue(desk, make_ask(REQUESTS + number))
        desk.take_verdicts()
        return measure_time(lambda: pass_on(desk)) / REQUESTS


def enqueue(desk: Desk, ask: PlaceAsk) -> None:
    """Let a request wait, however long that may take."""
    desk.waiting[ask.key] = Waiting(ask, math.inf)
    desk.queue(ask.service).add(ask)


def pass_on(desk: Desk) -> None:
    """Free places; each goes to who waits, and one more comes to wait."""
    for _ in range(REQUESTS):
        key, booking = next(iter(desk.bookings.items()))
        ended = make_end(0, booking.endpoint)
        desk.on_ended(ended._replace(key=key), 0)
        enqueue(desk, make_ask(key.number))
        desk.take_verdicts()


class DeskMemory(Bench):
    """Memory of the desk by endpoints, each with all places in use."""

    name = 'desk-memory'
    role = 'home of the desk'
    size_unit = 'endpoints'
    unit = 'bytes'
    sizes = (4, 16, 64, 128)

    def measure(self, size: int) -> float:
        """Return the bytes of a desk."""

        def fill() -> Desk:
            desk = make_desk(size)
            for number in range(size * PLACES):
                desk.on_ask(make_ask(number), 0)
            desk.take_verdicts()
            return desk

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
        card = mesh.card_to_wire(Card('host-017', '10.1.0.25', 1 << 58))
        ask = make_ask(1)
        held = Held(ask.key, SERVICE, 'engine-0412', 1800, 200, 1.0)
        verdict = Granted(ask.key, 'engine-0412')
        for_each = (
            ttypes.Datagram(card, asks=[mesh.ask_to_wire(ask, 0)]),
            ttypes.Datagram(card, verdicts=[mesh.verdict_to_wire(verdict)]),
            ttypes.Datagram(
                card,
                ends=[mesh.ended_to_wire(make_end(1, 'engine-0412'))],
            ),
        )
        roll = ttypes.Datagram(
            card, roll=[mesh.held_to_wire(held) for _ in range(size)]
        )
        digest = ttypes.Datagram(
            card,
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
