"""Bodies, events and outcomes of chat and text completion responses."""

import json
import time
from collections.abc import Iterator
from typing import NamedTuple

from trefoilspool.endpoint import Token
from trefoilspool.filter import ClaimedJob, Job
from trefoilspool.outcome import Outcome
from trefoilspool.problems import Problem

__all__ = [
    'chunk_text',
    'completion_body',
    'correct_outcome',
    'stream_events',
]


class ResponseFormat(NamedTuple):
    """Format of the response body of a path.

    Attributes
    ----------
    object_type : str
        Value of the ``object`` member.
    chat : bool
        Whether choices hold a message instead of a text.
    """

    object_type: str
    chat: bool


RESPONSE_FORMATS = {
    '/v1/chat/completions': ResponseFormat('chat.completion', chat=True),
    '/v1/completions': ResponseFormat('text_completion', chat=False),
}


def chunk_text(token: Token) -> str:
    """Return the text of a streamed chunk."""
    choices = json.loads(token.payload).get('choices')
    if not choices:
        return ''
    choice = choices[0]
    if 'text' in choice:
        return str(choice['text'])
    return str(choice.get('delta', {}).get('content', ''))


def completion_body(job: Job, texts: list[str]) -> dict[str, object]:
    """Return the body of a response that is not streamed."""
    text = ''.join(texts)
    choice: dict[str, object] = {'index': 0, 'finish_reason': 'stop'}
    response_format = RESPONSE_FORMATS[job.arrival.path]
    prompt_tokens = job.ask.prompt_tokens
    if response_format.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': job.arrival.request_id,
        'object': response_format.object_type,
        'created': int(time.time()),
        'model': job.place.settings.cell,
        'choices': [choice],
        'usage': {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': len(texts),
            'total_tokens': prompt_tokens + len(texts),
        },
    }


def correct_outcome(problem: Problem, claimed: ClaimedJob) -> Problem:
    """Replace an outcome that holds for the last attempt only.

    ``not_run`` is not true if the request was sent, nor is ``failed`` if the
    result of an earlier attempt is unknown.
    """
    progress = claimed.job.progress
    not_run = problem.outcome is Outcome.not_run and progress.sent
    failed = problem.outcome is Outcome.failed and progress.result_unknown
    if not_run or failed:
        unknown = progress.result_unknown
        outcome = Outcome.may_have_run if unknown else Outcome.interrupted
        problem.outcome = outcome  # type: ignore[misc]
    return problem


def stream_events(
    claimed: ClaimedJob,
    first: Token | None,
    tokens: Iterator[Token],
) -> Iterator[bytes]:
    """Yield server-sent events; the last one is the outcome."""
    try:
        if first is not None:
            yield format_event(first)
            for token in tokens:
                yield format_event(token)
        yield b'data: [DONE]\n\n'
        document: dict[str, object] = {'outcome': Outcome.completed.value}
    except Problem as last_problem:
        problem = correct_outcome(last_problem, claimed)
        claimed.job.progress.outcome = problem.outcome
        document = dict(problem.document())
    yield f'event: outcome\ndata: {json.dumps(document)}\n\n'.encode()


def format_event(token: Token) -> bytes:
    """Return a token's server-sent event."""
    return f'id: {token.position}\ndata: {token.payload}\n\n'.encode()
