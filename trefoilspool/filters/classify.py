"""The filter that determines a request's kind, tier and deadline."""

import json
import math
from collections.abc import Mapping
from typing import NamedTuple

from returns.result import Failure, Result, Success

from trefoilspool import events
from trefoilspool.filter import (
    Arrival,
    Caller,
    Filter,
    FinalResponse,
    Job,
    Progress,
)
from trefoilspool.prefixhash import count_tokens, prefix_hashes
from trefoilspool.problems import (
    BadBodyError,
    BadTimeoutError,
    BodyTooLargeError,
    ForbiddenServiceError,
    Problem,
    UnknownKindError,
    UnknownPathError,
)
from trefoilspool.tree import KindPlace

__all__ = ['SERVICE_PREFIX', 'Classify', 'extract_prompt']

SERVICE_PREFIX = '/services/'
MODEL_PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))
AUTO_MODEL = 'auto'  # the settings tree chooses the model


class PathTarget(NamedTuple):
    """What a request path addresses.

    Attributes
    ----------
    target : str
        ``model`` or ``service``.
    service : str
        Name of the service, empty for a model path.
    """

    target: str
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

    def apply(self, message: Caller) -> Result[Job, FinalResponse]:
        """Return the job, or a 4xx problem."""
        try:
            return Success(self.classify(message))
        except Problem as problem:
            return Failure(problem)

    def classify(self, caller: Caller) -> Job:
        """Return the job of a caller's request.

        Raises
        ------
        Problem
            When the path, kind, body, model or timeout is not accepted.
        """
        arrival = caller.arrival
        path_target = parse_path(arrival.path)
        is_model = path_target.target == 'model'
        place = find_place(caller, path_target)
        settings = place.settings
        if len(arrival.body) > settings.max_body_bytes:
            raise BodyTooLargeError(
                f'the body has {len(arrival.body)} bytes; {place.path} '
                f'accepts at most {settings.max_body_bytes}',
            )
        body = parse_body(arrival.body) if is_model else {}
        check_model(body, place)
        prompt = extract_prompt(body) if is_model else ''
        ask = events.Ask(
            request=events.RequestKey(self.host, arrival.number),
            cell=settings.cell,
            workspace=caller.workspace,
            kind=place.kind,
            tier=settings.rank,
            weight=settings.weight,
            deadline=arrival.arrived_at + request_timeout_s(arrival, place),
            prompt_tokens=count_tokens(prompt),
            output_tokens=max_output_tokens(body, settings.output_tokens),
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


def parse_path(path: str) -> PathTarget:
    """Return the target of a path."""
    if path in MODEL_PATHS:
        return PathTarget('model', '')
    if path.startswith(SERVICE_PREFIX):
        service = path.removeprefix(SERVICE_PREFIX).split('/')[0]
        return PathTarget('service', service)
    raise UnknownPathError(f'{path} is not a resource of this system')


def find_place(caller: Caller, path_target: PathTarget) -> KindPlace:
    """Return the place of the request's kind in the settings tree."""
    kind = caller.arrival.headers.get('x-request-kind', '')
    place = caller.tree.kind(caller.workspace, kind)
    if place is None:
        raise UnknownKindError(
            f'workspace {caller.workspace} has no kind {kind!r}',
        )
    same_target = place.settings.target == path_target.target
    if not same_target or path_target.service not in {'', place.service}:
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
        raise BadBodyError(
            f'the body must be a JSON object, not {type(body).__name__}'
        )
    return body


def check_model(body: Mapping[str, object], place: KindPlace) -> None:
    """Reject a model other than the one that the tree sets for the kind."""
    model = body.get('model', AUTO_MODEL)
    if place.settings.target != 'model' or model == AUTO_MODEL:
        return
    if model != place.settings.cell:
        raise ForbiddenServiceError(
            f'{place.path} runs on model {place.settings.cell}, '
            f'not on {model!r}',
        )


def extract_prompt(body: Mapping[str, object]) -> str:
    """Return the prompt of a completion or chat completion."""
    messages = body.get('messages')
    if isinstance(messages, list):
        if not all(isinstance(message, dict) for message in messages):
            raise BadBodyError('messages must be a list of objects')
        return '\n'.join(
            f'{message.get("role")}: {message.get("content")}'
            for message in messages
        )
    prompt = body.get('prompt')
    if not isinstance(prompt, str):
        raise BadBodyError(
            'the body must have a list of messages or a prompt string'
        )
    return prompt


def max_output_tokens(body: Mapping[str, object], allowed: int) -> int:
    """Return the request's ``max_tokens``, bounded by the allowed number."""
    requested = body.get('max_tokens', allowed)
    if not isinstance(requested, int) or requested < 1:
        raise BadBodyError(
            f'max_tokens must be an integer of at least 1, not {requested!r}'
        )
    return min(requested, allowed)


def request_timeout_s(arrival: Arrival, place: KindPlace) -> float:
    """Return the request's timeout, bounded by the kind's maximum."""
    header = arrival.headers.get('x-request-timeout')
    settings = place.settings
    if header is None:
        return settings.timeout_s
    try:
        timeout_s = float(header)
    except ValueError:
        timeout_s = math.nan
    if not 0 < timeout_s < math.inf:
        raise BadTimeoutError(
            f'X-Request-Timeout must be seconds above 0, not {header!r}',
        )
    return min(timeout_s, settings.max_timeout_s)


def victim_class(place: KindPlace) -> events.VictimClass:
    """Return the cost class of cancelling a running request of a kind."""
    settings = place.settings
    return VICTIM_CLASSES[settings.target, settings.idempotent]


VICTIM_CLASSES = {
    ('model', True): events.VictimClass.resumable,
    ('model', False): events.VictimClass.once_model,
    ('service', True): events.VictimClass.service,
    ('service', False): events.VictimClass.service,
}
