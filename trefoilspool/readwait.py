"""How long the next bytes of an endpoint's response are waited for."""

from collections.abc import Callable

from trefoilspool import clock
from trefoilspool.connections import EndpointConnection

__all__ = ['ReadWait', 'SilenceHandler']

# An endpoint of which bytes have come within this time is not silent, even if
# they make up no whole event.
DRIPPING_S = 0.5


class ReadWait:
    """Waits for the bytes of one attempt's response.

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

    Attributes
    ----------
    received_at : float
        When bytes were last seen, in seconds; 0 before the first.
    """

    def __init__(
        self,
        connection: EndpointConnection,
        until: float,
        on_silence: 'SilenceHandler',
    ) -> None:
        self.connection = connection
        self.until = until
        self.on_silence = on_silence
        self.received_at = 0.0

    def next_bytes(self, has_buffered: Callable[[], bool]) -> None:
        """Return once there are bytes to read, or the end of the response.

        Parameters
        ----------
        has_buffered : callable
            Returns whether bytes have been received and not read yet.
        """
        while True:
            remaining_s = self.remaining_s()
            if not remaining_s:
                self.until = self.on_silence(self)
            elif has_buffered() or self.connection.wait_readable(remaining_s):
                self.received_at = clock.now()
                return

    def remaining_s(self) -> float:
        """Return the seconds left to wait, 0 if the time has passed."""
        return max(0, self.until - clock.now())

    def is_dripping(self) -> bool:
        """Return whether bytes keep coming, though too few for an event."""
        return clock.now() - self.received_at < DRIPPING_S

    def has_resumed(self) -> bool:
        """Return whether an endpoint that was silent has sent bytes again."""
        return not self.is_dripping() and self.connection.wait_readable(0)


SilenceHandler = Callable[[ReadWait], float]
