"""State machine of the claim stream: which request holds each key."""

import hashlib
import json
from typing import NamedTuple

import logbook

from trefoilspool.errors import BadRecordError
from trefoilspool.jsontext import parse_json
from trefoilspool.platform import LogRecord

__all__ = ['Claim', 'ClaimBatch', 'Holder', 'Ledger', 'key_hash']

HASH_CHARS = 32
BATCH_TYPES = [str, int, list, list]

logger = logbook.Logger('claims')


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


def decode_batch(body: str) -> ClaimBatch:
    """Decode the body of a log record.

    Raises
    ------
    BadRecordError
        It is no batch.
    """
    try:
        batch = parse_json(body.encode())
    except ValueError as error:
        raise BadRecordError('claims', '', str(error), 'JSON') from None
    if not isinstance(batch, list) or list(map(type, batch)) != BATCH_TYPES:
        raise BadRecordError('claims', '', batch, 'a batch')
    host, incarnation, claims, releases = batch
    return ClaimBatch(
        host, incarnation, decode_claims(claims), decode_claims(releases)
    )


def decode_claims(rows: list[object]) -> tuple[Claim, ...]:
    """Decode claims.

    Raises
    ------
    BadRecordError
        A row is none.
    """
    claims = []
    for row in rows:
        if not isinstance(row, list) or list(map(type, row)) != [str, int]:
            raise BadRecordError('claims', '', row, 'a key and a number')
        claims.append(Claim(*row))
    return tuple(claims)


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
        """Apply a record.

        Returns
        -------
        ClaimBatch or None
            Its batch; None if it was applied before, or is malformed.
        """
        if record.offset < self.next_offset:
            return None
        self.next_offset = record.offset + 1
        try:
            batch = decode_batch(record.body)
        except BadRecordError as error:
            logger.warning(
                'claims_unreadable',
                extra={'offset': record.offset, 'error': str(error)},
            )
            return None
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
