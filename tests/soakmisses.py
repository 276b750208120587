"""Versions that join while hosts stand still or are cut off in the soak."""

import random
import signal
import subprocess
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from soakcallers import RECONNECT_S, StreamCaller
from soakledger import FaultSpan, SentRequest
from soakproxy import Mode
from soakstreams import whole_events
from soakworld import SoakHost, World

# With the start longer than two timeouts of the route, for which a version must
# have been the only one at a host.
WATCHED_S = 8.0
MISS_GAP_S = (0.1, 5)  # a miss takes about 4 s, so that some overlap
MIN_MISS_S = 4.0
JOINING = 3  # endpoints
BURST_CALLERS = 24
TAKE_UP_S = 0.6  # longest time between the wake and a stream taken up
HEAL_S = (1.0, 3.0)
# Events after which a caller ends a connection; those that want all keep it
# until the process of the host is gone.
WANTED_EVENTS = (1, 1, 1, 2, 6)
WAYS = ('both', 'both', 'in', 'out')
STORE_MODES = (Mode.silent, Mode.silent, Mode.one_way, Mode.refused)


class Part(NamedTuple):
    """What a cut host cannot reach: other hosts, the store."""

    hosts: bool
    store: bool


PARTS = (
    Part(hosts=True, store=True),
    Part(hosts=True, store=True),
    Part(hosts=True, store=True),
    Part(hosts=True, store=False),
    Part(hosts=False, store=True),
)


class Shape(NamedTuple):
    """Times at which hosts miss a version, from the begin on.

    ``still`` is whether they stand still, ``join_s`` is when the version
    joins, ``burst_s`` is for how long streams begin at other hosts then, and
    ``cut`` is the key of when the cut begins.
    """

    still: bool
    join_s: tuple[float, float]
    burst_s: tuple[float, float]
    cut: str


SHAPES = (
    Shape(True, (1.5, 2.8), (1.0, 2.0), 'before'),
    Shape(True, (1.5, 2.8), (1.0, 2.0), 'before'),
    Shape(True, (0.5, 2.5), (1.0, 2.0), 'wake'),
    Shape(True, (0.5, 2.5), (1.0, 2.0), 'never'),
    Shape(False, (0, 0.1), (1.0, 1.4), 'begin'),
    Shape(False, (0, 0.1), (1.0, 1.4), 'begin'),
)
# Only the first version that joins in a run finds hosts that know of just one;
# these hosts certainly miss it.
FIRST_SHAPES = (SHAPES[0], SHAPES[-1])
FIRST_WAYS = ('both', 'in')
CUT_AT: dict[str, Callable[[float, float], float]] = {
    'begin': lambda join_s, wake_s: 0,
    'before': lambda join_s, wake_s: join_s * 0.9,
    'wake': lambda join_s, wake_s: wake_s,
    'never': lambda join_s, wake_s: float('inf'),
}


class Miss:
    """Hosts that miss a version, and the callers that come to them."""

    def __init__(
        self, world: World, rng: random.Random, *, is_first: bool
    ) -> None:
        self.world = world
        self.rng = rng
        count = rng.randint(1, len(world.hosts) // 2)
        self.hosts = rng.sample(world.hosts, count)
        self.others = [host for host in world.hosts if host not in self.hosts]
        self.shape = rng.choice(FIRST_SHAPES if is_first else SHAPES)
        self.part = PARTS[0] if is_first else rng.choice(PARTS)
        self.way = rng.choice(FIRST_WAYS if is_first else WAYS)
        self.mode = rng.choice(STORE_MODES)
        self.join_s = rng.uniform(*self.shape.join_s)
        self.wake_s = self.join_s + rng.uniform(*self.shape.burst_s)
        self.heal_s = self.wake_s + rng.uniform(*HEAL_S)
        self.kills = rng.random() < 0.5
        self.stopped: list[subprocess.Popen[bytes]] = []
        self.begun_at = time.monotonic()

    def play(self) -> None:
        """Take all steps in the order of their times."""
        cut_s = CUT_AT[self.shape.cut](self.join_s, self.wake_s)
        steps: list[tuple[float, Callable[[], None]]] = [
            (cut_s, self.cut),
            (self.join_s, self.join),
            (self.wake_s, self.wake),
            (self.heal_s, self.heal),
        ]
        if self.shape.still:
            steps.insert(0, (0, self.stop))
        due = [step for step in steps if step[0] <= self.heal_s]
        for at_s, step in sorted(due, key=lambda timed: timed[0]):
            time.sleep(max(0, self.begun_at + at_s - time.monotonic()))
            step()

    def stop(self) -> None:
        """Let the hosts stand still."""
        self.stopped = [host.process for host in self.hosts]
        for process in self.stopped:
            process.send_signal(signal.SIGSTOP)

    def cut(self) -> None:
        """Cut the hosts off; what they have received already stays."""
        for host in self.hosts:
            if self.part.hosts:
                host.part(self.way)
            if self.part.store:
                host.store.mode = self.mode
                # Else its open connections would go on.
                host.store.reset()

    def join(self) -> None:
        """Let the next version join; callers begin streams elsewhere."""
        version = self.world.next_version()
        for _ in range(JOINING):
            self.world.join(version)
        for number in range(BURST_CALLERS):
            seed = self.rng.getrandbits(32)
            self.world.begin(
                lambda seed=seed, number=number: self.call(
                    f'm{seed}n{number}', seed
                )
            )

    def wake(self) -> None:
        """Wake the hosts; at times a host with streams ends meanwhile."""
        for process in self.stopped:
            process.send_signal(signal.SIGCONT)
        if self.shape.still:
            self.note_all('pause')
        if self.kills:
            killed = self.rng.choice(self.others)
            self.world.begin(lambda: self.kill(killed))

    def kill(self, host: SoakHost) -> None:
        """Kill a host under its streams, and start it again."""
        started = time.monotonic()
        process = host.process
        process.kill()
        host.restart(process)
        self.note(f'kill {host.name}', started)

    def heal(self) -> None:
        """End the cut; note the faults."""
        for host in self.hosts:
            host.rejoin()
            if self.part.store:
                host.store.mode = Mode.clear
        if self.part.store:
            self.note_all('store')
        self.note_all('parted')

    def note_all(self, fault: str) -> None:
        """Note a fault of the hosts that ends now."""
        for host in self.hosts:
            self.note(f'{fault} {host.name}', self.begun_at)

    def note(self, name: str, started: float) -> None:
        self.world.ledger.on_span(FaultSpan(name, started, time.monotonic()))

    def call(self, name: str, seed: int) -> None:
        """Begin streams at other hosts until the wake, take them up after.

        At hosts that do not stand still they are taken up at once.
        """
        caller = StreamCaller(self.world, name, seed)
        wake_at = self.begun_at + self.wake_s
        begun = []
        while time.monotonic() < wake_at:
            host = caller.random.choice(self.others)
            wanted = caller.random.choice(WANTED_EVENTS)
            begun.append(caller.begin(host, wanted))
            if not self.shape.still:
                self.take_up(caller, begun.pop())
        time.sleep(caller.random.uniform(0, TAKE_UP_S))
        # The latest ones first: those may have the new version.
        for sent in reversed(begun):
            self.take_up(caller, sent)

    def take_up(self, caller: StreamCaller, begun: SentRequest) -> None:
        """Take up a stream that was cut at one of the hosts."""
        if not begun.status:
            time.sleep(RECONNECT_S)
        if whole_events(begun) and not begun.complete:
            caller.take_up(caller.random.choice(self.hosts), begun)


def miss_versions(world: World, rng: random.Random, until: float) -> None:
    """Let versions join until a time that hosts miss, which know of one."""
    time.sleep(WATCHED_S)
    threads: list[threading.Thread] = []
    while time.monotonic() < until - MIN_MISS_S:
        own = random.Random(rng.getrandbits(32))
        miss = Miss(world, own, is_first=not threads)
        thread = threading.Thread(target=miss.play, daemon=True)
        thread.start()
        threads.append(thread)
        time.sleep(rng.uniform(*MISS_GAP_S))
    for thread in threads:
        thread.join()


__all__ = ['miss_versions']
