"""Responses that do not keep to the grammar of HTTP, and odd ones that do."""

import http.client
import io
from collections.abc import Callable, Iterator

import pytest
from gatewaycluster import CallerResponse, GatewayCluster
from hypothesis import given
from hypothesis import strategies as st
from platformendpoint import SERVER_STAMP, ServedRequest
from test_relays import RelayWorld

from trefoilspool.framing.grammar import HeadLines

BODY = b'done'
EVENT = b'ok\n\n'  # as long as the body
LENGTH = 'Content-Length: 4'
CHUNKED = 'Transfer-Encoding: chunked'
OK = 'HTTP/1.1 200 OK'
ODD_STATUS_LINES = (
    'HTTP/1.1 000 Odd',
    'HTTP/1.1 0 Odd',
    'HTTP/1.1 20 OK',
    'HTTP/1.1 099 Odd',
    'HTTP/1.1 0200 OK',
    'HTTP/1.1 00200 OK',
    'HTTP/1.1 2000 OK',
    'HTTP/1.1 +200 OK',
    'HTTP/1.1 -200 OK',
    'HTTP/1.1 2_00 OK',
    'HTTP/1.1 2e2 OK',
    'HTTP/1.1 200.0 OK',
    'HTTP/1.1 two OK',
    'HTTP/1.1 200\0 OK',
    'HTTP/1.1 600 Odd',
    'HTTP/1.1  200 OK',
    'HTTP/1.1\t200 OK',
    'HTTP/1.1 200\tOK',
    'HTTP/1.1 200\x0bOK',
    'HTTP/1.1 200\xa0OK',
    'HTTP/1.1 200\x85OK',
    'HTTP/1.1 200 O\0K',
    'HTTP/1.1 200 O\x1bK',
    'HTTP/1.1 200 O\x7fK',
    'HTTP/1.1 200 O\rK',
    'HTTP/1.1 200 OK\r',
    ' HTTP/1.1 200 OK',
    '\x0bHTTP/1.1 200 OK',
    'HTTP/1.1x 200 OK',
    'HTTP/1. 200 OK',
    'HTTP/1.x 200 OK',
    'HTTP/1.11 200 OK',
    'HTTP/01.1 200 OK',
    'HTTP/0.9 200 OK',
    'HTTP/2 200 OK',
    'HTTP/2.0 200 OK',
    'http/1.1 200 OK',
    'HTTP/ 1.1 200 OK',
    'ICY 200 OK',
    '200 OK',
    '',
)
PLAIN_STATUS_LINES = (
    'HTTP/1.1 200 OK',
    'HTTP/1.1 200 ',
    'HTTP/1.1 200',
    'HTTP/1.0 200 OK',
    'HTTP/1.9 200 OK',
    'HTTP/1.1 200 Tr\xe8s bien, merci\t!',
    'HTTP/1.1 200  spaced',
)
ODD_LINES = (
    'X Y: a',
    'X : a',
    'X\t: a',
    ': a',
    'X\0: a',
    'X\x01Y: a',
    'X\x0bY: a',
    'X\x1f: a',
    'X\x7f: a',
    'X\xa0: a',
    'X\xe9: a',
    'X\x85Y: a',
    'X(Y): a',
    'X"Y": a',
    'X/Y: a',
    'X@Y: a',
    'From : a',
    'From x: a',
    'From a@b Mon Dec  7 00:00:00 2026',
    '>From x: a',
    'X',
    'HTTP/1.1 200 OK',
    '\rX: a',
    'X\rY: a',
    'X: a\rY: b',
    'X: a\r',
    'X: a\0b',
    'X: a\x0bb',
    'X: a\x0cb',
    'X: a\x7fb',
    'X: a\r Content-Length: 2',
    'X: a\rContent-Length: 2',
)
ODD_CHUNKS = {
    'bytes in place of the end': b'4\r\ndoneXX0\r\n\r\n',
    'no end': b'4\r\ndone0\r\n\r\n',
    'line feed as the end': b'4\r\ndone\n0\r\n\r\n',
    'more than its size': b'3\r\ndone\r\n0\r\n\r\n',
    'less than its size': b'5\r\ndone\r\n0\r\n\r\n',
    'line feed after the size': b'4\ndone\r\n0\r\n\r\n',
    'carriage return after the size': b'4\r\r\ndone\r\n0\r\n\r\n',
    'prefix of the size': b'0x4\r\ndone\r\n0\r\n\r\n',
    'sign of the size': b'+4\r\ndone\r\n0\r\n\r\n',
    'blank before the size': b' 4\r\ndone\r\n0\r\n\r\n',
    'no size': b'\r\ndone\r\n0\r\n\r\n',
    'text after the size': b'4 x\r\ndone\r\n0\r\n\r\n',
    'control byte in an extension': b'4;a=\0\r\ndone\r\n0\r\n\r\n',
    'extension without a name': b'4;=a\r\ndone\r\n0\r\n\r\n',
    'quote that is not closed': b'4;a="b\r\ndone\r\n0\r\n\r\n',
    'bytes after the last chunk': b'4\r\ndone\r\n0\r\nodd\r\n\r\n',
    'name of a trailer': b'4\r\ndone\r\n0\r\nX Y: a\r\n\r\n',
    'control byte in a trailer': b'4\r\ndone\r\n0\r\nX: \0\r\n\r\n',
    'control bytes after the last chunk': b'4\r\ndone\r\n0\r\n\0\1',
    'response after the last chunk': (
        b'4\r\ndone\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n'
    ),
    'no last chunk': b'4\r\ndone\r\n',
    'cut after a chunk': b'4\r\ndone',
}
PLAIN_CHUNKS = {
    'one': b'4\r\ndone\r\n0\r\n\r\n',
    'two': b'1\r\nd\r\n3\r\none\r\n0\r\n\r\n',
    'zeros': b'0004\r\ndone\r\n000\r\n\r\n',
    'blanks after the size': b'4  \r\ndone\r\n0\r\n\r\n',
    'extensions': b'4;a;b=c ; d = "e\x5c"; f"\r\ndone\r\n0;z\r\n\r\n',
    'trailers': b'4\r\ndone\r\n0\r\nX: a\r\nY:\r\n\r\n',
    'folded trailer': b'4\r\ndone\r\n0\r\nX: a\r\n b\r\n\r\n',
}
PATHS = ('/look/1', '/book/1')


@pytest.fixture(scope='module')
def cluster() -> Iterator[GatewayCluster]:
    made = GatewayCluster()
    made.add_endpoint()
    made.wait_for_endpoints(made.add_host(), 1)
    yield made
    made.close()


def ask_text(
    cluster: GatewayCluster, path: str, text: str, body: bytes
) -> CallerResponse:
    """Return what a caller gets if the endpoint sends a head and a body.

    The head names the places of the id and the stamp.
    """

    def behave(served: ServedRequest) -> None:
        own = f'Request-Id: {served.request.request_id}'
        stamp = f'Server-Stamp: {SERVER_STAMP}'
        sent = text.format(own=own, stamp=stamp).encode('latin-1')
        served.sock.sendall(sent + body)
        served.close()

    cluster.endpoints[0].behaviour = behave
    return cluster.call(cluster.hosts[0], path)


def ask(
    cluster: GatewayCluster, path: str, lines: list[str], body: bytes
) -> CallerResponse:
    """Return what a caller gets if the endpoint sends lines and a body."""
    return ask_text(cluster, path, '\r\n'.join((*lines, '', '')), body)


def head(first: str, *lines: str) -> list[str]:
    return [first, '{own}', '{stamp}', *lines]


@pytest.mark.parametrize('path', PATHS)
class TestStatusLine:
    # MIXED: numbers that are no status, and texts that are no status line.
    @pytest.mark.parametrize('line', ODD_STATUS_LINES)
    @pytest.mark.parametrize('framing', [(), (LENGTH,)])
    def test_odd(
        self,
        cluster: GatewayCluster,
        path: str,
        framing: tuple[str, ...],
        line: str,
    ) -> None:
        seen = ask(cluster, path, head(line, *framing), BODY)
        assert seen.status == 502

    @pytest.mark.parametrize('line', PLAIN_STATUS_LINES)
    def test_plain(self, cluster: GatewayCluster, path: str, line: str) -> None:
        seen = ask(cluster, path, head(line, LENGTH), BODY)
        assert (seen.status, seen.body) == (200, BODY)

    @pytest.mark.parametrize('line', ['HTTP/1.1  100 Odd', 'HTTP/1.1 1_03 X'])
    def test_interim(
        self, cluster: GatewayCluster, path: str, line: str
    ) -> None:
        lines = [line, '', *head(OK, LENGTH)]
        assert ask(cluster, path, lines, BODY).status == 502


def placed(place: str, line: str, framing: tuple[str, ...]) -> list[str]:
    """Return a head with a line at a place."""
    places: dict[str, Callable[[], list[str]]] = {
        'first': lambda: [OK, line, '{own}', '{stamp}', *framing],
        'middle': lambda: [OK, '{own}', line, '{stamp}', *framing],
        'last': lambda: [OK, '{own}', '{stamp}', *framing, line],
        'interim': lambda: [
            'HTTP/1.1 103 Early Hints',
            line,
            '',
            *head(OK, *framing),
        ],
        'continue': lambda: [
            'HTTP/1.1 100 Continue',
            line,
            '',
            *head(OK, *framing),
        ],
    }
    return places[place]()


class TestFieldLines:
    # MIXED: lines that were left out, or that ended the head before its end.
    @pytest.mark.parametrize('line', ODD_LINES)
    @pytest.mark.parametrize('framing', [(), (LENGTH,)])
    @pytest.mark.parametrize(
        'place', ['first', 'middle', 'last', 'interim', 'continue']
    )
    def test_odd(
        self,
        cluster: GatewayCluster,
        place: str,
        framing: tuple[str, ...],
        line: str,
    ) -> None:
        seen = ask(cluster, '/book/1', placed(place, line, framing), BODY)
        assert seen.status == 502

    @pytest.mark.parametrize('line', [' X: a', ' : a', '\tb', '  '])
    def test_fold_of_no_line(self, cluster: GatewayCluster, line: str) -> None:
        seen = ask(cluster, '/book/1', placed('first', line, (LENGTH,)), BODY)
        assert seen.status == 502

    @pytest.mark.parametrize(
        ('line', 'text'),
        [
            ('X-Note: a', 'a'),
            ('X-Note:a', 'a'),
            ('X-Note:', ''),
            ('X-Note:  a\tb ', 'a\tb'),
            ('X-Note: a\r\n  b', 'a b'),
            ('X-Note: From x', 'From x'),
            ("!#$%&'*+-.^_`|~09aZ: a", None),
        ],
    )
    @pytest.mark.parametrize('place', ['first', 'middle', 'last'])
    def test_plain(
        self, cluster: GatewayCluster, place: str, line: str, text: str | None
    ) -> None:
        lines = placed(place, line, (LENGTH,))
        seen = ask(cluster, '/book/1', lines, BODY)
        assert (seen.status, seen.body) == (200, BODY)
        if text is not None:
            assert seen.headers['x-note'].strip() == text

    def test_line_feeds(self, cluster: GatewayCluster) -> None:
        text = '\n'.join((*head(OK, LENGTH), '', ''))
        seen = ask_text(cluster, '/book/1', text, BODY)
        assert (seen.status, seen.body) == (200, BODY)


names = st.one_of(
    st.sampled_from(('From', 'from', 'HTTP', 'Content-Length', 'X')),
    st.from_regex(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,9}", fullmatch=True),
)
texts = st.from_regex(r'[\t\x20-\x7e\x80-\xff]{0,12}', fullmatch=True)


BROKEN = {
    'status line': (head('HTTP/1.1 2_00 OK', LENGTH), BODY),
    'first line': (placed('first', 'From x: a', (LENGTH,)), BODY),
    'last line': (placed('last', 'X: a\rY: b', ()), BODY),
    'end of a chunk': (head(OK, CHUNKED), b'4\r\ndoneXX0\r\n\r\n'),
}


@pytest.fixture(scope='module')
def relayed() -> Iterator[GatewayCluster]:
    made = RelayWorld()
    made.start()
    yield made
    made.close()


@pytest.mark.parametrize('kind', BROKEN)
class TestWays:
    """All answers of endpoints are read in one place."""

    def test_relayed(self, relayed: GatewayCluster, kind: str) -> None:
        lines, body = BROKEN[kind]
        assert ask(relayed, '/book/1', lines, body).status == 502

    def test_after_a_stray_answer(
        self, cluster: GatewayCluster, kind: str
    ) -> None:
        lines, body = BROKEN[kind]
        stray = [OK, 'Request-Id: other', 'Content-Length: 0', '']
        assert ask(cluster, '/book/1', stray + lines, body).status == 502

    def test_before_the_body_is_read(
        self, cluster: GatewayCluster, kind: str
    ) -> None:
        lines, body = BROKEN[kind]
        endpoint = cluster.endpoints[0]
        endpoint.responds_before_body = True
        try:
            assert ask(cluster, '/book/1', lines, body).status == 502
        finally:
            endpoint.responds_before_body = False


class TestStrayAnswer:
    def test_without_a_length_nothing_follows_it(
        self, cluster: GatewayCluster
    ) -> None:
        lines = [OK, 'Request-Id: other', '', *head(OK, LENGTH)]
        assert ask(cluster, '/book/1', lines, BODY).status == 502


class TestParser:
    """The library makes of well-formed lines what they say."""

    @given(st.lists(st.tuples(names, texts), max_size=6))
    def test_fields(self, fields: list[tuple[str, str]]) -> None:
        sent = ''.join(f'{name}:{text}\r\n' for name, text in fields)
        lines = HeadLines(
            io.BufferedReader(
                io.BytesIO(f'{OK}\r\n{sent}\r\n'.encode('latin-1'))
            )
        )
        lines.readline(99)
        seen = http.client.parse_headers(lines)
        assert [(name, text.strip(' \t')) for name, text in seen.items()] == [
            (name, text.strip(' \t')) for name, text in fields
        ]
        assert not seen.defects


class TestChunks:
    # MIXED: the bytes at the end of a chunk, and of the last one, were skipped.
    @pytest.mark.parametrize('path', ['/look/1', '/book/1', '/talk/1'])
    @pytest.mark.parametrize('kind', ODD_CHUNKS)
    def test_odd(self, cluster: GatewayCluster, path: str, kind: str) -> None:
        body = ODD_CHUNKS[kind].replace(b'done', EVENT)
        seen = ask(cluster, path, head(OK, CHUNKED), body)
        assert not (seen.status == 200 and seen.complete)

    @pytest.mark.parametrize('kind', PLAIN_CHUNKS)
    def test_plain(self, cluster: GatewayCluster, kind: str) -> None:
        seen = ask(cluster, '/book/1', head(OK, CHUNKED), PLAIN_CHUNKS[kind])
        assert (seen.status, seen.body) == (200, BODY)

    def test_chunks_of_old_version(self, cluster: GatewayCluster) -> None:
        lines = head('HTTP/1.0 200 OK', CHUNKED)
        assert ask(cluster, '/book/1', lines, PLAIN_CHUNKS['one']).status == 502
