"""An endpoint that answers while the body of a request is being written."""

import io
import socket
import time
from collections.abc import Callable
from typing import NamedTuple

from platformendpoint import (
    SERVER_STAMP,
    PlatformEndpoint,
    ServedRequest,
    read_request,
)

# Much less than the body of an upload, so that most of it is still unsent.
RECEIVE_BUFFER_BYTES = 8192
ENDED_S = 0.2  # an end in order, before the connection is reset


def reset_at_once(served: ServedRequest) -> None:
    """Reset the connection."""
    served.reset()


def reset_later(served: ServedRequest) -> None:
    """Reset the connection when the answer has been received."""
    time.sleep(ENDED_S)
    served.reset()


def close_unread(served: ServedRequest) -> None:
    """Close the connection with bytes unread, which resets it."""
    served.sock.recv(1, socket.MSG_PEEK)
    served.close()


def end_in_order(served: ServedRequest) -> None:
    """End the answer in order, and reset the connection afterwards."""
    served.sock.shutdown(socket.SHUT_WR)
    time.sleep(ENDED_S)
    served.reset()


def end_and_reset(served: ServedRequest) -> None:
    """End the answer in order, and reset the connection at once."""
    served.sock.shutdown(socket.SHUT_WR)
    served.reset()


class EarlyAnswer(NamedTuple):
    """What is sent as soon as a request's head has come, and how it ends.

    Attributes
    ----------
    lines : tuple of str
        Lines of the head beside the id and the stamp.
    """

    lines: tuple[str, ...]
    body: bytes
    end: Callable[[ServedRequest], None]


class EarlyEndpoint(PlatformEndpoint):
    """Sends ``answer`` before it reads the body, which it never does.

    Without an answer it serves requests as its base class does.
    """

    answer: EarlyAnswer | None = None

    def create_listener(self) -> socket.socket:
        """Return a listener whose connections have a small buffer."""
        listener = socket.socket()
        # Connections inherit it only if it is set before they are accepted.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen()
        return listener

    def serve_requests(self, sock: socket.socket) -> bool:
        """Send the answer; a file of the socket would keep it open."""
        if self.answer is None:
            return super().serve_requests(sock)
        head = b''
        while b'\r\n\r\n' not in head:
            received = sock.recv(1024)
            if not received:
                return True
            head += received
        request = read_request(io.BytesIO(head))
        assert request is not None
        self.requests.append(request)
        self.runs.append(request.request_id)
        # A reset drops what has not been sent yet.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        served = ServedRequest(sock, request, self.name)
        served.head(200, f'Server-Stamp: {SERVER_STAMP}', *self.answer.lines)
        sock.sendall(self.answer.body)
        self.answer.end(served)
        return True
