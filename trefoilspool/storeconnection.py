"""The persistent connection to the platform's store."""

import http.client

from trefoilspool import clock
from trefoilspool.boundedconnection import BoundedConnection, receive
from trefoilspool.errors import LogOutageError
from trefoilspool.tcptimeouts import has_unread, shut_down

__all__ = ['StoreConnection']

CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_S = 2.0


class StoreConnection(BoundedConnection):
    """One connection, opened again when it has failed or was idle.

    Parameters
    ----------
    address : str
        The store's IP address and port.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        super().__init__(host, int(port))
        self.used_at = 0.0

    def interrupt(self) -> None:
        """End an exchange that waits, which then fails."""
        if self.sock is not None:
            shut_down(self.sock)

    def exchange(
        self, path: str, timeout_s: float, body: bytes | None
    ) -> tuple[http.client.HTTPResponse, bytes]:
        """Send a request, a POST if there is a body; read the response.

        Raises
        ------
        LogOutageError
            The store did not respond.
        """
        try:
            return self.attempt(path, timeout_s, body)
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise LogOutageError(f'{path}: {error!r}') from error

    def attempt(
        self, path: str, timeout_s: float, body: bytes | None
    ) -> tuple[http.client.HTTPResponse, bytes]:
        """Send a request and read the whole response."""
        self.ensure_open()
        self.sock.settimeout(timeout_s)
        self.request('GET' if body is None else 'POST', path, body)
        response, content = receive(self, timeout_s)
        self.used_at = clock.now()
        return response, content

    def ensure_open(self) -> None:
        """Open the connection if it is closed.

        One that was idle may have gone silent, which a call would notice only
        after its timeout, so it is closed first. So is one with bytes unread:
        they belong to no call.
        """
        is_idle = clock.now() - self.used_at > MAX_IDLE_S
        if is_idle or has_unread(self.sock):
            self.close()
        if self.sock is None:
            self.timeout = CONNECT_TIMEOUT_S
            self.connect()
