"""Who is here, who is home, and what happens when the home is silent."""

import threading
import time

import pytest

from trefoilspool.mesh import MeshTask
from trefoilspool.peers import FORGET_S, SUSPECT_S, HostInfo, PeerRegistry
from trefoilspool.routing import Workspace
from trefoilspool.slotclient import SlotClient
from trefoilspool.slotmessages import (
    AttemptEnding,
    EndpointSpec,
    Granted,
    Queued,
    RefusalReason,
    Refused,
    SlotKey,
    SlotRelease,
    SlotRequest,
)
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes

ALONE_BOUND_S = 0.1


def host_info(number: int, incarnation: int = 1, **changes: object) -> HostInfo:
    made = HostInfo(f'h{number}', f'10.0.0.{number}', incarnation)
    return made._replace(**changes)


@pytest.fixture
def peers() -> PeerRegistry:
    made = PeerRegistry(host_info(1))
    for number in range(2, 6):
        made.on_heartbeat(host_info(number), 0)
    return made


class TestHomes:
    def test_all_hosts_choose_the_same_home(self, peers: PeerRegistry) -> None:
        other = PeerRegistry(host_info(3))
        for number in (5, 4, 2, 1):
            other.on_heartbeat(host_info(number), 0)
        assert peers.home() == other.home()

    def test_silent_home_is_passed_over_and_returns(
        self, peers: PeerRegistry
    ) -> None:
        first = peers.home()
        assert first is not None
        peers.on_silence(first.name, 0)
        second = peers.home()
        assert second is not None
        assert second != first
        peers.on_heartbeat(first, SUSPECT_S)
        assert peers.home() == first

    def test_silence_that_returns_is_waited_for_longer(
        self, peers: PeerRegistry
    ) -> None:
        first = peers.home()
        assert first is not None
        peers.on_silence(first.name, 0)
        peers.on_heartbeat(first, SUSPECT_S)
        peers.on_silence(first.name, SUSPECT_S)
        peers.on_heartbeat(first, SUSPECT_S * 2)
        assert peers.home() != first
        peers.on_heartbeat(first, SUSPECT_S * 3)
        assert peers.home() == first

    def test_home_that_stays_silent_is_not_tried_again(
        self, peers: PeerRegistry
    ) -> None:
        first = peers.home()
        assert first is not None
        peers.on_silence(first.name, 0)
        peers.on_reported([first], 20)
        assert peers.home() != first

    def test_former_self_is_not_heard(self, peers: PeerRegistry) -> None:
        assert peers.on_heartbeat(host_info(2, 7, leaving=True), 1)
        assert not peers.on_heartbeat(host_info(2, 6), 2)
        assert peers.hosts['h2'].leaving

    def test_leaving_host_is_not_home(self, peers: PeerRegistry) -> None:
        first = peers.home()
        assert first is not None
        peers.on_heartbeat(first._replace(leaving=True), 1)
        assert peers.home() != first

    def test_hosts_that_nobody_hears_are_forgotten(
        self, peers: PeerRegistry
    ) -> None:
        peers.forget(FORGET_S + 1)
        assert set(peers.hosts) == {'h1'}


class TestListed:
    def test_host_that_the_home_lists_is_not_forgotten(
        self, peers: PeerRegistry
    ) -> None:
        peers.on_listed([host_info(2), host_info(9)], FORGET_S)
        peers.forget(FORGET_S + 1)
        assert set(peers.hosts) == {'h1', 'h2', 'h9'}

    def test_few_are_among_the_first(self, peers: PeerRegistry) -> None:
        first = peers.home()
        assert first is not None
        for number in range(1, 6):
            own = host_info(number)
            view = PeerRegistry(own)
            for other in range(1, 6):
                if other != number:
                    view.on_heartbeat(host_info(other), 0)
            assert view.is_among_first(1) == (own.name == first.name)
            assert view.is_among_first(5)


class TestCapacity:
    """A home has work for all hosts; small ones fell behind (grown days)."""

    def test_strongest_host_is_home(self, peers: PeerRegistry) -> None:
        peers.on_heartbeat(host_info(4, capacity=2150), 1)
        home = peers.home()
        assert home is not None
        assert home.name == 'h4'

    def test_next_strongest_follows(self, peers: PeerRegistry) -> None:
        peers.on_heartbeat(host_info(4, capacity=2150), 1)
        peers.on_heartbeat(host_info(5, capacity=361), 1)
        peers.on_silence('h4', 2)
        home = peers.home()
        assert home is not None
        assert home.name == 'h5'

    def test_capacity_is_passed_on(self) -> None:
        known = host_info(4, capacity=2150)
        body = wire.encode_host_info(known)
        assert wire.decode_host_info(body) == known


class Post:
    """Takes what a client sends; answers as it is told."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, object]] = []
        self.client: SlotClient | None = None
        self.answers: list[object] = []

    def __call__(self, address: str, message: object) -> None:
        self.sent.append((address, message))
        if isinstance(message, SlotRequest) and self.answers:
            kind = self.answers.pop(0)
            if kind is Granted:
                decision = Granted(message.key, 'a')
            elif kind is Queued:
                decision = Queued(message.key)  # type: ignore[assignment]
            else:
                return
            assert self.client is not None
            self.client.on_decision(address, decision)


def ask(client: SlotClient, **changes: object) -> SlotRequest:
    now = time.monotonic()
    made = SlotRequest(
        key=client.new_key(),
        service='s',
        workspace='w',
        rank=1,
        prompt_tokens=10,
        output_tokens=10,
        aim=now + 0.4,
        deadline=now + 5,
        asked=now,
        avoid=(),
        attempt=1,
        parts=(),
        streams=True,
        charge=0,
        data_centre='z',
        repeatable=True,
    )
    return made._replace(**changes)


def stays() -> bool:
    return False


class TestPlaceClient:
    @pytest.fixture
    def post(self) -> Post:
        return Post()

    @pytest.fixture
    def client(self, peers: PeerRegistry, post: Post) -> SlotClient:
        made = SlotClient('h1', peers, post)
        post.client = made
        made.on_available_endpoints(
            [EndpointSpec(name, 's', 'z', 4, 1, 7) for name in 'abc'],
        )
        return made

    def test_grant_of_the_home_is_held(
        self, client: SlotClient, post: Post
    ) -> None:
        post.answers = [Granted]
        wanted = ask(client)
        assert client.acquire(wanted, stays) == Granted(wanted.key, 'a')
        assert [one.key for one in client.held_slots()] == [wanted.key]

    @pytest.mark.alone
    def test_silent_home_costs_less_than_a_tenth_of_a_second(
        self, client: SlotClient, peers: PeerRegistry
    ) -> None:
        first = peers.home()
        started = time.monotonic()
        decision = client.acquire(ask(client), stays)
        assert isinstance(decision, Granted)
        assert time.monotonic() - started < ALONE_BOUND_S
        assert peers.home() != first

    def test_queued_request_waits_on(
        self, client: SlotClient, post: Post
    ) -> None:
        post.answers = [Queued, Queued, Granted]
        decision = client.acquire(ask(client), stays)
        assert isinstance(decision, Granted)
        assert len(post.sent) == 3

    def test_caller_that_left_withdraws(
        self, client: SlotClient, post: Post
    ) -> None:
        post.answers = [Queued]
        wanted = ask(client)
        decision = client.acquire(wanted, lambda: True)
        assert isinstance(decision, Refused)
        ended = post.sent[-1][1]
        assert isinstance(ended, SlotRelease)
        assert (ended.key, ended.ending) == (wanted.key, AttemptEnding.unused)

    def test_grant_that_nobody_waits_for_is_given_back(
        self, client: SlotClient, post: Post
    ) -> None:
        client.on_decision('10.0.0.2', Granted(SlotKey('h1', 1), 'a'))
        address, ended = post.sent[-1]
        assert address == '10.0.0.2'
        assert isinstance(ended, SlotRelease)
        assert ended.ending is AttemptEnding.unused

    def test_alone_the_even_share_of_a_limit_holds(
        self, client: SlotClient
    ) -> None:
        limit = Workspace('w', frozenset(), None, 5, 500, True, 200)
        client.workspaces = {'w': limit}
        decisions = [
            client.choose_locally(ask(client, charge=100)) for _ in range(3)
        ]
        assert isinstance(decisions[0], Granted)
        assert isinstance(decisions[1], Refused)
        assert decisions[1].reason is RefusalReason.over_limit

    def test_alone_the_less_loaded_of_two_is_chosen(
        self, client: SlotClient
    ) -> None:
        client.on_loads({'a': 4, 'b': 0}, frozenset(('c',)), {})
        found = [client.choose_locally(ask(client)) for _ in range(8)]
        assert {one.endpoint for one in found} == {'b'}  # type: ignore[union-attr]

    def test_many_requests_at_once_get_their_own_verdicts(
        self, client: SlotClient, post: Post
    ) -> None:
        post.answers = [Granted] * 20
        found: list[bool] = []

        def one_request() -> None:
            wanted = ask(client)
            found.append(client.acquire(wanted, stays).key == wanted.key)

        threads = [threading.Thread(target=one_request) for _ in range(20)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert found == [True] * 20


class TestStart:
    """Seen in incident inc-cc4c of cabrera-ops: all hosts were killed."""

    step_s = 0.02

    def hellos(
        self, mesh: MeshTask, monkeypatch: pytest.MonkeyPatch
    ) -> list[float]:
        """Return when hellos are sent in the first seconds."""
        sent: list[float] = []
        times = [one * self.step_s for one in range(300)]
        now = 0.0

        def send(address: str, datagram: ttypes.Datagram) -> None:
            if datagram.hello:
                sent.append(now)

        monkeypatch.setattr(mesh, 'send', send)
        for now in times:
            mesh.tick(now)
        return sent

    def test_host_that_has_just_started_asks_often(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        mesh = MeshTask(HostInfo('h1', '127.0.0.1', 1), 0, ['127.0.0.2'])
        sent = self.hellos(mesh, monkeypatch)
        mesh.socket.close()
        assert len([one for one in sent if one < 0.5]) >= 4
        assert len([one for one in sent if one >= 4]) <= 5
