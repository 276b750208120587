"""Benchmarks of the slot scheduler: CPU time, memory and datagram size."""

import math

from trefoilspool.bench import Bench, measure_memory, measure_time
from trefoilspool.peers import HostInfo
from trefoilspool.queueing.waitingrequests import QueuedRequest
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

__all__ = [
    'SlotBytes',
    'SlotSchedulerByEndpoints',
    'SlotSchedulerByWaiting',
    'SlotSchedulerMemory',
]

REQUESTS = 500
SLOTS = 11
ENDPOINTS = 32
SERVICE = 'assistant'
FIRST_NUMBER = 1 << 38
FIRST_BYTE_S = 0.05
EVENT_TOKENS = 7


def make_ask(number: int, rank: int = 1) -> SlotRequest:
    """Return a slot request of usual size, with two prompt prefixes."""
    return SlotRequest(
        key=SlotKey('host-017', FIRST_NUMBER + number),
        service=SERVICE,
        workspace='ws-0417',
        rank=rank,
        prompt_tokens=1800,
        output_tokens=200,
        first_byte_due=0.4,
        deadline=20.0,
        arrived_at=0,
        avoid=(),
        attempt=1,
        prompt_prefixes=('5c1e07a2', '5c1e07a2/91bd3f06'),
        streams=True,
        charge=2000,
        data_centre='dc-3',
        repeatable=True,
    )


def make_release(number: int, endpoint: str) -> SlotRelease:
    """Return the release of a slot whose request was completed."""
    return SlotRelease(
        SlotKey('host-017', FIRST_NUMBER + number),
        AttemptEnding.completed,
        endpoint,
        FIRST_BYTE_S,
        SLOTS,
        FIRST_BYTE_S,
        SLOTS,
    )


def make_scheduler(endpoints: int) -> SlotScheduler:
    """Return a slot scheduler with endpoints of one service."""
    scheduler = SlotScheduler()
    scheduler.on_available_endpoints(
        [
            EndpointSpec(
                f'engine-{number:04}',
                SERVICE,
                'dc-3',
                SLOTS,
                1,
                EVENT_TOKENS,
            )
            for number in range(endpoints)
        ],
        0,
    )
    return scheduler


def grant_and_release(scheduler: SlotScheduler) -> None:
    """Request slots and release each granted one."""
    for number in range(REQUESTS):
        scheduler.on_ask(make_ask(number), 0)
        for decision in scheduler.take_decisions():
            if isinstance(decision, Granted):
                release = make_release(number, decision.endpoint)
                scheduler.on_release(release._replace(key=decision.key), 0)


class SlotSchedulerByEndpoints(Bench):
    """CPU time to grant and release a slot by the number of endpoints."""

    name = 'desk-endpoints'
    role = 'home of the desk'
    size_unit = 'endpoints'
    unit = 'microseconds'
    sizes = (4, 16, 64, 128)

    def measure(self, size: int) -> float:
        """Return the CPU time of one request."""
        scheduler = make_scheduler(size)
        return measure_time(lambda: grant_and_release(scheduler)) / REQUESTS


class SlotSchedulerByWaiting(Bench):
    """CPU time to grant a released slot by the number of waiting requests."""

    name = 'desk-waiting'
    role = 'home of the desk'
    size_unit = 'waiting requests'
    unit = 'microseconds'
    sizes = (10, 40, 160, 640)

    def measure(self, size: int) -> float:
        """Return the CPU time of one released slot."""
        scheduler = make_scheduler(ENDPOINTS)
        for number in range(ENDPOINTS * SLOTS):
            scheduler.on_ask(make_ask(number), 0)
        for number in range(size):
            # Numbers above those of the requests that hold the slots.
            enqueue(scheduler, make_ask(REQUESTS + number))
        scheduler.take_decisions()
        return measure_time(lambda: release_and_enqueue(scheduler)) / REQUESTS


def enqueue(scheduler: SlotScheduler, ask: SlotRequest) -> None:
    """Queue a request without a queue timeout."""
    scheduler.waiting.add(QueuedRequest(ask, math.inf))


def release_and_enqueue(scheduler: SlotScheduler) -> None:
    """Release slots and queue one more request for each."""
    for _ in range(REQUESTS):
        key, reservation = next(iter(scheduler.reservations.items()))
        release = make_release(0, reservation.endpoint)
        scheduler.on_release(release._replace(key=key), 0)
        enqueue(scheduler, make_ask(key.number))
        scheduler.take_decisions()


class SlotSchedulerMemory(Bench):
    """Memory of a scheduler with no free slot by the number of endpoints."""

    name = 'desk-memory'
    role = 'home of the desk'
    size_unit = 'endpoints'
    unit = 'bytes'
    sizes = (4, 16, 64, 128)

    def measure(self, size: int) -> float:
        """Return the bytes of a scheduler."""

        def build() -> SlotScheduler:
            scheduler = make_scheduler(size)
            for number in range(size * SLOTS):
                scheduler.on_ask(make_ask(number), 0)
            scheduler.take_decisions()
            return scheduler

        return measure_memory(build)


class SlotBytes(Bench):
    """Bytes that an entry host and the home host exchange in a second.

    These are a slot request, a decision and a release for each request, and
    ``HEARTBEATS_PER_S`` lists of held slots and digests.
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
        per_request = (
            ttypes.Datagram(host, asks=[mesh.ask_to_wire(ask, 0)]),
            ttypes.Datagram(host, verdicts=[mesh.decision_to_wire(decision)]),
            ttypes.Datagram(
                host,
                ends=[
                    mesh.slot_release_to_wire(make_release(1, 'engine-0412'))
                ],
            ),
        )
        heartbeat = ttypes.Datagram(
            host, roll=[mesh.held_to_wire(held) for _ in range(size)]
        )
        digest = ttypes.Datagram(
            host,
            digest=ttypes.Digest(
                [
                    ttypes.Load(f'engine-{number:04}', SLOTS, False)
                    for number in range(ENDPOINTS)
                ],
                [],
            ),
        )
        request_bytes = size * sum(
            len(mesh.encode(datagram)) for datagram in per_request
        )
        heartbeat_bytes = len(mesh.encode(heartbeat)) + len(mesh.encode(digest))
        return float(request_bytes + HEARTBEATS_PER_S * heartbeat_bytes)


HEARTBEATS_PER_S = 4
