"""Benchmarks of claims: log records, replay time and memory."""

from trefoilspool.bench import Bench, measure_memory, measure_time
from trefoilspool.ledger import Claim, ClaimBatch, Ledger, key_hash
from trefoilspool.platform import LogRecord

__all__ = ['ClaimBytes', 'ClaimFold', 'ClaimMemory']

CLAIMS_PER_RECORD = 50
CLAIM_COUNTS = (1000, 5000, 20_000, 50_000)


def make_record(first_key: int, size: int) -> str:
    """Return the log record of a batch of claims."""
    claims = tuple(
        Claim(key_hash('ws', str(number)), 1 << 52 | number)
        for number in range(first_key, first_key + size)
    )
    return ClaimBatch('host-017', 1 << 60, claims, ()).encode()


def make_records(size: int) -> list[str]:
    """Return the log records of a number of claims."""
    return [
        make_record(first_key, CLAIMS_PER_RECORD)
        for first_key in range(0, size, CLAIMS_PER_RECORD)
    ]


def fold_records(records: list[str]) -> Ledger:
    """Return the ledger that results from log records."""
    ledger = Ledger()
    for offset, body in enumerate(records):
        ledger.apply(LogRecord(offset, body))
    return ledger


class ClaimBytes(Bench):
    """Bytes of an append by the number of claims in it."""

    name = 'claim-bytes'
    role = 'claims'
    size_unit = 'claims an append'
    unit = 'bytes'
    sizes = (1, 10, 50, 200, 500)

    def measure(self, size: int) -> float:
        """Return the bytes of a record."""
        return float(len(make_record(0, size)))


class ClaimFold(Bench):
    """CPU time to rebuild the ledger by the number of claims read back."""

    name = 'claim-fold'
    role = 'claims'
    size_unit = 'claims'
    unit = 'microseconds'
    sizes = CLAIM_COUNTS

    def measure(self, size: int) -> float:
        """Return the CPU time to fold a stream of claims."""
        records = make_records(size)
        return measure_time(lambda: fold_records(records), 3)


class ClaimMemory(Bench):
    """Memory of the ledger by the number of claims in it."""

    name = 'claim-memory'
    role = 'claims'
    size_unit = 'claims'
    unit = 'bytes'
    sizes = CLAIM_COUNTS

    def measure(self, size: int) -> float:
        """Return the bytes of a ledger."""
        records = make_records(size)
        return measure_memory(lambda: fold_records(records))
