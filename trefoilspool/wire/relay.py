"""Conversion of the messages that open a relayed connection."""

import socket
import struct
from typing import Any

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from trefoilspool.departures import EndpointRun
from trefoilspool.errors import BadStructError
from trefoilspool.paths.relaymessages import (
    RelayOutcome,
    RelayReply,
    RelayRequest,
)
from trefoilspool.wire import checks
from trefoilspool.wire.gen.relay import ttypes

__all__ = [
    'decode_reply',
    'decode_request',
    'encode_reply',
    'encode_request',
    'receive_message',
]

PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()
LENGTH = struct.Struct('!H')
MAX_MESSAGE_BYTES = 1024
MS_PER_S = 1000
MAX_LIFETIME_S = 86_400.0
DECODE_ERRORS = (TException, EOFError, ValueError, TypeError, OverflowError)


def encode_request(request: RelayRequest) -> bytes:
    """Encode a request with its length before it."""
    lifetime_s = min(request.lifetime_s, MAX_LIFETIME_S)
    return with_length(
        ttypes.RelayRequest(
            request.run.name,
            request.run.started_ms,
            int(lifetime_s * MS_PER_S),
        )
    )


def decode_request(body: bytes) -> RelayRequest:
    """Decode a request.

    Raises
    ------
    BadStructError
        When it cannot be used.
    """
    message = decoded(ttypes.RelayRequest(), body)
    checks.counts(message.lifetime_ms)
    return RelayRequest(
        EndpointRun(
            checks.label(message.endpoint), checks.count(message.started_ms)
        ),
        message.lifetime_ms / MS_PER_S,
    )


def encode_reply(reply: RelayReply) -> bytes:
    """Encode an answer with its length before it."""
    return with_length(
        ttypes.RelayReply(int(reply.outcome), reply.reaches_other)
    )


def decode_reply(body: bytes) -> RelayReply:
    """Decode an answer.

    Raises
    ------
    BadStructError
        When it cannot be used.
    """
    message = decoded(ttypes.RelayReply(), body)
    return RelayReply(
        checks.member(RelayOutcome, message.outcome),
        bool(message.reaches_other),
    )


def with_length(message: Any) -> bytes:
    """Return the bytes of a message with their length before them."""
    body: bytes = serialize(message, PROTOCOL_FACTORY)
    return LENGTH.pack(len(body)) + body


def decoded(message: Any, body: bytes) -> Any:
    """Return a message filled from bytes.

    Raises
    ------
    BadStructError
        When they are malformed.
    """
    try:
        return deserialize(message, body, PROTOCOL_FACTORY)
    except DECODE_ERRORS as error:
        raise BadStructError(f'a malformed message: {error!r}') from error


def receive_message(sock: socket.socket) -> bytes:
    """Receive a message without its length.

    Raises
    ------
    OSError
        When the connection ends or takes too long.
    BadStructError
        When the message is too long.
    """
    size = LENGTH.unpack(receive_exactly(sock, LENGTH.size))[0]
    if size > MAX_MESSAGE_BYTES:
        raise BadStructError(f'a message of {size} bytes')
    return receive_exactly(sock, size)


def receive_exactly(sock: socket.socket, size: int) -> bytes:
    """Receive so many bytes and none beyond them.

    Raises
    ------
    OSError
        When the connection ends or takes too long.
    """
    body = bytearray()
    while len(body) < size:
        received = sock.recv(size - len(body))
        if not received:
            raise ConnectionResetError('the connection ended in a message')
        body += received
    return bytes(body)
