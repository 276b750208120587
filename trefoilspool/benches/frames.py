"""Benchmarks of frames that carry asks, grants and releases."""

from trefoilspool import events
from trefoilspool.bench import Bench, measure_time
from trefoilspool.wire import convert
from trefoilspool.wire.codec import FrameBuffer, encode
from trefoilspool.wire.gen.peer import ttypes

__all__ = ['FrameBytes', 'FrameTime']

REQUEST_COUNTS = (1, 4, 16, 64, 256)
FRAMES_PER_SAMPLE = 20
FIRST_NUMBER = 1 << 38


def make_ask(number: int) -> events.Ask:
    """Return an ask of a typical size, with four prefix hashes."""
    return events.Ask(
        events.RequestKey('host-017', FIRST_NUMBER + number * 64),
        'assistant',
        'ws-0417',
        'stock',
        1,
        4,
        20.0,
        412,
        120,
        events.VictimClass.resumable,
        (number, 3 << 30, 5 << 29, 7 << 28),
    )


def make_frame(size: int) -> ttypes.Frame:
    """Return a frame with an ask, grant and release for each request."""
    asks = [make_ask(number) for number in range(size)]
    return ttypes.Frame(
        sender='host-017',
        asks=[convert.ask_to_wire(ask, 0) for ask in asks],
        grants=[
            ttypes.Grant(ask.request.number, 'engine-0412', 5000)
            for ask in asks
        ],
        releases=[
            convert.release_to_wire(
                events.Release(
                    ask.request,
                    events.Ending.completed,
                    0.31,
                    412,
                    256,
                    117,
                    3.2,
                )
            )
            for ask in asks
        ],
    )


class FrameBytes(Bench):
    """Bytes of a frame by the number of requests in it."""

    name = 'frame-bytes'
    role = 'entry and scheduler'
    size_unit = 'requests a frame'
    unit = 'bytes'
    sizes = REQUEST_COUNTS

    def measure(self, size: int) -> float:
        """Return the bytes of a frame."""
        return float(len(encode(make_frame(size))))


class FrameTime(Bench):
    """CPU time of a frame at both ends by the number of requests in it."""

    name = 'frame-time'
    role = 'entry and scheduler'
    size_unit = 'requests a frame'
    unit = 'microseconds'
    sizes = REQUEST_COUNTS

    def measure(self, size: int) -> float:
        """Return the CPU time to build, encode, decode and unpack a frame."""

        def run_codec() -> None:
            for _ in range(FRAMES_PER_SAMPLE):
                raw = encode(make_frame(size))
                frame = FrameBuffer().feed(raw)[0]
                for wire in frame.asks:
                    convert.ask_from_wire(wire, frame.sender, 0)
                for wire in frame.releases:
                    convert.release_from_wire(wire, frame.sender)

        return measure_time(run_codec) / FRAMES_PER_SAMPLE
