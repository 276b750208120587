"""Synthetic workloads of the two deployments, generated from a seed."""

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

BATCH_COST = 0.012  # share of the token gap that each further stream adds
SLOTS_PER_ENGINE = 16
LENGTH_SIGMA = 0.45  # of the log-normal factor on prompt and output lengths
PREFIXES_PER_KIND = 5  # shared prefixes of a kind in a workspace
TIME_DECIMALS = 6


class KindProfile(NamedTuple):
    """A kind of request, its share of the arrivals and its median lengths."""

    kind: str
    tier: int
    share: float
    prompt_tokens: int
    output_tokens: int
    timeout_s: float
    victim: VictimClass
    prefix_tokens: int
    interactive: bool


class Deployment(NamedTuple):
    """Engines, workspaces and kinds of a deployment.

    Attributes
    ----------
    generations : tuple of int
        Hardware generation of each engine, a key of ``GENERATION_SPEEDS``.
    workspaces : mapping of str to int
        Weight of each workspace, which is also its relative share of the
        arrivals.
    kinds : tuple of KindProfile
        Kinds of requests; their shares add up to 1.
    """

    generations: tuple[int, ...]
    workspaces: Mapping[str, int]
    kinds: tuple[KindProfile, ...]


class Scenario(NamedTuple):
    """Parameters of a generated trace.

    Attributes
    ----------
    duration_s : float
        Seconds in which requests arrive.
    load : float
        Mean work offered, as a share of capacity.
    burst : tuple of float
        Start and end of a burst in seconds, and the load during it.
    storm : int
        How often a refused caller asks again.
    """

    deployment: Deployment
    duration_s: float
    load: float
    burst: tuple[float, float, float]
    faults: tuple[FaultEvent, ...]
    storm: int


RESUMABLE = VictimClass.resumable
CABRERA = Deployment(
    (1, 1, 2, 2, 3, 3, 4, 4),
    {'montevideo': 4, 'interior': 3, 'border': 2, 'shops': 4, 'office': 1},
    (
        KindProfile('proposal', 0, 0.1, 1200, 600, 45, RESUMABLE, 512, True),
        KindProfile('stock', 1, 0.45, 300, 120, 20, RESUMABLE, 256, True),
        KindProfile(
            'tag', 3, 0.45, 100, 6, 30, VictimClass.once_model, 64, False
        ),
    ),
)
LAAGRIVARAV = Deployment(
    (1, 2, 2, 3, 4, 4),
    {'parents': 4, 'directors': 2, 'support': 2, 'north': 1, 'south': 1},
    (
        KindProfile('chat', 0, 0.5, 500, 150, 20, RESUMABLE, 256, True),
        KindProfile('form_check', 1, 0.35, 200, 10, 15, RESUMABLE, 128, False),
        KindProfile('summary', 3, 0.15, 6000, 900, 180, RESUMABLE, 1024, False),
    ),
)
# By hardware generation: seconds between tokens, prompt tokens a second.
GENERATION_SPEEDS = {
    1: (0.034, 3000.0),
    2: (0.026, 5000.0),
    3: (0.018, 8000.0),
    4: (0.012, 15_000.0),
}
ENGINE_CACHE_TOKENS = 60_000
NO_BURST = (0.0, 0.0, 0.0)
DURATION_S = 60.0


def straggler_faults(
    name: str,
    start: float,
    end: float,
) -> tuple[FaultEvent, ...]:
    """Return the faults that slow an engine to a tenth and restore it."""
    return (
        FaultEvent(start, 'speed', name, 0.1),
        FaultEvent(end, 'speed', name, 1.0),
    )


SCENARIOS: Mapping[str, Scenario] = {
    'cabrera-day': Scenario(CABRERA, DURATION_S, 0.6, NO_BURST, (), 0),
    'cabrera-burst': Scenario(
        CABRERA,
        DURATION_S,
        0.5,
        (15.0, 35.0, 5.0),
        (),
        0,
    ),
    'cabrera-straggler': Scenario(
        CABRERA,
        DURATION_S,
        0.5,
        NO_BURST,
        straggler_faults('e7', 15.0, 35.0),
        0,
    ),
    'cabrera-death': Scenario(
        CABRERA,
        DURATION_S,
        0.6,
        NO_BURST,
        (FaultEvent(20.0, 'die', 'e6', 0), FaultEvent(30.0, 'leave', 'e1', 0)),
        0,
    ),
    'cabrera-home': Scenario(
        CABRERA,
        DURATION_S,
        1.2,
        NO_BURST,
        (FaultEvent(20.0, 'new_home', '', 0),),
        0,
    ),
    'cabrera-twice': Scenario(CABRERA, DURATION_S, 2.0, NO_BURST, (), 0),
    'laagrivarav-rush': Scenario(LAAGRIVARAV, DURATION_S, 2.0, NO_BURST, (), 0),
    'laagrivarav-storm': Scenario(
        LAAGRIVARAV,
        DURATION_S,
        0.7,
        (15.0, 30.0, 5.0),
        (),
        3,
    ),
}


def make_engines(deployment: Deployment) -> tuple[EngineSpec, ...]:
    """Return the engines of a deployment, named ``e0``, ``e1`` and so on."""
    return tuple(
        EngineSpec(
            f'e{number}',
            generation,
            *GENERATION_SPEEDS[generation][:1],
            BATCH_COST,
            GENERATION_SPEEDS[generation][1],
            SLOTS_PER_ENGINE,
            ENGINE_CACHE_TOKENS,
        )
        for number, generation in enumerate(deployment.generations)
    )


def peak_rate(engine: EngineSpec) -> float:
    """Return an engine's output tokens a second with a full batch."""
    step_s = engine.gap_s * (1 + engine.batch_cost * (engine.slots - 1))
    return engine.slots / step_s


def mean_engine_s(
    deployment: Deployment, engines: tuple[EngineSpec, ...]
) -> float:
    """Return the mean engine time of a request, in seconds."""
    decode_rate = sum(map(peak_rate, engines)) / len(engines)
    prefill_rate = sum(engine.prefill_rate for engine in engines) / len(engines)
    return sum(
        kind.share
        * (kind.output_tokens / decode_rate + kind.prompt_tokens / prefill_rate)
        for kind in deployment.kinds
    )


def make_trace(name: str, seed: int) -> Trace:
    """Generate a scenario's trace; the same seed gives the same trace."""
    scenario = SCENARIOS[name]
    rng = random.Random(seed)
    engines = make_engines(scenario.deployment)
    capacity_per_s = len(engines) / mean_engine_s(scenario.deployment, engines)
    requests: list[RequestEvent] = []
    at = 0.0
    while True:
        at += rng.expovariate(load_at(scenario, at) * capacity_per_s)
        if at >= scenario.duration_s:
            break
        requests.append(
            make_request(rng, scenario.deployment, at, len(requests))
        )
    header = make_header(name, seed, engines, scenario.storm)
    return Trace(header, engines, tuple(requests), scenario.faults)


def load_at(scenario: Scenario, at: float) -> float:
    """Return the offered load at a time, as a share of capacity."""
    start, end, burst_load = scenario.burst
    return burst_load if start <= at < end else scenario.load


def make_request(
    rng: random.Random,
    deployment: Deployment,
    at: float,
    number: int,
) -> RequestEvent:
    """Draw a request from the deployment's kinds and workspaces."""
    kind = rng.choices(
        deployment.kinds, [profile.share for profile in deployment.kinds]
    )[0]
    names = list(deployment.workspaces)
    workspace = rng.choices(names, list(deployment.workspaces.values()))[0]
    length_factor = rng.lognormvariate(0, LENGTH_SIGMA)
    prompt_tokens = max(8, round(kind.prompt_tokens * length_factor))
    allowed_tokens = kind.output_tokens * 3
    output_tokens = round(
        kind.output_tokens * rng.lognormvariate(0, LENGTH_SIGMA)
    )
    return RequestEvent(
        round(at, TIME_DECIMALS),
        number,
        workspace,
        kind.kind,
        kind.tier,
        deployment.workspaces[workspace],
        kind.timeout_s,
        prompt_tokens,
        min(allowed_tokens, max(1, output_tokens)),
        allowed_tokens,
        int(kind.victim),
        f'{workspace}/{kind.kind}/{rng.randrange(PREFIXES_PER_KIND)}',
        min(kind.prefix_tokens, prompt_tokens),
        kind.interactive,
    )
