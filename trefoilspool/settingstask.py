"""Replication of the settings tree from the log and from peers."""

import time
from collections.abc import Callable
from typing import NamedTuple

import logbook

from trefoilspool.errors import (
    BadRecordError,
    LogError,
    TrimmedError,
)
from trefoilspool.fold import Fold, is_snapshot
from trefoilspool.jsonfields import parse_object
from trefoilspool.peertask import Send
from trefoilspool.platform import LogPage, LogRecord, LogService
from trefoilspool.task import Task
from trefoilspool.tree import Tree

__all__ = [
    'PeerOffset',
    'PeerSnapshot',
    'STREAM',
    'SettingsTask',
    'SnapshotRequest',
    'catch_up',
]

STREAM = 'settings'
POLL_S = 0.5
READ_LIMIT_RECORDS = 500
SNAPSHOT_INTERVAL_RECORDS = 400
STALE_AFTER_S = 5.0

logger = logbook.Logger('settings')


class PeerOffset(NamedTuple):
    """Last offset that a peer has folded, from its heartbeat."""

    host: str
    offset: int


class SnapshotRequest(NamedTuple):
    """A peer's request for a snapshot; it lacks records from ``offset`` on."""

    host: str
    offset: int


class PeerSnapshot(NamedTuple):
    """Snapshot of a peer's fold, as the body of a log record."""

    host: str
    body: str


def catch_up(log: LogService, fold: Fold) -> LogPage:
    """Fold the stream from the fold's next offset to the end.

    Parameters
    ----------
    log : LogService
        Log that holds the settings stream.
    fold : Fold
        State to continue from; changed in place.

    Returns
    -------
    LogPage
        The last page read.

    Raises
    ------
    LogError
        When the log does not respond, or when it has trimmed records that no
        snapshot covers.
    """
    start = fold.next_offset
    # Records after a trimmed gap wait for a snapshot that covers the gap.
    deferred: list[LogRecord] = []
    at_end = False
    while not at_end:
        try:
            page = log.read(STREAM, start, READ_LIMIT_RECORDS)
        except TrimmedError as error:
            start = error.first
            continue
        deferred += fold_page(fold, page)
        start = page.records[-1].offset + 1 if page.records else page.end
        at_end = start >= page.end
    for record in deferred:
        if record.offset == fold.next_offset:
            fold.apply(record)
    if fold.next_offset < page.end:
        raise TrimmedError(page.first)
    return page


def fold_page(fold: Fold, page: LogPage) -> list[LogRecord]:
    """Fold a page; return the records that follow a gap in the offsets."""
    deferred = []
    for record in page.records:
        if record.offset > fold.next_offset and not is_snapshot(record):
            deferred.append(record)
        else:
            fold.apply(record)
    return deferred


class SettingsTask(Task):
    """Folds the settings stream and publishes the tree.

    Parameters
    ----------
    log : LogService
        Log that holds the settings stream.
    send : callable
        Sends a frame element to a host; takes host, frame field and element.
    writes_snapshots : callable
        Returns whether this host appends the snapshots.
    """

    def __init__(
        self,
        log: LogService,
        send: Send,
        writes_snapshots: Callable[[], bool],
    ) -> None:
        super().__init__(POLL_S)
        self.log = log
        self.send = send
        self.writes_snapshots = writes_snapshots
        self.fold = Fold()
        self.tree = Tree({})
        self.loaded = False
        self.confirmed_at = -STALE_AFTER_S
        self.newest_peer_offset = -1

    @property
    def version(self) -> int:
        """Return the offset of the last record in the published tree."""
        return self.tree.version

    @property
    def fresh(self) -> bool:
        """Return whether the tree was recently confirmed to be current.

        Recently means less than ``STALE_AFTER_S`` seconds ago.
        """
        age = time.monotonic() - self.confirmed_at
        return self.loaded and age < STALE_AFTER_S

    def handle(self, message: object) -> None:
        """Handle a peer's offset, snapshot request or snapshot."""
        if isinstance(message, PeerOffset):
            self.on_peer_offset(message)
        elif isinstance(message, SnapshotRequest):
            if self.loaded and self.fold.next_offset > message.offset:
                body = self.fold.snapshot()
                self.send(message.host, 'settings_records', body)
        elif isinstance(message, PeerSnapshot):
            self.on_peer_snapshot(message)

    def on_peer_snapshot(self, message: PeerSnapshot) -> None:
        """Adopt a peer's snapshot; a malformed one changes nothing."""
        try:
            body = parse_object('snapshot', message.body.encode())
            self.fold.apply_snapshot(-1, body.required('snapshot'))
        except BadRecordError as error:
            logger.warning('snapshot_unreadable', extra={'error': str(error)})
        else:
            self.publish()

    def on_peer_offset(self, message: PeerOffset) -> None:
        """Request a snapshot from a peer that is ahead.

        A peer that is not ahead, but has the newest offset known, confirms the
        tree.
        """
        self.newest_peer_offset = max(self.newest_peer_offset, message.offset)
        if message.offset > self.version:
            self.send(message.host, 'settings_from', self.fold.next_offset)
        elif self.loaded and message.offset >= self.newest_peer_offset:
            self.confirmed_at = time.monotonic()

    def tick(self) -> None:
        """Read the stream and append a snapshot if one is due."""
        started = time.monotonic()
        try:
            catch_up(self.log, self.fold)
        except LogError as error:
            logger.debug('settings stream not read: {}', error)
            return
        self.publish()
        self.loaded = True
        self.confirmed_at = started
        self.write_snapshot()

    def publish(self) -> None:
        """Publish the folded tree if it is newer than the published one."""
        if self.fold.next_offset - 1 > self.version:
            self.tree = self.fold.tree()
            self.loaded = True
            logger.info(
                'settings version {} in force',
                self.version,
                extra={'decision': 'settings', 'version': self.version},
            )

    def write_snapshot(self) -> None:
        """Append a snapshot every ``SNAPSHOT_INTERVAL_RECORDS`` records."""
        due = (
            self.fold.next_offset - self.fold.snapshot_offset
            > SNAPSHOT_INTERVAL_RECORDS
        )
        if due and self.writes_snapshots():
            try:
                self.log.append(STREAM, self.fold.snapshot())
            except LogError as error:
                logger.warning('settings snapshot not appended: {}', error)
