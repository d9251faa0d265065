"""The retry budget of a deployment on one host.

Made for an engine or a zone that fails under full load: there each retry takes the
place of a first attempt, so unbounded retries turn a partial failure into a whole one.
"""

# Retries that a quiet deployment may always make, so that the ratio doesn't round
# down to none where few requests arrive.
FLOOR_RETRIES = 10.0


class RetryBudget:
    """A bucket that each first attempt fills by a fraction and each retry empties.

    Parameters
    ----------
    ratio : float
        Retries earned by each first attempt.
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self.tokens = FLOOR_RETRIES

    def on_first_attempt(self) -> None:
        """Count a first attempt."""
        # The bound keeps a quiet week from saving up a retry storm.
        limit = max(FLOOR_RETRIES, 100.0 * self.ratio)
        self.tokens = min(limit, self.tokens + self.ratio)

    def take(self) -> bool:
        """Use one retry; False when the budget is spent."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def may_retry(ran: str, idempotent: bool) -> bool:
    """Say whether another attempt can't make the request run twice.

    Guards against a booking that reaches two crews: the first attempt's connection
    broke after it was sent, so it may have run. Only an attempt of which nothing ran,
    or a request that may run twice, is repeated.
    """
    return ran == "no" or idempotent
