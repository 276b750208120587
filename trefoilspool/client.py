"""A minimal client for the smoke test and the load generator."""

import http.client
import json
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from trefoilspool.framing.strictresponse import StrictConnection

__all__ = ['CallResult', 'KindCall', 'call_kind', 'post']

TIMEOUT_S = 120.0


class KindCall(NamedTuple):
    """A request of one kind.

    Attributes
    ----------
    path, kind : str
        URL path, and value of the ``X-Request-Kind`` header.
    body : mapping
        Body, sent as JSON.
    key : str
        Idempotency key, empty for none.
    """

    path: str
    kind: str
    body: Mapping[str, object]
    key: str = ''


class CallResult(NamedTuple):
    """Response to a request and its outcome, as received by the caller.

    Attributes
    ----------
    tokens : int
        Token events of a streamed response, otherwise 0.
    text : str
        Text of a streamed response, otherwise the body.
    """

    status: int
    outcome: str
    request_id: str
    tokens: int
    text: str


def post(
    address: tuple[str, int],
    path: str,
    body: Mapping[str, object],
    headers: Mapping[str, str],
) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
    """Send a request and return the connection with its open response."""
    connection = StrictConnection(*address, timeout=TIMEOUT_S)
    connection.request(
        'POST',
        path,
        json.dumps(body),
        {
            'Content-Type': 'application/json',
            **headers,
        },
    )
    return connection, connection.getresponse()


def call_kind(
    address: tuple[str, int],
    token: str,
    call: KindCall,
    timeout_s: float | None = None,
) -> CallResult:
    """Send a request, read its whole response and return the outcome."""
    headers = {
        'Authorization': f'Bearer {token}',
        'X-Request-Kind': call.kind,
    }
    if call.key:
        headers['Idempotency-Key'] = call.key
    if timeout_s is not None:
        headers['X-Request-Timeout'] = str(timeout_s)
    connection, response = post(address, call.path, call.body, headers)
    outcome = response.headers.get('X-Request-Outcome', '')
    request_id = response.headers.get('X-Request-Id', '')
    raw = response.read().decode()
    connection.close()
    if response.headers.get('Content-Type') != 'text/event-stream':
        return CallResult(response.status, outcome, request_id, 0, raw)
    texts = []
    for event, payload in parse_events(raw):
        if event == 'outcome':
            outcome = json.loads(payload)['outcome']
        elif payload != '[DONE]':
            choice = json.loads(payload)['choices'][0]
            texts.append(
                choice.get('text') or choice.get('delta', {})['content'],
            )
    return CallResult(
        response.status,
        outcome,
        request_id,
        len(texts),
        ''.join(texts),
    )


def parse_events(raw: str) -> Iterator[tuple[str, str]]:
    """Yield the name and payload of each server-sent event."""
    for block in raw.split('\n\n'):
        fields = dict(
            line.split(': ', 1) for line in block.splitlines() if line
        )
        if 'data' in fields:
            yield fields.get('event', 'message'), fields['data']
