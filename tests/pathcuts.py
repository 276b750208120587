"""Cuts of the paths between one host and endpoints, in one process."""

import socket
import time
from collections.abc import Iterable

from gatewaycluster import RunningHost
from platformendpoint import PlatformEndpoint

HANG = 'hang'
RESET = 'reset'


class PathCut:
    """Lets a host's new connections to some endpoints hang or be refused.

    Connections that are open and idle are closed.
    """

    def __init__(
        self,
        running: RunningHost,
        endpoints: Iterable[PlatformEndpoint],
        how: str,
    ) -> None:
        self.dialer = running.host.dialer
        self.open_before = self.dialer.open
        self.ports = {endpoint.port for endpoint in endpoints}
        self.how = how
        self.refused = 0
        self.dialer.open = self.open  # type: ignore[method-assign]
        running.close_idle_connections()

    def open(
        self, address: str, port: int, timeout_s: float, source: str = ''
    ) -> socket.socket:
        if port not in self.ports:
            return self.open_before(address, port, timeout_s, source)
        self.refused += 1
        if self.how == RESET:
            raise ConnectionRefusedError('cut')
        time.sleep(timeout_s)
        raise TimeoutError('cut')

    def heal(self) -> None:
        """Let connections through again."""
        self.ports = set()
