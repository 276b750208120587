"""Benchmarks of membership: heartbeats, views and memory."""

from trefoilspool.bench import Bench, measure_memory, measure_time
from trefoilspool.membership import Heartbeat, HostState, Membership
from trefoilspool.platform import EndpointEntry, HostEntry, Roster
from trefoilspool.wire.codec import encode
from trefoilspool.wire.gen.peer import ttypes

__all__ = ['BeatBytes', 'ViewMemory', 'ViewTime']

HOST_COUNTS = (14, 67, 200, 670)
ENDPOINTS_PER_HOST = 15
NOW_S = 10.0


def make_membership(hosts: int) -> Membership:
    """Return a membership that has a heartbeat of every host."""
    membership = Membership('host0')
    membership.on_roster(
        Roster(
            tuple(
                HostEntry(f'host{number}', 'dc1', '10.0.0.1', 80, 81, 'live')
                for number in range(hosts)
            ),
            tuple(
                EndpointEntry(
                    f'engine{number}',
                    'dc1',
                    'http://10.0.0.2:80',
                    'assistant',
                    1,
                    16,
                    'live',
                    checks_fencing=True,
                )
                for number in range(hosts * ENDPOINTS_PER_HOST)
            ),
        )
    )
    for number in range(hosts):
        heartbeat = Heartbeat(1, HostState.live, 5)
        membership.on_heartbeat(f'host{number}', heartbeat, NOW_S)
    return membership


class BeatBytes(Bench):
    """Bytes of a round of heartbeats to all peers by the number of hosts."""

    name = 'beat-bytes'
    role = 'membership'
    size_unit = 'hosts'
    unit = 'bytes a round'
    sizes = HOST_COUNTS

    def measure(self, size: int) -> float:
        """Return the bytes that a host sends in a round."""
        heartbeat = ttypes.Beat(
            1 << 60, int(HostState.live), 123_456, hears=True
        )
        frame = encode(ttypes.Frame(sender='host-017', beat=heartbeat))
        return float(len(frame) * (size - 1))


class ViewTime(Bench):
    """CPU time to compute the membership view by the number of hosts."""

    name = 'view-time'
    role = 'membership'
    size_unit = 'hosts'
    unit = 'microseconds'
    sizes = HOST_COUNTS

    def measure(self, size: int) -> float:
        """Return the CPU time of a view."""
        membership = make_membership(size)
        return measure_time(lambda: membership.view(NOW_S))


class ViewMemory(Bench):
    """Memory of the membership and its view by the number of hosts."""

    name = 'view-memory'
    role = 'membership'
    size_unit = 'hosts'
    unit = 'bytes'
    sizes = HOST_COUNTS

    def measure(self, size: int) -> float:
        """Return the bytes of a membership and its view."""
        return measure_memory(lambda: make_membership(size).view(NOW_S))
