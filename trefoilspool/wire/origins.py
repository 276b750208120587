"""Conversion between origins of streams and datagrams."""

import math
from collections.abc import Iterable

from trefoilspool.streamorigins import (
    UNKNOWN,
    OriginQuery,
    OriginSource,
    StreamOrigin,
)
from trefoilspool.wire import checks
from trefoilspool.wire.gen.mesh import ttypes

__all__ = [
    'origins_from_wire',
    'origins_to_wire',
    'queries_from_wire',
    'queries_to_wire',
]

MS_PER_S = 1000
MAX_AGE_S = 86_400  # older records tell nothing of any stream


def origins_to_wire(
    origins: Iterable[StreamOrigin],
) -> list[ttypes.StreamOrigin]:
    """Build the Thrift structs of origins."""
    return [
        ttypes.StreamOrigin(
            origin.stream,
            origin.software,
            int(origin.source),
            origin.service,
            age_to_wire(origin.age_s),
        )
        for origin in origins
    ]


def origins_from_wire(
    structs: Iterable[ttypes.StreamOrigin],
) -> list[StreamOrigin]:
    """Build origins from their Thrift structs; odd ones are left out."""
    return list(checks.readable(origin_from_wire, structs))


def origin_from_wire(struct: ttypes.StreamOrigin) -> StreamOrigin:
    """Build an origin from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(struct.stream)
    return StreamOrigin(
        struct.stream,
        struct.service_name or '',
        struct.software or UNKNOWN,
        checks.member(OriginSource, struct.source),
        math.inf if struct.age_ms is None else checks.age_s(struct.age_ms),
    )


def age_to_wire(age_s: float) -> int | None:
    """Return an age in milliseconds, rounded up; None for an unknown one."""
    if age_s > MAX_AGE_S:
        return None
    return math.ceil(age_s * MS_PER_S)


def queries_to_wire(
    queries: Iterable[OriginQuery],
) -> list[ttypes.OriginQuery]:
    """Build the Thrift structs of queries."""
    return [
        ttypes.OriginQuery(
            query.stream, query.route, int(query.window_s * MS_PER_S)
        )
        for query in queries
    ]


def queries_from_wire(
    structs: Iterable[ttypes.OriginQuery],
) -> list[OriginQuery]:
    """Build queries from their Thrift structs; odd ones are left out."""
    return list(checks.readable(query_from_wire, structs))


def query_from_wire(struct: ttypes.OriginQuery) -> OriginQuery:
    """Build a query from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(struct.stream)
    return OriginQuery(
        struct.stream,
        checks.text(struct.route),
        checks.count(struct.window_ms) / MS_PER_S,
    )
