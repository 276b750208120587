"""Hypothesis strategies for what may come from outside."""

import math

from hypothesis import strategies as st

I64 = 2**63
I32 = 2**31
EDGE_INTEGERS = (0, -1, 70_000, I32, I32 - 1, I64 - 1, -I64)
ODD_TEXTS = (
    '',
    ' ',
    '\r\n',
    '\x00',
    'é',
    '\u0660',
    '\u2028',
    '9' * 5000,
    'x' * 70_000,
    '127.0.0.1',
)

texts = st.one_of(
    st.sampled_from(ODD_TEXTS), st.text(st.characters(), max_size=20)
)
json_scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from(EDGE_INTEGERS),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from((1e308, 0.5, 10**400)),
    texts,
    st.just('\ud800'),
)
json_values = st.recursive(
    json_scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(texts, inner, max_size=3),
    ),
    max_leaves=6,
)
floats = st.sampled_from((0.0, -1.0, math.nan, math.inf, -math.inf, 1e308))
