"""How long the next bytes of an endpoint's response are waited for."""

from collections.abc import Callable

from trefoilspool import clock
from trefoilspool.connections import EndpointConnection

__all__ = ['ReadWait', 'SilenceHandler', 'give_up']

# An endpoint of which bytes have come within this time is not silent, even if
# they make up no whole event.
DRIPPING_S = 0.5


class ReadWait:
    """The wait for the bytes of one attempt's response.

    Parameters
    ----------
    connection : EndpointConnection
        Connection from which the response is read.
    until : float
        Time, in seconds, until which the next event or the end of the body is
        waited for, whatever bytes come before it.
    on_silence : callable
        Called when that time has passed. Returns the time until which the wait
        goes on, or raises an error to end it.
    """

    def __init__(
        self,
        connection: EndpointConnection,
        until: float,
        on_silence: 'SilenceHandler',
    ) -> None:
        self.connection = connection
        self.limits = connection.limits
        self.limits.received_at = 0
        self.limits.on_timeout = lambda: self.on_silence(self)
        self.on_silence = on_silence
        self.until = until

    @property
    def until(self) -> float:
        """Return the time until which bytes are waited for, in seconds."""
        return self.limits.read_until

    @until.setter
    def until(self, until: float) -> None:
        """Set the time until which bytes are waited for, in seconds."""
        self.limits.read_until = until

    @property
    def received_at(self) -> float:
        """Return when bytes last came, in seconds; 0 before the first."""
        return self.limits.received_at

    def is_dripping(self) -> bool:
        """Return whether bytes keep coming, though too few for an event."""
        return clock.now() - self.received_at < DRIPPING_S

    def has_resumed(self) -> bool:
        """Return whether an endpoint that was silent has sent bytes again."""
        return not self.is_dripping() and self.connection.wait_readable(0)


SilenceHandler = Callable[[ReadWait], float]


def give_up(wait: ReadWait) -> float:
    """End the wait, as nothing can replace the attempt.

    Raises
    ------
    TimeoutError
        Always.
    """
    raise TimeoutError('no whole event or body in time')
