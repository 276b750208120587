"""Faults that a trace injects into a replay."""

from collections.abc import Callable, Mapping

from trefoilspool import events
from trefoilspool.cell import Cell
from trefoilspool.policies import POLICIES
from trefoilspool.replay import Replay
from trefoilspool.trace import FaultEvent

__all__ = ['FAULT_HANDLERS']

COLLECT_WINDOW_S = 1.0  # time in which a new home host grants nothing
ENTRY_HOST = 'entry'


def set_speed(replay: Replay, fault: FaultEvent) -> None:
    """Set the factor on an engine's speed."""
    replay.engines[fault.endpoint].speed = fault.amount


def mark_leaving(replay: Replay, fault: FaultEvent) -> None:
    """Report an engine as not usable for new requests."""
    replay.usable[fault.endpoint] = False
    replay.feed(replay.endpoint_seen(fault.endpoint))


def crash(replay: Replay, fault: FaultEvent) -> None:
    """Crash an engine.

    Its requests are retried within the retry budget if they may run twice,
    and otherwise end as ``may_have_run``.
    """
    engine = replay.engines[fault.endpoint]
    engine.alive = False
    lost = [
        live
        for live in list(replay.live.values())
        if live.endpoint == fault.endpoint
    ]
    for live in lost:
        replay.cancel_attempt(live, 'repeated', events.Ending.broken)
        replay.live.pop(events.RequestKey(ENTRY_HOST, live.number))
        live.avoid = (fault.endpoint,)
        at_most_once = live.request.victim > events.VictimClass.idempotent
        if at_most_once or not replay.retry_budget.spend(
            live.request.workspace
        ):
            replay.record_outcome(live, 'may_have_run')
        else:
            replay.clock.schedule(replay.clock.now, replay.ask, live)


def replace_home(replay: Replay, fault: FaultEvent) -> None:
    """Replace the cell's home host, whose learned state is lost."""
    replay.cell = Cell(POLICIES[replay.policy]())
    replay.feed(events.Collect(replay.clock.now + COLLECT_WINDOW_S))
    for name in replay.engines:
        replay.feed(replay.endpoint_seen(name))
    for live in list(replay.live.values()):
        ask = replay.make_ask(live)
        if live.endpoint:
            replay.feed(events.Held(ask, live.endpoint))
        else:
            replay.feed(ask)


FAULT_HANDLERS: Mapping[str, Callable[..., None]] = {
    'speed': set_speed,
    'leave': mark_leaving,
    'die': crash,
    'new_home': replace_home,
}
