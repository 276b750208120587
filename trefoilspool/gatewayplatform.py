"""Interface of a platform's adapter to hosts that serve routed requests."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from trefoilspool.departures import EndpointRecord
from trefoilspool.dialect import Dialect
from trefoilspool.routing import Configuration
from trefoilspool.store import KeyedSource, KeyedTopic

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
    """

    settings: KeyedSource
    endpoints: KeyedSource
    hosts: KeyedTopic
    quarantine: KeyedTopic
    versions: KeyedTopic


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
    def readiness_path(self) -> str:
        """Return the path of the load balancer's readiness check."""
