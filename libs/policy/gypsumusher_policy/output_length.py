"""Estimated length of answers, learned per class from completed answers."""

# Weight of a new answer in the moving averages: about the last fifty answers count,
# so that the estimate follows a change of the request mix within a minute.
EWMA_WEIGHT = 0.02
# Mean and mean absolute deviation of the answer length before any answer is seen, as
# shares of the request's maximum.
INITIAL_MEAN_SHARE = 0.5
INITIAL_DEVIATION_SHARE = 0.15
# Mean deviations above the mean in the high estimate: nine answers in ten are shorter.
HIGH_ESTIMATE_DEVIATIONS = 2.0


class OutputLengthEstimator:
    """Answer lengths as shares of ``max_output_tokens``, by class.

    Attributes
    ----------
    shares : dict of str to (float, float)
        Mean and mean absolute deviation of the share, by class name.
    """

    def __init__(self):
        self.shares = {}

    def add_answer(self, class_name: str, max_tokens: int, tokens: int) -> None:
        """Update the averages of a class with a completed answer.

        Parameters
        ----------
        class_name : str
            Class of the request.
        max_tokens, tokens : int
            Allowed and actual length of the answer, in tokens.
        """
        share = min(1.0, tokens / max(1, max_tokens))
        mean, deviation = self.shares.get(
            class_name, (INITIAL_MEAN_SHARE, INITIAL_DEVIATION_SHARE)
        )
        deviation += EWMA_WEIGHT * (abs(share - mean) - deviation)
        mean += EWMA_WEIGHT * (share - mean)
        self.shares[class_name] = (mean, deviation)

    def estimate_tokens(self, class_name: str, max_tokens: int) -> tuple[float, float]:
        """Return a mean and a high estimate of an answer's length, in tokens.

        The mean is for sums of work over many requests, the high estimate for the
        deadline of a single request.
        """
        mean, deviation = self.shares.get(
            class_name, (INITIAL_MEAN_SHARE, INITIAL_DEVIATION_SHARE)
        )
        high = min(1.0, mean + HIGH_ESTIMATE_DEVIATIONS * deviation)
        return max(1.0, max_tokens * mean), max(1.0, max_tokens * high)
