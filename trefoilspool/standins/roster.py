"""A stand-in for the platform's lagging list."""

import json
import pathlib
import time

from trefoilspool.options import StandinOptions
from trefoilspool.standin import Reply, Request, Standin, json_reply

__all__ = ['RosterStandin']


class RosterStandin(Standin):
    """Serves a list that is ``lag_s`` old; ``PUT /roster`` replaces it."""

    def __init__(self, options: StandinOptions) -> None:
        super().__init__(options)
        listing: object = {'hosts': [], 'endpoints': []}
        if options.file:
            listing = json.loads(pathlib.Path(options.file).read_text())
        self.versions: list[tuple[float, object]] = [(0, listing)]

    def reply(self, request: Request) -> Reply:
        """Return the list as it was, or replace it."""
        if request.method == 'PUT':
            listing = json.loads(request.body)
            with self.lock:
                self.versions.append((time.monotonic(), listing))
            return json_reply({})
        return json_reply(self.lagging())

    def lagging(self) -> object:
        """Return the newest version that is old enough to be known."""
        known = time.monotonic() - self.options.lag_s
        with self.lock:
            old = [one for one in self.versions if one[0] <= known]
            return old[-1][1]
