"""Which refused contents were told to come back, and when.

Made for a long overload: a caller that obeys its retry-after would meet the same queue
as everyone else and be refused again, so that callers learn to hammer instead.
"""

from collections import OrderedDict

# Promises kept, at about 200 bytes each: some minutes of refusals at a host's rate.
MAX_PROMISES = 5000
# A promise holds for this long after its time, in seconds.
KEPT_S = 60.0


class Promises:
    """Contents and the times from which they go first in their class."""

    def __init__(self):
        self.due_s = OrderedDict()

    def add(self, fingerprint: str, due_s: float) -> None:
        """Note that a caller was told to come back at a time."""
        self.due_s[fingerprint] = due_s
        self.due_s.move_to_end(fingerprint)
        if len(self.due_s) > MAX_PROMISES:
            self.due_s.popitem(last=False)

    def take(self, now_s: float, fingerprint: str) -> bool:
        """Say whether this content comes back as it was told; once each.

        Whoever comes back sooner gets nothing for it.
        """
        due_s = self.due_s.get(fingerprint)
        if due_s is None or now_s < due_s:
            return False
        del self.due_s[fingerprint]
        return now_s <= due_s + KEPT_S
