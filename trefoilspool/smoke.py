"""Smoke test: sends one request of every kind to a deployment."""

import uuid
from collections.abc import Mapping, Sequence

from trefoilspool.client import KindCall, call_kind
from trefoilspool.tree import KindPlace, Tree

__all__ = ['sample_call', 'try_kinds']

ADDRESS = '127.0.0.1'


def sample_call(kind_place: KindPlace) -> KindCall:
    """Return a sample request of a kind.

    The request has an idempotency key unless the kind is idempotent.
    """
    key = '' if kind_place.settings.idempotent else uuid.uuid4().hex
    if kind_place.settings.target == 'service':
        body: Mapping[str, object] = {'sample': kind_place.kind}
        path = f'/services/{kind_place.service}/{kind_place.kind}'
        return KindCall(path, kind_place.kind, body, key)
    body = {
        'messages': [{'role': 'user', 'content': f'Sample {kind_place.kind}.'}],
        'stream': kind_place.settings.interactive,
    }
    return KindCall('/v1/chat/completions', kind_place.kind, body, key)


def try_kinds(tree: Tree, token: str, ports: Sequence[int]) -> str:
    """Send one request of each kind of a workspace; return the outcomes.

    Parameters
    ----------
    tree : Tree
        Settings that list the kinds.
    token : str
        API token, which determines the workspace.
    ports : sequence of int
        HTTP ports of hosts on loopback, used in turn.

    Returns
    -------
    str
        Table with a line for each kind.
    """
    workspace = tree.workspace_of(token)
    lines = ['kind            tier        port  status  outcome']
    kind_places = [
        kind_place
        for kind_place in tree.all_kinds()
        if kind_place.workspace == workspace
    ]
    for index, kind_place in enumerate(kind_places):
        port = ports[index % len(ports)]
        result = call_kind((ADDRESS, port), token, sample_call(kind_place))
        lines.append(
            f'{kind_place.kind:<15} {kind_place.tier:<11} {port:<5} '
            f'{result.status:<7} {result.outcome}',
        )
    return '\n'.join(lines)
