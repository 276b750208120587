"""The endpoints of all services, as they register themselves."""

import threading
from collections.abc import Callable, Iterable
from typing import NamedTuple

import logbook

from trefoilspool.errors import BadRecordError
from trefoilspool.routing import Configuration
from trefoilspool.slotmessages import EndpointSpec
from trefoilspool.store import KeyedRecord

__all__ = ['Directory', 'EndpointRecord']

RETURN_S = 2.2  # endpoints that lapsed in an outage are back by then

logger = logbook.Logger('directory')


class EndpointRecord(NamedTuple):
    """What an endpoint says of itself.

    Attributes
    ----------
    name : str
        Names one start of the endpoint.
    started : int
        Unix milliseconds of its start, 0 where it does not say.
    slots : int
        Requests that it works on at once.
    """

    name: str
    service: str
    address: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    started: int


class Directory:
    """Endpoints by name; safe to use from any thread.

    Parameters
    ----------
    decode : callable
        Returns the endpoint of a record's key and content.
    outage_ended_at : callable
        Returns when the store was regained, in monotonic seconds.
    changed : callable
        Called with the stations that may get work, when they change.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], EndpointRecord],
        outage_ended_at: Callable[[], float],
        changed: Callable[[list[EndpointSpec]], None],
    ) -> None:
        self.decode = decode
        self.outage_ended_at = outage_ended_at
        self.changed = changed
        self.lock = threading.RLock()
        self.endpoints: dict[str, EndpointRecord] = {}
        self.gone: set[str] = set()
        self.lapsing: dict[str, float] = {}
        self.configuration: Configuration | None = None
        self.published: list[EndpointSpec] = []

    def on_records(
        self,
        records: Iterable[KeyedRecord],
        now: float,
    ) -> None:
        """Take new records of endpoints."""
        with self.lock:
            for record in records:
                if record.content:
                    self.on_content(record)
                else:
                    self.on_drop(record.key, now)
            self.publish()

    def on_content(self, record: KeyedRecord) -> None:
        """Take what an endpoint says, if it can be read."""
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
        known = self.endpoints.get(endpoint.name)
        if known is not None:
            if endpoint.started < known.started:
                return
            if endpoint.started == known.started and known.leaving:
                endpoint = endpoint._replace(leaving=True)
        self.lapsing.pop(endpoint.name, None)
        self.gone.discard(endpoint.name)
        self.endpoints[endpoint.name] = endpoint
        if known is None or known.leaving != endpoint.leaving:
            logger.info(
                'endpoint_leaving' if endpoint.leaving else 'endpoint_here',
                extra={
                    'endpoint': endpoint.name,
                    'service': endpoint.service,
                    'address': f'{endpoint.address}:{endpoint.port}',
                    'offset': record.offset,
                },
            )

    def on_drop(self, name: str, now: float) -> None:
        """Drop an endpoint; right after an outage it may have lapsed only."""
        if name not in self.endpoints:
            return
        until = self.outage_ended_at() + RETURN_S
        if now < until:
            self.lapsing[name] = until
        else:
            self.remove(name)

    def remove(self, name: str) -> None:
        """Forget an endpoint."""
        self.lapsing.pop(name, None)
        self.gone.discard(name)
        if self.endpoints.pop(name, None) is not None:
            logger.info('endpoint_dropped', extra={'endpoint': name})

    def tick(self, now: float) -> None:
        """Drop what lapsed and did not come back."""
        with self.lock:
            due = [name for name, at in self.lapsing.items() if now >= at]
            for name in due:
                self.remove(name)
            if due:
                self.publish()

    def on_gone(self, name: str) -> None:
        """Pass an endpoint over whose address another one has.

        A later record of its own brings it back.
        """
        with self.lock:
            # The home may know an endpoint that this host has not read of.
            if name in self.endpoints and name not in self.gone:
                self.gone.add(name)
                logger.info('endpoint_gone', extra={'endpoint': name})
                self.publish()

    def on_configuration(self, configuration: Configuration) -> None:
        """Take the services of a configuration."""
        with self.lock:
            self.configuration = configuration
            self.publish()

    def get(self, name: str) -> EndpointRecord | None:
        """Return an endpoint that may get work, or None."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or endpoint.leaving or name in self.gone:
            return None
        return endpoint

    def publish(self) -> None:
        """Tell which endpoints may get work, if that has changed."""
        available = self.available_endpoints()
        if available != self.published:
            self.published = available
            self.changed(available)

    def available_endpoints(self) -> list[EndpointSpec]:
        """Return the endpoints that may get work."""
        if self.configuration is None:
            return []
        services = self.configuration.services
        found = []
        for endpoint in self.endpoints.values():
            service = services.get(endpoint.service)
            if service is None or self.get(endpoint.name) is None:
                continue
            engine = service.engine
            found.append(
                EndpointSpec(
                    endpoint.name,
                    endpoint.service,
                    endpoint.data_centre,
                    endpoint.slots,
                    endpoint.started,
                    engine.event_tokens if engine else 0,
                )
            )
        return sorted(found)
