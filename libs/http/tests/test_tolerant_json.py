"""JSON of which some values can't be decoded."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumusher_http import decode_tolerantly

DEEP = "[" * 100_000 + "]" * 100_000
LONG = "7" * 5000
ODD = [
    DEEP,
    LONG,
    '{"a":' * 5000 + "{}" + "}" * 5000,
    f'{{"a": "]\\"}}", "b": {DEEP}}}',
]
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


# Guards against a page that is lost as a whole for one odd value in it.
@given(st.lists(VALUES), st.lists(VALUES), st.sampled_from(ODD), st.booleans())
def test_only_the_odd_value_is_lost(before, after, odd, has_indent):
    items = [{"spec": value, "name": "]}"} for value in before]
    items += [{"name": "odd", "spec": "ODD"}]
    items += [{"spec": value} for value in after]
    indent = 1 if has_indent else None
    text = json.dumps({"items": items, "as_of": 9}, indent=indent)
    items[len(before)]["spec"] = None
    expected = {"items": items, "as_of": 9}
    assert decode_tolerantly(text.replace('"ODD"', odd, 1), 3) == expected


# Guards against text that isn't JSON and counts as a page without values.
@pytest.mark.parametrize(
    "text",
    [
        "",
        "[",
        "{",
        "[1",
        "[1 2]",
        '{"a" 1}',
        "{1: 2}",
        '{"a": 1',
        "[1] 2",
        "[,]",
        "[1,",
    ],
)
def test_broken_text_raises_value_error(text):
    with pytest.raises(ValueError):
        decode_tolerantly(text, 3)


@given(st.text(alphabet='[]{}",:1 a'), st.integers(0, 4))
def test_any_text_is_decoded_or_raises_value_error(text, levels):
    try:
        decode_tolerantly(text, levels)
    except ValueError:
        return
