"""The task that relays connections of other hosts to endpoints."""

import selectors
import socket
import threading
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import logbook

from trefoilspool import clock
from trefoilspool.departures import EndpointRun
from trefoilspool.directory import Directory
from trefoilspool.errors import BadStructError
from trefoilspool.paths.relaymessages import (
    RelayOutcome,
    RelayReply,
    RelayRequest,
)
from trefoilspool.paths.tunnel import Tunnel, close_with_reset
from trefoilspool.paths.ways import CHECK_TIMEOUT_S, EndpointPaths
from trefoilspool.peers import PeerRegistry
from trefoilspool.tcptimeouts import bound_silence
from trefoilspool.telemetry import Metrics
from trefoilspool.wire import relay as wire

__all__ = ['MAX_RELAYED', 'RelayTask']

# Connections of other hosts beside this host's own callers.
MAX_RELAYED = 96
DIALLING_THREADS = 8
BACKLOG = 64
REQUEST_TIMEOUT_S = 0.3
SWEEP_S = 0.5
# A connection may outlive the time that it is needed by so much.
LIFETIME_SLACK_S = 1.0
# After it could not be reached in time, an endpoint is not tried for so long.
RETRY_PAUSE_S = 0.5
WAKE = b'w'
READ_WAKES = 4096

logger = logbook.Logger('paths')


class OpenedTunnel(NamedTuple):
    """Message: both connections of a tunnel are open."""

    near: socket.socket
    far: socket.socket
    lifetime_s: float


class RelayTask:
    """Takes requests of other hosts and relays their connections.

    A relay connects to endpoints itself, never by another relay, so that no
    connection goes through two. Only the known hosts may ask, and only for
    endpoints that take requests.

    Parameters
    ----------
    port : int
        TCP port, the same on all hosts.
    peers : PeerRegistry
        The known hosts.
    directory : Directory
        Endpoints by name.
    paths : EndpointPaths
        This host's own connections.
    metrics : Metrics
        Counts the requests.

    Attributes
    ----------
    is_leaving : bool
        Whether no further connections are taken on.
    tunnels : dict
        The tunnels by each of their connections.
    pending : int
        Requests that have no tunnel yet.
    not_before : dict
        Time before which an endpoint is not tried, in seconds, by its run.
    """

    def __init__(
        self,
        port: int,
        peers: PeerRegistry,
        directory: Directory,
        paths: EndpointPaths,
        metrics: Metrics,
    ) -> None:
        self.peers = peers
        self.directory = directory
        self.paths = paths
        self.metrics = metrics
        self.is_leaving = False
        self.stopping = threading.Event()
        self.selector = selectors.DefaultSelector()
        self.listener = socket.create_server(
            (peers.own.address, port), backlog=BACKLOG
        )
        self.listener.setblocking(False)
        wake_sender, wake_receiver = socket.socketpair()
        wake_receiver.setblocking(False)
        self.wake_sender = wake_sender
        self.wake_receiver = wake_receiver
        self.inbox: deque[OpenedTunnel] = deque()
        self.tunnels: dict[socket.socket, Tunnel] = {}
        self.lock = threading.Lock()
        self.pending = 0
        self.not_before: dict[EndpointRun, float] = {}
        self.swept_at = 0.0
        self.dialling = ThreadPoolExecutor(DIALLING_THREADS, 'relay')

    @property
    def open_count(self) -> int:
        """Return the number of relayed connections, with pending ones."""
        return len(self.tunnels) // 2 + self.pending

    def run(self) -> None:
        """Relay connections until stopped."""
        self.selector.register(self.listener, selectors.EVENT_READ)
        self.selector.register(self.wake_receiver, selectors.EVENT_READ)
        while not self.stopping.is_set():
            try:
                self.step()
            except Exception:
                logger.exception('relay_failed')
        self.close()

    def stop(self) -> None:
        """Stop the task; usable from any thread."""
        self.stopping.set()
        self.wake()

    def wake(self) -> None:
        """End a wait for events; usable from any thread."""
        try:
            self.wake_sender.send(WAKE)
        except OSError as error:
            # The task has ended.
            logger.debug('relay_not_woken', extra={'error': repr(error)})

    def step(self) -> None:
        """Handle the events that have happened, or those of the next."""
        for key, events in self.selector.select(SWEEP_S):
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            if sock is self.listener:
                self.accept()
            elif sock is self.wake_receiver:
                self.on_messages()
            elif sock in self.tunnels:
                self.on_tunnel(self.tunnels[sock], sock, events)
        now = clock.now()
        if now - self.swept_at >= SWEEP_S:
            self.swept_at = now
            self.close_expired(now)

    def accept(self) -> None:
        """Accept a connection, unless it is not of a known host."""
        try:
            near, (address, _) = self.listener.accept()
        except OSError as error:
            logger.info('relay_not_accepted', extra={'error': repr(error)})
            return
        if not self.peers.is_address_known(address):
            logger.warning('relay_stranger', extra={'from': address})
            close_with_reset(near)
            return
        is_free = self.open_count < MAX_RELAYED and not self.is_leaving
        with self.lock:
            self.pending += 1
        self.dialling.submit(self.serve, near, is_free=is_free)

    def serve(self, near: socket.socket, *, is_free: bool) -> None:
        """Answer a host's request; runs on a thread of its own."""
        try:
            self.answer(near, is_free=is_free)
        except (OSError, BadStructError) as error:
            logger.info('relay_request_failed', extra={'error': repr(error)})
            near.close()
        except Exception:
            logger.exception('relay_request_failed')
            near.close()
        finally:
            with self.lock:
                self.pending -= 1

    def answer(self, near: socket.socket, *, is_free: bool) -> None:
        """Read a request, connect to the endpoint, and send the answer.

        Raises
        ------
        OSError, BadStructError
            When the host ends the connection, or sends something odd.
        """
        near.settimeout(REQUEST_TIMEOUT_S)
        near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request = wire.decode_request(wire.receive_message(near))
        outcome, far = RelayOutcome.busy, None
        if is_free:
            outcome, far = self.connect(request)
        self.metrics.count(
            f'trefoilspool_relay_requests_total{{outcome="{outcome.name}"}}'
        )
        # Another endpoint may have to be tried to tell.
        reaches_other = far is None and self.paths.reaches_other(request.run)
        try:
            near.sendall(wire.encode_reply(RelayReply(outcome, reaches_other)))
        except OSError:
            if far is not None:
                close_with_reset(far)
            raise
        if far is None:
            near.close()
            return
        self.inbox.append(OpenedTunnel(near, far, request.lifetime_s))
        self.wake()

    def connect(
        self, request: RelayRequest
    ) -> tuple[RelayOutcome, socket.socket | None]:
        """Connect to the endpoint of a request."""
        endpoint = self.directory.get(request.run.name)
        if endpoint is None or endpoint.run != request.run:
            return RelayOutcome.unknown, None
        is_paused = clock.now() < self.not_before.get(endpoint.run, 0)
        if is_paused or self.paths.table.is_broken(endpoint.run):
            return RelayOutcome.unreachable, None
        try:
            far = self.paths.open_directly(endpoint, CHECK_TIMEOUT_S)
        except ConnectionRefusedError:
            return RelayOutcome.refused, None
        except OSError as error:
            logger.info(
                'relay_not_connected',
                extra={'endpoint': endpoint.name, 'error': repr(error)},
            )
            self.not_before[endpoint.run] = clock.now() + RETRY_PAUSE_S
            return RelayOutcome.unreachable, None
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return RelayOutcome.connected, far

    def on_messages(self) -> None:
        """Take over the tunnels that have been opened."""
        self.wake_receiver.recv(READ_WAKES)
        while self.inbox:
            near, far, lifetime_s = self.inbox.popleft()
            tunnel = Tunnel(
                near, far, clock.now() + lifetime_s + LIFETIME_SLACK_S
            )
            for sock in (near, far):
                sock.setblocking(False)
                bound_silence(sock)
                self.tunnels[sock] = tunnel
                self.selector.register(sock, selectors.EVENT_READ)

    def on_tunnel(
        self, tunnel: Tunnel, sock: socket.socket, events: int
    ) -> None:
        """Move bytes of a tunnel, and wait for what it waits for next."""
        tunnel.on_events(sock, events)
        if tunnel.is_closed:
            self.forget(tunnel)
            return
        for waiting, interest in tunnel.interests().items():
            self.set_interest(waiting, interest)

    def set_interest(self, sock: socket.socket, interest: int) -> None:
        """Wait for other events on a connection than before."""
        is_registered = self.is_registered(sock)
        if not interest:
            if is_registered:
                self.selector.unregister(sock)
        elif not is_registered:
            self.selector.register(sock, interest)
        elif self.selector.get_key(sock).events != interest:
            self.selector.modify(sock, interest)

    def is_registered(self, sock: socket.socket) -> bool:
        """Return whether events of a connection are waited for."""
        try:
            return sock in self.selector.get_map()
        except ValueError:
            # It is closed, and was not registered any more.
            return False

    def forget(self, tunnel: Tunnel) -> None:
        """Drop a tunnel that has been closed."""
        for sock in (tunnel.near, tunnel.far):
            self.tunnels.pop(sock, None)
            if self.is_registered(sock):
                self.selector.unregister(sock)

    def close_expired(self, now: float) -> None:
        """Close the tunnels that have outlived their requests."""
        for tunnel in set(self.tunnels.values()):
            if now >= tunnel.expires_at:
                self.end(tunnel)
        for run, until in list(self.not_before.items()):
            if now >= until:
                self.not_before.pop(run, None)

    def end(self, tunnel: Tunnel) -> None:
        """Stop waiting for events of a tunnel and close it."""
        self.forget(tunnel)
        tunnel.close()

    def close(self) -> None:
        """Close all connections."""
        for tunnel in set(self.tunnels.values()):
            self.end(tunnel)
        self.dialling.shutdown(wait=False, cancel_futures=True)
        self.selector.close()
        for sock in (self.listener, self.wake_sender, self.wake_receiver):
            sock.close()
