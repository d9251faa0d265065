"""Seeded random integers (splitmix64) for decisions that must be reproducible."""

from collections.abc import Callable

MASK_64_BIT = (1 << 64) - 1
SPLITMIX64_INCREMENT = 0x9E3779B97F4A7C15


def mix64(value: int) -> int:
    """Return the splitmix64 finaliser of a 64-bit integer."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64_BIT
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64_BIT
    return value ^ (value >> 31)


def make_draw(seed: int) -> Callable[[int], int]:
    """Return a function ``draw(count)`` for random integers from 0 to ``count - 1``.

    Parameters
    ----------
    seed : int
        Seed of the sequence; the same seed gives the same integers.
    """
    state = seed & MASK_64_BIT

    def draw(count: int) -> int:
        nonlocal state
        state = (state + SPLITMIX64_INCREMENT) & MASK_64_BIT
        return mix64(state) % count

    return draw
