"""Versioned objects of the platform stand-in, in memory; does no I/O."""

from typing import Any, NamedTuple


class StoredObject(NamedTuple):
    """One object: the store's revision at its last change, and its value."""

    version: int
    value: Any


ABSENT = StoredObject(0, None)


class VersionedObjects:
    """Objects by kind and name, with one revision counter for all of them.

    Each write and each deletion increments the revision. A change names the version
    that it expects, and has no effect if the object has another one; version 0 stands
    for an absent object.
    """

    def __init__(self):
        self.revision = 0
        self.objects_by_kind = {}
        self.deletions = []

    def read(self, kind, name):
        """Return the object, or `ABSENT` if it does not exist."""
        return self.objects_by_kind.get(kind, {}).get(name, ABSENT)

    def write(self, kind, name, value, if_version):
        """Write an object if its version equals `if_version`.

        Returns
        -------
        bool
            Whether the write took effect.
        """
        if self.read(kind, name).version != if_version:
            return False
        self.revision += 1
        self.objects_by_kind.setdefault(kind, {})[name] = StoredObject(
            self.revision, value
        )
        return True

    def delete(self, kind, name, if_version):
        """Delete an object if its version equals `if_version`.

        Returns
        -------
        bool
            Whether the deletion took effect.
        """
        if self.read(kind, name).version != if_version:
            return False
        self.revision += 1
        del self.objects_by_kind[kind][name]
        self.deletions.append((self.revision, kind, name))
        return True

    def changed_items(self, kind, after=0, name_filter=None):
        """Return the objects of a kind that changed after a revision.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        after : int, optional
            Revision; 0, the default, returns all objects of the kind.
        name_filter : str, optional
            Name to which the result is restricted.

        Returns
        -------
        list of dict
            The objects in the form of `as_json`.
        """
        items = []
        for name, stored in self.objects_by_kind.get(kind, {}).items():
            if stored.version <= after:
                continue
            if name_filter is not None and name != name_filter:
                continue
            items.append(as_json(kind, name, stored))
        return items

    def deleted_names(self, kind, after, name_filter=None):
        """Return the names that were deleted after a revision and not written again."""
        names = []
        for revision, deleted_kind, name in self.deletions:
            if revision <= after or deleted_kind != kind or name in names:
                continue
            if name_filter is not None and name != name_filter:
                continue
            if self.read(kind, name) is ABSENT:
                names.append(name)
        return names

    def count(self):
        """Return the number of objects of all kinds."""
        return sum(len(names) for names in self.objects_by_kind.values())


def as_json(kind, name, stored):
    """Return one object as the platform's responses show it."""
    return {
        "kind": kind,
        "name": name,
        "version": stored.version,
        "value": stored.value,
    }
