"""Chunked bodies of callers' requests, with a bound on what frames them."""

from waitress.buffers import OverflowableBuffer
from waitress.receiver import ChunkedReceiver
from waitress.utilities import Error, RequestEntityTooLarge

__all__ = ['BoundedChunkedReceiver']

MAX_SIZE_LINE_BYTES = 1024  # of a chunk, with its extensions
MAX_TRAILER_BYTES = 16_384
# Sizes of chunks and the like may outweigh the content by so much.
MAX_FRAMING_BYTES = 65_536


class BoundedChunkedReceiver(ChunkedReceiver):  # type: ignore[misc]
    """Receives a chunked body; ends one that is framing for the most part.

    The library keeps lines of sizes and trailers of any length, and copies and
    searches them again with each read.

    Attributes
    ----------
    framing_bytes : int
        Bytes that have been received and are not content.
    """

    error: Error | None

    def __init__(self, buffer: OverflowableBuffer) -> None:
        super().__init__(buffer)
        self.framing_bytes = 0

    def received(self, data: bytes) -> int:
        """Receive further bytes; return how many belong to the body."""
        content_bytes = len(self)
        consumed: int = super().received(data)
        content_bytes = len(self) - content_bytes
        self.framing_bytes += consumed - content_bytes
        excess = self.excess()
        if excess and not self.error:
            self.error = RequestEntityTooLarge(excess)
        return consumed

    def excess(self) -> str:
        """Return what the body has too much of, an empty text for nothing."""
        if self.framing_bytes > MAX_FRAMING_BYTES + len(self):
            return 'the chunks have more framing than content'
        if len(self.control_line) > MAX_SIZE_LINE_BYTES:
            return f'the size of a chunk exceeds {MAX_SIZE_LINE_BYTES} bytes'
        if len(self.trailer) > MAX_TRAILER_BYTES:
            return f'the trailer exceeds {MAX_TRAILER_BYTES} bytes'
        return ''
