"""Tests of the directory of endpoints."""

import json

import pytest
from records import decode_endpoint

from trefoilspool.departures import EndpointRecord
from trefoilspool.directory import REREGISTRATION_S, Directory
from trefoilspool.endpointview import EndpointView
from trefoilspool.routing import CallerLimits, Configuration, Service
from trefoilspool.slotmessages import EndpointSpec
from trefoilspool.store import KeyedRecord, Page


def endpoint_content(**changes: object) -> bytes:
    source = {
        'backend': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'capacity': 4,
        'state': 'ready',
        'born': 1,
        **changes,
    }
    return json.dumps(source).encode()


class PublishedDirectory:
    """A directory and the endpoints that it last reported as available."""

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
        return [endpoint.name for endpoint in self.available]

    def put(self, key: str, now: float = 0, **changes: object) -> None:
        self.write(key, endpoint_content(**changes), now)

    def write(self, key: str, content: bytes, now: float = 0) -> None:
        self.offset += 1
        self.directory.on_records([KeyedRecord(key, content, self.offset)], now)


@pytest.fixture
def published() -> PublishedDirectory:
    published = PublishedDirectory()
    published.put('a')
    return published


class TestFailingRecord:
    def test_other_records_of_the_page_are_used(self) -> None:
        """A record fails in a way that no decoder declares."""
        published = PublishedDirectory()
        decode = published.directory.decode

        def fail(key: str, content: bytes) -> EndpointRecord:
            if key == 'odd':
                raise ZeroDivisionError
            return decode(key, content)

        published.directory.decode = fail
        content = endpoint_content()
        published.directory.on_records(
            [KeyedRecord(key, content, 1) for key in ('a', 'odd', 'b')], 0
        )
        assert published.names == ['a', 'b']


class TestUntakenRecords:
    def test_restored_records_count_as_such_until_they_are_taken(self) -> None:
        """An endpoint that left would otherwise come back with the backup."""
        view = EndpointView(decode_endpoint, lambda: -100.0, lambda _: None)
        taken: list[bool] = []
        failures = ['the directory failed']

        def take(records: object, now: float, *, restored: bool) -> None:
            if restored and failures:
                raise RuntimeError(failures.pop())
            taken.append(restored)

        view.directory.on_records = take  # type: ignore[assignment]
        record = KeyedRecord('a', b'{}', 0)
        view.replica.apply(Page((record,), 1, complete=True))
        restored = Page((record,), 1, complete=True, era=1)
        with pytest.raises(RuntimeError):
            view.replica.apply(restored)
        view.replica.apply(restored)
        assert taken == [False, True]


class TestDirectory:
    def test_ready_endpoint_is_published(
        self, published: PublishedDirectory
    ) -> None:
        assert published.names == ['a']

    def test_endpoint_of_unknown_service_is_not_published(
        self, published: PublishedDirectory
    ) -> None:
        published.put('b', backend='none')
        assert published.names == ['a']

    def test_unreadable_record_keeps_the_previous_one(
        self, published: PublishedDirectory
    ) -> None:
        published.write('a', b'{"state": 3')
        assert published.names == ['a']

    def test_leaving_endpoint_is_not_published(
        self, published: PublishedDirectory
    ) -> None:
        published.put('a', state='draining')
        assert not published.names
        assert published.directory.get('a') is None

    def test_late_ready_record_of_a_leaving_endpoint_is_ignored(
        self, published: PublishedDirectory
    ) -> None:
        published.put('a', state='draining')
        published.put('a')
        assert not published.names

    def test_restarted_endpoint_is_published_again(
        self, published: PublishedDirectory
    ) -> None:
        published.put('a', state='draining')
        published.put('a', born=2)
        assert published.names == ['a']

    def test_record_of_an_earlier_run_is_ignored(
        self, published: PublishedDirectory
    ) -> None:
        published.put('a', born=5, address='10.0.0.2:80')
        published.put('a', born=4, state='draining')
        assert published.names == ['a']
        found = published.directory.get('a')
        assert found is not None
        assert found.address == '10.0.0.2'

    def test_deleted_record_removes_the_endpoint(
        self, published: PublishedDirectory
    ) -> None:
        published.write('a', b'')
        assert not published.names

    def test_endpoint_expired_in_an_outage_is_removed_after_a_delay(
        self, published: PublishedDirectory
    ) -> None:
        published.outage_ended = 10
        published.write('a', b'', now=10.5)
        assert published.names == ['a']
        published.directory.tick(10 + REREGISTRATION_S - 0.1)
        assert published.names == ['a']
        published.directory.tick(10 + REREGISTRATION_S)
        assert not published.names

    def test_endpoint_expired_in_an_outage_may_register_again(
        self, published: PublishedDirectory
    ) -> None:
        published.outage_ended = 10
        published.write('a', b'', now=10.5)
        published.put('a', now=11)
        published.directory.tick(10 + REREGISTRATION_S)
        assert published.names == ['a']

    def test_displaced_endpoint_is_published_after_its_next_record(
        self, published: PublishedDirectory
    ) -> None:
        published.directory.on_displaced('a')
        assert not published.names
        published.put('a')
        assert published.names == ['a']
