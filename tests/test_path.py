"""The request path end to end, with separate processes."""

import http.client
import uuid
from collections.abc import Iterator

import pytest
from cluster import Cluster, cluster

from trefoilspool.client import KindCall
from trefoilspool.standins.engine import answer_length, token_text

CHAT = '/v1/chat/completions'


@pytest.fixture(scope='module')
def system() -> Iterator[Cluster]:
    with cluster(hosts=3, engines=2) as running:
        yield running


def chat(kind: str, text: str, **fields: object) -> KindCall:
    messages = [{'role': 'user', 'content': text}]
    return KindCall(CHAT, kind, {'messages': messages, **fields})


class TestPath:
    def test_stream_is_complete(self, system: Cluster) -> None:
        result = system.call('h0', chat('stock', 'ripe?', stream=True))
        prompt = 'user: ripe?'
        count = answer_length(prompt, 200)
        expected = ''.join(token_text(prompt, index) for index in range(count))
        assert (result.status, result.outcome) == (200, 'completed')
        assert result.text == expected

    def test_each_host_serves_each_kind(self, system: Cluster) -> None:
        for host in ('h0', 'h1', 'h2'):
            call = KindCall(
                '/services/orders/x',
                'confirmation',
                {},
                uuid.uuid4().hex,
            )
            assert system.call(host, call).outcome == 'completed'
            tag = chat('tag', f'from {host}')
            assert system.call(host, tag).outcome == 'completed'


class TestBadInput:
    @pytest.mark.parametrize(
        ('call', 'token', 'status', 'slug'),
        [
            (chat('stock', 'x'), 'wrong', 401, 'unauthorized'),
            (chat('nonsense', 'x'), 'token-shops', 400, 'unknown_kind'),
            (
                chat('confirmation', 'x'),
                'token-shops',
                403,
                'service_not_allowed',
            ),
            (
                KindCall('/services/other/x', 'confirmation', {}),
                'token-shops',
                403,
                'service_not_allowed',
            ),
            (
                chat('stock', 'x', model='other'),
                'token-shops',
                403,
                'service_not_allowed',
            ),
            (
                chat('stock', 'x', max_tokens='many'),
                'token-shops',
                400,
                'malformed_body',
            ),
            (
                KindCall(CHAT, 'stock', {'prompt': 'x' * 1_000_001}),
                'token-shops',
                413,
                'body_too_large',
            ),
            (
                KindCall('/v2/none', 'stock', {}),
                'token-shops',
                404,
                'unknown_path',
            ),
            (
                chat('stock', 'x')._replace(key='k' * 5000),
                'token-shops',
                431,
                'header_too_large',
            ),
        ],
    )
    def test_problem(
        self,
        system: Cluster,
        call: KindCall,
        token: str,
        status: int,
        slug: str,
    ) -> None:
        before = len(system.journal('engine0'))
        result = system.call('h1', call, token)
        assert (result.status, result.outcome) == (status, 'not_run')
        assert f'urn:trefoilspool:problem:{slug}' in result.text
        assert len(system.journal('engine0')) == before

    @pytest.mark.parametrize('timeout', [0, -1, float('nan')])
    def test_bad_timeout(self, system: Cluster, timeout: float) -> None:
        result = system.call('h2', chat('stock', 'x'), timeout_s=timeout)
        assert result.status == 400
        assert 'bad_timeout' in result.text


class TestPlainServices:
    def test_method_query_and_body_are_forwarded(
        self,
        system: Cluster,
    ) -> None:
        connection = http.client.HTTPConnection(
            '127.0.0.1',
            system.ports['h0'],
            timeout=30,
        )
        connection.request(
            'POST',
            '/services/orders/x?crates=2',
            b'not json',
            {
                'Authorization': 'Bearer token-shops',
                'X-Request-Kind': 'confirmation',
                'Content-Type': 'text/plain',
            },
        )
        response = connection.getresponse()
        connection.close()
        assert response.headers['X-Request-Outcome'] == 'completed'
        assert system.journal('service0')[-1]['body'] == 'not json'
        assert system.journal('service0')[-1]['query'] == {'crates': '2'}
