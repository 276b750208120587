"""Cost of knowing who is here."""

from trefoilspool.bench import Bench, measure_memory, measure_time
from trefoilspool.membership import Beat, HostState, Membership
from trefoilspool.platform import EndpointEntry, HostEntry, Roster
from trefoilspool.wire.codec import encode
from trefoilspool.wire.gen.peer import ttypes

__all__ = ['BeatBytes', 'ViewMemory', 'ViewTime']

SIZES = (14, 67, 200, 670)
ENDPOINTS_A_HOST = 15
NOW = 10.0


def make_membership(hosts: int) -> Membership:
    """Return a membership in which every host was heard of."""
    membership = Membership('host0')
    membership.on_list(
        Roster(
            tuple(
                HostEntry(f'host{one}', 'dc1', '10.0.0.1', 80, 81, 'live')
                for one in range(hosts)
            ),
            tuple(
                EndpointEntry(
                    f'engine{one}',
                    'dc1',
                    'http://10.0.0.2:80',
                    'assistant',
                    1,
                    16,
                    'live',
                    checks_fencing=True,
                )
                for one in range(hosts * ENDPOINTS_A_HOST)
            ),
        )
    )
    for one in range(hosts):
        beat = Beat(1, HostState.live, 5)
        membership.on_beat(f'host{one}', beat, NOW)
    return membership


class BeatBytes(Bench):
    """Bytes of one round of heartbeats to all peers."""

    name = 'beat-bytes'
    role = 'membership'
    size_unit = 'hosts'
    unit = 'bytes a round'
    sizes = SIZES

    def measure(self, size: int) -> float:
        """Return the bytes that one host sends in a round."""
        beat = ttypes.Beat(1 << 60, int(HostState.live), 123_456, hears=True)
        frame = encode(ttypes.Frame(sender='host-017', beat=beat))
        return float(len(frame) * (size - 1))


class ViewTime(Bench):
    """Time to make the picture of the system."""

    name = 'view-time'
    role = 'membership'
    size_unit = 'hosts'
    unit = 'microseconds'
    sizes = SIZES

    def measure(self, size: int) -> float:
        """Return the time of one view."""
        membership = make_membership(size)
        return measure_time(lambda: membership.view(NOW))


class ViewMemory(Bench):
    """Memory of the membership of all hosts and endpoints."""

    name = 'view-memory'
    role = 'membership'
    size_unit = 'hosts'
    unit = 'bytes'
    sizes = SIZES

    def measure(self, size: int) -> float:
        """Return the bytes that a host keeps."""
        return measure_memory(lambda: make_membership(size).view(NOW))
