"""Token bucket for the rate limits of the platform stand-in."""


class TokenBucket:
    """Rate limiter that admits bursts of up to one second's worth of calls.

    Parameters
    ----------
    rate_per_s : float
        Permitted calls per second; also the capacity of the bucket.
    now_s : float
        Current time of the caller's monotonic clock, in seconds.
    """

    def __init__(self, rate_per_s, now_s):
        self.rate_per_s = rate_per_s
        self.tokens = rate_per_s
        self.updated_s = now_s

    def take(self, now_s):
        """Take one token, if there is one, for one call.

        Parameters
        ----------
        now_s : float
            Current time of the same clock, in seconds.

        Returns
        -------
        float
            0 if the call is permitted, else the seconds until a token is available.
        """
        refill = (now_s - self.updated_s) * self.rate_per_s
        self.tokens = min(self.rate_per_s, self.tokens + refill)
        self.updated_s = now_s
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        return (1 - self.tokens) / self.rate_per_s
