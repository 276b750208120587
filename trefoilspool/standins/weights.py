"""A stand-in for the rate-limited store of model weights."""

import time

from trefoilspool.options import StandinOptions
from trefoilspool.standin import Request, Response, Standin, json_response

__all__ = ['WeightsStandin']

HTTP_TOO_MANY_REQUESTS = 429


class WeightsStandin(Standin):
    """Serves ``GET /weights/NAME?mb=N`` at ``rate`` megabytes per second."""

    def __init__(self, options: StandinOptions) -> None:
        super().__init__(options)
        self.busy_until = 0.0

    def handle(self, request: Request) -> Response:
        """Simulate a transfer, or return 429 while another one runs."""
        megabytes = float(request.query.get('mb', 1))
        now = time.monotonic()
        with self.lock:
            if now < self.busy_until:
                retry_after_s = self.busy_until - now
                return json_response(
                    {'retry_after': retry_after_s}, HTTP_TOO_MANY_REQUESTS
                )
            self.busy_until = now + megabytes / self.options.rate
        time.sleep(megabytes / self.options.rate)
        return json_response({'loaded': request.path, 'mb': megabytes})
