"""Streams go on only at the software version that began them."""

import itertools
import json
import threading
import time
from collections.abc import Iterator

import pytest
from gatewaycluster import (
    CallerResponse,
    GatewayCluster,
    RunningHost,
    configuration,
    route,
    wait_for,
)
from platformendpoint import PlatformEndpoint, ServedRequest

from trefoilspool import origintelling
from trefoilspool.paths import relayclient
from trefoilspool.streamorigins import stream_key

ALL_EVENTS = [0, 1, 2, 3, 4]
VERSIONS = ('v1', 'v2')


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    yield made
    made.close()


def numbers(body: bytes) -> list[int]:
    return [
        int(event.split(b'\n')[0].removeprefix(b'id: '))
        for event in body.split(b'\n\n')
        if event
    ]


def cut_new(served: ServedRequest) -> None:
    """Cut a new stream after two events; stream the rest of a resumed one."""
    if 'last-event-id' in served.request.headers:
        served.stream()
        return
    served.start_stream()
    served.event(0)
    served.event(1)
    served.reset()


def cut_always(served: ServedRequest) -> None:
    """Cut a stream after the next two events."""
    first = int(served.request.headers.get('last-event-id', -1)) + 1
    served.start_stream()
    served.event(first)
    served.event(first + 1)
    served.reset()


def pause_new(served: ServedRequest) -> None:
    """Fall silent after two events of a new stream."""
    if 'last-event-id' in served.request.headers:
        served.stream()
        return
    served.start_stream()
    served.event(0)
    served.event(1)
    served.client_disconnected()


def stream_slowly(served: ServedRequest) -> None:
    """Stream for about two seconds."""
    first = int(served.request.headers.get('last-event-id', -1)) + 1
    served.start_stream()
    for number in range(first, 5):
        served.event(number)
        time.sleep(0.4)
    served.end_stream()


def stream_briefly(served: ServedRequest) -> None:
    """Stream for about a third of a second."""
    first = int(served.request.headers.get('last-event-id', -1)) + 1
    served.start_stream()
    for number in range(first, 5):
        served.event(number)
        time.sleep(0.05)
    served.end_stream()


def add_endpoints(cluster: GatewayCluster, *versions: object) -> None:
    for version in versions:
        cluster.add_endpoint(version=version)


def add_hosts(cluster: GatewayCluster, count: int) -> list[RunningHost]:
    hosts = [cluster.add_host() for _ in range(count)]
    for running in hosts:
        wait_for(
            lambda peers=running.host.mesh.peers: (
                sum(map(peers.is_responsive, peers.hosts)) == count
            ),
            'heartbeats between all hosts',
        )
        cluster.wait_for_endpoints(running, len(cluster.endpoints))
    return hosts


def began_at(cluster: GatewayCluster, request_id: str) -> PlatformEndpoint:
    """Return the endpoint that ran a request."""
    return next(
        endpoint
        for endpoint in cluster.endpoints
        if request_id in endpoint.runs
    )


def take_up(
    cluster: GatewayCluster,
    running: RunningHost,
    resumes: str,
    last_event: int = 1,
    request_id: str = 'again',
) -> CallerResponse:
    """Take up a stream, as its caller does after a broken connection."""
    return cluster.call(
        running,
        '/chat/1',
        Request_Id=request_id,
        Resumes=resumes,
        Last_Event_Id=str(last_event),
    )


class TestOwnResumption:
    """The host resumes a stream that its endpoint has cut."""

    @pytest.mark.parametrize('turn', range(4))
    def test_stream_goes_on_at_its_version(
        self, cluster: GatewayCluster, turn: int
    ) -> None:
        add_endpoints(cluster, 'v1', 'v1', 'v2', 'v2', 'v2', 'v2')
        for endpoint in cluster.endpoints:
            endpoint.behaviour = cut_new
        running = add_hosts(cluster, 1)[0]
        response = cluster.call(running, '/chat/1', Request_Id='a')
        assert numbers(response.body) == ALL_EVENTS
        assert versions_of(cluster, 'a') in ({'v1'}, {'v2'})

    def test_no_endpoint_of_the_version_is_left(
        self, cluster: GatewayCluster
    ) -> None:
        add_endpoints(cluster, *VERSIONS)
        for endpoint in cluster.endpoints:
            endpoint.behaviour = cut_new
        running = add_hosts(cluster, 1)[0]
        response = cluster.call(running, '/chat/1', Request_Id='a')
        assert not response.complete
        assert numbers(response.body) == [0, 1]
        assert len(versions_of(cluster, 'a')) == 1

    def test_silent_endpoint_is_replaced_by_one_of_its_version(
        self, cluster: GatewayCluster
    ) -> None:
        add_endpoints(cluster, 'v1', 'v1', 'v2', 'v2', 'v2', 'v2')
        for endpoint in cluster.endpoints:
            endpoint.behaviour = pause_new
        running = add_hosts(cluster, 1)[0]
        response = cluster.call(running, '/chat/1', Request_Id='a')
        assert numbers(response.body) == ALL_EVENTS
        assert len(versions_of(cluster, 'a')) == 1

    def test_record_without_a_version(self, cluster: GatewayCluster) -> None:
        """Two endpoints without a version may have different ones."""
        add_endpoints(cluster, None, None, 7)
        for endpoint in cluster.endpoints:
            endpoint.behaviour = cut_new
        running = add_hosts(cluster, 1)[0]
        response = cluster.call(running, '/chat/1', Request_Id='a')
        assert not response.complete
        assert sum('a' in made.runs for made in cluster.endpoints) == 1

    def test_stream_cut_twice(self, cluster: GatewayCluster) -> None:
        cluster.configure(
            2, routeTable=[chat_route(maxAttempts=4)], tenants=None
        )
        add_endpoints(cluster, 'v1', 'v2', 'v1', 'v2', 'v1', 'v2')
        for endpoint in cluster.endpoints:
            endpoint.behaviour = cut_always
        running = add_hosts(cluster, 1)[0]
        response = cluster.call(running, '/chat/1', Request_Id='a')
        assert len(numbers(response.body)) == 6
        assert len(versions_of(cluster, 'a')) == 1

    def test_endpoint_back_under_its_name_with_another_version(
        self, cluster: GatewayCluster
    ) -> None:
        add_endpoints(cluster, 'v1')
        first = cluster.endpoints[0]
        running = add_hosts(cluster, 1)[0]

        def cut_and_return(served: ServedRequest) -> None:
            if 'last-event-id' in served.request.headers:
                served.stream()
                return
            served.start_stream()
            served.event(0)
            cluster.register(first, version='v2', born=2)
            wait_for(
                lambda: running.host.directory.endpoints['i-1'].started_ms == 2,
                'the new registration',
            )
            served.reset()

        first.behaviour = cut_and_return
        response = cluster.call(running, '/chat/1', Request_Id='a')
        assert not response.complete
        assert first.runs == ['a']


class TestShare:
    """Of the streams that callers take up, half as many go on as new begin."""

    streams = 24

    @pytest.mark.parametrize('killed', ['none', 'first', 'home', 'both'])
    def test_streams_go_on(self, cluster: GatewayCluster, killed: str) -> None:
        add_endpoints(cluster, *(VERSIONS * 2))
        for endpoint in cluster.endpoints:
            endpoint.behaviour = stream_briefly
        hosts = add_hosts(cluster, 5)
        home = next(made for made in hosts if made.host.mesh.peers.is_home())
        others = [running for running in hosts if running is not home]
        for number in range(self.streams):
            with cluster.open_call(
                others[0], '/chat/1', Request_Id=f'a{number}'
            ) as response:
                response.read1(100)
        stopped = {'none': [], 'first': others[:1], 'home': [home]}
        for running in stopped.get(killed, [home, others[0]]):
            running.stop()
        statuses = []
        for number in range(self.streams):
            again = f'b{number}'
            statuses.append(
                take_up(
                    cluster, others[1], f'a{number}', request_id=again
                ).status
            )
            if statuses[-1] == 200:
                ran = began_at(cluster, f'a{number}'), began_at(cluster, again)
                assert len({version_of(cluster, made) for made in ran}) == 1
        assert statuses.count(200) * 2 >= self.streams


class TestCallerResumption:
    """A caller takes a stream up after its connection was cut."""

    def prepare(
        self, cluster: GatewayCluster, hosts: int, per_version: int = 2
    ) -> list[RunningHost]:
        add_endpoints(cluster, *(VERSIONS * per_version))
        return add_hosts(cluster, hosts)

    def begin(
        self, cluster: GatewayCluster, running: RunningHost, request_id: str
    ) -> PlatformEndpoint:
        """Read the first event of a stream; return its endpoint."""
        for endpoint in cluster.endpoints:
            endpoint.behaviour = stream_slowly
        with cluster.open_call(
            running, '/chat/1', Request_Id=request_id
        ) as response:
            response.read1(100)
        return began_at(cluster, request_id)

    def assert_goes_on(
        self,
        cluster: GatewayCluster,
        running: RunningHost,
        first: PlatformEndpoint,
        request_id: str = 'again',
        resumes: str = 'a',
    ) -> None:
        response = take_up(cluster, running, resumes, request_id=request_id)
        assert response.status == 200
        assert numbers(response.body) == [2, 3, 4]
        second = began_at(cluster, request_id)
        assert version_of(cluster, second) == version_of(cluster, first)

    @pytest.mark.parametrize('turn', range(3))
    def test_at_the_same_host(self, cluster: GatewayCluster, turn: int) -> None:
        running = self.prepare(cluster, 1)[0]
        first = self.begin(cluster, running, 'a')
        self.assert_goes_on(cluster, running, first)

    @pytest.mark.parametrize('turn', range(3))
    def test_at_another_host(self, cluster: GatewayCluster, turn: int) -> None:
        hosts = self.prepare(cluster, 3)
        first = self.begin(cluster, hosts[0], 'a')
        self.assert_goes_on(cluster, hosts[1], first)

    @pytest.mark.parametrize('turn', range(3))
    def test_host_that_began_it_is_killed(
        self, cluster: GatewayCluster, turn: int
    ) -> None:
        hosts = self.prepare(cluster, 4)
        first = self.begin(cluster, hosts[turn], 'a')
        hosts[turn].stop()
        self.assert_goes_on(cluster, hosts[turn - 1], first)

    @pytest.mark.parametrize('turn', range(3))
    def test_home_host_is_killed_with_it(
        self, cluster: GatewayCluster, turn: int
    ) -> None:
        hosts = self.prepare(cluster, 5)
        home = next(
            running for running in hosts if running.host.mesh.peers.is_home()
        )
        others = [running for running in hosts if running is not home]
        first = self.begin(cluster, others[turn], 'a')
        others[turn].stop()
        home.stop()
        self.assert_goes_on(cluster, others[turn - 1], first)

    def test_most_hosts_are_killed(self, cluster: GatewayCluster) -> None:
        """None goes on at another version, and half of them go on."""
        hosts = self.prepare(cluster, 6)
        begun = {
            f'a{number}': self.begin(cluster, hosts[number % 4], f'a{number}')
            for number in range(12)
        }
        for running in hosts[:4]:
            running.stop()
        going_on = 0
        for request_id, first in begun.items():
            again = f'{request_id}-again'
            response = take_up(cluster, hosts[4], request_id, request_id=again)
            if response.status == 503:
                assert not any(again in at.runs for at in cluster.endpoints)
                continue
            second = began_at(cluster, again)
            assert version_of(cluster, second) == version_of(cluster, first)
            going_on += 1
        assert going_on * 2 >= len(begun)

    def test_resumed_twice(self, cluster: GatewayCluster) -> None:
        hosts = self.prepare(cluster, 4)
        first = self.begin(cluster, hosts[0], 'a')
        hosts[0].stop()
        with cluster.open_call(
            hosts[1],
            '/chat/1',
            Request_Id='b',
            Resumes='a',
            Last_Event_Id='0',
        ) as response:
            response.read1(100)
        hosts[1].stop()
        second = began_at(cluster, 'b')
        assert version_of(cluster, second) == version_of(cluster, first)
        self.assert_goes_on(cluster, hosts[2], first, 'c')

    def test_stream_begun_before_the_second_version_came(
        self, cluster: GatewayCluster
    ) -> None:
        add_endpoints(cluster, 'v1', 'v1')
        hosts = add_hosts(cluster, 4)
        first = self.begin(cluster, hosts[0], 'a')
        add_endpoints(cluster, 'v2', 'v2', 'v2', 'v2')
        for running in hosts:
            cluster.wait_for_endpoints(running, len(cluster.endpoints))
        time.sleep(0.5)
        hosts[0].stop()
        for endpoint in cluster.endpoints:
            endpoint.behaviour = stream_slowly
        self.assert_goes_on(cluster, hosts[1], first)

    def begin_while_one_version_serves(
        self, cluster: GatewayCluster
    ) -> tuple[list[RunningHost], PlatformEndpoint]:
        """Begin a stream at the first of four hosts that have run for long."""
        add_endpoints(cluster, 'v1', 'v1')
        hosts = add_hosts(cluster, 4)
        for running in hosts:
            running.run_for_long()
        return hosts, self.begin(cluster, hosts[0], 'a')

    @pytest.mark.parametrize('fault', ['stopped', 'cut'])
    def test_host_is_lost_before_the_second_version_comes(
        self, cluster: GatewayCluster, fault: str
    ) -> None:
        hosts, first = self.begin_while_one_version_serves(cluster)
        wait_until_known(hosts[1:], 'a')
        if fault == 'stopped':
            stop_for_good(hosts[0])
        else:
            hosts[0].cut_datagrams()
        add_endpoints(cluster, 'v2', 'v2', 'v2', 'v2')
        for running in hosts[1:]:
            cluster.wait_for_endpoints(running, len(cluster.endpoints))
        for endpoint in cluster.endpoints:
            endpoint.behaviour = stream_slowly
        self.assert_goes_on(cluster, hosts[1], first)

    def test_host_is_lost_after_its_route_was_split(
        self, cluster: GatewayCluster
    ) -> None:
        hosts, first = self.begin_while_one_version_serves(cluster)
        wait_until_known(hosts[1:], 'a')
        split_route(cluster, hosts)
        stop_for_good(hosts[0])
        self.assert_goes_on(cluster, hosts[1], first)

    def test_route_is_split_before_streams_are_told(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(origintelling, 'TELL_AFTER_S', 3600.0)
        hosts, first = self.begin_while_one_version_serves(cluster)
        split_route(cluster, hosts)
        wait_until_known(hosts[1:], 'a')
        stop_for_good(hosts[0])
        self.assert_goes_on(cluster, hosts[1], first)

    def test_host_alone_has_only_one_version(
        self, cluster: GatewayCluster
    ) -> None:
        """While one version serves, a stream whose beginning is lost goes on."""
        add_endpoints(cluster, 'v1', 'v1')
        hosts = add_hosts(cluster, 3)
        first = self.begin(cluster, hosts[0], 'a')
        hosts[0].stop()
        assert take_up(cluster, hosts[1], '').status == 503
        # One other host has run for long enough.
        hosts[2].run_for_long()
        self.assert_goes_on(cluster, hosts[1], first, resumes='')

    @pytest.mark.parametrize(
        ('changed', 'status'),
        [
            ('', 200),
            ('other', 200),
            ('version', 503),
            ('passing', 503),
            ('route', 503),
            ('passing route', 503),
        ],
    )
    def test_all_hosts_are_killed(
        self, cluster: GatewayCluster, changed: str, status: int
    ) -> None:
        """The store has the versions that the hosts have seen."""
        add_endpoints(cluster, 'v1', 'v1')
        hosts = add_hosts(cluster, 2)
        first = self.begin(cluster, hosts[0], 'a')
        for running in hosts:
            running.run_for_long()
        # Written before, when the hosts were young.
        cluster.store.topics.pop('keyed.versions', None)
        for running in hosts:
            running.host.version_task.on_store_restored()
        wait_for(
            lambda: cluster.store.topic('keyed.versions').records,
            'the versions in the store',
        )
        for running in hosts:
            running.stop()
        change_beside(cluster, changed)
        again = [cluster.restart_host(running) for running in hosts]
        wait_for(
            lambda: all(made.host.version_task.was_read for made in again),
            'the versions to be read',
        )
        assert take_up(cluster, again[1], '').status == status
        if status == 200:
            second = began_at(cluster, 'again')
            assert version_of(cluster, second) == version_of(cluster, first)

    @pytest.mark.parametrize('resumes', ['', 'unheard-of'])
    def test_unknown_beginning_is_refused(
        self, cluster: GatewayCluster, resumes: str
    ) -> None:
        """A stream whose version is not known goes on nowhere."""
        running = self.prepare(cluster, 2)[1]
        response = take_up(cluster, running, resumes)
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
        assert not any(endpoint.runs for endpoint in cluster.endpoints)

    def test_no_endpoint_of_the_version_is_left(
        self, cluster: GatewayCluster
    ) -> None:
        hosts = self.prepare(cluster, 2)
        first = self.begin(cluster, hosts[0], 'a')
        version = version_of(cluster, first)
        for endpoint in cluster.endpoints:
            if version_of(cluster, endpoint) == version:
                cluster.register(endpoint, version=version, state='draining')
        wait_for(
            lambda: all(
                len(running.host.directory.published) == 2 for running in hosts
            ),
            'the endpoints to be dropped',
        )
        assert take_up(cluster, hosts[1], 'a').status == 503

    def test_home_host_cannot_be_asked(self, cluster: GatewayCluster) -> None:
        """A host that chooses endpoints itself keeps to the version."""
        hosts = self.prepare(cluster, 2)
        first = self.begin(cluster, hosts[0], 'a')
        client = hosts[0].host.mesh.client
        client.request_from_home = lambda *_: None  # type: ignore[method-assign]
        for turn in range(4):
            self.assert_goes_on(cluster, hosts[0], first, f'again-{turn}')

    def test_lost_datagrams(self, cluster: GatewayCluster) -> None:
        hosts = self.prepare(cluster, 5)
        for running in hosts:
            lose_every_fourth(running)
        for turn in range(4):
            first = self.begin(cluster, hosts[0], f'a{turn}')
            response = take_up(
                cluster, hosts[1], f'a{turn}', request_id=f'b{turn}'
            )
            assert response.status == 200
            second = began_at(cluster, f'b{turn}')
            assert version_of(cluster, second) == version_of(cluster, first)

    def test_endpoint_back_under_its_name_before_its_record(
        self, cluster: GatewayCluster
    ) -> None:
        """An endpoint that has just been down may have come back as another."""
        hosts = self.prepare(cluster, 2, per_version=1)
        first = self.begin(cluster, hosts[0], 'a')
        first.crash()
        numbered = itertools.count()

        def call() -> None:
            cluster.call(hosts[0], '/chat/1', Request_Id=f'x{next(numbered)}')

        # More at once than the other endpoint has slots.
        for _ in range(6):
            threading.Thread(target=call, daemon=True).start()
        wait_for(
            lambda: was_down(hosts, first.name),
            'a connection that the endpoint refuses',
        )
        first.listen()
        assert take_up(cluster, hosts[1], 'a').status == 503
        assert 'again' not in first.runs

    def test_endpoint_back_while_no_other_host_tells(
        self, cluster: GatewayCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """That a host is refused must count while no other confirms it."""

        def unanswered(*_: object) -> None:
            raise TimeoutError

        monkeypatch.setattr(relayclient, 'exchange', unanswered)
        self.test_endpoint_back_under_its_name_before_its_record(cluster)


def change_beside(cluster: GatewayCluster, changed: str) -> None:
    """Change something while no host runs."""
    if changed == 'version':
        for endpoint in cluster.endpoints:
            cluster.register(endpoint, version='v2', born=2)
    if changed == 'passing':
        endpoint = cluster.add_endpoint(version='v2')
        cluster.store.put('keyed.servers', endpoint.name, b'')
    if changed == 'other':
        routes = configuration()['routeTable']
        assert isinstance(routes, list)
        added = {**chat_route(), 'name': 'r-more', 'pathPrefix': '/more/'}
        cluster.configure(2, routeTable=[*routes, added])
    if changed in {'route', 'passing route'}:
        services = [
            {'name': name, 'healthPath': '/h'} for name in ('engines', 'new')
        ]
        cluster.configure(
            2,
            routeTable=[chat_route(backend='new'), route('x', 'idempotent')],
            backends=services,
        )
        cluster.store.put(
            'keyed.servers',
            'i-9',
            cluster.endpoints[0].record('new', version='v1'),
        )
    if changed == 'passing route':
        cluster.configure(3)


def split_route(cluster: GatewayCluster, hosts: list[RunningHost]) -> None:
    """Split the route between two services; wait until it is in force."""
    weights = [{'backend': name, 'weight': 1} for name in ('engines', 'new')]
    services = [
        {'name': name, 'healthPath': '/h'} for name in ('engines', 'new')
    ]
    cluster.configure(
        2,
        routeTable=[chat_route(weightedBackends=weights)],
        backends=services,
    )
    for running in hosts:
        wait_for(
            lambda gateway=running.host.gateway: gateway.version == 2,
            'the configuration',
        )


def wait_until_known(hosts: list[RunningHost], request_id: str) -> None:
    """Wait until hosts have a record of a stream."""
    key = stream_key('acme', request_id)
    for running in hosts:
        origins = running.host.mesh.origin_gossip.origins
        wait_for(
            lambda known=origins.by_stream: key in known,
            f'a record of the stream at {running.address}',
        )


def stop_for_good(running: RunningHost) -> None:
    """Stop a host; wait until it answers no datagram any more."""
    running.stop()
    wait_for(running.is_stopped, 'the end of the host')


def chat_route(**changes: object) -> dict[str, object]:
    return route(
        'chat', 'streaming', streamResume=True, anonymous=True, **changes
    )


def version_of(cluster: GatewayCluster, endpoint: PlatformEndpoint) -> object:
    """Return the version in an endpoint's latest record."""
    found = [
        content
        for key, content in cluster.store.topic('keyed.servers').records
        if key == endpoint.name
    ]
    return json.loads(found[-1])['version']


def versions_of(cluster: GatewayCluster, request_id: str) -> set[object]:
    """Return the versions that ran a request."""
    return {
        version_of(cluster, endpoint)
        for endpoint in cluster.endpoints
        if request_id in endpoint.runs
    }


def was_down(hosts: list[RunningHost], endpoint: str) -> bool:
    """Return whether the home host knows that an endpoint was down."""
    home = next(made for made in hosts if made.host.mesh.peers.is_home())
    load = home.host.mesh.scheduler.available_endpoints[endpoint]
    return load.down_at > 0


def lose_every_fourth(running: RunningHost) -> None:
    """Drop every fourth datagram that a host sends."""
    sender = running.host.mesh.sender
    send = sender.send
    counts = itertools.count(1)
    lock = threading.Lock()

    def send_some(address: str, datagram: object) -> None:
        with lock:
            is_lost = not next(counts) % 4
        if not is_lost:
            send(address, datagram)

    sender.send = send_some  # type: ignore[method-assign]
