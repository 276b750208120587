"""What endpoints say of themselves in the heads of their responses."""

from trefoilspool import clock
from trefoilspool.departures import EndpointRun
from trefoilspool.dialect import OutboundRequest, ResponseHead
from trefoilspool.directory import Directory
from trefoilspool.mesh import MeshTask
from trefoilspool.quietperiods import QuietPeriods
from trefoilspool.telemetry import Metrics

__all__ = ['EndpointSigns']


class EndpointSigns:
    """Applies the heads, and tells other hosts; usable from any thread.

    Parameters
    ----------
    directory : Directory
        Endpoints by name.
    quiet_periods : QuietPeriods
        Endpoints that get no requests of this host for a while.
    mesh : MeshTask
        Tells other hosts which endpoints leave, or have limits.
    metrics : Metrics
        Counts what endpoints say.
    """

    def __init__(
        self,
        directory: Directory,
        quiet_periods: QuietPeriods,
        mesh: MeshTask,
        metrics: Metrics,
    ) -> None:
        self.directory = directory
        self.quiet_periods = quiet_periods
        self.mesh = mesh
        self.metrics = metrics

    def on_head(
        self, outbound: OutboundRequest, head: ResponseHead, is_stray: bool
    ) -> None:
        """Apply what the head of an endpoint's response says of its state."""
        if head.is_other_endpoint:
            return
        now = clock.now()
        endpoint = outbound.endpoint
        # A stray response is a copy of an earlier one, or made up.
        if not is_stray:
            self.on_limit(endpoint, head, outbound.sent_at, now)
        if head.is_leaving:
            run = self.directory.on_leaving_response(endpoint, now)
            if run is not None:
                self.count_leaving('response')
                self.mesh.call_soon(
                    lambda now: self.mesh.broadcasts.send_leaving(run, now)
                )
        if head.quiet_s and not is_stray:
            self.metrics.count('trefoilspool_endpoint_quiet_total')
            self.quiet_periods.on_request(endpoint, head.quiet_s, now)

    def on_limit(
        self, endpoint: str, head: ResponseHead, sent_at: float, now: float
    ) -> None:
        """Note how many requests an endpoint says that it takes."""
        registered = self.directory.endpoints.get(endpoint)
        if registered is None:
            return
        if self.mesh.limits.on_head(registered.run, head, sent_at, now):
            self.mesh.call_soon(self.mesh.broadcasts.send_limits)
            names_any = head.names_limit or head.is_brittle
            state = 'named' if names_any else 'ended'
            self.metrics.count(
                f'trefoilspool_endpoint_limit_total{{state="{state}"}}'
            )

    def on_leaving_runs(self, runs: list[EndpointRun]) -> list[EndpointRun]:
        """Apply the runs that a peer reports as leaving; return the new."""
        now = clock.now()
        new = [
            run
            for run in runs
            if self.directory.on_leaving_run(run, now, 'peer')
        ]
        for _ in new:
            self.count_leaving('peer')
        return new

    def count_leaving(self, source: str) -> None:
        """Count an endpoint's run that is leaving, by who reported it."""
        self.metrics.count(
            f'trefoilspool_endpoint_leaving_total{{source="{source}"}}'
        )
