"""What hosts say to each other, and how often."""

from collections.abc import Iterator

import pytest

from trefoilspool.mesh import CHANGED_S, INTRODUCE_S, TICK_S, MeshTask
from trefoilspool.peers import HostInfo
from trefoilspool.slotmessages import SlotKey, SlotRequest
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes

Sent = list[tuple[str, ttypes.Datagram]]
STEP_S = 0.05
WAIT_FOR_NEWS_S = 1.0


def host_info(number: int, **changes: object) -> HostInfo:
    made = HostInfo(f'h{number}', f'127.0.9.{number}', 1)
    return made._replace(**changes)


@pytest.fixture
def mesh(monkeypatch: pytest.MonkeyPatch) -> Iterator[MeshTask]:
    """Give a host that is home to four others."""
    made = MeshTask(host_info(1), 0, [])
    others = [host_info(number) for number in range(2, 30)]
    for one in others:
        made.peers.on_heartbeat(one, 0)
    first = made.peers.home()
    assert first is not None
    made.socket.close()
    made = MeshTask(first, 0, [])
    others.append(host_info(1))
    for one in others:
        if one.name != first.name:
            made.peers.on_heartbeat(one, 0)
    yield made
    made.socket.close()


@pytest.fixture
def sent(mesh: MeshTask, monkeypatch: pytest.MonkeyPatch) -> Sent:
    found: Sent = []
    monkeypatch.setattr(mesh, 'send', lambda *one: found.append(one))
    return found


def run(mesh: MeshTask, began: float, seconds: float) -> None:
    """Let a host beat; all others are heard of."""
    steps = int(seconds / STEP_S)
    for step in range(steps):
        now = began + step * STEP_S
        for one in list(mesh.peers.hosts.values()):
            if one.name != mesh.peers.own.name:
                mesh.peers.on_heartbeat(one, now)
        mesh.tick(now)


def lists(sent: Sent) -> int:
    return sum(1 for _, datagram in sent if datagram.hosts is not None)


class TestIntroductions:
    def test_hosts_that_do_not_change_are_seldom_listed(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        peers = mesh.peers.count() - 1
        run(mesh, 10, 4 * INTRODUCE_S)
        assert lists(sent) <= 5 * peers

    def test_new_host_is_soon_known_to_all(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        run(mesh, 10, 2)
        sent.clear()
        mesh.peers.on_heartbeat(host_info(99), 12)
        run(mesh, 12, CHANGED_S + WAIT_FOR_NEWS_S)
        assert lists(sent) >= mesh.peers.count() - 1

    def test_how_far_a_host_has_read_is_no_change(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        run(mesh, 10, 2)
        sent.clear()
        mesh.peers.on_heartbeat(host_info(2, endpoints_end=500), 12)
        run(mesh, 12, CHANGED_S + WAIT_FOR_NEWS_S)
        assert not lists(sent)


class TestNews:
    def test_home_tells_a_new_version_to_all(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        mesh.tell_version(1)
        assert len(sent) == mesh.peers.count() - 1
        assert all(datagram.hosts is None for _, datagram in sent)

    def test_others_tell_the_home_alone(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        mesh.peers.update_own(mesh.peers.own._replace(leaving=True))
        home = mesh.peers.home()
        assert home is not None
        mesh.tell_version(1)
        assert [address for address, _ in sent] == [home.address]


class TestHellos:
    """A list for each of 122 hosts to each was 1.4 GB on a grown day."""

    def test_sign_of_life_lists_nobody(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        mesh.on_hello(host_info(2), hello=False, now=1)
        assert [datagram.hosts for _, datagram in sent] == [None]

    def test_host_that_knows_nobody_gets_a_list(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        mesh.on_hello(host_info(2), hello=True, now=1)
        assert len(sent[0][1].hosts) == mesh.peers.count()

    def test_silent_hosts_are_asked_for_a_sign_of_life(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        mesh.peers.on_reported([host_info(77)], 1)
        mesh.say_hello(1)
        assert [datagram.hello for _, datagram in sent] == [False]


class TestPace:
    def test_idle_host_sleeps_until_its_beat(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        run(mesh, 10, 5)
        now = mesh.beat_at
        mesh.hellos.next_at = now + 1
        assert mesh.pause_s(now) > 10 * TICK_S

    def test_host_with_waiting_requests_looks_often(
        self, mesh: MeshTask
    ) -> None:
        ask = SlotRequest(
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
        mesh.scheduler.on_ask(ask, 0)
        mesh.beat_at = 0
        mesh.hellos.next_at = 1
        assert mesh.pause_s(0) == TICK_S

    def test_home_answers_one_roll_in_four(
        self, mesh: MeshTask, sent: Sent
    ) -> None:
        for _ in range(8):
            mesh.on_held_slots(host_info(2), [], 1)
        assert len(sent) == 2
        assert all(datagram.digest is not None for _, datagram in sent)
        assert len(wire.encode(sent[0][1])) < 200
