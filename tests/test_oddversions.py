"""The stored versions of endpoints' software, and a store that fails."""

import json
import math
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from oddvalues import json_values
from test_versionstore import NOW, OneRecordTopic, home_task

from trefoilspool.errors import BadRecordError
from trefoilspool.versionhistory import CLOCK_SLACK_S
from trefoilspool.versionstore import decode_versions

GOOD: dict[str, Any] = {
    'since': 0,
    'routes': [['r', ['s'], 0]],
    'until': [['s', 'v1', None]],
    'position': {'era': 0, 'offset': 5},
    'routes_position': {'era': 0, 'offset': 5},
}
REQUIRED = ('since', 'routes', 'until')


class TestDecoder:
    @pytest.mark.parametrize('depth', [900, 100_000])
    def test_deep_nesting(self, depth: int) -> None:
        with pytest.raises(BadRecordError):
            decode_versions(b'[' * depth + b']' * depth, NOW)

    @given(st.binary(max_size=40))
    def test_bytes(self, content: bytes) -> None:
        with pytest.raises(BadRecordError):
            decode_versions(content, NOW)

    @given(st.data())
    def test_values(self, data: st.DataObject) -> None:
        document = json.loads(json.dumps(GOOD))
        field = data.draw(st.sampled_from(list(document)))
        odd = data.draw(json_values)
        if field.endswith('position') and data.draw(st.booleans()):
            document[field][data.draw(st.sampled_from(('era', 'offset')))] = odd
        elif field in {'routes', 'until'} and data.draw(st.booleans()):
            row = document[field][0]
            row[data.draw(st.integers(0, len(row) - 1))] = odd
        else:
            document[field] = odd
        topic = OneRecordTopic(json.dumps(document).encode())
        task = home_task(topic)
        task.read()
        task.write(NOW)
        history = task.gossip.history
        assert not math.isnan(history.started_at)
        assert history.started_at <= NOW + CLOCK_SLACK_S
        for version, until in history.seen_until.items():
            assert until <= NOW or until == math.inf
            version.software.encode()

    @pytest.mark.parametrize('field', ['position', 'routes_position'])
    @pytest.mark.parametrize(
        'position',
        [
            {},
            [0, 5],
            {'era': 0},
            {'offset': 5},
            {'era': -1, 'offset': -1},
            {'era': 0, 'offset': 1e16},
            {'era': True, 'offset': 5},
            {'era': 0, 'offset': 1.5},
        ],
    )
    def test_odd_position(self, field: str, position: object) -> None:
        document = json.dumps({**GOOD, field: position})
        with pytest.raises(BadRecordError):
            decode_versions(document.encode(), NOW)

    @pytest.mark.parametrize('field', REQUIRED)
    def test_record_without_a_field_has_nothing(self, field: str) -> None:
        document = {name: GOOD[name] for name in GOOD if name != field}
        with pytest.raises(BadRecordError):
            decode_versions(json.dumps(document).encode(), NOW)
