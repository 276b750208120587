"""What hosts say to each other to relay a connection."""

from enum import IntEnum
from typing import NamedTuple

from trefoilspool.departures import EndpointRun

__all__ = ['RelayOutcome', 'RelayReply', 'RelayRequest']


class RelayOutcome(IntEnum):
    """What became of the connection of a relay to an endpoint."""

    connected = 0
    refused = 1  # the endpoint refused it
    unreachable = 2  # it could not be made in time
    unknown = 3  # the relay does not know the endpoint, or that it leaves
    busy = 4  # the relay takes on no more, or is leaving


class RelayRequest(NamedTuple):
    """The request of a host for a connection to an endpoint.

    Attributes
    ----------
    run : EndpointRun
        The endpoint's run.
    lifetime_s : float
        Seconds after which the connection may be closed.
    """

    run: EndpointRun
    lifetime_s: float


class RelayReply(NamedTuple):
    """The answer to a request for a connection.

    Attributes
    ----------
    reaches_other : bool
        Whether the relay has just reached another endpoint, so that a failure
        tells of this endpoint.
    """

    outcome: RelayOutcome
    reaches_other: bool
