"""Fences an owner that was paused before it sent the journal write of its claim.

Uses the in-memory store of `embed_coordination.py` in the same directory.
"""

from embed_coordination import run_effects

from gypsumusher_coordination import ClaimJournal, JournalSealer


def main():
    """Pause an owner during a claim, seal its journal, and resume the owner."""
    objects = {}
    owner = ClaimJournal(incarnation="home-1", writer="f3a9")
    key = owner.mint("0123456789abcdef")
    unsent_effects = owner.claim(0.0, key, "booking")
    print(f"{key}: claimed; the home is paused before its write is sent")
    sealer = JournalSealer("home-1", sealing_host="host-2")
    run_effects(objects, sealer, 9.0, sealer.start(9.0))
    print(f"{key}: a survivor says {sealer.outcome(key)}")
    for effect in run_effects(objects, owner, 20.0, unsent_effects):
        print(f"{key}: the home wakes up, {type(effect).__name__} {effect.run}")
    print(f"the home is sealed out: {owner.is_fenced}")
    later_key = owner.mint("fedcba9876543210")
    for effect in run_effects(
        objects, owner, 20.1, owner.claim(20.1, later_key, "other")
    ):
        print(f"{later_key}: {type(effect).__name__} {effect.run}")


if __name__ == "__main__":
    main()
