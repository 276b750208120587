"""Checks of streams that callers take up: one version, and most go on."""

import re
from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple, Protocol

from soakledger import CONTACT_S, VERSIONS, Ledger, SentRequest, stream_event

HTTP_OK = 200
EVENT_END = b'\n\n'
VERSION_OF_EVENT = re.compile(rb'@(\w+)$')
MIN_TAKEN_UP = 12  # fewer show no share
MIN_SHARE = 0.5  # of the share of new streams that begin
MIN_ENDPOINTS = 2  # of the version, which serve all the while


class VersionedEndpoint(Protocol):
    """An endpoint with its version, and from when to when it served."""

    version: str
    started_at: float
    ended_at: float


class StreamShares(NamedTuple):
    """Streams that were to begin or go on, and how many did."""

    new: int
    begun: int
    taken_up: int
    going_on: int


def check_streams(
    ledger: Ledger, endpoints: list[VersionedEndpoint]
) -> Iterator[str]:
    """Check the events of each stream over all attempts, and the shares."""
    for attempts in streams(ledger).values():
        yield from check_events(attempts)
    shares = stream_shares(ledger, endpoints)
    if shares.taken_up < MIN_TAKEN_UP or not shares.new:
        return
    wanted = MIN_SHARE * shares.begun / shares.new
    if shares.going_on < wanted * shares.taken_up:
        yield f'LOST: {shares}'


def streams(ledger: Ledger) -> dict[str, list[SentRequest]]:
    """Return the attempts of each stream, by the one that began it."""
    by_stream = defaultdict(list)
    for sent in ledger.sent.values():
        if sent.kind == 'chat':
            by_stream[sent.stream].append(sent)
    return by_stream


def whole_events(sent: SentRequest) -> list[bytes]:
    """Return the whole events that an attempt brought."""
    if sent.status != HTTP_OK:
        return []
    return [event + EVENT_END for event in sent.body.split(EVENT_END)[:-1]]


def versions_of(attempts: list[SentRequest]) -> set[str]:
    """Return the versions of all events of a stream."""
    found = (
        VERSION_OF_EVENT.search(event.strip())
        for sent in attempts
        for event in whole_events(sent)
    )
    return {match.group(1).decode() for match in found if match}


def check_events(attempts: list[SentRequest]) -> Iterator[str]:
    """Check that a stream's events are of one version and in order."""
    versions = versions_of(attempts)
    if len(versions) > 1:
        yield f'ORDER: events of {sorted(versions)} in {attempts}'
    for sent in attempts:
        expected = [
            [
                stream_event(sent.stream, version, sent.first_event + number)
                for version in VERSIONS
            ]
            for number in range(len(whole_events(sent)))
        ]
        pairs = zip(whole_events(sent), expected, strict=True)
        if not all(event in allowed for event, allowed in pairs):
            yield f'ORDER: {sent} has events missing or twice'


def stream_shares(
    ledger: Ledger, endpoints: list[VersionedEndpoint]
) -> StreamShares:
    """Count streams at hosts in touch, while their version serves."""
    attempts = [
        (sent, versions_of(tries))
        for tries in streams(ledger).values()
        for sent in tries
        if is_in_touch(ledger, sent)
    ]
    new = [sent for sent, _ in attempts if not sent.first_event]
    taken_up = [
        sent
        for sent, versions in attempts
        if sent.first_event and is_served(sent, versions, endpoints)
    ]
    return StreamShares(
        len(new),
        sum(map(bool, map(whole_events, new))),
        len(taken_up),
        sum(map(bool, map(whole_events, taken_up))),
    )


def is_in_touch(ledger: Ledger, sent: SentRequest) -> bool:
    """Return whether a request was sent whole to a host without a fault."""
    own = {
        f'{fault} {sent.host}' for fault in ('kill', 'term', 'pause', 'parted')
    }
    excuses = {*own, 'kill_all', 'reset', f'link {sent.host}'}
    return bool(sent.whole_at) and ledger.is_clear(
        excuses, sent.started, sent.ended
    )


def is_served(
    sent: SentRequest, versions: set[str], endpoints: list[VersionedEndpoint]
) -> bool:
    """Return whether two endpoints of a stream's version serve."""
    serving = [
        endpoint
        for endpoint in endpoints
        if endpoint.version in versions
        and endpoint.started_at < sent.started - CONTACT_S
        and endpoint.ended_at > sent.ended
    ]
    return len(serving) >= MIN_ENDPOINTS


__all__ = ['StreamShares', 'check_streams', 'stream_shares']
