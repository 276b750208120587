"""Roll-outs and crowds of callers in the soak, and what must hold of them."""

import json
import random
import socket
import time
from collections.abc import Iterator

from soakworld import World

KEY = 'rollout/engines'
DURATIONS_S = (2, 4, 8)
CROWD = 40
CROWD_S = (0.2, 1.0)
FINAL_STATES = ('completed', 'reverted')
CROWD_HEAD = (
    b'POST /look/crowd HTTP/1.1\r\nHost: shop.example\r\n'
    b'Content-Length: 100000\r\n\r\n'
)


def order_rollout(world: World, rng: random.Random) -> str:
    """Order a roll-out of a version that endpoints have, or of none."""
    order = {
        'backend': 'engines',
        'target': rng.choice(('v1', 'v2', 'v3')),
        'durationS': rng.choice(DURATIONS_S),
    }
    world.store.put('keyed.op', KEY, order)
    return 'rollout'


def crowd(world: World, rng: random.Random) -> str:
    """Open connections to a host that send part of a request, and rest."""
    host = rng.choice(world.hosts)
    address, _, port = host.listen.rpartition(':')
    sent = rng.choice((b'', CROWD_HEAD[:30], CROWD_HEAD + b'x' * 50_000))
    sockets = []
    for _ in range(CROWD):
        try:
            opened = socket.create_connection((address, int(port)), 0.5)
            sockets.append(opened)
            opened.sendall(sent)
        except OSError:
            break
    time.sleep(rng.uniform(*CROWD_S))
    for opened in sockets:
        opened.close()
    return 'crowd'


def check_rollouts(world: World) -> Iterator[str]:
    """Check that the final state of an order stands, and orders their order.

    Nothing is checked of a store that has lost what was written.
    """
    if world.store.era:
        return
    final: dict[int, str] = {}
    latest = -1
    for key, content in world.store.topic('keyed.status').records:
        if key != KEY:
            continue
        status = json.loads(content)
        offset, state = status['orderOffset'], status['state']
        if final.get(offset, state) != state:
            yield f'ROLLOUT: order {offset} was {final[offset]}, then {state}'
        if offset < latest:
            yield f'ROLLOUT: a status of order {offset} after one of {latest}'
        latest = max(latest, offset)
        if state in FINAL_STATES:
            final[offset] = state
