"""Faults that the soak injects; each function also ends its fault."""

import random
import signal
import subprocess
import time
from collections.abc import Callable, Mapping

from soakledger import BadPart, FaultSpan, LimitSpan
from soakproxy import Mode, Proxy
from soakrollouts import crowd, order_rollout
from soakworld import GRACE_S, SoakHost, World

Fault = Callable[[World, random.Random], str]

STOP_SLACK_S = 1.0  # for delays on a busy machine
ENDPOINT_FAULTS = ('error', 'hang', 'refuse', 'cut')
STORE_FAULTS = (503, 429, 'silent', 'reset', 'lost')
RACK_HOSTS = 12
LIMIT_S = (4.5, 7.5)
SILENCE_S = (0.6, 1.6)
SILENCE_REST_S = 1.0  # between two silences of an endpoint
SERIES_GAP_S = 0.5
CRASHING_ROUTES = ('chat', 'look', 'talk')
LINK_MODES = (Mode.delayed, Mode.silent, Mode.one_way, Mode.refused)


def kill(world: World, rng: random.Random) -> str:
    """Kill a host and restart it after a delay."""
    return kill_host(world, rng, rng.choice(world.hosts))


def kill_host(world: World, rng: random.Random, host: SoakHost) -> str:
    process = host.process
    process.kill()
    time.sleep(rng.uniform(0, 1))
    host.restart(process)
    return f'kill {host.name}'


def kill_all(world: World, rng: random.Random) -> str:
    """Kill all hosts at once, at most a rack, and restart them."""
    hosts = rng.sample(world.hosts, min(len(world.hosts), RACK_HOSTS))
    killed = [(host, host.process) for host in hosts]
    for _, process in killed:
        process.kill()
    for host, process in killed:
        host.restart(process)
    return 'kill_all'


def term(world: World, rng: random.Random) -> str:
    """Stop a host gracefully and restart it."""
    return term_host(world, rng, rng.choice(world.hosts))


def term_host(world: World, rng: random.Random, host: SoakHost) -> str:
    """Send SIGTERM, check how and when the host ends, and restart it."""
    process = host.process
    started = time.monotonic()
    process.terminate()
    try:
        code = process.wait(GRACE_S + STOP_SLACK_S)
    except subprocess.TimeoutExpired:
        code = None
        process.kill()
    ended = time.monotonic()
    host.restart(process)
    # Another fault may kill the host, and a signal that arrives before its
    # handler is installed terminates it.
    if code and -code not in {signal.SIGKILL, signal.SIGTERM, signal.SIGHUP}:
        world.ledger.on_violation(
            f'STOP: {host.name} ended with return code {code}'
        )
    ignored = (f'term {host.name}', 'config', 'hup')
    if code is None and world.ledger.no_fault(started, ended, *ignored):
        world.ledger.on_violation(
            f'STOP: {host.name} did not end within {GRACE_S + STOP_SLACK_S} s'
        )
    return f'term {host.name}'


def pause(world: World, rng: random.Random) -> str:
    """Suspend a host with SIGSTOP, then resume it."""
    return pause_host(world, rng, rng.choice(world.hosts))


def pause_host(world: World, rng: random.Random, host: SoakHost) -> str:
    process = host.process
    process.send_signal(signal.SIGSTOP)
    time.sleep(rng.uniform(0.2, 2.5))
    process.send_signal(signal.SIGCONT)
    return f'pause {host.name}'


def hup(world: World, rng: random.Random) -> str:
    """Send SIGHUP to all hosts, which only log it."""
    for host in world.hosts:
        hup_host(world, rng, host)
    return 'hup'


def hup_host(world: World, rng: random.Random, host: SoakHost) -> str:
    host.process.send_signal(signal.SIGHUP)
    return 'hup'


def store_fails(world: World, rng: random.Random) -> str:
    """Make the store fail for all hosts."""
    with world.store.failing(rng.choice(STORE_FAULTS)):
        time.sleep(rng.uniform(0.5, 4))
    return 'store'


def store_trims(world: World, rng: random.Random) -> str:
    """Trim the history of the store's topics."""
    world.store.trim('keyed.op')
    world.store.trim('keyed.servers')
    return 'trim'


def store_restores(world: World, rng: random.Random) -> str:
    """Restore the store from a backup; what it lost is written again."""
    backup = world.store.backup()
    time.sleep(rng.uniform(0.2, 3))
    with world.store.failing('reset'):
        time.sleep(rng.uniform(0, 1))
        world.store.restore(backup)
    time.sleep(rng.uniform(0, 1.5))
    world.write_again()
    return 'restore'


def store_goes_silent(world: World, rng: random.Random) -> str:
    """Let the store answer nothing more on the connections that are open."""
    world.store.silence_connections()
    return 'store silent'


def say_leaving(world: World, rng: random.Random) -> str:
    """Replace an endpoint that says only in its responses that it leaves."""
    leaving = world.add_instead(rng.randrange(len(world.endpoints)))
    leaving.says_leaving = True
    world.replaced_endpoints.append(leaving)
    time.sleep(rng.uniform(2, 4))
    return 'says leaving'


def ask_for_quiet(world: World, rng: random.Random) -> str:
    """Make an endpoint turn half of its requests away for a while."""
    endpoint = rng.choice(world.endpoints)
    endpoint.fault = 'quiet'
    time.sleep(rng.uniform(1, 3))
    endpoint.fault = ''
    return f'quiet {endpoint.name}'


def store_cut(world: World, rng: random.Random) -> str:
    """Impair the connections of a host to the store."""
    host = rng.choice(world.hosts)
    impair(host.store, rng)
    return f'store {host.name}'


def link_cut(world: World, rng: random.Random) -> str:
    """Impair the connections of all hosts to an endpoint."""
    endpoint = rng.choice(world.endpoints)
    impair(endpoint.proxy, rng)
    return f'link {endpoint.name}'


def impair(proxy: Proxy, rng: random.Random) -> None:
    """Set a fault mode for a time; reset connections in half of the cases."""
    proxy.mode = rng.choice(LINK_MODES)
    time.sleep(rng.uniform(0.3, 3))
    proxy.mode = Mode.clear
    if rng.random() < 0.5:
        proxy.reset()


def link_reset(world: World, rng: random.Random) -> str:
    """Reset all connections to the endpoints."""
    for endpoint in world.endpoints:
        endpoint.proxy.reset()
    return 'reset'


def endpoint_fails(world: World, rng: random.Random) -> str:
    """Make an endpoint fail half of its requests."""
    endpoint = rng.choice(world.endpoints)
    endpoint.fault = rng.choice(ENDPOINT_FAULTS)
    time.sleep(rng.uniform(0.5, 3))
    endpoint.fault = ''
    return f'fails {endpoint.name}'


def leave(world: World, rng: random.Random) -> str:
    """Replace an endpoint by a new one."""
    number = rng.randrange(len(world.endpoints))
    world.replace(number, rng.uniform(0, 1))
    return 'leave'


def configure(world: World, rng: random.Random) -> str:
    """Publish one or five configuration versions in quick succession."""
    for _ in range(rng.choice((1, 1, 5))):
        world.configure()
        time.sleep(rng.uniform(0, 0.2))
    return 'config'


def fall_silent(world: World, rng: random.Random) -> str:
    """Make an endpoint pause all its work; its connections stay open."""
    endpoint = rng.choice(world.endpoints)
    with endpoint.silence_lock:
        endpoint.awake.clear()
        time.sleep(rng.uniform(*SILENCE_S))
        endpoint.awake.set()
        time.sleep(SILENCE_REST_S)
    return 'silence'


def configure_by(world: World, rng: random.Random, host: SoakHost) -> str:
    return configure(world, rng)


Step = Callable[[World, random.Random, SoakHost], str]
PLANNED_STEPS: tuple[Step, ...] = (
    hup_host,
    configure_by,
    hup_host,
    configure_by,
    term_host,
)
STEPS = (*PLANNED_STEPS, pause_host, pause_host, term_host, kill_host)


def planned_series(world: World, rng: random.Random) -> str:
    """Tell a host of reloads and a stop amid configuration changes."""
    return series(world, rng, PLANNED_STEPS)


def signal_series(world: World, rng: random.Random) -> str:
    """Suspend, stop and kill a host in a random order."""
    return series(world, rng, STEPS)


def series(world: World, rng: random.Random, steps: tuple[Step, ...]) -> str:
    """Take steps at one host in quick succession; they overlap."""
    host = rng.choice(world.hosts)
    for step in rng.sample(steps, rng.randint(2, len(steps))):
        begin(world, rng, host, step)
        time.sleep(rng.uniform(0, SERIES_GAP_S))
    return 'hup'


def begin(world: World, rng: random.Random, host: SoakHost, step: Step) -> None:
    """Begin a step, which goes on beside."""
    own = random.Random(rng.getrandbits(32))
    world.begin(lambda: record(world, lambda: step(world, own, host)))


def rolling_restart(world: World, rng: random.Random) -> str:
    """Stop several hosts gracefully, one soon after the other."""
    count = rng.randint(2, max(2, len(world.hosts) // 3))
    for host in rng.sample(world.hosts, count):
        begin(world, rng, host, term_host)
        time.sleep(rng.uniform(0.1, 1.5))
        if rng.random() < 0.5:
            configure(world, rng)
    return 'config'


def restart_without_store(world: World, rng: random.Random) -> str:
    """Stop several hosts in turn while the store is away.

    Those that start have to get what they need from the others.
    """
    hosts = rng.sample(world.hosts, max(2, len(world.hosts) // 2))
    with world.store.failing(rng.choice(STORE_FAULTS)):
        for host in hosts:
            begin(world, rng, host, term_host)
            time.sleep(rng.uniform(0.5, 2))
    return 'store'


def crash_by_part(world: World, rng: random.Random, until: float) -> None:
    """Let requests with one part crash endpoints until a time."""
    world.ledger.bad_part = BadPart(
        f'bad{rng.randrange(10**5):05d}:90',
        rng.choice(CRASHING_ROUTES),
        time.monotonic(),
    )
    time.sleep(max(0, until - time.monotonic()))


def crash_by_request(world: World, rng: random.Random, until: float) -> None:
    """Let one request that comes again crash endpoints until a time."""
    route = rng.choice(CRASHING_ROUTES)
    world.ledger.bad_part = BadPart(
        '', route, time.monotonic(), f'/{route}/bad{rng.randrange(10**5):05d}'
    )
    time.sleep(max(0, until - time.monotonic()))


def name_limit(world: World, rng: random.Random) -> str:
    """Make an endpoint name a limit, and at times a lower one later."""
    endpoint = rng.choice(world.endpoints)
    per_s = rng.choice((0.5, 2, 3.9, 6))
    factors = rng.choice(((1,), (4, 1)))
    with endpoint.limit_lock:
        for factor in factors:
            started = time.monotonic()
            endpoint.limit_per_s = per_s * factor
            time.sleep(rng.uniform(*LIMIT_S))
            ended = time.monotonic()
            world.ledger.on_limit(
                LimitSpan(endpoint.name, per_s * factor, started, ended)
            )
        endpoint.limit_per_s = 0.0
    return f'limit {endpoint.name}'


def paths_cut(world: World, rng: random.Random) -> str:
    """Cut hosts, at times all, off from the endpoints."""
    count = rng.randint(1, len(world.hosts))
    cut = rng.sample(world.hosts, count)
    how = rng.choice(('hang', 'reset'))
    for host in cut:
        host.cut_file.write_text(how)
    time.sleep(rng.uniform(0.5, 4))
    for host in cut:
        host.cut_file.unlink(missing_ok=True)
    return f'paths cut {count}'


PLANNED_FAULTS: Mapping[str, Fault] = {
    'term': term,
    'hup': hup,
    'leave': leave,
    'configure': configure,
}
ALL_FAULTS: Mapping[str, Fault] = {
    **PLANNED_FAULTS,
    'kill': kill,
    'kill_all': kill_all,
    'pause': pause,
    'store_fails': store_fails,
    'store_trims': store_trims,
    'store_cut': store_cut,
    'link_cut': link_cut,
    'link_reset': link_reset,
    'endpoint_fails': endpoint_fails,
}
# The choices of a seed depend on the tables, so those of earlier seeds stay.
FIRST_SEED_WITH_ALL = 100
NEWER_FAULTS: Mapping[str, Fault] = {
    'store_restores': store_restores,
    'say_leaving': say_leaving,
    'ask_for_quiet': ask_for_quiet,
}
FIRST_SEED_WITH_SERIES = 200
NEWEST_PLANNED_FAULTS: Mapping[str, Fault] = {
    **PLANNED_FAULTS,
    'planned_series': planned_series,
    'rolling_restart': rolling_restart,
    'fall_silent': fall_silent,
}
NEWEST_FAULTS: Mapping[str, Fault] = {
    **ALL_FAULTS,
    **NEWER_FAULTS,
    **NEWEST_PLANNED_FAULTS,
    'signal_series': signal_series,
}


FIRST_SEED_WITH_VERSIONS = 700
FIRST_SEED_WITH_LIMITS = 300
LIMIT_FAULTS: Mapping[str, Fault] = {'name_limit': name_limit}
VERSION_FAULTS: Mapping[str, Fault] = {
    **LIMIT_FAULTS,
    'store_goes_silent': store_goes_silent,
}


FIRST_SEED_WITH_PATHS = 800
PATH_FAULTS: Mapping[str, Fault] = {
    **VERSION_FAULTS,
    'paths_cut': paths_cut,
    'paths_cut_again': paths_cut,
}


FIRST_SEED_WITH_ROLLOUTS = 900
ROLLOUT_FAULTS: Mapping[str, Fault] = {
    **PATH_FAULTS,
    'order_rollout': order_rollout,
    'order_rollout_again': order_rollout,
    'crowd': crowd,
}


FIRST_SEED_WITH_MISSES = 1100  # beside the other faults; see soakmisses
FIRST_SEED_WITH_OUTAGES = 1000
OUTAGE_FAULTS: Mapping[str, Fault] = {
    **ROLLOUT_FAULTS,
    'restart_without_store': restart_without_store,
    'restart_without_store_again': restart_without_store,
}


# Beside misses, whose hosts are to know for long of one version only.
CALM_FAULTS: Mapping[str, Fault] = {
    'hup': hup,
    'leave': leave,
    'configure': configure,
    'fall_silent': fall_silent,
    'say_leaving': say_leaving,
    'name_limit': name_limit,
    'order_rollout': order_rollout,
}


# Faults besides the newest ones, by the first seed that has them; latest first.
ADDED_FAULTS = (
    (FIRST_SEED_WITH_OUTAGES, OUTAGE_FAULTS),
    (FIRST_SEED_WITH_ROLLOUTS, ROLLOUT_FAULTS),
    (FIRST_SEED_WITH_PATHS, PATH_FAULTS),
    (FIRST_SEED_WITH_VERSIONS, VERSION_FAULTS),
    (FIRST_SEED_WITH_LIMITS, LIMIT_FAULTS),
)
PLANNED_ADDED_FAULTS = ADDED_FAULTS[3:]


def added_faults(seed: int, *, planned_only: bool) -> Mapping[str, Fault]:
    """Return what a seed has besides the newest faults."""
    tables = PLANNED_ADDED_FAULTS if planned_only else ADDED_FAULTS
    return next(table for first, table in tables if seed >= first)


def fault_table(seed: int, *, planned_only: bool) -> Mapping[str, Fault]:
    """Return the faults from which a seed chooses."""
    if seed >= FIRST_SEED_WITH_LIMITS:
        own = NEWEST_PLANNED_FAULTS if planned_only else NEWEST_FAULTS
        return {**own, **added_faults(seed, planned_only=planned_only)}
    if seed >= FIRST_SEED_WITH_SERIES:
        return NEWEST_PLANNED_FAULTS if planned_only else NEWEST_FAULTS
    table = PLANNED_FAULTS if planned_only else ALL_FAULTS
    if seed < FIRST_SEED_WITH_ALL:
        return table
    return {**table, **NEWER_FAULTS}


def record(world: World, fault: Callable[[], str]) -> None:
    """Run a fault, or a step of one, and record when it was active."""
    started = time.monotonic()
    description = fault()
    world.ledger.on_span(FaultSpan(description, started, time.monotonic()))


def inject_fault(world: World, name: str, seed: int) -> None:
    """Run a fault to its end, and restart hosts that have ended."""
    fault = {**NEWEST_FAULTS, **OUTAGE_FAULTS}[name]
    record(world, lambda: fault(world, random.Random(seed)))
    for host in world.hosts:
        host.restart_if_ended()
