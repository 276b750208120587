"""Parts of a prompt, as far as they are used for placement and quarantine."""

import itertools
from collections.abc import Iterable

import xxhash

__all__ = ['MAX_PARTS', 'part_prefixes', 'shared_parts']

# The id of a prefix holds those of all parts before it, so that their length
# grows with the square of the number of parts.
MAX_PARTS = 32
MAX_ID_CHARS = 32
SEPARATOR = '/'


def part_prefixes(parts: Iterable[str]) -> tuple[str, ...]:
    """Return the ids of a prompt's prefixes, shortest first.

    An endpoint's cache can reuse a part only after the same parts before it, so
    the id of a prefix consists of the ids of its parts. Only the first
    ``MAX_PARTS`` count; a request that has more of them is treated as one that
    ends there.

    Parameters
    ----------
    parts : iterable of str
        Ids of the prompt's parts, in their order.
    """
    ids = map(short_id, itertools.islice(parts, MAX_PARTS))
    return tuple(itertools.accumulate(ids, join_ids))


def shared_parts(prefixes: tuple[str, ...]) -> tuple[str, ...]:
    """Return the ids of the parts that other prompts may share.

    These are all but the last, which belongs to one request or session.
    """
    return tuple(prefixes[-1].split(SEPARATOR)[:-1]) if prefixes else ()


def short_id(part: str) -> str:
    """Return the id of a part, or a digest of it if it is too long."""
    if len(part) <= MAX_ID_CHARS:
        return part
    return xxhash.xxh3_64_hexdigest(part.encode())


def join_ids(prefix: str, part: str) -> str:
    """Return the id of a prefix that ends with a part."""
    return f'{prefix}{SEPARATOR}{part}'
