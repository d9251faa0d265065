"""The sends of one request, as the operator's bound on retries counts them."""

__all__ = ["SendCounter"]


class SendCounter:
    """Counts what reaches endpoints, whatever they make of it.

    The bound is on arrivals: a call that an endpoint rejects is one, a connection that
    doesn't open is none. The first call that only has the prompt read is none either
    once an engine has accepted it.

    Attributes
    ----------
    arrivals : int
        Sends that have reached an endpoint.
    retries : int
        Retries that the request has taken.
    """

    def __init__(self):
        self.arrivals = 0
        self.retries = 0
        self._under_way = 0
        self._is_prompt_accepted = False

    @property
    def repeats(self):
        """Arrivals beyond the first."""
        return max(0, self.arrivals - self._is_prompt_accepted - 1)

    def needs_retry(self):
        """Say whether one more send takes a retry besides those already taken."""
        sends = self.arrivals + self._under_way - self._is_prompt_accepted
        return sends > self.retries

    def begin(self):
        """Note that a connection is sought for a send."""
        self._under_way += 1

    def cancel(self):
        """Note that nothing was sent; a retry that it took is kept for the next."""
        self._under_way -= 1

    def on_sent(self):
        """Note that the request is about to arrive."""
        self._under_way -= 1
        self.arrivals += 1

    def on_prompt_accepted(self):
        """Note that an engine has read the prompt that it was only to read."""
        self._is_prompt_accepted = True
