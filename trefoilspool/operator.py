"""What operators do with the settings tree: check, set, show, explain."""

import getpass
import pathlib
import time
import tomllib
import uuid
from collections.abc import Mapping
from typing import NamedTuple

from trefoilspool.errors import (
    LogError,
    LogLostAnswerError,
    LogOutageError,
    SettingsConflictError,
    SettingsError,
)
from trefoilspool.fold import Edit, Fold, HistoryEntry, encode_edit
from trefoilspool.platform import LogService
from trefoilspool.schema import check_path, check_value
from trefoilspool.settingstask import STREAM, catch_up
from trefoilspool.tree import Tree

__all__ = ['Change', 'Operator', 'check_changes', 'load_tree_file']

Changes = Mapping[str, Mapping[str, object]]
SETTLE_S = 20.0  # how long an edit with a lost answer is looked for
POLL_S = 0.2


class Change(NamedTuple):
    """One value that an edit would change, and the kinds it reaches."""

    path: str
    key: str
    before: object
    after: object
    kinds: tuple[str, ...]


def load_tree_file(name: str) -> Changes:
    """Return the changes that a TOML file states, checked.

    Raises
    ------
    SettingsError
        When the file cannot be read or a value is not allowed.
    """
    try:
        changes = tomllib.loads(pathlib.Path(name).read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise SettingsError(
            name,
            'file',
            str(error),
            'a readable TOML file',
        ) from error
    check_changes(changes)
    return changes


def check_changes(changes: Changes) -> None:
    """Raise ``SettingsError`` unless the schema allows all changes."""
    for path, settings in changes.items():
        check_path(path)
        if not isinstance(settings, Mapping):
            raise SettingsError(path, 'node', settings, 'a table of settings')
        for key, setting in settings.items():
            check_value(path, key, setting)


class Operator:
    """Edits and reads the tree through the log service.

    Parameters
    ----------
    log : LogService
        Where the tree is published.
    """

    def __init__(self, log: LogService) -> None:
        self.log = log
        self.fold = Fold()

    def tree(self) -> Tree:
        """Return the tree as of the log's end."""
        catch_up(self.log, self.fold)
        return self.fold.tree()

    def history(self) -> list[HistoryEntry]:
        """Return the verdicts on all edits that are remembered."""
        self.tree()
        return list(self.fold.verdicts.values())

    def preview(self, changes: Changes) -> list[Change]:
        """Return what an edit would change, and for which kinds."""
        before = self.tree()
        found = []
        for path, settings in changes.items():
            known = before.nodes.get(path, {})
            prefix = path if path == '/' else f'{path}/'
            kinds = tuple(
                place.path
                for place in before.all_kinds()
                if place.path == path or place.path.startswith(prefix)
            )
            for key, setting in settings.items():
                if known.get(key) != setting:
                    found.append(
                        Change(path, key, known.get(key), setting, kinds),
                    )
        return found

    def publish(
        self,
        changes: Changes,
        author: str = '',
        base: int | None = None,
    ) -> HistoryEntry:
        """Append an edit, and return only when its verdict is read back.

        Parameters
        ----------
        changes : mapping
            Path to key to value; None removes a key.
        author : str
            Who edits; the user's name if empty.
        base : int or None
            Offset that the edit was based on; the log's end if None.

        Raises
        ------
        SettingsError
            The schema rejects a value; nothing was appended.
        SettingsConflictError
            Another edit came first; nothing was changed.
        LogError
            The verdict could not be read.
        """
        check_changes(changes)
        version = self.tree().version
        edit = Edit(
            uuid.uuid4().hex,
            version if base is None else base,
            author or getpass.getuser(),
            changes,
        )
        verdict = self.settle(edit)
        if not verdict.accepted:
            path, _, key = verdict.conflict.partition(' ')
            raise SettingsConflictError(path, key)
        return verdict

    def settle(self, edit: Edit) -> HistoryEntry:
        """Append until the edit is seen; its id makes repeats harmless."""
        give_up = time.monotonic() + SETTLE_S
        failure: LogError = LogOutageError('the log did not answer')
        while time.monotonic() < give_up:
            try:
                self.append(edit)
                self.tree()
            except LogError as error:
                failure = error
            if edit.edit in self.fold.verdicts:
                return self.fold.verdicts[edit.edit]
            time.sleep(POLL_S)
        raise failure

    def append(self, edit: Edit) -> None:
        """Append; a lost answer is settled by the read that follows."""
        try:
            self.log.append(STREAM, encode_edit(edit))
        except LogLostAnswerError:
            return
