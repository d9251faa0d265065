"""Online estimates from answers: prefill costs, slowdown factors and quantiles.

No estimate assumes a particular machine. Each starts from a conservative initial value,
follows the most recent answers and forgets older ones, because engines slow down and
models and workloads change.
"""

import math

__all__ = [
    "PrefillCostModel",
    "RunningQuantile",
    "Slowdown",
    "TokensPerEvent",
    "prefill_duration_s",
]

# Initial costs per prompt, per thousand tokens and per million token pairs. They are
# those of a slow machine, so that a new deployment starts conservatively; about ten
# answers replace them.
INITIAL_COSTS_S = (0.03, 0.02, 0.0006)
# Number of answers from which the costs are no longer treated as a guess.
MIN_ANSWERS = 10
# Weight that earlier answers keep with each new one. About two hundred answers count,
# which a host sees within five to forty seconds.
FORGETTING_FACTOR = 0.995
# Standard deviation of one answer's duration: a constant, and a share of the expected
# duration.
NOISE_S, NOISE_SHARE = 0.002, 0.2
# Errors are clipped to these multiples of the standard deviation, for answers slower
# and faster than expected. A slower answer met work that this host did not know of, or
# evicted cache entries; the fastest answers show what a prefill costs. The second one
# is also the bound beyond which an answer is an outlier.
SLOW_CLIP_SIGMAS, FAST_CLIP_SIGMAS = 1.0, 3.0
# Consecutive outliers to the same side after which the engines or the model must have
# changed, and the covariance is reset to its initial value.
RESET_AFTER_OUTLIERS = 6
# Standard deviation of costs learned before a restart, relative to their size. The
# engines are usually the same, and new answers may still correct the costs.
RESTORED_SHARE = 0.2
# Lower bound of the expected duration of a prefill.
MIN_COST_S = 0.001


class PrefillCostModel:
    """Duration of a prefill at an idle engine of one stage.

    Recursive least squares over recent answers, with three coefficients: per prompt,
    per token, and per pair of tokens for attention.

    Parameters
    ----------
    factor : float
        Initial costs, as a multiple of the default ones.
    """

    def __init__(self, factor: float = 1.0):
        self._initial_s = [factor * cost_s for cost_s in INITIAL_COSTS_S]
        self._costs_s = list(self._initial_s)
        # Covariance of the three coefficients.
        self._covariance = _initial_covariance(self._initial_s)
        # Consecutive outliers; positive for slow ones, negative for fast ones.
        self._outliers = 0
        self._answers = 0

    @property
    def is_known(self) -> bool:
        """Whether enough answers have replaced the initial costs."""
        return self._answers >= MIN_ANSWERS

    def expected_s(self, new_tokens: float, cached_tokens: float) -> float:
        """Return the expected duration at an idle engine, in seconds.

        Parameters
        ----------
        new_tokens, cached_tokens : float
            Tokens to be prefilled, and tokens before them that are cached.
        """
        return prefill_duration_s(self._costs_s, new_tokens, cached_tokens)

    @property
    def costs_s(self) -> tuple[float, ...]:
        """Current costs per prompt, thousand tokens and million token pairs."""
        return tuple(self._costs_s)

    def restore(self, costs_s) -> None:
        """Start from costs learned before a restart, unless an answer has been seen.

        Parameters
        ----------
        costs_s : sequence of float
            The three costs, as returned by `costs_s`.
        """
        if self._answers:
            return
        self._costs_s = list(costs_s)
        # The initial covariance would let the first answers move the costs by their
        # own size.
        spread_s = [
            RESTORED_SHARE * max(abs(cost_s), initial_s)
            for cost_s, initial_s in zip(costs_s, self._initial_s, strict=True)
        ]
        self._covariance = _initial_covariance(spread_s)
        self._answers = MIN_ANSWERS

    def learn(self, new_tokens: float, cached_tokens: float, took_s: float) -> None:
        """Update the costs from a prefill at an otherwise idle engine.

        Parameters
        ----------
        new_tokens, cached_tokens : float
            Tokens that were prefilled, and tokens before them that were cached.
        took_s : float
            Measured duration, in seconds.
        """
        self._answers += 1
        features = _features(new_tokens, cached_tokens)
        expected_s = self.expected_s(new_tokens, cached_tokens)
        noise_s = NOISE_S + NOISE_SHARE * expected_s
        gains = [
            sum(row[index] * features[index] for index in range(3))
            for row in self._covariance
        ]
        variance = sum(x * g for x, g in zip(features, gains, strict=True))
        total = variance + noise_s * noise_s
        sigma_s = math.sqrt(total)
        error_s = took_s - expected_s
        if self._is_changed(error_s, FAST_CLIP_SIGMAS * sigma_s):
            self._covariance = _initial_covariance(self._initial_s)
            return
        min_s, max_s = -FAST_CLIP_SIGMAS * sigma_s, SLOW_CLIP_SIGMAS * sigma_s
        error_s = max(min_s, min(max_s, error_s))
        for index in range(3):
            self._costs_s[index] += gains[index] / total * error_s
        self._update_covariance(gains, total)

    def _is_changed(self, error_s, bound_s):
        """Count consecutive outliers to one side; return whether there are too many."""
        if abs(error_s) <= bound_s:
            self._outliers = 0
            return False
        is_same_side = self._outliers * error_s >= 0
        self._outliers = (self._outliers if is_same_side else 0) + (
            1 if error_s > 0 else -1
        )
        if abs(self._outliers) < RESET_AFTER_OUTLIERS:
            return False
        self._outliers = 0
        return True

    def _update_covariance(self, gains, total):
        """Reduce the covariance by one answer, and discount earlier answers."""
        for row in range(3):
            for column in range(3):
                explained = gains[row] * gains[column] / total
                self._covariance[row][column] -= explained
                self._covariance[row][column] /= FORGETTING_FACTOR
        for index in range(3):
            # Without new prompts of some size, discounting would raise the covariance
            # without bound; it stays below its initial value.
            excess = self._covariance[index][index] / self._initial_s[index] ** 2
            if excess <= 1.0:
                continue
            for other in range(3):
                self._covariance[index][other] /= math.sqrt(excess)
                self._covariance[other][index] /= math.sqrt(excess)


def prefill_duration_s(costs_s, new_tokens: float, cached_tokens: float) -> float:
    """Return the duration of a prefill from the three costs, in seconds.

    Parameters
    ----------
    costs_s : sequence of float
        Costs per prompt, thousand tokens and million token pairs.
    new_tokens, cached_tokens : float
        Tokens to be prefilled, and tokens before them that are cached.
    """
    features = _features(new_tokens, cached_tokens)
    expected_s = sum(x * c for x, c in zip(features, costs_s, strict=True))
    return max(MIN_COST_S, expected_s)


def _initial_covariance(costs_s):
    """Return the covariance of initial costs that may each be off by their own size."""
    covariance = [[0.0] * 3 for _ in range(3)]
    for index, cost_s in enumerate(costs_s):
        covariance[index][index] = cost_s * cost_s
    return covariance


def _features(new_tokens, cached_tokens):
    """Return 1, the thousands of new tokens, and the millions of token pairs."""
    pairs = new_tokens * (cached_tokens + new_tokens / 2.0)
    return (1.0, new_tokens / 1e3, pairs / 1e6)


# Weight of one answer in an engine's slowdown factor, and the bounds of its ratio of
# measured to expected duration.
SLOWDOWN_WEIGHT = 0.2
RATIO_MIN, RATIO_MAX = 0.8, 8.0
# Half-life of a slowdown without answers. A slow engine gets no work, so without decay
# it would count as slow for ever.
SLOWDOWN_HALF_LIFE_S = 4.0
# An engine slower than the others by more than this factor updates the cost of its
# stage by the time that an engine of usual speed would have taken.
SLOW_FACTOR = 1.5


class Slowdown:
    """Duration of one engine's prefills relative to other engines of its stage."""

    def __init__(self):
        self._log_factor = 0.0
        self._updated_s = 0.0

    def factor(self, now_s: float) -> float:
        """Return the current factor; 1 for an engine of usual speed."""
        return math.exp(self._decayed(now_s))

    def at_usual_speed(self, now_s: float, took_s: float) -> float:
        """Return how long an engine of usual speed would have taken, in seconds."""
        factor = self.factor(now_s)
        return took_s / factor if factor > SLOW_FACTOR else took_s

    def learn_transient(self, now_s: float, took_s: float, expected_s: float) -> None:
        """Update the factor as `learn` does: all of it is transient."""
        self.learn(now_s, took_s, expected_s)

    def learn(self, now_s: float, took_s: float, expected_s: float) -> None:
        """Update the factor from a measured and an expected duration, in seconds."""
        ratio = took_s / max(MIN_COST_S, expected_s)
        ratio = min(RATIO_MAX, max(RATIO_MIN, ratio))
        decayed = self._decayed(now_s)
        self._log_factor = decayed + SLOWDOWN_WEIGHT * (math.log(ratio) - decayed)
        self._updated_s = now_s

    def _decayed(self, now_s):
        """Return the logarithm of the factor, decayed since the last answer."""
        age_s = max(0.0, now_s - self._updated_s)
        return self._log_factor * 0.5 ** (age_s / SLOWDOWN_HALF_LIFE_S)


# Relative change of a quantile by one value: fifty values follow a change by a factor
# of three.
QUANTILE_STEP = 0.05


class RunningQuantile:
    """Running estimate of a quantile of positive values.

    Parameters
    ----------
    share : float
        Share of the values that are below the quantile, from 0 to 1.
    initial : float
        Initial estimate.
    lower, upper : float
        Bounds of the estimate.
    """

    def __init__(self, share: float, initial: float, lower: float, upper: float):
        self.value = initial
        self.has_learned = False
        self._share = share
        self._lower = lower
        self._upper = upper

    def learn(self, value: float) -> None:
        """Update the estimate with a value."""
        self.has_learned = True
        if value > self.value:
            moved = self.value * math.exp(QUANTILE_STEP * self._share)
        else:
            moved = self.value * math.exp(-QUANTILE_STEP * (1.0 - self._share))
        self.value = min(self._upper, max(self._lower, moved))

    def restore(self, value: float) -> None:
        """Start from an earlier estimate, unless a value has been seen."""
        if not self.has_learned:
            self.value = min(self._upper, max(self._lower, value))


class TokensPerEvent:
    """Ratio of the output tokens that callers estimate to the events of a stream.

    An event may hold one token or fifty. If events were counted as tokens, a stream of
    a hundred events would look as if it could not end in time.
    """

    def __init__(self):
        self._median = None

    def expected_events(self, tokens: float) -> float | None:
        """Return the expected number of events for some tokens; None if unknown."""
        return None if self._median is None else tokens / self._median.value

    @property
    def value(self) -> float | None:
        """Tokens per event; None if unknown."""
        return None if self._median is None else self._median.value

    def restore(self, value: float) -> None:
        """Start from an earlier ratio, unless one is known."""
        if self._median is None:
            self._median = RunningQuantile(0.5, value, 1e-3, 1e6)

    def learn(self, tokens: float, events: int) -> None:
        """Update the ratio from a complete stream and the caller's token estimate."""
        if self._median is None:
            self._median = RunningQuantile(0.5, tokens / events, 1e-3, 1e6)
        self._median.learn(tokens / events)
