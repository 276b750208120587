"""Connections to endpoints that other hosts relay."""

import heapq
import socket
import threading
from collections.abc import Iterator, Mapping
from typing import NamedTuple

import logbook
import xxhash

from trefoilspool import clock
from trefoilspool.departures import EndpointRun
from trefoilspool.errors import BadStructError
from trefoilspool.paths.dialer import Dialer
from trefoilspool.paths.relayedsocket import RelayedSocket
from trefoilspool.paths.relaymessages import (
    RelayOutcome,
    RelayReply,
    RelayRequest,
)
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.wire import relay as wire

__all__ = ['RelayAttempt', 'RelayClient']

CONNECT_TIMEOUT_S = 0.1
# A relay gives up its own connection, and one for comparison, before.
REPLY_TIMEOUT_S = 0.4
# For one connection hosts are asked until one leads there, at most so many, and
# no further one after so long.
MAX_RELAYS_ASKED = 6
MAX_ASKING_S = 0.25
UNANSWERED_PAUSE_S = 1.0
# How long a host that reaches nothing is not asked again.
CUT_OFF_PAUSE_S = 1.0
# How long a host is not asked again for the same endpoint after each outcome.
PAUSES_S: Mapping[RelayOutcome, float] = {
    RelayOutcome.busy: 0.2,
    RelayOutcome.unreachable: 1.0,
    RelayOutcome.refused: 0.3,
    RelayOutcome.unknown: 0.3,
}
MAX_REMEMBERED = 4096

logger = logbook.Logger('paths')


class RelayAttempt(NamedTuple):
    """What came of asking other hosts for a connection.

    Attributes
    ----------
    connection : RelayedSocket or None
        The connection, if one relays it.
    relay : str
        The host that was asked last; empty if there was none to ask.
    replies : tuple of RelayReply
        The answers of those that do not.
    """

    connection: RelayedSocket | None
    relay: str
    replies: tuple[RelayReply, ...]


class RelayClient:
    """Asks other hosts for connections; usable from any thread.

    Parameters
    ----------
    peers : PeerRegistry
        The known hosts.
    port : int
        Port on which hosts take such requests.
    dialer : Dialer
        Opens connections to hosts.

    Attributes
    ----------
    paused_until : dict
        Time until which a host is not asked, in seconds, by its name.
    failed_until : dict
        The same for one run, by the host's name and the run.
    relays : dict
        The host that last led to a run, by run.
    """

    def __init__(self, peers: PeerRegistry, port: int, dialer: Dialer) -> None:
        self.peers = peers
        self.port = port
        self.dialer = dialer
        self.lock = threading.Lock()
        self.paused_until: dict[str, float] = {}
        self.failed_until: dict[tuple[str, EndpointRun], float] = {}
        self.relays: dict[EndpointRun, str] = {}

    def has_peers(self) -> bool:
        """Return whether there are other hosts, whether they answer or not."""
        own = self.peers.own.name
        return any(host.name != own for host in self.peers.recent(clock.now()))

    def connect(self, request: RelayRequest) -> RelayAttempt:
        """Ask hosts in turn for a connection to an endpoint."""
        replies: list[RelayReply] = []
        asked = ''
        ends_at = clock.now() + MAX_ASKING_S
        for host in self.candidates(request.run):
            if clock.now() >= ends_at:
                break
            asked = host.name
            connection, reply = self.ask(host, request)
            if connection is not None:
                self.remember(request.run, host)
                return RelayAttempt(connection, asked, tuple(replies))
            if reply is not None:
                replies.append(reply)
            self.pause(host, request.run, reply)
        return RelayAttempt(None, asked, tuple(replies))

    def candidates(self, run: EndpointRun) -> Iterator[HostInfo]:
        """Yield the hosts to ask, the one that led there last first.

        The others come in an order that differs by host and endpoint, so that
        all of them share the load.
        """
        now = clock.now()
        own = self.peers.own.name
        last = self.peers.relay(self.relays.get(run, ''), now)
        if last is not None and not self.is_paused(last.name, run, now):
            yield last
        usable = [
            host
            for host in self.peers.relays(now)
            if host != last and not self.is_paused(host.name, run, now)
        ]

        def order(host: HostInfo) -> int:
            text = f'{own}|{run.name}|{host.name}'
            return int(xxhash.xxh64_intdigest(text.encode()))

        yield from heapq.nsmallest(MAX_RELAYS_ASKED, usable, key=order)

    def ask(
        self, host: HostInfo, request: RelayRequest
    ) -> tuple[RelayedSocket | None, RelayReply | None]:
        """Ask a host; return the connection, or its answer if it has none."""
        try:
            sock = self.dialer.open(
                host.address,
                self.port,
                CONNECT_TIMEOUT_S,
                self.peers.own.address,
            )
        except OSError as error:
            log_unanswered(host, request.run, error)
            return None, None
        try:
            reply = exchange(sock, request)
        except (OSError, BadStructError) as error:
            sock.close()
            log_unanswered(host, request.run, error)
            return None, None
        if reply.outcome is RelayOutcome.connected:
            return RelayedSocket(sock), reply
        sock.close()
        return None, reply

    def remember(self, run: EndpointRun, host: HostInfo) -> None:
        """Note that a host led to a run."""
        with self.lock:
            if len(self.relays) >= MAX_REMEMBERED:
                self.relays.clear()
            self.relays[run] = host.name

    def is_paused(self, name: str, run: EndpointRun, now: float) -> bool:
        """Return whether a host is not asked for a run."""
        until = max(
            self.paused_until.get(name, 0),
            self.failed_until.get((name, run), 0),
        )
        return now < until

    def pause(
        self, host: HostInfo, run: EndpointRun, reply: RelayReply | None
    ) -> None:
        """Do not ask a host again for a while.

        One that reaches other endpoints may lead to those.
        """
        now = clock.now()
        with self.lock:
            if reply is None:
                self.paused_until[host.name] = now + UNANSWERED_PAUSE_S
                return
            if reply.outcome is not RelayOutcome.busy:
                if not reply.reaches_other:
                    self.paused_until[host.name] = now + CUT_OFF_PAUSE_S
            if len(self.failed_until) >= MAX_REMEMBERED:
                self.failed_until.clear()
            pause_s = PAUSES_S[reply.outcome]
            self.failed_until[host.name, run] = now + pause_s


def exchange(sock: socket.socket, request: RelayRequest) -> RelayReply:
    """Send a request and return its answer.

    Raises
    ------
    OSError, BadStructError
        When there is no answer in time, or an odd one.
    """
    sock.settimeout(REPLY_TIMEOUT_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.sendall(wire.encode_request(request))
    return wire.decode_reply(wire.receive_message(sock))


def log_unanswered(host: HostInfo, run: EndpointRun, error: Exception) -> None:
    """Log that a host did not answer."""
    logger.info(
        'relay_unanswered',
        extra={
            'peer': host.name,
            'endpoint': run.name,
            'error': repr(error),
        },
    )
