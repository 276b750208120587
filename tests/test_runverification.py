"""Streams go on at no endpoint that may be back as another run."""

import itertools
import math
import threading
import time
from collections.abc import Callable, Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost, wait_for
from platformendpoint import PlatformEndpoint
from test_streamversions import (
    add_endpoints,
    add_hosts,
    stream_slowly,
    was_down,
)

from trefoilspool.runverification import (
    RECORD_LIFETIME_S,
    RecordConfirmation,
    is_verified,
)

READ_EVERY_S = 1.1
# Longer than a record that is not renewed, and a read of the records.
LONG_S = RECORD_LIFETIME_S + READ_EVERY_S
STREAMS = 7
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


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    yield made
    made.close()


def begin_streams(
    cluster: GatewayCluster, hosts: list[RunningHost]
) -> list[threading.Thread]:
    """Begin more streams at once than one endpoint has slots."""

    def call(number: int) -> None:
        cluster.call(
            hosts[number % len(hosts)], '/chat/1', Request_Id=f'x{number}'
        )

    calls = [
        threading.Thread(target=call, args=(next(REQUEST_NUMBERS),))
        for _ in range(STREAMS)
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
    cluster: GatewayCluster, hosts: list[RunningHost], crashed: PlatformEndpoint
) -> set[str]:
    """Return the streams that ran at an endpoint when it crashed."""
    before = set(crashed.runs)
    calls = begin_streams(cluster, hosts)
    wait_for(lambda: set(crashed.runs) - before, 'a stream')
    time.sleep(STREAMING_S)
    crashed.crash()
    end_streams(calls)
    return set(crashed.runs) - before


def break_stream(
    cluster: GatewayCluster, hosts: list[RunningHost], down: PlatformEndpoint
) -> None:
    """Let an endpoint crash amid a stream; no other request comes."""
    for _ in range(ATTEMPTS):
        number = next(REQUEST_NUMBERS)
        with cluster.open_call(
            hosts[0], '/chat/1', Request_Id=f'x{number}'
        ) as response:
            response.read1(100)
            if f'x{number}' in down.runs:
                down.crash()
                response.read()
                return
    raise AssertionError(f'no stream began at {down.name}')


class TestSigns:
    """What tells the home host that an endpoint was down."""

    def test_stream_that_broke(self, cluster: GatewayCluster) -> None:
        """No request is sent there after it, as the endpoint is avoided."""
        add_endpoints(cluster, 'v1', 'v1')
        hosts = add_hosts(cluster, 2)
        for endpoint in cluster.endpoints:
            endpoint.behaviour = stream_slowly
        down = cluster.endpoints[0]
        break_stream(cluster, hosts, down)
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
        begun = crash_amid_streams(cluster, hosts, other)
        assert begun.intersection(back.runs)


def wait_for_run(running: RunningHost, started_ms: int) -> None:
    wait_for(
        lambda: all(
            load.spec.started_ms == started_ms
            for load in running.host.mesh.scheduler.available_endpoints.values()
        ),
        'the new records',
    )
