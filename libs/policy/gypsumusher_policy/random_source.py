"""A seeded source of draws, because the decisions take randomness as an argument."""

from collections.abc import Callable

MASK = (1 << 64) - 1
GAMMA = 0x9E3779B97F4A7C15


def mix64(value: int) -> int:
    """Scramble a 64-bit integer (the finaliser of splitmix64)."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)


def make_draw(seed: int) -> Callable[[int], int]:
    """Return ``draw(count)``, which gives an integer from 0 to ``count - 1``."""
    state = seed & MASK

    def draw(count: int) -> int:
        nonlocal state
        state = (state + GAMMA) & MASK
        return mix64(state) % count

    return draw
