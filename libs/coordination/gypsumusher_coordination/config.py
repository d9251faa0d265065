"""One host's copy of the configuration, which only ever moves to a higher number."""

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

# A section that did not come is asked for again well inside the 12 s in which a
# configuration has to be in force, yet seldom enough to stay out of the read rate.
SECTION_RETRY_S = 0.5


class FetchSection(NamedTuple):
    """Effect: fetch the section of this hash from the platform or from a peer."""

    hash: str


class ConfigAdopted(NamedTuple):
    """Effect: this configuration is now in force on this host.

    Parameters
    ----------
    number : int
        Its number, higher than any before.
    document : dict
        The document with defaults filled in. The receiver must not change it.
    """

    number: int
    document: dict


class ConfigReplica:
    """Takes heads and sections from the platform and from peers alike.

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
        self._asked_s = float("-inf")

    @property
    def number(self) -> int:
        """The number in force here, 0 before the first."""
        return 0 if self.head is None else self.head["number"]

    @property
    def sections(self) -> dict[str, Any]:
        """The known sections by hash, to answer peers and to build patches on."""
        return self._sections

    def on_head(self, now_s: float, head: Any) -> list[FetchSection | ConfigAdopted]:
        """Take a head from the platform or a peer.

        Failure guarded against: a late answer, a slow peer or a platform that
        answers from an old copy brings a head that was already replaced; adopting
        it would put an old configuration back in force. Numbers only grow with each
        accepted patch, so comparing them is enough, whoever sent the head.
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
        """Take a section that was fetched.

        A section under a hash that isn't its own (a mixed-up answer, a damaged
        copy) is dropped: it would put in force what no operator wrote.
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
        """Ask again for sections that did not come."""
        if self._pending is None or now_s < self._asked_s + SECTION_RETRY_S:
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
            self._asked_s = now_s
            return [FetchSection(section_hash) for section_hash in missing]
        return [self._adopt()]

    def _adopt(self) -> ConfigAdopted:
        self.head = self._pending
        self._pending = None
        named = self.head["sections"]
        # Sections of older heads are dropped, so that a year of patches does not
        # stay in memory.
        self._sections = {
            section_hash: self._sections[section_hash]
            for section_hash in named.values()
        }
        sections = {section: self._sections[named[section]] for section in named}
        self.document = fill_defaults(join_sections(sections))
        return ConfigAdopted(self.head["number"], self.document)
