"""Data types that the platform's object API returns."""

from typing import Any, NamedTuple


class VersionedValue(NamedTuple):
    """Value of one object with its version (the store's revision, > 0)."""

    version: int
    value: Any


class PlatformObject(NamedTuple):
    """One object in the result of a list or watch call."""

    kind: str
    name: str
    version: int
    value: Any


class Listing(NamedTuple):
    """All objects of a kind, and the revision from which to watch for changes."""

    revision: int
    items: list[PlatformObject]


class WatchResult(NamedTuple):
    """Changes of a kind after a revision; no changes if the watch timed out."""

    revision: int
    items: list[PlatformObject]
    deleted: list[str]


class ListedHost(NamedTuple):
    """One endpoint in the platform's list of hosts, which may be out of date."""

    name: str
    kind: str
    group: str
    address: str
    zone: str
    region: str
    state: str
