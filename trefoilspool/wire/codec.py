"""Encoding of length-prefixed frames."""

import struct

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.TSerialization import deserialize, serialize

from trefoilspool.wire.gen.peer.ttypes import Frame

__all__ = ['FrameBuffer', 'decode', 'encode']

LENGTH_PREFIX = struct.Struct('>I')
PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()


def encode(frame: Frame) -> bytes:
    """Encode a frame with its length prefix."""
    body: bytes = serialize(frame, PROTOCOL_FACTORY)
    return LENGTH_PREFIX.pack(len(body)) + body


def decode(body: bytes) -> Frame:
    """Decode a frame from its bytes without the length prefix."""
    return deserialize(Frame(), body, PROTOCOL_FACTORY)


class FrameBuffer:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self.pending = bytearray()

    def feed(self, received: bytes) -> list[Frame]:
        """Add received bytes; return the complete frames."""
        self.pending += received
        frames = []
        while len(self.pending) >= LENGTH_PREFIX.size:
            length = LENGTH_PREFIX.unpack_from(self.pending)[0]
            end = LENGTH_PREFIX.size + length
            if len(self.pending) < end:
                break
            frames.append(decode(bytes(self.pending[LENGTH_PREFIX.size : end])))
            del self.pending[:end]
        return frames
