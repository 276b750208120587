"""Random histories of a store, its restores, hosts and endpoints.

A Hypothesis state machine over the pure parts that every host runs: its view of
the endpoints and its replica of the configuration. Endpoints register, renew,
drain, leave and restart; the store is restored from backups; hosts
read it, read each other, and get pages late.
"""

import json
from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from records import decode_endpoint

from trefoilspool.departures import RESTORED_RECORD_S, EndpointRun
from trefoilspool.endpointview import EndpointView
from trefoilspool.routing import CallerLimits, Configuration, Service
from trefoilspool.slotmessages import EndpointSpec
from trefoilspool.store import KeyedRecord, Page

HOSTS = 2
ENDPOINTS = ('a', 'b')
HOST_NUMBERS = st.integers(0, HOSTS - 1)
NAMES = st.sampled_from(ENDPOINTS)


class StoreModel:
    """The endpoint records, as the store keeps them."""

    def __init__(self) -> None:
        self.era = 0
        self.records: list[tuple[str, bytes]] = []

    def latest(self) -> Page:
        found: dict[str, KeyedRecord] = {}
        for offset, (key, content) in enumerate(self.records):
            found[key] = KeyedRecord(key, content, offset)
        live = tuple(record for record in found.values() if record.content)
        return Page(live, len(self.records), complete=True, era=self.era)

    def changes(self, start: int) -> Page:
        records = tuple(
            KeyedRecord(key, content, offset)
            for offset, (key, content) in enumerate(self.records)
            if offset >= start
        )
        return Page(records, len(self.records), complete=False, era=self.era)


class EndpointModel(NamedTuple):
    """What is true of an endpoint: its run, and whether it is there."""

    started_ms: int
    state: str  # ready, draining or gone
    sequence: int


class HostModel:
    """A host's view, and what it must not forget."""

    def __init__(self, now: 'Now') -> None:
        self.available: list[EndpointSpec] = []
        self.view = EndpointView(
            decode_endpoint, lambda: -100.0, self.on_available, now
        )
        self.view.directory.on_configuration(
            Configuration(
                1, [], [Service('s', '/', None)], [], CallerLimits(1, 1)
            )
        )
        self.known_leaving: set[EndpointRun] = set()
        self.position = (-1, -1)
        self.late_pages: list[Page] = []

    def on_available(self, available: list[EndpointSpec]) -> None:
        self.available = available

    def apply(self, page: Page) -> None:
        replica = self.view.replica
        replica.apply(page)
        for record in replica.records.values():
            if record.content:
                endpoint = decode_endpoint(record.key, record.content)
                if endpoint.leaving:
                    self.known_leaving.add(endpoint.run)


class Now:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.time = 1000.0

    def __call__(self) -> float:
        return self.time


class RestoreMachine(RuleBasedStateMachine):
    """Steps of the store, the endpoints and the hosts in any order."""

    @initialize()
    def start(self) -> None:
        self.now = Now()
        self.store = StoreModel()
        self.endpoints = {
            name: EndpointModel(1, 'ready', 0) for name in ENDPOINTS
        }
        self.hosts = [HostModel(self.now) for _ in range(HOSTS)]
        self.write_all()
        self.read_all()

    def write(self, name: str) -> None:
        """Write an endpoint's record, as it does about every second."""
        endpoint = self.endpoints[name]
        endpoint = endpoint._replace(sequence=endpoint.sequence + 1)
        self.endpoints[name] = endpoint
        record = {
            'backend': 's',
            'address': '10.0.0.1:80',
            'zone': 'z',
            'capacity': 4,
            'state': endpoint.state,
            'born': endpoint.started_ms,
            'sequence': endpoint.sequence,
        }
        content = b'' if endpoint.state == 'gone' else json.dumps(record)
        body = content if isinstance(content, bytes) else content.encode()
        self.store.records.append((name, body))

    def run_of(self, name: str) -> EndpointRun:
        return EndpointRun(name, self.endpoints[name].started_ms)

    @rule(name=NAMES)
    def renew(self, name: str) -> None:
        if self.endpoints[name].state != 'gone':
            self.write(name)

    @rule(
        name=NAMES,
        state=st.sampled_from(('draining', 'gone')),
        seen=st.booleans(),
    )
    def leave(self, name: str, state: str, seen: bool) -> None:
        self.endpoints[name] = self.endpoints[name]._replace(state=state)
        self.write(name)
        if seen:
            self.read_all()

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        started_ms = self.endpoints[name].started_ms + 1
        self.endpoints[name] = EndpointModel(started_ms, 'ready', 0)
        self.write(name)

    @rule(lost=st.integers(1, 6), soon=st.booleans(), seen=st.booleans())
    def restore(self, lost: int, soon: bool, seen: bool) -> None:
        """Lose the last records; endpoints write again before any read or not.

        Writes that a restore undoes are repeated by those who wrote them, also
        that a record is gone.
        """
        self.store.records = self.store.records[:-lost]
        self.store.era += 1
        if soon:
            self.write_all()
        if seen:
            self.read_all()

    def write_all(self) -> None:
        for name in ENDPOINTS:
            self.write(name)

    @rule()
    def read_all(self) -> None:
        for host in range(HOSTS):
            self.read(host, late=False)

    @rule(host=HOST_NUMBERS, late=st.booleans())
    def read(self, host: int, late: bool) -> None:
        """Read the store as the replication task does; perhaps get it late."""
        model = self.hosts[host]
        replica = model.view.replica
        if replica.era == self.store.era:
            page = self.store.changes(replica.end)
        else:
            page = self.store.latest()
        if late:
            model.late_pages.append(page)
        else:
            model.apply(page)

    @rule(host=HOST_NUMBERS)
    def deliver_late_page(self, host: int) -> None:
        model = self.hosts[host]
        if model.late_pages:
            model.apply(model.late_pages.pop(0))

    @rule(host=HOST_NUMBERS, peer=HOST_NUMBERS)
    def read_peer(self, host: int, peer: int) -> None:
        model = self.hosts[host]
        era, offset = model.view.replica.position()
        replica = self.hosts[peer].view.replica
        model.apply(replica.changes_from(max(offset, 0), era))

    @rule(host=HOST_NUMBERS, name=NAMES)
    def hear_leaving_response(self, host: int, name: str) -> None:
        """Get a response of an endpoint, which says whether it is leaving."""
        model = self.hosts[host]
        known = model.view.directory.endpoints.get(name)
        run = self.run_of(name)
        if self.endpoints[name].state == 'draining' and known:
            if known.run == run:
                model.view.directory.on_leaving_response(name, self.now.time)
                model.known_leaving.add(run)

    @rule(seconds=st.floats(0.1, 4))
    def wait(self, seconds: float) -> None:
        self.now.time += seconds
        for host in self.hosts:
            host.view.directory.tick(self.now.time)

    @invariant()
    def positions_never_go_back(self) -> None:
        for host in getattr(self, 'hosts', []):
            position = tuple(host.view.replica.position())
            assert position >= host.position
            host.position = position

    @invariant()
    def leaving_endpoints_get_nothing(self) -> None:
        for host in getattr(self, 'hosts', []):
            available = {
                EndpointRun(spec.name, spec.started_ms)
                for spec in host.available
            }
            assert not available & host.known_leaving

    def teardown(self) -> None:
        """All hosts end on the newest state once all have written and read."""
        if not hasattr(self, 'hosts'):
            return
        self.write_all()
        for number in range(HOSTS):
            self.read(number, late=False)
        self.now.time += RESTORED_RECORD_S + 1
        for name in ENDPOINTS:
            if self.endpoints[name].state != 'gone':
                self.write(name)
        for number, host in enumerate(self.hosts):
            self.read(number, late=False)
            host.view.directory.tick(self.now.time)
        ready = {
            self.run_of(name)
            for name, endpoint in self.endpoints.items()
            if endpoint.state == 'ready'
        }
        for host in self.hosts:
            available = {
                EndpointRun(spec.name, spec.started_ms)
                for spec in host.available
            }
            assert available == ready


TestRestoreMachine = RestoreMachine.TestCase
TestRestoreMachine.settings = settings(
    max_examples=1000, stateful_step_count=20, derandomize=True, deadline=None
)
