"""The directory of endpoints, from their registration records."""

import threading
from collections.abc import Callable, Iterable
from typing import NamedTuple

import logbook

from trefoilspool.errors import BadRecordError
from trefoilspool.routing import Configuration
from trefoilspool.slotmessages import EndpointSpec
from trefoilspool.store import KeyedRecord

__all__ = ['Directory', 'EndpointRecord']

# Time after the end of an outage of the store, within which endpoints whose
# records expired during the outage register again.
REREGISTRATION_S = 2.2

logger = logbook.Logger('directory')


class EndpointRecord(NamedTuple):
    """An endpoint's registration.

    Attributes
    ----------
    name : str
        Instance name, which is also the key of its record.
    slots : int
        Number of requests that it processes concurrently.
    leaving : bool
        Whether it is shutting down and takes no new requests.
    started_ms : int
        Unix time of its start in milliseconds; 0 if the record has none.
    """

    name: str
    service: str
    address: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    started_ms: int


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
        self.configuration: Configuration | None = None
        self.published: list[EndpointSpec] = []

    def on_records(
        self,
        records: Iterable[KeyedRecord],
        now: float,
    ) -> None:
        """Apply new endpoint records."""
        with self.lock:
            for record in records:
                if record.content:
                    self.on_update(record)
                else:
                    self.on_deletion(record.key, now)
            self.publish()

    def on_update(self, record: KeyedRecord) -> None:
        """Apply an endpoint record, unless it is malformed or outdated."""
        try:
            endpoint = self.decode(record.key, record.content)
        except BadRecordError as error:
            logger.warning(
                'endpoint_record_unreadable',
                extra={
                    'key': record.key,
                    'offset': record.offset,
                    'error': str(error),
                },
            )
            return
        previous = self.endpoints.get(endpoint.name)
        if previous is not None:
            if endpoint.started_ms < previous.started_ms:
                return
            if endpoint.started_ms == previous.started_ms and previous.leaving:
                endpoint = endpoint._replace(leaving=True)
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
                    'offset': record.offset,
                },
            )

    def on_deletion(self, name: str, now: float) -> None:
        """Remove an endpoint whose record was deleted.

        Soon after an outage the removal is delayed: the record may have
        expired only because the endpoint could not renew it.
        """
        if name not in self.endpoints:
            return
        remove_at = self.outage_ended_at() + REREGISTRATION_S
        if now < remove_at:
            self.expiring[name] = remove_at
        else:
            self.remove(name)

    def remove(self, name: str) -> None:
        """Remove an endpoint."""
        self.expiring.pop(name, None)
        self.displaced.discard(name)
        if self.endpoints.pop(name, None) is not None:
            logger.info('endpoint_dropped', extra={'endpoint': name})

    def tick(self, now: float) -> None:
        """Remove expired endpoints that have not registered again in time."""
        with self.lock:
            expired = [name for name, at in self.expiring.items() if now >= at]
            for name in expired:
                self.remove(name)
            if expired:
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

    def publish(self) -> None:
        """Report the available endpoints, if they have changed."""
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
                )
            )
        return sorted(specs)
