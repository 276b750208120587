"""Bodies and events of answers, in the usual shapes."""

import json
import time
from collections.abc import Iterator
from typing import NamedTuple

from trefoilspool.endpoint import Token
from trefoilspool.errors import Problem
from trefoilspool.filter import ClaimedJob, Job
from trefoilspool.outcome import Outcome

__all__ = ['stream_events', 'text_of', 'whole_body']


class Shape(NamedTuple):
    """Where the text is in the chunks of a path."""

    kind: str
    chat: bool


SHAPES = {
    '/v1/chat/completions': Shape('chat.completion', chat=True),
    '/v1/completions': Shape('text_completion', chat=False),
}


def text_of(token: Token) -> str:
    """Return the text of a chunk."""
    choices = json.loads(token.payload).get('choices')
    if not choices:
        return ''
    choice = choices[0]
    if 'text' in choice:
        return str(choice['text'])
    return str(choice.get('delta', {}).get('content', ''))


def whole_body(job: Job, texts: list[str]) -> dict[str, object]:
    """Return the body of an answer that is not streamed."""
    text = ''.join(texts)
    choice: dict[str, object] = {'index': 0, 'finish_reason': 'stop'}
    shape = SHAPES[job.arrival.path]
    prompt_tokens = job.ask.prompt_tokens
    if shape.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': job.arrival.request_id,
        'object': shape.kind,
        'created': int(time.time()),
        'model': job.place.settings.cell,
        'choices': [choice],
        'usage': {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': len(texts),
            'total_tokens': prompt_tokens + len(texts),
        },
    }


def stream_events(
    claimed: ClaimedJob,
    first: Token | None,
    tokens: Iterator[Token],
) -> Iterator[bytes]:
    """Yield server-sent events; the last one is the outcome."""
    try:
        if first is not None:
            yield format_token(first)
            for token in tokens:
                yield format_token(token)
        yield b'data: [DONE]\n\n'
        document: dict[str, object] = {'outcome': Outcome.completed.value}
    except Problem as problem:
        claimed.job.progress.outcome = problem.outcome
        document = dict(problem.document())
    yield f'event: outcome\ndata: {json.dumps(document)}\n\n'.encode()


def format_token(token: Token) -> bytes:
    """Return a token's event."""
    return f'id: {token.place}\ndata: {token.payload}\n\n'.encode()
