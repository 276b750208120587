"""Datagrams between hosts, and how often they are sent."""

from collections.abc import Callable, Iterator

import pytest

from trefoilspool.crashevidence import CrashReport
from trefoilspool.departures import EndpointRun
from trefoilspool.endpointlimits import LimitReport
from trefoilspool.helloschedule import STARTUP_S
from trefoilspool.hostlists import HOST_LIST_S, MIN_HOST_LIST_S
from trefoilspool.mesh import TICK_S, MeshTask
from trefoilspool.peers import HostInfo
from trefoilspool.promptguard import UNASKED_S
from trefoilspool.routing import Workspace
from trefoilspool.servedreports import ServedPart, ServedReport
from trefoilspool.slotmessages import HeldSlot, SlotKey, SlotRequest
from trefoilspool.wire import endpointreports
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes

Sent = list[tuple[str, ttypes.Datagram]]
STEP_S = 0.05
UPDATE_WAIT_S = 1.0


def host_info(number: int, **changes: object) -> HostInfo:
    made = HostInfo(f'h{number}', f'127.0.9.{number}', 1)
    return made._replace(**changes)


@pytest.fixture
def mesh(monkeypatch: pytest.MonkeyPatch) -> Iterator[MeshTask]:
    """Return the task of the home host, with 28 other hosts known.

    The first task only determines which of the hosts is the home host.
    """
    made = MeshTask(host_info(1), 0, [])
    others = [host_info(number) for number in range(2, 30)]
    for host in others:
        made.peers.on_heartbeat(host, 0)
    home = made.peers.home()
    assert home is not None
    made.socket.close()
    made = MeshTask(home, 0, [])
    others.append(host_info(1))
    for host in others:
        if host.name != home.name:
            made.peers.on_heartbeat(host, 0)
    yield made
    made.socket.close()


@pytest.fixture
def sent(mesh: MeshTask, monkeypatch: pytest.MonkeyPatch) -> Sent:
    found: Sent = []
    monkeypatch.setattr(
        mesh.sender, 'send', lambda *message: found.append(message)
    )
    return found


def run_timers(mesh: MeshTask, start: float, seconds: float) -> None:
    """Run the timers of a host that receives heartbeats of all others."""
    steps = int(seconds / STEP_S)
    for step in range(steps):
        now = start + step * STEP_S
        for host in list(mesh.peers.hosts.values()):
            if host.name != mesh.peers.own.name:
                mesh.peers.on_heartbeat(host, now)
        mesh.tick(now)


ASK = SlotRequest(
    SlotKey('h2', 1),
    's',
    'w',
    1,
    10,
    10,
    1,
    9,
    0,
    (),
    1,
    (),
    True,
    0,
    'z1',
    True,
)


def hello_of(host: HostInfo) -> ttypes.Datagram:
    return ttypes.Datagram(wire.host_info_to_wire(host), hello=False)


def count_host_lists(sent: Sent) -> int:
    return sum(1 for _, datagram in sent if datagram.hosts is not None)


class TestHostLists:
    def test_unchanged_hosts_are_seldom_listed(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        peers = mesh.peers.count() - 1
        run_timers(mesh, 10, 4 * HOST_LIST_S)
        assert count_host_lists(sent) <= 5 * peers

    def test_new_host_is_listed_to_all(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        run_timers(mesh, 10, 2)
        sent.clear()
        mesh.peers.on_heartbeat(host_info(99), 12)
        run_timers(mesh, 12, MIN_HOST_LIST_S + UPDATE_WAIT_S)
        assert count_host_lists(sent) >= mesh.peers.count() - 1

    def test_new_version_triggers_no_host_list(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        run_timers(mesh, 10, 2)
        sent.clear()
        mesh.peers.on_heartbeat(host_info(2, settings_version=500), 12)
        run_timers(mesh, 12, MIN_HOST_LIST_S + UPDATE_WAIT_S)
        assert not count_host_lists(sent)


class TestLimitsAtTheStart:
    def share(self, mesh: MeshTask, now: float) -> float:
        mesh.tick(now)
        return mesh.scheduler.rate_limits.share

    def test_home_grants_for_the_hosts_that_it_has_heard(
        self, sent: Sent
    ) -> None:
        mesh = MeshTask(host_info(1), 0, [])
        mesh.peers.on_reported([host_info(n) for n in range(2, 11)], 10)
        assert self.share(mesh, 10) == 0.1
        mesh.peers.on_heartbeat(host_info(2), 10.1)
        assert self.share(mesh, 10.1) == 0.2
        mesh.socket.close()

    def test_silent_hosts_do_not_bound_the_limits_for_long(
        self, sent: Sent
    ) -> None:
        mesh = MeshTask(host_info(1), 0, [])
        mesh.peers.on_reported([host_info(n) for n in range(2, 11)], 10)
        assert self.share(mesh, 10) < 1
        assert self.share(mesh, 10 + STARTUP_S) == 1
        mesh.socket.close()


class TestVersions:
    def test_home_sends_new_version_to_all(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        mesh.broadcasts.send_version(1)
        assert len(sent) == mesh.peers.count() - 1
        assert all(datagram.hosts is None for _, datagram in sent)

    def test_other_host_sends_new_version_to_home(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        mesh.peers.update_own(mesh.peers.own._replace(leaving=True))
        home = mesh.peers.home()
        assert home is not None
        mesh.broadcasts.send_version(1)
        assert [address for address, _ in sent] == [home.address]


class TestHellos:
    """The reply to a hello contains the list of hosts only on request.

    With a list in each reply, 122 hosts sent 1.4 GB when a recorded day was
    replayed on a scaled-up deployment.
    """

    def test_heartbeat_contains_no_host_list(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        mesh.on_hello(host_info(2), wants_hosts=False, now=1)
        assert [datagram.hosts for _, datagram in sent] == [None]

    def test_requested_host_list_is_sent(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        mesh.on_hello(host_info(2), wants_hosts=True, now=1)
        assert len(sent[0][1].hosts) == mesh.peers.count()

    def test_heartbeat_of_unresponsive_host_is_requested(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        mesh.peers.on_reported([host_info(77)], 1)
        mesh.send_hellos(1)
        assert [datagram.hello for _, datagram in sent] == [False]


class TestTimers:
    def test_idle_host_sleeps_until_its_heartbeat(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        run_timers(mesh, 10, 5)
        now = mesh.heartbeat_at
        mesh.hello_schedule.next_at = now + 1
        assert mesh.pause_s(now) > 10 * TICK_S

    def test_host_with_queued_requests_wakes_each_tick(
        self, mesh: MeshTask
    ) -> None:
        mesh.scheduler.on_ask(ASK, 0)
        mesh.heartbeat_at = 0
        mesh.hello_schedule.next_at = 1
        assert mesh.pause_s(0) == TICK_S

    def test_home_replies_to_one_heartbeat_in_four(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        for _ in range(8):
            mesh.home_service.on_held_slots(host_info(2), [], 1)
        assert len(sent) == 2
        assert all(datagram.digest is not None for _, datagram in sent)
        assert len(wire.encode(sent[0][1])) < 200


class TestStandingStill:
    """A home host that wakes with datagrams in its buffer."""

    @pytest.fixture
    def wake(
        self, mesh: MeshTask, monkeypatch: pytest.MonkeyPatch
    ) -> Callable[[float, bytes], None]:
        """Return a function that runs a step at a time, with a datagram."""

        def run(now: float, body: bytes = b'') -> None:
            monkeypatch.setattr('trefoilspool.clock.now', lambda: now)
            monkeypatch.setattr(
                mesh.socket, 'receive', lambda _: (body, '127.0.9.2')
            )
            mesh.step()

        return run

    def test_slots_of_hosts_that_it_could_not_hear_are_kept(
        self,
        mesh: MeshTask,
        sent: Sent,
        wake: Callable[[float, bytes], None],
    ) -> None:
        held = HeldSlot(SlotKey('h2', 1), 's', 'e', 10, 10, 0)
        wake(100, b'')
        mesh.scheduler.on_held_slots('h2', [held], 100)
        wake(103, wire.encode(hello_of(host_info(3))))
        assert len(mesh.scheduler.reservations) == 1
        for step in range(1, 30):
            wake(103 + step * STEP_S, b'')
        assert not len(mesh.scheduler.reservations)

    def test_share_of_limits_of_endpoints_is_for_hosts_heard_since(
        self,
        mesh: MeshTask,
        sent: Sent,
        wake: Callable[[float, bytes], None],
    ) -> None:
        """The others may report to another home host by now."""
        mesh.limits.merge([LimitReport(EndpointRun('e', 1), 10, 0)], 'h2', 100)
        wake(100, b'')
        for host in map(host_info, range(2, 5)):
            mesh.peers.on_heartbeat(host, 100)
            mesh.scheduler.on_held_slots(host.name, [], 100)
        mesh.scheduler.on_held_slots(mesh.peers.own.name, [], 100)
        wake(100.1, b'')
        assert mesh.scheduler.pacer.share == 1
        wake(104, b'')
        assert mesh.scheduler.pacer.share == 1 / 4

    def test_limit_that_another_home_host_granted_is_not_granted_again(
        self,
        mesh: MeshTask,
        sent: Sent,
        wake: Callable[[float, bytes], None],
    ) -> None:
        wake(100, b'')
        limits = mesh.scheduler.rate_limits
        limits.on_workspaces(
            {'w': Workspace('w', frozenset(), None, 100, 1000, True, 0)}, 100
        )
        limits.bucket('w', 100).level = 0
        wake(104, b'')
        assert dict(limits.levels(104)) == {'w': 0}

    def test_heartbeat_that_waited_ends_no_suspicion(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        body = wire.encode(hello_of(host_info(2)))
        mesh.peers.on_timeout('h2', 100)
        mesh.on_datagram(body, '127.0.9.2', 104, 100)
        assert host_info(2) in mesh.peers.unresponsive()
        mesh.on_datagram(body, '127.0.9.2', 104.1, 104.1)
        assert host_info(2) not in mesh.peers.unresponsive()

    def test_heartbeat_that_waited_is_not_heard_now(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        body = wire.encode(hello_of(host_info(2)))
        mesh.on_datagram(body, '127.0.9.2', 104, 100)
        assert 'h2' not in mesh.peers.heard_since(103)

    def test_step_tells_since_when_a_datagram_may_have_waited(
        self,
        mesh: MeshTask,
        sent: Sent,
        wake: Callable[[float, bytes], None],
    ) -> None:
        body = wire.encode(hello_of(host_info(2)))
        mesh.socket.emptied_at = 100
        wake(100, b'')
        wake(104, body)
        assert 'h2' not in mesh.peers.heard_since(103)
        mesh.socket.emptied_at = 104
        wake(104.1, body)
        assert 'h2' in mesh.peers.heard_since(103)

    def test_digest_that_waited_is_no_contact(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        datagram = hello_of(host_info(2))
        datagram.digest = ttypes.Digest([], [])
        mesh.on_datagram(wire.encode(datagram), '127.0.9.2', 104, 100)
        assert mesh.home_contact.heard_at == 100

    def test_list_from_before_a_grant_frees_no_slot(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        held = HeldSlot(SlotKey('h2', 1), 's', 'e', 10, 10, 0)
        mesh.scheduler.on_held_slots('h2', [held], 100)
        datagram = hello_of(host_info(2))
        datagram.roll = []
        body = wire.encode(datagram)
        mesh.on_datagram(body, '127.0.9.2', 104, 100)
        assert len(mesh.scheduler.reservations) == 1
        mesh.on_datagram(body, '127.0.9.2', 104.1, 104.1)
        assert not len(mesh.scheduler.reservations)

    def test_limit_that_waited_does_not_replace_a_later_one(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        run = EndpointRun('e', 1)
        datagram = hello_of(host_info(2))
        datagram.limits = endpointreports.limits_to_wire(
            [LimitReport(run, 10, 0)]
        )
        mesh.limits.merge([LimitReport(run, 2, 0)], 'h3', 103)
        body = wire.encode(datagram)
        mesh.on_datagram(body, '127.0.9.2', 104, 100)
        assert mesh.limits.per_s(run) == 2
        mesh.on_datagram(body, '127.0.9.2', 104.1, 104.1)
        assert mesh.limits.per_s(run) == 10

    def test_deadline_of_a_request_that_waited_is_no_later(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        datagram = hello_of(host_info(2))
        datagram.asks = [wire.ask_to_wire(ASK, 0)]
        mesh.on_datagram(wire.encode(datagram), '127.0.9.2', 104, 100)
        waiting = list(mesh.scheduler.waiting.all())
        assert [each.ask.deadline for each in waiting] == [100 + ASK.deadline]

    def test_end_and_served_request_count_from_the_arrival(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        """A part may have been served after its end was reported."""
        report = CrashReport(EndpointRun('e', 1), ('p',), 7, 0.5)
        served = ServedReport((ServedPart('q', 0.5),), 9)
        datagram = hello_of(host_info(2))
        datagram.crashes = [endpointreports.crash_report_to_wire(report)]
        datagram.served = endpointreports.served_to_wire(served)
        mesh.on_datagram(wire.encode(datagram), '127.0.9.2', 104, 100)
        evidence = mesh.scheduler.guard.evidence
        assert evidence.attempts['h2', 7].ended_at == 99.5
        assert evidence.history.served.last_at('q') == 99.5


class TestQuarantine:
    """A home host that hears no other knows not what the others ask for."""

    @pytest.mark.parametrize('heard', (False, True))
    def test_part_is_released_only_if_all_hosts_are_heard(
        self, mesh: MeshTask, sent: Sent, heard: bool
    ) -> None:
        guard = mesh.scheduler.guard
        guard.quarantine.add('bad', 100)
        run_timers(mesh, 100, 1)
        for second in range(int(UNASKED_S) + 10):
            now = 101 + second
            guard.note_ask(now)
            if heard:
                run_timers(mesh, now, 2 * STEP_S)
            mesh.tick(now + 0.9)
        assert bool(guard.quarantine.active_parts) is not heard
