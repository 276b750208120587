"""Hashes of a prompt's prefixes, at power-of-two lengths."""

import struct
from collections.abc import Sequence

import xxhash

__all__ = ['BLOCK_TOKENS', 'count_tokens', 'prefix_hashes', 'pack', 'unpack']

BLOCK_TOKENS = 32
CHARS_PER_TOKEN = 4
BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN
MAX_DEPTH = 10
HASH_BYTES = 4


def count_tokens(text: str) -> int:
    """Estimate the number of tokens of a text."""
    return max(1, len(text) // CHARS_PER_TOKEN)


def prefix_hashes(text: str) -> tuple[int, ...]:
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
    hashes = []
    for depth in range(MAX_DEPTH):
        end = BLOCK_CHARS << depth
        if end > len(text):
            break
        hashes.append(xxhash.xxh32_intdigest(text[:end].encode()))
    return tuple(hashes)


def pack(hashes: Sequence[int]) -> bytes:
    """Return prefix hashes packed as little-endian 32-bit integers."""
    return struct.pack(f'<{len(hashes)}I', *hashes)


def unpack(packed: bytes) -> tuple[int, ...]:
    """Return the prefix hashes of a packed form."""
    return struct.unpack(f'<{len(packed) // HASH_BYTES}I', packed)
