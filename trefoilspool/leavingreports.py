"""Which endpoints' departures a host reports to the home host, and how long."""

from trefoilspool.departures import EndpointRun

__all__ = ['LeavingReports']

REPORT_S = 4.0


class LeavingReports:
    """Runs that told this host that they are leaving.

    Heartbeats repeat them for ``REPORT_S``, as datagrams may be lost.

    Attributes
    ----------
    reported_at : dict
        When each run was first reported, in seconds.
    """

    def __init__(self) -> None:
        self.reported_at: dict[EndpointRun, float] = {}

    def add(self, run: EndpointRun, now: float) -> None:
        """Add a run."""
        self.reported_at.setdefault(run, now)

    def current(self, now: float) -> list[EndpointRun]:
        """Return the runs to repeat; forget the older ones."""
        self.reported_at = {
            run: at
            for run, at in self.reported_at.items()
            if now - at < REPORT_S
        }
        return list(self.reported_at)
