"""Use idempotency claims and the scheduling core without the daemon."""

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
    """Claim a key twice; the second claim fails and names the holder."""
    executor = ThreadPoolExecutor(2)
    tasks = TaskGroup()
    claims = ClaimTask(MemoryLog(), 'app', 1, executor)
    tasks.start(claims)
    while not claims.caught_up:
        time.sleep(0.01)
    for _ in range(2):
        future: Future = Future()
        claims.post(ClaimKey(key_hash('shop', 'order-17'), future))
        print(type(future.result()).__name__)
    tasks.stop()
    executor.shutdown()


def schedule() -> None:
    """Ask for two permits at an endpoint with one slot."""
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
        print([type(decision).__name__ for decision in cell.handle(ask, 0)])
    release = Release(
        RequestKey('app', 0),
        Ending.completed,
        0.1,
        PROMPT_TOKENS,
        0,
        OUTPUT_TOKENS,
        2,
    )
    print([type(decision).__name__ for decision in cell.handle(release, 2)])


claim_twice()
schedule()
