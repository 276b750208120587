"""Checks of the fields of decoded structs, before anything of them is used.

Thrift leaves a field that is missing, or of another type, at None.
"""

import functools
import ipaddress
import math
from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from typing import Any, TypeVar

import logbook

from trefoilspool.errors import BadStructError
from trefoilspool.jsonfields import is_label

__all__ = [
    'address',
    'age_s',
    'count',
    'counts',
    'given',
    'known',
    'label',
    'member',
    'rate',
    'readable',
    'text',
]

# Positions and revisions stay far below, so that they can still rise.
MAX_COUNT = 1_000_000_000_000_000_000
MAX_SENDING_MS = 1000
MS_PER_S = 1000
MAX_ADDRESSES = 4096  # remembered

Read = TypeVar('Read')
Kind = TypeVar('Kind', bound=IntEnum)

logger = logbook.Logger('mesh')


def readable(
    convert: Callable[[Any], Read], structs: Iterable[Any] | None
) -> Iterator[Read]:
    """Yield the converted structs; leave out and log those that are odd."""
    for struct in structs or ():
        try:
            yield convert(struct)
        except BadStructError as error:
            logger.warning(
                'struct_unreadable',
                extra={'struct': type(struct).__name__, 'error': str(error)},
            )


def known(*fields: object) -> None:
    """Check that all fields are there.

    Raises
    ------
    BadStructError
        One is missing.
    """
    if None in fields:
        raise BadStructError(f'a field is missing: {fields}')


def counts(*numbers: int | None) -> None:
    """Check that all numbers are there and none is negative.

    Raises
    ------
    BadStructError
        One is missing or negative.
    """
    known(*numbers)
    if min(numbers) < 0:  # type: ignore[type-var, operator]
        raise BadStructError(f'a number is negative: {numbers}')


def given(number: int | None) -> int:
    """Return a number.

    Raises
    ------
    BadStructError
        It is missing.
    """
    if number is None:
        raise BadStructError('a number is missing')
    return number


def count(number: int | None, most: int = MAX_COUNT) -> int:
    """Return a number from 0 to a bound.

    Raises
    ------
    BadStructError
        It is another one, or none.
    """
    if number is None or not 0 <= number <= most:
        raise BadStructError(f'{number} is not from 0 to {most}')
    return number


def age_s(age_ms: int | None) -> float:
    """Return an age in seconds.

    Raises
    ------
    BadStructError
        It is missing, or below zero by more than a sender takes for a datagram:
        what it notes meanwhile is younger than the datagram.
    """
    if age_ms is None or age_ms < -MAX_SENDING_MS:
        raise BadStructError(f'{age_ms} ms is no age')
    return max(0, age_ms) / MS_PER_S


def member(kinds: type[Kind], number: int | None) -> Kind:
    """Return the member of an enumeration with a number.

    Raises
    ------
    BadStructError
        There is none.
    """
    known(number)
    try:
        return kinds(number)  # type: ignore[arg-type]
    except ValueError:
        raise BadStructError(f'{number} is no {kinds.__name__}') from None


def rate(number: float | None) -> float | None:
    """Return a rate, None for any.

    Raises
    ------
    BadStructError
        It is negative, infinite or no number.
    """
    if number is not None and not (math.isfinite(number) and number >= 0):
        raise BadStructError(f'{number} is no rate')
    return number


def text(written: str | None) -> str:
    """Return a text, which may be empty.

    Raises
    ------
    BadStructError
        It is missing.
    """
    if written is None:
        raise BadStructError('a text is missing')
    return written


def label(name: str | None) -> str:
    """Return a name of printable characters.

    Raises
    ------
    BadStructError
        It is no such name.
    """
    if name is None or not is_label(name):
        raise BadStructError('a name is missing, too long or not printable')
    return name


def address(written: str | None) -> str:
    """Return an IPv4 address.

    Raises
    ------
    BadStructError
        It is none. A name, which sending would look up, is none either.
    """
    if written is None or not is_address(written):
        raise BadStructError('not an IPv4 address')
    return written


@functools.lru_cache(maxsize=MAX_ADDRESSES)
def is_address(written: str) -> bool:
    """Return whether a text is an IPv4 address."""
    try:
        ipaddress.IPv4Address(written)
    except ValueError:
        return False
    return True
