"""The task that checks whether broken paths work again."""

from trefoilspool import clock
from trefoilspool.departures import EndpointRun
from trefoilspool.directory import Directory
from trefoilspool.paths.table import PathTable
from trefoilspool.paths.ways import EndpointPaths
from trefoilspool.task import Task

__all__ = ['PathCheckTask']

CHECK_INTERVAL_S = 0.5
# At most so many paths are checked in vain at once: each may take its timeout.
MAX_FAILED_CHECKS = 3


class PathCheckTask(Task):
    """Connects to endpoints whose paths are broken; sends no request.

    Parameters
    ----------
    paths : EndpointPaths
        Opens connections.
    directory : Directory
        Endpoints by name.
    """

    def __init__(self, paths: EndpointPaths, directory: Directory) -> None:
        super().__init__(CHECK_INTERVAL_S)
        self.paths = paths
        self.directory = directory

    @property
    def table(self) -> PathTable:
        """Return what is known of the paths."""
        return self.paths.table

    def handle(self, message: object) -> None:
        """Ignore messages; there are none."""

    def tick(self) -> None:
        """Check the paths whose last check is the oldest."""
        if not self.table.broken and not self.table.failures:
            return
        known = frozenset(
            endpoint.run for endpoint in list(self.directory.endpoints.values())
        )
        self.table.forget(known, clock.now())
        failed = 0
        for run in self.by_age():
            failed += not self.check(run)
            if failed >= MAX_FAILED_CHECKS:
                return

    def by_age(self) -> list[EndpointRun]:
        """Return the runs with broken paths, the one checked first first."""
        broken = dict(self.table.broken)
        return sorted(broken, key=lambda run: broken[run].checked_at)

    def check(self, run: EndpointRun) -> bool:
        """Return whether the path to a run works."""
        endpoint = self.directory.endpoints.get(run.name)
        if endpoint is None or endpoint.run != run:
            return False
        if self.paths.works(endpoint):
            return True
        self.table.on_broken(run, 'a check failed', clock.now())
        return False
