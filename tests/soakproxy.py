"""A loopback proxy that spoils connections from outside."""

import contextlib
import socket
import struct
import threading
import time
from enum import Enum, auto

READ_BYTES = 65_536
DELAY_S = 0.15
POLL_S = 0.02
RESET = struct.pack('ii', 1, 0)


class Mode(Enum):
    """What happens to bytes on their way."""

    clear = auto()
    delayed = auto()
    silent = auto()  # nothing passes, neither way
    one_way = auto()  # requests pass, answers do not
    refused = auto()


BLOCKS_ANSWERS = frozenset((Mode.silent, Mode.one_way))


class Proxy:
    """Passes connections on to a target."""

    def __init__(self, target: str) -> None:
        address, _, port = target.partition(':')
        self.target = (address, int(port))
        self.mode = Mode.clear
        self.lock = threading.Lock()
        self.open: set[socket.socket] = set()
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=256)
        port = self.listener.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            while self.listener.fileno() >= 0:
                caller, _ = self.listener.accept()
                if self.mode is Mode.refused:
                    abort(caller)
                    continue
                threading.Thread(
                    target=self.join, args=(caller,), daemon=True
                ).start()

    def join(self, caller: socket.socket) -> None:
        """Connect a caller to the target."""
        try:
            server = socket.create_connection(self.target, timeout=2)
        except OSError:
            abort(caller)
            return
        server.settimeout(None)
        with self.lock:
            self.open |= {caller, server}
        threading.Thread(
            target=self.pump,
            args=(caller, server, frozenset((Mode.silent,))),
            daemon=True,
        ).start()
        self.pump(server, caller, BLOCKS_ANSWERS)
        with self.lock:
            self.open -= {caller, server}

    def pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        blocked_in: frozenset[Mode],
    ) -> None:
        """Pass one direction on, its end included."""
        try:
            while True:
                body = source.recv(READ_BYTES)
                while self.mode in blocked_in:
                    time.sleep(POLL_S)
                if self.mode is Mode.delayed:
                    time.sleep(DELAY_S)
                if not body:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(body)
        except OSError:
            abort(source)
            abort(sink)

    def reset(self) -> None:
        """Reset all open connections."""
        with self.lock:
            for one in self.open:
                abort(one)
            self.open = set()

    def close(self) -> None:
        self.listener.close()
        self.mode = Mode.clear
        self.reset()


def abort(sock: socket.socket) -> None:
    """Close with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        # Wakes a thread that reads; the close alone would not.
        sock.shutdown(socket.SHUT_RD)
    sock.close()
