"""Splits the configuration document into sections that are stored by content hash."""

import hashlib
import json
from typing import Any

HOSTS_SECTION = "hosts"
GROUPS = ("deployments", "services")
HASH_HEX_DIGITS = 64


def canonical_json(value: Any) -> bytes:
    """Return the canonical JSON encoding: sorted keys, no spaces, UTF-8."""
    text = json.dumps(
        value,
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
        allow_nan=False,
    )
    return text.encode()


def content_hash(value: Any) -> str:
    """Return the hexadecimal SHA-256 of a value's canonical JSON encoding."""
    return hashlib.sha256(canonical_json(value)).hexdigest()


def matches_hash(value: Any, expected_hash: str) -> bool:
    """Return whether a value that another host sent has the expected hash."""
    try:
        return content_hash(value) == expected_hash
    except (TypeError, ValueError, RecursionError):
        return False


def split_document(document: dict) -> dict[str, Any]:
    """Return a document's sections by name, such as ``deployments/NAME``."""
    sections = {}
    for group in GROUPS:
        for name, value in document.get(group, {}).items():
            sections[f"{group}/{name}"] = value
    if HOSTS_SECTION in document:
        sections[HOSTS_SECTION] = document[HOSTS_SECTION]
    return sections


def join_sections(sections: dict[str, Any]) -> dict[str, Any]:
    """Return the document that consists of these sections."""
    document: dict[str, Any] = {"deployments": {}, "services": {}}
    for section in sorted(sections):
        group, _, name = section.partition("/")
        if name:
            document[group][name] = sections[section]
            continue
        document[section] = sections[section]
    return document


def is_valid_head(head: Any) -> bool:
    """Return whether a value that another host sent is a well-formed head."""
    if not isinstance(head, dict):
        return False
    number = head.get("number")
    if type(number) is not int or number < 1:
        return False
    sections = head.get("sections")
    if not isinstance(sections, dict) or not isinstance(head.get("patches"), list):
        return False
    return all(
        _is_section_name(section) and _is_hash(section_hash)
        for section, section_hash in sections.items()
    )


def _is_section_name(section: Any) -> bool:
    if section == HOSTS_SECTION:
        return True
    if not isinstance(section, str):
        return False
    group, _, name = section.partition("/")
    return group in GROUPS and bool(name)


def _is_hash(text: Any) -> bool:
    return isinstance(text, str) and len(text) == HASH_HEX_DIGITS
