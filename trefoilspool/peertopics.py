"""Pages by which hosts read each other's replicas and configuration."""

import http.client
import struct

from trefoilspool.boundedconnection import BoundedConnection, receive
from trefoilspool.errors import LogOutageError, MalformedAnswerError
from trefoilspool.replica import NO_ERA, Replica
from trefoilspool.store import KeyedRecord, KeyedSource, Page

__all__ = [
    'CONFIGURATION_PATH',
    'ENDPOINTS_PATH',
    'MAX_AHEAD',
    'MAX_ERA',
    'MAX_OFFSET',
    'PeerTopic',
    'decode_changes',
    'encode_changes',
    'peer_page',
]

CONFIGURATION_PATH = '/configuration'
ENDPOINTS_PATH = '/endpoints'
PEER_TIMEOUT_S = 0.4
HTTP_OK = 200
# Offset, key length, content length.
PEER_RECORD_HEADER = struct.Struct('>QHI')
NO_OFFSET = -1  # before the first page
MAX_ERA = 1_000_000_000
MAX_OFFSET = 1_000_000_000_000_000
# A listing of all records may hold some that are newer than its end.
MAX_AHEAD = 1_000_000
PEER_HEADER = struct.Struct('>qq?')  # era, end offset, whether complete


class PeerTopic(KeyedSource):
    """A peer's replica of a topic.

    Parameters
    ----------
    address, port : str, int
        Address and port of the peer's control listener.
    path : str
        Path at which the peer serves the topic.
    """

    def __init__(self, address: str, port: int, path: str) -> None:
        self.address = address
        self.port = port
        self.path = path

    def read_latest(self) -> Page:
        """Read the latest record of each key."""
        return self.read_from(0, 0, NO_ERA)

    def read_from(self, start: int, wait_s: float, era: int = 0) -> Page:
        """Read the records from an offset on."""
        path = f'{self.path}?{era}.{start}'
        body = peer_page(self.address, self.port, path)
        try:
            return decode_changes(body)
        except (struct.error, ValueError) as error:
            raise MalformedAnswerError(
                f'{self.address}{self.path} returned a malformed body: {error}'
            ) from error


def peer_page(address: str, port: int, path: str) -> bytes:
    """Return the body of a page of a peer's control listener.

    Raises
    ------
    LogOutageError
        The peer did not respond, or not with status 200.
    """
    connection = BoundedConnection(address, port, PEER_TIMEOUT_S)
    try:
        connection.request('GET', path)
        response, body = receive(connection, PEER_TIMEOUT_S)
    except (OSError, http.client.HTTPException) as error:
        raise LogOutageError(f'{address}: {error!r}') from error
    finally:
        connection.close()
    if response.status != HTTP_OK:
        raise LogOutageError(
            f'{address}{path} returned status {response.status}'
        )
    return body


def encode_changes(replica: Replica, position: str) -> bytes:
    """Encode a replica's changes from a peer's position on.

    Parameters
    ----------
    replica : Replica
        Replica of this host.
    position : str
        Era and offset up to which the peer has read, as ``ERA.OFFSET``.

    Raises
    ------
    ValueError
        The position is malformed.
    """
    era, _, start = position.partition('.')
    page = replica.changes_from(int(start), int(era))
    parts = [PEER_HEADER.pack(page.era, page.end, page.complete)]
    for record in page.records:
        key = record.key.encode()
        parts.append(
            PEER_RECORD_HEADER.pack(
                record.offset, len(key), len(record.content)
            ),
        )
        parts += (key, record.content)
    return b''.join(parts)


def decode_changes(body: bytes) -> Page:
    """Decode the changes in a peer's response.

    Raises
    ------
    struct.error, ValueError
        The body is malformed.
    """
    era, end, complete = PEER_HEADER.unpack_from(body)
    # Another service may have the address now.
    if not (NO_ERA <= era <= MAX_ERA and NO_OFFSET <= end <= MAX_OFFSET):
        raise ValueError(f'era {era}, end {end}')
    position = PEER_HEADER.size
    records = []
    while position < len(body):
        offset, key_length, length = PEER_RECORD_HEADER.unpack_from(
            body, position
        )
        position += PEER_RECORD_HEADER.size
        key = body[position : position + key_length].decode()
        position += key_length
        content = body[position : position + length]
        position += length
        if position > len(body):
            raise ValueError(f'the record of {key!r} is cut short')
        if offset > end + MAX_AHEAD:
            raise ValueError(f'offset {offset} of {key!r}, end {end}')
        records.append(KeyedRecord(key, content, offset))
    return Page(tuple(records), end, complete, era)
