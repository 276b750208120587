"""Conversion between messages of the slot scheduler and datagrams.

Times are sent in milliseconds relative to the time of sending, since hosts
share no clock.
"""

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from trefoilspool import slotmessages
from trefoilspool.departures import EndpointRun
from trefoilspool.peers import HostInfo
from trefoilspool.replica import Position
from trefoilspool.wire import checks, rollouts
from trefoilspool.wire.gen.mesh import ttypes

__all__ = [
    'ask_from_wire',
    'ask_to_wire',
    'decision_from_wire',
    'decision_to_wire',
    'decode',
    'decode_host_info',
    'encode',
    'encode_host_info',
    'endpoint_run_from_wire',
    'endpoint_run_to_wire',
    'held_from_wire',
    'held_to_wire',
    'host_info_from_wire',
    'host_info_to_wire',
    'level_from_wire',
    'load_from_wire',
    'position_from_wire',
    'position_to_wire',
    'slot_release_from_wire',
    'slot_release_to_wire',
]

PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()
MS_PER_S = 1000
MAX_I32 = 2_147_483_647
WAITING, GRANTED, REFUSED = range(3)  # values of ttypes.Verdict.kind
# Reasons that builds before do not know, and what is sent as theirs.
NEWER_REASONS = {
    slotmessages.RefusalReason.quarantined: slotmessages.RefusalReason.crowded,
}
# Endings that builds before do not know, and what is sent as theirs.
NEWER_ENDINGS = {
    slotmessages.AttemptEnding.no_path: slotmessages.AttemptEnding.unused,
    slotmessages.AttemptEnding.path_lost: slotmessages.AttemptEnding.cancelled,
}
DECODE_ERRORS = (TException, EOFError, ValueError, TypeError, OverflowError)


def encode(datagram: ttypes.Datagram) -> bytes:
    """Encode a datagram."""
    body: bytes = serialize(datagram, PROTOCOL_FACTORY)
    return body


def decode(body: bytes) -> ttypes.Datagram | None:
    """Decode a datagram; return None if it is malformed."""
    try:
        datagram: ttypes.Datagram = deserialize(
            ttypes.Datagram(),
            body,
            PROTOCOL_FACTORY,
        )
    except DECODE_ERRORS:
        return None
    return datagram if datagram.sender else None


def host_info_to_wire(host: HostInfo) -> ttypes.HostCard:
    """Build the Thrift struct of host info."""
    return ttypes.HostCard(*host)


def host_info_from_wire(wire: ttypes.HostCard) -> HostInfo:
    """Build host info from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    return HostInfo(
        checks.label(wire.name),
        checks.address(wire.address),
        checks.count(wire.incarnation),
        bool(wire.leaving),
        checks.count(wire.settings_version),
        checks.count(wire.capacity or 0),
    )


def position_to_wire(position: Position) -> ttypes.Position:
    """Build the Thrift struct of a position."""
    return ttypes.Position(position.era, position.offset)


def position_from_wire(wire: ttypes.Position) -> Position:
    """Build a position from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    return Position(checks.count(wire.era), checks.count(wire.offset))


def endpoint_run_to_wire(run: EndpointRun) -> ttypes.EndpointRun:
    """Build the Thrift struct of an endpoint's run."""
    return ttypes.EndpointRun(run.name, run.started_ms)


def endpoint_run_from_wire(wire: ttypes.EndpointRun) -> EndpointRun:
    """Build an endpoint's run from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    return EndpointRun(checks.label(wire.name), checks.count(wire.started_ms))


def encode_host_info(host: HostInfo) -> bytes:
    """Encode host info."""
    return encode(ttypes.Datagram(host_info_to_wire(host)))


def decode_host_info(body: bytes) -> HostInfo | None:
    """Decode host info; return None if it is malformed."""
    datagram = decode(body)
    if datagram is None:
        return None
    return next(checks.readable(host_info_from_wire, [datagram.sender]), None)


def bounded(number: float) -> int:
    """Return a whole number that a field of 32 bits can hold."""
    return int(max(-MAX_I32, min(number, MAX_I32)))


def ms(seconds: float) -> int:
    """Convert seconds to whole milliseconds, within 32 bits."""
    return bounded(seconds * MS_PER_S)


def level_from_wire(wire: ttypes.Level) -> tuple[str, int]:
    """Return the workspace and the tokens of a bucket level.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(wire.workspace, wire.tokens)
    return wire.workspace, wire.tokens


def load_from_wire(wire: ttypes.Load) -> tuple[str, int, bool]:
    """Return an endpoint, its held slots, and whether it is ejected.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(wire.endpoint)
    return wire.endpoint, checks.count(wire.held), bool(wire.ejected)


def ask_to_wire(ask: slotmessages.SlotRequest, now: float) -> ttypes.Ask:
    """Build the Thrift struct of a slot request."""
    return ttypes.Ask(
        request=ask.key.number,
        service_name=ask.service,
        workspace=ask.workspace,
        rank=ask.rank,
        prompt_tokens=bounded(ask.prompt_tokens),
        output_tokens=bounded(ask.output_tokens),
        aim_ms=ms(ask.first_byte_due - now),
        left_ms=ms(ask.deadline - now),
        avoid=list(ask.avoid),
        attempt=ask.attempt,
        parts=list(ask.prompt_prefixes),
        streams=ask.streams,
        charge=bounded(ask.charge),
        data_centre=ask.data_centre,
        waited_ms=ms(now - ask.arrived_at),
        repeatable=ask.repeatable,
        fingerprint=ask.fingerprint or None,
        software=ask.software,
        version_rule=rollouts.rule_to_wire(ask.version_rule)
        if ask.version_rule
        else None,
    )


def ask_from_wire(
    wire: ttypes.Ask,
    entry: str,
    now: float,
) -> slotmessages.SlotRequest:
    """Build a slot request from the Thrift struct of an entry host.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(
        wire.request,
        wire.service_name,
        wire.workspace,
        wire.aim_ms,
        wire.left_ms,
        wire.data_centre,
    )
    checks.counts(
        wire.rank,
        wire.prompt_tokens,
        wire.output_tokens,
        wire.attempt,
        wire.charge,
    )
    return slotmessages.SlotRequest(
        key=slotmessages.SlotKey(entry, wire.request),
        service=wire.service_name,
        workspace=wire.workspace,
        rank=wire.rank,
        prompt_tokens=wire.prompt_tokens,
        output_tokens=wire.output_tokens,
        first_byte_due=now + wire.aim_ms / MS_PER_S,
        deadline=now + wire.left_ms / MS_PER_S,
        arrived_at=now - checks.age_s(wire.waited_ms),
        avoid=tuple(wire.avoid or ()),
        attempt=wire.attempt,
        prompt_prefixes=tuple(wire.parts or ()),
        streams=bool(wire.streams),
        charge=wire.charge,
        data_centre=wire.data_centre,
        repeatable=bool(wire.repeatable),
        fingerprint=wire.fingerprint or '',
        software=wire.software,
        version_rule=rollouts.rule_from_wire(wire.version_rule)
        if wire.version_rule
        else None,
    )


def decision_to_wire(decision: slotmessages.SlotDecision) -> ttypes.Verdict:
    """Build the Thrift struct of a decision."""
    number = decision.key.number
    if isinstance(decision, slotmessages.Granted):
        return ttypes.Verdict(
            number,
            GRANTED,
            decision.endpoint,
            probe=decision.is_probe or None,
            unverified=not decision.is_verified or None,
            started_ms=decision.started_ms,
        )
    if isinstance(decision, slotmessages.Refused):
        return ttypes.Verdict(
            number,
            REFUSED,
            reason=int(NEWER_REASONS.get(decision.reason, decision.reason)),
            retry_after_ms=ms(decision.retry_after),
            quarantined=decision.reason in NEWER_REASONS or None,
        )
    return ttypes.Verdict(number, WAITING)


def decision_from_wire(
    wire: ttypes.Verdict,
    entry: str,
) -> slotmessages.SlotDecision:
    """Build a decision for an entry host from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(wire.request)
    key = slotmessages.SlotKey(entry, wire.request)
    if wire.kind == GRANTED:
        return slotmessages.Granted(
            key,
            checks.label(wire.endpoint),
            bool(wire.probe),
            not wire.unverified,
            None if wire.started_ms is None else checks.count(wire.started_ms),
        )
    if wire.kind == REFUSED:
        return slotmessages.Refused(
            key,
            slotmessages.RefusalReason.quarantined
            if wire.quarantined
            else checks.member(slotmessages.RefusalReason, wire.reason),
            max(0, checks.given(wire.retry_after_ms)) / MS_PER_S,
        )
    return slotmessages.Queued(key)


def slot_release_to_wire(release: slotmessages.SlotRelease) -> ttypes.End:
    """Build the Thrift struct of a release."""
    return ttypes.End(
        release.key.number,
        int(NEWER_ENDINGS.get(release.ending, release.ending)),
        release.endpoint,
        ms(release.first_s),
        release.events,
        ms(release.decode_s),
        bounded(release.prompt_tokens),
        release.is_down or None,
    )


def slot_release_from_wire(
    wire: ttypes.End, entry: str
) -> slotmessages.SlotRelease:
    """Build a release from the Thrift struct of an entry host.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(wire.request, wire.endpoint)
    checks.counts(
        wire.first_ms, wire.events, wire.decode_ms, wire.prompt_tokens
    )
    return slotmessages.SlotRelease(
        slotmessages.SlotKey(entry, wire.request),
        checks.member(slotmessages.AttemptEnding, wire.ending),
        wire.endpoint,
        wire.first_ms / MS_PER_S,
        wire.events,
        wire.decode_ms / MS_PER_S,
        wire.prompt_tokens,
        bool(wire.down),
    )


def held_to_wire(held: slotmessages.HeldSlot) -> ttypes.Holding:
    """Build the Thrift struct of a held slot."""
    return ttypes.Holding(
        held.key.number,
        held.service,
        held.endpoint,
        bounded(held.prompt_tokens),
        bounded(held.output_tokens),
        ms(held.age_s),
        ms(held.streaming_s) or None,
    )


def held_from_wire(wire: ttypes.Holding, entry: str) -> slotmessages.HeldSlot:
    """Build a held slot from the Thrift struct of an entry host.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(wire.request, wire.service_name, wire.endpoint)
    checks.counts(wire.prompt_tokens, wire.output_tokens)
    return slotmessages.HeldSlot(
        slotmessages.SlotKey(entry, wire.request),
        wire.service_name,
        wire.endpoint,
        wire.prompt_tokens,
        wire.output_tokens,
        checks.age_s(wire.age_ms),
        checks.age_s(wire.streaming_ms or 0),
    )
