"""The base class of tasks that send to other hosts."""

from collections.abc import Callable

from trefoilspool.task import Task

__all__ = ['PeerTask', 'Send']

Send = Callable[[str, str, object], None]


class PeerTask(Task):
    """A task that sends elements of frames.

    Parameters
    ----------
    period_s : float
        Seconds between ticks.
    host : str
        Name of this host.
    send : callable
        Sends an element to a host: host, frame field, element.
    """

    def __init__(self, period_s: float, host: str, send: Send) -> None:
        super().__init__(period_s)
        self.host = host
        self.send = send
