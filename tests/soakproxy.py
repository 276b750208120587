"""A TCP proxy on loopback that injects network faults."""

import contextlib
import socket
import struct
import threading
import time
from enum import Enum, auto

READ_BUFFER_BYTES = 65_536
DELAY_S = 0.15
POLL_INTERVAL_S = 0.02
# SO_LINGER on with a timeout of 0 s: closing the socket sends a reset.
LINGER_RESET = struct.pack('ii', 1, 0)


class Mode(Enum):
    """How the proxy treats connections and their bytes."""

    clear = auto()
    delayed = auto()
    silent = auto()  # no bytes pass in either direction
    one_way = auto()  # requests pass, responses do not
    refused = auto()


BLOCKS_RESPONSES = frozenset((Mode.silent, Mode.one_way))


class Proxy:
    """Forwards connections to a target; ``mode`` may change at any time."""

    def __init__(self, target: str) -> None:
        address, _, port = target.partition(':')
        self.target = (address, int(port))
        self.mode = Mode.clear
        self.lock = threading.Lock()
        self.closed = False
        self.sockets: set[socket.socket] = set()
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=256)
        port = self.listener.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            while self.listener.fileno() >= 0:
                client, _ = self.listener.accept()
                if self.mode is Mode.refused:
                    abort(client)
                    continue
                threading.Thread(
                    target=self.connect, args=(client,), daemon=True
                ).start()

    def connect(self, client: socket.socket) -> None:
        """Connect a client to the target and forward both directions."""
        try:
            server = socket.create_connection(self.target, timeout=2)
        except OSError:
            abort(client)
            return
        server.settimeout(None)
        with self.lock:
            self.sockets |= {client, server}
        if self.closed:
            self.reset()
        threading.Thread(
            target=self.forward,
            args=(client, server, frozenset((Mode.silent,))),
            daemon=True,
        ).start()
        self.forward(server, client, BLOCKS_RESPONSES)
        with self.lock:
            self.sockets -= {client, server}

    def forward(
        self,
        source: socket.socket,
        sink: socket.socket,
        blocking_modes: frozenset[Mode],
    ) -> None:
        """Forward one direction, including its end of stream."""
        try:
            while True:
                chunk = source.recv(READ_BUFFER_BYTES)
                while self.mode in blocking_modes:
                    time.sleep(POLL_INTERVAL_S)
                if self.mode is Mode.delayed:
                    time.sleep(DELAY_S)
                if not chunk:
                    self.end(source, sink)
                    return
                sink.sendall(chunk)
        except OSError:
            abort(source)
            abort(sink)

    def end(self, source: socket.socket, sink: socket.socket) -> None:
        """Pass an end of stream on, but not one that is due to a reset."""
        with self.lock:
            if source in self.sockets:
                sink.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Reset all open connections."""
        with self.lock:
            open_sockets, self.sockets = self.sockets, set()
            for sock in open_sockets:
                abort(sock)

    def close(self) -> None:
        self.closed = True
        with contextlib.suppress(OSError):
            # Wakes the thread in accept, which keeps the listener open.
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.mode = Mode.clear
        self.reset()


def abort(sock: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        # Wakes a thread blocked in recv, which close alone does not.
        sock.shutdown(socket.SHUT_RD)
    sock.close()
