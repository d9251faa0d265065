"""Retry budget of a deployment on one host.

When an engine or a zone fails under full load, each retry takes the place of a first
attempt, so that unbounded retries turn a partial failure into a total one.
"""

# Initial retries of a deployment, and least capacity of its budget. Without them, a
# deployment with few requests could not retry at all.
MIN_BUDGET_RETRIES = 10.0


class RetryBudget:
    """Token bucket: first attempts add a fraction of a token, retries take one.

    Parameters
    ----------
    ratio : float
        Retries earned by each first attempt.
    """

    def __init__(self, ratio: float):
        self.ratio = ratio
        self.tokens = MIN_BUDGET_RETRIES

    def on_first_attempt(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        # The limit keeps a long time without failures from funding a retry storm.
        limit = max(MIN_BUDGET_RETRIES, 100.0 * self.ratio)
        self.tokens = min(limit, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take one retry from the budget; return False if the budget is empty."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def may_retry(ran: str, idempotent: bool) -> bool:
    """Return whether a retry is safe, so that no request runs twice by mistake.

    An attempt whose connection broke after the request was sent may have run. A retry
    is safe only if nothing of the attempt ran or the request is idempotent; otherwise
    a booking, for example, could be made twice.

    Parameters
    ----------
    ran : {"no", "unknown"}
        Whether any part of the attempt may have run.
    idempotent : bool
        Whether the request may run more than once.
    """
    return ran == "no" or idempotent
