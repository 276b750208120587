"""The log events of the slot scheduler's decisions."""

from trefoilspool.endpointload import EndpointLoad
from trefoilspool.queueing.waitprediction import WaitPredictor
from trefoilspool.reliability import ReliabilityState
from trefoilspool.slotmessages import (
    DecisionEvent,
    RefusalReason,
    SlotRelease,
    SlotRequest,
)

__all__ = ['judged_event', 'pace_event', 'refusal_event']


def refusal_event(
    ask: SlotRequest, reason: RefusalReason, waits: WaitPredictor, now: float
) -> DecisionEvent:
    """Return the event of a refusal, with what the wait was predicted from.

    Parameters
    ----------
    ask : SlotRequest
        The refused request.
    reason : RefusalReason
        Why it was refused.
    waits : WaitPredictor
        The state of its service.
    now : float
        The present time in seconds.
    """
    bucket = waits.rate_limits.buckets.get(ask.workspace)
    ahead = waits.ahead(ask, now)
    return DecisionEvent(
        'place_refused',
        {
            'entry': ask.key.entry,
            'number': ask.key.number,
            'reason': reason.name,
            'service': ask.service,
            'rank': ask.rank,
            'size': waits.waiting.order.size(ask),
            'ahead': ahead,
            'places_a_s': round(waits.grants_per_s(ask, now), 1),
            'waited_s': round(now - ask.arrived_at, 3),
            'workspace': ask.workspace,
            'limit_level': bucket and int(bucket.level),
            'endpoints': len(waits.pool.of_service(ask.service)),
            'limit_wait_s': round(waits.pool.limit_wait_s(ask, ahead, now), 3),
        },
    )


def pace_event(endpoint: EndpointLoad) -> DecisionEvent:
    """Return the event of an endpoint whose pace is being found, or is found.

    Parameters
    ----------
    endpoint : EndpointLoad
        The endpoint.
    """
    return DecisionEvent(
        'endpoint_pace',
        {
            'endpoint': endpoint.name,
            'finding': endpoint.pace.is_finding,
            'pace': endpoint.pace.limit,
            'held': len(endpoint.reservations),
        },
    )


def judged_event(
    endpoint: EndpointLoad,
    before: ReliabilityState,
    release: SlotRelease,
    now: float,
) -> DecisionEvent:
    """Return the event of a change of an endpoint's state.

    Parameters
    ----------
    endpoint : EndpointLoad
        The endpoint, with its new state.
    before : ReliabilityState
        Its state before.
    release : SlotRelease
        The end of the attempt that has changed it.
    now : float
        The present time in seconds.
    """
    return DecisionEvent(
        'endpoint_judged',
        {
            'endpoint': endpoint.spec.name,
            'entry': release.key.entry,
            'before': before.name,
            'after': endpoint.reliability.state.name,
            'ending': release.ending.name,
            'failure_share': round(endpoint.reliability.failure_share(now), 3),
        },
    )
