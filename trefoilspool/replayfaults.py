"""The faults that a trace can lay over a replay."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from trefoilspool import events
from trefoilspool.cell import Cell
from trefoilspool.policies import POLICIES
from trefoilspool.trace import FaultEvent

if TYPE_CHECKING:
    from trefoilspool.replay import Replay

__all__ = ['FAULTS']

COLLECT_S = 1.0
ENTRY = 'entry'


def speed(replay: Replay, fault: FaultEvent) -> None:
    """Change an engine's speed."""
    replay.engines[fault.endpoint].speed = fault.amount


def leave(replay: Replay, fault: FaultEvent) -> None:
    """Tell that an engine leaves."""
    replay.usable[fault.endpoint] = False
    replay.feed(replay.seen(fault.endpoint))


def die(replay: Replay, fault: FaultEvent) -> None:
    """Kill an engine; what it ran goes elsewhere within the budget."""
    engine = replay.engines[fault.endpoint]
    engine.alive = False
    lost = [
        live
        for live in list(replay.live.values())
        if live.endpoint == fault.endpoint
    ]
    for live in lost:
        replay.stop(live, 'repeated', events.Ending.broken)
        replay.live.pop(events.RequestKey(ENTRY, live.number))
        live.avoid = (fault.endpoint,)
        once = live.request.victim > events.VictimClass.idempotent
        if once or not replay.budget.spend(live.request.workspace):
            replay.end(live, 'may_have_run')
        else:
            replay.at(replay.now, replay.ask, live)


def new_home(replay: Replay, fault: FaultEvent) -> None:
    """Replace the cell's home: all that it learned is lost."""
    replay.cell = Cell(POLICIES[replay.policy]())
    replay.feed(events.Collect(replay.now + COLLECT_S))
    for name in replay.engines:
        replay.feed(replay.seen(name))
    for live in list(replay.live.values()):
        ask = replay.make_ask(live)
        if live.endpoint:
            replay.feed(events.Held(ask, live.endpoint))
        else:
            replay.feed(ask)


FAULTS: Mapping[str, Callable[..., None]] = {
    'speed': speed,
    'leave': leave,
    'die': die,
    'new_home': new_home,
}
