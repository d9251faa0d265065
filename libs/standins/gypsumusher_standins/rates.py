"""A token bucket, for the platform's rate limits."""


class TokenBucket:
    """Permit a number of calls a second, with one second's worth as a burst.

    Parameters
    ----------
    rate_per_s : float
        Calls permitted a second.
    now_s : float
        The present reading of the caller's clock.
    """

    def __init__(self, rate_per_s, now_s):
        self.rate_per_s = rate_per_s
        self.tokens = rate_per_s
        self.updated_s = now_s

    def take(self, now_s):
        """Take one call's token.

        Returns
        -------
        float
            0 if the call is permitted, else the seconds until the next token.
        """
        refill = (now_s - self.updated_s) * self.rate_per_s
        self.tokens = min(self.rate_per_s, self.tokens + refill)
        self.updated_s = now_s
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        return (1 - self.tokens) / self.rate_per_s
