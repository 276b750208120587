"""Heads and events of endpoints' responses with odd values."""

from headers import PlatformDialect
from hypothesis import given
from hypothesis import strategies as st
from oddvalues import texts

dialect = PlatformDialect()
NAMES = (
    'Request-Id',
    'Server-Stamp',
    'Not-Executed',
    'Keep-Alive',
    'Connection',
    'Retry-After',
    'Server-Limit',
    'Server-Leaving',
    'Content-Type',
    'Content-Encoding',
)
# What http.client may return as a header's value.
header_texts = st.one_of(
    texts,
    st.text(st.characters(max_codepoint=255), max_size=20),
    st.sampled_from(
        (f'timeout={"9" * 5000}', '9' * 400, '1e400', 'nan', '-1', '1.5')
    ),
)
MAX_QUIET_S = 1e9
MAX_EVENT_NUMBER = 10**18


class TestHead:
    @given(
        st.integers(200, 599),
        st.lists(st.tuples(st.sampled_from(NAMES), header_texts), max_size=4),
    )
    def test_any_values_are_decoded(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        head = dialect.decode_response_head(status, headers)
        assert 0 <= head.idle_s
        assert 0 <= head.quiet_s <= MAX_QUIET_S
        assert head.limit_per_s is None or 0 <= head.limit_per_s < MAX_QUIET_S


class TestEventNumber:
    @given(st.binary(max_size=40))
    def test_bytes(self, event: bytes) -> None:
        assert (dialect.event_number(event) or 0) >= 0

    def test_number_of_thousands_of_digits_is_none(self) -> None:
        event = b'id: %b\ndata: x\n\n' % (b'9' * 5000)
        assert dialect.event_number(event) is None

    @given(st.integers(0, MAX_EVENT_NUMBER - 1))
    def test_number(self, number: int) -> None:
        assert dialect.event_number(b'data: x\nid: %d\n\n' % number) == number
