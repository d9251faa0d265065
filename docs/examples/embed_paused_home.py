"""Shuts out a home that was paused before it sent the write of its claim.

It shares the store of `embed_coordination.py`, which stands beside it.
"""

from embed_coordination import run_effects

from gypsumusher_coordination import ClaimJournal, JournalSealer


def main():
    """Pause a home within its claim, seal its journal, and wake it up."""
    objects = {}
    home = ClaimJournal(incarnation="home-1", writer="f3a9")
    key = home.mint("0123456789abcdef")
    paused_effects = home.claim(0.0, key, "booking")
    print(f"{key}: claimed; the home is paused before its write is sent")
    sealer = JournalSealer("home-1", sealing_host="host-2")
    run_effects(objects, sealer, 9.0, sealer.start(9.0))
    print(f"{key}: a survivor says {sealer.outcome(key)}")
    for effect in run_effects(objects, home, 20.0, paused_effects):
        print(f"{key}: the home wakes up, {type(effect).__name__} {effect.run}")
    print(f"the home is sealed out: {home.is_fenced}")
    later_key = home.mint("fedcba9876543210")
    for effect in run_effects(
        objects, home, 20.1, home.claim(20.1, later_key, "other")
    ):
        print(f"{later_key}: {type(effect).__name__} {effect.run}")


if __name__ == "__main__":
    main()
