"""The platform stand-in's versioned objects, without input or output."""

from typing import Any, NamedTuple


class Stored(NamedTuple):
    """One object: the store-wide revision of its last change, and its value."""

    version: int
    value: Any


ABSENT = Stored(0, None)


class ObjectStore:
    """Objects by kind and name, with one store-wide revision."""

    def __init__(self):
        self.revision = 0
        self.kinds = {}
        self.deletions = []

    def read(self, kind, name):
        """Return the object, or `ABSENT`."""
        return self.kinds.get(kind, {}).get(name, ABSENT)

    def write(self, kind, name, value, if_version):
        """Write an object if its version is the expected one.

        Returns
        -------
        bool
            Whether the write took effect.
        """
        if self.read(kind, name).version != if_version:
            return False
        self.revision += 1
        self.kinds.setdefault(kind, {})[name] = Stored(self.revision, value)
        return True

    def delete(self, kind, name, if_version):
        """Delete an object if its version is the expected one; return whether."""
        if self.read(kind, name).version != if_version:
            return False
        self.revision += 1
        del self.kinds[kind][name]
        self.deletions.append((self.revision, kind, name))
        return True

    def items(self, kind, after=0, only_name=None):
        """Return the objects of a kind that changed after a revision, as JSON."""
        items = []
        for name, stored in self.kinds.get(kind, {}).items():
            if stored.version <= after:
                continue
            if only_name is not None and name != only_name:
                continue
            items.append(as_json(kind, name, stored))
        return items

    def deleted_names(self, kind, after, only_name=None):
        """Return the names deleted after a revision that are still absent."""
        names = []
        for revision, deleted_kind, name in self.deletions:
            if revision <= after or deleted_kind != kind or name in names:
                continue
            if only_name is not None and name != only_name:
                continue
            if self.read(kind, name) is ABSENT:
                names.append(name)
        return names

    def count(self):
        """Return the number of objects of all kinds."""
        return sum(len(names) for names in self.kinds.values())


def as_json(kind, name, stored):
    """Return one object in the form of the platform's answers."""
    return {
        "kind": kind,
        "name": name,
        "version": stored.version,
        "value": stored.value,
    }
