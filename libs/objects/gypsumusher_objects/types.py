"""Data that the platform's object API holds and answers."""

from typing import Any, NamedTuple


class VersionedValue(NamedTuple):
    """State of one object: its version (the store's revision, > 0) and value."""

    version: int
    value: Any


class PlatformObject(NamedTuple):
    """One object of a listing or a watch."""

    kind: str
    name: str
    version: int
    value: Any


class Listing(NamedTuple):
    """All objects of a kind, and the revision to watch them from."""

    revision: int
    items: list[PlatformObject]


class WatchResult(NamedTuple):
    """What changed in a kind since a revision; empty when a watch timed out."""

    revision: int
    items: list[PlatformObject]
    deleted: list[str]


class ListedHost(NamedTuple):
    """One endpoint of the platform's list of hosts, which lags behind reality."""

    name: str
    kind: str
    group: str
    address: str
    zone: str
    region: str
    state: str
