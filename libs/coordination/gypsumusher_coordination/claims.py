"""Claiming a key of the caller's own, which names no home, by one conditional create.

Notes
-----
Two hosts may be asked to run such a key at once, so the platform decides: the first
create wins, and the object names the home that may run it. One write a request is the
price. Requiring a minted key instead would cost less but turn away callers whose keys
come from their own books ("booking-123").

The home in the object runs the key at most once by its own memory. When that home is
gone the outcome is unknown: the object says that it might have been sent.
"""

from gypsumusher_coordination.effects import (
    CallFailed,
    ClaimGranted,
    ClaimOwnedElsewhere,
    ClaimRefused,
    ReadDone,
    ReadObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)
from gypsumusher_coordination.keys import claim_name

CLAIM_KIND = "claims"
# Stands as home and fingerprint in the claim of a key that is to be run by nobody.
WITHDRAWN = "withdrawn"

# The caller waits meanwhile, so the retry is quick and the whole wait short: the
# caller then hears that the outcome is unknown, and when to come back with its key.
RETRY_S = 0.1
CLAIM_TIMEOUT_S = 2.0


class CallerKeyClaim:
    """One attempt of one host to become the home of a caller's own key.

    Parameters
    ----------
    key : str
        The caller's key.
    incarnation : str
        The home if the claim wins; `WITHDRAWN` to see to it that nobody runs the key.
    fingerprint : str
        Digest of the request's content.
    nonce : str
        Random id of this attempt, by which it recognises its own write.
    timeout_s : float, optional
        The attempt is refused when it isn't settled after this time.
    """

    def __init__(self, key, incarnation, fingerprint, nonce, timeout_s=CLAIM_TIMEOUT_S):
        self.key = key
        self._incarnation = incarnation
        self._fingerprint = fingerprint
        self._nonce = nonce
        self._wait_s = timeout_s
        self._deadline_s = None
        self._retry_at_s = None
        self._is_unsettled = False
        self._is_done = False
        self._call_tag = None
        self._calls = 0

    @property
    def is_done(self):
        """Whether the attempt has been granted or refused."""
        return self._is_done

    def start(self, now_s):
        """Send the create.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list
            Effects; `ClaimGranted`, `ClaimOwnedElsewhere` or `ClaimRefused` at the end.
        """
        if self._deadline_s is not None:
            return []
        self._deadline_s = now_s + self._wait_s
        return [self._create()]

    def tick(self, now_s):
        """Repeat a failed call when due, or give up when the wait is over.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list
            Effects.
        """
        if self._is_done or self._deadline_s is None:
            return []
        if now_s >= self._deadline_s:
            # Guards against a false "not run": the caller repeats its key here after
            # the request ran through another host, and the object that says so can't
            # be read now. Only the home of a minted key knows that nobody ran it. A
            # create in flight may still land; the attempt is over and never grants
            # the key.
            return self._end(ClaimRefused(self.key, "journal_unavailable", "unknown"))
        if self._retry_at_s is None or now_s < self._retry_at_s:
            return []
        self._retry_at_s = None
        if self._is_unsettled:
            return [ReadObject(self._next_tag(), CLAIM_KIND, claim_name(self.key))]
        return [self._create()]

    def handle(self, now_s, event):
        """Take the answer to a call.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        event : ReadDone, WriteDone, WriteConflict or CallFailed
            The answer. Answers to other calls than the one in flight are ignored.

        Returns
        -------
        list
            Effects.
        """
        if self._is_done or event.tag != self._call_tag:
            return []
        self._call_tag = None
        if isinstance(event, CallFailed):
            # A create whose answer is lost may have made this host the home, so the
            # object is read before anything is said.
            self._is_unsettled = self._is_unsettled or event.sent
            self._retry_at_s = now_s + RETRY_S
            return []
        if isinstance(event, WriteDone):
            return self._end(ClaimGranted(self.key))
        if not isinstance(event, (ReadDone, WriteConflict)):
            raise TypeError(f"event: no answer to a claim's call: {event!r}")
        self._is_unsettled = False
        if event.stored is None:
            # The lost create hasn't landed. Creating again either wins or meets it.
            # With a pause, as a platform that answers a create so would be beaten on.
            self._retry_at_s = now_s + RETRY_S
            return []
        return self._end(self._answer_to(event.stored.value))

    def _answer_to(self, value):
        # Guards against the lost answer: the nonce tells this attempt's own write
        # from that of another host, and from one that this host made earlier and may
        # have sent already.
        if value["nonce"] == self._nonce:
            return ClaimGranted(self.key)
        if WITHDRAWN in (self._incarnation, value["home"]):
            return ClaimOwnedElsewhere(self.key, value["home"])
        if value["fingerprint"] != self._fingerprint:
            return ClaimRefused(self.key, "key_reused", "no")
        return ClaimOwnedElsewhere(self.key, value["home"])

    def _create(self):
        value = {
            "home": self._incarnation,
            "fingerprint": self._fingerprint,
            "nonce": self._nonce,
        }
        # Version zero guards against two hosts with the same key at once: the second
        # create conflicts, and that host learns who the home is.
        name = claim_name(self.key)
        return WriteObject(self._next_tag(), CLAIM_KIND, name, value, 0)

    def _end(self, effect):
        self._is_done = True
        return [effect]

    def _next_tag(self):
        self._calls += 1
        self._call_tag = f"claim.{self._nonce}.{self._calls}"
        return self._call_tag
