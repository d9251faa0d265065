"""Counts the sends of one request for the operator's bound on retries.

A send may arrive long after it has left: a link holds its bytes back, or the endpoint's
process is suspended. Until it has certainly arrived, or can't arrive any more, it is
under way.
"""

from enum import Enum

__all__ = ["DeliveryRecord", "SendCounter", "SendFate", "SentRequest"]


class SendFate(Enum):
    """What is known of a send.

    Attributes
    ----------
    UNDER_WAY
        It may be yet to arrive.
    ANSWERED
        Its response has begun.
    LOST
        Its connection was lost, and the entry of its endpoint is gone.
    GONE
        Another incarnation has taken the endpoint's place.
    OVERTAKEN
        The endpoint has answered a later send.
    EXPIRED
        It was sent too long ago.
    """

    UNDER_WAY = "under_way"
    ANSWERED = "answered"
    LOST = "lost"
    GONE = "gone"
    OVERTAKEN = "overtaken"
    EXPIRED = "expired"


class DeliveryRecord:
    """What tells whether sends to one incarnation of an endpoint may still arrive.

    It outlives the endpoint's entry. A paused endpoint loses its entry, and gets what
    was sent to it once it goes on.

    Attributes
    ----------
    is_listed : bool
        Whether the endpoint has an entry.
    has_ended : bool
        Whether another incarnation has taken the endpoint's place.
    """

    def __init__(self):
        # When the newest send that has been answered was sent, by link.
        self._answered_send_s = {}
        self.is_listed = True
        self.has_ended = False

    def on_answered(self, sent_s: float, link: str | None = None) -> None:
        """Record that the endpoint has answered what was sent at a time.

        Parameters
        ----------
        sent_s : float
            When it was sent, in seconds.
        link : str or None
            Host through which it was sent; None for this host's own link.
        """
        newest_s = self._answered_send_s.get(link, sent_s)
        self._answered_send_s[link] = max(newest_s, sent_s)

    def has_answered_after(self, sent_s: float) -> bool:
        """Return whether the endpoint has answered anything sent after a time."""
        return any(at_s > sent_s for at_s in self._answered_send_s.values())

    def has_overtaken(self, sent_s: float, link: str | None) -> bool:
        """Return whether the endpoint has answered what a link sent after a time."""
        return self._answered_send_s.get(link, float("-inf")) > sent_s


class SentRequest:
    """One send of a request, which may still be on its way to its endpoint.

    Parameters
    ----------
    delivery : DeliveryRecord
        That of the endpoint.
    sent_s : float
        When the first byte was sent, in seconds.
    link : str or None
        Host through which it was sent; None for this host's own link.
    """

    def __init__(
        self, delivery: DeliveryRecord, sent_s: float, link: str | None = None
    ):
        self._delivery = delivery
        self._sent_s = sent_s
        self._link = link
        self._is_answered = self._is_lost = False

    def on_head_or_lost(self, has_head: bool) -> None:
        """Record that the response has begun, or that the connection was lost."""
        self._is_answered, self._is_lost = has_head, not has_head
        if has_head:
            self._delivery.on_answered(self._sent_s, self._link)

    def fate(self, now_s: float, longest_s: float) -> SendFate:
        """Return whether the endpoint may still receive this send, or why not.

        It can't if the endpoint's process has ended. Neither a missing entry nor a lost
        connection proves that alone: a paused endpoint loses its entry, and a firewall
        or proxy may reset this host's side only. It has if the endpoint has answered a
        later send over the same link.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        longest_s : float
            Time after which no send is taken to be under way, in seconds.
        """
        if self._is_answered:
            return SendFate.ANSWERED
        if self._delivery.has_ended:
            return SendFate.GONE
        if self._delivery.has_overtaken(self._sent_s, self._link):
            return SendFate.OVERTAKEN
        if self._is_lost and not self._delivery.is_listed:
            return SendFate.LOST
        if now_s - self._sent_s > longest_s:
            return SendFate.EXPIRED
        return SendFate.UNDER_WAY


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
    has_ended : bool
        Whether the request has ended, so that it makes no further send.
    """

    def __init__(self):
        self.arrivals = 0
        self.retries = 0
        self.has_ended = False
        self._connecting = 0
        self._is_prefill_accepted = False
        self._sent = []

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

    def on_sent(self, sent: SentRequest):
        """Record that the request is about to leave for an endpoint."""
        self._connecting -= 1
        self.arrivals += 1
        self._sent.append(sent)

    def retries_under_way(self, now_s, longest_s):
        """Return how many retries are for arrivals that may be yet to come.

        The arrival that comes first is no repeat, whichever send it is.
        """
        under_way = self.fates(now_s, longest_s).count(SendFate.UNDER_WAY)
        return min(self.retries, under_way + self._connecting)

    def fates(self, now_s, longest_s):
        """Return the fate of each send, in the order in which they left."""
        return [sent.fate(now_s, longest_s) for sent in self._sent]

    def on_prompt_accepted(self):
        """Record that an engine has completed a prefill call of this request."""
        self._is_prefill_accepted = True
