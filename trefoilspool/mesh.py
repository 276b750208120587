"""The task that owns a host's datagrams: the desk's home and its clients."""

import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

import logbook

from trefoilspool.helloschedule import HelloSchedule
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.routing import Configuration
from trefoilspool.slotclient import SlotClient
from trefoilspool.slotmessages import EndpointSpec, SlotRelease, SlotRequest
from trefoilspool.slotscheduler import SlotScheduler
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes

__all__ = ['MeshTask']

TICK_S = 0.02
BEAT_S = 0.25
BEAT_A_HOST_S = 0.002  # bounds what a home gets of all hosts
MAX_BEAT_S = 0.5
DIGEST_EVERY = 4  # rolls of an entry between the home's answers
INTRODUCE_S = 12.0  # between lists of hosts; less where they change
CHANGED_S = 0.5  # least time between two lists
WAKE = b''
MAX_DATAGRAM = 60_000
RECEIVE_BYTES = 1_048_576

logger = logbook.Logger('mesh')


class HostId(NamedTuple):
    """What others have to know of a host."""

    name: str
    address: str
    incarnation: int
    leaving: bool


class EndpointsRead(NamedTuple):
    """A peer has just read the endpoints' records from the store.

    Attributes
    ----------
    changed_end : int
        The offset after the newest record that changed there.
    """

    peer: HostInfo
    changed_end: int
    at: float


class MeshTask:
    """Receives datagrams, runs the desk where this host is home.

    Parameters
    ----------
    own : HostInfo
        This host.
    port : int
        Port of datagrams, the same on all hosts.
    seeds : iterable of str
        Addresses of hosts that may know the others.
    """

    def __init__(self, own: HostInfo, port: int, seeds: Iterable[str]) -> None:
        self.port = port
        self.seeds = [seed for seed in seeds if seed != own.address]
        self.peers = PeerRegistry(own)
        self.client = SlotClient(own.name, self.peers, self.send_message)
        self.scheduler = SlotScheduler()
        self.stopping = threading.Event()
        self.callbacks: list[Callable[[float], None]] = []
        self.callbacks_lock = threading.Lock()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES
        )
        self.socket.bind((own.address, port))
        self.socket.settimeout(TICK_S)
        self.beat_at = 0.0
        self.hellos = HelloSchedule()
        self.ticked_at = 0.0
        self.rolls: Counter[str] = Counter()
        self.introduced_at = 0.0
        self.introduced: frozenset[HostId] = frozenset()
        self.told_by = ('', 0)
        self.beat_to = ''
        self.endpoints_read: EndpointsRead | None = None

    def send_message(self, address: str, message: object) -> None:
        """Send an ask or an end; usable from any thread."""
        datagram = ttypes.Datagram(wire.host_info_to_wire(self.peers.own))
        if isinstance(message, SlotRequest):
            datagram.asks = [wire.ask_to_wire(message, time.monotonic())]
        elif isinstance(message, SlotRelease):
            datagram.ends = [wire.slot_release_to_wire(message)]
        self.send(address, datagram)

    def send(self, address: str, datagram: ttypes.Datagram) -> None:
        """Send a datagram; one that is lost is made good by later ones."""
        body = wire.encode(datagram)
        if len(body) > MAX_DATAGRAM:
            logger.warning('datagram_too_long', extra={'bytes': len(body)})
            return
        try:
            self.socket.sendto(body, (address, self.port))
        except OSError as error:
            logger.info(
                'datagram_not_sent',
                extra={'to': address, 'error': repr(error)},
            )

    def call_soon(self, step: Callable[[float], None]) -> None:
        """Run a step on the task's thread; usable from any thread."""
        with self.callbacks_lock:
            self.callbacks.append(step)
        self.wake()

    def wake(self) -> None:
        """Let the task take news now."""
        try:
            self.socket.sendto(WAKE, (self.peers.own.address, self.port))
        except OSError as error:
            # It then takes them with the next datagram or beat.
            logger.info(
                'datagram_not_sent',
                extra={'to': self.peers.own.address, 'error': repr(error)},
            )

    def set_available_endpoints(self, endpoints: list[EndpointSpec]) -> None:
        """Take the endpoints that may get work."""
        self.client.on_available_endpoints(endpoints)
        self.call_soon(
            lambda now: self.scheduler.on_available_endpoints(endpoints, now)
        )

    def set_configuration(self, configuration: Configuration) -> None:
        """Take the limits of a configuration."""
        limits = configuration.workspaces
        self.client.workspaces = limits
        self.call_soon(
            lambda now: self.scheduler.rate_limits.on_workspaces(limits, now),
        )

    def run(self) -> None:
        """Handle datagrams until stopped."""
        while not self.stopping.is_set():
            try:
                self.step()
            except Exception:
                logger.exception('mesh_failed')
        self.socket.close()

    def step(self) -> None:
        """Handle one datagram and what is due."""
        self.socket.settimeout(self.pause_s(time.monotonic()))
        try:
            body, origin = self.socket.recvfrom(MAX_DATAGRAM)
        except TimeoutError:
            body = b''
        now = time.monotonic()
        if body:
            self.on_datagram(body, origin[0], now)
        if self.callbacks:
            self.run_callbacks(now)
        if now - self.ticked_at >= TICK_S:
            self.ticked_at = now
            self.tick(now)
        self.deliver()

    def pause_s(self, now: float) -> float:
        """Return the seconds until something is due."""
        if self.callbacks or self.scheduler.waiting:
            return TICK_S
        due = min(self.beat_at + self.beat_s(), self.hellos.next_at)
        return max(TICK_S, due - now)

    def beat_s(self) -> float:
        """Return the seconds between beats; more where there are many hosts."""
        return min(MAX_BEAT_S, BEAT_S + BEAT_A_HOST_S * self.peers.count())

    def run_callbacks(self, now: float) -> None:
        """Run the steps that other threads handed over."""
        with self.callbacks_lock:
            callbacks = self.callbacks
            self.callbacks = []
        for step in callbacks:
            step(now)

    def on_datagram(self, body: bytes, address: str, now: float) -> None:
        """Handle a datagram by the fields that it has."""
        datagram = wire.decode(body)
        if datagram is None:
            logger.warning('datagram_unreadable', extra={'from': address})
            return
        sender = wire.host_info_from_wire(datagram.sender)
        if not self.peers.on_heartbeat(sender, now):
            return
        for field, handler in HANDLERS.items():
            content = getattr(datagram, field)
            if content is not None:
                handler(self, sender, content, now)

    def on_asks(self, sender: HostInfo, asks: list[Any], now: float) -> None:
        """Pass asks to the desk."""
        for one in asks:
            self.scheduler.on_ask(
                wire.ask_from_wire(one, sender.name, now), now
            )

    def on_ends(self, sender: HostInfo, ends: list[Any], now: float) -> None:
        """Pass ends to the desk."""
        for one in ends:
            self.scheduler.on_ended(
                wire.slot_release_from_wire(one, sender.name), now
            )

    def on_verdicts(
        self,
        sender: HostInfo,
        decisions: list[Any],
        now: float,
    ) -> None:
        """Pass verdicts to the requests that wait for them."""
        for one in decisions:
            self.client.on_decision(
                sender.address,
                wire.decision_from_wire(one, self.peers.own.name),
            )

    def on_held_slots(
        self, sender: HostInfo, roll: list[Any], now: float
    ) -> None:
        """Take a beat with what an entry holds, and answer it."""
        self.scheduler.on_held_slots(
            sender.name,
            wire.held_from_wire(roll, sender.name),
            now,
        )
        due = not self.rolls[sender.name] % DIGEST_EVERY
        self.rolls[sender.name] += 1
        if due:
            answer = ttypes.Datagram(
                wire.host_info_to_wire(self.peers.own),
                digest=self.digest(now),
            )
            self.send(sender.address, answer)

    def digest(self, now: float) -> ttypes.Digest:
        """Return the desk's counts and levels."""
        return ttypes.Digest(
            [
                ttypes.Load(
                    name,
                    len(state.reservations),
                    not state.reliability.takes_work(now),
                )
                for name, state in self.scheduler.available_endpoints.items()
            ],
            [
                ttypes.Level(name, level)
                for name, level in self.scheduler.rate_limits.levels(now)
            ],
        )

    def on_digest(
        self,
        sender: HostInfo,
        digest: ttypes.Digest,
        now: float,
    ) -> None:
        """Take the home's counts."""
        self.client.on_loads(
            {load.endpoint: load.held for load in digest.loads},
            frozenset(load.endpoint for load in digest.loads if load.ejected),
            {level.workspace: level.tokens for level in digest.levels},
        )
        self.told_by = (sender.name, sender.incarnation)

    def on_levels(
        self, sender: HostInfo, levels: list[Any], now: float
    ) -> None:
        """Take the levels of limits that an earlier home had."""
        for one in levels:
            self.scheduler.rate_limits.on_level(one.workspace, one.tokens, now)

    def on_hosts(self, sender: HostInfo, hosts: list[Any], now: float) -> None:
        """Learn of hosts."""
        self.peers.on_listed(map(wire.host_info_from_wire, hosts), now)

    def on_hello(self, sender: HostInfo, hello: bool, now: float) -> None:
        """Give a host a sign of life, or tell it who is here."""
        answer = ttypes.Datagram(wire.host_info_to_wire(self.peers.own))
        self.send(
            sender.address,
            self.introduction(now) if hello else answer,
        )

    def on_endpoints_read(
        self,
        sender: HostInfo,
        changed_end: int,
        now: float,
    ) -> None:
        """Note that a peer has just read the endpoints' records."""
        self.endpoints_read = EndpointsRead(sender, changed_end, now)

    def introduction(self, now: float) -> ttypes.Datagram:
        """Return a datagram that names the hosts."""
        return ttypes.Datagram(
            wire.host_info_to_wire(self.peers.own),
            hosts=[
                wire.host_info_to_wire(one) for one in self.peers.fresh(now)
            ],
        )

    def tick(self, now: float) -> None:
        """Let waiting requests time out, and beat."""
        self.scheduler.tick(now)
        home = self.peers.home()
        moved = home is not None and home.name != self.beat_to
        if moved or now - self.beat_at >= self.beat_s():
            self.beat_at = now
            self.beat(now)
        if self.hellos.due(now, self.peers.count()):
            self.say_hello(now)

    def beat(self, now: float) -> None:
        """Tell the home what this host holds, and all hosts who is here."""
        home = self.peers.home()
        if home is None:
            return
        if home.name != self.beat_to:
            logger.info(
                'home_changed',
                extra={'home': home.name, 'before': self.beat_to},
            )
            self.beat_to = home.name
        datagram = ttypes.Datagram(
            wire.host_info_to_wire(self.peers.own),
            roll=[wire.held_to_wire(one) for one in self.client.held_slots()],
        )
        if self.told_by != (home.name, home.incarnation):
            datagram.levels = [
                ttypes.Level(name, tokens)
                for name, tokens in self.client.levels.items()
            ]
        self.send(home.address, datagram)
        self.peers.forget(now)
        if home.name == self.peers.own.name:
            self.introduce_changes(now)

    def announce(self) -> None:
        """Tell all hosts what this one says of itself."""
        self.call_soon(self.tell_card)

    def announce_version(self) -> None:
        """Let hosts that have an older configuration know of this one."""
        self.call_soon(self.tell_version)

    def tell_version(self, now: float) -> None:
        """Tell the home, or all hosts where this one is home."""
        home = self.peers.home()
        if home is None or home.name == self.peers.own.name:
            self.tell_card(now)
            return
        own = ttypes.Datagram(wire.host_info_to_wire(self.peers.own))
        self.send(home.address, own)

    def tell_card(self, now: float) -> None:
        """Send this host's card to all hosts."""
        self.send_all(
            ttypes.Datagram(wire.host_info_to_wire(self.peers.own)),
            now,
        )

    def introduce_changes(self, now: float) -> None:
        """Tell all hosts who is here, where that has changed, or long ago."""
        present = frozenset(
            HostId(host.name, host.address, host.incarnation, host.leaving)
            for host in self.peers.fresh(now)
        )
        since = now - self.introduced_at
        changed = present != self.introduced and since >= CHANGED_S
        if changed or since >= INTRODUCE_S:
            self.introduced = present
            self.introduced_at = now
            self.introduce_all(now)

    def introduce_all(self, now: float) -> None:
        """Tell all hosts who is here."""
        self.send_all(self.introduction(now), now)

    def say_hello(self, now: float) -> None:
        """Ask silent hosts for a sign of life, seeds for a list of hosts."""
        own = wire.host_info_to_wire(self.peers.own)
        ping = ttypes.Datagram(own, hello=False)
        for host in self.peers.unheard():
            self.send(host.address, ping)
        if self.peers.count() <= 1:
            for seed in self.seeds:
                self.send(seed, ttypes.Datagram(own, hello=True))

    def send_endpoints_read(self, changed_end: int, now: float) -> None:
        """Send to all hosts how far the endpoints' records were read."""
        self.send_all(
            ttypes.Datagram(
                wire.host_info_to_wire(self.peers.own),
                endpoints_read=changed_end,
            ),
            now,
        )

    def send_all(self, datagram: ttypes.Datagram, now: float) -> None:
        """Send a datagram to all other hosts."""
        for host in self.peers.fresh(now):
            if host.name != self.peers.own.name:
                self.send(host.address, datagram)

    def deliver(self) -> None:
        """Send the desk's verdicts to their entry hosts."""
        for event in self.scheduler.take_events():
            logger.info(event.event, extra=dict(event.facts))
        by_entry: dict[str, list[Any]] = {}
        for decision in self.scheduler.take_decisions():
            by_entry.setdefault(decision.key.entry, []).append(
                wire.decision_to_wire(decision),
            )
        for entry, decisions in by_entry.items():
            host = self.peers.hosts.get(entry)
            if host is not None:
                self.send(
                    host.address,
                    ttypes.Datagram(
                        wire.host_info_to_wire(self.peers.own),
                        verdicts=decisions,
                    ),
                )


HANDLERS: Mapping[str, Callable[..., None]] = {
    'asks': MeshTask.on_asks,
    'ends': MeshTask.on_ends,
    'verdicts': MeshTask.on_verdicts,
    'roll': MeshTask.on_held_slots,
    'digest': MeshTask.on_digest,
    'hosts': MeshTask.on_hosts,
    'hello': MeshTask.on_hello,
    'levels': MeshTask.on_levels,
    'endpoints_read': MeshTask.on_endpoints_read,
}
