"""Cost of claims in the log and in memory."""

from trefoilspool.bench import Bench, measure_memory, measure_time
from trefoilspool.ledger import Claim, ClaimBatch, Ledger, key_hash
from trefoilspool.platform import LogRecord

__all__ = ['ClaimBytes', 'ClaimFold', 'ClaimMemory']

BATCH = 50
SIZES = (1000, 5000, 20_000, 50_000)


def make_batch(first: int, size: int) -> str:
    """Return the record of a batch of claims."""
    claims = tuple(
        Claim(key_hash('ws', str(number)), 1 << 52 | number)
        for number in range(first, first + size)
    )
    return ClaimBatch('host-017', 1 << 60, claims, ()).encode()


def fold(records: list[str]) -> Ledger:
    """Fold records into a ledger."""
    ledger = Ledger()
    for offset, body in enumerate(records):
        ledger.apply(LogRecord(offset, body))
    return ledger


class ClaimBytes(Bench):
    """Bytes of an append by the claims that share it."""

    name = 'claim-bytes'
    role = 'claims'
    size_unit = 'claims an append'
    unit = 'bytes'
    sizes = (1, 10, 50, 200, 500)

    def measure(self, size: int) -> float:
        """Return the bytes of one record."""
        return float(len(make_batch(0, size)))


class ClaimFold(Bench):
    """Time to fold claims that are read back."""

    name = 'claim-fold'
    role = 'claims'
    size_unit = 'claims'
    unit = 'microseconds'
    sizes = SIZES

    def measure(self, size: int) -> float:
        """Return the time to fold a stream of claims."""
        records = [make_batch(one, BATCH) for one in range(0, size, BATCH)]
        return measure_time(lambda: fold(records), 3)


class ClaimMemory(Bench):
    """Memory of the claims that a host remembers."""

    name = 'claim-memory'
    role = 'claims'
    size_unit = 'claims'
    unit = 'bytes'
    sizes = SIZES

    def measure(self, size: int) -> float:
        """Return the bytes of a ledger."""
        records = [make_batch(one, BATCH) for one in range(0, size, BATCH)]
        return measure_memory(lambda: fold(records))
