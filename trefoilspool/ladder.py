"""Prefix hashes of a prompt, taken at power-of-two depths."""

import struct
from collections.abc import Sequence

import xxhash

__all__ = ['BLOCK_TOKENS', 'count_tokens', 'ladder', 'pack', 'unpack']

BLOCK_TOKENS = 32
CHARS_PER_TOKEN = 4
BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN
MAX_RUNGS = 10
HASH_BYTES = 4


def count_tokens(text: str) -> int:
    """Estimate the tokens of a text."""
    return max(1, len(text) // CHARS_PER_TOKEN)


def ladder(text: str) -> tuple[int, ...]:
    """Hash the prompt's first 1, 2, 4, ... blocks.

    Parameters
    ----------
    text : str
        The prompt.

    Returns
    -------
    tuple of int
        32-bit hashes; entry ``i`` covers ``BLOCK_TOKENS * 2 ** i`` tokens.
    """
    rungs = []
    for rung in range(MAX_RUNGS):
        end = BLOCK_CHARS << rung
        if end > len(text):
            break
        rungs.append(xxhash.xxh32_intdigest(text[:end].encode()))
    return tuple(rungs)


def pack(rungs: Sequence[int]) -> bytes:
    """Return the wire form of a ladder."""
    return struct.pack(f'<{len(rungs)}I', *rungs)


def unpack(raw: bytes) -> tuple[int, ...]:
    """Return the ladder of its wire form."""
    return struct.unpack(f'<{len(raw) // HASH_BYTES}I', raw)
