"""Uses the claims and the scheduling core without the daemon."""

import time
from concurrent.futures import Future, ThreadPoolExecutor

from trefoilspool import (
    Ask,
    Cell,
    ClaimKey,
    ClaimTask,
    Ending,
    EndpointSeen,
    MemoryLog,
    Release,
    RequestKey,
    TaskGroup,
    VictimClass,
    key_hash,
)

PROMPT_TOKENS = 300
OUTPUT_TOKENS = 100
TIMEOUT_S = 30


def claim_twice() -> None:
    """Claim one key two times; the second sees who holds it."""
    calls = ThreadPoolExecutor(2)
    group = TaskGroup()
    claims = ClaimTask(MemoryLog(), 'app', 1, calls)
    group.start(claims)
    while not claims.caught_up:
        time.sleep(0.01)
    for _ in range(2):
        future: Future = Future()
        claims.post(ClaimKey(key_hash('shop', 'order-17'), future))
        print(type(future.result()).__name__)
    group.stop()
    calls.shutdown()


def schedule() -> None:
    """Ask for two permits where there is one place."""
    cell = Cell()
    cell.handle(EndpointSeen('engine', 1, 1, usable=True), 0)
    for number, tier in enumerate((3, 0)):
        ask = Ask(
            RequestKey('app', number),
            'model',
            'shop',
            'stock',
            tier,
            1,
            TIMEOUT_S,
            PROMPT_TOKENS,
            OUTPUT_TOKENS,
            VictimClass.resumable,
        )
        print([type(one).__name__ for one in cell.handle(ask, 0)])
    done = Release(
        RequestKey('app', 0),
        Ending.completed,
        0.1,
        PROMPT_TOKENS,
        0,
        OUTPUT_TOKENS,
        2,
    )
    print([type(one).__name__ for one in cell.handle(done, 2)])


claim_twice()
schedule()
