"""The task that keeps the settings tree up to date."""

import json
import time
from collections.abc import Callable
from typing import NamedTuple

import logbook

from trefoilspool.errors import LogError, TrimmedError
from trefoilspool.fold import Fold
from trefoilspool.peertask import Send
from trefoilspool.platform import LogPage, LogRecord, LogService
from trefoilspool.task import Task
from trefoilspool.tree import Tree

__all__ = [
    'PeerOffset',
    'PeerSnapshot',
    'STREAM',
    'SettingsTask',
    'SnapshotWanted',
    'catch_up',
]

STREAM = 'settings'
POLL_S = 0.5
READ_LIMIT = 500
SNAPSHOT_EVERY = 400  # records
FRESH_S = 5.0

logger = logbook.Logger('settings')


class PeerOffset(NamedTuple):
    """A peer's heartbeat names the last offset that it has folded."""

    host: str
    offset: int


class SnapshotWanted(NamedTuple):
    """A peer is behind ``offset`` and asks for the tree."""

    host: str
    offset: int


class PeerSnapshot(NamedTuple):
    """A peer's tree."""

    host: str
    body: str


def catch_up(log: LogService, fold: Fold) -> LogPage:
    """Fold the stream from where the fold stands to its end.

    Parameters
    ----------
    log : LogService
        Where the stream is.
    fold : Fold
        Changed in place.

    Returns
    -------
    LogPage
        The last page read.

    Raises
    ------
    LogError
        When the log does not answer, or when records were trimmed that no
        snapshot covers.
    """
    start = fold.next
    gap: list[LogRecord] = []
    at_end = False
    while not at_end:
        try:
            page = log.read(STREAM, start, READ_LIMIT)
        except TrimmedError as error:
            start = error.first
            continue
        gap += fold_page(fold, page)
        start = page.records[-1].offset + 1 if page.records else page.end
        at_end = start >= page.end
    for record in gap:
        if record.offset == fold.next:
            fold.apply(record)
    if fold.next < page.end:
        raise TrimmedError(page.first)
    return page


def fold_page(fold: Fold, page: LogPage) -> list[LogRecord]:
    """Fold a page; return the records that need a snapshot first."""
    gap = []
    for record in page.records:
        if record.offset > fold.next and not is_snapshot(record):
            gap.append(record)
        else:
            fold.apply(record)
    return gap


def is_snapshot(record: LogRecord) -> bool:
    """Tell whether a record holds a snapshot."""
    return 'snapshot' in json.loads(record.body)


class SettingsTask(Task):
    """Folds the settings stream and publishes the tree.

    Parameters
    ----------
    log : LogService
        Where edits are.
    send : callable
        Sends an element to a host: host, frame field, element.
    writes_snapshots : callable
        Tells whether this host is the one that appends snapshots.
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
        self.confirmed_at = -FRESH_S
        self.known_offset = -1

    @property
    def version(self) -> int:
        """Return the offset of the last record in force."""
        return self.tree.version

    @property
    def fresh(self) -> bool:
        """Tell whether the tree was confirmed within ``FRESH_S``."""
        age = time.monotonic() - self.confirmed_at
        return self.loaded and age < FRESH_S

    def handle(self, message: object) -> None:
        """Handle what peers say of their trees."""
        if isinstance(message, PeerOffset):
            self.on_peer_offset(message)
        elif isinstance(message, SnapshotWanted):
            if self.loaded and self.fold.next > message.offset:
                body = self.fold.snapshot()
                self.send(message.host, 'settings_records', body)
        elif isinstance(message, PeerSnapshot):
            state = json.loads(message.body)['snapshot']
            self.fold.apply_snapshot(-1, state)
            self.publish()

    def on_peer_offset(self, message: PeerOffset) -> None:
        """Ask a peer that is ahead for its tree."""
        self.known_offset = max(self.known_offset, message.offset)
        if message.offset > self.version:
            self.send(message.host, 'settings_from', self.fold.next)
        elif self.loaded and message.offset >= self.known_offset:
            self.confirmed_at = time.monotonic()

    def tick(self) -> None:
        """Read the stream and write a snapshot when one is due."""
        started = time.monotonic()
        try:
            catch_up(self.log, self.fold)
        except LogError as error:
            logger.debug('settings not read: {}', error)
            return
        self.publish()
        self.loaded = True
        self.confirmed_at = started
        self.write_snapshot()

    def publish(self) -> None:
        """Put the folded tree in force unless it is the one in force."""
        if self.fold.next - 1 > self.version:
            self.tree = self.fold.tree()
            self.loaded = True
            logger.info(
                'settings version {} in force',
                self.version,
                extra={'decision': 'settings', 'version': self.version},
            )

    def write_snapshot(self) -> None:
        """Append a snapshot after every ``SNAPSHOT_EVERY`` records."""
        due = self.fold.next - self.fold.snapshot_at > SNAPSHOT_EVERY
        if due and self.writes_snapshots():
            try:
                self.log.append(STREAM, self.fold.snapshot())
            except LogError as error:
                logger.warning('snapshot not written: {}', error)
