"""Endpoints that name the most requests a second they take from all hosts."""

import time
from collections.abc import Iterator

import pytest
from gatewaycluster import RunningHost, wait_for
from limitedworld import NOTICE_S, LimitedWorld, allowed

LIMIT = 3.0
MIN_ANSWERED_SHARE = 0.95


@pytest.fixture
def world() -> Iterator[LimitedWorld]:
    made = LimitedWorld()
    yield made
    made.close()


def check_obeyed(
    world: LimitedWorld, limit: float = LIMIT, seconds: float = 5
) -> None:
    """Check the requests from when hosts know a limit."""
    began_at = world.observe(seconds)
    assert world.most_in_window(began_at) <= allowed(limit)


class TestLimitInAnswers:
    """Each kind of answer may name a limit."""

    @pytest.mark.parametrize('path', ['/look/1', '/book/1', '/chat/1'])
    @pytest.mark.parametrize('status', [200, 500, 503])
    def test_endpoint_gets_more_than_it_has_named(
        self, world: LimitedWorld, path: str, status: int
    ) -> None:
        world.add_hosts(3)
        world.status = status
        world.name_limit(str(LIMIT))
        world.send_all(path)
        world.wait_for_arrival()
        world.observe(NOTICE_S)
        check_obeyed(world)
        if status == 200:
            assert world.answered_share(0) >= MIN_ANSWERED_SHARE


class TestValues:
    """The limit changes, ends, is tiny or no number."""

    def test_lower_limit_is_not_taken_over(self, world: LimitedWorld) -> None:
        world.add_hosts(2)
        world.name_limit('40')
        world.send_all()
        world.wait_for_arrival()
        world.observe(NOTICE_S)
        world.name_limit('2')
        world.wait_for_arrival()
        world.observe(NOTICE_S)
        check_obeyed(world, 2)

    @pytest.mark.parametrize('text', ['0', '0.0', '0.05'])
    def test_endpoint_that_takes_hardly_any_gets_more(
        self, world: LimitedWorld, text: str
    ) -> None:
        world.add_hosts(2)
        world.name_limit(text)
        world.send_all()
        world.wait_for_arrival()
        world.observe(NOTICE_S)
        check_obeyed(world, float(text))
        assert world.answered_share(0) >= MIN_ANSWERED_SHARE

    @pytest.mark.parametrize('text', ['soon', '-1', 'nan', ''])
    def test_value_that_is_no_number_ends_the_limit(
        self, world: LimitedWorld, text: str
    ) -> None:
        world.add_hosts(2)
        world.name_limit(str(LIMIT))
        world.send_all()
        world.wait_for_arrival()
        world.name_limit(text)
        world.observe(NOTICE_S)
        check_obeyed(world)


class TestBurst:
    def test_limit_is_named_amid_a_burst(self, world: LimitedWorld) -> None:
        world.add_hosts(3)
        world.send_all(senders=6)
        world.observe(1)
        world.name_limit(str(LIMIT))
        world.wait_for_arrival()
        world.observe(NOTICE_S)
        check_obeyed(world)

    def test_requests_follow_refused_ones(self, world: LimitedWorld) -> None:
        """Second attempts count as well."""
        world.add_hosts(2)
        for other in world.cluster.endpoints[1:]:
            other.behaviour = lambda served: served.refuse()
        world.name_limit(str(LIMIT))
        world.send_all()
        world.wait_for_arrival()
        world.observe(NOTICE_S)
        check_obeyed(world)


class TestHosts:
    """Hosts that did not hear the answer, or do not reach the home host."""

    def test_hosts_without_a_home_host_obey(self, world: LimitedWorld) -> None:
        hosts = world.add_hosts(4)
        world.name_limit(str(LIMIT))
        world.send_all()
        world.wait_for_arrival()
        world.observe(NOTICE_S)
        for running in hosts:
            running.cut_datagrams()
            mesh = running.host.mesh
            mesh.client.request_from_home = lambda *arguments: None  # type: ignore[method-assign]
        check_obeyed(world)

    def test_next_home_host_obeys(self, world: LimitedWorld) -> None:
        world.add_hosts(3)
        world.name_limit(str(LIMIT))
        world.send_all()
        world.wait_for_arrival()
        world.observe(NOTICE_S)
        began_at = time.monotonic()
        for _ in range(2):
            home = world.home()
            world.hosts.remove(home)
            home.stop()
            wait_for(lambda gone=home: self.has_left(world, gone), 'a new home')
            world.observe(1)
        world.observe(2)
        assert world.most_in_window(began_at) <= allowed(LIMIT)

    def has_left(self, world: LimitedWorld, home: RunningHost) -> bool:
        """Return whether no host takes a stopped one for the home host."""
        name = home.options.name
        peers = [running.host.mesh.peers for running in world.hosts]
        return all(
            known.home() is not None and known.home().name != name  # type: ignore[union-attr]
            for known in peers
        )

    def test_restarted_home_host_obeys(self, world: LimitedWorld) -> None:
        world.add_hosts(3)
        home = world.home()
        others = [running for running in world.hosts if running is not home]
        world.name_limit(str(LIMIT))
        for running in others:
            world.send_to(running)
        world.wait_for_arrival()
        world.observe(NOTICE_S)
        began_at = time.monotonic()
        home.stop()
        world.cluster.restart_host(home)
        world.observe(5)
        assert world.most_in_window(began_at) <= allowed(LIMIT)


class TestWholeService:
    """The only endpoint of a service has a limit."""

    @pytest.fixture
    def small_world(self) -> Iterator[LimitedWorld]:
        made = LimitedWorld(others=0)
        yield made
        made.close()

    def test_callers_are_told_when_to_come_back(
        self, small_world: LimitedWorld
    ) -> None:
        small_world.add_hosts(2)
        small_world.name_limit('1')
        small_world.send_all(senders=4)
        small_world.wait_for_arrival()
        small_world.observe(NOTICE_S)
        self.check_refusals(small_world, small_world.observe())

    def check_refusals(self, world: LimitedWorld, began_at: float) -> None:
        assert world.most_in_window(began_at) <= allowed(1)
        responses = [
            each.response
            for each in list(world.outcomes)
            if each.sent_at > began_at
        ]
        statuses = {response.status for response in responses}
        assert statuses <= {200, 503}
        waits = [
            float(response.headers['retry-after'])
            for response in responses
            if response.status == 503
        ]
        # The next request is taken in a second, the deadline is in four.
        assert waits
        assert 0.2 <= min(waits)
        assert 0.5 <= max(waits) <= 4 / 3
