"""Checks of a ledger that take in the whole run: lost answers, crashes."""

import bisect
import re
from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping

from soakledger import (
    CONTACT_S,
    DEADLINE_S,
    Arrival,
    BadPart,
    Ledger,
    LimitSpan,
    SentRequest,
)

LOSS_SLACK_S = 0.2  # lossSlackMs of the users' pages
ANSWER_SLACK_S = 0.5  # an answer may come so long after its deadline
DECISIVE_CRASHES = 5  # after so many, the part is known
DECISIVE_CRASHES_OF_ONE = 3  # the same for a whole request
LIMIT_WINDOW_S = 4.0
LIMIT_SHARE = 1.5
LIMIT_SPARE = 5
TOLD_SLACK_S = 0.5  # from an answer that names a limit until its host obeys
ALLOWED_BAD_ARRIVALS = 3
MIN_SERVED_RATIO = 0.5
MIN_REQUESTS = 20  # fewer sound requests show nothing
HTTP_OK = 200
NO_RESPONSE = re.compile(rb'no response from ([\w-]+): ')


def all_violations(ledger: Ledger) -> list[str]:
    """Return all violations of a guarantee."""
    return [
        *ledger.check(),
        *check_answers(ledger),
        *check_bad_arrivals(ledger),
        *check_sound_requests(ledger),
        *check_limits(ledger),
    ]


def check_answers(ledger: Ledger) -> Iterator[str]:
    """Check that each request to a sound host ends in an answer."""
    arrived = defaultdict(set)
    for arrival in ledger.arrivals:
        arrived[arrival.request_id].add(arrival.endpoint)
    for sent in ledger.sent.values():
        endpoints = arrived[sent.request_id]
        if sent.is_answered or not (sent.whole_at or endpoints):
            continue
        if not is_excused(ledger, sent, endpoints):
            yield f'LOST: {sent} had no answer from {endpoints or "no endpoint"}'


def is_excused(
    ledger: Ledger, sent: SentRequest, endpoints: Collection[str]
) -> bool:
    """Return whether a request may end without an answer."""
    crossed_close = sent.ended < sent.whole_at + LOSS_SLACK_S
    if not endpoints and (sent.status or crossed_close):
        return True
    out_of_time = (
        sent.started + DEADLINE_S
        <= sent.ended
        <= sent.whole_at + DEADLINE_S + ANSWER_SLACK_S
    )
    if out_of_time or sent.request_id in ledger.broken_off:
        return True
    faults = {'kill_all', f'kill {sent.host}', f'pause {sent.host}', 'reset'}
    for name in endpoints:
        faults |= {f'crash {name}', f'link {name}', f'fails {name}'}
    # It may have been lost on the way to an endpoint, which the answer names.
    for name in NO_RESPONSE.findall(sent.body):
        faults.add(f'link {name.decode()}')
    return not ledger.is_clear(faults, sent.started, sent.ended)


def check_bad_arrivals(ledger: Ledger) -> Iterator[str]:
    """Check that a part is held back once it has crashed endpoints."""
    known_at = decisive_crash(ledger)
    if known_at is None or ledger.bad_part is None:
        return
    decisive = decisive_count(ledger.bad_part)
    if len(ledger.crashes) < decisive:
        return
    late = [
        arrival
        for arrival in ledger.arrivals
        if arrival.time > known_at + CONTACT_S
        and is_bad(ledger, ledger.bad_part, arrival.request_id)
        and is_in_touch(
            ledger, ledger.sent[arrival.request_id].host, arrival.time
        )
    ]
    if len(late) > ALLOWED_BAD_ARRIVALS:
        yield (
            f'BUDGET: {len(late)} requests of the kind that had crashed '
            f'{decisive} endpoints reached endpoints up to '
            f'{late[-1].time - known_at:.1f} s later; '
            f'{len(ledger.crashes)} crashes in all'
        )


def decisive_crash(ledger: Ledger) -> float | None:
    """Return when the decisive crash was, the last one if there are fewer."""
    if ledger.bad_part is None:
        return None
    times = sorted(ledger.crashes)[: decisive_count(ledger.bad_part)]
    return times[-1] if times else None


def decisive_count(bad: BadPart) -> int:
    """Return after how many crashes requests have to stop."""
    return DECISIVE_CRASHES_OF_ONE if bad.path else DECISIVE_CRASHES


def is_bad(ledger: Ledger, bad: BadPart, request_id: str) -> bool:
    """Return whether a request is one that crashes endpoints."""
    sent = ledger.sent.get(request_id)
    return sent is not None and bad.matches(sent.path, sent.parts)


def is_in_touch(ledger: Ledger, host: str, time: float) -> bool:
    """Return whether a host has been without faults for a while."""
    faults = {'kill_all', 'store', 'trim', 'restore', 'reset'}
    own = {f'{fault} {host}' for fault in ('kill', 'term', 'pause', 'store')}
    return ledger.is_clear(faults | own, time, time)


def check_sound_requests(ledger: Ledger) -> Iterator[str]:
    """Check that sound requests are served beside those that crash."""
    known_at = decisive_crash(ledger)
    bad = ledger.bad_part
    if known_at is None or bad is None:
        return
    sound = [
        sent
        for sent in ledger.sent.values()
        if sent.kind == bad.route
        and sent.path.startswith(f'/{bad.route}/')
        and not bad.matches(sent.path, sent.parts)
        and is_in_touch(ledger, sent.host, sent.started)
    ]
    before = [sent for sent in sound if sent.ended < bad.started]
    after = [sent for sent in sound if sent.started > known_at + 2 * CONTACT_S]
    if min(len(before), len(after)) < MIN_REQUESTS:
        return
    if served_share(after) < MIN_SERVED_RATIO * served_share(before):
        yield (
            f'LOST: {served_share(after):.2f} of {len(after)} sound requests '
            f'were served beside a part that crashes endpoints, before it '
            f'{served_share(before):.2f} of {len(before)}'
        )


def check_limits(ledger: Ledger) -> Iterator[str]:
    """Check that endpoints get what they said they take."""
    for span in ledger.limits:
        allowed = span.per_s * LIMIT_WINDOW_S * LIMIT_SHARE + LIMIT_SPARE
        times = counted_arrivals(ledger, span)
        for number, first in enumerate(times):
            end = first + LIMIT_WINDOW_S
            if end < span.started + CONTACT_S:
                continue
            count = bisect.bisect_right(times, end) - number
            if count > allowed:
                yield f'LIMIT: {count} requests in 4 s beside {span}'
                break


def counted_arrivals(ledger: Ledger, span: LimitSpan) -> list[float]:
    """Return when requests came from hosts that knew a limit, in order."""
    told: dict[str, float] = {}
    for naming in ledger.namings:
        sent = ledger.sent.get(naming.request_id)
        if naming.endpoint == span.endpoint and sent and sent.status:
            told[sent.host] = min(told.get(sent.host, sent.ended), sent.ended)
    return sorted(
        arrival.time
        for arrival in ledger.arrivals
        if arrival.endpoint == span.endpoint
        and span.started + TOLD_SLACK_S <= arrival.time < span.ended
        and is_held_to(ledger, told, arrival)
    )


def is_held_to(
    ledger: Ledger, told: Mapping[str, float], arrival: Arrival
) -> bool:
    """Return whether an arrival is from a host that knew of a limit."""
    sent = ledger.sent.get(arrival.request_id)
    if sent is None or sent.host not in told:
        return False
    own = {f'{fault} {sent.host}' for fault in ('kill', 'term', 'pause')}
    excuses = {*own, 'kill_all', 'reset', f'link {arrival.endpoint}'}
    return arrival.time >= told[sent.host] + TOLD_SLACK_S and ledger.is_clear(
        excuses, arrival.time, arrival.time
    )


def served_share(requests: Collection[SentRequest]) -> float:
    """Return the share of requests that were served whole."""
    served = [
        sent for sent in requests if sent.complete and sent.status == HTTP_OK
    ]
    return len(served) / len(requests)


__all__ = ['all_violations', 'check_bad_arrivals', 'check_limits']
