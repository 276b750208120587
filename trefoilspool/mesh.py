"""The task that exchanges datagrams with other hosts over UDP.

The home host is the one host that currently runs the slot scheduler for all
hosts. Each host determines it from its own list of hosts, so the results may
differ for a short time. An entry host is the host that received a request from
its caller. The slot client runs on every host.
"""

import random
import threading
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import logbook

from trefoilspool import clock, meshdatagrams, stalls
from trefoilspool.broadcasts import Broadcasts
from trefoilspool.datagramsocket import DatagramSocket
from trefoilspool.endpointlimits import EndpointLimits
from trefoilspool.endpointview import EndpointsRead
from trefoilspool.heartbeats import Heartbeats
from trefoilspool.helloschedule import HelloSchedule
from trefoilspool.homecontact import HomeContact
from trefoilspool.homeservice import HomeService
from trefoilspool.hostlists import HostListSchedule
from trefoilspool.limitgossip import LimitGossip
from trefoilspool.meshsender import MeshSender
from trefoilspool.origingossip import OriginGossip
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.quarantine import Quarantine
from trefoilspool.quarantinegossip import QuarantineGossip
from trefoilspool.rollouts.coordinator import Coordinator
from trefoilspool.rollouts.gossip import RolloutGossip
from trefoilspool.routing import Configuration
from trefoilspool.slotclient import SlotClient
from trefoilspool.slotmessages import EndpointSpec, SlotDecision, SlotRequest
from trefoilspool.slotscheduler import SlotScheduler
from trefoilspool.wire import checks
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes

__all__ = ['MeshTask']

TICK_S = 0.02
# Their handlers also get the time from which the datagram counts, which is before
# the present time if it has waited.
DATED_FIELDS = frozenset(
    (
        'asks',
        'crashes',
        'digest',
        'limits',
        'roll',
        'rollout_reports',
        'served',
    )
)

logger = logbook.Logger('mesh')

# Called with the sender, the field, and the times that it needs, in seconds.
DatagramHandler = Callable[..., object]


def do_nothing() -> None:
    """Do nothing."""


class MeshTask:
    """Handles datagrams; runs the slot scheduler on the home host.

    Parameters
    ----------
    own : HostInfo
        This host.
    port : int
        UDP port, the same on all hosts.
    seeds : iterable of str
        Addresses to which hellos are sent while no other host is known.

    Attributes
    ----------
    sender : MeshSender
        Sends datagrams.
    broadcasts : Broadcasts
        What this host tells all others.
    quarantine_gossip : QuarantineGossip
        Quarantined prompt parts.
    on_quarantine_due : callable
        Called when the quarantine has changed.
    limits : EndpointLimits
        Limits that endpoints have named.
    origin_gossip : OriginGossip
        At which software versions streams began.
    """

    def __init__(
        self,
        own: HostInfo,
        port: int,
        seeds: Iterable[str],
    ) -> None:
        self.seeds = [seed for seed in seeds if seed != own.address]
        self.peers = PeerRegistry(own)
        self.socket = DatagramSocket(own.address, port)
        self.sender = MeshSender(self.socket, self.peers)
        quarantine = Quarantine()
        self.quarantine_gossip = QuarantineGossip(self.peers, quarantine)
        self.on_quarantine_due: Callable[[], None] = do_nothing
        self.limits = EndpointLimits()
        self.limit_gossip = LimitGossip(self.peers, self.limits)
        self.client = SlotClient(
            own.name, self.peers, self.send_message, quarantine, self.limits
        )
        self.scheduler = SlotScheduler(quarantine, self.limits)
        self.scheduler.refusals.phase = random.random()
        self.origin_gossip = OriginGossip(self.peers, self.sender)
        rollout_gossip = RolloutGossip(
            self.peers,
            self.sender,
            self.client.rollouts,
            Coordinator(),
            self.client.count_others,
        )
        self.home_service = HomeService(
            self.scheduler,
            self.peers,
            self.quarantine_gossip,
            self.limit_gossip,
            rollout_gossip,
            self.sender,
        )
        self.stopping = threading.Event()
        self.callbacks: deque[Callable[[float], None]] = deque()
        self.heartbeat_at = 0.0
        self.hello_schedule = HelloSchedule()
        self.ticked_at = 0.0
        self.host_list_schedule = HostListSchedule()
        self.home_contact = HomeContact(self.peers)
        self.heartbeat_home = ''
        self.endpoints_read: EndpointsRead | None = None
        self.broadcasts = Broadcasts(self.sender, self.peers, self.limit_gossip)
        self.heartbeats = Heartbeats(
            self.client,
            self.home_contact,
            self.quarantine_gossip,
            self.limit_gossip,
            self.broadcasts.leaving_reports,
            rollout_gossip,
        )
        self.handlers = self.handler_table()

    @property
    def rollout_gossip(self) -> RolloutGossip:
        """Return what hosts tell each other of roll-outs."""
        return self.home_service.rollout_gossip

    def handler_table(self) -> Mapping[str, DatagramHandler]:
        """Return the handlers by field of `ttypes.Datagram`.

        `ends` holds releases, `verdicts` decisions, `roll` the sender's held
        slots, `levels` the bucket levels that an earlier home host reported.
        What comes before `asks` counts for the requests in the same datagram.
        """
        service = self.home_service
        return {
            'quarantine': self.quarantine_gossip.on_structs,
            'served': service.on_served,
            'limits': self.broadcasts.on_limits,
            'crashes': service.on_crash_reports,
            'asks': service.on_asks,
            'ends': service.on_releases,
            'verdicts': self.on_decisions,
            'roll': service.on_held_slots,
            'digest': self.on_digest,
            'hosts': self.on_hosts,
            'hello': self.on_hello,
            'levels': service.on_levels,
            'endpoints_read': self.on_endpoints_read,
            'leaving': self.broadcasts.on_leaving,
            'begun': self.origin_gossip.on_begun,
            'queries': self.origin_gossip.on_queries,
            'origins': self.origin_gossip.on_origins,
            'rollouts': self.rollout_gossip.on_notices,
            'rollout_reports': self.rollout_gossip.on_reports,
        }

    def send_message(self, address: str, message: object) -> None:
        """Send a message of the slot client; usable from any thread.

        A new home host may not know the limits that hold for a slot request.
        """
        now = clock.now()
        datagram = meshdatagrams.message_datagram(self.peers.own, message, now)
        if isinstance(message, SlotRequest):
            datagram.limits = self.limit_gossip.structs_for_ask(now)
        self.sender.send(address, datagram)

    def call_soon(self, callback: Callable[[float], None]) -> None:
        """Run a callback on the task's thread; usable from any thread."""
        self.callbacks.append(callback)
        # If this fails, they run after the next datagram or timeout.
        self.socket.wake()

    def set_available_endpoints(self, endpoints: list[EndpointSpec]) -> None:
        """Replace the endpoints that may get requests."""
        self.client.choice.on_available_endpoints(endpoints)
        self.call_soon(
            lambda now: self.scheduler.on_available_endpoints(endpoints, now)
        )
        self.call_soon(self.origin_gossip.on_endpoints)

    def set_confirmed_at(self, at: float) -> None:
        """Set as of when the endpoints' records are confirmed, in seconds."""
        self.client.down_runs.on_confirmed(at)
        self.client.choice.down_runs.on_confirmed(at)
        self.call_soon(lambda now: self.scheduler.on_records_confirmed(at))

    def set_configuration(self, configuration: Configuration) -> None:
        """Replace the rate limits by those of a configuration."""
        limits = configuration.workspaces
        self.origin_gossip.routes.update(
            configuration.routes.routes.values(), clock.now()
        )
        self.call_soon(self.origin_gossip.on_endpoints)
        self.client.choice.workspaces = limits
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
        """Handle one datagram, then callbacks and timers that are due."""
        body, origin = self.socket.receive(self.pause_s(clock.now()))
        now = clock.now()
        self.home_service.on_step(now)
        if body:
            heard_at = stalls.heard_at(
                self.socket.emptied_at, now, self.home_service.woke_at
            )
            self.on_datagram(body, origin, now, heard_at)
        if self.callbacks:
            self.run_callbacks(now)
        if now - self.ticked_at >= TICK_S:
            self.ticked_at = now
            self.tick(now)
        self.home_service.send_decisions()

    def pause_s(self, now: float) -> float:
        """Return the seconds until the next timer is due."""
        if self.callbacks or self.scheduler.waiting:
            return TICK_S
        due = min(
            self.heartbeat_at + self.home_contact.heartbeat_period_s(),
            self.hello_schedule.next_at,
            self.origin_gossip.next_at(now),
        )
        return max(TICK_S, due - now)

    def run_callbacks(self, now: float) -> None:
        """Run the callbacks that other threads have added."""
        due = [self.callbacks.popleft() for _ in tuple(self.callbacks)]
        for callback in due:
            callback(now)

    def on_datagram(
        self,
        body: bytes,
        address: str,
        now: float,
        heard_at: float | None = None,
    ) -> None:
        """Decode a datagram and call the handler of each field present.

        Parameters
        ----------
        body : bytes
            The datagram.
        address : str
            Address of its sender.
        now : float
            The present time in seconds.
        heard_at : float, optional
            When it arrived at the earliest, in seconds; by default now.
        """
        heard_at = now if heard_at is None else heard_at
        datagram = wire.decode(body)
        senders = [datagram.sender] if datagram else []
        sender = next(checks.readable(wire.host_info_from_wire, senders), None)
        if sender is None:
            logger.warning('datagram_unreadable', extra={'from': address})
            return
        if not self.peers.on_heartbeat(sender, heard_at):
            return
        for field, handler in self.handlers.items():
            content = getattr(datagram, field)
            if content is None:
                continue
            times = (now, heard_at) if field in DATED_FIELDS else (now,)
            try:
                handler(sender, content, *times)
            except Exception:
                # The other fields are still of use.
                logger.exception(
                    'datagram_not_used',
                    extra={'from': sender.name, 'field': field},
                )

    def on_decisions(
        self, sender: HostInfo, decisions: list[Any], now: float
    ) -> None:
        """Pass decisions to the requests that wait for them."""

        def convert(decision: Any) -> SlotDecision:
            return wire.decision_from_wire(decision, self.peers.own.name)

        for decision in checks.readable(convert, decisions):
            self.client.on_decision(sender.address, decision)

    def on_digest(
        self,
        sender: HostInfo,
        digest: ttypes.Digest,
        now: float,
        heard_at: float,
    ) -> None:
        """Pass the counts and levels of the home host to the slot client."""
        loads = list(checks.readable(wire.load_from_wire, digest.loads))
        self.client.choice.on_loads(
            {endpoint: held for endpoint, held, _ in loads},
            frozenset(endpoint for endpoint, _, ejected in loads if ejected),
            dict(checks.readable(wire.level_from_wire, digest.levels)),
        )
        self.home_contact.on_digest(sender, heard_at)

    def on_hosts(self, sender: HostInfo, hosts: list[Any], now: float) -> None:
        """Add the hosts of a peer's list."""
        self.peers.on_host_list(
            checks.readable(wire.host_info_from_wire, hosts), now
        )

    def on_hello(self, sender: HostInfo, wants_hosts: bool, now: float) -> None:
        """Reply with the list of hosts if requested, else with a heartbeat."""
        own = self.peers.own
        self.sender.send(
            sender.address,
            meshdatagrams.host_list(own, self.peers.recent(now))
            if wants_hosts
            else meshdatagrams.host_info_datagram(own),
        )

    def on_endpoints_read(
        self, sender: HostInfo, changed_to: Any, now: float
    ) -> None:
        """Record that a peer has read the endpoint records.

        The notice may have waited since the socket was last empty.
        """
        for position in checks.readable(wire.position_from_wire, [changed_to]):
            self.endpoints_read = EndpointsRead(
                sender,
                position,
                self.socket.emptied_at,
                checks.age_s(changed_to.age_ms or 0),
            )

    def tick(self, now: float) -> None:
        """Run the scheduler's timers; send heartbeats and hellos if due."""
        self.limits.tick(now)
        if self.limits.by_run:
            limit_share = self.home_contact.home_share(
                self.scheduler.last_heard.values(), now
            )
            self.scheduler.pacer.share = limit_share
            self.scheduler.refusals.share = limit_share
        # While all hosts start, several are home host, each for those that it
        # has heard from.
        is_starting = self.hello_schedule.is_starting(now)
        share = self.peers.heard_share() if is_starting else 1.0
        self.scheduler.rate_limits.on_share(share, now)
        guard = self.scheduler.guard
        if guard.quarantine.active_parts and self.home_contact.is_cut_off(now):
            guard.on_unheard(now)
        self.scheduler.tick(now)
        self.rollout_gossip.tick(now)
        self.origin_gossip.tick(now)
        home = self.peers.home()
        home_changed = home is not None and home.name != self.heartbeat_home
        if self.quarantine_gossip.tick(now):
            self.on_quarantine_due()
            if self.peers.is_home():
                self.sender.send_all(self.quarantine_gossip.datagram(), now)
        if (
            home_changed
            or now - self.heartbeat_at >= self.home_contact.heartbeat_period_s()
        ):
            self.heartbeat_at = now
            self.send_heartbeat(now)
        if self.hello_schedule.due(now, self.peers.count()):
            self.send_hellos(now)

    def send_heartbeat(self, now: float) -> None:
        """Send the held slots to the home host.

        The home host also sends the list of hosts if that is due.
        """
        home = self.peers.home()
        if home is None:
            return
        if home.name != self.heartbeat_home:
            logger.info(
                'home_changed',
                extra={'home': home.name, 'before': self.heartbeat_home},
            )
            self.heartbeat_home = home.name
        self.sender.send(home.address, self.heartbeats.datagram(home, now))
        self.peers.forget(now)
        is_home = home.name == self.peers.own.name
        if is_home and self.host_list_schedule.due(self.peers.recent(now), now):
            self.sender.send_all(
                meshdatagrams.host_list(self.peers.own, self.peers.recent(now)),
                now,
            )

    def announce(self) -> None:
        """Send this host's state to all hosts; usable from any thread."""
        self.call_soon(self.broadcasts.send_host_info)

    def announce_version(self) -> None:
        """Announce the configuration in force; usable from any thread.

        Hosts that have an older configuration can then read it here.
        """
        self.call_soon(self.broadcasts.send_version)

    def send_hellos(self, now: float) -> None:
        """Request heartbeats from unresponsive hosts, host lists from seeds."""
        own = wire.host_info_to_wire(self.peers.own)
        ping = ttypes.Datagram(own, hello=False)
        for host in self.peers.unresponsive():
            self.sender.send(host.address, ping)
        if self.peers.count() <= 1:
            for seed in self.seeds:
                self.sender.send(seed, ttypes.Datagram(own, hello=True))
