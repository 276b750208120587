"""Keeps a host's configuration current, from the store or from peers."""

import math
import threading
from collections.abc import Callable
from typing import NamedTuple

import logbook

from trefoilspool import clock
from trefoilspool.errors import (
    BadRecordError,
    LogOutageError,
)
from trefoilspool.peerchoice import PeerChoice
from trefoilspool.peers import HostInfo, PeerRegistry
from trefoilspool.peertopics import CONFIGURATION_PATH, peer_page
from trefoilspool.replica import Position, Replica
from trefoilspool.replication import (
    PeerFetchTask,
    PollInterval,
    StoreReplicationTask,
)
from trefoilspool.routing import Configuration
from trefoilspool.store import KeyedRecord, KeyedSource

__all__ = ['CONFIGURATION_KEY', 'ConfigurationHandlers', 'SettingsSync']

# A read waits this long for the next record. The others hear of a version from
# those that wait shortly, which soon notice if their read is not answered.
LONG_POLL_S = 8.0
SHORT_POLL_S = 1.0
PAUSE_S = 0.02
# A record that could not be used is read again, at growing intervals.
FIRST_REREAD_S = 0.3
MAX_REREAD_S = 8.0
POLLING = PollInterval(LONG_POLL_S, PAUSE_S)
CONFIGURATION_KEY = 'config'
STORE = 'store'  # as the source of a configuration

logger = logbook.Logger('gateway')


class ConfigurationHandlers(NamedTuple):
    """What a host does with configurations.

    Attributes
    ----------
    on_gap : callable
        Called before a configuration that is newer than the one in force, if
        others may have come in between.
    put_in_force : callable
        Called with each configuration that is newer than the one in force.
    on_version : callable
        Called once a version is in force.
    on_restored : callable
        Called when the store was restored from a backup.
    on_others : callable
        Called with the new records of other keys and the store's era.
    """

    on_gap: Callable[[], None]
    put_in_force: Callable[[Configuration], None]
    on_version: Callable[[], None]
    on_restored: Callable[[], None]
    on_others: Callable[[list[KeyedRecord], int], None]


class SettingsSync:
    """The tasks that read the configuration, and the version in force.

    Parameters
    ----------
    topic : KeyedSource
        The settings in the store.
    decode : callable
        Decodes the content of the configuration's record; raises
        ``BadRecordError`` if it is invalid.
    handlers : ConfigurationHandlers
        Called with configurations.
    reads_for_others : callable
        Returns whether this host is one of those that read the store for the
        others, or hears of none of them.
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
    has_skipped : bool
        Whether the read that is being applied may lack earlier records.
    store_task : StoreReplicationTask
        Reads the store.
    peer_task : PeerFetchTask
        Reads peers.
    """

    def __init__(
        self,
        topic: KeyedSource,
        decode: Callable[[bytes], Configuration],
        handlers: ConfigurationHandlers,
        reads_for_others: Callable[[], bool],
        peers: PeerRegistry,
        control_port: int,
        stopping: threading.Event,
    ) -> None:
        self.decode = decode
        self.handlers = handlers
        self.reads_for_others = reads_for_others
        self.peers = peers
        self.control_port = control_port
        self.lock = threading.Lock()
        self.version = 0
        self.content = b''
        self.unusable_content = b''
        self.has_unused_record = False
        self.reread_s = FIRST_REREAD_S
        self.peer_choice = PeerChoice()
        self.has_skipped = False
        self.replica = Replica(self.on_records, on_skip=self.on_skip)
        self.store_task = StoreReplicationTask(
            'settings',
            topic,
            self.replica,
            POLLING,
            stopping,
            on_read=self.on_read,
            on_restored=handlers.on_restored,
        )
        self.store_task.max_wait_s = self.max_wait_s
        self.peer_task = PeerFetchTask('settings', self.find_newer, stopping)

    def max_wait_s(self) -> float:
        """Return how long a read of the store may wait, in seconds."""
        return SHORT_POLL_S if self.reads_for_others() else LONG_POLL_S

    def end_overdue_wait(self, now: float) -> None:
        """End a long wait if this host would not begin one now.

        The store may have been restored to before the awaited offset, or the
        connection may be silent, while no other host reads for this one.
        """
        task = self.store_task
        if task.wait_s <= SHORT_POLL_S or not self.reads_for_others():
            return
        if now - task.read_began_at > SHORT_POLL_S:
            task.interrupt()

    def find_newer(self) -> Callable[[], None] | None:
        """Return a function that reads a peer's configuration if newer."""
        now = clock.now()
        ahead = [
            host
            for host in self.peers.responsive()
            if host.settings_version > self.version
        ]
        peer = self.peer_choice.choose(ahead, self.peers.last_heartbeat_at, now)
        return None if peer is None else lambda: self.fetch_from(peer)

    def fetch_from(self, peer: HostInfo) -> None:
        """Read a peer's configuration.

        Raises
        ------
        LogOutageError
            The peer did not respond, or not with a configuration.
        """
        # The next read is of another peer, if there is one, until this one has
        # given what it announced.
        self.peer_choice.on_failure(peer.name, clock.now())
        content = peer_page(peer.address, self.control_port, CONFIGURATION_PATH)
        if not self.try_configuration(content, peer.name):
            raise LogOutageError(f'{peer.name} has no usable configuration')
        if self.version >= peer.settings_version:
            self.peer_choice.on_success(peer.name)

    def on_records(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply the configuration among new records."""
        others = []
        for record in records:
            if not record.content:
                continue
            if record.key == CONFIGURATION_KEY:
                is_used = self.try_configuration(record.content, STORE)
                self.has_unused_record = not is_used
            else:
                others.append(record)
        if others:
            self.handlers.on_others(others, self.replica.era)

    def on_skip(self, position: Position) -> None:
        """Note that the next configuration need not be the next version."""
        self.has_skipped = True

    def on_read(self) -> None:
        """Have the record read again if it could not be used."""
        self.has_skipped = False
        if not self.has_unused_record:
            self.reread_s = FIRST_REREAD_S
            return
        if self.store_task.reread_at == math.inf:
            self.replica.forget(CONFIGURATION_KEY)
            self.store_task.reread_at = clock.now() + self.reread_s
            self.reread_s = min(2 * self.reread_s, MAX_REREAD_S)

    def try_configuration(self, content: bytes, source: str) -> bool:
        """Apply a configuration if it is newer; return whether it is usable.

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
            self.on_configuration(self.decode(content), content, source)
        except BadRecordError as error:
            # The same record is read again and again.
            if content != self.unusable_content:
                logger.warning(
                    'configuration_unreadable',
                    extra={'source': source, 'error': str(error)},
                )
        except Exception:
            logger.exception('configuration_not_used', extra={'source': source})
        else:
            return True
        self.unusable_content = content
        return False

    def on_configuration(
        self, configuration: Configuration, content: bytes, source: str
    ) -> None:
        """Put a configuration in force if it is newer."""
        with self.lock:
            if configuration.version <= self.version:
                return
            if self.version and self.may_lack_one():
                self.handlers.on_gap()
            self.handlers.put_in_force(configuration)
            self.version = configuration.version
            self.content = content
        self.log_version(configuration, source)
        self.handlers.on_version()

    def may_lack_one(self) -> bool:
        """Return whether others may have come before a new configuration.

        A peer has only its newest one, which usually is the next: many hosts
        have each from a peer a moment before the store tells it.
        """
        return self.has_skipped or self.has_unused_record

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
