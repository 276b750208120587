"""Pages of peers, or of whatever has a peer's address now."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from oddvalues import EDGE_INTEGERS

from trefoilspool.errors import LogOutageError
from trefoilspool.peertopics import (
    MAX_AHEAD,
    MAX_ERA,
    MAX_OFFSET,
    PEER_HEADER,
    PEER_RECORD_HEADER,
    PeerTopic,
    encode_changes,
)
from trefoilspool.replica import Replica
from trefoilspool.store import KeyedRecord, Page

NUMBERS = st.sampled_from((1, 5, 70, *EDGE_INTEGERS))


def read(body: bytes) -> Page:
    """Read a page of a peer that answers with a body."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(f'{PeerTopic.__module__}.peer_page', lambda *_: body)
        return PeerTopic('127.0.0.1', 1, '/endpoints').read_from(0, 0)


def assert_follows_the_store(body: bytes) -> None:
    """Check that a replica still follows the store after a peer's page."""
    replica = Replica(lambda records: None)
    replica.apply(Page((KeyedRecord('a', b'1', 3),), 4, complete=True))
    try:
        replica.apply(read(body))
    except LogOutageError:
        return
    encode_changes(replica, '0.0')
    # Later pages of the store would be taken for older ones.
    assert replica.era <= MAX_ERA
    assert replica.end <= MAX_OFFSET
    offsets = [record.offset for record in replica.records.values()]
    assert max(offsets) <= replica.end + MAX_AHEAD


def page_with(*parts: bytes) -> bytes:
    """Return a page that ends at offset 3."""
    return b''.join((PEER_HEADER.pack(0, 3, True), *parts))


class TestPage:
    @given(st.binary(max_size=80))
    def test_bytes(self, body: bytes) -> None:
        assert_follows_the_store(body)

    @given(NUMBERS, NUMBERS, st.booleans(), NUMBERS, st.integers(0, 9))
    def test_numbers(
        self, era: int, end: int, complete: bool, offset: int, length: int
    ) -> None:
        head = PEER_HEADER.pack(era, end, complete)
        record = PEER_RECORD_HEADER.pack(abs(offset), 1, length)
        assert_follows_the_store(b''.join((head, record, b'kcontent')))

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'<html><body>Another service at this address</body></html>',
            b'{"status": "ok", "uptime": 12345}',
            page_with(PEER_RECORD_HEADER.pack(MAX_OFFSET, 1, 1), b'kv'),
            page_with(PEER_RECORD_HEADER.pack(1, 1, 9)),
        ],
        ids=('empty', 'html', 'json', 'far-offset', 'cut'),
    )
    def test_other_page_is_one_failed_read(self, body: bytes) -> None:
        with pytest.raises(LogOutageError):
            read(body)
