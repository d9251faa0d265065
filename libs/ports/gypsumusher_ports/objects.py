"""Objects of the platform's store, and changes of them."""

from typing import Any, NamedTuple

__all__ = ["Change", "Changes", "Listing", "StoredObject"]


class StoredObject(NamedTuple):
    """One object of the store.

    Attributes
    ----------
    name : str
        Name of the object, unique within its kind.
    revision : int
        Revision of the store at the object's last change.
    content : object
        The value that its writer stored, decoded from JSON but not validated.
    started_ms : int or None
        Start time of the process that wrote the object, in Unix milliseconds; None when
        the object doesn't state it.
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
        Revision of the store at which they were read; a watch continues from it.
    """

    objects: tuple[StoredObject, ...]
    revision: int


class Change(NamedTuple):
    """One change of an object.

    Attributes
    ----------
    object : StoredObject
        The object after the change; of a deleted object, its last state.
    is_deleted : bool
        Whether the object was deleted.
    """

    object: StoredObject
    is_deleted: bool


class Changes(NamedTuple):
    """Changes to the objects of one kind since a revision.

    Attributes
    ----------
    changes : tuple of Change
        Changes in the order of the store; empty when there were none.
    revision : int
        Revision from which the next watch continues.
    """

    changes: tuple[Change, ...]
    revision: int
