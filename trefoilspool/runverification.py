"""Whether an endpoint's record is of the run that serves.

An endpoint that was down may be back under its name as another run, with
another version of its software, before hosts read its new record.
"""

import math
import threading

from trefoilspool.departures import EndpointRun

__all__ = [
    'RECORD_LIFETIME_S',
    'DownRuns',
    'RecordConfirmation',
    'is_verified',
]

# A record that is not renewed is removed after three periods of 1.2 s.
RECORD_LIFETIME_S = 4.0
# A host reads the records, or hears that others have, every 1.1 s. After a
# longer gap the store may have been away unnoticed.
GAP_S = 2.6


class RecordConfirmation:
    """As of when the endpoints' records tell which runs serve.

    While the store is away, endpoints that come back cannot register, and
    records of those that ended may outlast the outage. The time therefore
    stands still from the last read before an outage until a read that is asked
    ``RECORD_LIFETIME_S`` after it.

    Attributes
    ----------
    confirmed_at : float
        That time, in seconds; a run that was down before it by at least
        ``RECORD_LIFETIME_S`` serves no more under its record.
    current_at : float
        When this host last had all records, in seconds.
    gap_ended_at : float
        When this host had them again after a gap, in seconds.
    """

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self.current_at = -math.inf
        self.gap_ended_at = -math.inf

    def on_current(self, at: float, outage_ended_at: float) -> None:
        """Note that this host had all records at a time.

        Parameters
        ----------
        at : float
            That time, in seconds.
        outage_ended_at : float
            When the last outage of the store ended, in seconds; during one,
            the present time.
        """
        if at <= self.current_at:
            return
        if at - self.current_at > GAP_S:
            self.gap_ended_at = at
        self.current_at = at
        trouble_ended_at = max(outage_ended_at, self.gap_ended_at)
        if at >= trouble_ended_at + RECORD_LIFETIME_S:
            self.confirmed_at = at


def is_verified(down_at: float, confirmed_at: float) -> bool:
    """Return whether a run's record is known to be of the run that serves.

    Parameters
    ----------
    down_at : float
        When an endpoint last refused a connection under that record, in
        seconds.
    confirmed_at : float
        See `RecordConfirmation`.
    """
    return confirmed_at >= down_at + RECORD_LIFETIME_S


class DownRuns:
    """Runs that were down, until their records are confirmed.

    Usable from any thread.

    Attributes
    ----------
    down_at : dict
        When each was last known to be down, in seconds.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.down_at: dict[EndpointRun, float] = {}

    def on_down(self, run: EndpointRun, at: float) -> None:
        """Note that a run was down at a time, in seconds."""
        with self.lock:
            self.down_at[run] = max(at, self.down_at.get(run, at))

    def forget(self, run: EndpointRun) -> None:
        """Note that a run serves."""
        with self.lock:
            self.down_at.pop(run, None)

    def on_confirmed(self, confirmed_at: float) -> None:
        """Forget the runs whose records are confirmed.

        Parameters
        ----------
        confirmed_at : float
            See `RecordConfirmation`.
        """
        with self.lock:
            self.down_at = {
                run: at
                for run, at in self.down_at.items()
                if not is_verified(at, confirmed_at)
            }

    def is_verified(self, run: EndpointRun) -> bool:
        """Return whether a run's record is of the run that serves."""
        return run not in self.down_at
