"""Expected length of answers, learned for each class from the answers themselves."""

# Weight of the newest answer: about the last fifty answers count, so that the
# estimate follows a swing of the mix within its first minute.
STEP = 0.02
# Share of the most that a caller allows which is assumed before any answer is seen,
# and its mean deviation.
FIRST_SHARE = 0.5
FIRST_DEVIATION = 0.15
# Mean deviations above the mean that nine answers in ten stay under.
HIGH_DEVIATIONS = 2.0


class OutputEstimate:
    """Answer length as a share of ``max_output_tokens``, for each class."""

    def __init__(self):
        self.shares = {}

    def on_answer(self, class_name: str, max_tokens: int, tokens: int) -> None:
        """Learn from a whole answer."""
        share = min(1.0, tokens / max(1, max_tokens))
        mean, deviation = self.shares.get(class_name, (FIRST_SHARE, FIRST_DEVIATION))
        deviation += STEP * (abs(share - mean) - deviation)
        mean += STEP * (share - mean)
        self.shares[class_name] = (mean, deviation)

    def expect_tokens(self, class_name: str, max_tokens: int) -> tuple[float, float]:
        """Return the mean and a high length of an answer, in tokens.

        The mean is for adding up work, the high one for deadlines.
        """
        mean, deviation = self.shares.get(class_name, (FIRST_SHARE, FIRST_DEVIATION))
        high = min(1.0, mean + HIGH_DEVIATIONS * deviation)
        return max(1.0, max_tokens * mean), max(1.0, max_tokens * high)
