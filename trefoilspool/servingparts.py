"""What the serving of all routed requests shares."""

from typing import NamedTuple

from trefoilspool.dialect import Dialect
from trefoilspool.directory import Directory
from trefoilspool.exchange import EndpointClient
from trefoilspool.origingossip import OriginGossip
from trefoilspool.quietperiods import QuietPeriods
from trefoilspool.slotclient import SlotClient
from trefoilspool.telemetry import Metrics
from trefoilspool.watch import WatchTask

__all__ = ['EndpointKnowledge', 'ServingParts']


class EndpointKnowledge(NamedTuple):
    """What this host knows of endpoints.

    Attributes
    ----------
    directory : Directory
        Endpoints by name.
    quiet_periods : QuietPeriods
        Endpoints that get no requests of this host for a while.
    origins : OriginGossip
        At which software versions streams began.
    """

    directory: Directory
    quiet_periods: QuietPeriods
    origins: OriginGossip


class ServingParts:
    """What all routed requests share.

    Parameters
    ----------
    slot_client : SlotClient
        Acquires and releases slots.
    knowledge : EndpointKnowledge
        What this host knows of endpoints.
    endpoint_client : EndpointClient
        Sends requests to endpoints.
    watch : WatchTask
        Aborts attempts whose caller disconnected or whose deadline passed.
    metrics : Metrics
        Counts outcomes.
    data_centre : str
        Data centre of this host.
    """

    def __init__(
        self,
        slot_client: SlotClient,
        knowledge: EndpointKnowledge,
        endpoint_client: EndpointClient,
        watch: WatchTask,
        metrics: Metrics,
        data_centre: str,
    ) -> None:
        self.slot_client = slot_client
        self.directory = knowledge.directory
        self.quiet_periods = knowledge.quiet_periods
        self.origins = knowledge.origins
        self.endpoint_client = endpoint_client
        self.watch = watch
        self.metrics = metrics
        self.data_centre = data_centre

    @property
    def dialect(self) -> Dialect:
        """Return the codec of requests and responses."""
        return self.endpoint_client.dialect
