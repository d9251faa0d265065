"""Objects of the platform's store and how they change."""

from typing import Any, NamedTuple

__all__ = ["Change", "Changes", "Listing", "StoredObject"]


class StoredObject(NamedTuple):
    """One object.

    Attributes
    ----------
    name : str
        Its name, unique within its kind.
    revision : int
        Revision of the store at its last change.
    content : object
        What its writer put in, decoded from the wire.
    started_ms : int or None
        Unix time of its writer's start, when it says so.
    """

    name: str
    revision: int
    content: Any
    started_ms: int | None


class Listing(NamedTuple):
    """All objects of one kind at one revision.

    Attributes
    ----------
    objects : tuple of StoredObject
        The objects.
    revision : int
        Revision of the store at which they were read.
    """

    objects: tuple[StoredObject, ...]
    revision: int


class Change(NamedTuple):
    """One change of an object.

    Attributes
    ----------
    object : StoredObject
        The object after the change, or as it was last.
    is_deleted : bool
        Whether it is gone.
    """

    object: StoredObject
    is_deleted: bool


class Changes(NamedTuple):
    """Changes of one kind since a revision.

    Attributes
    ----------
    changes : tuple of Change
        In order; empty when nothing happened.
    revision : int
        From where to go on.
    """

    changes: tuple[Change, ...]
    revision: int
