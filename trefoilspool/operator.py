"""Operations on the settings tree: check, preview, edit and read."""

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
SETTLE_TIMEOUT_S = 20.0  # for an edit to be appended and read back
POLL_S = 0.2


class Change(NamedTuple):
    """One value that an edit would change, and the kinds below its path."""

    path: str
    key: str
    before: object
    after: object
    kinds: tuple[str, ...]


def load_tree_file(name: str) -> Changes:
    """Return the checked changes of a TOML file.

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
    """Edits and reads the settings tree through the log service.

    Parameters
    ----------
    log : LogService
        Log that holds the settings stream.
    """

    def __init__(self, log: LogService) -> None:
        self.log = log
        self.fold = Fold()

    def tree(self) -> Tree:
        """Return the tree at the end of the log."""
        catch_up(self.log, self.fold)
        return self.fold.tree()

    def history(self) -> list[HistoryEntry]:
        """Return the verdicts on all edits that the fold still holds."""
        self.tree()
        return list(self.fold.verdicts.values())

    def preview(self, changes: Changes) -> list[Change]:
        """Return the values that an edit would change, each with its kinds."""
        before = self.tree()
        found = []
        for path, settings in changes.items():
            current = before.nodes.get(path, {})
            prefix = path if path == '/' else f'{path}/'
            kinds = tuple(
                place.path
                for place in before.all_kinds()
                if place.path == path or place.path.startswith(prefix)
            )
            for key, setting in settings.items():
                if current.get(key) != setting:
                    found.append(
                        Change(path, key, current.get(key), setting, kinds),
                    )
        return found

    def publish(
        self,
        changes: Changes,
        author: str = '',
        base: int | None = None,
    ) -> HistoryEntry:
        """Append an edit and return its verdict, read back from the log.

        Parameters
        ----------
        changes : mapping
            New values by path and key; None removes a key.
        author : str
            Name recorded in the history; the user's login name if empty.
        base : int or None
            Last offset that the edit takes into account; the log's end if None.

        Raises
        ------
        SettingsError
            The schema rejects a value; nothing was appended.
        SettingsConflictError
            An edit after ``base`` changed the same key; nothing was changed.
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
        """Append until the edit is read back; the fold ignores repeated ids.

        Raises
        ------
        LogLostAnswerError
            The edit may have been appended, but was not read back.
        LogError
            The edit was not appended.
        """
        deadline = time.monotonic() + SETTLE_TIMEOUT_S
        failure: LogError = LogOutageError(
            f'the edit was not appended within {SETTLE_TIMEOUT_S} s'
        )
        may_be_appended = False
        while time.monotonic() < deadline:
            try:
                self.append(edit)
                may_be_appended = True
                self.tree()
            except LogError as error:
                failure = error
            if edit.edit in self.fold.verdicts:
                return self.fold.verdicts[edit.edit]
            time.sleep(POLL_S)
        if may_be_appended:
            raise LogLostAnswerError(
                f'the edit {edit.edit} may have been appended: {failure}'
            )
        raise failure

    def append(self, edit: Edit) -> None:
        """Append an edit; ignore a lost response, as the log is read next."""
        try:
            self.log.append(STREAM, encode_edit(edit))
        except LogLostAnswerError:
            return
