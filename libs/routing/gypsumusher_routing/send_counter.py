"""Counts the sends of one request for the operator's bound on retries."""

__all__ = ["SendCounter"]


class SendCounter:
    """Counts the sends of one request that reach an endpoint, whatever their outcome.

    The operator's bound applies to arrivals: a call that an endpoint rejects counts, a
    connection that fails to open does not. A prefill call that an engine has accepted
    does not count either, as the call for the decode has to follow it.

    Attributes
    ----------
    arrivals : int
        Sends that have reached an endpoint.
    retries : int
        Retries that the request has taken from the budget.
    """

    def __init__(self):
        self.arrivals = 0
        self.retries = 0
        self._connecting = 0
        self._is_prefill_accepted = False

    @property
    def repeats(self):
        """Arrivals beyond the first, without an accepted prefill."""
        return max(0, self.arrivals - self._is_prefill_accepted - 1)

    def needs_retry(self):
        """Return whether the next send needs one more retry from the budget."""
        sends = self.arrivals + self._connecting - self._is_prefill_accepted
        return sends > self.retries

    def begin(self):
        """Record that a connection is being opened for a send."""
        self._connecting += 1

    def cancel(self):
        """Record that nothing was sent; a retry taken for it serves the next send."""
        self._connecting -= 1

    def on_sent(self):
        """Record that the request is about to reach the endpoint."""
        self._connecting -= 1
        self.arrivals += 1

    def on_prompt_accepted(self):
        """Record that an engine has completed a prefill call of this request."""
        self._is_prefill_accepted = True
