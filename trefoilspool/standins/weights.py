"""A stand-in for the rate-limited weight store."""

import time

from trefoilspool.options import StandinOptions
from trefoilspool.standin import Reply, Request, Standin, json_reply

__all__ = ['WeightsStandin']

HTTP_TOO_MANY = 429


class WeightsStandin(Standin):
    """Serves ``GET /weights/NAME?mb=N`` at ``rate`` megabytes a second."""

    def __init__(self, options: StandinOptions) -> None:
        super().__init__(options)
        self.free_at = 0.0

    def reply(self, request: Request) -> Reply:
        """Take the transfer's time, or refuse while another runs."""
        megabytes = float(request.query.get('mb', 1))
        now = time.monotonic()
        with self.lock:
            if now < self.free_at:
                wait = self.free_at - now
                return json_reply({'retry_after': wait}, HTTP_TOO_MANY)
            self.free_at = now + megabytes / self.options.rate
        time.sleep(megabytes / self.options.rate)
        return json_reply({'loaded': request.path, 'mb': megabytes})
