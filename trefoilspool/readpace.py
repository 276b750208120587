"""A pace for responses that come in many small pieces.

Each piece costs the same processor time, however small it is, so that endpoints
in trouble can keep a host busy with few bytes.
"""

import threading
import time

from trefoilspool import clock
from trefoilspool.ratelimits import TokenBucket
from trefoilspool.responsebounds import ReceiveLimits

__all__ = ['PieceBudget', 'ReadPace']

SMALL_BYTES = 512
# Of one response, whatever the others take: more than the events of most models.
OWN_PIECES_PER_S = 100.0
OWN_BURST_PIECES = 100.0
# Of all responses together, beyond their own: for models that stream each token
# alone.
SHARED_PIECES_PER_S = 2000.0
SHARED_BURST_PIECES = 2000.0
# Of a thread that is ahead of its pace; each wake-up has its price as well.
PAUSE_S = 0.02


class PieceBudget:
    """Small pieces that may be read; safe to use from any thread.

    Parameters
    ----------
    per_s : float
        Pieces a second.
    burst : float
        Pieces that may come at once.
    """

    def __init__(
        self,
        per_s: float = SHARED_PIECES_PER_S,
        burst: float = SHARED_BURST_PIECES,
    ) -> None:
        self.lock = threading.Lock()
        self.bucket = TokenBucket(per_s, burst, clock.now())
        self.bucket.level = burst

    def take(self) -> bool:
        """Take a piece; return false if none may be read now."""
        with self.lock:
            self.bucket.refill(clock.now())
            if self.bucket.level < 1:
                return False
            self.bucket.level -= 1
            return True


class ReadPace:
    """Bounds the small pieces of one response that are read in a second.

    The bytes of a response that is ahead stay with their sender meanwhile.

    Parameters
    ----------
    limits : ReceiveLimits
        Until when the response may be read.
    shared : PieceBudget
        The pieces of all responses of the host.
    """

    def __init__(self, limits: ReceiveLimits, shared: PieceBudget) -> None:
        self.limits = limits
        self.own = PieceBudget(OWN_PIECES_PER_S, OWN_BURST_PIECES)
        self.shared = shared

    def on_piece(self, size: int) -> None:
        """Count a piece; wait if too many small ones have been read.

        Parameters
        ----------
        size : int
            Bytes of the piece.

        Raises
        ------
        TimeoutError
            When the response may no longer be read.
        EndpointReplacedError
            When another attempt has replaced this one.
        """
        if size >= SMALL_BYTES:
            return
        while not (self.own.take() or self.shared.take()):
            # What has been received before is not read after the deadline.
            self.limits.timeout_s()
            time.sleep(PAUSE_S)
