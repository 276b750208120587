"""Cost of the frames that carry asks, grants and releases."""

from trefoilspool import events
from trefoilspool.bench import Bench, measure_time
from trefoilspool.wire import convert
from trefoilspool.wire.codec import FrameBuffer, encode
from trefoilspool.wire.gen.peer import ttypes

__all__ = ['FrameBytes', 'FrameTime']

SIZES = (1, 4, 16, 64, 256)
LOOPS = 20
NUMBER = 1 << 38


def make_ask(number: int) -> events.Ask:
    """Return an ask of usual size: four prefix hashes."""
    return events.Ask(
        events.RequestKey('host-017', NUMBER + number * 64),
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
    """Return a frame with asks, grants and releases of ``size`` requests."""
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
    """Bytes of a frame by the requests that it carries."""

    name = 'frame-bytes'
    role = 'entry and scheduler'
    size_unit = 'requests a frame'
    unit = 'bytes'
    sizes = SIZES

    def measure(self, size: int) -> float:
        """Return the bytes of one frame."""
        return float(len(encode(make_frame(size))))


class FrameTime(Bench):
    """Time to build, encode, decode and unpack a frame."""

    name = 'frame-time'
    role = 'entry and scheduler'
    size_unit = 'requests a frame'
    unit = 'microseconds'
    sizes = SIZES

    def measure(self, size: int) -> float:
        """Return the time of both codec ends for one frame."""

        def loop() -> None:
            for _ in range(LOOPS):
                raw = encode(make_frame(size))
                frame = FrameBuffer().feed(raw)[0]
                for wire in frame.asks:
                    convert.ask_from_wire(wire, frame.sender, 0)
                for wire in frame.releases:
                    convert.release_from_wire(wire, frame.sender)

        return measure_time(loop) / LOOPS
