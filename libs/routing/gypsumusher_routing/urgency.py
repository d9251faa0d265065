"""How urgent engines are told that a request is."""

__all__ = ["urgency_of"]

# Urgency of the most and of the least urgent requests. Engines take 0 to 9; the ends
# stay free for operators' own tools.
FIRST_URGENCY, LAST_URGENCY = 1, 8
# Steps between two priorities, so that one can be put between them.
STEP = 2


def urgency_of(rank: int) -> int:
    """Return the urgency of a priority; 0 is the first of each.

    An engine admits the more urgent first and pre-empts the others for it, so short
    urgent work passes long readings there.
    """
    return min(LAST_URGENCY, FIRST_URGENCY + STEP * rank)
