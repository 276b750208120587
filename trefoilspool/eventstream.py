"""The events of a stream, from the chunks in which they are received."""

from collections.abc import Iterator

from trefoilspool.errors import StreamCutError
from trefoilspool.readpace import ReadPace
from trefoilspool.responsebounds import ByteBudget, HeldBytes

__all__ = ['split_events']

EVENT_END = b'\n\n'
MAX_EVENT_BYTES = 2_097_152
MAX_STREAM_BYTES = 33_554_432


def split_events(
    chunks: Iterator[bytes], budget: ByteBudget, pace: ReadPace
) -> Iterator[bytes]:
    """Yield the events of a stream, each with its terminator.

    Parameters
    ----------
    chunks : iterator of bytes
        The stream, in pieces of any size.
    budget : ByteBudget
        Memory for a long event.
    pace : ReadPace
        The pace of events that come many at a time.

    Raises
    ------
    StreamCutError
        When the stream ends within an event, or when it or an event is too
        long.
    """
    held = HeldBytes(budget, MAX_EVENT_BYTES)
    pending = bytearray()
    received = 0
    try:
        for chunk in chunks:
            received += len(chunk)
            if received > MAX_STREAM_BYTES:
                raise StreamCutError(f'over {MAX_STREAM_BYTES} bytes of events')
            if not pending and is_one_event(chunk):
                yield chunk
                continue
            # The terminator may have begun in the chunk before.
            searched = max(0, len(pending) - 1)
            pending += chunk
            yield from take_events(pending, searched, pace)
            held.hold(len(pending))
    finally:
        held.release()
    if pending:
        raise StreamCutError(
            f'the stream ended after {len(pending)} bytes of an event'
        )


def is_one_event(chunk: bytes) -> bool:
    """Return whether a chunk is a whole event, as most are."""
    end = chunk.find(EVENT_END)
    return end >= 0 and end + len(EVENT_END) == len(chunk)


def take_events(
    pending: bytearray, searched: int, pace: ReadPace
) -> Iterator[bytes]:
    """Yield the whole events of a buffer and remove them from it.

    Parameters
    ----------
    pending : bytearray
        The buffer.
    searched : int
        Position before which no terminator begins.
    pace : ReadPace
        The pace of the events.
    """
    start = 0
    end = pending.find(EVENT_END, searched)
    while end >= 0:
        end += len(EVENT_END)
        yield bytes(pending[start:end])
        pace.on_piece(end - start)
        start = end
        end = pending.find(EVENT_END, start)
    del pending[:start]
