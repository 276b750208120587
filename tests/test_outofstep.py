"""Streams taken up at a host that has missed a second software version.

The rule of ORDER: at most two streams of a run have events of two versions.
"""

import pathlib
import signal
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest
from gatewaycluster import WAIT_S, GatewayCluster, RunningHost, wait_for
from platformendpoint import PlatformEndpoint, ServedRequest
from soak import START_TIMEOUT_S, wait_ready
from soakcallers import StreamCaller
from soakledger import VERSIONS, SentRequest
from soakproxy import Mode
from soakstreams import HTTP_OK, streams, versions_of, whole_events
from soakworld import LONG_EVENT_PAUSE_S, SoakHost, World, WorldShape

from trefoilspool import peertopics
from trefoilspool.errors import LogOutageError
from trefoilspool.replication import PollInterval

MAX_MIXED = 2
SHAPE = WorldShape(hosts=8, endpoints=3)
JOINING = 4
STILL_HOSTS = 4
# With STILL_S longer than two timeouts of the route, for which a version must
# have been the only one.
WATCHED_S = 7.2
STILL_S = 3.5
JOIN_AFTER_S = 2.0
WAITING_S = 0.2
CUT_AFTER_S = (1.4, STILL_S)
CUT_IDS = ('while-still', 'at-wake')
CUT_S = 1.3
LATENESS_STEPS = 5
LATENESS_S = 0.1
IN_TOUCH_S = 1.0
STREAMS_AT_ONCE = 28  # one for each slot
OLD_S = 1.5  # a host calls younger facts fresh
HANDLED_S = 0.3  # until what arrives has been used
OFTEN_S = 0.1
ALLOWED = ('', 'v2')  # of a stream that began at v2
CALM_STREAMS = 15
CALM_PAUSE_S = 0.15
CALLERS = 12
TAKE_UPS_AT_ONCE = 100


class OutOfStep:
    """A world in which some hosts miss that a second version joins."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.world = World(folder, SHAPE)
        for endpoint in self.world.endpoints:
            endpoint.pause_s = LONG_EVENT_PAUSE_S
        wait_ready(self.world, START_TIMEOUT_S)
        self.missing = self.world.hosts[-STILL_HOSTS:]
        self.others = self.world.hosts[:-STILL_HOSTS]
        time.sleep(WATCHED_S)

    def join_and_begin(self, until: float) -> list[SentRequest]:
        """Let the second version join, and begin streams until a time."""
        begun: list[SentRequest] = []

        def call(number: int) -> None:
            caller = StreamCaller(self.world, f'b{number}', number)
            host = self.others[number % len(self.others)]
            while time.monotonic() < until:
                begun.append(caller.begin(host))

        for _ in range(JOINING):
            self.world.join('v2')
        run_all([partial(call, number) for number in range(CALLERS)])
        return [sent for sent in begun if whole_events(sent)]

    def stand_still(self, cut: str, cut_after_s: float) -> None:
        """Stop some hosts, wake them into a cut, take streams up there.

        The cut begins so long after they were stopped.
        """
        for host in self.missing:
            host.process.send_signal(signal.SIGSTOP)
        wake_at = time.monotonic() + STILL_S
        if cut_after_s < JOIN_AFTER_S:
            time.sleep(cut_after_s)
            self.cut_all(cut)
        time.sleep(max(0, wake_at - STILL_S + JOIN_AFTER_S - time.monotonic()))
        begun = self.join_and_begin(wake_at - WAITING_S)
        waker = threading.Timer(
            wake_at - time.monotonic(), lambda: self.wake(cut)
        )
        waker.start()
        self.take_up(begun)
        waker.join()

    def wake(self, cut: str) -> None:
        """Wake the hosts, cut off."""
        self.cut_all(cut)
        for host in self.missing:
            host.process.send_signal(signal.SIGCONT)

    def cut_off(self) -> None:
        """Cut hosts off, let the version join; take streams up at once."""
        time.sleep(STILL_S)
        self.cut_all('both')
        until = time.monotonic() + CUT_S
        for _ in range(JOINING):
            self.world.join('v2')

        def call(number: int) -> None:
            caller = StreamCaller(self.world, f'c{number}', number)
            while time.monotonic() < until:
                begun = caller.begin(self.others[number % len(self.others)])
                if whole_events(begun):
                    caller.take_up(
                        self.missing[number % len(self.missing)], begun
                    )

        run_all([partial(call, number) for number in range(CALLERS * 2)])

    def wake_in_touch(self) -> list[SentRequest]:
        """Stop some hosts, wake them; return streams begun meanwhile."""
        for host in self.missing:
            host.process.send_signal(signal.SIGSTOP)
        wake_at = time.monotonic() + STILL_S
        time.sleep(JOIN_AFTER_S)
        begun = self.join_and_begin(wake_at - WAITING_S)
        for host in self.missing:
            host.process.send_signal(signal.SIGCONT)
        time.sleep(IN_TOUCH_S)
        return begun

    def cut_all(self, cut: str) -> None:
        """Cut the hosts off that miss the second version."""
        for host in self.missing:
            self.cut(host, cut)

    def cut(self, host: SoakHost, cut: str) -> None:
        """Cut a host off from others, from the store, or from both."""
        host.part('both')
        if cut == 'both':
            host.store.mode = Mode.silent

    def take_up(self, begun: list[SentRequest]) -> list[SentRequest]:
        """Take all streams up at the hosts that missed the version, at once."""
        again: list[SentRequest] = []

        def call(number: int, sent: SentRequest) -> None:
            caller = StreamCaller(self.world, f't{number}', number)
            host = self.missing[number % len(self.missing)]
            time.sleep(number % LATENESS_STEPS * LATENESS_S)
            again.append(caller.take_up(host, sent))

        run_all(
            [partial(call, number, sent) for number, sent in enumerate(begun)]
        )
        return again

    def mixed(self) -> list[str]:
        """Return the streams with events of two versions."""
        return [
            stream
            for stream, attempts in streams(self.world.ledger).items()
            if len(versions_of(attempts)) > 1
        ]

    def summary(self) -> str:
        """Return what became of the streams, for the report of a failure."""
        by_stream = streams(self.world.ledger)
        later = [tries[1] for tries in by_stream.values() if len(tries) > 1]
        second = [
            tries
            for tries in by_stream.values()
            if len(tries) > 1 and versions_of(tries[:1]) == {'v2'}
        ]
        going_on = sum(bool(whole_events(sent)) for sent in later)
        return (
            f'{len(later)} taken up, {len(second)} begun at v2, '
            f'{going_on} went on, {len(self.mixed())} mixed'
        )


def run_all(works: list[Callable[[], None]]) -> None:
    """Run all work at once and wait for its end."""
    with ThreadPoolExecutor(TAKE_UPS_AT_ONCE) as pool:
        futures = [pool.submit(work) for work in works]
        for future in futures:
            future.result()


@pytest.fixture
def play(tmp_path: pathlib.Path) -> Iterator[OutOfStep]:
    made = OutOfStep(tmp_path)
    yield made
    made.world.close()


class TestStoodStill:
    """Hosts wake, find old notices in their buffers, and reach nobody."""

    @pytest.mark.parametrize('cut', ['both', 'hosts'])
    @pytest.mark.parametrize('cut_after_s', CUT_AFTER_S, ids=CUT_IDS)
    def test_wakes_cut_off(
        self, play: OutOfStep, cut: str, cut_after_s: float
    ) -> None:
        play.stand_still(cut, cut_after_s)
        assert len(play.mixed()) <= MAX_MIXED, play.summary()


class TestCutOff:
    """Hosts are cut off, never stood still, and a version joins at once."""

    def test_within_the_first_second(self, play: OutOfStep) -> None:
        play.cut_off()
        assert len(play.mixed()) <= MAX_MIXED, play.summary()


class TestInTouch:
    """Streams go on at hosts that are in touch again after a stand-still."""

    def test_woken_and_in_touch(self, play: OutOfStep) -> None:
        begun = play.wake_in_touch()
        again = play.take_up(begun[-STREAMS_AT_ONCE:])
        going_on = sum(bool(whole_events(sent)) for sent in again)
        assert len(play.mixed()) <= MAX_MIXED, play.summary()
        assert going_on * 2 >= len(again), play.summary()


class LonelyCluster(GatewayCluster):
    """Hosts of one version, of which one can be cut off from all others.

    Attributes
    ----------
    lonely : RunningHost
        The one to be cut off; it is no home host.
    """

    def __init__(self) -> None:
        super().__init__()
        self.joined: set[str] = set()
        self.is_parted = False

    def start(self, hosts: int) -> None:
        """Start hosts that have run for long with endpoints of one version."""
        for _ in range(2):
            self.add('v1')
        for _ in range(hosts):
            self.add_host()
        for running in self.hosts:
            wait_for(
                lambda peers=running.host.mesh.peers: (
                    sum(map(peers.is_responsive, peers.hosts)) == hosts
                ),
                'heartbeats between all hosts',
            )
            self.wait_for_endpoints(running, 2)
            running.run_for_long()
        self.lonely = min(
            self.hosts, key=lambda running: running.host.mesh.peers.is_home()
        )

    def add(self, version: str) -> PlatformEndpoint:
        endpoint = self.add_endpoint(version=version)
        endpoint.behaviour = stream_slowly
        return endpoint

    def join(self) -> None:
        """Let endpoints of a second version join."""
        self.joined |= {self.add('v2').name for _ in range(JOINING)}

    def begin(self) -> str:
        """Begin a stream at a host that is not cut off; return its id."""
        running = next(made for made in self.hosts if made is not self.lonely)
        stream = f'a{next(self.ids)}'
        with self.open_call(running, '/chat/1', Request_Id=stream) as response:
            response.read1(100)
        return stream

    def begin_at_second_version(self) -> str:
        """Begin streams until one has the second version; return its id."""

        def begin() -> str:
            stream = self.begin()
            return stream if self.version_of(stream) == 'v2' else ''

        return str(wait_for(begin, 'a stream of the second version'))

    def take_up(self, running: RunningHost, stream: str) -> str:
        """Take up a stream; return its version, none if it was refused."""
        again = f'{stream}-again'
        response = self.call(
            running,
            '/chat/1',
            Request_Id=again,
            Resumes=stream,
            Last_Event_Id='0',
        )
        return self.version_of(again) if response.status == HTTP_OK else ''

    def version_of(self, request_id: str) -> str:
        """Return the version that ran a request, none if it did not run."""
        for endpoint in self.endpoints:
            if request_id in endpoint.runs:
                return VERSIONS[endpoint.name in self.joined]
        return ''

    def part(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Cut the lonely host off from the others, but not from the store.

        What its socket has received already stays there.
        """
        for running in self.hosts:
            part_sender(running, self.lonely)
        monkeypatch.setattr(peertopics, 'peer_page', refuse)


def stream_slowly(served: ServedRequest) -> None:
    """Stream for about a second."""
    first = int(served.request.headers.get('last-event-id', -1)) + 1
    served.start_stream()
    for number in range(first, 5):
        served.event(number)
        time.sleep(0.2)
    served.end_stream()


def part_sender(running: RunningHost, lonely: RunningHost) -> None:
    """Drop what a host sends to, or as, the one that is cut off."""
    sender = running.host.mesh.sender
    send = sender.send

    def send_some(address: str, datagram: object) -> None:
        crosses = (running is lonely) != (address == lonely.address)
        if not crosses:
            send(address, datagram)

    sender.send = send_some  # type: ignore[method-assign]


def refuse(*_: object) -> None:
    """Fail like a read over a cut connection."""
    raise LogOutageError('cut')


class LateAnswer:
    """Holds the answer to a host's next read of the endpoints; then a cut."""

    def __init__(self, running: RunningHost) -> None:
        self.source = running.host.endpoint_sync.store_task.source
        self.read_before = self.source.read_from
        self.held = threading.Event()
        self.released = threading.Event()
        self.source.read_from = self.read_from

    def read_from(self, *arguments: object) -> object:
        if self.held.is_set():
            refuse()
        page = self.read_before(*arguments)
        self.held.set()
        self.released.wait(WAIT_S)
        return page


class UnreadDatagrams:
    """Lets a host's datagrams wait in the buffer of its socket."""

    def __init__(self, running: RunningHost) -> None:
        self.socket = running.host.mesh.socket
        self.receive_before = self.socket.receive
        self.released = threading.Event()
        self.socket.receive = self.receive

    def receive(self, timeout_s: float) -> tuple[bytes, str]:
        self.released.wait(WAIT_S)
        return self.receive_before(timeout_s)


def cut_store(running: RunningHost) -> None:
    """Cut a host off from the records of the endpoints in the store."""
    source = running.host.endpoint_sync.store_task.source
    source.read_from = refuse
    source.read_latest = refuse


@pytest.fixture
def cluster() -> Iterator[LonelyCluster]:
    made = LonelyCluster()
    yield made
    made.close()


class TestOldFacts:
    """A host calls what it learns late as fresh as if it were true now."""

    def test_answer_of_the_store_comes_late(
        self, cluster: LonelyCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The read was asked before the second version joined."""
        cluster.start(2)
        answer = LateAnswer(cluster.lonely)
        assert answer.held.wait(WAIT_S)
        cluster.part(monkeypatch)
        cluster.join()
        stream = cluster.begin_at_second_version()
        time.sleep(OLD_S)
        answer.released.set()
        time.sleep(HANDLED_S)
        assert cluster.take_up(cluster.lonely, stream) in ALLOWED

    def test_notice_waits_in_the_buffer(
        self, cluster: LonelyCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A peer read the store before the second version joined."""
        cluster.start(2)
        unread = UnreadDatagrams(cluster.lonely)
        cut_store(cluster.lonely)
        time.sleep(OLD_S)
        cluster.part(monkeypatch)
        cluster.join()
        stream = cluster.begin_at_second_version()
        unread.released.set()
        time.sleep(HANDLED_S)
        assert cluster.take_up(cluster.lonely, stream) in ALLOWED

    def test_version_joins_right_after_the_cut(
        self, cluster: LonelyCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """What the host knows is fresh, and streams begin elsewhere at once."""
        cluster.start(2)
        for running in cluster.hosts:
            task = running.host.endpoint_sync.store_task
            task.poll_interval = PollInterval(0, OFTEN_S)
        time.sleep(OLD_S)
        cluster.part(monkeypatch)
        cut_store(cluster.lonely)
        cluster.join()
        stream = cluster.begin_at_second_version()
        assert cluster.take_up(cluster.lonely, stream) in ALLOWED


class TestCalm:
    """Hosts in touch go on with streams, and know of versions that joined."""

    @pytest.mark.parametrize('hosts', [1, 2, 5])
    def test_stream_without_a_record(
        self, cluster: LonelyCluster, hosts: int
    ) -> None:
        """Nothing is told of streams while there is one version."""
        cluster.start(hosts)
        for number in range(CALM_STREAMS):
            running = cluster.hosts[number % hosts]
            assert cluster.take_up(running, f'unheard-{number}') == 'v1'
            time.sleep(CALM_PAUSE_S)

    def test_stream_begun_as_the_second_version_joins(
        self, cluster: LonelyCluster
    ) -> None:
        cluster.start(3)
        cluster.join()
        stream = cluster.begin_at_second_version()
        assert cluster.take_up(cluster.lonely, stream) == 'v2'
