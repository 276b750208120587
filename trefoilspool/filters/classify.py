"""The filter that finds a request's kind, tier and deadline."""

import json
import math
from collections.abc import Mapping
from typing import NamedTuple

from returns.result import Failure, Result, Success

from trefoilspool import events
from trefoilspool.errors import (
    BadBodyError,
    BadTimeoutError,
    BodyTooLargeError,
    ForbiddenServiceError,
    Problem,
    UnknownKindError,
    UnknownPathError,
)
from trefoilspool.filter import (
    Arrival,
    Caller,
    Filter,
    Final,
    Job,
    Progress,
)
from trefoilspool.prefixhash import count_tokens, prefix_hashes
from trefoilspool.tree import KindPlace

__all__ = ['SERVICE_PREFIX', 'Classify', 'prompt_of']

SERVICE_PREFIX = '/services/'
MODEL_PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))
MODEL_CHOSEN_BY_TREE = 'auto'


class Target(NamedTuple):
    """What a path asks for; a model path names no service."""

    kind: str
    service: str


class Classify(Filter[Caller, Job]):
    """Takes kind, tier, limits and deadline from the settings tree.

    Parameters
    ----------
    host : str
        Name of this host, which becomes part of the request's key.
    """

    def __init__(self, host: str) -> None:
        self.host = host

    def apply(self, message: Caller) -> Result[Job, Final]:
        """Return the job, or a 4xx problem."""
        try:
            return Success(self.classify(message))
        except Problem as problem:
            return Failure(problem)

    def classify(self, caller: Caller) -> Job:
        """Build the job."""
        arrival = caller.arrival
        target = target_of(arrival.path)
        is_model = target.kind == 'model'
        place = find_place(caller, target)
        settings = place.settings
        if len(arrival.body) > settings.max_body_bytes:
            raise BodyTooLargeError(
                f'the body has {len(arrival.body)} bytes; {place.path} '
                f'takes at most {settings.max_body_bytes}',
            )
        body = parse_body(arrival.body) if is_model else {}
        check_model(body, place)
        prompt = prompt_of(body) if is_model else ''
        ask = events.Ask(
            request=events.RequestKey(self.host, arrival.number),
            cell=settings.cell,
            workspace=caller.workspace,
            kind=place.kind,
            tier=settings.rank,
            weight=settings.weight,
            deadline=arrival.arrived + timeout_of(arrival, place),
            prompt_tokens=count_tokens(prompt),
            output_tokens=output_tokens(body, settings.output_tokens),
            victim=victim_class(place),
            prefix_hashes=prefix_hashes(prompt),
            interactive=settings.interactive,
        )
        return Job(
            arrival,
            caller.workspace,
            place,
            ask,
            body,
            body.get('stream') is True,
            not settings.idempotent,
            Progress(),
        )


def target_of(path: str) -> Target:
    """Return what a path asks for."""
    if path in MODEL_PATHS:
        return Target('model', '')
    if path.startswith(SERVICE_PREFIX):
        service = path.removeprefix(SERVICE_PREFIX).split('/')[0]
        return Target('service', service)
    raise UnknownPathError(f'{path} is not a resource of this system')


def find_place(caller: Caller, target: Target) -> KindPlace:
    """Return the place of the request's kind in the tree."""
    kind = caller.arrival.headers.get('x-request-kind', '')
    place = caller.tree.kind(caller.workspace, kind)
    if place is None:
        raise UnknownKindError(
            f'workspace {caller.workspace} has no kind {kind!r}',
        )
    fits = place.settings.target == target.kind
    if not fits or target.service not in {'', place.service}:
        raise ForbiddenServiceError(
            f'kind {kind} of workspace {caller.workspace} belongs to '
            f'service {place.service}, a {place.settings.target}',
        )
    return place


def parse_body(raw: bytes) -> Mapping[str, object]:
    """Return the JSON object of a body."""
    try:
        body = json.loads(raw or b'{}')
    except ValueError as error:
        raise BadBodyError(f'the body is not JSON: {error}') from error
    if not isinstance(body, dict):
        raise BadBodyError('the body is not a JSON object')
    return body


def check_model(body: Mapping[str, object], place: KindPlace) -> None:
    """Refuse a model other than the one that the tree gives the kind."""
    model = body.get('model', MODEL_CHOSEN_BY_TREE)
    if place.settings.target != 'model' or model == MODEL_CHOSEN_BY_TREE:
        return
    if model != place.settings.cell:
        raise ForbiddenServiceError(
            f'{place.path} runs on model {place.settings.cell}, '
            f'not on {model!r}',
        )


def prompt_of(body: Mapping[str, object]) -> str:
    """Return the prompt of a completion or chat completion."""
    messages = body.get('messages')
    if isinstance(messages, list):
        if not all(isinstance(one, dict) for one in messages):
            raise BadBodyError('messages must be a list of objects')
        return '\n'.join(
            f'{one.get("role")}: {one.get("content")}' for one in messages
        )
    prompt = body.get('prompt')
    if not isinstance(prompt, str):
        raise BadBodyError('the body needs messages, or a prompt string')
    return prompt


def output_tokens(body: Mapping[str, object], allowed: int) -> int:
    """Return the longest answer that the request may get."""
    asked = body.get('max_tokens', allowed)
    if not isinstance(asked, int) or asked < 1:
        raise BadBodyError(f'max_tokens must be at least 1, not {asked!r}')
    return min(asked, allowed)


def timeout_of(arrival: Arrival, place: KindPlace) -> float:
    """Return the seconds that the caller gives the request."""
    stated = arrival.headers.get('x-request-timeout')
    settings = place.settings
    if stated is None:
        return settings.timeout_s
    try:
        seconds = float(stated)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < math.inf:
        raise BadTimeoutError(
            f'X-Request-Timeout must be seconds above 0, not {stated!r}',
        )
    return min(seconds, settings.max_timeout_s)


def victim_class(place: KindPlace) -> events.VictimClass:
    """Return how a running request of this kind may be cancelled."""
    settings = place.settings
    return VICTIM_CLASSES[settings.target, settings.idempotent]


VICTIM_CLASSES = {
    ('model', True): events.VictimClass.resumable,
    ('model', False): events.VictimClass.once_model,
    ('service', True): events.VictimClass.service,
    ('service', False): events.VictimClass.service,
}
