"""Steps and memory of decoders of outside input grow no faster than the input."""

import importlib
import inspect
import io
import pkgutil
import re
import sys
import tracemalloc
from collections.abc import Callable, Iterator
from re import _parser as expressions  # type: ignore[attr-defined]
from types import FrameType, ModuleType

import pytest
from headers import PlatformDialect
from hypothesis import given, settings
from hypothesis import strategies as st
from oddvalues import texts
from waitress.adjustments import Adjustments

import trefoilspool
from trefoilspool.eventstream import split_events
from trefoilspool.framing.strictresponse import StrictResponse
from trefoilspool.gatewayapp import sendable_headers
from trefoilspool.readpace import SMALL_BYTES, PieceBudget, ReadPace
from trefoilspool.requestparser import StrictParser
from trefoilspool.responsebounds import ByteBudget, ReceiveLimits

BASE = 500  # repeats of a unit in the shortest of three inputs
# Steps and bytes that do not depend on the input.
FREE_STEPS = 500
FREE_BYTES = 65_536
SEARCHES = ('search', 'sub', 'split', 'findall', 'finditer')
NAMES = (
    'Authorization',
    'Connection',
    'Deadline-Ms',
    'Host',
    'Keep-Alive',
    'Last-Event-Id',
    'Length-Hint',
    'Prefix-Hash',
    'Request-Id',
    'Resumes',
    'Retry-After',
    'Server-Limit',
    'Token-Counts',
)
# Runs, repeats, separators, digits, folds, and what comes of them in turn.
units = st.one_of(
    st.sampled_from(
        (
            ' ',
            '\t',
            ',',
            ':',
            ';',
            '/',
            '1',
            '9',
            'a',
            '\r\n ',
            'a,',
            '1:1,',
            '%',
        )
    ),
    texts.filter(bool).map(lambda text: text[:4]),
).filter(lambda text: all(ord(character) < 256 for character in text))
dialect = PlatformDialect()


def product_modules() -> Iterator[ModuleType]:
    """Yield the modules of the product and of the platform's adapter."""
    for adapter in ('headers', 'records', 'rolloutrecords', 'storecalls'):
        yield importlib.import_module(adapter)
    for found in pkgutil.walk_packages(trefoilspool.__path__, 'trefoilspool.'):
        if not found.name.endswith('__main__') and '.gen' not in found.name:
            yield importlib.import_module(found.name)


def searched_expressions() -> Iterator[tuple[str, re.Pattern[str]]]:
    """Yield the expressions that are tried at each place of a text."""
    for module in product_modules():
        source = inspect.getsource(module)
        for name, member in inspect.getmembers(module):
            calls = (f'{name}.{search}(' for search in SEARCHES)
            if isinstance(member, re.Pattern) and any(
                call in source for call in calls
            ):
                yield f'{module.__name__}.{name}', member


def begins_with_a_run(pattern: str, flags: int) -> bool:
    """Return whether an expression begins with a repeat without a bound."""
    first, detail = expressions.parse(pattern, flags)[0]
    if 'REPEAT' not in str(first):
        return False
    return detail[1] == expressions.MAXREPEAT


class TestExpressions:
    # CONFIG: an expression that can begin at each blank of a run is quadratic.
    @pytest.mark.parametrize(
        ('name', 'expression'), list(searched_expressions())
    )
    def test_it_does_not_begin_with_a_run(
        self, name: str, expression: re.Pattern[str]
    ) -> None:
        assert not begins_with_a_run(expression.pattern, expression.flags), name

    def test_the_one_that_stopped_a_host_is_found(self) -> None:
        assert begins_with_a_run(r'\s*[\r\n]+\s*', 0)
        assert len(list(searched_expressions())) >= 4


def steps(work: Callable[[], object]) -> int:
    """Return the number of lines of Python that a function runs."""
    count = 0

    def trace(frame: FrameType, event: str, argument: object) -> object:
        nonlocal count
        count += event == 'line'
        return trace

    outer = sys.gettrace()
    sys.settrace(trace)  # type: ignore[arg-type]
    try:
        work()
    except Exception:
        # A refusal has its price as well.
        count += 1
    finally:
        sys.settrace(outer)
    return count


def peak_bytes(work: Callable[[], object]) -> int:
    """Return the most memory that a function holds."""
    tracemalloc.start()
    try:
        work()
    except Exception:
        return tracemalloc.get_traced_memory()[1]
    else:
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def check_growth(work: Callable[[int], Callable[[], object]]) -> None:
    """Check that work on inputs of 1, 2 and 4 times a length is linear.

    Parameters
    ----------
    work : callable
        Returns the work on an input of a number of units.
    """
    work(BASE)()
    for measure, free in ((steps, FREE_STEPS), (peak_bytes, FREE_BYTES)):
        one, two, four = (measure(work(BASE * factor)) for factor in (1, 2, 4))
        assert two <= 2 * one + free
        assert four <= 4 * one + free


def tolerant(work: Callable[[], object]) -> Callable[[], object]:
    """Return work that may end by an error."""

    def run() -> object:
        try:
            return work()
        except Exception as error:
            return error

    return run


def decoded_request(header: str, text: str) -> object:
    environ = {
        'REQUEST_METHOD': 'POST',
        'REQUEST_URI': '/look/1',
        f'HTTP_{header.upper().replace("-", "_")}': text,
        'wsgi.input': io.BytesIO(),
    }
    return dialect.decode_request(environ)


def parsed_request(pieces: Iterator[bytes]) -> StrictParser:
    parser = StrictParser(
        Adjustments(
            max_request_header_size=1 << 20, max_request_body_size=1 << 20
        )
    )
    for piece in pieces:
        parser.received(piece)
    return parser


class SentBytes:
    """What ``http.client`` needs of a socket on which bytes have arrived."""

    def __init__(self, sent: bytes) -> None:
        self.sent = sent

    def makefile(self, mode: str) -> io.BufferedReader:
        return io.BufferedReader(io.BytesIO(self.sent))  # type: ignore[arg-type]


def read_response(sent: bytes) -> bytes:
    response = StrictResponse(SentBytes(sent))  # type: ignore[arg-type]
    response.begin()
    return response.read()


class TestGrowth:
    # LOST: the ids of a prompt's parts grew with the square of their number.
    @pytest.mark.parametrize('header', NAMES)
    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(units)
    def test_header_of_a_caller(self, header: str, unit: str) -> None:
        check_growth(
            lambda count: tolerant(
                lambda: decoded_request(header, unit * count)
            )
        )

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.sampled_from(NAMES), units)
    def test_header_of_an_endpoint(self, header: str, unit: str) -> None:
        def work(count: int) -> Callable[[], object]:
            pairs = [(header, unit * count)]
            return tolerant(
                lambda: sendable_headers(
                    list(dialect.decode_response_head(503, pairs).headers)
                )
            )

        check_growth(work)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.sampled_from(
            (
                'GET /{} HTTP/1.1\r\nHost: a\r\n\r\n',
                'GET http://{} HTTP/9x\r\nHost: a\r\n\r\n',
                'GET / HTTP/1.1\r\nX:{}x\r\n\r\n',
                'GET / HTTP/1.1\r\nX: x{}\r\n\r\n',
                'GET / HTTP/1.1\r\n{}:x\r\n\r\n',
                'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{}',
                'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n{}',
            )
        ),
        units,
        st.integers(50, 8192),
    )
    def test_request(self, form: str, unit: str, size: int) -> None:
        def work(count: int) -> Callable[[], object]:
            sent = form.format(unit * count).encode('latin-1')
            pieces = [sent[at : at + size] for at in range(0, len(sent), size)]
            return tolerant(lambda: parsed_request(iter(pieces)))

        check_growth(work)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.sampled_from(
            (
                'HTTP/1.1 200 {}\r\n\r\n',
                'HTTP/1.1 200 OK\r\n{}: x\r\n\r\n',
                'HTTP/1.1 200 OK\r\nX: {}\r\n\r\n',
                'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a{}',
                'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n{}',
            )
        ),
        units,
    )
    def test_response(self, form: str, unit: str) -> None:
        def work(count: int) -> Callable[[], object]:
            sent = form.format(unit * count).encode('latin-1')
            return tolerant(lambda: read_response(sent))

        check_growth(work)

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.binary(min_size=1, max_size=6), st.integers(1, 99))
    def test_events(self, unit: bytes, size: int) -> None:
        def work(count: int) -> Callable[[], object]:
            pieces = [unit * size] * (count // 10)
            shared = PieceBudget(1, count * SMALL_BYTES * SMALL_BYTES)
            pace = ReadPace(ReceiveLimits(), shared)
            events = split_events(iter(pieces), ByteBudget(1 << 30), pace)
            return tolerant(
                lambda: [dialect.event_number(event) for event in events]
            )

        check_growth(work)
