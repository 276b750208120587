"""Settings tree: nodes, inheritance and lookups."""

import hashlib
from collections.abc import Iterator, Mapping
from functools import cached_property, lru_cache
from typing import NamedTuple

from pydantic import ValidationError

from trefoilspool.schema import LEVELS, Settings

__all__ = ['KindPlace', 'Tree', 'ancestors']

ROOT = '/'
KIND_DEPTH = len(LEVELS) - 1
MAX_CACHED_CHECKS = 65_536
NodeValues = Mapping[str, object]


class KindPlace(NamedTuple):
    """Position of a kind of request in the tree, and its effective values."""

    path: str
    workspace: str
    service: str
    tier: str
    kind: str
    settings: Settings


def ancestors(path: str) -> Iterator[str]:
    """Yield the paths from the root down to ``path``."""
    yield ROOT
    if path == ROOT:
        return
    names = path.strip('/').split('/')
    for depth in range(1, len(names) + 1):
        yield '/'.join(['', *names[:depth]])


class Tree:
    """An immutable settings tree.

    Parameters
    ----------
    nodes : mapping
        Values that each node sets itself, by path.
    version : int
        Log offset of the last record folded, -1 for none.
    """

    def __init__(
        self,
        nodes: Mapping[str, NodeValues],
        version: int = -1,
    ) -> None:
        self.nodes = nodes
        self.version = version
        self.places: dict[str, KindPlace] = {}

    def explain(self, path: str) -> dict[str, tuple[object, str]]:
        """Return each key's value at ``path`` and the path that sets it.

        Values that this version's schema rejects are left out.
        """
        found: dict[str, tuple[object, str]] = {}
        for ancestor in ancestors(path):
            for key, setting in self.nodes.get(ancestor, {}).items():
                if is_valid(key, setting):
                    found[key] = (setting, ancestor)
        return found

    def settings(self, path: str) -> Settings:
        """Return the effective values at ``path``."""
        effective = {
            key: setting for key, (setting, _) in self.explain(path).items()
        }
        return Settings.model_validate(effective)

    @cached_property
    def workspaces(self) -> Mapping[str, str]:
        """Map the hash of a bearer token to its workspace."""
        owners = {}
        for path in self.nodes:
            if path.count('/') == 1 and path != ROOT:
                for token_hash in self.settings(path).token_hashes:
                    owners[token_hash] = path[1:]
        return owners

    @cached_property
    def kind_paths(self) -> Mapping[tuple[str, str], str]:
        """Map the names of a workspace and a kind to the kind's path."""
        paths: dict[tuple[str, str], str] = {}
        for path in sorted(self.nodes):
            if path.count('/') == KIND_DEPTH:
                names = path.split('/')
                paths.setdefault((names[1], names[KIND_DEPTH]), path)
        return paths

    def kind(self, workspace: str, name: str) -> KindPlace | None:
        """Return the place of a workspace's kind, None if there is none."""
        path = self.kind_paths.get((workspace, name))
        return None if path is None else self.place(path)

    def place(self, path: str) -> KindPlace:
        """Return the place of the kind at a path; places are cached."""
        if path not in self.places:
            _, workspace, service, tier, kind = path.split('/')
            self.places[path] = KindPlace(
                path,
                workspace,
                service,
                tier,
                kind,
                self.settings(path),
            )
        return self.places[path]

    def all_kinds(self) -> list[KindPlace]:
        """Return the places of all kinds."""
        return [self.place(path) for path in self.kind_paths.values()]

    def workspace_of(self, token: str) -> str | None:
        """Return the workspace that owns a bearer token."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        return self.workspaces.get(digest)


def is_valid(key: str, setting: object) -> bool:
    """Return whether this version of the schema allows a value."""
    if isinstance(setting, list):
        setting = tuple(setting)
    return is_valid_cached(key, setting)


@lru_cache(MAX_CACHED_CHECKS)
def is_valid_cached(key: str, setting: object) -> bool:
    """Return whether the schema allows a hashable value; cached."""
    try:
        Settings.model_validate({key: setting})
    except ValidationError:
        return False
    return key in Settings.model_fields
