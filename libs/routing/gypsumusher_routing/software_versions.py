"""Software versions of a service's endpoints that may have begun streams.

What two versions write doesn't fit together, so a stream goes on only at the version
that began it. A host that wasn't told which one that was may conclude it where only one
version can have begun any stream that may still come back. For this, a version is
recorded in the store before any stream begins at it, as long as there is another one,
and its record outlives its endpoints.
"""

from gypsumusher_ports import EndpointRecord

__all__ = ["LEFT_FOR_S", "RecordedVersions", "VersionPresence"]

# Time for which a version counts after its last endpoint has left: endpoints serve on
# for some time after their entries are gone, and callers then take up their streams.
LEFT_FOR_S = 60.0


class VersionPresence:
    """Versions of the endpoints that this host knows, or knew lately."""

    def __init__(self):
        # Numbers of endpoints by version, by service.
        self._counts = {}
        # When the last endpoint of a version left, by service; None until it is asked.
        self._left_s = {}

    def add(self, record: EndpointRecord) -> None:
        """Record that an endpoint is known."""
        counts = self._counts.setdefault(record.service, {})
        version = record.software_version
        counts[version] = counts.get(version, 0) + 1

    def remove(self, record: EndpointRecord) -> None:
        """Record that an endpoint, or its version, is no longer as it was added."""
        counts = self._counts[record.service]
        version = record.software_version
        counts[version] -= 1
        if not counts[version]:
            del counts[version]
            self._left_s.setdefault(record.service, {})[version] = None

    def present(self, service: str):
        """Return the versions of the endpoints that are known."""
        return self._counts.get(service, {}).keys()

    def recent(self, now_s: float, service: str) -> frozenset[str]:
        """Return the versions that are known, or that left within `LEFT_FOR_S`."""
        present = self.present(service)
        left_s = self._left_s.get(service)
        if not left_s:
            return frozenset(present)
        for version, since_s in list(left_s.items()):
            if since_s is None:
                left_s[version] = now_s
            elif version in present or now_s - since_s > LEFT_FOR_S:
                del left_s[version]
        return frozenset(present) | frozenset(left_s)


class RecordedVersions:
    """Versions in the store's record of one service, as far as known.

    Attributes
    ----------
    versions : frozenset of str
        The recorded versions.
    revision : int
        Revision of the record; 0 if none is known.
    """

    def __init__(self):
        self.versions = frozenset()
        self.revision = 0

    def on_record(self, versions, revision: int) -> bool:
        """Apply a record; return whether it is newer than the known one."""
        if revision <= self.revision:
            return False
        self.versions, self.revision = frozenset(versions), revision
        return True
