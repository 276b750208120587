"""Records of other writers among the endpoints', before running hosts."""

import json
from collections.abc import Iterator
from typing import Any

import pytest
from gatewaycluster import GatewayCluster, RunningHost, configuration
from hypothesis import given
from hypothesis import strategies as st
from oddvalues import json_values, texts
from records import decode_configuration, decode_endpoint

from trefoilspool.departures import EndpointRecord
from trefoilspool.errors import BadRecordError
from trefoilspool.routing import Configuration, Route
from trefoilspool.slotmessages import SlotKey, SlotRequest
from trefoilspool.streamorigins import OriginSource, StreamOrigin
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes
from trefoilspool.wire.origins import origins_to_wire

MAX_I32 = 2**31


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


class TestFuzz:
    """A value is rejected with its record, or it can be used."""

    @given(st.sampled_from(list(GOOD)), json_values)
    def test_field_of_an_endpoint(self, field: str, odd: object) -> None:
        content = json.dumps({**GOOD, field: odd, 'version': odd}).encode()
        try:
            endpoint = decode_endpoint('i-1', content)
        except BadRecordError:
            return
        assert_usable(endpoint)

    @given(texts)
    def test_name_of_an_endpoint(self, name: str) -> None:
        try:
            endpoint = decode_endpoint(name, json.dumps(GOOD).encode())
        except BadRecordError:
            return
        assert_usable(endpoint)

    @given(st.binary(max_size=60))
    def test_bytes(self, content: bytes) -> None:
        with pytest.raises(BadRecordError):
            decode_endpoint('i-1', content)
        with pytest.raises(BadRecordError):
            decode_configuration(content)

    @given(st.data())
    def test_field_of_a_configuration(self, data: st.DataObject) -> None:
        document = configuration()
        path: Any = document
        while isinstance(path, dict | list) and path:
            where = (
                data.draw(st.sampled_from(list(path)))
                if isinstance(path, dict)
                else data.draw(st.integers(0, len(path) - 1))
            )
            if data.draw(st.booleans()) or not isinstance(
                path[where], dict | list
            ):
                path[where] = data.draw(json_values)
                break
            path = path[where]
        try:
            decoded = decode_configuration(json.dumps(document).encode())
        except BadRecordError:
            return
        for decoded_route in decoded.routes.routes.values():
            assert_ask_can_be_sent(decoded_route, decoded)


def assert_usable(endpoint: EndpointRecord) -> None:
    """Check that an endpoint can be granted and sent a request."""
    endpoint.name.encode('ascii')
    assert endpoint.name.isprintable()
    assert 0 < endpoint.slots < MAX_I32
    sent = wire.encode(
        ttypes.Datagram(
            ttypes.HostCard('h', '127.0.0.1', 1, False, 1),
            leaving=[wire.endpoint_run_to_wire(endpoint.run)],
            begun=origins_to_wire(
                [
                    StreamOrigin(
                        1,
                        endpoint.service,
                        endpoint.stream_version,
                        OriginSource.recorded,
                    )
                ]
            ),
        )
    )
    assert len(sent) < 1000
    assert wire.decode(sent) is not None


def assert_ask_can_be_sent(
    decoded_route: Route, decoded: Configuration
) -> None:
    workspace = next(iter(decoded.workspaces.values()), None)
    ask = SlotRequest(
        key=SlotKey('h', 1),
        service=decoded_route.name,
        workspace=workspace.name if workspace else '',
        rank=decoded_route.rank,
        prompt_tokens=1,
        output_tokens=1,
        first_byte_due=decoded_route.target_latency_s,
        deadline=decoded_route.timeout_s,
        arrived_at=0,
        avoid=(),
        attempt=1,
        prompt_prefixes=(),
        streams=False,
        charge=workspace.default_tokens if workspace else 0,
        data_centre='z1',
        repeatable=True,
    )
    own = ttypes.HostCard('h', '127.0.0.1', 1, False, decoded.version)
    assert wire.encode(ttypes.Datagram(own, asks=[wire.ask_to_wire(ask, 0)]))
