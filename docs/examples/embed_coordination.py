"""Runs a non-idempotent request at most once with the claim journal.

An owner claims a request's key and fails. Another host seals its journal and reports
the outcome of two keys. A dictionary serves as the store with conditional writes.
"""

from gypsumusher_coordination import (
    ClaimGranted,
    ClaimJournal,
    JournalSealer,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)


def answer_call(objects, effect):
    """Execute one read or conditional write on the store and return its result."""
    stored = objects.get((effect.kind, effect.name))
    if isinstance(effect, ReadObject):
        return ReadDone(effect.tag, stored)
    if effect.if_version != (stored.version if stored else 0):
        return WriteConflict(effect.tag, stored)
    version = effect.if_version + 1
    objects[effect.kind, effect.name] = StoredObject(version, effect.value)
    return WriteDone(effect.tag, version)


def run_effects(objects, machine, now_s, effects):
    """Execute a state machine's store calls until none is left; return the rest."""
    other_effects = []
    while effects:
        effect = effects.pop(0)
        if not isinstance(effect, (ReadObject, WriteObject)):
            other_effects.append(effect)
            continue
        effects.extend(machine.handle(now_s, answer_call(objects, effect)))
    return other_effects


def main():
    """Claim one of two keys, then get the outcome of both after the owner fails."""
    objects = {}
    owner = ClaimJournal(incarnation="home-1", writer="f3a9")
    sent_key, other_key = owner.mint("0123456789abcdef"), owner.mint("fedcba9876543210")
    effects = run_effects(objects, owner, 0.0, owner.claim(0.0, sent_key, "booking"))
    assert effects == [ClaimGranted(sent_key)]
    print(f"{sent_key}: granted, may be sent")
    sealer = JournalSealer("home-1", sealing_host="host-2")
    run_effects(objects, sealer, 9.0, sealer.start(9.0))
    for key in (sent_key, other_key):
        print(f"{key}: {sealer.outcome(key)}")


if __name__ == "__main__":
    main()
