"""Estimates that answers teach: what a reading costs, how far off that is, and pauses.

Nothing here knows a machine. Each estimate begins with a careful guess, follows the
answers of some seconds, and forgets: engines turn slow, models and mixes change.
"""

import math

__all__ = ["PrefillCostModel", "RunningQuantile", "Slowdown", "TokensPerEvent"]

# First guess: a part for each prompt, for each thousand tokens of it, and for each
# million pairs of its tokens, in seconds. It is that of a slow machine, so that a new
# deployment starts careful; some ten answers replace it.
FIRST_COSTS_S = (0.03, 0.02, 0.0006)
# Answers after which the costs are no guess any more.
KNOWN_AFTER = 10
# Weight that an answer keeps when the next one comes. Some two hundred answers count,
# which a host sees in five to forty seconds.
KEPT_WEIGHT = 0.995
# How far an answer's time strays by itself: a time, in seconds, and a part of what is
# expected.
NOISE_S, NOISE_PART = 0.002, 0.2
# An answer counts as if it strayed by no more than so many times that. One that took
# longer met work that this host didn't know of, or parts that were gone: it says little
# of what reading costs, which is what the quickest answers show.
SLOWER_NOISES, FASTER_NOISES = 1.0, 3.0
# So many answers in a row that stray further, to the same side, are no outliers: the
# engines or the model have changed, and the past says nothing any more.
CHANGED_AFTER = 6
# Shortest time that is expected of any reading, in seconds.
LEAST_COST_S = 0.001


class PrefillCostModel:
    """What engines of one stage take to read a prompt, in seconds.

    Least squares over the answers of late, with three parts: one a prompt, one a token,
    and one a pair of tokens, for attention.

    Parameters
    ----------
    factor : float
        First guess of the costs, as a multiple of the usual one.
    """

    def __init__(self, factor: float = 1.0):
        self._first_s = [factor * cost_s for cost_s in FIRST_COSTS_S]
        self._costs_s = list(self._first_s)
        # Covariance of the three parts, in units of the noise.
        self._spread = _first_spread(self._first_s)
        self._strays = 0
        self._answers = 0

    @property
    def is_known(self) -> bool:
        """Whether answers have told of it; before that it is a guess."""
        return self._answers >= KNOWN_AFTER

    def expected_s(self, new_tokens: float, cached_tokens: float) -> float:
        """Return what reading is expected to take at an idle engine.

        Parameters
        ----------
        new_tokens, cached_tokens : float
            Tokens of the prompt that are read, and those before them that are kept.
        """
        parts = _parts(new_tokens, cached_tokens)
        expected_s = sum(p * c for p, c in zip(parts, self._costs_s, strict=True))
        return max(LEAST_COST_S, expected_s)

    def learn(self, new_tokens: float, cached_tokens: float, took_s: float) -> None:
        """Take in a reading at an engine that did nothing else, in seconds."""
        self._answers += 1
        parts = _parts(new_tokens, cached_tokens)
        expected_s = self.expected_s(new_tokens, cached_tokens)
        noise_s = NOISE_S + NOISE_PART * expected_s
        gains = [
            sum(row[place] * parts[place] for place in range(3)) for row in self._spread
        ]
        variance = sum(p * g for p, g in zip(parts, gains, strict=True))
        total = variance + noise_s * noise_s
        stray_s = math.sqrt(total)
        error_s = took_s - expected_s
        if self._is_changed(error_s, FASTER_NOISES * stray_s):
            self._spread = _first_spread(self._first_s)
            return
        least_s, most_s = -FASTER_NOISES * stray_s, SLOWER_NOISES * stray_s
        error_s = max(least_s, min(most_s, error_s))
        for place in range(3):
            self._costs_s[place] += gains[place] / total * error_s
        self._shrink(gains, total)

    def _is_changed(self, error_s, bound_s):
        """Count answers that stray to one side; say whether they are too many."""
        if abs(error_s) <= bound_s:
            self._strays = 0
            return False
        is_on = self._strays * error_s >= 0
        self._strays = (self._strays if is_on else 0) + (1 if error_s > 0 else -1)
        if abs(self._strays) < CHANGED_AFTER:
            return False
        self._strays = 0
        return True

    def _shrink(self, gains, total):
        """Take what was learnt out of the spread, and let the past fade."""
        for row in range(3):
            for column in range(3):
                learnt = gains[row] * gains[column] / total
                self._spread[row][column] -= learnt
                self._spread[row][column] /= KEPT_WEIGHT
        for place in range(3):
            # Without new prompts of some size the past would fade to nothing known.
            excess = self._spread[place][place] / self._first_s[place] ** 2
            if excess <= 1.0:
                continue
            for other in range(3):
                self._spread[place][other] /= math.sqrt(excess)
                self._spread[other][place] /= math.sqrt(excess)


def _first_spread(costs_s):
    """Return the spread of a first guess: each part may be off by itself."""
    spread = [[0.0] * 3 for _ in range(3)]
    for place, cost_s in enumerate(costs_s):
        spread[place][place] = cost_s * cost_s
    return spread


def _parts(new_tokens, kept_tokens):
    """Return the prompt, its thousands of tokens, and its millions of pairs."""
    pairs = new_tokens * (kept_tokens + new_tokens / 2.0)
    return (1.0, new_tokens / 1e3, pairs / 1e6)


# Weight of one answer in an engine's pace, and the bounds of a single one.
PACE_WEIGHT = 0.2
PACE_MIN, PACE_MAX = 0.8, 8.0
# Without answers a pace returns half way to that of the others in this time, in
# seconds: an engine that was slow gets no work, and would stay slow for ever.
PACE_HALF_LIFE_S = 4.0


class Slowdown:
    """How many times as long one engine takes as others of its stage."""

    def __init__(self):
        self._log = 0.0
        self._at_s = 0.0

    def factor(self, now_s: float) -> float:
        """Return the factor now."""
        return math.exp(self._faded(now_s))

    def learn(self, now_s: float, took_s: float, expected_s: float) -> None:
        """Take in how long an answer took, and what was expected, in seconds."""
        ratio = took_s / max(LEAST_COST_S, expected_s)
        ratio = min(PACE_MAX, max(PACE_MIN, ratio))
        faded = self._faded(now_s)
        self._log = faded + PACE_WEIGHT * (math.log(ratio) - faded)
        self._at_s = now_s

    def _faded(self, now_s):
        age_s = max(0.0, now_s - self._at_s)
        return self._log * 0.5 ** (age_s / PACE_HALF_LIFE_S)


# By how much one value moves a quantile, as a part of it: fifty values follow a change
# by a factor of three.
QUANTILE_STEP = 0.05


class RunningQuantile:
    """A value that a part of all values stays below, for values above zero.

    Parameters
    ----------
    part : float
        The part, from 0 to 1.
    first : float
        First guess.
    least, most : float
        Bounds of it.
    """

    def __init__(self, part: float, first: float, least: float, most: float):
        self.value = first
        self._part = part
        self._least = least
        self._most = most

    def learn(self, value: float) -> None:
        """Take in a value."""
        if value > self.value:
            moved = self.value * math.exp(QUANTILE_STEP * self._part)
        else:
            moved = self.value * math.exp(-QUANTILE_STEP * (1.0 - self._part))
        self.value = min(self._most, max(self._least, moved))


class TokensPerEvent:
    """How many tokens of callers' estimates one event of a stream stands for.

    Guarded against: an event may hold one token or fifty, and counted as tokens a
    stream of a hundred events looks as if it would never end in time.
    """

    def __init__(self):
        self._median = None

    def expected_events(self, tokens: float) -> float | None:
        """Return how many events an answer of so many tokens has, if that is known."""
        return None if self._median is None else tokens / self._median.value

    def learn(self, tokens: float, events: int) -> None:
        """Take in a stream that ended whole, with the caller's estimate of it."""
        if self._median is None:
            self._median = RunningQuantile(0.5, tokens / events, 1e-3, 1e6)
        self._median.learn(tokens / events)
