"""Conversion between events of the core and Thrift structs of frames.

Deadlines are sent as remaining milliseconds, since hosts share no clock.
"""

from trefoilspool import events, prefixhash
from trefoilspool.wire.gen.peer import ttypes

__all__ = [
    'ask_from_wire',
    'ask_to_wire',
    'release_from_wire',
    'release_to_wire',
]

MS_PER_S = 1000


def ask_to_wire(ask: events.Ask, now: float) -> ttypes.Ask:
    """Build the Thrift struct of an ask."""
    return ttypes.Ask(
        request=ask.request.number,
        cell=ask.cell,
        workspace=ask.workspace,
        tier=ask.tier,
        weight=ask.weight,
        deadline_ms=int((ask.deadline - now) * MS_PER_S),
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        victim_class=int(ask.victim),
        prefix_hashes=prefixhash.pack(ask.prefix_hashes),
        kind=ask.kind,
        avoid=list(ask.avoid),
        interactive=ask.interactive,
    )


def ask_from_wire(wire: ttypes.Ask, entry: str, now: float) -> events.Ask:
    """Build an ask from the Thrift struct that an entry host sent."""
    return events.Ask(
        request=events.RequestKey(entry, wire.request),
        cell=wire.cell,
        workspace=wire.workspace,
        kind=wire.kind,
        tier=wire.tier,
        weight=wire.weight,
        deadline=now + wire.deadline_ms / MS_PER_S,
        prompt_tokens=wire.prompt_tokens,
        output_tokens=wire.output_tokens,
        victim=events.VictimClass(wire.victim_class),
        prefix_hashes=prefixhash.unpack(wire.prefix_hashes or b''),
        avoid=tuple(wire.avoid or ()),
        interactive=bool(wire.interactive),
    )


def release_to_wire(release: events.Release) -> ttypes.Release:
    """Build the Thrift struct of a release."""
    return ttypes.Release(
        request=release.request.number,
        ending=int(release.ending),
        first_token_ms=int(release.first_token * MS_PER_S),
        prompt_tokens=release.prompt_tokens,
        cached_tokens=release.cached_tokens,
        output_tokens=release.output_tokens,
        decode_ms=int(release.decode * MS_PER_S),
    )


def release_from_wire(wire: ttypes.Release, entry: str) -> events.Release:
    """Build a release from the Thrift struct that an entry host sent."""
    return events.Release(
        request=events.RequestKey(entry, wire.request),
        ending=events.Ending(wire.ending),
        first_token=wire.first_token_ms / MS_PER_S,
        prompt_tokens=wire.prompt_tokens,
        cached_tokens=wire.cached_tokens,
        output_tokens=wire.output_tokens,
        decode=wire.decode_ms / MS_PER_S,
    )
