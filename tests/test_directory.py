"""The endpoints of all services."""

import json

import pytest
from records import decode_endpoint

from trefoilspool.directory import RETURN_S, Directory
from trefoilspool.routing import CallerLimits, Configuration, Service
from trefoilspool.slotmessages import EndpointSpec
from trefoilspool.store import KeyedRecord


class Listed:
    """A directory with what it published."""

    def __init__(self) -> None:
        self.outage_ended = -100.0
        self.available: list[EndpointSpec] = []
        self.offset = 0
        self.directory = Directory(
            decode_endpoint, lambda: self.outage_ended, self.on_change
        )
        self.directory.on_configuration(
            Configuration(
                1,
                [],
                [Service('s', '/', None)],
                [],
                CallerLimits(1, 1),
            )
        )

    def on_change(self, available: list[EndpointSpec]) -> None:
        self.available = available

    @property
    def names(self) -> list[str]:
        return [one.name for one in self.available]

    def put(self, key: str, now: float = 0, **changes: object) -> None:
        source = {
            'backend': 's',
            'address': '10.0.0.1:80',
            'zone': 'z',
            'capacity': 4,
            'state': 'ready',
            'born': 1,
            **changes,
        }
        self.write(key, json.dumps(source).encode(), now)

    def write(self, key: str, content: bytes, now: float = 0) -> None:
        self.offset += 1
        self.directory.on_records([KeyedRecord(key, content, self.offset)], now)


@pytest.fixture
def listed() -> Listed:
    made = Listed()
    made.put('a')
    return made


class TestDirectory:
    def test_ready_endpoint_is_published(self, listed: Listed) -> None:
        assert listed.names == ['a']

    def test_unknown_service_is_left_out(self, listed: Listed) -> None:
        listed.put('b', backend='none')
        assert listed.names == ['a']

    def test_unreadable_record_leaves_the_last_one(
        self, listed: Listed
    ) -> None:
        listed.write('a', b'{"state": 3')
        assert listed.names == ['a']

    def test_leaving_endpoint_is_not_published(self, listed: Listed) -> None:
        listed.put('a', state='draining')
        assert not listed.names
        assert listed.directory.get('a') is None

    def test_old_heartbeat_after_leaving_changes_nothing(
        self, listed: Listed
    ) -> None:
        listed.put('a', state='draining')
        listed.put('a')
        assert not listed.names

    def test_restarted_endpoint_comes_back(self, listed: Listed) -> None:
        listed.put('a', state='draining')
        listed.put('a', born=2)
        assert listed.names == ['a']

    def test_former_self_changes_nothing(self, listed: Listed) -> None:
        listed.put('a', born=5, address='10.0.0.2:80')
        listed.put('a', born=4, state='draining')
        assert listed.names == ['a']
        found = listed.directory.get('a')
        assert found is not None
        assert found.address == '10.0.0.2'

    def test_dropped_record_ends_an_endpoint(self, listed: Listed) -> None:
        listed.write('a', b'')
        assert not listed.names

    def test_lapsed_endpoint_stays_until_it_had_time_to_return(
        self, listed: Listed
    ) -> None:
        listed.outage_ended = 10
        listed.write('a', b'', now=10.5)
        assert listed.names == ['a']
        listed.directory.tick(10 + RETURN_S - 0.1)
        assert listed.names == ['a']
        listed.directory.tick(10 + RETURN_S)
        assert not listed.names

    def test_lapsed_endpoint_that_returns_stays(self, listed: Listed) -> None:
        listed.outage_ended = 10
        listed.write('a', b'', now=10.5)
        listed.put('a', now=11)
        listed.directory.tick(10 + RETURN_S)
        assert listed.names == ['a']

    def test_own_word_of_an_endpoint_counts(self, listed: Listed) -> None:
        listed.directory.on_gone('a')
        assert not listed.names
        listed.put('a')
        assert listed.names == ['a']
