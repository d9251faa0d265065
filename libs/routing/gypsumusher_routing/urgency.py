"""How urgent engines are told that a request is."""

__all__ = ["urgency_of"]

# Engines take 0, first, to 9, and serve the more urgent first. The ends stay free for
# operators' own tools.
FIRST_URGENCY = 2
# A prompt that can't be on time any more is worth the same a second later, while one
# that still can is worth three times as much on time. So the late ones stand back; not
# at the very end, since they have a deadline too.
LATE_URGENCY = 7
LATE_LAST_URGENCY = 8


def urgency_of(rank: int, is_timely: bool) -> int:
    """Return the urgency of a request.

    Parameters
    ----------
    rank : int
        Its priority, 0 first.
    is_timely : bool
        Whether it can still be on time.
    """
    if is_timely:
        return min(LATE_URGENCY - 1, FIRST_URGENCY + rank)
    return LATE_URGENCY if rank == 0 else LATE_LAST_URGENCY
