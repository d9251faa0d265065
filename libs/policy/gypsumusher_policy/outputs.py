"""Expected length of answers, learned for each class from the answers themselves."""

# Weight of the newest answer: about the last fifty answers count, so that the
# estimate follows a swing of the mix within its first minute.
STEP = 0.02
# Share of the most that a caller allows which is assumed before any answer is seen.
FIRST_SHARE = 0.5


class OutputEstimate:
    """Mean answer length as a share of ``max_output_tokens``, for each class."""

    def __init__(self):
        self.shares = {}

    def on_answer(self, class_name: str, max_tokens: int, tokens: int) -> None:
        """Learn from a whole answer."""
        share = min(1.0, tokens / max(1, max_tokens))
        known = self.shares.get(class_name, FIRST_SHARE)
        self.shares[class_name] = known + STEP * (share - known)

    def expect_tokens(self, class_name: str, max_tokens: int) -> float:
        """Return the expected length of an answer, in tokens."""
        return max(1.0, max_tokens * self.shares.get(class_name, FIRST_SHARE))
