"""Runs a booking at most once with the claim journal, in a program of your own.

A home claims the key of a booking and dies; a survivor seals its journal and tells
what became of two keys. The dictionary stands for a store with conditional writes.
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
    """Return the store's answer to one effect that names an object."""
    stored = objects.get((effect.kind, effect.name))
    if isinstance(effect, ReadObject):
        return ReadDone(effect.tag, stored)
    if effect.if_version != (stored.version if stored else 0):
        return WriteConflict(effect.tag, stored)
    version = effect.if_version + 1
    objects[effect.kind, effect.name] = StoredObject(version, effect.value)
    return WriteDone(effect.tag, version)


def run_effects(objects, machine, now_s, effects):
    """Carry out a machine's effects until none is left; return the others."""
    others = []
    while effects:
        effect = effects.pop(0)
        if not isinstance(effect, (ReadObject, WriteObject)):
            others.append(effect)
            continue
        effects.extend(machine.handle(now_s, answer_call(objects, effect)))
    return others


def main():
    """Claim one key of two, lose the home, and ask a survivor about both."""
    objects = {}
    home = ClaimJournal(incarnation="home-1", writer="f3a9")
    sent_key, other_key = home.mint("0123456789abcdef"), home.mint("fedcba9876543210")
    effects = run_effects(objects, home, 0.0, home.claim(0.0, sent_key, "booking"))
    assert effects == [ClaimGranted(sent_key)]
    print(f"{sent_key}: granted, may be sent")
    sealer = JournalSealer("home-1", sealing_host="host-2")
    run_effects(objects, sealer, 9.0, sealer.start(9.0))
    for key in (sent_key, other_key):
        print(f"{key}: {sealer.outcome(key)}")


if __name__ == "__main__":
    main()
