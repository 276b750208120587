"""Objects in JSON that come from outside, and their fields."""

from collections.abc import Mapping
from typing import Any

from trefoilspool.errors import BadRecordError
from trefoilspool.jsontext import parse_json

__all__ = ['MAX_LABEL', 'Fields', 'is_label', 'parse_object']

MAX_NUMBER = 1e15  # far above any count, rate or time in milliseconds
MAX_LABEL = 255  # characters of a name, as long as a key of the store


class Fields:
    """A JSON object whose fields are validated when they are read.

    Parameters
    ----------
    record : str
        Name of the record in error messages.
    source : object
        The decoded JSON value.
    """

    def __init__(self, record: str, source: object) -> None:
        if not isinstance(source, dict):
            raise BadRecordError(record, '', source, 'an object')
        self.record = record
        self.source: Mapping[str, Any] = source

    def required(self, field: str) -> Any:
        """Return the value of a field that must be there."""
        if field not in self.source:
            raise BadRecordError(self.record, field, None, 'there')
        return self.source[field]

    def text(self, field: str) -> str:
        """Return a required string, which may be empty or odd."""
        value = self.source.get(field)
        if not isinstance(value, str):
            raise BadRecordError(self.record, field, value, 'a string')
        return value

    def string(self, field: str) -> str:
        """Return a required, non-empty string."""
        value = self.source.get(field)
        if not isinstance(value, str) or not value or has_surrogate(value):
            raise BadRecordError(
                self.record, field, value, 'a non-empty string'
            )
        return value

    def label(self, field: str) -> str:
        """Return a required name of printable characters."""
        value = self.string(field)
        if not is_label(value):
            raise BadRecordError(self.record, field, value, 'a name')
        return value

    def optional(self, field: str) -> str:
        """Return a string; empty if the field is missing or null."""
        return '' if self.source.get(field) is None else self.string(field)

    def number(self, field: str, default: float | None = None) -> float:
        """Return a non-negative number; the default if it is missing."""
        value: Any = self.source.get(field)
        if value is None:
            value = default
        is_number = isinstance(value, int | float)
        if is_number and not isinstance(value, bool):
            if 0 <= value <= MAX_NUMBER:
                return float(value)
        raise BadRecordError(self.record, field, value, 'a number >= 0')

    def strings(self, field: str) -> frozenset[str]:
        """Return a list of strings; empty if the field is missing."""
        value = self.source.get(field)
        if value is None:
            return frozenset()
        if not isinstance(value, list) or not all(
            isinstance(entry, str) for entry in value
        ):
            raise BadRecordError(self.record, field, value, 'a list of strings')
        return frozenset(value)

    def integer(
        self,
        field: str,
        default: int | None = None,
        most: float = MAX_NUMBER,
    ) -> int:
        """Return a non-negative integer; a larger one than ``most`` is bad."""
        value = self.number(field, default)
        if value != int(value) or value > most:
            allowed = f'whole and at most {most:.0f}'
            raise BadRecordError(self.record, field, value, allowed)
        return int(value)

    def boolean(self, field: str) -> bool:
        """Return a boolean; false if the field is missing."""
        value = self.source.get(field)
        if value is None:
            return False
        if not isinstance(value, bool):
            raise BadRecordError(self.record, field, value, 'true or false')
        return value

    def objects(self, field: str) -> list['Fields']:
        """Return a list of objects; an empty list if the field is missing."""
        value = self.source.get(field)
        if value is None:
            return []
        if not isinstance(value, list):
            raise BadRecordError(self.record, field, value, 'a list')
        return [Fields(f'{self.record}.{field}', row) for row in value]

    def lookup(self, field: str, table: Mapping[str, Any]) -> Any:
        """Return the table's value for a string field that must be a key."""
        value = self.source.get(field)
        if not isinstance(value, str) or value not in table:
            allowed = f'one of {", ".join(table)}'
            raise BadRecordError(self.record, field, value, allowed)
        return table[value]


def has_surrogate(text: str) -> bool:
    """Return whether a text has half a character, as JSON can express it."""
    return not text.isascii() and any(
        '\ud800' <= character <= '\udfff' for character in text
    )


def is_label(text: str) -> bool:
    """Return whether a text is a name of printable characters."""
    return 0 < len(text) <= MAX_LABEL and text.isprintable()


def parse_object(record: str, content: bytes) -> Fields:
    """Parse a record as a JSON object.

    Raises
    ------
    BadRecordError
        The record is no JSON object.
    """
    try:
        return Fields(record, parse_json(content))
    except ValueError as error:
        raise BadRecordError(record, '', str(error), 'JSON') from None
