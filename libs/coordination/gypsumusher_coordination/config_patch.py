"""Applies an operator's patch to a numbered configuration at most once."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from gypsumusher_coordination.config_check import Problem
from gypsumusher_coordination.config_sections import (
    content_hash,
    is_valid_head,
    join_sections,
    matches_hash,
    split_document,
)
from gypsumusher_coordination.effects import (
    CallEvent,
    CallFailed,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)
from gypsumusher_coordination.merge_patch import merge_patch

HEAD_KIND = "config"
HEAD_NAME = "head"
SECTION_KIND = "configsections"
# Entries in the head's patch history. A retry after a lost response finds its own patch
# in it.
MAX_HISTORY_PATCHES = 64
MAX_NOTE_CHARS = 1000
MAX_ID_CHARS = 64
# An operator waits for the result. Five seconds cover a lost response and a short stall
# of the platform, and are shorter than an operator's patience.
ATTEMPT_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.25


class PatchAccepted(NamedTuple):
    """Result: the patch was applied and created the configuration with this number."""

    number: int
    changed: list[str]


class PatchOutdated(NamedTuple):
    """Result: other patches were applied since the patch's base number."""

    number: int
    changed_since: list[str]


class PatchInvalid(NamedTuple):
    """Result: the patch, or the document that it would create, is invalid."""

    problems: list[Problem]


class PatchUnavailable(NamedTuple):
    """Result: the platform was unreachable; the patch won't take effect."""


class PatchUnknown(NamedTuple):
    """Result: unknown, as a response was lost; retry with the same patch_id."""


PatchEffect = (
    ReadObject
    | WriteObject
    | PatchAccepted
    | PatchOutdated
    | PatchInvalid
    | PatchUnavailable
    | PatchUnknown
)


class PatchAttempt:
    """Applies one patch by a conditional write of the configuration's head.

    If two operators patch the same number concurrently, the later write must not
    silently undo the earlier one. The head is therefore written by compare-and-set on
    the version that was read, and only if that version has the patch's base number.

    Parameters
    ----------
    base_number : int
        Number of the configuration that the patch is based on; 0 for the first one.
    patch : dict
        JSON merge patch.
    patch_id : str
        The operator's id of this patch; a retry must use the same one.
    author, note : str
        Author and description for the patch history.
    check : callable
        Takes the whole new document and returns its list of `Problem`.
    sections : mapping of str to object, optional
        Known sections by hash; the others are read from the platform.
    at : str
        Time of the patch for the history, as human-readable text.
    """

    def __init__(
        self,
        base_number: int,
        patch: Any,
        patch_id: str,
        author: str,
        note: str,
        check: Callable[[Any], list[Problem]],
        sections: Mapping[str, Any] | None = None,
        at: str = "",
    ):
        self.base_number = base_number
        self.patch = patch
        self.patch_id = patch_id
        self.author = author
        self.note = note
        self.check = check
        self.at = at
        self.finished = False
        self._sections = dict(sections or {})
        self._deadline_s = float("inf")
        self._call_count = 0
        # Calls in flight by tag. Events with any other tag are late and ignored.
        self._calls_in_flight: dict[str, ReadObject | WriteObject] = {}
        self._failed_calls: list[ReadObject | WriteObject] = []
        self._next_retry_s = float("inf")
        self._is_head_write_unknown = False
        self._head: StoredObject | None = None
        self._unwritten_sections: list[str] = []
        self._new_head: dict = {}

    def start(self, now_s: float) -> list[PatchEffect]:
        """Start the attempt; return the first effects."""
        self._deadline_s = now_s + ATTEMPT_TIMEOUT_S
        problems = self._check_arguments()
        if problems:
            return self._finish(PatchInvalid(problems))
        return [self._read(HEAD_KIND, HEAD_NAME)]

    def handle(self, now_s: float, event: CallEvent) -> list[PatchEffect]:
        """Handle the response to a call."""
        call = self._calls_in_flight.pop(event.tag, None)
        if call is None or self.finished:
            return []
        if isinstance(event, CallFailed):
            return self._on_failed(now_s, call, event.sent)
        if call.kind == SECTION_KIND:
            return self._on_section(now_s, call, event)
        if isinstance(event, WriteDone):
            return self._accepted(self._new_head["patches"][-1])
        return self._on_head(event.stored)

    def tick(self, now_s: float) -> list[PatchEffect]:
        """Repeat failed calls; end the attempt after the timeout."""
        if self.finished:
            return []
        if now_s >= self._deadline_s:
            # A head write that was sent may take effect later. Only an attempt that
            # never sent one may report that the patch did not take effect.
            sent = self._is_head_write_unknown or self._is_writing_head()
            return self._finish(PatchUnknown() if sent else PatchUnavailable())
        if now_s < self._next_retry_s:
            return []
        calls, self._failed_calls = self._failed_calls, []
        self._next_retry_s = float("inf")
        return [self._repeat(call) for call in calls]

    def _check_arguments(self) -> list[Problem]:
        problems = []
        if type(self.base_number) is not int or self.base_number < 0:
            mend = "give the number that `config show` prints"
            problems.append(Problem("base_number", f"is {self.base_number!r}", mend))
        if not isinstance(self.patch, dict):
            problems.append(Problem("patch", "is not an object", "give an object"))
        if not _is_text(self.patch_id, MAX_ID_CHARS) or not self.patch_id:
            mend = f"give 1 to {MAX_ID_CHARS} characters, new for each patch"
            problems.append(Problem("patch_id", "is not such an id", mend))
        for path, text in (("author", self.author), ("note", self.note)):
            if not _is_text(text, MAX_NOTE_CHARS):
                mend = f"give text of at most {MAX_NOTE_CHARS} characters"
                problems.append(Problem(path, "is not such a text", mend))
        return problems

    def _on_head(self, stored: StoredObject | None) -> list[PatchEffect]:
        """Decide by the current head, after a read or a write conflict."""
        if stored is not None and not is_valid_head(stored.value):
            mend = "mend the object config/head on the platform"
            return self._finish(
                PatchInvalid([Problem("config/head", "is not a head", mend)])
            )
        head = _empty_head() if stored is None else stored.value
        self._head = StoredObject(0, head) if stored is None else stored
        own_entry = _find_patch(head, self.patch_id)
        if own_entry is not None:
            return self._on_own_patch(own_entry)
        number = head["number"]
        if number < self.base_number:
            mend = f"the newest number is {number}"
            return self._finish(
                PatchInvalid([Problem("base_number", "does not exist yet", mend)])
            )
        if number > self.base_number:
            return self._on_outdated(head)
        return self._on_base_head()

    def _on_own_patch(self, own_entry: dict) -> list[PatchEffect]:
        is_same_patch = own_entry.get("patch_hash") == self._patch_hash()
        if is_same_patch and own_entry["number"] == self.base_number + 1:
            return self._accepted(own_entry)
        mend = "give each patch an id of its own"
        problem = f"was used by the patch of number {own_entry['number']}"
        return self._finish(PatchInvalid([Problem("patch_id", problem, mend)]))

    def _on_outdated(self, head: dict) -> list[PatchEffect]:
        numbers = [patch["number"] for patch in head["patches"]]
        has_all_entries = self.base_number + 1 in numbers
        if not has_all_entries and (
            self._is_head_write_unknown or self._is_writing_head()
        ):
            # The history entry that would show whether the lost write took effect has
            # been pruned.
            return self._finish(PatchUnknown())
        changed = set(head["sections"])
        if has_all_entries:
            changed = set()
            for patch in head["patches"]:
                if patch["number"] > self.base_number:
                    changed.update(patch["changed"])
        return self._finish(PatchOutdated(head["number"], sorted(changed)))

    def _on_base_head(self) -> list[PatchEffect]:
        """Read the base's missing sections, or build and write the new head."""
        needed = set(self._head.value["sections"].values())
        missing = sorted(needed - set(self._sections))
        if missing:
            return [self._read(SECTION_KIND, name) for name in missing]
        return self._build_and_write()

    def _build_and_write(self) -> list[PatchEffect]:
        head = self._head.value
        old_sections = {
            name: self._sections[digest] for name, digest in head["sections"].items()
        }
        try:
            document = merge_patch(join_sections(old_sections), self.patch)
        except ValueError as exc:
            problem = Problem("patch", str(exc), "give a flatter patch")
            return self._finish(PatchInvalid([problem]))
        problems = self.check(document)
        if problems:
            return self._finish(PatchInvalid(problems))
        new_sections = split_document(document)
        hashes = {name: content_hash(value) for name, value in new_sections.items()}
        self._new_head = self._make_head(head, hashes)
        known = set(head["sections"].values())
        values = {hashes[name]: new_sections[name] for name in new_sections}
        self._unwritten_sections = sorted(set(values) - known)
        if not self._unwritten_sections:
            return [self._write_head()]
        # Sections are written before the head that refers to them, because a host that
        # receives the head immediately must be able to fetch them.
        return [
            self._write(SECTION_KIND, name, values[name], 0)
            for name in self._unwritten_sections
        ]

    def _make_head(self, head: dict, hashes: dict[str, str]) -> dict:
        names = set(head["sections"]) | set(hashes)
        changed = sorted(
            name for name in names if head["sections"].get(name) != hashes.get(name)
        )
        entry = {
            "number": self.base_number + 1,
            "patch_id": self.patch_id,
            "patch_hash": self._patch_hash(),
            "author": self.author,
            "note": self.note,
            "changed": changed,
            "at": self.at,
        }
        patches = [*head["patches"], entry][-MAX_HISTORY_PATCHES:]
        return {
            "number": self.base_number + 1,
            "sections": hashes,
            "patches": patches,
        }

    def _on_section(self, now_s: float, call, event: CallEvent) -> list[PatchEffect]:
        if isinstance(event, ReadDone):
            stored = event.stored
            if stored is None or not matches_hash(stored.value, call.name):
                return self._retry_later(now_s, call)
            self._sections[call.name] = stored.value
            return (
                []
                if self._calls_in_flight or self._failed_calls
                else self._build_and_write()
            )
        if isinstance(event, WriteConflict) and event.stored is None:
            return self._retry_later(now_s, call)
        # A conflict means that the section exists already, as its name is its hash.
        self._unwritten_sections.remove(call.name)
        return [] if self._unwritten_sections else [self._write_head()]

    def _on_failed(self, now_s: float, call, sent: bool) -> list[PatchEffect]:
        if not isinstance(call, WriteObject) or call.kind == SECTION_KIND:
            return self._retry_later(now_s, call)
        if not sent:
            return self._retry_later(now_s, call)
        # The write may have taken effect or may still do so. Reading the head shows
        # which, and writing again is safe: both writes have the same if_version, so
        # at most one succeeds.
        self._is_head_write_unknown = True
        return self._retry_later(now_s, ReadObject("", HEAD_KIND, HEAD_NAME))

    def _retry_later(self, now_s: float, call) -> list[PatchEffect]:
        self._failed_calls.append(call)
        self._next_retry_s = now_s + RETRY_DELAY_S
        return []

    def _repeat(self, call: ReadObject | WriteObject) -> ReadObject | WriteObject:
        if isinstance(call, ReadObject):
            return self._read(call.kind, call.name)
        return self._write(call.kind, call.name, call.value, call.if_version)

    def _accepted(self, entry: dict) -> list[PatchEffect]:
        return self._finish(PatchAccepted(entry["number"], list(entry["changed"])))

    def _finish(self, outcome: PatchEffect) -> list[PatchEffect]:
        self.finished = True
        self._calls_in_flight.clear()
        self._failed_calls.clear()
        return [outcome]

    def _is_writing_head(self) -> bool:
        return any(
            isinstance(call, WriteObject) and call.kind == HEAD_KIND
            for call in self._calls_in_flight.values()
        )

    def _patch_hash(self) -> str:
        return content_hash(self.patch)

    def _write_head(self) -> WriteObject:
        return self._write(HEAD_KIND, HEAD_NAME, self._new_head, self._head.version)

    def _read(self, kind: str, name: str) -> ReadObject:
        return self._start_call(ReadObject(self._next_tag(), kind, name))

    def _write(self, kind: str, name: str, value: Any, if_version: int) -> WriteObject:
        return self._start_call(
            WriteObject(self._next_tag(), kind, name, value, if_version)
        )

    def _next_tag(self) -> str:
        self._call_count += 1
        return f"patch:{self.patch_id}:{self._call_count}"

    def _start_call(self, call):
        self._calls_in_flight[call.tag] = call
        return call


def _empty_head() -> dict:
    return {"number": 0, "sections": {}, "patches": []}


def _find_patch(head: dict, patch_id: str) -> dict | None:
    for patch in head["patches"]:
        if patch["patch_id"] == patch_id:
            return patch
    return None


def _is_text(value: Any, max_chars: int) -> bool:
    return isinstance(value, str) and len(value) <= max_chars
