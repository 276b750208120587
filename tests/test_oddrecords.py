"""Records of other writers among the endpoints', before running hosts."""

import json
from collections.abc import Iterator

import pytest
from gatewaycluster import GatewayCluster, RunningHost
from records import decode_configuration, decode_endpoint

from trefoilspool.errors import BadRecordError


def nested(depth: int) -> str:
    opening, closing = '[' * depth, ']' * depth
    return f'{opening}{closing}'


NESTED = nested(100_000)
GOOD = {
    'backend': 'engines',
    'address': '127.0.0.1:80',
    'zone': 'z1',
    'capacity': 4,
    'state': 'ready',
    'born': 5,
}


def good_with(field: str, text: str) -> bytes:
    """Return a good record with one field's value as JSON text."""
    body = json.dumps({**GOOD, field: 0})
    return body.replace(f'"{field}": 0', f'"{field}": {text}').encode()


ODD_RECORDS = {
    'nested': NESTED.encode(),
    'nested-unknown-field': good_with('unknown', NESTED),
    'nested-known-field': good_with('capacity', NESTED),
    'nested-within-the-limit': good_with('capacity', nested(900)),
    'port-of-many-digits': good_with('address', f'"127.0.0.1:{"9" * 5000}"'),
    'port-out-of-range': good_with('address', '"127.0.0.1:70000"'),
    'number-of-many-digits': good_with('capacity', '9' * 5000),
    'number-too-large': good_with('capacity', '1e308'),
    'not-json': b'\xff{',
}


class TestDecoders:
    @pytest.mark.parametrize('name', ODD_RECORDS)
    def test_odd_endpoint_is_a_bad_record(self, name: str) -> None:
        with pytest.raises(BadRecordError):
            decode_endpoint('i-1', ODD_RECORDS[name])

    def test_nested_configuration_is_a_bad_record(self) -> None:
        with pytest.raises(BadRecordError):
            decode_configuration(NESTED.encode())

    def test_message_of_a_bad_record_is_short(self) -> None:
        with pytest.raises(BadRecordError) as error:
            decode_endpoint('i-1', good_with('zone', json.dumps([7] * 9999)))
        assert len(str(error.value)) < 300


@pytest.fixture
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    made.add_endpoint()
    yield made
    made.close()


class TestHosts:
    """Hosts run; an endpoint registers beside a record that is odd."""

    @pytest.mark.parametrize('name', ODD_RECORDS)
    def test_endpoint_after_an_odd_record_is_found(
        self, cluster: GatewayCluster, name: str
    ) -> None:
        hosts = [cluster.add_host(), cluster.add_host()]
        cluster.store.put('keyed.servers', 'odd', ODD_RECORDS[name])
        cluster.add_endpoint()
        wait_for_endpoints(cluster, hosts)

    @pytest.mark.parametrize('name', ODD_RECORDS)
    def test_hosts_that_start_read_past_an_odd_record(
        self, cluster: GatewayCluster, name: str
    ) -> None:
        cluster.store.put('keyed.servers', 'odd', ODD_RECORDS[name])
        cluster.add_endpoint()
        wait_for_endpoints(cluster, [cluster.add_host(), cluster.add_host()])


def wait_for_endpoints(
    cluster: GatewayCluster, hosts: list[RunningHost]
) -> None:
    for running in hosts:
        cluster.wait_for_endpoints(running, 2)
