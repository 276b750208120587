"""TCP connections that a host opens itself."""

import socket

__all__ = ['Dialer']


class Dialer:
    """Opens TCP connections; usable from any thread."""

    def open(
        self, address: str, port: int, timeout_s: float, source: str = ''
    ) -> socket.socket:
        """Return an open connection.

        Parameters
        ----------
        address, port : str, int
            What it leads to.
        timeout_s : float
            How long it may take, in seconds.
        source : str
            Own address that the other side sees; empty for any.

        Raises
        ------
        OSError
            When it is refused or takes too long.
        """
        return socket.create_connection(
            (address, port), timeout_s, (source, 0) if source else None
        )
