"""The record of a roll-out's status, with several hosts that decide."""

import itertools
import threading
from collections.abc import Callable, Iterator, Mapping

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from records import BadRecordError
from rolloutrecords import decode_order, decode_status, encode_status

from trefoilspool.errors import LogOutageError
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.replica import Position
from trefoilspool.rollouts.coordinator import Coordinator
from trefoilspool.rollouts.gate import RolloutGate
from trefoilspool.rollouts.gossip import RolloutGossip
from trefoilspool.rollouts.messages import (
    Phase,
    RolloutOrder,
    RolloutStatus,
    State,
)
from trefoilspool.rollouts.statustask import StatusTask
from trefoilspool.store import ConditionalTopic, KeyedRecord, Page

FINAL = (State.completed, State.reverted)
HOSTS = range(3)
KEY = 'rollout/engines'


class Topic(ConditionalTopic):
    """A topic whose answers may be lost, before or after the write."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.fault = ''
        self.late: list[tuple[bytes, int]] = []

    def read_latest(self) -> Page:
        end = len(self.written)
        if not end:
            return Page((), 0, True)
        record = KeyedRecord(KEY, self.written[-1], end - 1)
        return Page((record,), end, True)

    def read_from(self, start: int, wait_s: float, era: int = 0) -> Page:
        raise NotImplementedError

    def put(self, key: str, content: bytes) -> None:
        raise NotImplementedError

    def put_at(self, key: str, content: bytes, end: int) -> bool:
        fault, self.fault = self.fault, ''
        if fault == 'late':
            self.late.append((content, end))
        elif fault != 'refused':
            written = self.append(content, end)
            if not fault:
                return written
        raise LogOutageError(fault)

    def append(self, content: bytes, end: int) -> bool:
        if end != len(self.written):
            return False
        self.written.append(content)
        return True


class Codec:
    """The part of a platform that a task of statuses uses."""

    def status_key(self, service: str) -> str:
        return KEY

    def encode_status(self, status: RolloutStatus) -> bytes:
        return encode_status(status)

    def decode_status(self, service: str, content: bytes) -> RolloutStatus:
        return decode_status(service, content)


class Decider:
    """A host that takes itself for the home host."""

    def __init__(self, topic: Topic) -> None:
        self.due_states: dict[str, State] = {}
        self.told: list[RolloutStatus] = []
        self.restores = 0
        self.gate = RolloutGate()
        self.coordinator = self
        self.task = StatusTask(
            topic,
            Codec(),  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            lambda callback: callback(0),
            None,  # type: ignore[arg-type]
        )

    def on_stored(
        self, status: RolloutStatus, age_s: float, now: float
    ) -> None:
        self.told.append(status)


class Protocol(RuleBasedStateMachine):
    """Hosts decide differently, late, and without the answers of the store."""

    def __init__(self) -> None:
        super().__init__()
        self.topic = Topic()
        self.hosts = [Decider(self.topic) for _ in HOSTS]
        self.offset = 0

    @rule(hearing=st.sets(st.sampled_from(HOSTS)))
    def order(self, hearing: set[int]) -> None:
        """Give a new order, of which some hosts hear."""
        self.offset += 1
        order = RolloutOrder('engines', 'v2', 20, Position(0, self.offset))
        for number in hearing:
            self.hosts[number].gate.on_order(order, 0)
            self.hosts[number].due_states = {}

    @rule(number=st.sampled_from(HOSTS), state=st.sampled_from(State))
    def decide(self, number: int, state: State) -> None:
        self.hosts[number].due_states = {'engines': state}

    @rule(
        number=st.sampled_from(HOSTS),
        fault=st.sampled_from(('', 'lost', 'late', 'refused')),
    )
    def store(self, number: int, fault: str) -> None:
        self.topic.fault = fault
        self.hosts[number].task.try_step()
        self.topic.fault = ''

    @precondition(lambda machine: machine.topic.late)
    @rule()
    def write_late(self) -> None:
        """Execute a write whose host has given up on it."""
        self.topic.append(*self.topic.late.pop(0))

    @rule(number=st.sampled_from(HOSTS))
    def restart(self, number: int) -> None:
        before = self.hosts[number]
        self.hosts[number] = Decider(self.topic)
        for gated in before.gate.services.values():
            self.hosts[number].gate.on_order(gated.announcement.order, 0)

    def statuses(self) -> Iterator[RolloutStatus]:
        for content in self.topic.written:
            yield decode_status('engines', content)

    @invariant()
    def final_state_stands(self) -> None:
        final: dict[int, State] = {}
        for status in self.statuses():
            offset = status.position.offset
            assert final.get(offset, status.state) is status.state
            if status.state in FINAL:
                final[offset] = status.state

    @invariant()
    def order_never_goes_back(self) -> None:
        offsets = [status.position.offset for status in self.statuses()]
        assert offsets == sorted(offsets)

    @invariant()
    def told_what_is_stored(self) -> None:
        """Check that no host takes for stored what is not."""
        stored = {
            (status.position.offset, status.state) for status in self.statuses()
        }
        for status in itertools.chain(*(host.told for host in self.hosts)):
            assert (status.position.offset, status.state) in stored


Protocol.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
TestProtocol = Protocol.TestCase


class TestOrders:
    def test_order(self) -> None:
        content = b'{"backend":"engines","target":"v2","durationS":12}'
        order = decode_order(KEY, content, Position(0, 4))
        assert order == RolloutOrder('engines', 'v2', 12, Position(0, 4))

    def test_other_records_are_no_orders(self) -> None:
        assert decode_order('config', b'{}', Position(0, 4)) is None

    @pytest.mark.parametrize(
        'content',
        (
            b'',
            b'[]',
            b'{"backend":"engines","target":"v2"}',
            b'{"backend":"engines","target":"v2","durationS":0}',
            b'{"backend":"engines","target":"v2","durationS":-1}',
            b'{"backend":"engines","target":"v2","durationS":"12"}',
            b'{"backend":"engines","target":2,"durationS":12}',
            b'{"backend":"others","target":"v2","durationS":12}',
            b'{"target":"v2","durationS":12}',
        ),
    )
    def test_odd_order(self, content: bytes) -> None:
        with pytest.raises(BadRecordError):
            decode_order(KEY, content, Position(0, 4))


class Sender:
    """Counts what is sent to other hosts."""

    def __init__(self) -> None:
        self.sent: list[object] = []

    def send_all(self, datagram: object, now: float) -> None:
        self.sent.append(datagram)


ORDER = RolloutOrder('engines', 'v2', 10, Position(0, 3))


def draining_gossip(order: RolloutOrder) -> RolloutGossip:
    """Return the gossip of a home host that drains the old version."""
    gate = RolloutGate()
    gate.on_order(order, 0)
    announcement = gate.services['engines'].announcement
    draining = announcement._replace(phase=Phase.draining, share=1)
    gate.on_announcement(draining, 0, 0)
    return RolloutGossip(
        PeerRegistry(HostInfo('h1', '127.0.0.1', 1, capacity=1)),
        Sender(),  # type: ignore[arg-type]
        gate,
        Coordinator(),
        lambda service, target: 0,
    )


class TestDrain:
    """What the home host takes for drained."""

    order = ORDER._replace(duration_s=60)

    def due_states(
        self, heard: int, hosts: int, waited_s: float = 0
    ) -> Mapping[str, State]:
        """Return what is due when some hosts are silent, or reports waited."""
        gossip = draining_gossip(self.order)
        peers = gossip.peers
        others = [
            HostInfo(f'h{number}', f'127.0.0.{number}', 1)
            for number in range(2, hosts + 1)
        ]
        for host in others:
            peers.on_heartbeat(host, 0)
        gossip.tick(1)
        rollout = gossip.coordinator.rollouts['engines']
        rollout.hold_s = 0
        for now in range(2, 12):
            for host in (peers.own, *others[: heard - 1]):
                peers.on_heartbeat(host, now)
                structs = gossip.report_structs(home_is_new=True)
                gossip.on_reports(host, structs or (), now, now - waited_s)
            gossip.tick(now)
        return gossip.due_states

    def test_silence_of_a_few_hosts_does_not_keep_it(self) -> None:
        assert self.due_states(3, 5) == {'engines': State.completed}

    @pytest.mark.parametrize('heard', (1, 2))
    def test_silence_of_most_hosts_is_no_end(self, heard: int) -> None:
        """The home host may be cut off from requests that go on."""
        assert self.due_states(heard, 5) == {'engines': State.in_progress}

    def test_reports_that_waited_are_no_end(self) -> None:
        """Hosts may have gone back to the old version meanwhile."""
        due = self.due_states(5, 5, waited_s=3)
        assert due == {'engines': State.in_progress}


class TestRestore:
    """The store is restored just after the end of a roll-out was stored."""

    order = ORDER

    @pytest.fixture
    def gossip(self) -> RolloutGossip:
        """Return the gossip of a home host that has to store the end."""
        made = draining_gossip(self.order)
        made.tick(20)
        assert made.due_states == {'engines': State.completed}
        return made

    def completed(self) -> RolloutStatus:
        return RolloutStatus(
            'engines', 'v2', State.completed, self.order.position, 0
        )

    def test_end_that_is_not_published_yet(self, gossip: RolloutGossip) -> None:
        gossip.coordinator.on_stored(self.completed(), 20, 20)
        gossip.on_store_restored(20)
        gossip.tick(21)
        gossip.tick(21.1)
        assert gossip.due_states == {'engines': State.completed}

    def test_answer_that_is_read_after_the_restore(
        self, gossip: RolloutGossip
    ) -> None:
        task = StatusTask(
            Topic(),
            Codec(),  # type: ignore[arg-type]
            gossip,
            lambda call: calls.append(call),
            threading.Event(),
        )
        calls: list[Callable[[float], None]] = []
        task.step()
        gossip.on_store_restored(20)
        for call in calls:
            call(20)
        gossip.tick(21)
        gossip.tick(21.1)
        assert gossip.due_states == {'engines': State.completed}
