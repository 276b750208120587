"""Known hosts, the choice of the home host, and its failure."""

import threading
import time
from collections.abc import Callable

import pytest

from trefoilspool import clock
from trefoilspool.mesh import MeshTask
from trefoilspool.peers import (
    HOST_RETENTION_S,
    SUSPECT_S,
    HostInfo,
    PeerRegistry,
)
from trefoilspool.ratelimits import BASE_RETRIES, WINDOW_S
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

LOCAL_DECISION_BOUND_S = 0.1


def host_info(number: int, incarnation: int = 1, **changes: object) -> HostInfo:
    made = HostInfo(f'h{number}', f'10.0.0.{number}', incarnation)
    return made._replace(**changes)


@pytest.fixture
def peers() -> PeerRegistry:
    made = PeerRegistry(host_info(1))
    for number in range(2, 6):
        made.on_heartbeat(host_info(number), 0)
    return made


class TestPeerRegistry:
    def test_all_hosts_choose_the_same_home(self, peers: PeerRegistry) -> None:
        other = PeerRegistry(host_info(3))
        for number in (5, 4, 2, 1):
            other.on_heartbeat(host_info(number), 0)
        assert peers.home() == other.home()

    def test_heartbeat_after_the_suspicion_period_restores_the_home_host(
        self, peers: PeerRegistry
    ) -> None:
        first = peers.home()
        assert first is not None
        peers.on_timeout(first.name, 0)
        second = peers.home()
        assert second is not None
        assert second != first
        peers.on_heartbeat(first, SUSPECT_S)
        assert peers.home() == first

    def test_second_suspicion_lasts_longer(self, peers: PeerRegistry) -> None:
        first = peers.home()
        assert first is not None
        peers.on_timeout(first.name, 0)
        peers.on_heartbeat(first, SUSPECT_S)
        peers.on_timeout(first.name, SUSPECT_S)
        peers.on_heartbeat(first, SUSPECT_S * 2)
        assert peers.home() != first
        peers.on_heartbeat(first, SUSPECT_S * 3)
        assert peers.home() == first

    def test_report_does_not_end_suspicion(self, peers: PeerRegistry) -> None:
        first = peers.home()
        assert first is not None
        peers.on_timeout(first.name, 0)
        peers.on_reported([first], 20)
        assert peers.home() != first

    def test_earlier_incarnation_is_ignored(self, peers: PeerRegistry) -> None:
        assert peers.on_heartbeat(host_info(2, 7, leaving=True), 1)
        assert not peers.on_heartbeat(host_info(2, 6), 2)
        assert peers.hosts['h2'].leaving

    def test_leaving_host_is_not_home(self, peers: PeerRegistry) -> None:
        first = peers.home()
        assert first is not None
        peers.on_heartbeat(first._replace(leaving=True), 1)
        assert peers.home() != first

    def test_hosts_without_heartbeat_are_forgotten(
        self, peers: PeerRegistry
    ) -> None:
        peers.forget(HOST_RETENTION_S + 1)
        assert set(peers.hosts) == {'h1'}


class TestHostList:
    def test_listed_host_is_not_forgotten(self, peers: PeerRegistry) -> None:
        peers.on_host_list([host_info(2), host_info(9)], HOST_RETENTION_S)
        peers.forget(HOST_RETENTION_S + 1)
        assert set(peers.hosts) == {'h1', 'h2', 'h9'}

    def test_only_preferred_hosts_are_among_the_first(
        self, peers: PeerRegistry
    ) -> None:
        first = peers.home()
        assert first is not None
        for number in range(1, 6):
            own = host_info(number)
            view = PeerRegistry(own)
            for other in range(1, 6):
                if other != number:
                    view.on_heartbeat(host_info(other), 0)
            assert view.is_preferred_home(1) == (own.name == first.name)
            assert view.is_preferred_home(5)


class TestCapacity:
    """The home host schedules for all hosts.

    With little CPU it fell behind when recorded traffic was replayed on
    scaled-up deployments.
    """

    def test_strongest_host_is_home(self, peers: PeerRegistry) -> None:
        peers.on_heartbeat(host_info(4, capacity=2150), 1)
        home = peers.home()
        assert home is not None
        assert home.name == 'h4'

    def test_next_strongest_replaces_silent_home(
        self, peers: PeerRegistry
    ) -> None:
        peers.on_heartbeat(host_info(4, capacity=2150), 1)
        peers.on_heartbeat(host_info(5, capacity=361), 1)
        peers.on_timeout('h4', 2)
        home = peers.home()
        assert home is not None
        assert home.name == 'h5'

    def test_capacity_survives_encoding(self) -> None:
        known = host_info(4, capacity=2150)
        body = wire.encode_host_info(known)
        assert wire.decode_host_info(body) == known


class FakeSender:
    """Records sent messages; replies with decisions of the types ``replies``.

    A slot request gets no reply if ``replies`` is empty.
    """

    def __init__(self) -> None:
        self.sent: list[tuple[str, object]] = []
        self.client: SlotClient | None = None
        self.replies: list[object] = []

    def __call__(self, address: str, message: object) -> None:
        self.sent.append((address, message))
        if isinstance(message, SlotRequest) and self.replies:
            decision_type = self.replies.pop(0)
            if decision_type is Granted:
                decision = Granted(message.key, 'a')
            elif decision_type is Queued:
                decision = Queued(message.key)  # type: ignore[assignment]
            else:
                return
            assert self.client is not None
            self.client.on_decision(address, decision)


def slot_request(client: SlotClient, **changes: object) -> SlotRequest:
    now = time.monotonic()
    made = SlotRequest(
        key=client.new_key(),
        service='s',
        workspace='w',
        rank=1,
        prompt_tokens=10,
        output_tokens=10,
        first_byte_due=now + 0.4,
        deadline=now + 5,
        arrived_at=now,
        avoid=(),
        attempt=1,
        prompt_prefixes=(),
        streams=True,
        charge=0,
        data_centre='z',
        repeatable=True,
    )
    return made._replace(**changes)


WaitScript = Callable[..., None]


def never_disconnected() -> bool:
    return False


class TestSlotClient:
    @pytest.fixture
    def sender(self) -> FakeSender:
        return FakeSender()

    @pytest.fixture
    def client(self, peers: PeerRegistry, sender: FakeSender) -> SlotClient:
        made = SlotClient('h1', peers, sender)
        sender.client = made
        made.choice.on_available_endpoints(
            [EndpointSpec(name, 's', 'z', 4, 1, 7) for name in 'abc'],
        )
        return made

    def test_granted_slot_is_held(
        self, client: SlotClient, sender: FakeSender
    ) -> None:
        sender.replies = [Granted]
        request = slot_request(client)
        assert client.acquire(request, never_disconnected) == Granted(
            request.key, 'a'
        )
        assert [slot.key for slot in client.held_slots()] == [request.key]

    @pytest.mark.alone
    def test_silent_home_delays_request_only_briefly(
        self, client: SlotClient, peers: PeerRegistry
    ) -> None:
        first = peers.home()
        started = time.monotonic()
        decision = client.acquire(slot_request(client), never_disconnected)
        assert isinstance(decision, Granted)
        assert time.monotonic() - started < LOCAL_DECISION_BOUND_S
        assert peers.home() != first

    @pytest.fixture
    def wait_as(self, monkeypatch: pytest.MonkeyPatch) -> WaitScript:
        """Return a function that sets how long waits last and what they get."""

        def set_script(*waits: tuple[float, object]) -> None:
            left = list(waits)
            times = [100.0]

            def next_decision(inbox: object, timeout_s: float) -> object:
                waited_s, decision = left.pop(0)
                times.append(times[-1] + waited_s)
                return decision

            monkeypatch.setattr(
                'trefoilspool.slotclient.next_decision', next_decision
            )
            monkeypatch.setattr('trefoilspool.clock.now', lambda: times[-1])

        return set_script

    def test_own_pause_is_no_silence_of_the_home_host(
        self, client: SlotClient, peers: PeerRegistry, wait_as: WaitScript
    ) -> None:
        first = peers.home()
        request = slot_request(client)
        granted = Granted(request.key, 'a')
        wait_as((0.03, None), (3, None), (0.01, granted))
        assert client.acquire(request, never_disconnected) == granted
        assert peers.home() == first

    def test_slot_that_was_granted_before_a_pause_is_given_back(
        self, client: SlotClient, sender: FakeSender, wait_as: WaitScript
    ) -> None:
        """The home host takes slots back of which it hears no more."""
        request = slot_request(client)
        late = Granted(request.key, 'a')
        fresh = Granted(request.key, 'b')
        wait_as((3, late), (0.01, fresh))
        assert client.acquire(request, never_disconnected) == fresh
        released, asked = [message for _, message in sender.sent][1:]
        assert isinstance(released, SlotRelease)
        assert released.ending is AttemptEnding.unused
        assert asked == request

    def test_queued_request_waits_for_grant(
        self, client: SlotClient, sender: FakeSender
    ) -> None:
        sender.replies = [Queued, Queued, Granted]
        decision = client.acquire(slot_request(client), never_disconnected)
        assert isinstance(decision, Granted)
        assert len(sender.sent) == 3

    def test_disconnect_withdraws_the_queued_request(
        self, client: SlotClient, sender: FakeSender
    ) -> None:
        sender.replies = [Queued]
        request = slot_request(client)
        decision = client.acquire(request, lambda: True)
        assert isinstance(decision, Refused)
        release = sender.sent[-1][1]
        assert isinstance(release, SlotRelease)
        assert (release.key, release.ending) == (
            request.key,
            AttemptEnding.unused,
        )

    def test_grant_without_a_waiting_request_is_released(
        self, client: SlotClient, sender: FakeSender
    ) -> None:
        client.on_decision('10.0.0.2', Granted(SlotKey('h1', 1), 'a'))
        address, release = sender.sent[-1]
        assert address == '10.0.0.2'
        assert isinstance(release, SlotRelease)
        assert release.ending is AttemptEnding.unused

    def test_local_decision_enforces_equal_share_of_limit(
        self, client: SlotClient
    ) -> None:
        limit = Workspace('w', frozenset(), None, 5, 500, True, 200)
        client.choice.workspaces = {'w': limit}
        decisions = [
            client.choose_locally(slot_request(client, charge=100))
            for _ in range(3)
        ]
        assert isinstance(decisions[0], Granted)
        assert isinstance(decisions[1], Refused)
        assert decisions[1].reason is RefusalReason.over_limit

    def use_up_retries(self, client: SlotClient, service: str) -> int:
        """Choose for retries until one is refused; return their number."""
        granted = 0
        retry = slot_request(client, service=service, attempt=2)
        while isinstance(client.choose_locally(retry), Granted):
            granted += 1
        return granted

    def test_local_retries_have_a_budget_by_service(
        self, client: SlotClient
    ) -> None:
        client.choice.on_available_endpoints(
            [EndpointSpec(name, name, 'z', 4, 1, 7) for name in ('s', 't')],
        )
        hosts = client.peers.count()
        assert self.use_up_retries(client, 's') <= BASE_RETRIES / hosts + 1
        retry = slot_request(client, service='t', attempt=2)
        assert isinstance(client.choose_locally(retry), Granted)

    def test_local_retry_budget_returns_after_its_window(
        self, client: SlotClient, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        assert self.use_up_retries(client, 's')
        later = clock.now() + WINDOW_S + 1
        monkeypatch.setattr(clock, 'now', lambda: later)
        retry = slot_request(client, attempt=2)
        assert isinstance(client.choose_locally(retry), Granted)

    def test_local_decision_prefers_less_loaded_endpoint(
        self, client: SlotClient
    ) -> None:
        client.choice.on_loads({'a': 4, 'b': 0}, frozenset(('c',)), {})
        found = [client.choose_locally(slot_request(client)) for _ in range(8)]
        assert {decision.endpoint for decision in found} == {'b'}  # type: ignore[union-attr]

    def test_concurrent_requests_get_their_own_decisions(
        self, client: SlotClient, sender: FakeSender
    ) -> None:
        sender.replies = [Granted] * 20
        found: list[bool] = []

        def acquire_slot() -> None:
            request = slot_request(client)
            found.append(
                client.acquire(request, never_disconnected).key == request.key
            )

        threads = [threading.Thread(target=acquire_slot) for _ in range(20)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert found == [True] * 20


class TestStart:
    """Guards against a slow recovery when all hosts are restarted together.

    All hosts were killed in incident inc-cc4c of cabrera-ops; a restarted host
    must find the others quickly.
    """

    step_s = 0.02

    def hello_times(
        self, mesh: MeshTask, monkeypatch: pytest.MonkeyPatch
    ) -> list[float]:
        """Return the times of the hellos sent in the first 6 s."""
        sent: list[float] = []
        times = [step * self.step_s for step in range(300)]
        now = 0.0

        def send(address: str, datagram: ttypes.Datagram) -> None:
            if datagram.hello:
                sent.append(now)

        monkeypatch.setattr(mesh.sender, 'send', send)
        for now in times:
            mesh.tick(now)
        return sent

    def test_host_sends_hellos_often_after_start(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        mesh = MeshTask(HostInfo('h1', '127.0.0.1', 1), 0, ['127.0.0.2'])
        sent = self.hello_times(mesh, monkeypatch)
        mesh.socket.close()
        assert len([sent_at for sent_at in sent if sent_at < 0.5]) >= 4
        assert len([sent_at for sent_at in sent if sent_at >= 4]) <= 5
