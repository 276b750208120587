"""Each way in which a version comes into force, against each fault on it."""

import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest
from gatewaycluster import (
    GatewayCluster,
    RunningHost,
    configuration,
    route,
    wait_for,
)
from platformstore import PlatformStore

from trefoilspool.errors import BadRecordError
from trefoilspool.settingssync import LONG_POLL_S

CONFIG_BOUND_S = 2.0
# A host is held to the bound again so long after a disturbance.
CONTACT_S = 3.0
SETTLED_S = 0.3  # for all hosts to wait for the next record
STORE_FAULTS = (503, 429, 'reset', 'silent')
HOSTS = 4
NEW_VERSION = 9


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    made.add_endpoint()
    yield made
    made.close()


@pytest.fixture
def other_store() -> Iterator[PlatformStore]:
    """Return a store for the hosts that the cluster's store turns away."""
    made = PlatformStore()
    yield made
    made.close()


def add_hosts(cluster: GatewayCluster, count: int) -> list[RunningHost]:
    """Start hosts that know each other and wait for the next version."""
    hosts = [cluster.add_host() for _ in range(count)]
    for running in hosts:
        wait_for(
            lambda peers=running.host.mesh.peers: (
                sum(map(peers.is_responsive, peers.hosts)) == count
            ),
            'heartbeats between all hosts',
        )
    time.sleep(SETTLED_S)
    return hosts


def use_store(running: RunningHost, store: PlatformStore) -> None:
    """Make a host call another store from its next call on."""
    host = running.host
    tasks = (
        host.settings_sync.store_task,
        host.endpoint_sync.store_task,
        host.discovery_task,
        host.quarantine_task,
    )
    for task in tasks:
        topic = getattr(task, 'source', None) or task.topic
        address, _, port = store.address.rpartition(':')
        topic.connection.host, topic.connection.port = address, int(port)
        connected = topic.connection.sock
        if connected is not None:
            connected.shutdown(socket.SHUT_RDWR)


def turn_away(
    running: RunningHost, store: PlatformStore, fault: int | str
) -> None:
    store.fault = fault
    use_store(running, store)


def assert_in_force(
    hosts: list[RunningHost], due: float, version: int = NEW_VERSION
) -> None:
    """Check that all hosts have a version in time."""
    for running in hosts:
        wait_for(
            lambda gateway=running.host.gateway: gateway.version >= version,
            f'version {version} at {running.options.name}',
        )
    assert time.monotonic() < due


def put_new(cluster: GatewayCluster, version: int = NEW_VERSION) -> float:
    """Publish a new version; return when it is due on all hosts."""
    cluster.configure(version)
    return time.monotonic() + CONFIG_BOUND_S


class TestWaitingRead:
    """The hosts wait for the next record when something happens."""

    @pytest.mark.parametrize('count', [1, HOSTS])
    def test_connections_that_go_silent(
        self, cluster: GatewayCluster, count: int
    ) -> None:
        hosts = add_hosts(cluster, count)
        silent_at = cluster.store.silence_connections()
        put_new(cluster)
        assert_in_force(hosts, silent_at + CONTACT_S)

    @pytest.mark.parametrize('count', [1, HOSTS])
    def test_restored_store_that_does_not_answer_the_wait(
        self, cluster: GatewayCluster, count: int
    ) -> None:
        hosts = add_hosts(cluster, count)
        backup = cluster.store.backup()
        for version in (2, 3, 4):
            cluster.configure(version)
        wait_for(
            lambda: all(host.host.gateway.version == 4 for host in hosts),
            'the versions that the restore loses',
        )
        time.sleep(SETTLED_S)
        cluster.store.wakes_at_restore = False
        restored_at = time.monotonic()
        cluster.store.restore(backup)
        put_new(cluster)
        assert_in_force(hosts, restored_at + CONTACT_S)

    @pytest.mark.parametrize('fault', STORE_FAULTS)
    def test_store_that_is_away_for_a_moment(
        self, cluster: GatewayCluster, fault: int | str
    ) -> None:
        hosts = add_hosts(cluster, 2)
        with cluster.store.failing(fault):
            cluster.store.silence_connections()
            time.sleep(1)
        back_at = time.monotonic()
        put_new(cluster)
        assert_in_force(hosts, back_at + CONTACT_S)

    def test_slow_store(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, 2)
        cluster.store.delay_s = 0.2
        assert_in_force(hosts, put_new(cluster))

    def test_history_that_is_dropped_with_changes(
        self, cluster: GatewayCluster
    ) -> None:
        """The waits hear nothing while changes are made, and are then cut."""
        hosts = add_hosts(cluster, 2)
        cluster.store.silence_connections()
        put_new(cluster)
        cluster.store.trim('keyed.op')
        time.sleep(1)
        cluster.store.put('keyed.op', 'other', {})
        assert_in_force(hosts, time.monotonic() + CONFIG_BOUND_S)

    def test_versions_in_quick_succession(
        self, cluster: GatewayCluster
    ) -> None:
        hosts = add_hosts(cluster, 2)
        for version in range(2, 30):
            cluster.configure(version)
        assert_in_force(hosts, time.monotonic() + CONFIG_BOUND_S, 29)

    def test_version_with_many_routes(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, 2)
        routes = [route(f'n{number}', 'idempotent') for number in range(3000)]
        cluster.configure(NEW_VERSION, routeTable=routes)
        assert_in_force(hosts, time.monotonic() + CONFIG_BOUND_S)

    def test_silence_of_all_after_other_hosts_were_killed(
        self, cluster: GatewayCluster
    ) -> None:
        """The hosts that read the store often are among those killed."""
        hosts = add_hosts(cluster, HOSTS + 1)
        staying = min(
            hosts,
            key=lambda running: running.host.mesh.peers.is_preferred_home(3),
        )
        for running in hosts:
            if running is not staying:
                running.stop()
        silent_at = cluster.store.silence_connections()
        put_new(cluster)
        assert_in_force([staying], silent_at + CONTACT_S)


class TestOverdueWait:
    def test_only_a_long_wait_is_ended(self, cluster: GatewayCluster) -> None:
        """A long transfer would otherwise be ended again and again."""
        sync = add_hosts(cluster, 1)[0].host.settings_sync
        ended: list[float] = []
        sync.store_task.interrupt = (  # type: ignore[method-assign]
            lambda: ended.append(sync.store_task.wait_s)
        )
        sync.end_overdue_wait(time.monotonic() + 100)
        assert not ended
        sync.store_task.wait_s = LONG_POLL_S
        sync.end_overdue_wait(time.monotonic() + 100)
        assert len(ended) == 1


class TestPeer:
    """The store turns hosts away, which read a version from a peer."""

    @pytest.mark.parametrize('fault', STORE_FAULTS)
    def test_host_that_the_store_turns_away(
        self,
        cluster: GatewayCluster,
        other_store: PlatformStore,
        fault: int | str,
    ) -> None:
        hosts = add_hosts(cluster, HOSTS)
        turn_away(hosts[-1], other_store, fault)
        assert_in_force(hosts, put_new(cluster))

    def test_all_readers_turned_away(
        self, cluster: GatewayCluster, other_store: PlatformStore
    ) -> None:
        hosts = add_hosts(cluster, HOSTS)
        for running in hosts:
            if running.host.mesh.peers.is_preferred_home(HOSTS - 1):
                turn_away(running, other_store, 503)
        time.sleep(CONTACT_S)
        assert_in_force(hosts, put_new(cluster))

    @pytest.mark.parametrize('answer', ['none', 'killed', 'spoiled', 'empty'])
    def test_peer_that_does_not_answer(
        self, cluster: GatewayCluster, other_store: PlatformStore, answer: str
    ) -> None:
        """Guards against asking the same peer again and again."""
        hosts = add_hosts(cluster, HOSTS)
        away = hosts[-1]
        turn_away(away, other_store, 'reset')
        break_peers(hosts[:-2], answer)
        assert_in_force([away], put_new(cluster))

    def test_peer_killed_after_it_announced_the_version(
        self, cluster: GatewayCluster, other_store: PlatformStore
    ) -> None:
        hosts = add_hosts(cluster, HOSTS)
        away = hosts[-1]
        turn_away(away, other_store, 'reset')
        due = put_new(cluster)
        for running in hosts[:-2]:
            wait_for(
                lambda gateway=running.host.gateway: (
                    gateway.version == NEW_VERSION
                ),
                'the version at a peer',
            )
            running.stop()
        assert_in_force([away], due)

    def test_lost_datagrams(
        self, cluster: GatewayCluster, other_store: PlatformStore
    ) -> None:
        hosts = add_hosts(cluster, HOSTS)
        turn_away(hosts[-1], other_store, 'reset')
        for running in hosts:
            lose_every_third(running)
        assert_in_force(hosts, put_new(cluster))

    def test_host_cut_off_from_its_peers(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, HOSTS)
        for running in hosts:
            running.cut_datagrams()
        silent_at = cluster.store.silence_connections()
        put_new(cluster)
        assert_in_force(hosts, silent_at + CONTACT_S)

    def test_older_version_of_a_peer_changes_nothing(
        self, cluster: GatewayCluster, other_store: PlatformStore
    ) -> None:
        hosts = add_hosts(cluster, 2)
        assert_in_force(hosts, put_new(cluster))
        content = hosts[0].host.settings_sync.content
        hosts[0].host.settings_sync.content = b'{"version": 1}'
        hosts[1].host.settings_sync.fetch_from(hosts[0].host.mesh.peers.own)
        assert hosts[1].host.gateway.version == NEW_VERSION
        hosts[0].host.settings_sync.content = content


class TestFirstRead:
    """A host starts."""

    @pytest.mark.parametrize('fault', STORE_FAULTS)
    def test_store_that_answers_only_after_a_while(
        self, cluster: GatewayCluster, fault: int | str
    ) -> None:
        cluster.configure(NEW_VERSION)
        cluster.store.fault = fault
        running = start_host(cluster)
        time.sleep(1)
        cluster.store.fault = 0
        assert_in_force([running], time.monotonic() + CONTACT_S)

    def test_store_that_is_away_is_replaced_by_a_peer(
        self, cluster: GatewayCluster, other_store: PlatformStore
    ) -> None:
        hosts = add_hosts(cluster, 2)
        assert_in_force(hosts, put_new(cluster))
        address, cluster.store.address = (
            cluster.store.address,
            other_store.address,
        )
        other_store.fault = 'silent'
        running = start_host(cluster)
        cluster.store.address = address
        assert_in_force([running], time.monotonic() + CONTACT_S)

    def test_record_that_is_spoiled_once(self, cluster: GatewayCluster) -> None:
        cluster.configure(NEW_VERSION)
        cluster.store.spoiled_reads = 1
        assert_in_force([start_host(cluster)], time.monotonic() + CONTACT_S)

    def test_slow_store(self, cluster: GatewayCluster) -> None:
        cluster.configure(NEW_VERSION)
        cluster.store.delay_s = 0.2
        assert_in_force([start_host(cluster)], time.monotonic() + CONTACT_S)

    def test_trimmed_history(self, cluster: GatewayCluster) -> None:
        cluster.configure(NEW_VERSION)
        cluster.store.trim('keyed.op')
        running = start_host(cluster)
        assert_in_force([running], time.monotonic() + CONTACT_S)
        cluster.configure(NEW_VERSION + 1)
        due = time.monotonic() + CONFIG_BOUND_S
        assert_in_force([running], due, NEW_VERSION + 1)

    def test_copy_with_an_older_version(self, cluster: GatewayCluster) -> None:
        """A host that starts reads the newer version from a peer."""
        hosts = add_hosts(cluster, 2)
        backup = cluster.store.backup()
        assert_in_force(hosts, put_new(cluster))
        cluster.store.restore(backup)
        running = start_host(cluster)
        assert_in_force([running], time.monotonic() + CONTACT_S)


class TestRestoredStore:
    """The store comes back from a copy some seconds old."""

    def test_version_written_again_below_the_offset_read(
        self, cluster: GatewayCluster
    ) -> None:
        hosts = add_hosts(cluster, 2)
        backup = cluster.store.backup()
        for version in range(2, 6):
            assert_in_force(hosts, put_new(cluster, version), version)
        cluster.store.restore(backup)
        put_new(cluster, 5)
        assert_in_force(hosts, put_new(cluster))

    def test_two_restores(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, 2)
        backup = cluster.store.backup()
        assert_in_force(hosts, put_new(cluster, 3), 3)
        for version in (4, 5):
            cluster.store.restore(backup)
            time.sleep(SETTLED_S)
            assert_in_force(hosts, put_new(cluster, version), version)

    @pytest.mark.parametrize('fault', STORE_FAULTS)
    def test_store_that_is_away_before(
        self, cluster: GatewayCluster, fault: int | str
    ) -> None:
        hosts = add_hosts(cluster, 2)
        backup = cluster.store.backup()
        assert_in_force(hosts, put_new(cluster, 3), 3)
        with cluster.store.failing(fault):
            cluster.store.silence_connections()
            time.sleep(1)
            cluster.store.restore(backup)
        back_at = time.monotonic()
        put_new(cluster)
        assert_in_force(hosts, back_at + CONTACT_S)

    def test_record_that_is_spoiled_once(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, 1)
        backup = cluster.store.backup()
        assert_in_force(hosts, put_new(cluster, 3), 3)
        cluster.store.spoiled_reads = 2
        cluster.store.restore(backup)
        restored_at = time.monotonic()
        put_new(cluster)
        assert_in_force(hosts, restored_at + CONTACT_S)

    def test_all_hosts_killed_with_it(self, cluster: GatewayCluster) -> None:
        hosts = add_hosts(cluster, 2)
        backup = cluster.store.backup()
        assert_in_force(hosts, put_new(cluster, 3), 3)
        for running in hosts:
            running.stop()
        cluster.store.restore(backup)
        cluster.configure(NEW_VERSION)
        again = [cluster.restart_host(running) for running in hosts]
        assert_in_force(again, time.monotonic() + CONTACT_S)


class TestDecoder:
    """A record that cannot be decoded, or whose use fails."""

    def test_record_that_is_spoiled_once_on_a_waiting_read(
        self, cluster: GatewayCluster
    ) -> None:
        hosts = add_hosts(cluster, 1)
        cluster.store.spoiled_reads = 1
        assert_in_force(hosts, put_new(cluster))

    def test_newer_version_after_one_that_cannot_be_decoded(
        self, cluster: GatewayCluster
    ) -> None:
        hosts = add_hosts(cluster, 1)
        cluster.store.put('keyed.op', 'config', b'{"version": ')
        time.sleep(1)
        assert_in_force(hosts, put_new(cluster))

    def test_record_that_stays_spoiled_is_read_seldom(
        self, cluster: GatewayCluster
    ) -> None:
        add_hosts(cluster, 1)
        cluster.store.put('keyed.op', 'config', b'{"version": ')
        time.sleep(3)
        calls = cluster.store.calls
        time.sleep(2)
        assert cluster.store.calls - calls < 12

    @pytest.mark.parametrize('error', [BadRecordError, ValueError, KeyError])
    def test_decoder_that_fails_once(
        self, cluster: GatewayCluster, error: type[Exception]
    ) -> None:
        running = add_hosts(cluster, 1)[0]
        fail_once(running, error)
        assert_in_force([running], put_new(cluster))

    def test_use_that_fails_once(self, cluster: GatewayCluster) -> None:
        """A version that only a part of the host has taken is not in force."""
        running = add_hosts(cluster, 1)[0]
        directory = running.host.directory
        apply = directory.on_configuration

        def fail(configuration: object) -> None:
            directory.on_configuration = apply  # type: ignore[method-assign]
            raise RuntimeError('the directory failed')

        directory.on_configuration = fail  # type: ignore[method-assign]
        assert_in_force([running], put_new(cluster))
        current = directory.configuration
        assert current is not None
        assert current.version == NEW_VERSION

    @pytest.mark.parametrize(
        'changes',
        [
            {'priority': None},
            {'maxAttempts': None},
            {'anonymous': None},
            {'timeoutMs': 5000.5},
            {'priority': 1.0},
            {
                'weightedBackends': [
                    {'backend': 'engines', 'weight': 0.25},
                    {'backend': 'engines', 'weight': 0.75},
                ]
            },
            {'weightedBackends': None},
            {'unknown': {'a': [1]}},
        ],
        ids=(
            'no-rank',
            'no-attempts',
            'no-anonymous',
            'fraction-of-a-time',
            'whole-as-a-fraction',
            'fractions-as-weights',
            'no-weights',
            'unknown-field',
        ),
    )
    def test_forms_of_a_route(
        self, cluster: GatewayCluster, changes: dict[str, object]
    ) -> None:
        hosts = add_hosts(cluster, 1)
        routes = [route('new', 'idempotent', **changes)]
        cluster.configure(NEW_VERSION, routeTable=routes)
        assert_in_force(hosts, time.monotonic() + CONFIG_BOUND_S)

    @pytest.mark.parametrize(
        'changes',
        [
            {'limits': None},
            {'tenants': None},
            {'tenants': [{'name': 'acme', 'apiKeys': None, 'burst': None}]},
            {'backends': [{'name': 'engines'}]},
            {
                'backends': [
                    {'name': 'engines', 'healthPath': '/h', 'engine': {}}
                ]
            },
        ],
        ids=(
            'no-limits',
            'no-workspaces',
            'no-keys',
            'no-health-path',
            'no-engine-fields',
        ),
    )
    def test_forms_of_a_configuration(
        self, cluster: GatewayCluster, changes: dict[str, object]
    ) -> None:
        hosts = add_hosts(cluster, 1)
        cluster.configure(NEW_VERSION, **changes)
        assert_in_force(hosts, time.monotonic() + CONFIG_BOUND_S)

    def test_invalid_version_is_not_taken(
        self, cluster: GatewayCluster
    ) -> None:
        running = add_hosts(cluster, 1)[0]
        for invalid in ('7', True, None, -1, 2.5, 1e300):
            document = {**configuration(2), 'version': invalid}
            cluster.store.put('keyed.op', 'config', document)
        time.sleep(1)
        assert running.host.gateway.version == 1


def start_host(cluster: GatewayCluster) -> RunningHost:
    """Start a host without waiting until it is ready."""
    running = RunningHost(cluster, len(cluster.hosts) + 1)
    cluster.hosts.append(running)
    return running


def break_peers(hosts: list[RunningHost], answer: str) -> None:
    """Make hosts announce versions whose content they do not return."""
    for running in hosts:
        if answer == 'killed':
            running.server.close()
            continue
        contents = {'spoiled': b'{"version": 9, ', 'empty': b'', 'none': b''}
        replace_page(running, contents[answer], silent=answer == 'none')


def replace_page(running: RunningHost, content: bytes, *, silent: bool) -> None:
    """Replace the page from which peers read the version."""
    application = running.application
    page = application.configuration
    response = page('')

    def respond(query: str) -> object:
        if silent:
            time.sleep(CONFIG_BOUND_S)
        return response._replace(
            headers=(('Content-Length', str(len(content))),),
            chunks=iter((content,)),
        )

    key = next(at for at, known in application.pages.items() if known == page)
    application.pages[key] = respond


def lose_every_third(running: RunningHost) -> None:
    """Drop every third datagram that a host sends."""
    sender = running.host.mesh.sender
    send = sender.send
    count = 0
    lock = threading.Lock()

    def send_some(address: str, datagram: object) -> None:
        nonlocal count
        with lock:
            count += 1
            is_lost = not count % 3
        if not is_lost:
            send(address, datagram)

    sender.send = send_some  # type: ignore[method-assign]


def fail_once(running: RunningHost, error: type[Exception]) -> None:
    """Make a host's decoder fail for the next record."""
    platform = running.host.platform
    decode: Callable[[bytes], object] = platform.decode_configuration

    def fail(content: bytes) -> object:
        platform.decode_configuration = decode
        if error is BadRecordError:
            raise BadRecordError('config', '', content, 'whole')
        raise error('the decoder failed')

    platform.decode_configuration = fail
