"""Encoding of frames with a length before each."""

import struct

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.TSerialization import deserialize, serialize

from trefoilspool.wire.gen.peer.ttypes import Frame

__all__ = ['FrameBuffer', 'decode', 'encode']

HEADER = struct.Struct('>I')
FACTORY = TCompactProtocolAcceleratedFactory()


def encode(frame: Frame) -> bytes:
    """Return a frame's bytes with the length in front."""
    body: bytes = serialize(frame, FACTORY)
    return HEADER.pack(len(body)) + body


def decode(body: bytes) -> Frame:
    """Return the frame of its bytes, without the length."""
    return deserialize(Frame(), body, FACTORY)


class FrameBuffer:
    """Cuts a byte stream into frames."""

    def __init__(self) -> None:
        self.pending = bytearray()

    def feed(self, received: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are complete."""
        self.pending += received
        frames = []
        while len(self.pending) >= HEADER.size:
            length = HEADER.unpack_from(self.pending)[0]
            end = HEADER.size + length
            if len(self.pending) < end:
                break
            frames.append(decode(bytes(self.pending[HEADER.size : end])))
            del self.pending[:end]
        return frames
