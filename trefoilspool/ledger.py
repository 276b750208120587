"""The claim state machine: which request holds each key."""

import hashlib
import json
from typing import NamedTuple

from trefoilspool.platform import LogRecord

__all__ = ['Claim', 'ClaimBatch', 'Holder', 'Ledger', 'key_hash']

HASH_CHARS = 32


class Claim(NamedTuple):
    """A claim of a key by one request."""

    key: str
    claim_id: int


class ClaimBatch(NamedTuple):
    """Claims and releases that share one append."""

    host: str
    incarnation: int
    claims: tuple[Claim, ...]
    releases: tuple[Claim, ...]

    def encode(self) -> str:
        """Return the log record."""
        return json.dumps(self, separators=(',', ':'))


class Holder(NamedTuple):
    """The request that holds a key, or held it until a release."""

    host: str
    incarnation: int
    claim_id: int
    offset: int
    released: bool


def key_hash(workspace: str, key: str) -> str:
    """Return the name that a workspace's key has in the log."""
    digest = hashlib.sha256(f'{workspace}\0{key}'.encode()).hexdigest()
    return digest[:HASH_CHARS]


class Ledger:
    """State after a prefix of the claim stream.

    The first claim of a key by offset holds it. Only the holder's own
    incarnation can release it, and no timer frees it; it is forgotten only
    when the log trims it.
    """

    def __init__(self) -> None:
        self.next = 0
        self.holders: dict[str, Holder] = {}
        self.by_offset: list[tuple[int, str]] = []

    def apply(self, record: LogRecord) -> ClaimBatch | None:
        """Fold a record; one that was folded before is ignored."""
        if record.offset < self.next:
            return None
        self.next = record.offset + 1
        host, incarnation, claims, releases = json.loads(record.body)
        batch = ClaimBatch(
            host,
            incarnation,
            tuple(Claim(*claim) for claim in claims),
            tuple(Claim(*claim) for claim in releases),
        )
        for released in batch.releases:
            self.release(batch, released)
        for claim in batch.claims:
            self.claim(batch, claim, record.offset)
        return batch

    def claim(self, batch: ClaimBatch, claim: Claim, offset: int) -> None:
        """Give the key to the claim unless another holds it."""
        holder = self.holders.get(claim.key)
        if holder is not None and not holder.released:
            return
        self.holders[claim.key] = Holder(
            batch.host,
            batch.incarnation,
            claim.claim_id,
            offset,
            False,
        )
        self.by_offset.append((offset, claim.key))

    def release(self, batch: ClaimBatch, claim: Claim) -> None:
        """Free the key if this very claim holds it."""
        holder = self.holders.get(claim.key)
        if holder is None:
            return
        same = (holder.incarnation, holder.claim_id) == (
            batch.incarnation,
            claim.claim_id,
        )
        if same and holder.host == batch.host:
            self.holders[claim.key] = holder._replace(released=True)

    def trim(self, first: int) -> int:
        """Forget claims that the log no longer holds; return how many."""
        gone = 0
        for offset, key in self.by_offset:
            if offset >= first:
                break
            gone += 1
            holder = self.holders.get(key)
            if holder is not None and holder.offset == offset:
                del self.holders[key]
        del self.by_offset[:gone]
        self.next = max(self.next, first)
        return gone
