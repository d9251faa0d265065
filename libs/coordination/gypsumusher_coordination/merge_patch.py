"""JSON merge patches (RFC 7396) on configuration documents."""

from typing import Any

# A document is five levels deep; the limit keeps a hostile patch from exhausting
# the stack, far above anything that could pass the document's check.
MAX_DEPTH = 32


def merge_patch(document: Any, patch: Any, level: int = 0) -> Any:
    """Return `document` with `patch` applied; neither is changed.

    Parameters
    ----------
    document : object
        Any JSON value.
    patch : object
        JSON value: objects merge key by key, null removes a key, all else replaces.
    level : int
        Depth of this call; callers leave it alone.

    Raises
    ------
    ValueError
        If the patch nests deeper than 32 levels.

    References
    ----------
    RFC 7396, JSON Merge Patch.
    """
    if level > MAX_DEPTH:
        raise ValueError(f"the patch nests deeper than {MAX_DEPTH} levels")
    if not isinstance(patch, dict):
        return patch
    merged = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
            continue
        merged[key] = merge_patch(merged.get(key), value, level + 1)
    return merged
