"""Decoding of JSON pages of which some parts can't be decoded.

The decoder of the standard library fails as a whole at nesting beyond the interpreter's
stack, and at integers of more than some thousand digits. A page of objects of many
writers has to lose no more than the value in question.
"""

import json
import re

__all__ = ["decode_tolerantly"]

_WHITESPACE = re.compile(r"[ \t\n\r]*")
_STRING = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
_STRING_OR_BRACKETS = re.compile(rf"{_STRING.pattern}|[\[{{]+|[\]}}]+", re.DOTALL)
_SCALAR = re.compile(r"[^\s,\[\]{}:\"]+")
_CLOSING = {"[": "]", "{": "}"}
_DECODER = json.JSONDecoder()


def decode_tolerantly(text, levels):
    """Decode JSON; what can't be decoded becomes None below a number of levels.

    Parameters
    ----------
    text : str
        The JSON text.
    levels : int
        Levels of lists and tables whose items are decoded one by one if they can't be
        decoded together. An item of the last of them is decoded whole or not at all.

    Returns
    -------
    object
        The decoded value.

    Raises
    ------
    ValueError
        When the text isn't JSON at these levels.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        # Whichever part it is, the rest is decoded below.
        value, end = _decode(text, _skip_whitespace(text, 0), levels)
    if _skip_whitespace(text, end) != len(text):
        raise ValueError(f"more than one value, the second at {end}")
    return value


def _decode(text, start, levels):
    """Return the value that starts at a position, and where it ends."""
    try:
        return _DECODER.raw_decode(text, start)
    except (ValueError, RecursionError):
        if not levels or text[start : start + 1] not in _CLOSING:
            return None, _find_end(text, start)
    return _decode_items(text, start, levels)


def _decode_items(text, start, levels):
    """Return the list or table that starts at a position, and where it ends."""
    is_table = text[start] == "{"
    closing = _CLOSING[text[start]]
    items = {} if is_table else []
    position = _skip_whitespace(text, start + 1)
    if text[position : position + 1] == closing:
        return items, position + 1
    while True:
        if is_table:
            name, position = _decode_name(text, position)
            items[name], position = _decode(text, position, levels - 1)
        else:
            item, position = _decode(text, position, levels - 1)
            items.append(item)
        position = _skip_whitespace(text, position)
        separator = text[position : position + 1]
        if separator == closing:
            return items, position + 1
        if separator != ",":
            raise ValueError(f"expected ',' or '{closing}' at {position}")
        position = _skip_whitespace(text, position + 1)


def _decode_name(text, position):
    """Return a name in a table, and the position of its value."""
    name = _STRING.match(text, position)
    if name is None:
        raise ValueError(f"expected a name at {position}")
    position = _skip_whitespace(text, name.end())
    if text[position : position + 1] != ":":
        raise ValueError(f"expected ':' at {position}")
    return json.loads(name.group()), _skip_whitespace(text, position + 1)


def _find_end(text, start):
    """Return where the value ends that starts at a position; it isn't decoded."""
    if text[start : start + 1] not in _CLOSING:
        scalar = _STRING.match(text, start) or _SCALAR.match(text, start)
        if scalar is None:
            raise ValueError(f"expected a value at {start}")
        return scalar.end()
    depth = 0
    for token in _STRING_OR_BRACKETS.finditer(text, start):
        first, count = text[token.start()], token.end() - token.start()
        if first == '"':
            continue
        if first in _CLOSING:
            depth += count
            continue
        if count >= depth:
            return token.start() + depth
        depth -= count
    raise ValueError(f"no end of the value at {start}")


def _skip_whitespace(text, position):
    return _WHITESPACE.match(text, position).end()
