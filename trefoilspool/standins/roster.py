"""A stand-in for the platform's roster of hosts and endpoints."""

import json
import pathlib
import time

from trefoilspool.options import StandinOptions
from trefoilspool.standin import Request, Response, Standin, json_response

__all__ = ['RosterStandin']


class RosterStandin(Standin):
    """Serves the roster as it was ``lag_s`` seconds ago.

    ``PUT /roster`` replaces it.
    """

    def __init__(self, options: StandinOptions) -> None:
        super().__init__(options)
        roster: object = {'hosts': [], 'endpoints': []}
        if options.file:
            roster = json.loads(pathlib.Path(options.file).read_text())
        self.versions: list[tuple[float, object]] = [(0, roster)]

    def handle(self, request: Request) -> Response:
        """Replace the roster, or return it with the lag."""
        if request.method == 'PUT':
            roster = json.loads(request.body)
            with self.lock:
                self.versions.append((time.monotonic(), roster))
            return json_response({})
        return json_response(self.lagged_roster())

    def lagged_roster(self) -> object:
        """Return the newest version that is at least ``lag_s`` seconds old."""
        visible_until = time.monotonic() - self.options.lag_s
        with self.lock:
            visible = [
                version
                for version in self.versions
                if version[0] <= visible_until
            ]
            return visible[-1][1]
