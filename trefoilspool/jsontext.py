"""JSON that comes from outside."""

import json

__all__ = ['parse_json']


def reject_constant(text: str) -> None:
    """Reject NaN and infinities, which are not JSON.

    Raises
    ------
    ValueError
        Always.
    """
    raise ValueError(f'{text} is not a JSON number')


def parse_json(content: bytes) -> object:
    """Parse a JSON document.

    Raises
    ------
    ValueError
        The document is malformed or nested too deeply.
    """
    try:
        return json.loads(content, parse_constant=reject_constant)
    except RecursionError:
        raise ValueError('nested too deeply') from None
