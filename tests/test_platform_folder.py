"""Tests of the adapter folder: name isolation, decoding and validation."""

import io
import json
import platform
import sys

import pytest
from cluster import ROOT
from gatewaycluster import configuration
from headers import PlatformDialect
from records import decode_configuration, decode_endpoint

from trefoilspool.callerrors import MalformedCallError
from trefoilspool.dialect import OutboundRequest
from trefoilspool.errors import (
    BadRecordError,
    OptionError,
)
from trefoilspool.options import GatewayOptions, load_options
from trefoilspool.routing import RepeatPolicy

WIRE_NAMES = (
    'routeTable',
    'weightedBackends',
    'apiKeys',
    'ratePerS',
    'plainTokens',
    'streamResume',
    'targetLatencyMs',
    'gapAimMs',
    'healthPath',
    'kvCapacity',
    'Token-Counts',
    'Prefix-Hash',
    'Deadline-Ms',
    'Expect-Instance',
    'Server-Stamp',
    'Not-Executed',
    'Last-Event-Id',
    'Pin-Ms',
    'Kv-',
    'log-append',
    'log-read',
    'log-newest',
    'keyed.op',
    'keyed.servers',
    'listenersMap',
    'controlPlane',
    'internalPorts',
    'readyz',
    'nodeName',
    'backend',
    'tenant',
)
ALLOWED_FILES = {
    'readyz': {'pages.py', 'client.py', 'host.py', 'options.py'},
}
MAX_LINES = 900


class TestNames:
    def test_platform_names_occur_only_in_the_adapter_folder(self) -> None:
        found = []
        for path in sorted((ROOT / 'trefoilspool').rglob('*.py')):
            text = path.read_text()
            found += [
                f'{path.name}: {name}'
                for name in WIRE_NAMES
                if name in text and path.name not in ALLOWED_FILES.get(name, ())
            ]
        assert not found

    def test_modules_do_not_shadow_the_standard_library(self) -> None:
        assert platform.python_version()
        assert not (ROOT / 'platform' / '__init__.py').exists()
        modules = {path.stem for path in (ROOT / 'platform').glob('*.py')}
        assert not modules & set(sys.stdlib_module_names)

    def test_folder_is_small(self) -> None:
        lines = sum(
            len(path.read_text().splitlines())
            for path in (ROOT / 'platform').glob('*.py')
        )
        assert lines <= MAX_LINES


class TestConfigurationRecord:
    def test_route_type_determines_repeats(self) -> None:
        decoded = decode_configuration(json.dumps(configuration()).encode())
        repeats = {
            route.name: route.repeats
            for route in decoded.routes.routes.values()
        }
        assert repeats == {
            'r-chat': RepeatPolicy.resumed,
            'r-talk': RepeatPolicy.never,
            'r-look': RepeatPolicy.always,
            'r-book': RepeatPolicy.never,
        }

    @pytest.mark.parametrize(
        ('field', 'bad'),
        [
            ('version', 'x'),
            ('version', None),
            ('version', 1.5),
            ('routeTable', {}),
            ('backends', [1]),
            ('limits', 3),
            ('tenants', [{'name': 'w', 'apiKeys': 'abc'}]),
            ('tenants', [{'name': 'w', 'apiKeys': [7]}]),
            ('tenants', [{'name': 'w', 'ratePerS': 1e300}]),
        ],
    )
    def test_wrong_field_is_named(self, field: str, bad: object) -> None:
        source = configuration()
        source[field] = bad
        with pytest.raises(BadRecordError) as error:
            decode_configuration(json.dumps(source).encode())
        assert str(error.value).startswith('config')

    @pytest.mark.parametrize('body', [b'', b'[]', b'{', b'\xff\xfe', b'7'])
    def test_unreadable_bytes(self, body: bytes) -> None:
        with pytest.raises(BadRecordError):
            decode_configuration(body)

    @pytest.mark.parametrize('number', ['NaN', 'Infinity', '-Infinity'])
    def test_number_that_is_not_json(self, number: str) -> None:
        source = json.dumps(configuration()).replace(': 5000', f': {number}')
        with pytest.raises(BadRecordError):
            decode_configuration(source.encode())


class TestEndpointRecord:
    good = {
        'backend': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'capacity': 4,
        'state': 'ready',
        'born': 5,
    }

    def test_record_is_decoded(self) -> None:
        found = decode_endpoint('i-1', json.dumps(self.good).encode())
        assert (found.name, found.service, found.port) == ('i-1', 's', 80)
        assert not found.leaving

    @pytest.mark.parametrize(
        ('field', 'bad'),
        [
            ('backend', None),
            ('address', 'nowhere'),
            ('address', 7),
            ('address', 'host.example:80'),
            ('address', '10.0.0.1:0'),
            ('address', '10.0.0.1:70000'),
            ('address', '10.0.0.1:²'),
            ('zone', []),
            ('capacity', 'many'),
            ('capacity', True),
            ('state', 'odd'),
            ('state', None),
            ('born', -1),
        ],
    )
    def test_wrong_field_is_named_with_its_record(
        self, field: str, bad: object
    ) -> None:
        source = json.dumps({**self.good, field: bad}).encode()
        with pytest.raises(BadRecordError) as error:
            decode_endpoint('i-1', source)
        assert 'i-1' in str(error.value)
        assert field in str(error.value)


class TestHeaders:
    dialect = PlatformDialect()

    def environ(self, **headers: str) -> dict[str, object]:
        return {
            'REQUEST_METHOD': 'POST',
            'REQUEST_URI': '/a/b%20c?x=1',
            'wsgi.input': io.BytesIO(),
            'HTTP_HOST': 'A.example:80',
            **{f'HTTP_{name}': text for name, text in headers.items()},
        }

    def test_target_is_forwarded_unchanged(self) -> None:
        request = self.dialect.decode_request(self.environ())
        assert request.target == '/a/b%20c?x=1'
        assert (request.authority, request.path) == ('a.example', '/a/b%20c')

    def test_headers_named_by_connection_are_dropped(self) -> None:
        request = self.dialect.decode_request(
            self.environ(CONNECTION='close, X-Own', X_OWN='1', X_ALL='2'),
        )
        names = {name for name, _ in request.forwarded_headers}
        assert names == {'Host', 'X-All'}

    def test_each_prompt_prefix_includes_the_previous(self) -> None:
        request = self.dialect.decode_request(
            self.environ(PREFIX_HASH='aa:10,bb:20', TOKEN_COUNTS='30,5'),
        )
        assert request.prompt_prefixes == ('aa', 'aa/bb')
        assert (request.prompt_tokens, request.output_tokens) == (30, 5)

    @pytest.mark.parametrize(
        ('hint', 'tokens'),
        [('120', 120), ('', 0), ('many', 0), ('-3', 0), ('²', 0)],
    )
    def test_malformed_length_hint_is_ignored(
        self, hint: str, tokens: int
    ) -> None:
        request = self.dialect.decode_request(self.environ(LENGTH_HINT=hint))
        assert request.expected_tokens == tokens

    @pytest.mark.parametrize(
        ('name', 'bad'),
        [
            ('DEADLINE_MS', 'soon'),
            ('TOKEN_COUNTS', '1'),
            ('TOKEN_COUNTS', 'a,b'),
            ('LAST_EVENT_ID', 'x'),
        ],
    )
    def test_malformed_header_is_named(self, name: str, bad: str) -> None:
        with pytest.raises(MalformedCallError) as error:
            self.dialect.decode_request(self.environ(**{name: bad}))
        assert error.value.status == 400
        assert repr(bad) in error.value.detail

    def test_remaining_time_and_last_event_are_set_by_the_system(self) -> None:
        request = self.dialect.decode_request(
            self.environ(DEADLINE_MS='9000', LAST_EVENT_ID='3'),
        )
        headers = self.dialect.request_headers(
            OutboundRequest(request, 'i-1', 'w', 1.5, 7)
        )
        assert headers['Deadline-Ms'] == '1500'
        assert headers['Last-Event-Id'] == '7'
        assert headers['Tenant'] == 'w'

    def test_response_head_states_whether_the_request_ran(self) -> None:
        head = self.dialect.decode_response_head(503, [('Not-Executed', '1')])
        assert head.not_run
        assert not head.is_stamped
        head = self.dialect.decode_response_head(
            500,
            [('Server-Stamp', 's'), ('Keep-Alive', 'timeout=6, max=3')],
        )
        assert head.is_stamped
        assert not head.not_run
        assert head.idle_s == 6


class TestSettings:
    good = {
        'name': 'h',
        'data_centre': 'z',
        'listen': '1.2.3.4:1',
        'ready': '1.2.3.4:2',
        'control': '1.2.3.4:3',
        'mesh_port': 4,
        'store': '1.2.3.5:6',
    }

    @pytest.mark.parametrize('missing', sorted(good))
    def test_missing_setting_is_named(self, missing: str) -> None:
        flags = {name: text for name, text in self.good.items()}
        flags.pop(missing)
        with pytest.raises(OptionError) as error:
            load_options(GatewayOptions, flags)
        assert missing.replace('_', '-') in str(error.value)

    @pytest.mark.parametrize(
        ('name', 'bad'),
        [
            ('listen', 'here'),
            ('mesh_port', 0),
            ('mesh_port', 'x'),
            ('store', '1.2.3.4'),
            ('name', 'a b'),
        ],
    )
    def test_wrong_setting_is_named(self, name: str, bad: object) -> None:
        with pytest.raises(OptionError) as error:
            load_options(GatewayOptions, {**self.good, name: bad})
        assert name.replace('_', '-') in str(error.value)
        assert repr(bad) in str(error.value)
