"""The command that explains where a request would go."""

import json
from collections.abc import Iterator

import pytest
from gatewaycluster import AUTHORITY, GatewayCluster, wait_for

from trefoilspool.errors import HostUnreachableError, OptionError
from trefoilspool.explaining.askhost import ask_host

Explanation = dict[str, object]


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    made.add_endpoint(capacity=2)
    made.add_endpoint(capacity=2)
    made.add_host()
    made.wait_for_endpoints(made.hosts[0], 2)
    yield made
    made.close()


def explain(cluster: GatewayCluster, **changes: object) -> Explanation:
    question = {
        'path': '/look/1',
        'authority': AUTHORITY,
        'workspace': 'acme',
        **changes,
    }
    control = cluster.hosts[0].options.control
    answer: Explanation = json.loads(ask_host(control, question))
    return answer


class TestExplain:
    def test_choice_with_its_reasons(self, cluster: GatewayCluster) -> None:
        told = explain(cluster)
        assert told['outcome'] == 'granted'
        assert told['route'] == 'r-look'
        assert told['service'] == 'engines'
        assert told['decides'] is True
        assert (told['size'], told['ahead']) == (0, 0)
        verdicts = sorted(
            candidate['verdict'] for candidate in told['candidates']
        )
        assert verdicts == ['chosen', 'free']

    def test_choice_is_where_the_request_goes(
        self, cluster: GatewayCluster
    ) -> None:
        told = explain(cluster)
        chosen = next(
            candidate['endpoint']
            for candidate in told['candidates']
            if candidate['verdict'] == 'chosen'
        )
        assert cluster.call(cluster.hosts[0]).status == 200
        endpoint = next(
            made for made in cluster.endpoints if made.name == chosen
        )
        assert len(endpoint.runs) == 1

    def test_nothing_is_sent(self, cluster: GatewayCluster) -> None:
        for _ in range(5):
            explain(cluster)
        assert not any(endpoint.requests for endpoint in cluster.endpoints)
        scheduler = cluster.hosts[0].host.mesh.scheduler
        assert not scheduler.reservations
        assert not scheduler.waiting

    @pytest.mark.parametrize(
        ('changes', 'outcome'),
        (
            ({'path': '/nowhere/'}, 'no route: 404'),
            ({'workspace': 'other'}, 'no such workspace: 401'),
        ),
    )
    def test_refusals(
        self,
        cluster: GatewayCluster,
        changes: dict[str, object],
        outcome: str,
    ) -> None:
        assert explain(cluster, **changes)['outcome'] == outcome

    def test_service_without_endpoints(self, cluster: GatewayCluster) -> None:
        for endpoint in cluster.endpoints:
            cluster.register(endpoint, state='draining')
        cluster.wait_for_endpoints(cluster.hosts[0], 0)
        told = explain(cluster)
        assert told['outcome'] == 'refused: no_endpoint'
        assert told['retry_after_s'] > 0

    def test_odd_question(self, cluster: GatewayCluster) -> None:
        with pytest.raises(OptionError):
            explain(cluster, prompt_tokens='many')

    def test_host_that_is_away(self, cluster: GatewayCluster) -> None:
        running = cluster.hosts[0]
        running.stop()
        wait_for(running.is_stopped, 'a stopped host')
        with pytest.raises(HostUnreachableError):
            explain(cluster)
