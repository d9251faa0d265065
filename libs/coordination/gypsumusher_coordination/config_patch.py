"""One operator's patch against a numbered configuration, applied once or not at all."""

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
# Patches that the head remembers, so that a retry after a lost answer finds its own.
PATCHES_KEPT = 64
LONGEST_NOTE = 1000
LONGEST_ID = 64
# An operator waits for the answer; five seconds outlast a lost answer and a short
# stall of the platform, and end long before the operator would.
ATTEMPT_TIMEOUT_S = 5.0
RETRY_S = 0.25


class PatchAccepted(NamedTuple):
    """The patch is in the configuration of this number."""

    number: int
    changed: list[str]


class PatchOutdated(NamedTuple):
    """The configuration moved on since the number that the patch was written for."""

    number: int
    changed_since: list[str]


class PatchInvalid(NamedTuple):
    """The patch, or the document that it would make, has these problems."""

    problems: list[Problem]


class PatchUnavailable(NamedTuple):
    """The platform could not be reached; the patch did not and will not take effect."""


class PatchUnknown(NamedTuple):
    """The answer was lost and could not be read back; retry with the same patch_id."""


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
    """Carries one patch to the platform; one conditional update of the head wins.

    Failure guarded against: two operators patch the same number at once, and the
    later write silently undoes the earlier. The head is written only on the version
    that was read, and only if that version has the number the patch was written for.

    Parameters
    ----------
    base_number : int
        Number that the patch was written for; 0 for the first configuration.
    patch : dict
        JSON merge patch.
    patch_id : str
        The operator's id of this patch; a retry carries the same one.
    author, note : str
        For the history.
    check : callable
        Takes the whole new document and returns its list of `Problem`.
    sections : mapping of str to object, optional
        Sections already known, by hash; the others are read.
    at : str
        Time of the patch for the history, in a form for people.
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
        self._calls = 0
        # Calls whose answers are awaited, by tag; an answer to any other is late.
        self._open: dict[str, ReadObject | WriteObject] = {}
        self._retry: list[ReadObject | WriteObject] = []
        self._retry_s = float("inf")
        self._maybe_written = False
        self._head: StoredObject | None = None
        self._unwritten: list[str] = []
        self._new_head: dict = {}

    def start(self, now_s: float) -> list[PatchEffect]:
        """Begin; returns the first effects."""
        self._deadline_s = now_s + ATTEMPT_TIMEOUT_S
        problems = self._check_arguments()
        if problems:
            return self._finish(PatchInvalid(problems))
        return [self._read(HEAD_KIND, HEAD_NAME)]

    def handle(self, now_s: float, event: CallEvent) -> list[PatchEffect]:
        """Take the answer to a call."""
        call = self._open.pop(event.tag, None)
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
        """Repeat calls that failed, or give up at the limit."""
        if self.finished:
            return []
        if now_s >= self._deadline_s:
            # A head write that was sent may land after this, so only an attempt
            # that never sent one may say that nothing took effect.
            sent = self._maybe_written or self._is_writing_head()
            return self._finish(PatchUnknown() if sent else PatchUnavailable())
        if now_s < self._retry_s:
            return []
        calls, self._retry = self._retry, []
        self._retry_s = float("inf")
        return [self._again(call) for call in calls]

    def _check_arguments(self) -> list[Problem]:
        problems = []
        if type(self.base_number) is not int or self.base_number < 0:
            mend = "give the number that `config show` prints"
            problems.append(Problem("base_number", f"is {self.base_number!r}", mend))
        if not isinstance(self.patch, dict):
            problems.append(Problem("patch", "is not an object", "give an object"))
        if not _is_text(self.patch_id, LONGEST_ID) or not self.patch_id:
            mend = f"give 1 to {LONGEST_ID} characters, new for each patch"
            problems.append(Problem("patch_id", "is not such an id", mend))
        for path, text in (("author", self.author), ("note", self.note)):
            if not _is_text(text, LONGEST_NOTE):
                mend = f"give text of at most {LONGEST_NOTE} characters"
                problems.append(Problem(path, "is not such a text", mend))
        return problems

    def _on_head(self, stored: StoredObject | None) -> list[PatchEffect]:
        """Decide by the head as it stands, after a read or a lost race."""
        if stored is not None and not is_valid_head(stored.value):
            mend = "mend the object config/head on the platform"
            return self._finish(
                PatchInvalid([Problem("config/head", "is not a head", mend)])
            )
        head = _empty_head() if stored is None else stored.value
        self._head = StoredObject(0, head) if stored is None else stored
        own = _find_patch(head, self.patch_id)
        if own is not None:
            return self._judge_own(own)
        number = head["number"]
        if number < self.base_number:
            mend = f"the newest number is {number}"
            return self._finish(
                PatchInvalid([Problem("base_number", "does not exist yet", mend)])
            )
        if number > self.base_number:
            return self._on_outdated(head)
        return self._on_base()

    def _judge_own(self, own: dict) -> list[PatchEffect]:
        same = own.get("patch_hash") == self._patch_hash()
        if same and own["number"] == self.base_number + 1:
            return self._accepted(own)
        mend = "give each patch an id of its own"
        problem = f"was used by the patch of number {own['number']}"
        return self._finish(PatchInvalid([Problem("patch_id", problem, mend)]))

    def _on_outdated(self, head: dict) -> list[PatchEffect]:
        numbers = [patch["number"] for patch in head["patches"]]
        complete = self.base_number + 1 in numbers
        if not complete and (self._maybe_written or self._is_writing_head()):
            # The entry that would show whether the lost write won has been pruned.
            return self._finish(PatchUnknown())
        changed = set(head["sections"])
        if complete:
            changed = set()
            for patch in head["patches"]:
                if patch["number"] > self.base_number:
                    changed.update(patch["changed"])
        return self._finish(PatchOutdated(head["number"], sorted(changed)))

    def _on_base(self) -> list[PatchEffect]:
        """Fetch what is missing of the base, then build, check and write the new."""
        needed = set(self._head.value["sections"].values())
        missing = sorted(needed - set(self._sections))
        if missing:
            return [self._read(SECTION_KIND, name) for name in missing]
        return self._build()

    def _build(self) -> list[PatchEffect]:
        head = self._head.value
        old = {
            name: self._sections[digest] for name, digest in head["sections"].items()
        }
        try:
            document = merge_patch(join_sections(old), self.patch)
        except ValueError as exc:
            problem = Problem("patch", str(exc), "give a flatter patch")
            return self._finish(PatchInvalid([problem]))
        problems = self.check(document)
        if problems:
            return self._finish(PatchInvalid(problems))
        new = split_document(document)
        hashes = {name: content_hash(value) for name, value in new.items()}
        self._new_head = self._make_head(head, hashes)
        known = set(head["sections"].values())
        values = {hashes[name]: new[name] for name in new}
        self._unwritten = sorted(set(values) - known)
        if not self._unwritten:
            return [self._write_head()]
        # The head may name a section only once the section stands: a host that
        # hears of the head at once must be able to fetch it.
        return [
            self._write(SECTION_KIND, name, values[name], 0) for name in self._unwritten
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
        patches = [*head["patches"], entry][-PATCHES_KEPT:]
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
            return [] if self._open or self._retry else self._build()
        if isinstance(event, WriteConflict) and event.stored is None:
            return self._retry_later(now_s, call)
        # A conflict means that the section stands already: its name is its content.
        self._unwritten.remove(call.name)
        return [] if self._unwritten else [self._write_head()]

    def _on_failed(self, now_s: float, call, sent: bool) -> list[PatchEffect]:
        if not isinstance(call, WriteObject) or call.kind == SECTION_KIND:
            return self._retry_later(now_s, call)
        if not sent:
            return self._retry_later(now_s, call)
        # The write may have taken effect, or may yet. Reading tells which, and
        # writing again is safe: both carry the same if_version, so one wins.
        self._maybe_written = True
        return self._retry_later(now_s, ReadObject("", HEAD_KIND, HEAD_NAME))

    def _retry_later(self, now_s: float, call) -> list[PatchEffect]:
        self._retry.append(call)
        self._retry_s = now_s + RETRY_S
        return []

    def _again(self, call: ReadObject | WriteObject) -> ReadObject | WriteObject:
        if isinstance(call, ReadObject):
            return self._read(call.kind, call.name)
        return self._write(call.kind, call.name, call.value, call.if_version)

    def _accepted(self, entry: dict) -> list[PatchEffect]:
        return self._finish(PatchAccepted(entry["number"], list(entry["changed"])))

    def _finish(self, outcome: PatchEffect) -> list[PatchEffect]:
        self.finished = True
        self._open.clear()
        self._retry.clear()
        return [outcome]

    def _is_writing_head(self) -> bool:
        return any(
            isinstance(call, WriteObject) and call.kind == HEAD_KIND
            for call in self._open.values()
        )

    def _patch_hash(self) -> str:
        return content_hash(self.patch)

    def _write_head(self) -> WriteObject:
        return self._write(HEAD_KIND, HEAD_NAME, self._new_head, self._head.version)

    def _read(self, kind: str, name: str) -> ReadObject:
        return self._opened(ReadObject(self._next_tag(), kind, name))

    def _write(self, kind: str, name: str, value: Any, if_version: int) -> WriteObject:
        return self._opened(
            WriteObject(self._next_tag(), kind, name, value, if_version)
        )

    def _next_tag(self) -> str:
        self._calls += 1
        return f"patch:{self.patch_id}:{self._calls}"

    def _opened(self, call):
        self._open[call.tag] = call
        return call


def _empty_head() -> dict:
    return {"number": 0, "sections": {}, "patches": []}


def _find_patch(head: dict, patch_id: str) -> dict | None:
    for patch in head["patches"]:
        if patch["patch_id"] == patch_id:
            return patch
    return None


def _is_text(value: Any, longest: int) -> bool:
    return isinstance(value, str) and len(value) <= longest
