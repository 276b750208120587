"""State machine of the claim stream: which request holds each key."""

import hashlib
import json
from typing import NamedTuple

from trefoilspool.platform import LogRecord

__all__ = ['Claim', 'ClaimBatch', 'Holder', 'Ledger', 'key_hash']

HASH_CHARS = 32


class Claim(NamedTuple):
    """One request's claim of an idempotency key, given by its hash."""

    key: str
    claim_id: int


class ClaimBatch(NamedTuple):
    """Claims and releases that share one append."""

    host: str
    incarnation: int
    claims: tuple[Claim, ...]
    releases: tuple[Claim, ...]

    def encode(self) -> str:
        """Return the batch as the body of a log record."""
        return json.dumps(self, separators=(',', ':'))


class Holder(NamedTuple):
    """The claim that holds a key, or held it until its release."""

    host: str
    incarnation: int
    claim_id: int
    offset: int
    released: bool


def key_hash(workspace: str, key: str) -> str:
    """Return the hash that stands for a workspace's key in the log."""
    digest = hashlib.sha256(f'{workspace}\0{key}'.encode()).hexdigest()
    return digest[:HASH_CHARS]


class Ledger:
    """Holders of all keys, as of the claim records applied so far.

    The first claim of a free key by offset becomes its holder. Only the
    holder's own incarnation can release the key. A claim does not expire; it
    is dropped only when the log trims its record.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.holders: dict[str, Holder] = {}
        self.by_offset: list[tuple[int, str]] = []

    def apply(self, record: LogRecord) -> ClaimBatch | None:
        """Apply a record; return its batch, None if it was applied before."""
        if record.offset < self.next_offset:
            return None
        self.next_offset = record.offset + 1
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
        """Make the claim the holder of its key unless the key is held."""
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
        """Release the key if exactly this claim holds it."""
        holder = self.holders.get(claim.key)
        if holder is None:
            return
        same_claim = (holder.incarnation, holder.claim_id) == (
            batch.incarnation,
            claim.claim_id,
        )
        if same_claim and holder.host == batch.host:
            self.holders[claim.key] = holder._replace(released=True)

    def trim(self, first: int) -> int:
        """Drop claims below offset ``first``; return how many."""
        dropped = 0
        for offset, key in self.by_offset:
            if offset >= first:
                break
            dropped += 1
            holder = self.holders.get(key)
            if holder is not None and holder.offset == offset:
                del self.holders[key]
        del self.by_offset[:dropped]
        self.next_offset = max(self.next_offset, first)
        return dropped
