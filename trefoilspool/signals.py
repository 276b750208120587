"""Signals of the process, received as messages on the main thread."""

import os
import select
import signal
from collections import deque
from collections.abc import Iterable
from types import FrameType

__all__ = ['SignalQueue']

POLL_S = 0.5  # bounds the delay if a wake-up is lost
MAX_WAKE_BYTES = 4096


class SignalQueue:
    """Queues signals; their handlers take no lock, so they can interrupt any.

    Must be used on the main thread, on which Python runs signal handlers.

    Parameters
    ----------
    numbers : iterable of int
        Signals to receive.
    """

    def __init__(self, numbers: Iterable[int]) -> None:
        self.received: deque[int] = deque()
        reader, writer = os.pipe()
        self.reader = reader
        os.set_blocking(reader, False)
        os.set_blocking(writer, False)
        # Wakes ``get`` also if the signal is delivered to another thread.
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, self.on_signal)

    def on_signal(self, number: int, frame: FrameType | None) -> None:
        """Queue a signal."""
        self.received.append(number)

    def get(self) -> int:
        """Block until a signal has been received, and return its number."""
        while not self.received:
            readable, _, _ = select.select([self.reader], [], [], POLL_S)
            if readable:
                os.read(self.reader, MAX_WAKE_BYTES)
        return self.received.popleft()
