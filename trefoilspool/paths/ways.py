"""Connections to endpoints, by this host's own path or by a relay.

A host that cannot reach an endpoint does not know whether the endpoint or the
path fails. It asks another host: if that one reaches the endpoint, it relays
the connection. If that one does not either, though it reaches others, the
endpoint is at fault.
"""

import copy
import random
import socket
from collections.abc import Callable, Sequence
from typing import NamedTuple

import logbook

from trefoilspool import clock
from trefoilspool.departures import EndpointRecord, EndpointRun
from trefoilspool.errors import (
    ConnectFailedError,
    EndpointRefusedConnectionError,
    NoPathError,
)
from trefoilspool.paths.dialer import Dialer
from trefoilspool.paths.relayclient import RelayAttempt, RelayClient
from trefoilspool.paths.relayedsocket import RelayedSocket
from trefoilspool.paths.relaymessages import (
    RelayOutcome,
    RelayReply,
    RelayRequest,
)
from trefoilspool.paths.table import PathTable

__all__ = ['EndpointPaths', 'EndpointSocket']

# The handshake of a connection for comparison, or to see whether a path works.
CHECK_TIMEOUT_S = 0.15
# After a connection for comparison failed, none is made for so long.
COMPARISON_PAUSE_S = 0.5
DEFAULT_LIFETIME_S = 60.0
# Failures of a relay's own connection to the endpoint.
FAILED_OUTCOMES = frozenset((RelayOutcome.refused, RelayOutcome.unreachable))

EndpointSocket = socket.socket | RelayedSocket
EndpointLister = Callable[[], Sequence[EndpointRecord]]

logger = logbook.Logger('paths')


class DirectFailure(NamedTuple):
    """How this host's own connection failed.

    Attributes
    ----------
    detail : str
        The error; that the path is known to be broken, if none was tried.
    is_refused : bool
        Whether it was refused.
    """

    detail: str
    is_refused: bool


KNOWN_BROKEN = DirectFailure('the own path is broken', is_refused=False)


class EndpointPaths:
    """Opens connections to endpoints; usable from any thread.

    Parameters
    ----------
    dialer : Dialer
        Opens this host's own connections.
    relays : RelayClient
        Asks other hosts for connections.
    list_endpoints : callable
        Returns the available endpoints.

    Attributes
    ----------
    table : PathTable
        What is known of the paths.
    on_relayed : callable
        Called when a connection is relayed.
    on_refused : callable
        Called when no connection was made to a run, and it refused one.
    """

    def __init__(
        self,
        dialer: Dialer,
        relays: RelayClient,
        list_endpoints: EndpointLister,
    ) -> None:
        self.dialer = dialer
        self.relays = relays
        self.list_endpoints = list_endpoints
        self.table = PathTable()
        self.on_relayed: Callable[[], None] = lambda: None
        self.on_refused: Callable[[EndpointRun], None] = lambda _: None
        self.comparison_due = 0.0

    def open(
        self,
        endpoint: EndpointRecord,
        timeout_s: float,
        lifetime_s: float = DEFAULT_LIFETIME_S,
    ) -> EndpointSocket:
        """Return an open connection to an endpoint.

        Parameters
        ----------
        endpoint : EndpointRecord
            The endpoint.
        timeout_s : float
            How long this host's own connection may take, in seconds.
        lifetime_s : float
            How long the connection is needed at most, in seconds.

        Raises
        ------
        EndpointRefusedConnectionError
            When the endpoint refuses connections of other hosts, too.
        NoPathError
            When no way leads there, and nothing shows that it is at fault.
        ConnectFailedError
            When hosts that reach others do not reach it.
        """
        known = self.table.recent_failure(endpoint.run, clock.now())
        if known is not None:
            raise copy.copy(known)
        failure = KNOWN_BROKEN
        if not self.table.is_broken(endpoint.run):
            try:
                return self.open_directly(endpoint, timeout_s)
            except OSError as error:
                failure = DirectFailure(
                    repr(error), isinstance(error, ConnectionRefusedError)
                )
        return self.open_elsewhere(endpoint, failure, lifetime_s)

    def open_directly(
        self, endpoint: EndpointRecord, timeout_s: float
    ) -> socket.socket:
        """Return a connection of this host's own.

        Raises
        ------
        OSError
            When it fails.
        """
        sock = self.dialer.open(endpoint.address, endpoint.port, timeout_s)
        self.table.on_reached(endpoint.run, clock.now())
        return sock

    def open_elsewhere(
        self,
        endpoint: EndpointRecord,
        failure: DirectFailure,
        lifetime_s: float,
    ) -> RelayedSocket:
        """Return a relayed connection, as the own one has failed.

        Raises
        ------
        ConnectFailedError
            As for `open`.
        """
        attempt = self.relays.connect(RelayRequest(endpoint.run, lifetime_s))
        if attempt.connection is None:
            error = self.failed(endpoint, failure, attempt)
            self.table.on_failed(endpoint.run, error, clock.now())
            if error.is_refused:
                self.on_refused(endpoint.run)
            raise error
        self.table.on_broken(endpoint.run, failure.detail, clock.now())
        self.table.on_relayed(endpoint.run)
        self.on_relayed()
        logger.info(
            'connection_relayed',
            extra={'endpoint': endpoint.name, 'peer': attempt.relay},
        )
        return attempt.connection

    def failed(
        self,
        endpoint: EndpointRecord,
        failure: DirectFailure,
        attempt: RelayAttempt,
    ) -> ConnectFailedError:
        """Return the error of an endpoint to which no way led."""
        run = endpoint.run
        where = f'{endpoint.address}:{endpoint.port}'
        if not self.is_at_fault(run, attempt.replies):
            self.table.on_broken(run, failure.detail, clock.now())
            error = NoPathError(f'no path to {where}: {failure.detail}')
            error.is_refused = failure.is_refused
            return error
        # What a cut path does says nothing of the endpoint's process.
        is_refused = failure.is_refused
        if attempt.replies:
            refused = RelayReply(RelayOutcome.refused, reaches_other=True)
            is_refused = refused in attempt.replies
        if is_refused:
            return EndpointRefusedConnectionError(
                f'{where} refuses connections'
            )
        return ConnectFailedError(f'no connection to {where}: {failure.detail}')

    def is_at_fault(
        self, run: EndpointRun, replies: Sequence[RelayReply]
    ) -> bool:
        """Return whether a failure to reach a run is the endpoint's.

        Another host that reaches other endpoints has to fail as well; a host
        that is alone compares for itself.
        """
        if self.relays.has_peers():
            return any(
                reply.reaches_other
                for reply in replies
                if reply.outcome in FAILED_OUTCOMES
            )
        return self.reaches_other(run)

    def reaches_other(self, run: EndpointRun) -> bool:
        """Return whether this host reaches an endpoint other than a run.

        If none was reached just now, a connection to one is tried.
        """
        now = clock.now()
        if self.table.reaches_other(run, now):
            return True
        others = [
            endpoint
            for endpoint in self.list_endpoints()
            if endpoint.run != run
        ]
        if not others:
            return True
        if now < self.comparison_due:
            return False
        if self.works(random.choice(others)):
            return True
        self.comparison_due = clock.now() + COMPARISON_PAUSE_S
        return False

    def works(self, endpoint: EndpointRecord) -> bool:
        """Return whether this host's own path to an endpoint works now."""
        try:
            self.open_directly(endpoint, CHECK_TIMEOUT_S).close()
        except OSError as error:
            logger.debug(
                'path_checked',
                extra={'endpoint': endpoint.name, 'error': repr(error)},
            )
            return False
        return True

    def verify(self, endpoint: EndpointRecord) -> bool:
        """Return whether the own path to an endpoint may be believed to work.

        Used after an attempt broke or fell silent: the attempt says nothing of
        the endpoint if other hosts reach it and this one does not.
        """
        run = endpoint.run
        if self.table.is_broken(run):
            return False
        try:
            self.open(endpoint, CHECK_TIMEOUT_S).close()
        except ConnectFailedError as error:
            logger.info(
                'path_verified',
                extra={'endpoint': run.name, 'detail': str(error)},
            )
        return not self.table.is_broken(run)
