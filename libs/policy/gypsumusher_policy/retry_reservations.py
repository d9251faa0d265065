"""Priority for callers that retry at the time given in a refusal.

During a long overload, a caller that honours its retry-after would otherwise meet the
same queue as new requests and be refused again; callers would learn to retry early
and often instead.
"""

from collections import OrderedDict

# Reservations kept, at about 200 bytes each: enough for some minutes of refusals at
# the rate of a host.
MAX_RESERVATIONS = 5000
# Time after the retry-after for which a reservation is valid, in seconds.
RESERVATION_VALID_S = 60.0


class RetryReservations:
    """Fingerprints of refused requests, with the times given for their retries."""

    def __init__(self):
        self.retry_at_s = OrderedDict()

    def add(self, fingerprint: str, retry_at_s: float) -> None:
        """Reserve a place for a refused request.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the refused request.
        retry_at_s : float
            Time at which its caller was told to retry, in seconds.
        """
        self.retry_at_s[fingerprint] = retry_at_s
        self.retry_at_s.move_to_end(fingerprint)
        if len(self.retry_at_s) > MAX_RESERVATIONS:
            self.retry_at_s.popitem(last=False)

    def redeem(self, now_s: float, fingerprint: str) -> bool:
        """Use up a request's reservation; return whether there was a valid one.

        A retry before the given time does not count and leaves the reservation
        unused.
        """
        retry_at_s = self.retry_at_s.get(fingerprint)
        if retry_at_s is None or now_s < retry_at_s:
            return False
        del self.retry_at_s[fingerprint]
        return now_s <= retry_at_s + RESERVATION_VALID_S
