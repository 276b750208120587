"""Conversion between datagrams of the mesh and the core's messages.

Times travel as milliseconds that are left, since hosts share no clock.
"""

from collections.abc import Iterable

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from trefoilspool import slotmessages
from trefoilspool.peers import Card
from trefoilspool.wire.gen.mesh import ttypes

__all__ = [
    'ask_from_wire',
    'ask_to_wire',
    'card_from_wire',
    'card_to_wire',
    'decode',
    'decode_card',
    'encode',
    'encode_card',
    'ended_from_wire',
    'ended_to_wire',
    'held_from_wire',
    'held_to_wire',
    'verdict_from_wire',
    'verdict_to_wire',
]

FACTORY = TCompactProtocolAcceleratedFactory()
MS_PER_S = 1000
WAITING, GRANTED, REFUSED = range(3)
UNREADABLE = (TException, EOFError, ValueError, TypeError)


def encode(datagram: ttypes.Datagram) -> bytes:
    """Return a datagram's bytes."""
    body: bytes = serialize(datagram, FACTORY)
    return body


def decode(body: bytes) -> ttypes.Datagram | None:
    """Return the datagram of its bytes, None if it cannot be read."""
    try:
        datagram: ttypes.Datagram = deserialize(
            ttypes.Datagram(),
            body,
            FACTORY,
        )
    except UNREADABLE:
        return None
    return datagram if datagram.sender else None


def card_to_wire(card: Card) -> ttypes.HostCard:
    """Return the wire form of a card."""
    return ttypes.HostCard(*card)


def card_from_wire(wire: ttypes.HostCard) -> Card:
    """Return the card of its wire form."""
    return Card(
        wire.name,
        wire.address,
        wire.incarnation,
        bool(wire.leaving),
        wire.settings_version,
        wire.settings_end,
        wire.endpoints_end,
        wire.capacity or 0,
    )


def encode_card(card: Card) -> bytes:
    """Return a card's bytes."""
    return encode(ttypes.Datagram(card_to_wire(card)))


def decode_card(body: bytes) -> Card | None:
    """Return the card of its bytes, None if it cannot be read."""
    datagram = decode(body)
    return card_from_wire(datagram.sender) if datagram else None


def ms(seconds: float) -> int:
    """Return whole milliseconds."""
    return int(seconds * MS_PER_S)


def ask_to_wire(ask: slotmessages.PlaceAsk, now: float) -> ttypes.Ask:
    """Return the wire form of an ask."""
    return ttypes.Ask(
        request=ask.key.number,
        service_name=ask.service,
        workspace=ask.workspace,
        rank=ask.rank,
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        aim_ms=ms(ask.aim - now),
        left_ms=ms(ask.deadline - now),
        avoid=list(ask.avoid),
        attempt=ask.attempt,
        parts=list(ask.parts),
        streams=ask.streams,
        charge=ask.charge,
        data_centre=ask.data_centre,
        waited_ms=ms(now - ask.asked),
        repeatable=ask.repeatable,
    )


def ask_from_wire(
    wire: ttypes.Ask,
    entry: str,
    now: float,
) -> slotmessages.PlaceAsk:
    """Return the ask of an entry host's wire form."""
    return slotmessages.PlaceAsk(
        key=slotmessages.PlaceKey(entry, wire.request),
        service=wire.service_name,
        workspace=wire.workspace,
        rank=wire.rank,
        prompt_tokens=wire.prompt_tokens,
        output_tokens=wire.output_tokens,
        aim=now + wire.aim_ms / MS_PER_S,
        deadline=now + wire.left_ms / MS_PER_S,
        asked=now - wire.waited_ms / MS_PER_S,
        avoid=tuple(wire.avoid or ()),
        attempt=wire.attempt,
        parts=tuple(wire.parts or ()),
        streams=bool(wire.streams),
        charge=wire.charge,
        data_centre=wire.data_centre,
        repeatable=bool(wire.repeatable),
    )


def verdict_to_wire(verdict: slotmessages.Verdict) -> ttypes.Verdict:
    """Return the wire form of a verdict."""
    number = verdict.key.number
    if isinstance(verdict, slotmessages.Granted):
        return ttypes.Verdict(number, GRANTED, verdict.endpoint)
    if isinstance(verdict, slotmessages.Refused):
        return ttypes.Verdict(
            number,
            REFUSED,
            reason=int(verdict.reason),
            retry_after_ms=ms(verdict.retry_after),
        )
    return ttypes.Verdict(number, WAITING)


def verdict_from_wire(
    wire: ttypes.Verdict,
    entry: str,
) -> slotmessages.Verdict:
    """Return the verdict of its wire form."""
    key = slotmessages.PlaceKey(entry, wire.request)
    if wire.kind == GRANTED:
        return slotmessages.Granted(key, wire.endpoint)
    if wire.kind == REFUSED:
        return slotmessages.Refused(
            key,
            slotmessages.RefusalReason(wire.reason),
            wire.retry_after_ms / MS_PER_S,
        )
    return slotmessages.Queued(key)


def ended_to_wire(ended: slotmessages.Ended) -> ttypes.End:
    """Return the wire form of an end."""
    return ttypes.End(
        ended.key.number,
        int(ended.ending),
        ended.endpoint,
        ms(ended.first_s),
        ended.events,
        ms(ended.decode_s),
        ended.prompt_tokens,
    )


def ended_from_wire(wire: ttypes.End, entry: str) -> slotmessages.Ended:
    """Return the end of its wire form."""
    return slotmessages.Ended(
        slotmessages.PlaceKey(entry, wire.request),
        slotmessages.SendEnding(wire.ending),
        wire.endpoint,
        wire.first_ms / MS_PER_S,
        wire.events,
        wire.decode_ms / MS_PER_S,
        wire.prompt_tokens,
    )


def held_to_wire(held: slotmessages.Held) -> ttypes.Holding:
    """Return the wire form of a held place."""
    return ttypes.Holding(
        held.key.number,
        held.service,
        held.endpoint,
        held.prompt_tokens,
        held.output_tokens,
        ms(held.age_s),
    )


def held_from_wire(
    roll: Iterable[ttypes.Holding],
    entry: str,
) -> list[slotmessages.Held]:
    """Return the held places of their wire form."""
    return [
        slotmessages.Held(
            slotmessages.PlaceKey(entry, wire.request),
            wire.service_name,
            wire.endpoint,
            wire.prompt_tokens,
            wire.output_tokens,
            wire.age_ms / MS_PER_S,
        )
        for wire in roll
    ]
