"""Keeps a host's configuration current, from the store or from peers."""

import threading
from collections.abc import Callable

import logbook

from trefoilspool.errors import BadRecordError
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.peertopics import CONFIGURATION_PATH, peer_page
from trefoilspool.replica import Replica
from trefoilspool.replication import (
    PeerFetchTask,
    PollInterval,
    StoreReplicationTask,
)
from trefoilspool.routing import Configuration
from trefoilspool.store import KeyedRecord, KeyedSource

__all__ = ['SettingsSync']

# A read of the settings waits this long for the next record. If its connection
# stalls, the host reads the records from a peer meanwhile.
LONG_POLL_S = 8.0
PAUSE_S = 0.02
POLLING = PollInterval(LONG_POLL_S, PAUSE_S)
CONFIGURATION_KEY = 'config'
STORE = 'store'  # as the source of a configuration

logger = logbook.Logger('gateway')


class SettingsSync:
    """The tasks that read the configuration, and the version in force.

    Parameters
    ----------
    topic : KeyedSource
        The settings in the store.
    decode : callable
        Decodes the content of the configuration's record; raises
        ``BadRecordError`` if it is invalid.
    put_in_force : callable
        Called with each configuration that is newer than the one in force.
    on_restored : callable
        Called when the store was restored from a backup.
    peers : PeerRegistry
        The known hosts, with the version that each has in force.
    control_port : int
        Port at which peers serve their configuration.
    stopping : threading.Event
        Ends the tasks when set.

    Attributes
    ----------
    version : int
        Version in force; 0 if there is none.
    content : bytes
        Content of its record, for peers.
    store_task : StoreReplicationTask
        Reads the store.
    peer_task : PeerFetchTask
        Reads peers.
    """

    def __init__(
        self,
        topic: KeyedSource,
        decode: Callable[[bytes], Configuration],
        put_in_force: Callable[[Configuration], None],
        on_restored: Callable[[], None],
        peers: PeerRegistry,
        control_port: int,
        stopping: threading.Event,
    ) -> None:
        self.decode = decode
        self.put_in_force = put_in_force
        self.peers = peers
        self.control_port = control_port
        self.lock = threading.Lock()
        self.version = 0
        self.content = b''
        self.replica = Replica(self.on_records)
        self.store_task = StoreReplicationTask(
            'settings',
            topic,
            self.replica,
            POLLING,
            stopping,
            on_restored=on_restored,
        )
        self.peer_task = PeerFetchTask('settings', self.find_newer, stopping)

    def find_newer(self) -> Callable[[], None] | None:
        """Return a function that reads a peer's configuration if newer."""
        ahead = [
            host
            for host in self.peers.responsive()
            if host.settings_version > self.version
        ]
        if not ahead:
            return None
        peer = max(ahead, key=lambda host: host.settings_version)
        return lambda: self.fetch_from(peer)

    def fetch_from(self, peer: HostInfo) -> None:
        """Read a peer's configuration.

        Raises
        ------
        LogOutageError
            The peer did not respond.
        """
        self.on_configuration(
            peer_page(peer.address, self.control_port, CONFIGURATION_PATH),
            peer.name,
        )

    def on_records(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply the configuration among new records."""
        for record in records:
            if record.key == CONFIGURATION_KEY and record.content:
                self.on_configuration(record.content, STORE)

    def on_configuration(self, content: bytes, source: str) -> None:
        """Apply a configuration if it is valid and newer.

        A restored store may show an earlier version for a while, which stays
        without effect.

        Parameters
        ----------
        content : bytes
            Content of the configuration's record.
        source : str
            Where it was read, for the log line: the store or a peer.
        """
        try:
            configuration = self.decode(content)
        except BadRecordError as error:
            logger.warning(
                'configuration_unreadable',
                extra={'source': source, 'error': str(error)},
            )
            return
        with self.lock:
            if configuration.version > self.version:
                self.version = configuration.version
                self.content = content
                self.log_version(configuration, source)
                self.put_in_force(configuration)

    def log_version(self, configuration: Configuration, source: str) -> None:
        """Log a version that comes into force."""
        logger.info(
            'version_in_force',
            extra={
                'version': configuration.version,
                'source': source,
                'read': self.store_task.last_read._asdict()
                if source == STORE
                else None,
                'routes': len(configuration.routes.routes),
                'limits': {
                    workspace.name: (workspace.rate, workspace.burst)
                    for workspace in configuration.workspaces.values()
                },
            },
        )
