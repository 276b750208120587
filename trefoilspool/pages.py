"""The pages that a host serves about itself."""

from collections.abc import Mapping
from http import HTTPStatus

from trefoilspool.filter import Response
from trefoilspool.filters.authenticate import BEARER_PREFIX
from trefoilspool.host import Host
from trefoilspool.membership import home_of
from trefoilspool.problems import UnauthorizedError
from trefoilspool.web import (
    Environ,
    PageHandler,
    json_response,
    request_headers,
)

__all__ = ['Pages']


class Pages:
    """Handlers for health, readiness, metrics, status and tickets.

    Parameters
    ----------
    host : Host
        The host that the pages describe.
    """

    def __init__(self, host: Host) -> None:
        self.host = host

    def table(self) -> Mapping[tuple[str, str], PageHandler]:
        """Return the handlers by method and path."""
        return {
            ('GET', '/healthz'): self.health,
            ('GET', '/readyz'): self.ready,
            ('GET', '/metrics'): self.metrics,
            ('GET', '/v1/status'): self.status,
            ('POST', '/v1/tickets'): self.ticket,
        }

    def health(self, environ: Environ) -> Response:
        """Respond that the process runs."""
        return json_response(HTTPStatus.OK, {'status': 'ok'})

    def ready(self, environ: Environ) -> Response:
        """Respond whether the load balancer should send requests here."""
        ready = self.host.is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return json_response(status, {'ready': ready})

    def metrics(self, environ: Environ) -> Response:
        """Return the metrics as text."""
        body = self.host.metrics.render().encode()
        return Response(
            HTTPStatus.OK, (('Content-Type', 'text/plain'),), iter((body,))
        )

    def status(self, environ: Environ) -> Response:
        """Return the state of the system in this host's view."""
        view = self.host.view
        states = view.states if view else {}
        return json_response(
            HTTPStatus.OK,
            {
                'host': self.host.name,
                'incarnation': self.host.incarnation,
                'settings_version': self.host.settings.version,
                'open_requests': self.host.pipeline.open_count,
                'hosts': {name: state.name for name, state in states.items()},
                'permits': {
                    name: len(cell.state.permits)
                    for name, cell in self.host.scheduler.cells.items()
                },
                'homes': {
                    entry.cell: home_of(entry.cell, view.homes)
                    for entry in view.endpoints
                }
                if view
                else {},
            },
        )

    def ticket(self, environ: Environ) -> Response:
        """Issue a ticket to the workspace of the bearer token."""
        credentials = request_headers(environ).get('authorization', '')
        token = credentials.removeprefix(BEARER_PREFIX)
        workspace = self.host.settings.tree.workspace_of(token)
        if workspace is None:
            raise UnauthorizedError('the bearer token is unknown')
        return json_response(
            HTTPStatus.CREATED, {'ticket': self.host.tickets.issue(workspace)}
        )
