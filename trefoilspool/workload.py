"""Workloads of the two deployments, made from a seed."""

import random
from collections.abc import Mapping
from typing import NamedTuple

from trefoilspool.events import VictimClass
from trefoilspool.trace import (
    EngineSpec,
    FaultEvent,
    RequestEvent,
    Trace,
    make_header,
)

__all__ = [
    'CABRERA',
    'LAAGRIVARAV',
    'SCENARIOS',
    'Scenario',
    'make_engines',
    'make_trace',
    'peak_rate',
]

BATCH_COST = 0.012
SLOTS = 16
LENGTH_SPREAD = 0.45  # sigma of the log-normal lengths
PREFIX_POOL = 5  # shared prefixes of a workspace and kind
ROUND = 6  # decimals of times


class KindMix(NamedTuple):
    """A kind of request and its share of the arrivals."""

    kind: str
    tier: int
    share: float
    prompt: int
    output: int
    timeout_s: float
    victim: VictimClass
    prefix: int
    interactive: bool


class Mix(NamedTuple):
    """A deployment's engines, workspaces and kinds."""

    generations: tuple[int, ...]
    workspaces: Mapping[str, int]
    kinds: tuple[KindMix, ...]


class Scenario(NamedTuple):
    """A trace to make.

    Attributes
    ----------
    load : float
        Mean work offered, as a share of capacity.
    burst : tuple of float
        Start, end and load of a burst.
    """

    mix: Mix
    seconds: float
    load: float
    burst: tuple[float, float, float]
    faults: tuple[FaultEvent, ...]
    storm: int


RESUMABLE = VictimClass.resumable
CABRERA = Mix(
    (1, 1, 2, 2, 3, 3, 4, 4),
    {'montevideo': 4, 'interior': 3, 'border': 2, 'shops': 4, 'office': 1},
    (
        KindMix('proposal', 0, 0.1, 1200, 600, 45, RESUMABLE, 512, True),
        KindMix('stock', 1, 0.45, 300, 120, 20, RESUMABLE, 256, True),
        KindMix('tag', 3, 0.45, 100, 6, 30, VictimClass.once_model, 64, False),
    ),
)
LAAGRIVARAV = Mix(
    (1, 2, 2, 3, 4, 4),
    {'parents': 4, 'directors': 2, 'support': 2, 'north': 1, 'south': 1},
    (
        KindMix('chat', 0, 0.5, 500, 150, 20, RESUMABLE, 256, True),
        KindMix('form_check', 1, 0.35, 200, 10, 15, RESUMABLE, 128, False),
        KindMix('summary', 3, 0.15, 6000, 900, 180, RESUMABLE, 1024, False),
    ),
)
GENERATIONS = {
    1: (0.034, 3000.0),
    2: (0.026, 5000.0),
    3: (0.018, 8000.0),
    4: (0.012, 15_000.0),
}
CACHE_TOKENS = 60_000
NO_BURST = (0.0, 0.0, 0.0)
SECONDS = 60.0


def straggler(name: str, start: float, end: float) -> tuple[FaultEvent, ...]:
    """Return the faults of an engine at a tenth of its speed."""
    return (
        FaultEvent(start, 'speed', name, 0.1),
        FaultEvent(end, 'speed', name, 1.0),
    )


SCENARIOS: Mapping[str, Scenario] = {
    'cabrera-day': Scenario(CABRERA, SECONDS, 0.6, NO_BURST, (), 0),
    'cabrera-burst': Scenario(
        CABRERA,
        SECONDS,
        0.5,
        (15.0, 35.0, 5.0),
        (),
        0,
    ),
    'cabrera-straggler': Scenario(
        CABRERA,
        SECONDS,
        0.5,
        NO_BURST,
        straggler('e7', 15.0, 35.0),
        0,
    ),
    'cabrera-death': Scenario(
        CABRERA,
        SECONDS,
        0.6,
        NO_BURST,
        (FaultEvent(20.0, 'die', 'e6', 0), FaultEvent(30.0, 'leave', 'e1', 0)),
        0,
    ),
    'cabrera-home': Scenario(
        CABRERA,
        SECONDS,
        1.2,
        NO_BURST,
        (FaultEvent(20.0, 'new_home', '', 0),),
        0,
    ),
    'cabrera-twice': Scenario(CABRERA, SECONDS, 2.0, NO_BURST, (), 0),
    'laagrivarav-rush': Scenario(LAAGRIVARAV, SECONDS, 2.0, NO_BURST, (), 0),
    'laagrivarav-storm': Scenario(
        LAAGRIVARAV,
        SECONDS,
        0.7,
        (15.0, 30.0, 5.0),
        (),
        3,
    ),
}


def make_engines(mix: Mix) -> tuple[EngineSpec, ...]:
    """Return the engines of a mix."""
    return tuple(
        EngineSpec(
            f'e{number}',
            generation,
            *GENERATIONS[generation][:1],
            BATCH_COST,
            GENERATIONS[generation][1],
            SLOTS,
            CACHE_TOKENS,
        )
        for number, generation in enumerate(mix.generations)
    )


def peak_rate(engine: EngineSpec) -> float:
    """Return an engine's tokens a second with a full batch."""
    step = engine.gap_s * (1 + engine.batch_cost * (engine.slots - 1))
    return engine.slots / step


def mean_work(mix: Mix, engines: tuple[EngineSpec, ...]) -> float:
    """Return the mean engine-seconds of a request."""
    rate = sum(map(peak_rate, engines)) / len(engines)
    prefill = sum(one.prefill_rate for one in engines) / len(engines)
    return sum(
        kind.share * (kind.output / rate + kind.prompt / prefill)
        for kind in mix.kinds
    )


def make_trace(name: str, seed: int) -> Trace:
    """Return a scenario's trace; the same seed gives the same trace."""
    scenario = SCENARIOS[name]
    chooser = random.Random(seed)
    engines = make_engines(scenario.mix)
    capacity = len(engines) / mean_work(scenario.mix, engines)
    requests: list[RequestEvent] = []
    at = 0.0
    while True:
        at += chooser.expovariate(load_at(scenario, at) * capacity)
        if at >= scenario.seconds:
            break
        requests.append(make_request(chooser, scenario.mix, at, len(requests)))
    header = make_header(name, seed, engines, scenario.storm)
    return Trace(header, engines, tuple(requests), scenario.faults)


def load_at(scenario: Scenario, at: float) -> float:
    """Return the load offered at a time."""
    start, end, load = scenario.burst
    return load if start <= at < end else scenario.load


def make_request(
    chooser: random.Random,
    mix: Mix,
    at: float,
    number: int,
) -> RequestEvent:
    """Return one request."""
    kind = chooser.choices(mix.kinds, [one.share for one in mix.kinds])[0]
    names = list(mix.workspaces)
    workspace = chooser.choices(names, list(mix.workspaces.values()))[0]
    spread = chooser.lognormvariate(0, LENGTH_SPREAD)
    prompt = max(8, round(kind.prompt * spread))
    allowed = kind.output * 3
    output = round(kind.output * chooser.lognormvariate(0, LENGTH_SPREAD))
    return RequestEvent(
        round(at, ROUND),
        number,
        workspace,
        kind.kind,
        kind.tier,
        mix.workspaces[workspace],
        kind.timeout_s,
        prompt,
        min(allowed, max(1, output)),
        allowed,
        int(kind.victim),
        f'{workspace}/{kind.kind}/{chooser.randrange(PREFIX_POOL)}',
        min(kind.prefix, prompt),
        kind.interactive,
    )
