"""Datagrams of other hosts with odd values, or of anybody else."""

import itertools
from collections.abc import Iterator
from typing import Any

import logbook
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from oddvalues import EDGE_INTEGERS, floats, texts
from test_mesh import host_info
from thrift.Thrift import TType

from trefoilspool.datagramsocket import MAX_DATAGRAM_BYTES
from trefoilspool.departures import EndpointRun
from trefoilspool.mesh import MeshTask
from trefoilspool.quarantine import QuarantineEntry
from trefoilspool.slotmessages import EndpointSpec
from trefoilspool.wire import endpointreports
from trefoilspool.wire import mesh as wire
from trefoilspool.wire.gen.mesh import ttypes

Sent = list[tuple[str, ttypes.Datagram]]
BITS = {TType.BYTE: 8, TType.I16: 16, TType.I32: 32, TType.I64: 64}
FUZZED_FIELDS = [
    spec[2] for spec in ttypes.Datagram.thrift_spec if spec and spec[0] > 1
]


def good_ask(number: int = 7) -> ttypes.Ask:
    return ttypes.Ask(
        request=number,
        service_name='s',
        workspace='w',
        rank=1,
        prompt_tokens=10,
        output_tokens=10,
        aim_ms=200,
        left_ms=2000,
        avoid=[],
        attempt=1,
        parts=[],
        streams=True,
        charge=1,
        data_centre='z',
        waited_ms=0,
        repeatable=True,
    )


def sendable(text: str) -> bool:
    return not any('\ud800' <= character <= '\udfff' for character in text)


def values(kind: int, arguments: Any) -> st.SearchStrategy[Any]:
    """Return values of a Thrift type, also missing ones."""
    if kind in BITS:
        half = 2 ** (BITS[kind] - 1)
        fitting = [n for n in EDGE_INTEGERS if -half <= n < half]
        return st.none() | st.sampled_from([1, *fitting])
    if kind == TType.STRUCT:
        return st.none() | structs(arguments[0])
    if kind in {TType.LIST, TType.SET}:
        inner = values(arguments[0], arguments[1])
        items = inner.filter(lambda value: value is not None)
        return st.none() | st.lists(items, max_size=3)
    if kind == TType.MAP:
        numbers = values(arguments[0], None), values(arguments[2], None)
        return st.none() | st.dictionaries(
            *(
                number.filter(lambda value: value is not None)
                for number in numbers
            ),
            max_size=3,
        )
    return (
        st.none()
        | {
            TType.BOOL: st.booleans(),
            TType.DOUBLE: floats,
            TType.STRING: st.sampled_from(['s', 'w', 'i-1', 'h2', '127.0.9.2'])
            | texts.filter(sendable),
        }[kind]
    )


def structs(made: Any) -> st.SearchStrategy[Any]:
    """Return structs of a class with any values in their fields."""
    fields = [spec for spec in made.thrift_spec if spec]
    return st.builds(
        made, **{spec[2]: values(spec[1], spec[3]) for spec in fields}
    )


class Host:
    """A home host that sends no datagram but encodes all."""

    def __init__(self) -> None:
        self.mesh = MeshTask(host_info(1, capacity=10**6), 0, [])
        self.mesh.socket.close()
        self.sent: Sent = []
        self.mesh.sender.send = self.send  # type: ignore[method-assign]
        self.numbers = itertools.count(1000)
        self.now = 100.0
        self.mesh.set_available_endpoints(
            [EndpointSpec('i-1', 's', 'z', 4, 1, 8, 'v1')]
        )
        self.mesh.run_callbacks(self.now)
        self.receive(host_info(2))

    def send(self, address: str, datagram: ttypes.Datagram) -> None:
        wire.encode(datagram)
        self.sent.append((address, datagram))

    def receive(self, sender: Any, **fields: Any) -> None:
        """Receive a datagram and run what follows, as the task does."""
        card = wire.host_info_to_wire(sender)
        body = wire.encode(ttypes.Datagram(card, **fields))
        self.mesh.on_datagram(body, sender.address, self.now)
        self.run()

    def run(self) -> None:
        self.now += 0.05
        self.mesh.tick(self.now)
        self.mesh.home_service.send_decisions()
        self.mesh.send_heartbeat(self.now)

    def grants(self) -> bool:
        """Return whether a slot request of a sound host is granted."""
        ask = good_ask(next(self.numbers))
        self.sent.clear()
        self.receive(host_info(2), asks=[ask])
        end = ttypes.End(ask.request, 0, 'i-1', 5, 3, 20, 10)
        granted = any(
            verdict.request == ask.request and verdict.kind == wire.GRANTED
            for _, datagram in self.sent
            for verdict in datagram.verdicts or ()
        )
        self.receive(host_info(2), ends=[end])
        return granted

    def has_reason_to_refuse(self) -> bool:
        """Return whether what was told may keep a request from a slot."""
        load = self.mesh.scheduler.available_endpoints['i-1']
        is_free = load.free_slots > 0 and not self.mesh.scheduler.waiting
        told = self.mesh.limits.by_run or self.mesh.quarantine_gossip.known
        return bool(told) or not is_free


class TestFuzz:
    @pytest.mark.parametrize('field', FUZZED_FIELDS)
    @settings(
        max_examples=60,
        suppress_health_check=list(HealthCheck),
    )
    @given(data=st.data())
    def test_field(self, field: str, data: st.DataObject) -> None:
        """The host goes on, and grants a sound host's request."""
        host = Host()
        spec = field_spec(field)
        content = data.draw(values(spec[1], spec[3]))
        with logbook.TestHandler(level=logbook.ERROR) as errors:
            host.receive(host_info(3), **{field: content})
            host.run()
            is_granted = host.grants()
        assert not errors.formatted_records
        assert is_granted or host.has_reason_to_refuse()

    @settings(max_examples=100)
    @given(card=structs(ttypes.HostCard))
    def test_sender(self, card: ttypes.HostCard) -> None:
        host = Host()
        body = wire.encode(ttypes.Datagram(card))
        host.mesh.on_datagram(body, '127.0.9.3', host.now)
        host.run()
        host.mesh.send_hellos(host.now)
        assert host.mesh.peers.is_home() or card.capacity

    @pytest.mark.parametrize(
        'repeated', [b'\x1c', b'\x1c\xfc', b'\x19\xfc', b'\xfb\xcc']
    )
    def test_deep_nesting(self, repeated: bytes) -> None:
        host = Host()
        body = repeated * (MAX_DATAGRAM_BYTES // len(repeated))
        host.mesh.on_datagram(body, '127.0.9.3', host.now)
        assert host.grants()

    @settings(max_examples=200)
    @given(body=st.binary(max_size=60))
    def test_bytes(self, body: bytes) -> None:
        host = Host()
        host.mesh.on_datagram(body, '127.0.9.3', host.now)
        assert host.grants()


def field_spec(field: str) -> Any:
    return next(
        spec
        for spec in ttypes.Datagram.thrift_spec
        if spec and spec[2] == field
    )


@pytest.fixture
def host() -> Iterator[Host]:
    yield Host()


class TestHostCards:
    @pytest.mark.parametrize(
        'changes',
        [
            {'name': None},
            {'name': ''},
            {'name': 'x' * 300},
            {'address': None},
            {'address': 'host.example'},
            {'address': '127.1'},
            {'incarnation': None},
            {'incarnation': -1},
            {'settings_version': None},
            {'settings_version': 2**63 - 1},
            {'capacity': -1},
        ],
    )
    def test_odd_host_is_not_believed(
        self, host: Host, changes: dict[str, Any]
    ) -> None:
        card = wire.host_info_to_wire(host_info(4))
        for field, odd in changes.items():
            setattr(card, field, odd)
        body = wire.encode(ttypes.Datagram(card))
        host.mesh.on_datagram(body, '127.0.9.4', host.now)
        host.receive(host_info(2), hosts=[card])
        assert host.mesh.peers.names() == {'h1', 'h2'}
        assert wire.decode_host_info(body) is None


class TestOneOddStruct:
    def test_other_requests_of_the_datagram_are_granted(
        self, host: Host
    ) -> None:
        odd, good = ttypes.Ask(request=6), good_ask()
        host.receive(host_info(2), asks=[odd, good])
        verdicts = [
            verdict
            for _, datagram in host.sent
            for verdict in datagram.verdicts or ()
        ]
        assert [verdict.request for verdict in verdicts] == [7]

    def test_other_fields_of_the_datagram_are_used(self, host: Host) -> None:
        host.receive(
            host_info(2),
            roll=[ttypes.Holding(request=1)],
            digest=ttypes.Digest(),
            leaving=[ttypes.EndpointRun()],
            asks=[good_ask()],
        )
        assert host.mesh.scheduler.reservations.by_key


class TestQuarantineEntries:
    @pytest.mark.parametrize(
        'entry',
        [
            ttypes.QuarantineEntry('p', 2**63 - 1, True),
            ttypes.QuarantineEntry('p', -1, True),
            ttypes.QuarantineEntry('', 1, True),
            ttypes.QuarantineEntry('p' * 5000, 1, True),
            ttypes.QuarantineEntry('p', 1, None),
        ],
    )
    def test_odd_entry_is_left_out(self, entry: ttypes.QuarantineEntry) -> None:
        """One that could not rise any more would never be lifted."""
        good = ttypes.QuarantineEntry('good', 1, True)
        assert endpointreports.quarantine_from_wire([entry, good]) == [
            QuarantineEntry('good', 1, True)
        ]


class TestLimits:
    @pytest.mark.parametrize('per_s', [float('nan'), float('inf'), -1.0])
    def test_odd_rate_is_left_out(self, per_s: float) -> None:
        run = ttypes.EndpointRun('i-1', 1)
        odd = ttypes.EndpointLimit(run, per_s, 5)
        assert not list(endpointreports.limits_from_wire([odd]))

    def test_report_of_the_moment_of_sending_is_taken(self) -> None:
        """The sender noted it after it had begun the datagram."""
        run = ttypes.EndpointRun('i-1', 1)
        fresh = ttypes.EndpointLimit(run, 1.0, -5)
        reports = endpointreports.limits_from_wire([fresh])
        assert [report.age_s for report in reports] == [0]

    def test_report_from_the_future_is_left_out(self) -> None:
        """Nothing the endpoint says later would be newer."""
        run = ttypes.EndpointRun('i-1', 1)
        odd = ttypes.EndpointLimit(run, 1.0, -50_000)
        good = ttypes.EndpointLimit(run, 2.0, 5)
        reports = list(endpointreports.limits_from_wire([odd, good]))
        assert [report.per_s for report in reports] == [2.0]
        assert reports[0].run == EndpointRun('i-1', 1)
