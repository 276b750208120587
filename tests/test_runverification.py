"""Streams go on at no endpoint that may be back as another run."""

import contextlib
import itertools
import math
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost, wait_for
from platformendpoint import PlatformEndpoint
from test_slotscheduler import ask, endpoint_spec
from test_streamversions import (
    add_endpoints,
    add_hosts,
    cut_new,
    stream_slowly,
    was_down,
)

from trefoilspool import clock
from trefoilspool.departures import EndpointRun
from trefoilspool.endchecks import DELAY_S
from trefoilspool.endpointlimits import EndpointLimits
from trefoilspool.localchoice import LocalChoice
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.quarantine import Quarantine
from trefoilspool.reliability import Reliability
from trefoilspool.runverification import (
    RECORD_LIFETIME_S,
    DownRuns,
    RecordConfirmation,
    is_verified,
)
from trefoilspool.slotmessages import Granted, Refused, SlotKey
from trefoilspool.streamorigins import UNKNOWN, stream_key

READ_EVERY_S = 1.1
# Longer than a record that is not renewed, and a read of the records.
LONG_S = RECORD_LIFETIME_S + READ_EVERY_S
MANY = 7
FEW = 4  # as many as one endpoint has slots
ATTEMPTS = 40
STREAMING_S = 0.5
REQUEST_NUMBERS = itertools.count(1)


class TestConfirmation:
    """What a host may conclude from having had all records at some time."""

    def read_until(self, until: float) -> RecordConfirmation:
        """Return the state after reads from the time zero until another."""
        confirmation = RecordConfirmation()
        for number in range(int(until / READ_EVERY_S) + 1):
            confirmation.on_current(number * READ_EVERY_S, -math.inf)
        return confirmation

    def test_nothing_was_read(self) -> None:
        confirmed_at = RecordConfirmation().confirmed_at
        assert not is_verified(0, confirmed_at)
        assert is_verified(-math.inf, confirmed_at)

    def test_record_that_is_not_renewed_has_to_expire(self) -> None:
        """An endpoint that stays down for 3 s comes back later."""
        assert not is_verified(10, 13)
        assert is_verified(10, 10 + RECORD_LIFETIME_S)

    def test_young_host_does_not_know_of_an_outage(self) -> None:
        assert self.read_until(3).confirmed_at == -math.inf
        assert self.read_until(20).confirmed_at > 18

    def test_late_answer_of_an_old_read(self) -> None:
        confirmation = self.read_until(20)
        before = confirmation.confirmed_at
        confirmation.on_current(before - 1, -math.inf)
        assert confirmation.confirmed_at == before

    def test_stands_still_in_an_outage_and_after_it(self) -> None:
        confirmation = self.read_until(20)
        before = confirmation.confirmed_at
        # A read that has just succeeded, before the outage is known to be over.
        confirmation.on_current(21, 21)
        confirmation.on_current(22, 21)
        confirmation.on_current(24, 21)
        assert confirmation.confirmed_at == before
        confirmation.on_current(21 + RECORD_LIFETIME_S, 21)
        assert confirmation.confirmed_at == 21 + RECORD_LIFETIME_S

    def test_host_stood_still_through_an_outage(self) -> None:
        """It has not seen the outage, which may have ended just now."""
        confirmation = self.read_until(20)
        before = confirmation.confirmed_at
        confirmation.on_current(30, -math.inf)
        confirmation.on_current(31.1, -math.inf)
        assert confirmation.confirmed_at == before

    def test_known_before_the_outage_stays_known(self) -> None:
        confirmation = self.read_until(20)
        confirmation.on_current(25, 25)
        assert is_verified(15, confirmation.confirmed_at)
        assert not is_verified(19, confirmation.confirmed_at)


class TestDownRuns:
    first = EndpointRun('i-1', 1)

    def test_run_is_verified_once_its_record_is_confirmed(self) -> None:
        down = DownRuns()
        down.on_down(self.first, 10)
        down.on_confirmed(10)
        assert not down.is_verified(self.first)
        down.on_confirmed(10 + RECORD_LIFETIME_S)
        assert down.is_verified(self.first)
        assert not down.down_at

    def test_later_run_is_verified(self) -> None:
        down = DownRuns()
        down.on_down(self.first, 10)
        assert down.is_verified(EndpointRun('i-1', 2))

    def test_late_news_does_not_make_it_earlier(self) -> None:
        down = DownRuns()
        down.on_down(self.first, 10)
        down.on_down(self.first, 5)
        down.on_confirmed(5 + RECORD_LIFETIME_S)
        assert not down.is_verified(self.first)


class TestOwnChoice:
    """What the home host last told holds while none answers."""

    @pytest.fixture
    def choice(self) -> LocalChoice:
        """Return a choice that the home host told of an endpoint."""
        made = LocalChoice(
            PeerRegistry(HostInfo('h1', '127.0.0.1', 1)),
            Quarantine(),
            EndpointLimits(),
        )
        made.on_available_endpoints([endpoint_spec('i-1', software='v1')])
        told = Granted(SlotKey('h1', 1), 'i-1', is_verified=False)
        made.on_home_grant(told, 10)
        return made

    def test_begun_stream(self, choice: LocalChoice) -> None:
        bound = ask(2, software='v1')
        assert isinstance(choice.choose(bound, {}, 11), Refused)
        choice.down_runs.on_confirmed(10 + RECORD_LIFETIME_S)
        assert isinstance(choice.choose(bound, {}, 15), Granted)

    def test_new_stream_begins_at_an_unknown_version(
        self, choice: LocalChoice
    ) -> None:
        granted = choice.choose(ask(2), {}, 11)
        assert isinstance(granted, Granted)
        assert not granted.is_verified

    def test_home_host_takes_it_back(self, choice: LocalChoice) -> None:
        choice.on_home_grant(Granted(SlotKey('h1', 3), 'i-1'), 12)
        granted = choice.choose(ask(2, software='v1'), {}, 13)
        assert isinstance(granted, Granted)
        assert granted.is_verified


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    yield made
    made.close()


def begin_streams(
    cluster: GatewayCluster, hosts: list[RunningHost], count: int = MANY
) -> list[threading.Thread]:
    """Begin streams at once; more than one endpoint has slots, if many."""

    def call(number: int) -> None:
        cluster.call(
            hosts[number % len(hosts)], '/chat/1', Request_Id=f'x{number}'
        )

    calls = [
        threading.Thread(target=call, args=(next(REQUEST_NUMBERS),))
        for _ in range(count)
    ]
    for thread in calls:
        thread.start()
    return calls


def end_streams(calls: list[threading.Thread]) -> None:
    for thread in calls:
        thread.join()


def see_down(
    cluster: GatewayCluster, hosts: list[RunningHost], down: PlatformEndpoint
) -> None:
    """Let an endpoint crash, and a host be refused there."""
    down.crash()
    calls = begin_streams(cluster, hosts)
    wait_for(lambda: was_down(hosts, down.name), 'a refused connection')
    end_streams(calls)


def crash_amid_streams(
    cluster: GatewayCluster,
    hosts: list[RunningHost],
    crashed: PlatformEndpoint,
    count: int = MANY,
) -> set[str]:
    """Return the streams that ran at an endpoint when it crashed."""
    before = set(crashed.runs)
    calls = begin_streams(cluster, hosts, count)
    wait_for(lambda: set(crashed.runs) - before, 'a stream')
    time.sleep(STREAMING_S)
    crashed.crash()
    end_streams(calls)
    return set(crashed.runs) - before


def break_stream(
    cluster: GatewayCluster,
    hosts: list[RunningHost],
    down: PlatformEndpoint,
    crash: Callable[[PlatformEndpoint], None] = PlatformEndpoint.crash,
) -> None:
    """Let an endpoint crash amid a stream; no other request comes."""
    for _ in range(ATTEMPTS):
        number = next(REQUEST_NUMBERS)
        with cluster.open_call(
            hosts[0], '/chat/1', Request_Id=f'x{number}'
        ) as response:
            response.read1(100)
            if f'x{number}' in down.runs:
                time.sleep(STREAMING_S)
                crash(down)
                response.read()
                return
    raise AssertionError(f'no stream began at {down.name}')


def crash_slowly(down: PlatformEndpoint) -> None:
    """Let an endpoint close its connections before its port."""
    for sock in list(down.open_sockets):
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
    time.sleep(DELAY_S / 2)
    down.crash()


class TestSigns:
    """What tells the home host that an endpoint was down."""

    @pytest.mark.parametrize('crash', [PlatformEndpoint.crash, crash_slowly])
    def test_stream_that_broke(
        self, cluster: GatewayCluster, crash: Callable[..., None]
    ) -> None:
        """No request is sent there after it, as the endpoint is avoided."""
        add_endpoints(cluster, 'v1', 'v1')
        hosts = add_hosts(cluster, 2)
        for endpoint in cluster.endpoints:
            endpoint.behaviour = stream_slowly
        down = cluster.endpoints[0]
        break_stream(cluster, hosts, down, crash)
        wait_for(lambda: was_down(hosts, down.name), 'the refusal')


class TestStoreAway:
    """The endpoint that was down is back before the store is."""

    @pytest.mark.parametrize('see', [see_down, break_stream])
    def test_streams_go_on_only_after_the_new_record(
        self, cluster: GatewayCluster, see: Callable[..., None]
    ) -> None:
        add_endpoints(cluster, 'v1', 'v1')
        hosts = add_hosts(cluster, 2)
        back, other = cluster.endpoints
        for endpoint in cluster.endpoints:
            endpoint.behaviour = stream_slowly
        see(cluster, hosts, back)
        with cluster.store.failing(503):
            back.listen()
            time.sleep(LONG_S)
            begun = crash_amid_streams(cluster, hosts, other)
            assert begun.isdisjoint(back.runs)
            other.listen()
        for endpoint in cluster.endpoints:
            cluster.register(endpoint, version='v1', born=2)
        for running in hosts:
            wait_for_run(running, 2)
        begun = crash_amid_streams(cluster, hosts, other, FEW)
        assert begun.intersection(back.runs)


def wait_for_run(running: RunningHost, started_ms: int) -> None:
    wait_for(
        lambda: all(
            load.spec.started_ms == started_ms
            for load in running.host.mesh.scheduler.available_endpoints.values()
        ),
        'the new records',
    )


def forget_down(hosts: list[RunningHost]) -> None:
    """Make the home host as one that has not heard of any refusal."""
    for running in hosts:
        scheduler = running.host.mesh.scheduler
        for load in scheduler.available_endpoints.values():
            load.down_at = -math.inf
            load.reliability = Reliability()


def silence_home(hosts: list[RunningHost]) -> None:
    """Let no home host answer, so that hosts choose endpoints themselves."""
    for running in hosts:
        client = running.host.mesh.client
        client.request_from_home = lambda *_: None  # type: ignore[method-assign]


class TestEntryHost:
    """The host that was refused knows more than its home host."""

    @pytest.fixture(params=[forget_down, silence_home])
    def hosts(
        self, cluster: GatewayCluster, request: pytest.FixtureRequest
    ) -> Iterator[list[RunningHost]]:
        """Yield hosts of which the first saw an endpoint down that is back."""
        add_endpoints(cluster, 'v1', 'v1')
        hosts = add_hosts(cluster, 2)
        back = cluster.endpoints[0]
        for endpoint in cluster.endpoints:
            endpoint.behaviour = stream_slowly
        break_stream(cluster, hosts, back)
        with cluster.store.failing(503):
            wait_for(lambda: was_down(hosts, back.name), 'the refusal')
            request.param(hosts)
            back.listen()
            yield hosts

    def test_nothing_goes_on_there(
        self, cluster: GatewayCluster, hosts: list[RunningHost]
    ) -> None:
        crash_amid_streams(cluster, hosts[:1], cluster.endpoints[1], FEW)
        assert not has_mixed(cluster)

    def test_nothing_goes_on_from_there(
        self, cluster: GatewayCluster, hosts: list[RunningHost]
    ) -> None:
        back = cluster.endpoints[0]
        back.behaviour = cut_new
        before = len(back.runs)
        end_streams(begin_streams(cluster, hosts[:1]))
        assert len(back.runs) > before
        assert not has_mixed(cluster)


def has_mixed(cluster: GatewayCluster) -> bool:
    """Return whether a stream went on at the endpoint that came back.

    Streams that broke when it was down may have gone on elsewhere.
    """
    back, other = cluster.endpoints
    return bool(set(back.runs[1:]).intersection(other.runs))


class TestOlderRecord:
    """An entry host out of step has the record of an endpoint's earlier run."""

    def test_stream_is_not_taken_for_one_of_the_earlier_version(
        self, cluster: GatewayCluster
    ) -> None:
        add_endpoints(cluster, 'v1')
        hosts = add_hosts(cluster, 2)
        entry = next(
            made for made in hosts if not made.host.mesh.peers.is_home()
        )
        home = next(made for made in hosts if made is not entry)
        entry.host.endpoint_sync.view.replica.apply = len
        endpoint = cluster.endpoints[0]
        cluster.register(endpoint, version='v2', born=2)
        wait_for(
            lambda: home.host.mesh.client.software(endpoint.name) == 'v2',
            'the record of the second run',
        )
        assert entry.host.mesh.client.software(endpoint.name) == 'v1'
        endpoint.behaviour = stream_slowly
        cluster.call(entry, '/chat/1', Request_Id='a')
        gossip = entry.host.mesh.origin_gossip
        found = gossip.origins.find(stream_key('acme', 'a'), clock.now())
        assert found is not None
        assert found.software == UNKNOWN
