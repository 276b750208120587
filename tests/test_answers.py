"""Responses to cut, repeated, misrouted and concurrent streams."""

import json
import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from cluster import ADDRESS, Cluster, cluster, wait_until

from trefoilspool.client import KindCall
from trefoilspool.standins.engine import answer_length, token_text

CHAT = '/v1/chat/completions'
STOCK_TOKENS = 200
PROPOSAL_TOKENS = 800
LONG_PROMPT = 'long'


@pytest.fixture(scope='module')
def system() -> Iterator[Cluster]:
    with cluster(hosts=2, engines=2, services=0) as running:
        yield running


@pytest.fixture(autouse=True)
def reset_faults(system: Cluster) -> Iterator[None]:
    yield
    for engine in ('engine0', 'engine1'):
        system.fault(
            engine,
            cut_after=0,
            repeat=0,
            wrong_attempt=0,
            speed=1,
            plain=0,
        )


def stock_call(text: str, stream: bool = True, kind: str = 'stock') -> KindCall:
    body = {'messages': [{'role': 'user', 'content': text}], 'stream': stream}
    return KindCall(CHAT, kind, body)


def expected_text(text: str, allowed: int = STOCK_TOKENS) -> str:
    prompt = f'user: {text}'
    count = answer_length(prompt, allowed)
    return ''.join(token_text(prompt, index) for index in range(count))


def count_attempts(system: Cluster, request_id: str) -> int:
    return sum(
        entry['request'] == request_id
        for engine in ('engine0', 'engine1')
        for entry in system.journal(engine)
    )


class TestWholeAnswers:
    def test_concurrent_requests_get_their_own_responses(
        self, system: Cluster
    ) -> None:
        texts = [f'question {number // 2}' for number in range(40)]
        with ThreadPoolExecutor(16) as pool:
            results = list(
                pool.map(
                    lambda text: system.call('h0', stock_call(text)),
                    texts,
                )
            )
        for text, result in zip(texts, results, strict=True):
            assert (result.outcome, result.text) == (
                'completed',
                expected_text(text),
            )

    def test_cut_stream_is_resumed(self, system: Cluster) -> None:
        system.fault('engine0', cut_after=10)
        for number in range(6):
            text = f'cut {number}'
            result = system.call('h1', stock_call(text, stream=number % 2 == 0))
            if result.outcome == 'completed' and number % 2 == 0:
                assert result.text == expected_text(text)
            elif result.outcome == 'completed':
                choice = json.loads(result.text)['choices'][0]
                assert choice['message']['content'] == expected_text(text)
            else:
                assert result.outcome == 'may_have_run'
                assert expected_text(text).startswith(
                    result.text if number % 2 == 0 else '',
                )

    def test_stream_that_no_endpoint_resumes_may_have_run(
        self, system: Cluster
    ) -> None:
        for engine in ('engine0', 'engine1'):
            system.fault(engine, cut_after=10)
        for number in range(3):
            text = f'cut everywhere {number}'
            result = system.call('h0', stock_call(text))
            assert result.outcome == 'may_have_run'
            assert expected_text(text).startswith(result.text)

    def test_repeated_tokens_are_dropped(self, system: Cluster) -> None:
        for engine in ('engine0', 'engine1'):
            system.fault(engine, repeat=1)
        result = system.call('h0', stock_call('twice'))
        assert (result.outcome, result.text) == (
            'completed',
            expected_text('twice'),
        )

    def test_response_of_another_attempt_is_not_relayed(
        self,
        system: Cluster,
    ) -> None:
        for engine in ('engine0', 'engine1'):
            system.fault(engine, wrong_attempt=1)
        result = system.call('h0', stock_call('other'))
        assert result.outcome != 'completed'
        # A 'w' before the problem document is from a relayed token.
        assert 'w' not in result.text.split('detail')[0].split('{')[0]

    def test_plain_engine_is_served(self, system: Cluster) -> None:
        """An engine that sends no event ids or attempt names is accepted."""
        for engine in ('engine0', 'engine1'):
            system.fault(engine, plain=1)
        result = system.call('h0', stock_call('plain'))
        assert (result.outcome, result.text) == (
            'completed',
            expected_text('plain'),
        )

    def test_plain_engine_is_not_resumed(self, system: Cluster) -> None:
        for engine in ('engine0', 'engine1'):
            system.fault(engine, plain=1, cut_after=5)
        result = system.call('h0', stock_call('plain cut'))
        assert result.outcome == 'may_have_run'
        assert result.text == ''.join(
            token_text('user: plain cut', index) for index in range(5)
        )

    def test_at_most_once_request_is_never_sent_again(
        self, system: Cluster
    ) -> None:
        for engine in ('engine0', 'engine1'):
            system.fault(engine, cut_after=1)
        result = system.call('h0', stock_call('tag', kind='tag'))
        assert result.outcome in {'may_have_run', 'completed'}
        assert count_attempts(system, result.request_id) == 1

    def send_call(self, system: Cluster, text: str) -> socket.socket:
        """Send a request and return its connection without reading."""
        body = json.dumps(stock_call(text, kind='proposal').body)
        connection = socket.create_connection((ADDRESS, system.ports['h0']))
        connection.sendall(
            f'POST {CHAT} HTTP/1.1\r\nHost: x\r\n'
            'Authorization: Bearer token-montevideo\r\n'
            'X-Request-Kind: proposal\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'.encode(),
        )
        return connection

    def journaled_end(self, system: Cluster, text: str) -> str:
        """Return the end of a prompt's request in the engines' journals."""
        endings = [
            entry['end']
            for engine in ('engine0', 'engine1')
            for entry in system.journal(engine)
            if text in entry['prompt']
        ]
        return endings[0] if endings else ''

    @pytest.mark.parametrize('speed', [1, 0.00001])
    def test_disconnect_cancels_at_the_engine(
        self,
        system: Cluster,
        speed: float,
    ) -> None:
        """The caller disconnects in mid-stream or before the first token."""
        for engine in ('engine0', 'engine1'):
            system.fault(engine, speed=speed)
        text = f'hang up at {speed}'
        connection = self.send_call(system, text)
        if speed == 1:
            connection.recv(1)
        wait_until(
            lambda: self.journaled_end(system, text),
            'the request to be dispatched',
        )
        connection.close()
        wait_until(
            lambda: self.journaled_end(system, text) == 'cancelled',
            'the engine to cancel the request',
        )

    def test_permits_are_released(self, system: Cluster) -> None:
        for engine in ('engine0', 'engine1'):
            system.fault(engine, wrong_attempt=1)
        for number in range(8):
            system.call('h0', stock_call(f'given back {number}'))
        wait_until(
            lambda: (
                not any(
                    count
                    for host in ('h0', 'h1')
                    for count in system.status(host)['permits'].values()
                )
            ),
            'all permits to be released',
        )

    def test_deadline_ends_the_response_at_once(self, system: Cluster) -> None:
        for engine in ('engine0', 'engine1'):
            system.fault(engine, speed=0.05)
        result = system.call(
            'h0',
            stock_call('slow', kind='proposal'),
            timeout_s=2,
        )
        assert result.outcome in {'interrupted', 'not_run'}
        assert expected_text('slow', PROPOSAL_TOKENS).startswith(
            result.text if result.outcome == 'interrupted' else '',
        )
