"""Streams begun or taken up at hosts whose view of the versions has a hole.

The rule of ORDER: at most two streams of a run have events of two versions.
"""

import struct
import threading
import time
from collections.abc import Iterator

import pytest
from gatewaycluster import WAIT_S, RunningHost, route, wait_for
from test_outofstep import LateAnswer, LonelyCluster, cut_store
from test_streamorigins import Wire

from trefoilspool.replica import Replica
from trefoilspool.replication import PollInterval, StoreReplicationTask
from trefoilspool.routehistory import RouteServices
from trefoilspool.store import KeyedSource, Page
from trefoilspool.streamorigins import OriginQuery, OriginSource
from trefoilspool.versionhistory import MEMORY_S, ServiceVersion

SHORT_TIMEOUT_S = 1
WINDOW_S = 2 * SHORT_TIMEOUT_S
OLD = ServiceVersion('engines', 'v1')
NEW = ServiceVersion('engines', 'v2')
LONG_AGO_S = -1000.0
RENEWALS = 60
RELEASE_S = 0.3
RESTARTED_STREAMS = 12
READ_HEAD = struct.Struct('>QQ')
RECORD_HEAD = struct.Struct('>I')


@pytest.fixture
def cluster() -> Iterator[LonelyCluster]:
    made = LonelyCluster()
    yield made
    made.close()


class TestLeftTheStore:
    """Endpoints serve on for a while after the store has dropped them."""

    def test_begun_at_a_host_that_has_not_heard(
        self, cluster: LonelyCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        cluster.configure(
            2,
            routeTable=[
                route(
                    'chat',
                    'streaming',
                    streamResume=True,
                    maxAttempts=2,
                    timeoutMs=1000 * SHORT_TIMEOUT_S,
                )
            ],
        )
        cluster.start(2)
        cluster.part(monkeypatch)
        cut_store(cluster.lonely)
        first = [endpoint.name for endpoint in cluster.endpoints]
        cluster.join()
        for name in first:
            cluster.store.put('keyed.servers', name, b'')
        sound = next(
            made for made in cluster.hosts if made is not cluster.lonely
        )
        history = sound.host.mesh.origin_gossip.history
        wait_for(
            lambda: history.present() == {NEW},
            'the first version to have left',
        )
        time.sleep(WINDOW_S)
        stream = 'begun-late'
        with cluster.open_call(
            cluster.lonely, '/chat/1', Request_Id=stream
        ) as response:
            response.read1(100)
        assert cluster.version_of(stream) == 'v1'
        assert cluster.take_up(sound, stream) in ('', 'v1')


class ShortAnswers:
    """Cuts what a host reads of the endpoints' log after its first record."""

    def __init__(self, running: RunningHost) -> None:
        self.source = running.host.endpoint_sync.store_task.source
        self.send_before = self.source.send_request
        self.source.send_request = self.send_request

    def send_request(self, path: str, *arguments: object) -> object:
        answer = self.send_before(path, *arguments)
        if 'log-read' not in path or len(answer.body) <= READ_HEAD.size:
            return answer
        length = RECORD_HEAD.unpack_from(answer.body, READ_HEAD.size)[0]
        end = READ_HEAD.size + RECORD_HEAD.size + length
        return answer._replace(body=answer.body[:end])


class TestPartOfTheLog:
    """An answer of the store may end before the log does."""

    def test_second_version_is_in_a_later_part(
        self, cluster: LonelyCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        cluster.start(2)
        cluster.part(monkeypatch)
        ShortAnswers(cluster.lonely)
        for number in range(RENEWALS):
            cluster.register(cluster.endpoints[0], sequence=number)
        cluster.join()
        stream = cluster.begin_at_second_version()
        assert cluster.take_up(cluster.lonely, stream) in {'', 'v2'}

    def test_parts_are_read_one_after_another(
        self, cluster: LonelyCluster
    ) -> None:
        cluster.start(1)
        ShortAnswers(cluster.lonely)
        for number in range(RENEWALS // 10):
            cluster.register(cluster.endpoints[0], sequence=number)
        cluster.join()
        history = cluster.lonely.host.mesh.origin_gossip.history
        wait_for(lambda: NEW in history.present(), 'the second version')


class ErasSource(KeyedSource):
    """Lists no records, in the eras that it is given."""

    def __init__(self, *eras: int) -> None:
        self.eras = list(eras)

    def read_latest(self) -> Page:
        return Page((), 0, complete=True, era=self.eras.pop(0))

    def read_from(self, start: int, wait_s: float, era: int = 0) -> Page:
        return self.read_latest()


class TestEarlierEra:
    """A late answer from before the store was restored tells nothing."""

    @pytest.mark.parametrize(('second', 'reads'), [(2, 2), (1, 1)])
    def test_counts_as_no_read(self, second: int, reads: int) -> None:
        ended: list[float] = []
        task = StoreReplicationTask(
            'records',
            ErasSource(2, second),
            Replica(len),
            PollInterval(0, 0),
            threading.Event(),
            on_read=lambda: ended.append(task.read_began_at),
        )
        task.try_read()
        task.needs_full_read = True
        task.try_read()
        assert len(ended) == reads


class TestLongTimeouts:
    """A version that left is forgotten while its streams may be taken up."""

    @pytest.mark.parametrize(
        ('window_s', 'source'),
        [
            (MEMORY_S, OriginSource.only),
            (2 * MEMORY_S, OriginSource.unwatched),
        ],
    )
    def test_version_is_forgotten(
        self, window_s: float, source: OriginSource
    ) -> None:
        gossip = Wire(1).gossips['a0']
        gossip.routes.by_route['r'] = RouteServices(
            frozenset(('engines',)), LONG_AGO_S
        )
        gossip.history.update([OLD], 0)
        gossip.history.update([NEW], 1)
        now = 2 + 1.5 * MEMORY_S
        gossip.history.update([NEW], now)
        known = gossip.own_knowledge(OriginQuery(1, 'r', window_s), now)
        assert known.source is source


class TestReadThatHadBegun:
    """An answer that comes after a stream was taken up was asked before."""

    def test_does_not_confirm(
        self, cluster: LonelyCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        cluster.start(2)
        answer = LateAnswer(cluster.lonely)
        assert answer.held.wait(WAIT_S)
        cluster.part(monkeypatch)
        cluster.join()
        stream = cluster.begin_at_second_version()
        # The other hosts are asked for 0.14 s, the store for 0.4 s more.
        releaser = threading.Timer(RELEASE_S, answer.released.set)
        releaser.start()
        assert cluster.take_up(cluster.lonely, stream) in {'', 'v2'}
        releaser.join()


class TestRestartedEndpoint:
    """An endpoint is back under its id and address at another version."""

    def test_host_with_old_records(
        self, cluster: LonelyCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        cluster.start(2)
        cluster.part(monkeypatch)
        cut_store(cluster.lonely)
        again = cluster.endpoints[0]
        again.crash()
        again.listen()
        cluster.joined.add(again.name)
        cluster.register(again, version='v2', born=2)
        for number in range(RESTARTED_STREAMS):
            stream = f'restarted-{number}'
            with cluster.open_call(
                cluster.lonely, '/chat/1', Request_Id=stream
            ) as response:
                response.read1(100)
            begun = cluster.version_of(stream)
            taken_up = cluster.take_up(cluster.lonely, stream)
            assert taken_up in {'', begun}
