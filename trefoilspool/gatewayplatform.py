"""Interface of a platform's adapter to hosts that serve routed requests."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from trefoilspool.departures import EndpointRecord
from trefoilspool.dialect import Dialect
from trefoilspool.replica import Position
from trefoilspool.rollouts.messages import RolloutOrder, RolloutStatus
from trefoilspool.routing import Configuration
from trefoilspool.store import ConditionalTopic, KeyedSource, KeyedTopic

__all__ = ['Platform', 'StoreTopics']


class StoreTopics(NamedTuple):
    """The topics of the store.

    Attributes
    ----------
    settings, endpoints : KeyedSource
        Replicated by every host.
    hosts : KeyedTopic
        Records of the hosts, for discovery.
    quarantine : KeyedTopic
        The quarantined prompt parts.
    versions : KeyedTopic
        The versions of the endpoints' software.
    statuses : ConditionalTopic
        What the operator is told, such as how roll-outs go on.
    """

    settings: KeyedSource
    endpoints: KeyedSource
    hosts: KeyedTopic
    quarantine: KeyedTopic
    versions: KeyedTopic
    statuses: ConditionalTopic


class Platform(ABC):
    """Interface of a platform's adapter."""

    @abstractmethod
    def dialect(self) -> Dialect:
        """Return the codec of requests and responses."""

    @abstractmethod
    def topics(self) -> StoreTopics:
        """Return the topics of the store."""

    @abstractmethod
    def decode_configuration(self, content: bytes) -> Configuration:
        """Decode the configuration from the content of its record.

        Raises
        ------
        BadRecordError
            When the content is invalid.
        """

    @abstractmethod
    def decode_endpoint(self, key: str, content: bytes) -> EndpointRecord:
        """Decode an endpoint from the key and content of its record.

        Raises
        ------
        BadRecordError
            When the content is invalid.
        """

    @abstractmethod
    def decode_order(
        self, key: str, content: bytes, position: Position
    ) -> RolloutOrder | None:
        """Decode a roll-out's order from a record of the settings' topic.

        Returns
        -------
        RolloutOrder or None
            None for the record of something else.

        Raises
        ------
        BadRecordError
            When the order cannot be used.
        """

    @abstractmethod
    def status_key(self, service: str) -> str:
        """Return the key of the status of a service's roll-out."""

    @abstractmethod
    def encode_status(self, status: RolloutStatus) -> bytes:
        """Encode the content of a roll-out's status."""

    @abstractmethod
    def decode_status(self, service: str, content: bytes) -> RolloutStatus:
        """Decode a roll-out's status from the content of its record.

        Raises
        ------
        BadRecordError
            When the content is invalid.
        """

    @abstractmethod
    def readiness_path(self) -> str:
        """Return the path of the load balancer's readiness check."""
