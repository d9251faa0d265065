"""JSON merge patches (RFC 7396) on configuration documents."""

from typing import Any

# Keeps a malicious patch from exhausting the stack. Valid documents are five levels
# deep.
MAX_DEPTH = 32


def merge_patch(document: Any, patch: Any, depth: int = 0) -> Any:
    """Return a copy of `document` with the merge patch applied.

    Neither argument is changed.

    Parameters
    ----------
    document : object
        Any JSON value.
    patch : object
        JSON value: objects are merged key by key, null removes a key, and any other
        value replaces the old one.
    depth : int
        Recursion depth; callers use the default.

    Raises
    ------
    ValueError
        If the patch nests deeper than 32 levels.

    References
    ----------
    RFC 7396, JSON Merge Patch.
    """
    if depth > MAX_DEPTH:
        raise ValueError(f"the patch nests deeper than {MAX_DEPTH} levels")
    if not isinstance(patch, dict):
        return patch
    merged = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
            continue
        merged[key] = merge_patch(merged.get(key), value, depth + 1)
    return merged
