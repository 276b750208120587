"""One request of every kind, to see that a deployment serves."""

import uuid
from collections.abc import Mapping, Sequence

from trefoilspool.client import KindCall, call_kind
from trefoilspool.tree import KindPlace, Tree

__all__ = ['call_of', 'try_kinds']

ADDRESS = '127.0.0.1'


def call_of(place: KindPlace) -> KindCall:
    """Return a sample request of a kind."""
    key = '' if place.settings.idempotent else uuid.uuid4().hex
    if place.settings.target == 'service':
        body: Mapping[str, object] = {'sample': place.kind}
        path = f'/services/{place.service}/{place.kind}'
        return KindCall(path, place.kind, body, key)
    body = {
        'messages': [{'role': 'user', 'content': f'Sample {place.kind}.'}],
        'stream': place.settings.interactive,
    }
    return KindCall('/v1/chat/completions', place.kind, body, key)


def try_kinds(tree: Tree, token: str, ports: Sequence[int]) -> str:
    """Return a table with a line for each kind of the token's workspace."""
    workspace = tree.workspace_of(token)
    lines = ['kind            tier        port  status  outcome']
    places = [
        place for place in tree.all_kinds() if place.workspace == workspace
    ]
    for turn, place in enumerate(places):
        port = ports[turn % len(ports)]
        told = call_kind((ADDRESS, port), token, call_of(place))
        lines.append(
            f'{place.kind:<15} {place.tier:<11} {port:<5} '
            f'{told.status:<7} {told.outcome}',
        )
    return '\n'.join(lines)
