"""The directory of endpoints, from their registration records."""

import threading
from collections.abc import Callable, Iterable

import logbook

from trefoilspool import clock
from trefoilspool.departures import (
    Departures,
    EndpointRecord,
    EndpointRun,
)
from trefoilspool.errors import BadRecordError
from trefoilspool.routing import Configuration
from trefoilspool.slotmessages import EndpointSpec
from trefoilspool.store import KeyedRecord
from trefoilspool.versionhistory import ServiceVersion, VersionHistory

__all__ = ['Directory', 'service_version']

# Time after the end of an outage of the store, within which endpoints whose
# records expired during the outage register again.
REREGISTRATION_S = 2.2

logger = logbook.Logger('directory')


def any_version(software: str) -> bool:
    """Return true."""
    return True


def service_version(endpoint: EndpointRecord) -> ServiceVersion:
    """Return the version that an endpoint's streams begin at."""
    return ServiceVersion(endpoint.service, endpoint.stream_version)


class Directory:
    """Registered endpoints by name; safe to use from any thread.

    Parameters
    ----------
    decode : callable
        Decodes a record's key and content; raises ``BadRecordError`` if the
        content is malformed.
    outage_ended_at : callable
        Returns the monotonic time, in seconds, at which the last outage of
        the store ended.
    on_change : callable
        Called with the available endpoints when they change.

    Attributes
    ----------
    displaced : set of str
        Names of endpoints that are leaving or whose address another endpoint
        now has, as found by an attempt.
    expiring : dict
        Endpoints whose record was deleted soon after an outage: the times at
        which they are removed, in monotonic seconds, by name.
    departures : Departures
        Endpoints that have left or are leaving.
    versions : VersionHistory
        Versions of the endpoints' software.
    registered : set of ServiceVersion
        Versions that have registered since ``versions`` was last updated.
    published : list of EndpointSpec
        The endpoints last reported to ``on_change``.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], EndpointRecord],
        outage_ended_at: Callable[[], float],
        on_change: Callable[[list[EndpointSpec]], None],
    ) -> None:
        self.decode = decode
        self.outage_ended_at = outage_ended_at
        self.on_change = on_change
        self.lock = threading.RLock()
        self.endpoints: dict[str, EndpointRecord] = {}
        self.displaced: set[str] = set()
        self.expiring: dict[str, float] = {}
        self.departures = Departures()
        self.versions = VersionHistory(clock.now())
        self.registered: set[ServiceVersion] = set()
        self.configuration: Configuration | None = None
        self.published: list[EndpointSpec] = []

    def on_records(
        self,
        records: Iterable[KeyedRecord],
        now: float,
        *,
        restored: bool = False,
    ) -> None:
        """Apply new endpoint records; one that fails costs no other.

        Parameters
        ----------
        records : iterable of KeyedRecord
            The records; without content if the key was deleted.
        now : float
            The present time in monotonic seconds.
        restored : bool
            Whether the store was just restored from a backup, so that the
            records may be older than what is known.
        """
        with self.lock:
            for record in records:
                try:
                    self.on_record(record, now, restored=restored)
                except Exception:
                    logger.exception(
                        'endpoint_record_not_used',
                        extra={'key': record.key, 'offset': record.offset},
                    )
            self.publish()

    def on_record(
        self, record: KeyedRecord, now: float, *, restored: bool
    ) -> None:
        """Apply an endpoint's record."""
        if not record.content:
            self.on_deletion(record.key, now)
            return
        endpoint = self.decoded(record)
        if endpoint is None:
            return
        if restored:
            self.on_restored(endpoint, record.offset, now)
        else:
            self.on_update(endpoint, record.offset)

    def decoded(self, record: KeyedRecord) -> EndpointRecord | None:
        """Return the endpoint of a record, None if it is malformed."""
        try:
            return self.decode(record.key, record.content)
        except BadRecordError as error:
            logger.warning(
                'endpoint_record_unreadable',
                extra={
                    'key': record.key,
                    'offset': record.offset,
                    'error': str(error),
                },
            )
            return None

    def on_restored(
        self, endpoint: EndpointRecord, offset: int, now: float
    ) -> None:
        """Apply a registration that may be older than what is known.

        It does not bring back a run that was removed or found displaced. A
        removed one returns once its record has stood for some seconds.
        """
        name = endpoint.name
        if self.departures.hold_back(endpoint, offset, now):
            return
        is_displaced = name in self.displaced
        known = self.endpoints.get(name)
        self.on_update(endpoint, offset)
        if is_displaced and known and known.run == endpoint.run:
            self.displaced.add(name)

    def on_update(self, endpoint: EndpointRecord, offset: int) -> None:
        """Apply a registration, unless it is of an earlier run."""
        self.registered.add(service_version(endpoint))
        previous = self.endpoints.get(endpoint.name)
        last = previous or self.departures.last(endpoint.name)
        if last is not None:
            if endpoint.started_ms < last.started_ms:
                return
            if endpoint.run == last.run and last.leaving:
                endpoint = endpoint._replace(leaving=True)
        if endpoint.run in self.departures.leaving_runs:
            endpoint = endpoint._replace(leaving=True)
        self.departures.on_registered(endpoint.name)
        self.expiring.pop(endpoint.name, None)
        self.displaced.discard(endpoint.name)
        self.endpoints[endpoint.name] = endpoint
        if previous is None or previous.leaving != endpoint.leaving:
            logger.info(
                'endpoint_leaving' if endpoint.leaving else 'endpoint_here',
                extra={
                    'endpoint': endpoint.name,
                    'service': endpoint.service,
                    'address': f'{endpoint.address}:{endpoint.port}',
                    'software': endpoint.software,
                    'offset': offset,
                },
            )

    def on_leaving_response(self, name: str, now: float) -> EndpointRun | None:
        """Apply an endpoint's response that says that it is leaving.

        Returns
        -------
        EndpointRun or None
            The run that is leaving; None if this was known before.
        """
        with self.lock:
            endpoint = self.endpoints.get(name) or self.departures.last(name)
            if endpoint is None:
                return None
            is_new = self.on_leaving_run(endpoint.run, now, 'response')
            return endpoint.run if is_new else None

    def on_leaving_run(self, run: EndpointRun, now: float, source: str) -> bool:
        """Exclude a run that reported that it is leaving.

        Only a later run of the endpoint becomes available again.

        Parameters
        ----------
        run : EndpointRun
            The run.
        now : float
            The present time in monotonic seconds.
        source : str
            Who reported it, for the log line.

        Returns
        -------
        bool
            Whether this was not known before.
        """
        with self.lock:
            if not self.departures.on_leaving_run(run, now):
                return False
            endpoint = self.endpoints.get(run.name)
            if endpoint is not None and endpoint.run == run:
                self.endpoints[run.name] = endpoint._replace(leaving=True)
            logger.info(
                'endpoint_leaving',
                extra={
                    'endpoint': run.name,
                    'started_ms': run.started_ms,
                    'source': source,
                },
            )
            self.publish()
            return True

    def on_deletion(self, name: str, now: float) -> None:
        """Remove an endpoint whose record was deleted.

        Soon after an outage the removal is delayed: the record may have
        expired only because the endpoint could not renew it.
        """
        self.departures.drop_held_back(name)
        if name not in self.endpoints:
            return
        remove_at = self.outage_ended_at() + REREGISTRATION_S
        if now < remove_at:
            self.expiring[name] = remove_at
        else:
            self.remove(name, now)

    def remove(self, name: str, now: float) -> None:
        """Remove an endpoint."""
        self.expiring.pop(name, None)
        self.displaced.discard(name)
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            self.departures.on_removed(endpoint, now)
            logger.info('endpoint_dropped', extra={'endpoint': name})

    def tick(self, now: float, current_at: float | None = None) -> None:
        """Apply what is due: removals, and records that were held back.

        Parameters
        ----------
        now : float
            The present time in monotonic seconds.
        current_at : float, optional
            When this host last had all records; by default now. Only until
            then it is known that a record still stands.
        """
        current_at = now if current_at is None else current_at
        with self.lock:
            for name, remove_at in list(self.expiring.items()):
                if now >= remove_at:
                    self.remove(name, now)
            for held in self.departures.due(current_at):
                self.departures.drop_held_back(held.endpoint.name)
                self.on_update(held.endpoint, held.offset)
            self.departures.forget_old(now, frozenset(self.endpoints))
            self.publish()

    def on_displaced(self, name: str) -> None:
        """Exclude an endpoint that an attempt found displaced or leaving.

        A later record of the endpoint makes it available again.
        """
        with self.lock:
            # The home host may grant a slot at an endpoint whose record this
            # host has not read yet.
            if name in self.endpoints and name not in self.displaced:
                self.displaced.add(name)
                logger.info('endpoint_gone', extra={'endpoint': name})
                self.publish()

    def on_configuration(self, configuration: Configuration) -> None:
        """Apply the services of a configuration."""
        with self.lock:
            self.configuration = configuration
            self.publish()

    def get(self, name: str) -> EndpointRecord | None:
        """Return an endpoint, None if it is unknown or unavailable."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or endpoint.leaving or name in self.displaced:
            return None
        return endpoint

    def names(
        self, service: str, allows: Callable[[str], bool] = any_version
    ) -> list[str]:
        """Return the names of a service's available endpoints.

        Parameters
        ----------
        service : str
            Name of the service.
        allows : callable
            Returns whether a version of the endpoints' software is wanted.
        """
        return [
            endpoint.name
            for endpoint in self.published
            if endpoint.service == service and allows(endpoint.software)
        ]

    def publish(self) -> None:
        """Report the available endpoints, if they have changed."""
        self.versions.update(
            map(service_version, self.endpoints.values()),
            clock.now(),
            self.registered,
        )
        self.registered.clear()
        available = self.available_endpoints()
        if available != self.published:
            self.published = available
            self.on_change(available)

    def available_endpoints(self) -> list[EndpointSpec]:
        """Return the endpoints that may be sent requests, sorted."""
        if self.configuration is None:
            return []
        services = self.configuration.services
        specs = []
        for endpoint in self.endpoints.values():
            service = services.get(endpoint.service)
            if service is None or self.get(endpoint.name) is None:
                continue
            engine = service.engine
            specs.append(
                EndpointSpec(
                    endpoint.name,
                    endpoint.service,
                    endpoint.data_centre,
                    endpoint.slots,
                    endpoint.started_ms,
                    engine.event_tokens if engine else 0,
                    endpoint.stream_version,
                )
            )
        return sorted(specs)
