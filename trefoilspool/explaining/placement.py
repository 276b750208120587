"""Explains where a request would go now, and why, without sending it."""

import threading
from collections.abc import Callable
from typing import NamedTuple, TypedDict
from urllib.parse import parse_qs

from trefoilspool import clock
from trefoilspool.endpointload import EndpointLoad
from trefoilspool.mesh import MeshTask
from trefoilspool.rollouts.rules import usable
from trefoilspool.routing import Configuration, RepeatPolicy, Route, Workspace
from trefoilspool.slotmessages import RefusalReason, SlotKey, SlotRequest
from trefoilspool.slotscheduler import SlotScheduler

__all__ = ['Placement', 'Question', 'explain_placement', 'parse_question']

ANSWER_TIMEOUT_S = 1.0
DEFAULT_TOKENS = 100
NO_KEY = SlotKey('', 0)


class Question(NamedTuple):
    """A request that is not sent.

    Attributes
    ----------
    authority, path : str
        Host and path that the caller would name.
    workspace : str
        Name of the caller's workspace; empty for none.
    prompt_tokens, output_tokens : int
        Size of the request.
    """

    authority: str
    path: str
    workspace: str
    prompt_tokens: int
    output_tokens: int


class Candidate(TypedDict):
    """An endpoint of the service.

    Attributes
    ----------
    verdict : str
        ``chosen``, ``free``, or why it would not get the request.
    predicted_first_byte_s, score : float
        Seconds to the first byte, and the score by which the least is chosen.
    """

    endpoint: str
    data_centre: str
    software: str
    held: int
    slots: int
    pace: int
    verdict: str
    predicted_first_byte_s: float
    score: float


class Placement(TypedDict, total=False):
    """Where a request would go, and why.

    Attributes
    ----------
    outcome : str
        What would become of the request: ``granted``, ``queued``, or why it
        would be refused.
    home : str
        The host that decides; others know its counts only roughly.
    retry_after_s, predicted_wait_s : float
        What a refused caller would be told; the wait for a slot.
    size, ahead : int
        Its class in the order of waiting requests; those that go before it.
    """

    outcome: str
    version: int
    host: str
    home: str
    decides: bool
    route: str
    service: str
    workspace: str
    rank: int
    rollout: str
    predicted_wait_s: float
    size: int
    ahead: int
    retry_after_s: float
    candidates: list[Candidate]


def parse_question(query: str) -> Question:
    """Parse the query of the page.

    Raises
    ------
    ValueError
        A number is none, or the path is missing.
    """
    fields = {name: texts[0] for name, texts in parse_qs(query).items()}
    if 'path' not in fields:
        raise ValueError('no path')
    return Question(
        fields.get('authority', '').lower(),
        fields['path'],
        fields.get('workspace', ''),
        int(fields.get('prompt_tokens', DEFAULT_TOKENS)),
        int(fields.get('output_tokens', DEFAULT_TOKENS)),
    )


def explain_placement(
    question: Question,
    configuration: Configuration | None,
    mesh: MeshTask,
    data_centre: str,
) -> Placement:
    """Explain where a request would go; nothing of the host changes.

    Parameters
    ----------
    question : Question
        The request.
    configuration : Configuration or None
        The configuration in force.
    mesh : MeshTask
        Runs the slot scheduler.
    data_centre : str
        Data centre of this host.
    """
    home = mesh.peers.home()
    placement = Placement(
        host=mesh.peers.own.name,
        home=home.name if home else '',
        decides=mesh.peers.is_home(),
        version=configuration.version if configuration else 0,
    )
    if configuration is None:
        return Placement(**placement, outcome='no configuration: 503')
    route = configuration.routes.find(question.authority, question.path)
    if route is None:
        return Placement(**placement, outcome='no route: 404')
    workspace = configuration.workspaces.get(question.workspace)
    if workspace is None and configuration.workspaces and not route.anonymous:
        return Placement(**placement, outcome='no such workspace: 401')
    rank = configuration.rank(route, workspace)
    ask = slot_request(question, route, workspace, rank, data_centre)
    gate = mesh.client.rollouts
    phase = gate.phase(ask.service)
    ask = ask._replace(version_rule=gate.usual_rule(ask.service))
    decided = on_mesh_thread(
        mesh, lambda now: explain_ask(mesh.scheduler, ask, now)
    )
    return Placement(
        **placement,
        **decided,
        route=route.name,
        service=ask.service,
        workspace=question.workspace,
        rank=rank,
        rollout=f'{gate.target(ask.service)} {phase.name}' if phase else '',
    )


def slot_request(
    question: Question,
    route: Route,
    workspace: Workspace | None,
    rank: int,
    data_centre: str,
) -> SlotRequest:
    """Return the slot request that would be made."""
    now = clock.now()
    heaviest = max(route.weighted_services, key=lambda entry: entry.weight)
    tokens = question.prompt_tokens + question.output_tokens
    return SlotRequest(
        key=NO_KEY,
        service=heaviest.service,
        workspace=question.workspace,
        rank=rank,
        prompt_tokens=question.prompt_tokens,
        output_tokens=question.output_tokens,
        first_byte_due=now + route.target_latency_s,
        deadline=now + route.timeout_s,
        arrived_at=now,
        avoid=(),
        attempt=1,
        prompt_prefixes=(),
        streams=route.streams,
        charge=workspace.charge(tokens) if workspace else 0,
        data_centre=data_centre,
        repeatable=route.repeats is not RepeatPolicy.never,
    )


def on_mesh_thread(
    mesh: MeshTask, explain: Callable[[float], Placement]
) -> Placement:
    """Explain on the thread that owns the scheduler; wait for the answer."""
    done = threading.Event()
    answers: list[Placement] = []

    def answer(now: float) -> None:
        try:
            answers.append(explain(now))
        finally:
            done.set()

    mesh.call_soon(answer)
    done.wait(ANSWER_TIMEOUT_S)
    return answers[0] if answers else Placement(outcome='the host is busy')


def explain_ask(
    scheduler: SlotScheduler, ask: SlotRequest, now: float
) -> Placement:
    """Explain the decision on a slot request that is not made."""
    endpoints = scheduler.pool.of_service(ask.service)
    chosen = scheduler.pool.best(ask, now)
    wait_s = scheduler.waits.predict_wait_s(ask, now)
    placement = Placement(
        outcome='granted' if chosen else 'queued',
        predicted_wait_s=round(wait_s, 3),
        size=scheduler.waiting.order.size(ask),
        ahead=scheduler.waits.ahead(ask, now),
        candidates=[
            candidate(scheduler, endpoint, chosen, ask, now)
            for endpoint in endpoints
        ],
    )
    reason = refusal(scheduler, ask, now)
    if reason is None:
        return placement
    placement['outcome'] = f'refused: {reason.name}'
    placement['retry_after_s'] = round(
        scheduler.waits.retry_after(ask, reason, now), 3
    )
    return placement


def refusal(
    scheduler: SlotScheduler, ask: SlotRequest, now: float
) -> RefusalReason | None:
    """Return why a request would be refused, None if it would not."""
    endpoints = scheduler.pool.of_service(ask.service)
    if not any(endpoint.accepts(ask, now) for endpoint in endpoints):
        return RefusalReason.no_endpoint
    timeout_at = scheduler.waits.timeout_at(ask, now)
    if not scheduler.waits.has_room(ask, timeout_at, now):
        return RefusalReason.crowded
    if ask.charge and scheduler.rate_limits.refill_s(ask, now) > 0:
        return RefusalReason.over_limit
    return None


def candidate(
    scheduler: SlotScheduler,
    endpoint: EndpointLoad,
    chosen: EndpointLoad | None,
    ask: SlotRequest,
    now: float,
) -> Candidate:
    """Describe an endpoint of the service."""
    return Candidate(
        endpoint=endpoint.name,
        data_centre=endpoint.spec.data_centre,
        software=endpoint.software,
        held=len(endpoint.reservations),
        slots=endpoint.spec.slots,
        pace=endpoint.pace.limit,
        verdict='chosen'
        if endpoint is chosen
        else obstacle(scheduler, endpoint, ask, now),
        predicted_first_byte_s=round(
            endpoint.predict_first_byte_s(ask, now), 4
        ),
        score=round(endpoint.score(ask, now), 4),
    )


def obstacle(
    scheduler: SlotScheduler,
    endpoint: EndpointLoad,
    ask: SlotRequest,
    now: float,
) -> str:
    """Return why an endpoint would not get a request, or that it is free."""
    checks = (
        ('another version', is_usable(scheduler, endpoint, ask)),
        ('ejected', endpoint.reliability.accepts_requests(now)),
        ('over its own limit', scheduler.pool.admits(endpoint, now)),
        ('no free slot', endpoint.free_slots > 0),
        (
            'beyond its pace',
            endpoint.pace.admits(len(endpoint.reservations)),
        ),
    )
    return next((reason for reason, passed in checks if not passed), 'free')


def is_usable(
    scheduler: SlotScheduler, endpoint: EndpointLoad, ask: SlotRequest
) -> bool:
    """Return whether a roll-out allows an endpoint."""
    endpoints = scheduler.pool.of_service(ask.service)
    return endpoint in usable(ask.version_rule, endpoints)
