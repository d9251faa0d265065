"""One host's replica of the configuration, which only moves to higher numbers."""

from typing import Any, NamedTuple

from gypsumusher_coordination.config_check import (
    Problem,
    check_document,
    fill_defaults,
)
from gypsumusher_coordination.config_patch import (
    PatchAccepted,
    PatchAttempt,
    PatchInvalid,
    PatchOutdated,
    PatchUnavailable,
    PatchUnknown,
)
from gypsumusher_coordination.config_sections import (
    is_valid_head,
    join_sections,
    matches_hash,
)
from gypsumusher_coordination.merge_patch import merge_patch

__all__ = [
    "ConfigAdopted",
    "ConfigReplica",
    "FetchSection",
    "PatchAccepted",
    "PatchAttempt",
    "PatchInvalid",
    "PatchOutdated",
    "PatchUnavailable",
    "PatchUnknown",
    "Problem",
    "check_document",
    "merge_patch",
]

# Missing sections are fetched again several times within the 12 s in which a new
# configuration must be in force, without a noticeable share of the read rate.
SECTION_RETRY_DELAY_S = 0.5


class FetchSection(NamedTuple):
    """Effect: fetch the section with this hash from the platform or from a peer."""

    hash: str


class ConfigAdopted(NamedTuple):
    """Effect: this configuration is now in force on this host.

    Parameters
    ----------
    number : int
        The configuration's number, higher than any earlier one.
    document : dict
        The document with defaults filled in. The receiver must not change it.
    """

    number: int
    document: dict


class ConfigReplica:
    """Adopts configurations from heads and sections of the platform or of peers.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host: str):
        self.host = host
        self.head: dict | None = None
        self.document: dict | None = None
        self._pending: dict | None = None
        self._sections: dict[str, Any] = {}
        self._last_fetch_s = float("-inf")

    @property
    def number(self) -> int:
        """The number of the configuration in force, 0 before the first one."""
        return 0 if self.head is None else self.head["number"]

    @property
    def sections(self) -> dict[str, Any]:
        """The known sections by hash, for requests of peers and for patches."""
        return self._sections

    def on_head(self, now_s: float, head: Any) -> list[FetchSection | ConfigAdopted]:
        """Handle a head that the platform or a peer sent.

        A late response, a slow peer or a platform that responds from an old copy may
        deliver a head that has been replaced. Adopting it would put an old
        configuration back in force. Each accepted patch increases the number, so
        heads are ordered by their number, whoever sent them.
        """
        if not is_valid_head(head):
            return []
        newest = self.number if self._pending is None else self._pending["number"]
        if head["number"] <= newest:
            return []
        self._pending = head
        return self._advance(now_s)

    def on_section(
        self, now_s: float, section_hash: str, value: Any
    ) -> list[FetchSection | ConfigAdopted]:
        """Handle a section that was fetched.

        A section that doesn't match its hash (a mixed-up response, a damaged copy) is
        dropped, since it would put in force values that no operator wrote.
        """
        if section_hash not in self._missing():
            return []
        if not matches_hash(value, section_hash):
            return []
        self._sections[section_hash] = value
        if self._missing():
            return []
        return self._advance(now_s)

    def tick(self, now_s: float) -> list[FetchSection | ConfigAdopted]:
        """Fetch sections again that have not arrived."""
        if self._pending is None or now_s < self._last_fetch_s + SECTION_RETRY_DELAY_S:
            return []
        return self._advance(now_s)

    def _missing(self) -> list[str]:
        if self._pending is None:
            return []
        needed = sorted(set(self._pending["sections"].values()))
        return [name for name in needed if name not in self._sections]

    def _advance(self, now_s: float) -> list[FetchSection | ConfigAdopted]:
        missing = self._missing()
        if missing:
            self._last_fetch_s = now_s
            return [FetchSection(section_hash) for section_hash in missing]
        return [self._adopt()]

    def _adopt(self) -> ConfigAdopted:
        self.head = self._pending
        self._pending = None
        hashes = self.head["sections"]
        # Drops the sections of older heads, which would otherwise accumulate in memory
        # over months of patches.
        self._sections = {
            section_hash: self._sections[section_hash]
            for section_hash in hashes.values()
        }
        sections = {section: self._sections[hashes[section]] for section in hashes}
        self.document = fill_defaults(join_sections(sections))
        return ConfigAdopted(self.head["number"], self.document)
